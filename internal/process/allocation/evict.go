package allocation

import (
	"slices"

	"corianderpass/internal/process/workload"
)

// eviction is a set of runs to stop, the work in core-seconds that is lost by stopping them, and
// the hosts on which the unit starts once these runs have ended.
type eviction struct {
	assignments []assignment
	victims     []*victim
	cost        float64
}

// discardedWork returns the work in core-seconds that the victims have to do again. A long-running
// task has none: it only serves less while it restarts.
func (e *eviction) discardedWork() float64 {
	sum := 0.0
	for _, v := range e.victims {
		if !v.longRunning {
			sum += v.lostWork
		}
	}
	return sum
}

// victimSearch selects the runs to stop so that one unit fits on a set of hosts. Each
// iteration selects victims that free enough capacity on one host for one more member of the
// unit. Victims spread over several hosts might free enough capacity in sum, but on no host
// enough for a member.
type victimSearch struct {
	*plan
	unit  *unit
	hosts []*host
	// capacities is the free capacity of each host once the selected victims have ended.
	capacities map[*host]workload.Resources
	// maxMembers is the number of members that fit into each host's capacity; totalMembers is
	// their sum.
	maxMembers   map[*host]int
	totalMembers int
	// victimSets caches the result of findVictims for each host; nil if there are no victims to
	// select. A host without an entry must be searched again.
	victimSets map[*host]*victimSet
	// isSelected holds the keys of the selected victims.
	isSelected map[workload.TaskRef]bool
	selected   []*victim
}

// victimSet is a set of runs on one host that may be stopped together, and its total cost.
type victimSet struct {
	victims []*victim
	cost    float64
}

// findEviction selects runs to stop so that the whole unit fits on the hosts. It returns nil if
// it finds no such selection.
func (p *plan) findEviction(u *unit, hosts []*host) *eviction {
	s := &victimSearch{
		plan: p, unit: u, hosts: hosts, capacities: make(map[*host]workload.Resources, len(hosts)), maxMembers: make(map[*host]int, len(hosts)),
		victimSets: map[*host]*victimSet{}, isSelected: map[workload.TaskRef]bool{},
	}
	for _, h := range hosts {
		s.setCapacity(h, h.afterStops)
	}
	for s.totalMembers < len(u.members) {
		best := s.cheapestVictims()
		if best == nil {
			return nil
		}
		for _, v := range best.victims {
			s.add(v)
		}
	}
	s.dropUnneeded()
	e := &eviction{victims: s.selected, assignments: pack(u, hosts, s.capacity)}
	for _, v := range e.victims {
		e.cost += v.lostWork
	}
	return e
}

func (s *victimSearch) capacity(h *host) workload.Resources { return s.capacities[h] }

// setCapacity replaces the free capacity of a host, updates maxMembers and drops the host's
// cached victim set.
func (s *victimSearch) setCapacity(h *host, capacity workload.Resources) {
	s.capacities[h] = capacity
	n := h.maxMembers(s.unit, s.capacity)
	s.totalMembers += n - s.maxMembers[h]
	s.maxMembers[h] = n
	delete(s.victimSets, h)
}

// cheapestVictims returns the cheapest set of victims that frees capacity for one more member on
// any host, nil if there is none.
func (s *victimSearch) cheapestVictims() *victimSet {
	var best *victimSet
	for _, h := range s.hosts {
		set, known := s.victimSets[h]
		if !known {
			set = s.findVictims(h)
			s.victimSets[h] = set
		}
		if set != nil && (best == nil || set.cost < best.cost) {
			best = set
		}
	}
	return best
}

