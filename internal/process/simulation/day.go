package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"corianderpass/internal/process/allocation"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// Policy returns the decision, that is, the runs to place and to stop, for the state in
// its input.
type Policy func(allocation.Input) allocation.Decision

const (
	// leader is the writer of all records.
	leader incarnation.ID = "leader"
	// decideInterval is the time between scheduled decisions while nothing changes.
	decideInterval = 100 * time.Millisecond
	// clockStart is the reading of the monotonic clock at the start of a day.
	clockStart = time.Hour
)

// day is one simulated pass through a scenario, with one seed.
type day struct {
	scenario *Scenario
	random   *rand.Rand
	policy   Policy
	state    *workload.State
	history  allocation.History
	bundle   *bundle.Bundle
	// now is the monotonic clock; a day starts at clockStart.
	now    time.Duration
	offset platform.Offset
	events eventQueue
	// sequence is the sequence number of the newest event.
	sequence int
	// arrivals has the jobs of the day, by ID.
	arrivals map[workload.JobID]*arrival
	// sortedArrivals has the arrivals in the order of their submission.
	sortedArrivals []*arrival
	// lives has the latest life of each worker, by the worker's index.
	lives []workload.LifeID
	// lifeCount makes the IDs of lives unique.
	lifeCount int
	// endNumbers has the number of the last recorded end of each life.
	endNumbers map[workload.LifeID]uint64
	// runs has the runs that have started at workers and not ended.
	runs map[workload.TaskRef]*activeRun
	// decisionPending is true while a decision is scheduled.
	decisionPending bool
	// wastedWork is the work that was lost, in core-seconds.
	wastedWork float64
	// starts and stops count the orders to start and to stop runs.
	starts int
	stops  int
	// err is the error of a rejected record; the day ends after that event.
	err error
}

// activeRun is a run that has started at a worker.
type activeRun struct {
	run       workload.Run
	life      workload.LifeID
	startedAt time.Duration
	endsAt    time.Duration
	// stopping is true once the run has been ordered to stop.
	stopping bool
	// hanging is true for a run that makes no progress.
	hanging bool
}

// event is a function to call at a time. Events at the same time are called in the
// order of their sequence numbers.
type event struct {
	at       time.Duration
	sequence int
	do       func()
}

// eventQueue is a heap of events; the next one is first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].sequence < q[b].sequence
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule makes the simulation call do once the delay has passed in simulated time.
func (d *day) schedule(delay time.Duration, do func()) {
	d.sequence++
	heap.Push(&d.events, event{at: d.now + delay, sequence: d.sequence, do: do})
}

// SimulateDay simulates the scenario once and returns the result. The seed determines
// the arrivals and failures. The error is that of a record that the workload state
// rejected or of an invariant that does not hold at the end.
func SimulateDay(s *Scenario, seed uint64, policy Policy) (Result, error) {
	d := &day{
		scenario: s, random: rand.New(rand.NewPCG(seed, 7)), policy: policy, state: workload.NewState(), now: clockStart,
		arrivals: map[workload.JobID]*arrival{}, endNumbers: map[workload.LifeID]uint64{}, runs: map[workload.TaskRef]*activeRun{},
		bundle: &bundle.Bundle{},
	}
	for i := range s.Organisations {
		d.bundle.Organisations = append(d.bundle.Organisations, bundle.Organisation{
			Name: bundle.OrganisationName(fmt.Sprint("org", i)), GuaranteedAccelerators: s.GuaranteedAccelerators,
		})
	}
	d.state.SetObserver(d.observe)
	d.apply(workload.Record{Lead: &workload.Lead{Term: 1}})
	for i := range s.Workers {
		d.lives = append(d.lives, "")
		d.startLife(i)
	}
	d.sortedArrivals = s.arrivals(d.random)
	for _, a := range d.sortedArrivals {
		d.scheduleArrival(a)
	}
	for _, f := range s.Faults {
		d.scheduleLoss(f)
	}
	d.tick()
	end := clockStart + s.Length.Std() + s.Finish.Std()
	for len(d.events) > 0 && d.err == nil {
		e := heap.Pop(&d.events).(event)
		if e.at > end {
			break
		}
		d.now = e.at
		e.do()
	}
	if d.err == nil {
		d.err = d.state.Check()
	}
	return d.result(), d.err
}

