package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/process/placement"
	"corianderpass/pkg/platform"
)

// Policy is what the experiment compares: placement.Policy and placement.Naive, its
// twin without any of its ideas.
type Policy interface {
	Decide(s *ledger.State, now time.Time, skip placement.Skip) placement.Decision
}

const (
	// startDelay is the time from a placement to its commit.
	startDelay = 50 * time.Millisecond
	// yieldDelay is the time that a preempted gang takes to checkpoint and stop.
	yieldDelay = 5 * time.Second
	// failDelay is how long a task runs on a worker that fails everything.
	failDelay = 20 * time.Second
	// sampleEvery is the time between two looks at fragmentation.
	sampleEvery = time.Minute
	// patienceAfter is how long the run goes on after the last arrival.
	patienceAfter = 96 * time.Hour
)

// begin is the moment at which every run begins.
var begin = time.UnixMilli(1_700_000_000_000).UTC()

// event is something that happens at a moment.
type event struct {
	at    time.Duration
	order int
	do    func()
}

// events is a heap by moment, then by the order of creation.
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].order < e[b].order
}

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// runner is one run under way.
type runner struct {
	workload Workload
	policy   Policy
	state    *ledger.State
	now      time.Duration
	offset   platform.Offset
	queue    events
	created  int
	arrivals map[ledger.JobID]arrival
	// failing workers fail every task.
	failing map[platform.WorkerID]bool
	random  *rand.Rand
	report  *Report
	// refused placements are not tried again at the same moment.
	refused map[ledger.JobID]bool
	open    int
}

// Run measures a policy on a workload.
func Run(w Workload, p Policy) *Report {
	r := &runner{
		workload: w, policy: p, state: ledger.NewState(region),
		arrivals: map[ledger.JobID]arrival{}, failing: map[platform.WorkerID]bool{},
		random: rand.New(rand.NewPCG(w.Seed, 2)), report: newReport(w),
	}
	r.apply(ledger.Record{Adopt: &ledger.Adopt{Version: 1, Bundle: w.rules()}})
	r.apply(ledger.Record{Observe: &ledger.Observe{Joined: w.describe()}})
	for _, a := range w.arrivals() {
		r.open++
		r.after(a.at, func() { r.submit(a) })
	}
	if !w.NoFaults {
		r.planFaults()
	}
	r.after(sampleEvery, r.sample)
	r.loop()
	r.report.finish(r.state, r.open)
	return r.report
}

func (r *runner) after(d time.Duration, do func()) {
	r.created++
	heap.Push(&r.queue, event{at: r.now + d, order: r.created, do: do})
}

func (r *runner) loop() {
	for len(r.queue) > 0 && r.open > 0 {
		next := heap.Pop(&r.queue).(event)
		if next.at > r.workload.Length+patienceAfter {
			return
		}
		r.now = next.at
		next.do()
		if len(r.queue) == 0 || r.queue[0].at > r.now {
			r.decide()
		}
	}
}

func (r *runner) time() time.Time { return begin.Add(r.now) }

func (r *runner) apply(rec ledger.Record) error {
	rec.Rules = ledger.CurrentRulesVersion
	r.offset++
	r.report.Records++
	return r.state.Apply(journal.Position{Offset: r.offset, Time: r.time(), Writer: "experiment"}, rec)
}

func (r *runner) submit(a arrival) {
	err := r.apply(ledger.Record{Submit: &ledger.Submit{Spec: a.spec}})
	if err != nil {
		r.report.RejectedJobs++
		r.open--
		return
	}
	r.arrivals[a.spec.ID] = a
	if a.spec.Class == ledger.ClassUrgent {
		r.report.claimed(r.state, a.spec)
	}
}

// decide lets the policy place jobs until it finds nothing more.
func (r *runner) decide() {
	r.refused = map[ledger.JobID]bool{}
	for {
		d := r.policy.Decide(r.state, r.time(), func(id ledger.JobID) bool { return r.refused[id] })
		if d.IsEmpty() {
			return
		}
		for _, p := range d.Places {
			r.place(p)
		}
		for _, y := range d.Yields {
			r.yield(y)
		}
	}
}

func (r *runner) yield(y ledger.Yield) {
	if r.apply(ledger.Record{Yield: &y}) != nil {
		r.report.RejectedPlacements++
		return
	}
	r.report.Moves++
	r.after(yieldDelay, func() { r.stop(y.Job, y.Epoch, true, nil) })
}

