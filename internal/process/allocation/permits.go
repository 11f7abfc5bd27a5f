package allocation

import (
	"cmp"
	"slices"

	"corianderpass/internal/process/permit"
	"corianderpass/internal/process/workload"
)

// Permits tells on which workers the steps of restricted queues may run.
type Permits interface {
	// Lookup returns the permit of a worker for a step, false if there is none in force.
	Lookup(step workload.StepRef, life workload.LifeID) (workload.Permit, bool)
	// Answered tells whether a question on the worker would bring nothing new.
	Answered(step workload.StepRef, life workload.LifeID) bool
}

// findPermits notes which hosts may run the unit.
func (p *plan) findPermits(u *unit) {
	if !u.job.Permits.Needed() {
		return
	}
	u.permits = map[workload.LifeID]workload.Permit{}
	if p.Permits == nil {
		return
	}
	for _, h := range p.hosts {
		if leave, in := p.Permits.Lookup(u.members[0].StepRef(), h.worker.Life); in {
			u.permits[h.worker.Life] = leave
		}
	}
}

// permitted tells whether the host may run the unit.
func (u *unit) permitted(h *host) bool {
	if u.permits == nil {
		return true
	}
	_, may := u.permits[h.worker.Life]
	return may
}

// want asks on which other workers a unit that was not placed may run.
func (p *plan) want(u *unit) {
	step := u.members[0].StepRef()
	if u.permits == nil || p.Permits == nil || slices.ContainsFunc(p.decision.PermitQueries, func(w permit.Query) bool { return w.Step == step }) {
		return
	}
	var hosts []*host
	for _, h := range p.hosts {
		if h.worker.Allows(u.job.Service, u.step) && fits(u.step.Reservation(), h.worker.Room, 1) > 0 && !p.Permits.Answered(step, h.worker.Life) {
			hosts = append(hosts, h)
		}
	}
	if len(hosts) == 0 {
		return
	}
	// Those with the most room come first, as they could take it at once.
	room := func(h *host) int { return fits(u.step.Reservation(), h.soon, len(u.members)) }
	slices.SortStableFunc(hosts, func(a, b *host) int { return cmp.Compare(room(b), room(a)) })
	w := permit.Query{Step: step, Rules: u.job.Permits}
	for _, h := range hosts[:min(len(hosts), permit.MaxWorkersPerQuery)] {
		w.Workers = append(w.Workers, h.worker.Life)
	}
	p.decision.PermitQueries = append(p.decision.PermitQueries, w)
}
