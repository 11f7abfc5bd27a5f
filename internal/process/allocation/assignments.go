package allocation

import (
	"slices"

	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

// findAssignments returns hosts with capacity for all members of the unit, among those on which it may
// start, nil if the unit does not fit. A step with data on a rack prefers that rack; a gang that wants one rack
// prefers a single rack.
func (p *plan) findAssignments(u *unit, capacity capacityFunc) []assignment {
	allowed := p.hostsFor(u)
	if u.step.Rack != "" {
		return p.findNearData(u, allowed, capacity)
	}
	if u.step.Gang && u.step.SameRack && len(u.members) > 1 {
		return p.findOnOneRack(u, allowed, capacity)
	}
	return pack(u, allowed, capacity)
}

// keepAllowed returns those of the hosts that are among the allowed ones.
func (p *plan) keepAllowed(hosts, allowed []*host) []*host {
	if len(allowed) == len(p.hosts) {
		return hosts
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h *host) bool { return !slices.Contains(allowed, h) })
}

// findNearData returns allowed hosts on the rack of the unit's data. It returns hosts on other racks only
// if the unit would not fit on that rack even once all runs that it may wait for or preempt have ended, or if
// waiting for that rack is worse than running on another one. It returns nil if the unit must wait.
func (p *plan) findNearData(u *unit, allowed []*host, capacity capacityFunc) []assignment {
	nearHosts := p.racks[rackKey{u.job.Service, u.step.Rack}]
	if assignments := pack(u, p.keepAllowed(nearHosts, allowed), capacity); assignments != nil {
		return assignments
	}
	if p.worthWaiting(u) && pack(u, nearHosts, p.attainableCapacity(u)) != nil {
		return nil
	}
	return pack(u, allowed, capacity)
}

// findOnOneRack returns allowed hosts for a gang on the rack with the fewest free accelerators among
// those with enough capacity. It spreads the gang over racks only if no single rack could take
// the gang even once all runs that it may wait for or preempt have ended, or if waiting for one rack is worse than
// running on several. It returns nil if the gang must wait.
func (p *plan) findOnOneRack(u *unit, allowed []*host, capacity capacityFunc) []assignment {
	var best []assignment
	bestFree := -1
	fitsOneRack := false
	for _, key := range p.serviceRacks(u) {
		hosts := p.racks[key]
		if pack(u, hosts, p.attainableCapacity(u)) != nil {
			fitsOneRack = true
		}
		assignments := pack(u, p.keepAllowed(hosts, allowed), capacity)
		if assignments == nil {
			continue
		}
		free := 0
		for _, h := range hosts {
			free += capacity(h).Accelerators
		}
		if best == nil || free < bestFree {
			best, bestFree = assignments, free
		}
	}
	if best != nil || fitsOneRack && p.worthWaiting(u) {
		return best
	}
	return pack(u, allowed, capacity)
}

// worthWaiting reports whether the unit should wait for capacity near its data or on one rack
// rather than take several times as long elsewhere. It should until it is late by its expected
// duration, unless it is overdue.
func (p *plan) worthWaiting(u *unit) bool {
	return u.rank.slack > -u.duration && !p.isOverdue(u)
}

// serviceRacks returns the racks of the unit's service, sorted by rack.
func (p *plan) serviceRacks(u *unit) []rackKey {
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

// pack assigns the members of the unit to the hosts with the lowest placement cost. It returns
// nil if not all members fit.
func pack(u *unit, hosts []*host, capacity capacityFunc) []assignment {
	type candidate struct {
		assignment
		cost float64
	}
	var candidates []candidate
	total := 0
	for _, h := range hosts {
		n := h.maxMembers(u, capacity)
		if n == 0 {
			continue
		}
		total += n
		candidates = append(candidates, candidate{assignment{h, n}, u.placementCost(h, capacity(h), n)})
	}
	if total < len(u.members) {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		}
		return 0
	})
	var assignments []assignment
	missing := len(u.members)
	for _, c := range candidates {
		n := min(c.count, missing)
		assignments = append(assignments, assignment{c.host, n})
		missing -= n
		if missing == 0 {
			break
		}
	}
	return assignments
}

// colocationCost is added to the placement cost of a host where a filler would run beside a
// latency-sensitive task: the filler would be throttled, and would disturb the other task. It
// weighs as much as one whole worker's cores, memory or accelerators left unused.
const colocationCost = 1.0

// placementCost returns how badly count members of the unit fit the capacity of a host; lower is
// better.
func (u *unit) placementCost(h *host, capacity workload.Resources, count int) float64 {
	cost := unusedShare(capacity, u.total(count), h.worker.Room)
	if u.step.Filler && h.worker.Room.Cores > 0 {
		// Fillers use idle cores, however much of the worker is reserved.
		cost = -float64(h.idleCores) / float64(h.worker.Room.Cores)
	}
	switch {
	case u.implicated:
		// The fewer other tasks there are on the worker, the fewer are lost if it crashes.
		cost = -cost
		if h.probation == u.job.ID {
			cost -= probationCost
		}
	case h.probation != "":
		cost += probationCost
	}
	if u.hasFailedOn(h) {
		cost += failedWorkerCost
	}
	if u.step.Filler && h.hasLatencySensitive || u.step.TailTarget > 0 && h.hasFiller {
		cost += colocationCost
	}
	return cost
}

// unusedShare returns the share of a worker that a placement leaves unused, summed over cores,
// memory and accelerators: 0 to 3. Preferring low values reduces fragmentation.
func unusedShare(capacity, reservation, workerCapacity workload.Resources) float64 {
	rest := capacity.Minus(reservation)
	sum := 0.0
	if workerCapacity.Cores > 0 {
		sum += float64(rest.Cores) / float64(workerCapacity.Cores)
	}
	if workerCapacity.Memory > 0 {
		sum += float64(rest.Memory) / float64(workerCapacity.Memory)
	}
	if workerCapacity.Accelerators > 0 {
		sum += float64(rest.Accelerators) / float64(workerCapacity.Accelerators)
	}
	return sum
}
