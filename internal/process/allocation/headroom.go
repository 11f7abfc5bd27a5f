package allocation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
)

// minUsedShare is the share of a service's capacity that must be in use before units leave headroom. By
// the platform's rules, no job may wait for long while it fits and less is in use.
const minUsedShare = 0.5

// HeldBack is an occurrence with a unit that would fit, but leaves the capacity to more urgent jobs
// that are expected to arrive.
type HeldBack struct {
	Job        workload.JobID
	Occurrence int
	// Demand is the expected demand of more urgent jobs: a share of the service's capacity.
	Demand float64
	// Workers is the number of workers that the unit may use, of AllWorkers that take tasks.
	Workers, AllWorkers int
	// Slack is how long the unit can still wait.
	Slack time.Duration
}

// headroom caches the result of hostsFor for the units of one step.
type headroom struct {
	step workload.StepRef
	// placements is the number of the round's placements when hosts was computed.
	placements int
	hosts      []*host
	// noted holds the steps for which noteHeldBack was called in this round.
	noted map[workload.StepRef]bool
}

// leavesHeadroom reports whether the unit must leave capacity to more urgent jobs. A unit whose slack is
// less than one run need not, since it cannot wait for another run to end.
func (u *unit) leavesHeadroom() bool {
	return u.job.Priority > 0 && !u.step.LongRunning && u.rank.slack >= u.duration
}

// hostsFor returns the hosts on which the unit may start: those where runs of its own priority or of less
// urgent ones are, and as many others, the fullest first, as more urgent jobs are not expected to need.
// It returns all hosts if there are no such runs, so that every priority can start something, and while
// less than minUsedShare is in use.
//
// The pattern that this answers is steady urgent work beside wide jobs of low priority. These would
// spread over all workers whenever they are idle for a moment, and the next urgent gang, which needs
// whole workers, would have to stop many of them.
func (p *plan) hostsFor(u *unit) []*host {
	if !u.leavesHeadroom() {
		return p.hosts
	}
	c := &p.headroom
	step, placements := u.members[0].StepRef(), len(p.decision.Places)
	if c.hosts == nil || c.step != step || c.placements != placements {
		c.step, c.placements, c.hosts = step, placements, p.findHeadroom(u)
	}
	return c.hosts
}

// findHeadroom does the same as hostsFor, for a unit that must leave headroom.
func (p *plan) findHeadroom(u *unit) []*host {
	demand := p.demandBefore(u)
	if demand == 0 || p.usedShare(u.job.Service) < minUsedShare {
		return p.hosts
	}
	var shared, others []*host
	total := 0
	for _, h := range p.hosts {
		if h.worker.Service != u.job.Service {
			continue
		}
		total++
		switch {
		case !h.worker.Allows(u.job.Service, u.step):
		case h.maxPriority >= u.job.Priority:
			shared = append(shared, h)
		default:
			others = append(others, h)
		}
	}
	if len(shared) == 0 {
		return p.hosts
	}
	spare := total - len(shared) - int(math.Ceil(demandMargin*demand*float64(total)))
	if spare <= 0 {
		return shared
	}
	slices.SortStableFunc(others, func(a, b *host) int { return cmp.Compare(a.freeShare(), b.freeShare()) })
	return append(shared, others[:min(spare, len(others))]...)
}

// demandBefore returns the expected demand of jobs that are more urgent than the unit.
func (p *plan) demandBefore(u *unit) float64 {
	return p.History.demandBefore(u.job.Service, u.job.Priority, p.serviceCapacities[u.job.Service])
}

// noteHeldBack adds the unit's occurrence to the decision's HeldBack if the unit, which was not placed,
// would fit without headroom. It looks at one unit of each step only.
func (p *plan) noteHeldBack(u *unit) {
	c, step := &p.headroom, u.members[0].StepRef()
	if !u.leavesHeadroom() || c.noted[step] {
		return
	}
	if c.noted == nil {
		c.noted = map[workload.StepRef]bool{}
	}
	c.noted[step] = true
	if hosts := p.hostsFor(u); len(hosts) < len(p.hosts) && pack(u, p.hosts, capacityNow) != nil {
		p.decision.HeldBack = append(p.decision.HeldBack, HeldBack{
			Job: u.job.ID, Occurrence: step.Occurrence, Demand: p.demandBefore(u), Workers: len(hosts), AllWorkers: len(p.hosts), Slack: u.rank.slack,
		})
	}
}

// usedShare returns the share of the service's capacity that runs and reservations take up, of the
// resource of which they take up most.
func (p *plan) usedShare(service bundle.ServiceName) float64 {
	used := p.usedElsewhere[service]
	for _, h := range p.hosts {
		if h.worker.Service == service {
			used = used.Plus(h.worker.Room.Minus(h.free))
		}
	}
	return dominantShare(used, p.serviceCapacities[service])
}

// freeShare returns the share of the host that is free, summed over cores, memory and accelerators.
func (h *host) freeShare() float64 { return unusedShare(h.free, workload.Resources{}, h.worker.Room) }
