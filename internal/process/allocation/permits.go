package allocation

import (
	"cmp"
	"slices"

	"corianderpass/internal/process/permit"
	"corianderpass/internal/process/workload"
)

// Permits looks up which workers may run the steps of restricted queues.
type Permits interface {
	// Lookup returns the permit of a worker for a step, and false if none is in force.
	Lookup(step workload.StepRef, life workload.LifeID) (workload.Permit, bool)
	// Answered reports whether the adviser's answer for the worker, positive or negative, is
	// known and still valid, so that there is no need for another query.
	Answered(step workload.StepRef, life workload.LifeID) bool
}

// setPermits sets the permits of the unit if its job needs them.
func (p *plan) setPermits(u *unit) {
	if !u.job.Permits.Needed() {
		return
	}
	u.permits = map[workload.LifeID]workload.Permit{}
	if p.Permits == nil {
		return
	}
	for _, h := range slices.Concat(p.hosts, p.excludedHosts) {
		if granted, ok := p.Permits.Lookup(u.members[0].StepRef(), h.worker.Life); ok {
			u.permits[h.worker.Life] = granted
		}
	}
}

// permitted reports whether the unit may run on the host.
func (u *unit) permitted(h *host) bool {
	if u.permits == nil {
		return true
	}
	_, allowed := u.permits[h.worker.Life]
	return allowed
}

// queryPermits adds a permit query for a unit that was not placed. The query names the workers
// that could run the unit and for which there is no valid answer. There is at most one query for
// a step in a round.
func (p *plan) queryPermits(u *unit) {
	step := u.members[0].StepRef()
	if u.permits == nil || p.Permits == nil || slices.ContainsFunc(p.decision.PermitQueries, func(q permit.Query) bool { return q.Step == step }) {
		return
	}
	candidates := p.hosts
	if p.isIdle(u) {
		candidates = p.hostsInQuarantine(u)
	}
	var hosts []*host
	for _, h := range candidates {
		if h.worker.Allows(u.job.Service, u.step) && countFitting(u.step.Reservation(), h.worker.Room, 1) > 0 && !p.Permits.Answered(step, h.worker.Life) {
			hosts = append(hosts, h)
		}
	}
	if len(hosts) == 0 {
		return
	}
	// Workers with the most capacity come first, since the unit could start there immediately.
	capacity := func(h *host) int { return countFitting(u.step.Reservation(), h.afterStops, len(u.members)) }
	slices.SortStableFunc(hosts, func(a, b *host) int { return cmp.Compare(capacity(b), capacity(a)) })
	query := permit.Query{Step: step, Rules: u.job.Permits}
	for _, h := range hosts[:min(len(hosts), permit.MaxWorkersPerQuery)] {
		query.Workers = append(query.Workers, h.worker.Life)
	}
	p.decision.PermitQueries = append(p.decision.PermitQueries, query)
}
