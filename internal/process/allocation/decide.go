package allocation

import (
	"time"

	"corianderpass/internal/process/permit"
	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
)

// Rules are the limits and factors of the installation.
type Rules struct {
	// FarFactor is the factor by which a task takes longer on another rack than that of its
	// data, or a gang that wants one rack when it is spread over several racks.
	FarFactor float64
	// CheckpointInterval is the run time between two checkpoints of a task.
	CheckpointInterval time.Duration
	// EarlyStart is how long before its due time an occurrence may start.
	EarlyStart time.Duration
	// FinishTime is how long after its submission a job may wait for a better worker or rack while there is room for
	// it; 0 means no limit.
	FinishTime time.Duration
}

// Input is everything that a decision depends on. Decide changes none of it, except for medians
// cached in History.
type Input struct {
	State   *workload.State
	History *History
	Rules   Rules
	// Bundle is the bundle in force. It is nil until the first one is known.
	Bundle *bundle.Bundle
	// Now is the time of the decision on the process's monotonic clock, which the times passed
	// to History must come from too.
	Now time.Duration
	// WallTime is the wall-clock time of the decision. It is compared with due times only.
	WallTime time.Time
	// UndecidedStops are tasks whose stops were proposed and may still take effect.
	UndecidedStops []workload.TaskRef
	// Permits looks up known permits. If it is nil, units that need a permit are not placed.
	Permits Permits
}

// Decision lists the records to propose. The proposer fills in their terms.
type Decision struct {
	Places []workload.Place
	Stops  []workload.Stop
	// Delays are the open occurrences that are not expected to end within their objectives, in the
	// order of their jobs.
	Delays []Delay
	// HeldBack are the occurrences that wait although they fit, in the order of their ranks.
	HeldBack []HeldBack
	// FailureWaits are the occurrences whose last attempt waits for workers on which it has not failed, in the
	// order of their ranks.
	FailureWaits []FailureWait
	// QuarantineUses are the units placed on workers in spite of their quarantine, in the order of their ranks.
	QuarantineUses []QuarantineUse
	// PermitQueries are the queries to the adviser whose answers may allow more placements, the
	// most urgent first.
	PermitQueries []permit.Query
}

// Empty reports whether there is nothing to propose. It ignores Delays, HeldBack,
// FailureWaits, QuarantineUses and PermitQueries.
func (d Decision) Empty() bool { return len(d.Places)+len(d.Stops) == 0 }

// Decide returns the runs to start and to stop now. It places the waiting units in order of
// rank. For a unit that does not fit it may reserve capacity, which units of lower rank then
// cannot use.
func Decide(in Input) Decision {
	p := newPlan(in)
	p.forecastAll()
	p.evacuate()
	p.migrate()
	for _, u := range p.rankedUnits() {
		if !p.tryPlace(u) {
			p.noteHeldBack(u)
			p.noteFailureWait(u)
			p.queryPermits(u)
		}
	}
	return p.decision
}

// plan is the state of one round of decisions.
type plan struct {
	Input
	// hosts are the workers that can take tasks, sorted by life. hostsByLife has the same hosts by
	// life, racks by service and rack. excludedHosts are the workers that take none only because they are
	// quarantined or run a trial task. hasQuarantine is true if there are any, or hosts with trialOnly.
	hosts         []*host
	excludedHosts []*host
	hasQuarantine bool
	hostsByLife   map[workload.LifeID]*host
	racks         map[rackKey][]*host
	// stopping holds the tasks whose run is being stopped, by this round or an earlier one, or may be by an
	// undecided stop.
	stopping map[workload.TaskRef]bool
	// withinGuarantee holds the organisations whose open priority-0 jobs need no more
	// accelerators than the organisation's guarantee.
	withinGuarantee map[bundle.OrganisationName]bool
	// serviceCapacities is the total capacity of each service's workers, used or not. Workers of
	// evacuated failure domains do not count.
	serviceCapacities map[bundle.ServiceName]workload.Resources
	// usedElsewhere is what runs reserve on those of these workers that are not in hosts.
	usedElsewhere map[bundle.ServiceName]workload.Resources
	// forecasts has the open occurrences that may start and have an objective.
	forecasts map[occurrenceKey]*forecast
	// headroom is a cache of hostsFor.
	headroom headroom
	// failureWaitNoted holds the steps for which noteFailureWait was called in this round.
	failureWaitNoted map[workload.StepRef]bool
	// ends and victims are caches of expectedEnds and runsByLoss; nil until their first use.
	ends     []expectedEnd
	victims  map[*host][]*victim
	decision Decision
}

// tryPlace places the unit and returns true if the unit fits now. Otherwise it returns false,
// and may reserve capacity for the unit or stop runs of lower rank.
func (p *plan) tryPlace(u *unit) bool {
	if assignments := p.findAssignments(u, capacityNow); assignments != nil {
		p.place(u, assignments)
		return true
	}
	if assignments := p.findAssignments(u, capacityAfterStops); assignments != nil {
		p.reserve(u, assignments)
		return false
	}
	if u.mayPreempt() {
		if assignments, wait := p.earliestStart(u); assignments != nil && wait <= p.maxWait(u) {
			p.reserve(u, assignments)
			return false
		}
		if assignments := p.preempt(u); assignments != nil {
			p.reserve(u, assignments)
			return false
		}
	}
	if p.placeInQuarantine(u) {
		return true
	}
	if u.rank.tier <= tierUrgent && u.rank.outlook != outlookMissed {
		p.reserveEarliest(u)
	}
	return false
}

// assignment is a host and the number of a unit's members to start there.
type assignment struct {
	host  *host
	count int
}

// maxWaitShare is the share of its slack that a unit waits for runs to end on their own before
// it preempts. The rest of the slack covers errors of the estimates.
const maxWaitShare = 0.35

// maxWait returns how long the unit waits for running tasks to end before it preempts.
func (p *plan) maxWait(u *unit) time.Duration {
	return time.Duration(maxWaitShare * float64(max(u.rank.slack, 0)))
}

// place adds the unit to the decision's placements and subtracts its reservations from the
// hosts.
func (p *plan) place(u *unit, assignments []assignment) {
	placement := workload.Place{Run: u.run + 1}
	next := 0
	for _, a := range assignments {
		for range a.count {
			placement.Members = append(placement.Members, workload.Member{Task: u.members[next], Worker: a.host.worker.Life, Permit: u.permits[a.host.worker.Life]})
			next++
		}
		a.host.assign(u, a.count)
	}
	p.decision.Places = append(p.decision.Places, placement)
}

// reserve subtracts the capacity of the assignments from the hosts, so that units of lower rank,
// which are placed later in the round, cannot use it.
func (p *plan) reserve(u *unit, assignments []assignment) {
	for _, a := range assignments {
		a.host.afterStops = a.host.afterStops.Minus(clampToCapacity(u.total(a.count), a.host.afterStops))
		a.host.capFree()
	}
}
