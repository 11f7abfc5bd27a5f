// Package placement decides which waiting jobs start where. It is a pure
// function of the ledger's state and the time; the ledger judges what it proposes.
package placement

import (
	"sort"
	"time"

	"corianderpass/internal/process/ledger"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
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
	// NoPatience lets small jobs break into empty workers at once.
	NoPatience bool
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

// order sorts the queue: urgent jobs first, then those that waited too long,
// then by the response ratio, weighted by how little their organisation holds.
func (d *plan) order(waiting []*ledger.Job) {
	type rank struct {
		urgent, aged bool
		score        float64
	}
	ranks := make(map[ledger.JobID]rank, len(waiting))
	ageing := d.state.Bundle().Sharing.AgeingTime.Std()
	for _, j := range waiting {
		wait := d.now.Sub(j.Submitted)
		ranks[j.ID] = rank{
			urgent: j.Class == ledger.ClassUrgent,
			aged:   !d.policy.NoAgeing && wait >= ageing,
			score:  d.score(j, wait),
		}
	}
	sort.SliceStable(waiting, func(a, b int) bool {
		x, y := ranks[waiting[a].ID], ranks[waiting[b].ID]
		switch {
		case x.urgent != y.urgent:
			return x.urgent
		case x.aged != y.aged:
			return x.aged
		case x.aged:
			return waiting[a].Submitted.Before(waiting[b].Submitted)
		}
		return x.score > y.score
	})
}

// score is the response ratio, the wait and the run over the run, times the
// organisation's share for each accelerator that it would hold.
func (d *plan) score(j *ledger.Job, wait time.Duration) float64 {
	run := max(time.Second, d.runTime(j))
	ratio := 1.0
	if !d.policy.NoAgeing {
		ratio += float64(wait) / float64(run)
	}
	o, known := d.state.Bundle().Organisation(j.ID.Organisation())
	if !known {
		return 0
	}
	return ratio * float64(o.Share) / float64(d.state.Held(o.Name)+j.Demand())
}

func (d *plan) runTime(j *ledger.Job) time.Duration {
	if d.policy.NoCorrection {
		return max(0, j.RunTime-j.Progress)
	}
	return d.state.ExpectedRunTime(j)
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

// find searches unless a search that is no harder has failed before.
func (d *plan) find(j *ledger.Job) ([]ledger.Assignment, []ledger.JobID) {
	n := d.needOf(j)
	alike := len(j.FailedOn) == 0
	if least, known := d.hopeless[n]; !known || j.Tasks < least || !alike {
		if gang := d.search(j); gang != nil {
			return gang, nil
		}
		if alike {
			d.hopeless[n] = j.Tasks
		}
	}
	same := sized{n, j.Tasks}
	if !j.Preemptible || d.unmovable[same] && alike {
		return nil, nil
	}
	gang, moves := d.searchWithMoves(j)
	if gang == nil && alike {
		d.unmovable[same] = true
	}
	return gang, moves
}

// sized is a need with the size of the gang, on which depends what may be moved.
type sized struct {
	need  need
	tasks int
}

// need is all that a search without moves depends on besides the number of tasks.
type need struct {
	accelerators                       int
	cores                              platform.Cores
	memory                             platform.Megabytes
	preemptible, small, passes, breaks bool
}

func (d *plan) needOf(j *ledger.Job) need {
	return need{
		accelerators: j.Accelerators, cores: j.Cores, memory: j.Memory, preemptible: j.Preemptible,
		small: j.Small(), passes: d.mayPass(j), breaks: d.mayBreak(j),
	}
}

// worthSlot tells whether the job uses at least half of the slots that it would
// fill, so that it does not preempt others for accelerators that lie idle. A job
// that must not be preempted may have no other way; it fills slots once it is aged.
func (d *plan) worthSlot(j *ledger.Job) bool {
	_, slots := d.state.OpenSlots(j.Spec, d.filled)
	if slots == nil {
		return false
	}
	aged := d.now.Sub(j.Submitted) >= d.state.Bundle().Sharing.AgeingTime.Std()
	return 2*j.Accelerators >= d.state.Slots()[slots[0]].Size || !j.Preemptible && aged
}

func (d *plan) overQuota(j *ledger.Job) bool {
	o, known := d.state.Bundle().Organisation(j.ID.Organisation())
	if !known {
		return true
	}
	return !d.state.WithinQuota(o, d.held[o.Name]+j.Demand())
}

func (d *plan) add(j *ledger.Job, s shape, p ledger.Place) {
	p.Job = j.ID
	p.Epoch = j.Epoch + 1
	d.view.take(s, p.Assignments)
	d.held[j.ID.Organisation()] += s.tasks * s.accelerators
	d.places = append(d.places, p)
}

// guaranteed fills slots of the organisation's guarantee if one takes the gang.
// Free accelerators are preferred to the slots' own places, where somebody may
// have to be preempted.
func (d *plan) guaranteed(j *ledger.Job) bool {
	name, slots := d.state.OpenSlots(j.Spec, d.filled)
	if slots == nil {
		return false
	}
	gang := d.ownPlaces(slots)
	if gang == nil && d.unfilled(slots) {
		first := d.state.Slots()[slots[0]]
		s := shape{tasks: j.Tasks, accelerators: first.Size, cores: first.Cores, memory: first.Memory, firm: true}
		gang = d.view.pick(s, open)
	}
	if gang == nil {
		gang = d.seats(slots)
	}
	d.fill(j, name, slots, gang)
	return true
}

// fill gives a job the slots, at the places of the gang.
func (d *plan) fill(j *ledger.Job, name bundle.GuaranteeName, slots []int, gang []ledger.Assignment) {
	for task, i := range slots {
		gang[task].Slot = d.state.Slots()[i].Index
		d.filled[i] = true
	}
	first := d.state.Slots()[slots[0]]
	s := shape{tasks: j.Tasks, accelerators: first.Size, cores: first.Cores, memory: first.Memory}
	d.add(j, s, ledger.Place{Kind: ledger.KindGuaranteed, Guarantee: name, Assignments: gang})
}

// unfilled tells whether nobody fills any of the slots.
func (d *plan) unfilled(slots []int) bool {
	for _, i := range slots {
		if d.state.Slots()[i].Job != "" {
			return false
		}
	}
	return true
}

// seats returns the slots' own places.
func (d *plan) seats(slots []int) []ledger.Assignment {
	var gang []ledger.Assignment
	for _, i := range slots {
		l := d.state.Slots()[i]
		gang = append(gang, ledger.Assignment{Worker: l.Worker, Accelerators: l.Accelerators})
	}
	return gang
}

// ownPlaces returns the slots' own places if nobody holds them.
func (d *plan) ownPlaces(slots []int) []ledger.Assignment {
	gang := d.seats(slots)
	for _, a := range gang {
		t := d.view.byID[a.Worker]
		if t == nil || t.free&a.Accelerators != a.Accelerators {
			return nil
		}
	}
	return gang
}

// search finds room for a job that fills no slot.
func (d *plan) search(j *ledger.Job) []ledger.Assignment {
	s := shapeOf(j.Spec)
	passes := d.mayPass(j)
	if d.blocked && d.policy.NoBackfill && j.Class != ledger.ClassUrgent {
		return nil
	}
	failed := map[platform.WorkerID]bool{}
	for _, id := range j.FailedOn {
		failed[id] = true
	}
	narrow := func(allow usable) usable {
		return func(t *site) platform.AcceleratorSet {
			if failed[t.id] {
				return 0
			}
			set := allow(t)
			if !passes {
				set &^= t.kept
			}
			if set == allWhole(t) && !d.mayBreak(j) {
				return 0
			}
			return set
		}
	}
	if gang := d.view.pick(s, narrow(open)); gang != nil {
		return gang
	}
	return d.view.pick(s, narrow(loose))
}

// allWhole returns all accelerators of a worker.
func allWhole(t *site) platform.AcceleratorSet {
	return platform.AcceleratorSet(1)<<t.size - 1
}

// mayPass tells whether the job may use what is kept for the head of the queue.
func (d *plan) mayPass(j *ledger.Job) bool {
	if !d.blocked || j.Class == ledger.ClassUrgent {
		return true
	}
	return !d.now.Add(d.runTime(j)).After(d.shadow)
}

// maxPatience bounds how long a small job waits for a hole before it breaks
// into an empty worker, as a share of its own run time.
const maxPatience = 0.5

// mayBreak tells whether the job may break into an empty worker. While a gang
// that needs whole workers waits, a small job first waits for a hole, longer the
// more fragmentation weighs against completion.
func (d *plan) mayBreak(j *ledger.Job) bool {
	if d.policy.NoPatience || j.Class == ledger.ClassUrgent || !j.Small() || !d.large {
		return true
	}
	sharing := d.state.Bundle().Sharing
	weight := sharing.FragmentationWeight / (sharing.FragmentationWeight + sharing.CompletionWeight)
	patience := time.Duration(weight * maxPatience * float64(d.runTime(j)))
	return d.now.Sub(j.Submitted) >= patience
}

// block makes the job the head of the queue: what is free now and what frees
// first is kept for it, and others may use it only if they end before.
func (d *plan) block(j *ledger.Job) {
	d.blocked = true
	gang, at := d.forecast(j)
	d.shadow = at
	d.view.keep(gang)
}
