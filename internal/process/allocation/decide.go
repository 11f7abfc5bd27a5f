package allocation

import (
	"time"

	"corianderpass/internal/process/permit"
	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
)

// Rules are the figures of the installation that decisions depend on.
type Rules struct {
	// FarFactor is how many times as long a task takes far from its data, or a
	// gang of one rack on several.
	FarFactor float64
	// CheckpointInterval is the work between two checkpoints of a task.
	CheckpointInterval time.Duration
	// EarlyStart is how long before its due time an occurrence may start.
	EarlyStart time.Duration
}

// Input is what a decision depends on.
type Input struct {
	State   *workload.State
	History *History
	Rules   Rules
	// Bundle is the bundle in force, nil before the first.
	Bundle *bundle.Bundle
	// Now is the steady clock of the memory.
	Now time.Duration
	// WallTime is the time of day, for due times only.
	WallTime time.Time
	// Permits are those that are known; nil if none is.
	Permits Permits
}

// Decision is what should be proposed. Terms are left to the proposer.
type Decision struct {
	Places []workload.Place
	Stops  []workload.Stop
	// PermitQueries are questions whose answers may let more be placed, the most urgent first.
	PermitQueries []permit.Query
}

// Empty tells whether there is nothing to propose.
func (d Decision) Empty() bool { return len(d.Places)+len(d.Stops) == 0 }

// Decide returns the placements and stops that are due now.
func Decide(in Input) Decision {
	p := newPlan(in)
	p.evacuate()
	p.migrate()
	for _, u := range p.rankedUnits() {
		if !p.serve(u) {
			p.want(u)
		}
	}
	return p.decision
}

// plan gathers the decisions of one round.
type plan struct {
	Input
	hosts []*host
	racks map[rackKey][]*host
	// stopping are runs that this round or an earlier one stops.
	stopping map[workload.TaskRef]bool
	assured  map[bundle.OrganisationName]bool
	// rooms are the sums of the services' workers.
	rooms    map[bundle.ServiceName]workload.Resources
	decision Decision
}

// serve places a unit and returns true, or makes room for it, or lets it wait.
func (p *plan) serve(u *unit) bool {
	if sites := p.find(u, freeNow); sites != nil {
		p.place(u, sites)
		return true
	}
	if sites := p.find(u, freeSoon); sites != nil {
		p.reserve(u, sites)
		return false
	}
	if u.mayPreempt() {
		if sites, wait := p.soonest(u); sites != nil && wait <= p.patience(u) {
			p.reserve(u, sites)
			return false
		}
		if sites := p.preempt(u); sites != nil {
			p.reserve(u, sites)
			return false
		}
	}
	if u.rank.tier <= tierUrgent {
		p.awaitRoom(u)
	}
	return false
}

// site is a number of members on one host.
type site struct {
	host  *host
	count int
}

// patienceShare is the part of its slack that a unit waits for runs that end by
// themselves before others must yield to it; the rest is for what estimates miss.
const patienceShare = 0.35

// patience returns how long the unit can wait for room.
func (p *plan) patience(u *unit) time.Duration {
	return time.Duration(patienceShare * float64(max(u.rank.slack, 0)))
}

func (p *plan) place(u *unit, sites []site) {
	order := workload.Place{Run: u.run + 1}
	next := 0
	for _, s := range sites {
		for range s.count {
			order.Members = append(order.Members, workload.Member{Task: u.members[next], Worker: s.host.worker.Life, Permit: u.permits[s.host.worker.Life]})
			next++
		}
		s.host.take(u, s.count)
	}
	p.decision.Places = append(p.decision.Places, order)
}

// reserve keeps the room for the unit from all that rank behind it.
func (p *plan) reserve(u *unit, sites []site) {
	for _, s := range sites {
		s.host.soon = s.host.soon.Minus(clipTo(u.total(s.count), s.host.soon))
		s.host.clip()
	}
}
