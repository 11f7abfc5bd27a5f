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
// end, and the time from now until then. It returns nil if the unit fits nowhere.
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
		Memory:       min(reservation.Memory, capacity.Memory),
		Accelerators: min(reservation.Accelerators, max(capacity.Accelerators, 0)),
	}
}

// expectedEnd is the expected end of a run: its host, the reservation that becomes free, and the
// time from now until then.
type expectedEnd struct {
	host        *host
	reservation workload.Resources
	after       time.Duration
}

// earliestStartOn does the same as earliestStart, on the given hosts only.
func (p *plan) earliestStartOn(u *unit, hosts []*host) ([]assignment, time.Duration) {
	capacities := map[*host]workload.Resources{}
	var ends []expectedEnd
	for _, h := range hosts {
		capacities[h] = h.afterStops
		for r := range h.worker.Runs {
			if !p.stopping[r] {
				ends = append(ends, expectedEnd{h, p.reservation(r), p.History.Remaining(p.State.Job(r.Job), r, p.Now)})
			}
		}
	}
	slices.SortFunc(ends, func(a, b expectedEnd) int {
		return cmp.Or(cmp.Compare(a.after, b.after), cmp.Compare(a.host.worker.Life, b.host.worker.Life))
	})
	capacity := func(h *host) workload.Resources { return capacities[h] }
	for _, e := range ends {
		capacities[e.host] = capacities[e.host].Plus(e.reservation)
		if assignments := pack(u, hosts, capacity); assignments != nil {
			return assignments, e.after
		}
	}
	return nil, 0
}
