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

// Policy decides on placements. The command corianderpass-experiment compares
// placement.Policy, its variants with one rule switched off, and placement.Naive, which
// has none of the rules.
type Policy interface {
	// Decide returns the placements and yields for the state at the time now. It considers no job for
	// which skip returns true.
	Decide(s *ledger.State, now time.Time, skip placement.Skip) placement.Decision
}

const (
	// commitDelay is the time from a placement to its commit, at which the job starts.
	commitDelay = 50 * time.Millisecond
	// stopDelay is the time that a preempted gang takes to save a checkpoint and stop.
	stopDelay = 5 * time.Second
	// failureDelay is how long a job runs before it fails.
	failureDelay = 20 * time.Second
	// sampleInterval is the time between two samples of the state.
	sampleInterval = time.Minute
	// maxOvertime limits how long the experiment goes on after Workload.Length, the time
	// during which jobs arrive.
	maxOvertime = 96 * time.Hour
)

// startTime is the wall clock at the start of every experiment.
var startTime = time.UnixMilli(1_700_000_000_000).UTC()

// event is a function and the simulated time at which it is called.
type event struct {
	at       time.Duration
	sequence int
	do       func()
}

// events is a heap of events by time, then by sequence number.
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].sequence < e[b].sequence
}

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// experiment is an experiment in progress.
type experiment[P Policy] struct {
	workload Workload
	policy   P
	state    *ledger.State
	// now is the simulated time since the start.
	now time.Duration
	// offset is the offset of the newest record.
	offset platform.Offset
	events events
	// sequence is the sequence number of the newest event.
	sequence int
	// arrivals has the submitted jobs, by ID.
	arrivals map[ledger.JobID]arrival
	// failingWorkers are the workers on which every job fails.
	failingWorkers map[platform.WorkerID]bool
	random         *rand.Rand
	report         *Report
	// rejected has the jobs whose placement the ledger has rejected at the present
	// simulated time. The policy skips them until the time has advanced.
	rejected map[ledger.JobID]bool
	// openJobs counts the jobs that have not ended, including those still to arrive.
	openJobs int
}

// Run runs the workload under the policy and returns the measurements. It ends once all
// jobs have ended, at the latest maxOvertime after w.Length.
func Run[P Policy](w Workload, p P) *Report {
	e := &experiment[P]{
		workload: w, policy: p, state: ledger.NewState(region),
		arrivals: map[ledger.JobID]arrival{}, failingWorkers: map[platform.WorkerID]bool{},
		random: rand.New(rand.NewPCG(w.Seed, 2)), report: newReport(w),
	}
	e.apply(ledger.Record{Adopt: &ledger.Adopt{Version: 1, Bundle: w.newBundle()}})
	e.apply(ledger.Record{Observe: &ledger.Observe{Joined: w.newWorkers()}})
	for _, a := range w.arrivals() {
		e.openJobs++
		e.schedule(a.at, func() { e.submit(a) })
	}
	if !w.NoFaults {
		e.scheduleFaults()
	}
	e.schedule(sampleInterval, e.sample)
	e.loop()
	e.report.finish(e.state, e.openJobs)
	return e.report
}

// schedule makes the experiment call do once d has passed in simulated time.
func (e *experiment[P]) schedule(d time.Duration, do func()) {
	e.sequence++
	heap.Push(&e.events, event{at: e.now + d, sequence: e.sequence, do: do})
}

// loop calls the events in order. It calls decide after the last of the events that have
// the same time.
func (e *experiment[P]) loop() {
	for len(e.events) > 0 && e.openJobs > 0 {
		next := heap.Pop(&e.events).(event)
		if next.at > e.workload.Length+maxOvertime {
			return
		}
		e.now = next.at
		next.do()
		if len(e.events) == 0 || e.events[0].at > e.now {
			e.decide()
		}
	}
}

// time returns the current wall clock.
func (e *experiment[P]) time() time.Time { return startTime.Add(e.now) }

// apply applies a record to the ledger.
func (e *experiment[P]) apply(rec ledger.Record) error {
	rec.Rules = ledger.CurrentRulesVersion
	e.offset++
	e.report.Records++
	return e.state.Apply(journal.Position{Offset: e.offset, Time: e.time(), Writer: "experiment"}, rec)
}

// submit submits a job, and counts it if the ledger rejects it.
func (e *experiment[P]) submit(a arrival) {
	err := e.apply(ledger.Record{Submit: &ledger.Submit{Spec: a.spec}})
	if err != nil {
		e.report.RejectedJobs++
		e.openJobs--
		return
	}
	e.arrivals[a.spec.ID] = a
	if a.spec.Class == ledger.ClassUrgent {
		e.report.recordClaim(e.state, a.spec)
	}
}

// decide applies the decisions of the policy until the policy returns an empty one.
func (e *experiment[P]) decide() {
	e.rejected = map[ledger.JobID]bool{}
	for {
		d := e.policy.Decide(e.state, e.time(), func(id ledger.JobID) bool { return e.rejected[id] })
		if d.IsEmpty() {
			return
		}
		for _, p := range d.Places {
			e.place(p)
		}
		for _, y := range d.Yields {
			e.yield(y)
		}
	}
}

