package allocation

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
)

const (
	// maxTaskKinds is the number of kinds of arriving tasks that a stranding considers, those of the
	// highest values. The time to compare hosts grows with it.
	maxTaskKinds = 12
	// minTaskValue is the lowest value of a kind that a stranding considers. Lower values result from
	// rounding errors in equal pressures.
	minTaskValue = 1e-9
)

// stranding values the free capacity of one service's workers by the tasks that are observed to
// arrive. The zero value values all capacity at 0.
type stranding struct {
	// kinds are sorted by value, the highest first.
	kinds []taskKind
}

// taskKind is the reservation of arriving tasks and the value of capacity for one of them.
type taskKind struct {
	reservation workload.Resources
	value       float64
}

// setStrandings sets the stranding of each host from the arrivals in the history and the capacity that
// is free at the start of the round.
func (p *plan) setStrandings() {
	hosts := map[bundle.ServiceName][]*host{}
	for _, h := range p.hosts {
		hosts[h.worker.Service] = append(hosts[h.worker.Service], h)
	}
	for service, hosts := range hosts {
		s := newStranding(p.History.arrivingWork(service), hosts)
		for _, h := range hosts {
			h.stranding = s
		}
	}
}

// arrivingWork returns the work of the tasks of the service that arrived within the last demandWindow,
// in microseconds of run time by reservation. It uses integers, so that the sums do not depend on the
// order of the arrivals.
func (h *History) arrivingWork(service bundle.ServiceName) map[workload.Resources]int64 {
	work := map[workload.Resources]int64{}
	for _, a := range h.arrivals {
		if a.service != service {
			continue
		}
		for _, s := range a.steps {
			if s.task != (workload.Resources{}) {
				work[s.task] += int64(s.tasks) * s.duration.Microseconds()
			}
		}
	}
	return work
}

// newStranding returns the stranding of hosts of one service for the arriving work. A kind's value is
// its share of the run time of all arriving tasks, times its reservation as shares of a mean worker
// weighted by the scarcities of the resources.
func newStranding(work map[workload.Resources]int64, hosts []*host) *stranding {
	var demand, capacity, free resourceVector
	for _, h := range hosts {
		capacity = capacity.plus(h.worker.Room, 1)
		free = free.plus(h.free, 1)
	}
	runTime := 0.0
	reservations := slices.SortedFunc(maps.Keys(work), compareResources)
	for _, r := range reservations {
		runTime += float64(work[r])
		demand = demand.plus(r, float64(work[r])/float64(demandWindow.Microseconds()))
	}
	s := &stranding{}
	if runTime == 0 {
		return s
	}
	scarcities := scarcitiesOf(demand, capacity, free)
	for _, r := range reservations {
		value := 0.0
		for i, amount := range vectorOf(r) {
			if capacity[i] > 0 {
				value += scarcities[i] * amount * float64(len(hosts)) / capacity[i]
			}
		}
		if value *= float64(work[r]) / runTime; value >= minTaskValue {
			s.kinds = append(s.kinds, taskKind{r, value})
		}
	}
	slices.SortStableFunc(s.kinds, func(a, b taskKind) int { return cmp.Compare(b.value, a.value) })
	s.kinds = s.kinds[:min(len(s.kinds), maxTaskKinds)]
	return s
}

// resourceVector holds amounts of cores, memory and accelerators, in this order.
type resourceVector [3]float64

func vectorOf(r workload.Resources) resourceVector {
	return resourceVector{float64(r.Cores), float64(r.Memory), float64(r.Accelerators)}
}

// plus returns the vector plus the resources times the factor.
func (v resourceVector) plus(r workload.Resources, factor float64) resourceVector {
	for i, amount := range vectorOf(r) {
		v[i] += amount * factor
	}
	return v
}

// scarcitiesOf returns for each resource how much its pressure exceeds the lowest pressure of any
// resource. The pressure is the demand as a share of demand and free capacity, 0 to 1. If all pressures
// are equal, no resource is scarcer than another, and all scarcities are 0.
func scarcitiesOf(demand, capacity, free resourceVector) resourceVector {
	var scarcities resourceVector
	lowest := 1.0
	for i := range scarcities {
		if capacity[i] <= 0 {
			continue
		}
		if demand[i] > 0 {
			scarcities[i] = demand[i] / (demand[i] + max(free[i], 0))
		}
		lowest = min(lowest, scarcities[i])
	}
	for i := range scarcities {
		scarcities[i] = max(scarcities[i]-lowest, 0)
	}
	return scarcities
}

func compareResources(a, b workload.Resources) int {
	return cmp.Or(cmp.Compare(a.Accelerators, b.Accelerators), cmp.Compare(a.Memory, b.Memory), cmp.Compare(a.Cores, b.Cores))
}

// cost returns the value of the arriving tasks that fit into the capacity, but no longer fit once count
// members have taken the reservation from it, for each of these members.
func (s *stranding) cost(capacity, reservation workload.Resources, count int) float64 {
	rest := capacity.Minus(reservation)
	lost := 0.0
	for _, k := range s.kinds {
		lost += k.value * float64(countFitting(k.reservation, capacity, math.MaxInt)-countFitting(k.reservation, rest, math.MaxInt))
	}
	return lost / float64(count)
}

// strandedCost is the latest cost that a host computed, with its inputs.
type strandedCost struct {
	capacity, reservation workload.Resources
	count                 int
	cost                  float64
}

// strandingCost returns the cost of a placement of count members, which take the reservation from the
// capacity of the host. It keeps the latest cost, since the tasks of a step have the same reservation
// and a placement changes few hosts.
func (h *host) strandingCost(capacity, reservation workload.Resources, count int) float64 {
	c := &h.strandedCost
	if c.count != count || c.capacity != capacity || c.reservation != reservation {
		*c = strandedCost{capacity, reservation, count, h.stranding.cost(capacity, reservation, count)}
	}
	return c.cost
}
