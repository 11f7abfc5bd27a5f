// Package placement decides which waiting jobs start where. It is a pure
// function of the ledger's state and the time; the ledger judges what it proposes.
package placement

import (
	"time"

	"corianderpass/internal/process/ledger"
	"corianderpass/internal/version/bundle"
)

// Policy chooses placements. The zero value is the full policy; each field
// switches one part off, to measure what it is worth.
type Policy struct {
	// NoBackfill lets nothing pass the blocked head of the queue.
	NoBackfill bool
	// NoAgeing leaves the waiting time out of the order.
	NoAgeing bool
	// NoCorrection takes declared run times as they are.
	NoCorrection bool
	// NoMoves never sends small jobs elsewhere to make room for a gang.
	NoMoves bool
	// NoCompaction leaves small jobs where they are.
	NoCompaction bool
	// NoSmallJobDelay lets small jobs break into empty workers at once.
	NoSmallJobDelay bool
}

// maxDecisions bounds the placements of one decision.
const maxDecisions = 64

// Skip tells which jobs are not to be placed now.
type Skip func(ledger.JobID) bool

// plan is one decision under way.
type plan struct {
	policy Policy
	state  *ledger.State
	now    time.Time
	view   *view
	// shadowTime is when the blocked head of the queue is expected to start.
	shadowTime time.Time
	// headBlocked is true once a job could not be placed.
	headBlocked bool
	// largeGangWaits is true if a gang that needs whole workers waits.
	largeGangWaits bool
	// filledSlots has the slots that this plan gave away.
	filledSlots map[int]bool
	// unplaceable has the smallest gang of each need for which no room was found. The
	// view only shrinks, so larger gangs with the same need find none either.
	unplaceable map[searchKey]int
	// unplaceableWithMoves has the gangs for which nothing could be moved.
	unplaceableWithMoves map[moveSearchKey]bool
	// planned is what this plan gave each organisation.
	planned   map[bundle.OrganisationName]int
	places []ledger.Place
}

// Decision is what to propose to the ledger, in this order.
type Decision struct {
	// Places have the epoch that is due and no driver.
	Places []ledger.Place
	// Yields are jobs to be placed anew in tighter holes.
	Yields []ledger.Yield
}

// IsEmpty tells whether there is nothing to propose.
func (d Decision) IsEmpty() bool { return len(d.Places)+len(d.Yields) == 0 }

// Decide returns placements for waiting jobs, best first.
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
		if len(d.places) == maxDecisions {
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

// placeOrReserve places the job if it can be placed, or sets accelerators aside for
// it if it is the first that cannot.
func (d *plan) placeOrReserve(j *ledger.Job) {
	// Batch work fills a guarantee only if it must: whoever needs the shape for
	// itself may come any moment.
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

// placeOutsideSlots places a job that fills no slot.
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

func (d *plan) overQuota(j *ledger.Job) bool {
	o, known := d.state.Bundle().Organisation(j.ID.Organisation())
	if !known {
		return true
	}
	return !d.state.WithinQuota(o, d.planned[o.Name]+j.TotalAccelerators())
}

func (d *plan) addPlace(j *ledger.Job, s shape, p ledger.Place) {
	p.Job = j.ID
	p.Epoch = j.Epoch + 1
	d.view.subtract(s, p.Assignments)
	d.planned[j.ID.Organisation()] += s.tasks * s.accelerators
	d.places = append(d.places, p)
}
