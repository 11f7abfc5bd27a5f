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
	// shadow is when the blocked head of the queue is expected to start.
	shadow time.Time
	// blocked is true once a job could not be placed.
	blocked bool
	// large is true if a gang that needs whole workers waits.
	large bool
	// filled has the slots that this plan gave away.
	filled map[int]bool
	// hopeless has the smallest gang of each need for which no room was found. The
	// view only shrinks, so larger gangs with the same need find none either.
	hopeless map[need]int
	// unmovable has the gangs for which nothing could be moved.
	unmovable map[sized]bool
	// held is what this plan gave each organisation.
	held   map[bundle.OrganisationName]int
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
		d.large = d.large || !j.Small()
	}
	for _, j := range waiting {
		if len(d.places) == maxDecisions {
			break
		}
		d.consider(j)
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
		filled: map[int]bool{}, hopeless: map[need]int{}, unmovable: map[sized]bool{}, held: map[bundle.OrganisationName]int{},
	}
}

// consider places the job if it can be placed, or sets accelerators aside for
// it if it is the first that cannot.
func (d *plan) consider(j *ledger.Job) {
	// Batch work fills a guarantee only if it must: whoever needs the shape for
	// itself may come any moment.
	urgent := j.Class == ledger.ClassUrgent
	if urgent && d.guaranteed(j) {
		return
	}
	if !d.overQuota(j) && d.elsewhere(j) {
		return
	}
	if !urgent && d.worthSlot(j) && d.guaranteed(j) {
		return
	}
	if !d.blocked {
		d.block(j)
	}
}

// elsewhere places a job that fills no slot.
func (d *plan) elsewhere(j *ledger.Job) bool {
	kind := ledger.KindBorrowed
	if !j.Preemptible {
		kind = ledger.KindFirm
	}
	gang, moves := d.find(j)
	if gang == nil {
		return false
	}
	d.add(j, shapeOf(j.Spec), ledger.Place{Kind: kind, Assignments: gang, Moves: moves})
	return true
}

func (d *plan) overQuota(j *ledger.Job) bool {
	o, known := d.state.Bundle().Organisation(j.ID.Organisation())
	if !known {
		return true
	}
	return !d.state.WithinQuota(o, d.held[o.Name]+j.TotalAccelerators())
}

func (d *plan) add(j *ledger.Job, s shape, p ledger.Place) {
	p.Job = j.ID
	p.Epoch = j.Epoch + 1
	d.view.take(s, p.Assignments)
	d.held[j.ID.Organisation()] += s.tasks * s.accelerators
	d.places = append(d.places, p)
}