func (r *runner) place(p ledger.Place) {
	p.Driver = "experiment"
	if err := r.apply(ledger.Record{Place: &p}); err != nil {
		r.refused[p.Job] = true
		r.report.RejectedPlacements++
		return
	}
	r.stopVictims()
	if p.Kind == ledger.KindGuaranteed {
		r.report.GuaranteedPlacements++
	}
	r.after(startDelay, func() { r.start(p.Job, p.Epoch) })
}

// stopVictims lets gangs that were preempted checkpoint and stop.
func (r *runner) stopVictims() {
	for _, j := range r.state.Active(func(j *ledger.Job) bool { return j.Phase == ledger.PhaseStopping }) {
		id, epoch := j.ID, j.Epoch
		r.after(yieldDelay, func() { r.stop(id, epoch, true, nil) })
	}
}

// stop ends a gang before its time. What ran since the start is kept if there
// was time for a checkpoint.
func (r *runner) stop(id ledger.JobID, epoch platform.Epoch, checkpoint bool, away []platform.WorkerID) {
	j := r.state.Job(id)
	if j == nil || j.Epoch != epoch || !j.HoldsAccelerators() {
		return
	}
	if j.Phase == ledger.PhaseReserved || !j.Ran || j.Started.Before(j.Placed) {
		_ = r.apply(ledger.Record{Abort: &ledger.Abort{Job: id, Epoch: epoch, Away: away}})
	} else {
		ran := r.time().Sub(j.Started)
		s := ledger.Stopped{Job: id, Epoch: epoch, Progress: j.Progress, Away: away}
		kept := ran
		if !checkpoint {
			kept = ran.Truncate(r.state.Bundle().Sharing.CheckpointEvery.Std())
		}
		s.Progress += kept
		r.report.LostHours += (ran - kept).Hours() * float64(j.TotalAccelerators())
		_ = r.apply(ledger.Record{Stopped: &s})
	}
	r.noteEnd(id)
}

func (r *runner) start(id ledger.JobID, epoch platform.Epoch) {
	j := r.state.Job(id)
	if j == nil || j.Epoch != epoch || j.Phase != ledger.PhaseReserved {
		return
	}
	if err := r.apply(ledger.Record{Commit: &ledger.Commit{Job: id, Epoch: epoch}}); err != nil {
		return
	}
	r.report.started(j)
	a := r.arrivals[id]
	if failed := r.failingWorker(j); failed != "" || a.poisoned {
		if failed == "" {
			failed = j.Assignments[0].Worker
		}
		r.after(failDelay, func() { r.fail(id, epoch, failed) })
		return
	}
	r.after(max(time.Second, a.needs-j.Progress), func() { r.succeed(id, epoch, a.needs) })
}

func (r *runner) failingWorker(j *ledger.Job) platform.WorkerID {
	for _, a := range j.Assignments {
		if r.failing[a.Worker] {
			return a.Worker
		}
	}
	return ""
}

func (r *runner) succeed(id ledger.JobID, epoch platform.Epoch, needs time.Duration) {
	if r.apply(ledger.Record{Finish: &ledger.Finish{Job: id, Epoch: epoch, RanTime: needs}}) == nil {
		r.noteEnd(id)
	}
}

func (r *runner) fail(id ledger.JobID, epoch platform.Epoch, worker platform.WorkerID) {
	if r.apply(ledger.Record{Finish: &ledger.Finish{Job: id, Epoch: epoch, Failed: true, Worker: worker, Error: "failed"}}) == nil {
		r.noteEnd(id)
	}
}

// noteEnd reports a job that has ended.
func (r *runner) noteEnd(id ledger.JobID) {
	j := r.state.Job(id)
	if j == nil || j.Phase != ledger.PhaseEnded {
		return
	}
	r.open--
	r.report.ended(j, r.arrivals[id])
}

// sample looks at fragmentation and at the guarantees while jobs arrive.
func (r *runner) sample() {
	if r.now <= r.workload.Length {
		r.report.sample(r.state)
		r.after(sampleEvery, r.sample)
	}
	if err := r.state.Check(); err != nil {
		r.report.Violations = append(r.report.Violations, fmt.Sprintf("after %s: %v", r.now, err))
	}
}
