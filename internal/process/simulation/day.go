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

// Policy decides.
type Policy func(allocation.Input) allocation.Decision

const (
	// leader is the writer of all decisions.
	leader incarnation.ID = "leader"
	// decideEvery is the time between two decisions while nothing changes.
	decideEvery = 100 * time.Millisecond
	// start is the steady clock at the begin of a day.
	start = time.Hour
)

// day is one day on its way.
type day struct {
	scenario *Scenario
	random   *rand.Rand
	policy   Policy
	state    *workload.State
	memory   allocation.History
	bundle   *bundle.Bundle
	now      time.Duration
	offset   platform.Offset
	events   queue
	sequence int
	arrivals map[workload.JobID]*arrival
	ordered  []*arrival
	lives    []workload.LifeID
	births   int
	numbers  map[workload.LifeID]uint64
	runs     map[workload.TaskRef]*running
	// dirty days have a decision under way.
	dirty  bool
	waste  float64
	starts int
	stops  int
	failed error
}

// running is a run at a worker.
type running struct {
	run   workload.Run
	life  workload.LifeID
	began time.Duration
	ends  time.Duration
	// stopped runs have their stop under way.
	stopped bool
	// hangs is true for a run that stands still.
	hangs bool
}

// event is something to come.
type event struct {
	at       time.Duration
	sequence int
	do       func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].sequence < q[b].sequence
}
func (q queue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (d *day) after(wait time.Duration, do func()) {
	d.sequence++
	heap.Push(&d.events, event{at: d.now + wait, sequence: d.sequence, do: do})
}

// SimulateDay plays one day and returns what it was worth.
func SimulateDay(s *Scenario, seed uint64, policy Policy) (Result, error) {
	d := &day{
		scenario: s, random: rand.New(rand.NewPCG(seed, 7)), policy: policy, state: workload.NewState(), now: start,
		arrivals: map[workload.JobID]*arrival{}, numbers: map[workload.LifeID]uint64{}, runs: map[workload.TaskRef]*running{},
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
		d.bear(i)
	}
	d.ordered = s.arrivals(d.random)
	for _, a := range d.ordered {
		d.plan(a)
	}
	for _, f := range s.Faults {
		d.planFault(f)
	}
	d.tick()
	end := start + s.Length.Std() + s.Finish.Std()
	for len(d.events) > 0 && d.failed == nil {
		e := heap.Pop(&d.events).(event)
		if e.at > end {
			break
		}
		d.now = e.at
		e.do()
	}
	if d.failed == nil {
		d.failed = d.state.Check()
	}
	return d.result(), d.failed
}

func (d *day) apply(r workload.Record) {
	d.offset++
	at := journal.Position{Offset: d.offset, Time: time.UnixMilli(d.now.Milliseconds()), Writer: leader}
	if err := d.state.Apply(at, r); err != nil {
		d.failed = fmt.Errorf("simulation: at %v: %w", d.now-start, err)
	}
	d.decideSoon()
}

// tick decides now and then, since some decisions depend on the time alone.
func (d *day) tick() {
	d.decideSoon()
	d.after(decideEvery, d.tick)
}

func (d *day) decideSoon() {
	if d.dirty {
		return
	}
	d.dirty = true
	d.after(d.scenario.Delays.Decide.Std(), d.decide)
}

func (d *day) decide() {
	d.dirty = false
	for _, f := range d.scenario.Faults {
		if f.Kind == FaultIdle && d.now-start >= f.At.Std() && d.now-start < f.At.Std()+f.For.Std() {
			return
		}
	}
	d.memory.Update(d.state, d.now, time.UnixMilli(d.now.Milliseconds()))
	d.project()
	decision := d.policy(allocation.Input{
		State: d.state, History: &d.memory, Now: d.now, Bundle: d.bundle, WallTime: time.UnixMilli(d.now.Milliseconds()),
		Rules: allocation.Rules{FarFactor: d.scenario.FarFactor},
	})
	for _, s := range decision.Stops {
		s.Term = 1
		d.apply(workload.Record{Stop: &s})
	}
	for _, p := range decision.Places {
		p.Term = 1
		d.apply(workload.Record{Place: &p})
		d.order(p)
	}
	d.stopOrdered()
}

// bear begins a life of a worker.
func (d *day) bear(i int) {
	d.births++
	life := workload.LifeID(fmt.Sprintf("worker%d/%d", i, d.births))
	d.lives[i] = life
	rack := platform.RackID(fmt.Sprint("rack", i/d.scenario.PerRack))
	d.apply(workload.Record{Announce: &workload.Announce{
		Life: life, Machine: platform.WorkerID(fmt.Sprint("machine", i)), Service: "service", Rack: rack,
		Labels: []string{"a", string(rack)}, Room: d.scenario.Room.resources(),
	}})
}

func (d *day) plan(a *arrival) {
	d.arrivals[a.spec.ID] = a
	d.after(a.at, func() { d.apply(workload.Record{Submit: &workload.Submit{Spec: a.spec}}) })
	if a.cancelAt > 0 {
		d.after(a.cancelAt, func() {
			if d.state.Job(a.spec.ID).Open() {
				d.apply(workload.Record{Cancel: &workload.Cancel{Job: a.spec.ID}})
				d.stopOrdered()
			}
		})
	}
}

func (d *day) observe(e workload.Event) {
	if e.EndedJob != nil {
		a := d.arrivals[e.EndedJob.ID]
		a.done, a.outcome = d.now-start, e.EndedJob.Outcome
	}
	if e.Job != nil && e.Worker != nil && e.RunEnd.How == workload.RunFailed {
		d.memory.RecordFailure(e.Job, e.RunEnd.Task, e.Worker.Life)
	}
	if e.Job != nil && e.RunEnd.How == workload.RunDone {
		d.memory.RecordSuccess(e.Job, e.RunEnd.Task, e.RunEnd.Ran)
	}
}
