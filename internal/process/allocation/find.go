package allocation

import (
	"slices"

	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

// find returns where all members of the unit fit, nil if nowhere. Hosts of one
// rack go first where distance costs time.
func (p *plan) find(u *unit, room horizon) []site {
	if u.step.Rack != "" {
		return p.findNear(u, room)
	}
	if u.step.Gang && u.step.SameRack && len(u.members) > 1 {
		return p.findRack(u, room)
	}
	return pack(u, p.hosts, room)
}

// findNear places a unit beside its data. It goes elsewhere only if no worker
// there could ever take it.
func (p *plan) findNear(u *unit, room horizon) []site {
	near := p.racks[rackKey{u.job.Service, u.step.Rack}]
	if sites := pack(u, near, room); sites != nil {
		return sites
	}
	if pack(u, near, wholeRoom) != nil && p.worthWaiting(u) {
		return nil
	}
	return pack(u, p.hosts, room)
}

// findRack places a gang on one rack, the fullest that has room. It is spread
// over racks only if no single one could ever take it.
func (p *plan) findRack(u *unit, room horizon) []site {
	var best []site
	bestLeft := -1
	possible := false
	for _, key := range p.rackKeys(u) {
		hosts := p.racks[key]
		if pack(u, hosts, wholeRoom) != nil {
			possible = true
		}
		sites := pack(u, hosts, room)
		if sites == nil {
			continue
		}
		left := 0
		for _, h := range hosts {
			left += room(h).Accelerators
		}
		if best == nil || left < bestLeft {
			best, bestLeft = sites, left
		}
	}
	if best != nil || possible && p.worthWaiting(u) {
		return best
	}
	return pack(u, p.hosts, room)
}

// worthWaiting tells whether waiting for near room is better than to take several
// times as long far away.
func (p *plan) worthWaiting(u *unit) bool {
	return u.rank.slack > -u.duration
}

// rackKeys returns the racks of the unit's service in a fixed order.
func (p *plan) rackKeys(u *unit) []rackKey {
	var keys []rackKey
	for key := range p.racks {
		if key.service == u.job.Service {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b rackKey) int { return compareRacks(a.rack, b.rack) })
	return keys
}

func compareRacks(a, b platform.RackID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// pack puts the members on the hosts that they fill best, nil if not all fit.
func pack(u *unit, hosts []*host, room horizon) []site {
	type option struct {
		site
		left float64
	}
	var options []option
	total := 0
	for _, h := range hosts {
		n := h.capacity(u, room)
		if n == 0 {
			continue
		}
		total += n
		options = append(options, option{site{h, n}, u.cost(h, room(h), n)})
	}
	if total < len(u.members) {
		return nil
	}
	slices.SortStableFunc(options, func(a, b option) int {
		switch {
		case a.left < b.left:
			return -1
		case a.left > b.left:
			return 1
		}
		return 0
	})
	var sites []site
	missing := len(u.members)
	for _, o := range options {
		n := min(o.count, missing)
		sites = append(sites, site{o.host, n})
		missing -= n
		if missing == 0 {
			break
		}
	}
	return sites
}

// besideCost is how much emptiness, in whole workers, is as bad as a filler beside a
// task that serves: the one is held back, the other disturbed.
const besideCost = 1.0

// cost tells how badly members of the unit would fit a host; lower is better.
func (u *unit) cost(h *host, room workload.Resources, count int) float64 {
	cost := left(room, u.total(count), h.worker.Room)
	if u.step.Filler && h.worker.Room.Cores > 0 {
		// Fillers live on what is idle, however full the worker is otherwise.
		cost = -float64(h.idle) / float64(h.worker.Room.Cores)
	}
	if u.avoid[h.worker.Life] {
		cost += avoidCost
	}
	if u.step.Filler && h.serves || u.step.TailTarget > 0 && h.fills {
		cost += besideCost
	}
	return cost
}

// left returns the share of a worker that a placement leaves unused, over all
// dimensions: the less is left, the less is split.
func left(room, taken, whole workload.Resources) float64 {
	rest := room.Minus(taken)
	sum := 0.0
	if whole.Cores > 0 {
		sum += float64(rest.Cores) / float64(whole.Cores)
	}
	if whole.Memory > 0 {
		sum += float64(rest.Memory) / float64(whole.Memory)
	}
	if whole.Accelerators > 0 {
		sum += float64(rest.Accelerators) / float64(whole.Accelerators)
	}
	return sum
}
