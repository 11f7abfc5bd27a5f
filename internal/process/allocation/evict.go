package allocation

import (
	"slices"

	"corianderpass/internal/process/workload"
)

// eviction is a set of victims, what they lose in core-seconds, and where the unit
// goes in the room that they leave.
type eviction struct {
	sites   []site
	victims []victim
	cost    float64
}

// search looks for the victims that make room for one unit on some hosts. It goes
// host by host, since half emptied hosts help nobody.
type search struct {
	*plan
	unit  *unit
	hosts []*host
	// rooms is what the hosts have once the chosen victims are gone.
	rooms map[*host]workload.Resources
	// counts is how many members fit on each host then, total on all.
	counts     map[*host]int
	total      int
	candidates map[*host][]victim
	// offers are the cheapest victims that let one more member onto a host; hosts
	// without an entry must be looked at again.
	offers map[*host]*offer
	chosen map[workload.TaskRef]bool
	found  []victim
}

// offer is a set of victims on one host.
type offer struct {
	victims []victim
	cost    float64
}

// evict finds the victims on the hosts, nil if nothing makes room.
func (p *plan) evict(u *unit, hosts []*host) *eviction {
	s := &search{
		plan: p, unit: u, hosts: hosts, rooms: map[*host]workload.Resources{}, counts: map[*host]int{},
		candidates: map[*host][]victim{}, offers: map[*host]*offer{}, chosen: map[workload.TaskRef]bool{},
	}
	for _, h := range hosts {
		s.setRoom(h, h.soon)
		if h.capacity(u, wholeRoom) > 0 {
			s.candidates[h] = p.candidates(u, h)
		}
	}
	for s.total < len(u.members) {
		best := s.cheapestOffer()
		if best == nil {
			return nil
		}
		for _, v := range best.victims {
			s.choose(v)
		}
	}
	s.spare()
	e := &eviction{victims: s.found, sites: pack(u, hosts, s.room)}
	for _, v := range e.victims {
		e.cost += v.cost
	}
	return e
}

func (s *search) room(h *host) workload.Resources { return s.rooms[h] }

// setRoom replaces the room of a host.
func (s *search) setRoom(h *host, room workload.Resources) {
	s.rooms[h] = room
	n := h.capacity(s.unit, s.room)
	s.total += n - s.counts[h]
	s.counts[h] = n
	delete(s.offers, h)
}

// cheapestOffer returns the cheapest way to let one more member in, nil if there is
// none.
func (s *search) cheapestOffer() *offer {
	var best *offer
	for _, h := range s.hosts {
		o, known := s.offers[h]
		if !known {
			o = s.offer(h)
			s.offers[h] = o
		}
		if o != nil && (best == nil || o.cost < best.cost) {
			best = o
		}
	}
	return best
}

// offer returns the cheapest victims on the host that let one more member in, nil if
// no set of them does.
func (s *search) offer(h *host) *offer {
	room, goal := s.rooms[h], s.counts[h]+1
	fits := func(r workload.Resources) bool {
		return h.capacity(s.unit, func(*host) workload.Resources { return r }) >= goal
	}
	var taken []victim
	for _, v := range s.candidates[h] {
		if s.isSpared(v, taken) || s.chosen[v.name()] || slices.ContainsFunc(taken, func(t victim) bool { return t.name() == v.name() }) {
			continue
		}
		taken = append(taken, v)
		room = room.Plus(s.leaves(v, h))
		if fits(room) {
			break
		}
	}
	if !fits(room) {
		return nil
	}
	o := &offer{}
	for i := len(taken) - 1; i >= 0; i-- {
		if less := room.Minus(s.leaves(taken[i], h)); fits(less) {
			room = less
			continue
		}
		o.victims = append(o.victims, taken[i])
		o.cost += taken[i].cost
	}
	return o
}

// isSpared tells whether too many tasks of the victim's step would be away with it.
func (s *search) isSpared(v victim, taken []victim) bool {
	if v.spare < 0 {
		return false
	}
	yield := 0
	for _, other := range append(slices.Clone(s.found), taken...) {
		if other.step == v.step {
			yield++
		}
	}
	return yield >= v.spare
}

// leaves returns what the end of a victim leaves on a host.
func (s *search) leaves(v victim, h *host) workload.Resources {
	var room workload.Resources
	for _, r := range v.members {
		if _, there := h.worker.Runs[r]; there {
			room = room.Plus(s.claim(r))
		}
	}
	return room
}

// touched returns the hosts on which a victim has members.
func (s *search) touched(v victim) []*host {
	var found []*host
	for _, h := range s.hosts {
		for _, r := range v.members {
			if _, there := h.worker.Runs[r]; there {
				found = append(found, h)
				break
			}
		}
	}
	return found
}

func (s *search) choose(v victim) {
	s.chosen[v.name()] = true
	s.found = append(s.found, v)
	for _, h := range s.touched(v) {
		s.setRoom(h, s.rooms[h].Plus(s.leaves(v, h)))
	}
	if v.spare >= 0 {
		// Others of its step may no more yield elsewhere.
		clear(s.offers)
	}
}

// spare lets the victims go that turned out not to be needed: a gang that yields
// leaves room on hosts that were emptied before.
func (s *search) spare() {
	slices.SortStableFunc(s.found, func(a, b victim) int {
		switch {
		case a.cost > b.cost:
			return -1
		case a.cost < b.cost:
			return 1
		}
		return a.task.Compare(b.task)
	})
	s.found = slices.DeleteFunc(s.found, func(v victim) bool {
		hosts := s.touched(v)
		for _, h := range hosts {
			s.setRoom(h, s.rooms[h].Minus(s.leaves(v, h)))
		}
		if s.total >= len(s.unit.members) {
			return true
		}
		for _, h := range hosts {
			s.setRoom(h, s.rooms[h].Plus(s.leaves(v, h)))
		}
		return false
	})
}