// findVictims returns a set of victims that frees capacity for one more member on the host,
// nil if there is none. It adds candidates, the cheapest first, until the member fits, then
// drops those that turn out not to be needed.
func (s *victimSearch) findVictims(h *host) *victimSet {
	capacity, wantedMembers := s.capacities[h], s.maxMembers[h]+1
	fits := func(r workload.Resources) bool {
		return h.maxMembers(s.unit, func(*host) workload.Resources { return r }) >= wantedMembers
	}
	if h.maxMembers(s.unit, capacityWhenEmpty) < wantedMembers {
		return nil
	}
	var taken []*victim
	for _, v := range s.runsByLoss(h) {
		if !s.mayStop(s.unit, v) || s.isSelected[v.key()] || s.exceedsBudget(v, taken) ||
			slices.ContainsFunc(taken, func(t *victim) bool { return t.key() == v.key() }) {
			continue
		}
		taken = append(taken, v)
		capacity = capacity.Plus(s.freedCapacity(v, h))
		if fits(capacity) {
			break
		}
	}
	if !fits(capacity) {
		return nil
	}
	set := &victimSet{}
	for i := len(taken) - 1; i >= 0; i-- {
		if without := capacity.Minus(s.freedCapacity(taken[i], h)); fits(without) {
			capacity = without
			continue
		}
		set.victims = append(set.victims, taken[i])
		set.cost += taken[i].lostWork
	}
	return set
}

// exceedsBudget reports whether stopping v in addition to the victims in s.selected and taken
// would exceed the disruption budget of v's step.
func (s *victimSearch) exceedsBudget(v *victim, taken []*victim) bool {
	budget := s.disruptionBudget(v)
	if budget < 0 {
		return false
	}
	stopping := 0
	for _, victims := range [][]*victim{s.selected, taken} {
		for _, other := range victims {
			if other.step == v.step {
				stopping += len(other.members)
			}
		}
	}
	return stopping+len(v.members) > budget
}

// freedCapacity returns the capacity that becomes free on h when v ends.
func (s *victimSearch) freedCapacity(v *victim, h *host) workload.Resources {
	var capacity workload.Resources
	for _, r := range v.members {
		if _, runsHere := h.worker.Runs[r]; runsHere {
			capacity = capacity.Plus(s.reservation(r))
		}
	}
	return capacity
}

// hostsOf returns the hosts of the search on which v has members.
func (s *victimSearch) hostsOf(v *victim) []*host {
	var found []*host
	for _, r := range v.members {
		_, _, t, _ := s.State.Task(r)
		h := s.hostsByLife[t.Worker]
		if _, searched := s.capacities[h]; searched && !slices.Contains(found, h) {
			found = append(found, h)
		}
	}
	return found
}

// add selects v and adds the capacity that it frees to its hosts.
func (s *victimSearch) add(v *victim) {
	s.isSelected[v.key()] = true
	s.selected = append(s.selected, v)
	for _, h := range s.hostsOf(v) {
		s.setCapacity(h, s.capacities[h].Plus(s.freedCapacity(v, h)))
	}
	if s.disruptionBudget(v) >= 0 {
		// Cached sets may include other runs of v's step, for which the remaining disruption
		// budget is now smaller.
		clear(s.victimSets)
	}
}

// dropUnneeded removes selected victims without which the unit still fits, the most expensive
// first. There are such victims if a gang that was selected later also frees capacity on hosts
// where victims had been selected before.
func (s *victimSearch) dropUnneeded() {
	slices.SortStableFunc(s.selected, func(a, b *victim) int {
		switch {
		case a.lostWork > b.lostWork:
			return -1
		case a.lostWork < b.lostWork:
			return 1
		}
		return a.task.Compare(b.task)
	})
	s.selected = slices.DeleteFunc(s.selected, func(v *victim) bool {
		hosts := s.hostsOf(v)
		for _, h := range hosts {
			s.setCapacity(h, s.capacities[h].Minus(s.freedCapacity(v, h)))
		}
		if s.totalMembers >= len(s.unit.members) {
			return true
		}
		for _, h := range hosts {
			s.setCapacity(h, s.capacities[h].Plus(s.freedCapacity(v, h)))
		}
		return false
	})
}
