package allocation

import (
	"cmp"
	"slices"
	"time"

	"corianderpass/internal/process/workload"
)

// reserveEarliest reserves capacity on the hosts where the unit is expected to fit earliest as
// running tasks end. It reserves only the part of that capacity that is free now or once the
// stopping runs have ended.
func (p *plan) reserveEarliest(u *unit) {
	if u.rank.noBenefit || len(u.members) == 0 {
		return
	}
	assignments, _ := p.earliestStart(u)
	p.reserve(u, assignments)
}

// earliestStart returns the hosts on which the unit is expected to fit earliest as running tasks
// end, and the time from now until then. It returns nil if the unit fits nowhere, or only once long-running tasks end.
func (p *plan) earliestStart(u *unit) ([]assignment, time.Duration) {
	var best []assignment
	wait := time.Duration(0)
	for _, hosts := range p.hostGroups(u) {
		assignments, after := p.earliestStartOn(u, hosts)
		if assignments != nil && (best == nil || after < wait) {
			best, wait = assignments, after
		}
	}
	return best, wait
}

// clampToCapacity returns the reservation, limited to the capacity in each dimension.
func clampToCapacity(reservation, capacity workload.Resources) workload.Resources {
	return workload.Resources{
		Cores:        min(reservation.Cores, max(capacity.Cores, 0)),
		Memory:       min(reservation.Memory, max(capacity.Memory, 0)),
		Accelerators: min(reservation.Accelerators, max(capacity.Accelerators, 0)),
	}
}

// expectedEnd is the expected end of a run: its task, its host, the reservation that becomes free,
// and the time from now until then.
type expectedEnd struct {
	task        workload.TaskRef
	host        *host
	reservation workload.Resources
	after       time.Duration
}

// expectedEnds returns the expected ends of the runs on all hosts, the earliest first. Runs that are
// being stopped may be among them.
func (p *plan) expectedEnds() []expectedEnd {
	if p.ends != nil {
		return p.ends
	}
	for _, h := range p.hosts {
		for r := range h.worker.Runs {
			p.ends = append(p.ends, expectedEnd{r, h, p.reservation(r), p.History.Remaining(p.State.Job(r.Job), r, p.Now)})
		}
	}
	slices.SortFunc(p.ends, func(a, b expectedEnd) int {
		return cmp.Or(cmp.Compare(a.after, b.after), cmp.Compare(a.host.worker.Life, b.host.worker.Life), a.task.Compare(b.task))
	})
	return p.ends
}

// earliestStartOn does the same as earliestStart, on the given hosts only.
func (p *plan) earliestStartOn(u *unit, hosts []*host) ([]assignment, time.Duration) {
	capacities := make(map[*host]workload.Resources, len(hosts))
	capacity := func(h *host) workload.Resources { return capacities[h] }
	members := make(map[*host]int, len(hosts))
	total := 0
	for _, h := range hosts {
		capacities[h] = h.afterStops
		members[h] = h.maxMembers(u, capacity)
		total += members[h]
	}
	for _, e := range p.expectedEnds() {
		before, searched := members[e.host]
		if !searched || p.stopping[e.task] || e.after >= longRunningRemaining {
			continue
		}
		capacities[e.host] = capacities[e.host].Plus(e.reservation)
		members[e.host] = e.host.maxMembers(u, capacity)
		total += members[e.host] - before
		if total >= len(u.members) {
			return pack(u, hosts, capacity), e.after
		}
	}
	return nil, 0
}