// apply applies a record to the state and schedules a decision.
func (d *day) apply(r workload.Record) {
	d.offset++
	at := journal.Position{Offset: d.offset, Time: time.UnixMilli(d.now.Milliseconds()), Writer: leader}
	if err := d.state.Apply(at, r); err != nil {
		d.err = fmt.Errorf("simulation: at %v: %w", d.now-clockStart, err)
	}
	d.scheduleDecision()
}

// tick schedules a decision now and one after each decideInterval, since some decisions
// depend on the time and not on a change of the state.
func (d *day) tick() {
	d.scheduleDecision()
	d.schedule(decideInterval, d.tick)
}

// scheduleDecision schedules a decision unless one is pending.
func (d *day) scheduleDecision() {
	if d.decisionPending {
		return
	}
	d.decisionPending = true
	d.schedule(d.scenario.Delays.Decide.Std(), d.decide)
}

// decide calls the policy and applies its decision, unless a fault of kind Idle is active.
func (d *day) decide() {
	d.decisionPending = false
	for _, f := range d.scenario.Faults {
		if f.Kind == FaultIdle && d.now-clockStart >= f.At.Std() && d.now-clockStart < f.At.Std()+f.For.Std() {
			return
		}
	}
	d.history.Update(d.state, d.now, time.UnixMilli(d.now.Milliseconds()))
	d.reportProgress()
	decision := d.policy(allocation.Input{
		State: d.state, History: &d.history, Now: d.now, Bundle: d.bundle, WallTime: time.UnixMilli(d.now.Milliseconds()),
		Rules: allocation.Rules{FarFactor: d.scenario.FarFactor},
	})
	for _, s := range decision.Stops {
		s.Term = 1
		d.apply(workload.Record{Stop: &s})
	}
	for _, p := range decision.Places {
		p.Term = 1
		d.apply(workload.Record{Place: &p})
		d.orderStarts(p)
	}
	d.orderStops()
}

// startLife announces a new life of the worker with this index.
func (d *day) startLife(worker int) {
	d.lifeCount++
	life := workload.LifeID(fmt.Sprintf("worker%d/%d", worker, d.lifeCount))
	d.lives[worker] = life
	rack := platform.RackID(fmt.Sprint("rack", worker/d.scenario.PerRack))
	d.apply(workload.Record{Announce: &workload.Announce{
		Life: life, Machine: platform.WorkerID(fmt.Sprint("machine", worker)), Service: "service", Rack: rack,
		Labels: []string{"a", string(rack)}, Room: d.scenario.Room.resources(),
	}})
}

// scheduleArrival schedules the submission of a job and its cancellation, if any.
func (d *day) scheduleArrival(a *arrival) {
	d.arrivals[a.spec.ID] = a
	d.schedule(a.at, func() { d.apply(workload.Record{Submit: &workload.Submit{Spec: a.spec}}) })
	if a.cancelAt > 0 {
		d.schedule(a.cancelAt, func() {
			if d.state.Job(a.spec.ID).Open() {
				d.apply(workload.Record{Cancel: &workload.Cancel{Job: a.spec.ID}})
				d.orderStops()
			}
		})
	}
}

// observe notes the ends of jobs, and records the ends of runs in the history.
func (d *day) observe(e workload.Event) {
	if e.EndedJob != nil {
		a := d.arrivals[e.EndedJob.ID]
		a.endedAt, a.outcome = d.now-clockStart, e.EndedJob.Outcome
	}
	if e.Job != nil && e.Worker != nil && e.RunEnd.How == workload.RunFailed {
		d.history.RecordFailure(e.Job, e.RunEnd.Task, e.Worker.Life, d.now)
	}
	if e.Job != nil && e.RunEnd.How == workload.RunDone {
		d.history.RecordSuccess(e.Job, e.RunEnd.Task, e.RunEnd.Ran)
	}
}
