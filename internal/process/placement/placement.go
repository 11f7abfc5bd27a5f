// Package placement decides which waiting jobs of a region start on which
// accelerators, and which running jobs are moved. A decision depends only on the
// ledger's state, the time and the policy, and changes none of them; there is no I/O.
// The entry proposes the decision as ledger records, and the ledger accepts or rejects
// each record. Experiments compare Policy with the baseline Naive.
package placement

import (
	"time"

	"corianderpass/internal/process/ledger"
	"corianderpass/internal/version/bundle"
)

// Policy chooses placements. The zero value is the full policy. Each field that is true
// disables one part, so that experiments can measure the effect of that part.
type Policy struct {
	// NoBackfill disables backfill: after the first job of a decision that could not be
	// placed, only urgent jobs get free accelerators outside slots.
	NoBackfill bool
	// NoAgeing makes the order of the queue independent of the waiting time.
	NoAgeing bool
	// NoCorrection makes the policy use the declared run times of jobs without the
	// ledger's correction by the run times of earlier jobs.
	NoCorrection bool
	// NoMoves disables moving smaller jobs to make room for a gang.
	NoMoves bool
	// NoCompaction disables moving jobs to empty a worker.
	NoCompaction bool
	// NoSmallJobDelay allows placing small jobs on empty workers immediately, even while
	// a gang that needs whole workers waits.
	NoSmallJobDelay bool
}

// maxPlaces is the largest number of placements in one decision.
const maxPlaces = 64

// Skip reports whether a job must be left out of the decision.
type Skip func(ledger.JobID) bool

// plan is the working state of one decision.
type plan struct {
	policy Policy
	state  *ledger.State
	now    time.Time
	view   *view
	// shadowTime is when the blocked head of the queue is expected to start. It is
	// valid while headBlocked is true.
	shadowTime time.Time
	// headBlocked is true once a job could not be placed; the first such job is the
	// blocked head of the queue.
	headBlocked bool
	// largeGangWaits is true if any waiting job is not small.
	largeGangWaits bool
	// filledSlots has the indexes in State.Slots of the slots that this plan fills.
	filledSlots map[int]bool
	// unplaceable has, for each search key, the number of tasks of the smallest gang
	// for which search found no places. The free capacity only shrinks during a plan,
	// so there are none for a larger gang with the same key either.
	unplaceable map[searchKey]int
	// unplaceableWithMoves has the keys of the gangs for which searchWithMoves found no
	// places.
	unplaceableWithMoves map[moveSearchKey]bool
	// planned is the number of accelerators that the planned placements give to each
	// organisation.
	planned map[bundle.OrganisationName]int
	places  []ledger.Place
}

// Decision is what to propose to the ledger: first the placements in their order, then
// the yields.
type Decision struct {
	// Places start waiting jobs. Each has the next epoch of its job; the caller sets
	// the driver.
	Places []ledger.Place
	// Yields stop running jobs so that compaction can empty their worker.
	Yields []ledger.Yield
}

// IsEmpty reports whether there is nothing to propose.
func (d Decision) IsEmpty() bool { return len(d.Places)+len(d.Yields) == 0 }

// Decide returns placements for waiting jobs in the order of the queue, and yields for
// compaction. Jobs for which skip returns true are left out. The decision is empty if
// the state has no bundle.
func (p Policy) Decide(s *ledger.State, now time.Time, skip Skip) Decision {
	waiting := waitingJobs(s, skip)
	if s.Bundle() == nil {
		return Decision{}
	}
	d := newPlan(p, s, now)
	d.order(waiting)
	for _, j := range waiting {
		d.largeGangWaits = d.largeGangWaits || !j.Small()
	}
	for _, j := range waiting {
		if len(d.places) == maxPlaces {
			break
		}
		d.placeOrReserve(j)
	}
	return Decision{Places: d.places, Yields: d.compact()}
}

func waitingJobs(s *ledger.State, skip Skip) []*ledger.Job {
	return s.Active(func(j *ledger.Job) bool {
		return j.Phase == ledger.PhaseWaiting && !j.Cancelled && !skip(j.ID)
	})
}

func newPlan(p Policy, s *ledger.State, now time.Time) *plan {
	return &plan{
		policy: p, state: s, now: now, view: newView(s, now),
		filledSlots: map[int]bool{}, unplaceable: map[searchKey]int{}, unplaceableWithMoves: map[moveSearchKey]bool{}, planned: map[bundle.OrganisationName]int{},
	}
}

// placeOrReserve plans the job if it can be placed. For the first job of the plan that
// cannot be placed, it sets accelerators aside.
func (d *plan) placeOrReserve(j *ledger.Job) {
	// Batch jobs fill slots only if there are no places outside them: an urgent job of
	// the organisation may need the slots at any time.
	urgent := j.Class == ledger.ClassUrgent
	if urgent && d.placeInSlots(j) {
		return
	}
	if !d.overQuota(j) && d.placeOutsideSlots(j) {
		return
	}
	if !urgent && d.justifiesSlots(j) && d.placeInSlots(j) {
		return
	}
	if !d.headBlocked {
		d.reserveForHead(j)
	}
}

// placeOutsideSlots plans a job on accelerators outside its organisation's slots and
// reports whether it found places.
func (d *plan) placeOutsideSlots(j *ledger.Job) bool {
	kind := ledger.KindBorrowed
	if !j.Preemptible {
		kind = ledger.KindFirm
	}
	gang, moves := d.find(j)
	if gang == nil {
		return false
	}
	d.addPlace(j, shapeOf(j.Spec), ledger.Place{Kind: kind, Assignments: gang, Moves: moves})
	return true
}

// overQuota reports whether the job would exceed its organisation's quota, counting the
// placements that are already planned. It returns true if the bundle does not have the
// organisation.
func (d *plan) overQuota(j *ledger.Job) bool {
	o, known := d.state.Bundle().Organisation(j.ID.Organisation())
	if !known {
		return true
	}
	return !d.state.WithinQuota(o, d.planned[o.Name]+j.TotalAccelerators())
}

// addPlace adds a placement of the job to the plan and subtracts its capacity from the
// view.
func (d *plan) addPlace(j *ledger.Job, s shape, p ledger.Place) {
	p.Job = j.ID
	p.Epoch = j.Epoch + 1
	d.view.subtract(s, p.Assignments)
	d.planned[j.ID.Organisation()] += s.tasks * s.accelerators
	d.places = append(d.places, p)
}
