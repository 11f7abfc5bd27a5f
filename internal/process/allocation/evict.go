package allocation

import (
	"slices"

	"corianderpass/internal/process/workload"
)

// eviction is a set of runs to stop, the work in core-seconds that is lost by stopping them, and
// the hosts on which the unit starts once these runs have ended.
type eviction struct {
	assignments []assignment
	victims     []victim
	cost        float64
}

// victimSearch selects the runs to stop so that one unit fits on a set of hosts. Each iteration
// selects victims that free enough room on one host for one more member of the unit. Victims
// spread over several hosts might free enough room in sum, but on no host enough for a member.
type victimSearch struct {
	*plan
	unit  *unit
	hosts []*host
	// rooms is the room of each host once the selected victims have ended.
	rooms map[*host]workload.Resources
	// capacities is the number of members that fit into each host's room; totalCapacity is
	// their sum.
	capacities    map[*host]int
	totalCapacity int
	// candidates are the runs on each host that the unit may preempt, the cheapest first.
	candidates map[*host][]victim
	// victimSets caches the result of findVictims for each host; nil if there are no victims to
	// select. A host without an entry must be searched again.
	victimSets map[*host]*victimSet
	// isSelected holds the keys of the selected victims.
	isSelected map[workload.TaskRef]bool
	selected   []victim
}

// victimSet is a set of runs on one host that may be stopped together, and its total cost.
type victimSet struct {
	victims []victim
	cost    float64
}

// findEviction selects runs to stop so that the whole unit fits on the hosts. It returns nil if
// it finds no such selection.
func (p *plan) findEviction(u *unit, hosts []*host) *eviction {
	s := &victimSearch{
		plan: p, unit: u, hosts: hosts, rooms: map[*host]workload.Resources{}, capacities: map[*host]int{},
		candidates: map[*host][]victim{}, victimSets: map[*host]*victimSet{}, isSelected: map[workload.TaskRef]bool{},
	}
	for _, h := range hosts {
		s.setRoom(h, h.afterStops)
		if h.capacity(u, roomWhenEmpty) > 0 {
			s.candidates[h] = p.candidates(u, h)
		}
	}
	for s.totalCapacity < len(u.members) {
		best := s.cheapestVictims()
		if best == nil {
			return nil
		}
		for _, v := range best.victims {
			s.add(v)
		}
	}
	s.dropUnneeded()
	e := &eviction{victims: s.selected, assignments: pack(u, hosts, s.room)}
	for _, v := range e.victims {
		e.cost += v.lostWork
	}
	return e
}

func (s *victimSearch) room(h *host) workload.Resources { return s.rooms[h] }

// setRoom replaces the room of a host, updates the capacities and drops the cached victim set
// of the host.
func (s *victimSearch) setRoom(h *host, room workload.Resources) {
	s.rooms[h] = room
	n := h.capacity(s.unit, s.room)
	s.totalCapacity += n - s.capacities[h]
	s.capacities[h] = n
	delete(s.victimSets, h)
}

// cheapestVictims returns the cheapest set of victims that makes room for one more member on
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

// findVictims returns a set of victims that makes room for one more member on the host, nil if
// there is none. It adds candidates, the cheapest first, until the member fits, then drops
// those that turn out not to be needed.
func (s *victimSearch) findVictims(h *host) *victimSet {
	room, goal := s.rooms[h], s.capacities[h]+1
	fits := func(r workload.Resources) bool {
		return h.capacity(s.unit, func(*host) workload.Resources { return r }) >= goal
	}
	var taken []victim
	for _, v := range s.candidates[h] {
		if s.exceedsBudget(v, taken) || s.isSelected[v.key()] || slices.ContainsFunc(taken, func(t victim) bool { return t.key() == v.key() }) {
			continue
		}
		taken = append(taken, v)
		room = room.Plus(s.freedRoom(v, h))
		if fits(room) {
			break
		}
	}
	if !fits(room) {
		return nil
	}
	set := &victimSet{}
	for i := len(taken) - 1; i >= 0; i-- {
		if without := room.Minus(s.freedRoom(taken[i], h)); fits(without) {
			room = without
			continue
		}
		set.victims = append(set.victims, taken[i])
		set.cost += taken[i].lostWork
	}
	return set
}

// exceedsBudget reports whether stopping v in addition to the victims in s.selected and taken
// would exceed the disruption budget of v's step.
func (s *victimSearch) exceedsBudget(v victim, taken []victim) bool {
	if v.budget < 0 {
		return false
	}
	stopping := 0
	for _, other := range append(slices.Clone(s.selected), taken...) {
		if other.step == v.step {
			stopping++
		}
	}
	return stopping >= v.budget
}

// freedRoom returns the room that becomes free on h when v ends.
func (s *victimSearch) freedRoom(v victim, h *host) workload.Resources {
	var room workload.Resources
	for _, r := range v.members {
		if _, runsHere := h.worker.Runs[r]; runsHere {
			room = room.Plus(s.reservation(r))
		}
	}
	return room
}

// hostsOf returns the hosts of the search on which v has members.
func (s *victimSearch) hostsOf(v victim) []*host {
	var found []*host
	for _, h := range s.hosts {
		for _, r := range v.members {
			if _, runsHere := h.worker.Runs[r]; runsHere {
				found = append(found, h)
				break
			}
		}
	}
	return found
}

// add selects v and adds the room that it frees to its hosts.
func (s *victimSearch) add(v victim) {
	s.isSelected[v.key()] = true
	s.selected = append(s.selected, v)
	for _, h := range s.hostsOf(v) {
		s.setRoom(h, s.rooms[h].Plus(s.freedRoom(v, h)))
	}
	if v.budget >= 0 {
		// Cached sets may include other runs of v's step, for which the remaining disruption
		// budget is now smaller.
		clear(s.victimSets)
	}
}

// dropUnneeded removes selected victims without which the unit still fits, the most expensive
// first. There are such victims if a gang that was selected later also frees room on hosts where
// victims had been selected before.
func (s *victimSearch) dropUnneeded() {
	slices.SortStableFunc(s.selected, func(a, b victim) int {
		switch {
		case a.lostWork > b.lostWork:
			return -1
		case a.lostWork < b.lostWork:
			return 1
		}
		return a.task.Compare(b.task)
	})
	s.selected = slices.DeleteFunc(s.selected, func(v victim) bool {
		hosts := s.hostsOf(v)
		for _, h := range hosts {
			s.setRoom(h, s.rooms[h].Minus(s.freedRoom(v, h)))
		}
		if s.totalCapacity >= len(s.unit.members) {
			return true
		}
		for _, h := range hosts {
			s.setRoom(h, s.rooms[h].Plus(s.freedRoom(v, h)))
		}
		return false
	})
}