// yield orders a gang to free its workers, so that it can be placed better.
func (e *experiment[P]) yield(y ledger.Yield) {
	if e.apply(ledger.Record{Yield: &y}) != nil {
		e.report.RejectedPlacements++
		return
	}
	e.report.Moves++
	e.schedule(stopDelay, func() { e.stop(y.Job, y.Epoch, true, nil) })
}

// place places a job. The gangs that the placement preempts are stopped, and the job starts after
// commitDelay.
func (e *experiment[P]) place(p ledger.Place) {
	p.Driver = "experiment"
	if err := e.apply(ledger.Record{Place: &p}); err != nil {
		e.rejected[p.Job] = true
		e.report.RejectedPlacements++
		return
	}
	e.stopPreempted()
	if p.Kind == ledger.KindGuaranteed {
		e.report.GuaranteedPlacements++
	}
	e.schedule(commitDelay, func() { e.start(p.Job, p.Epoch) })
}

// stopPreempted schedules the stops of preempted gangs, each with a checkpoint.
func (e *experiment[P]) stopPreempted() {
	for _, j := range e.state.Active(func(j *ledger.Job) bool { return j.Phase == ledger.PhaseStopping }) {
		id, epoch := j.ID, j.Epoch
		e.schedule(stopDelay, func() { e.stop(id, epoch, true, nil) })
	}
}

// stop stops a gang before its end, unless it was stopped or placed again meanwhile. If
// checkpoint is true, all its work since the start is saved, otherwise the work up to
// its last periodic checkpoint. unreachable lists workers that did not answer.
func (e *experiment[P]) stop(id ledger.JobID, epoch platform.Epoch, checkpoint bool, unreachable []platform.WorkerID) {
	j := e.state.Job(id)
	if j == nil || j.Epoch != epoch || !j.HoldsAccelerators() {
		return
	}
	if j.Phase == ledger.PhaseReserved || !j.Ran || j.Started.Before(j.Placed) {
		_ = e.apply(ledger.Record{Abort: &ledger.Abort{Job: id, Epoch: epoch, Away: unreachable}})
	} else {
		ran := e.time().Sub(j.Started)
		s := ledger.Stopped{Job: id, Epoch: epoch, Progress: j.Progress, Away: unreachable}
		saved := ran
		if !checkpoint {
			saved = ran.Truncate(e.state.Bundle().Sharing.CheckpointEvery.Std())
		}
		s.Progress += saved
		e.report.LostHours += (ran - saved).Hours() * float64(j.TotalAccelerators())
		_ = e.apply(ledger.Record{Stopped: &s})
	}
	e.recordEnd(id)
}

// start commits a placement, unless it is outdated, and schedules the success or failure
// of the job.
func (e *experiment[P]) start(id ledger.JobID, epoch platform.Epoch) {
	j := e.state.Job(id)
	if j == nil || j.Epoch != epoch || j.Phase != ledger.PhaseReserved {
		return
	}
	if err := e.apply(ledger.Record{Commit: &ledger.Commit{Job: id, Epoch: epoch}}); err != nil {
		return
	}
	e.report.recordStart(j)
	a := e.arrivals[id]
	if failed := e.failingWorker(j); failed != "" || a.alwaysFails {
		if failed == "" {
			failed = j.Assignments[0].Worker
		}
		e.schedule(failureDelay, func() { e.fail(id, epoch, failed) })
		return
	}
	e.schedule(max(time.Second, a.trueRunTime-j.Progress), func() { e.succeed(id, epoch, a.trueRunTime) })
}

// failingWorker returns a failing worker of the job, or "" if there is none.
func (e *experiment[P]) failingWorker(j *ledger.Job) platform.WorkerID {
	for _, a := range j.Assignments {
		if e.failingWorkers[a.Worker] {
			return a.Worker
		}
	}
	return ""
}

// succeed records the success of a job.
func (e *experiment[P]) succeed(id ledger.JobID, epoch platform.Epoch, runTime time.Duration) {
	if e.apply(ledger.Record{Finish: &ledger.Finish{Job: id, Epoch: epoch, RanTime: runTime}}) == nil {
		e.recordEnd(id)
	}
}

// fail records the failure of a job on a worker.
func (e *experiment[P]) fail(id ledger.JobID, epoch platform.Epoch, worker platform.WorkerID) {
	if e.apply(ledger.Record{Finish: &ledger.Finish{Job: id, Epoch: epoch, Failed: true, Worker: worker, Error: "failed"}}) == nil {
		e.recordEnd(id)
	}
}

// recordEnd adds a job to the report if it has ended.
func (e *experiment[P]) recordEnd(id ledger.JobID) {
	j := e.state.Job(id)
	if j == nil || j.Phase != ledger.PhaseEnded {
		return
	}
	e.openJobs--
	e.report.recordEnd(j, e.arrivals[id])
}

// sample adds the use of accelerators to the report and checks the invariants of the
// ledger. It schedules itself again while jobs arrive.
func (e *experiment[P]) sample() {
	if e.now <= e.workload.Length {
		e.report.recordState(e.state)
		e.schedule(sampleInterval, e.sample)
	}
	if err := e.state.Check(); err != nil {
		e.report.Violations = append(e.report.Violations, fmt.Sprintf("after %s: %v", e.now, err))
	}
}
