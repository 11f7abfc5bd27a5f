package allocation_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"corianderpass/internal/process/allocation"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// field is a workload that is decided on step by step, without a log.
type field struct {
	t      testing.TB
	state  *workload.State
	memory allocation.History
	now    time.Duration
	offset platform.Offset
	bundle *bundle.Bundle
	ends   map[workload.LifeID]uint64
}

const leader incarnation.ID = "leader"

func newField(t testing.TB, workers, accelerators int) *field {
	f := &field{t: t, state: workload.NewState(), now: time.Hour, ends: map[workload.LifeID]uint64{}, bundle: &bundle.Bundle{}}
	f.must(workload.Record{Lead: &workload.Lead{Term: 1}})
	for i := range workers {
		rack := platform.RackID(fmt.Sprint("rack", i/3))
		f.must(workload.Record{Announce: &workload.Announce{
			Life: workload.LifeID(fmt.Sprint("worker", i)), Machine: platform.WorkerID(fmt.Sprint("machine", i)),
			Service: "service", Rack: rack, Labels: []string{"a", string(rack)},
			Room: workload.Resources{Cores: 64000, Memory: 1000, Accelerators: accelerators},
		}})
	}
	return f
}

func (f *field) apply(r workload.Record) error {
	f.offset++
	return f.state.Apply(journal.Position{Offset: f.offset, Writer: leader, Time: time.UnixMilli(f.now.Milliseconds())}, r)
}

func (f *field) must(r workload.Record) {
	f.t.Helper()
	if err := f.apply(r); err != nil {
		f.t.Fatal(err)
	}
}

// submit enters a job of one step.
func (f *field) submit(id string, priority int, step workload.StepSpec) {
	f.t.Helper()
	f.must(workload.Record{Submit: &workload.Submit{Spec: workload.JobSpec{
		ID: workload.JobID(id), Queue: bundle.QueueName(fmt.Sprint("queue", priority)), Organisation: "org", Service: "service",
		Priority: priority, Attempts: 3, Stretch: 2, Steps: []workload.StepSpec{step},
	}}})
}

func step(tasks, accelerators int, duration time.Duration) workload.StepSpec {
	return workload.StepSpec{
		Tasks: tasks, Need: workload.Resources{Cores: 1000, Memory: 10, Accelerators: accelerators}, Estimate: duration,
	}
}

// decide applies one decision and returns it.
func (f *field) decide() allocation.Decision {
	f.t.Helper()
	f.memory.Update(f.state, f.now, time.UnixMilli(f.now.Milliseconds()))
	d := allocation.Decide(allocation.Input{
		State: f.state, History: &f.memory, Now: f.now, Bundle: f.bundle, Rules: allocation.Rules{FarFactor: 3},
	})
	for _, s := range d.Stops {
		s.Term = 1
		f.must(workload.Record{Stop: &s})
	}
	for _, p := range d.Places {
		p.Term = 1
		f.must(workload.Record{Place: &p})
	}
	if err := f.state.Check(); err != nil {
		f.t.Fatal(err)
	}
	return d
}

// projectAll lets a second pass, after which every run seems to need the rest.
func (f *field) projectAll(rest time.Duration) {
	f.memory.Update(f.state, f.now, time.UnixMilli(f.now.Milliseconds()))
	f.now += time.Second
	for _, w := range f.state.Workers() {
		for r, run := range w.Runs {
			f.memory.SetRemaining(r, run, rest, f.now)
		}
	}
}

// stopAll ends every run that is to stop.
func (f *field) stopAll() {
	f.endWhere(func(_ workload.TaskRef, t *workload.Task) (workload.RunOutcome, bool) {
		return workload.RunStopped, t.Phase == workload.PhaseStopping
	})
}

func (f *field) endWhere(how func(workload.TaskRef, *workload.Task) (workload.RunOutcome, bool)) {
	f.t.Helper()
	for _, w := range f.state.Workers() {
		var ends []workload.End
		for r, run := range w.Runs {
			_, _, t, _ := f.state.Task(r)
			if h, due := how(r, t); due {
				f.ends[w.Life]++
				ends = append(ends, workload.End{Number: f.ends[w.Life], Task: r, Run: run, How: h})
			}
		}
		if len(ends) > 0 {
			f.must(workload.Record{Ends: &workload.Ends{Life: w.Life, Ends: ends}})
		}
	}
}

// running returns the runs of a job.
func (f *field) running(id string) int {
	n := 0
	for _, w := range f.state.Workers() {
		for r := range w.Runs {
			if r.Job == workload.JobID(id) {
				n++
			}
		}
	}
	return n
}

func TestUrgentUnitPreemptsAndThenRuns(t *testing.T) {
	f := newField(t, 1, 8)
	f.submit("batch", 2, step(8, 1, 10*time.Second))
	f.decide()
	f.now += time.Second
	f.submit("urgent", 0, step(1, 8, 2*time.Second))
	f.decide()
	f.stopAll()
	f.decide()
	if f.running("urgent") != 1 || f.running("batch") != 0 {
		t.Fatalf("urgent runs %d times, batch %d", f.running("urgent"), f.running("batch"))
	}
}

// The load: urgent jobs that are too late to be worth anything, on a full
// installation. Those that rank before them would take the room that they free,
// be stopped again, and so on.
func TestHopelessUnitStopsNobody(t *testing.T) {
	f := newField(t, 1, 8)
	f.submit("batch", 2, step(8, 1, 100*time.Second))
	f.decide()
	f.submit("urgent", 0, step(1, 8, time.Second))
	f.memory.Update(f.state, f.now, time.UnixMilli(f.now.Milliseconds()))
	f.now += 40 * time.Second
	for range 5 {
		if d := f.decide(); len(d.Stops) > 0 {
			t.Fatalf("stops %+v", d.Stops)
		}
		f.stopAll()
	}
}

// The load: urgent gangs beside short tasks that end soon anyway. Stopping those
// throws their work away for nothing.
func TestUrgentUnitWaitsForRunsThatEndInTime(t *testing.T) {
	f := newField(t, 1, 8)
	f.submit("batch", 2, step(8, 1, 10*time.Second))
	f.decide()
	f.now += 9500 * time.Millisecond
	f.submit("urgent", 0, step(1, 8, 10*time.Second))
	if d := f.decide(); len(d.Stops) > 0 {
		t.Fatalf("stops %d runs that end within half a second", len(d.Stops))
	}
	f.submit("later", 2, step(1, 1, time.Second))
	f.endWhere(func(workload.TaskRef, *workload.Task) (workload.RunOutcome, bool) { return workload.RunDone, true })
	f.decide()
	if f.running("urgent") != 1 {
		t.Fatal("the room that became free went to others")
	}
}

// The load: one worker has turned slow. Its tasks start anew elsewhere if they end
// sooner there, and it gets no more for a while.
func TestTasksLeaveASlowWorker(t *testing.T) {
	f := newField(t, 2, 8)
	f.submit("batch", 2, step(4, 1, 4*time.Second))
	f.decide()
	var slow workload.LifeID
	for id, w := range f.state.Workers() {
		if len(w.Runs) > 0 {
			slow = id
		}
	}
	f.memory.Update(f.state, f.now, time.UnixMilli(f.now.Milliseconds()))
	f.now += time.Second
	for r, run := range f.state.Worker(slow).Runs {
		f.memory.SetRemaining(r, run, 30*time.Second, f.now)
	}
	if d := f.decide(); len(d.Stops) != 4 {
		t.Fatalf("stops %d of 4 runs that would take 30 s", len(d.Stops))
	}
	f.stopAll()
	f.decide()
	if n := len(f.state.Worker(slow).Runs); n > 0 {
		t.Fatalf("the slow worker got %d of them back", n)
	}
	if f.running("batch") != 4 {
		t.Fatalf("%d of 4 run elsewhere", f.running("batch"))
	}
}

// A worker whose runs take a little longer than estimated is not slow.
func TestTasksStayOnAWorkerOfOrdinarySpeed(t *testing.T) {
	f := newField(t, 2, 8)
	f.submit("batch", 2, step(4, 1, 4*time.Second))
	f.decide()
	f.projectAll(7 * time.Second)
	if d := f.decide(); len(d.Stops) != 0 {
		t.Fatalf("stops %d runs", len(d.Stops))
	}
}

// Runs that were taken over by a restarted agent look short; one of them must not
// make all others look slow.
func TestOneShortRunDoesNotChangeWhatIsExpected(t *testing.T) {
	var m allocation.History
	j := &workload.Job{JobSpec: workload.JobSpec{Queue: "queue", Steps: []workload.StepSpec{{Tasks: 1, Estimate: 10 * time.Second}}}}
	m.RecordSuccess(j, workload.TaskRef{}, 100*time.Millisecond)
	if d := m.ExpectedDuration(j, 0); d < 7*time.Second {
		t.Fatalf("expects %v after one short run", d)
	}
}

// Tasks that seem to stand still wherever they are must not be moved for ever.
func TestATaskIsMovedOnceOnly(t *testing.T) {
	f := newField(t, 2, 8)
	f.submit("batch", 2, step(2, 1, time.Second))
	f.decide()
	moves := 0
	for range 40 {
		f.memory.Update(f.state, f.now, time.UnixMilli(f.now.Milliseconds()))
		f.now += time.Second
		for _, w := range f.state.Workers() {
			for r, run := range w.Runs {
				f.memory.SetRemaining(r, run, allocation.NoProgress, f.now)
			}
		}
		moves += len(f.decide().Stops)
		f.stopAll()
		f.decide()
	}
	if moves > 2 {
		t.Fatalf("2 tasks were moved %d times", moves)
	}
}

// The load: all processes were killed while long tasks run. The new leader must not
// take every run for one that has just begun.
func TestANewMemoryKnowsHowLongRunsHaveRun(t *testing.T) {
	f := newField(t, 2, 8)
	f.submit("old", 2, step(8, 1, 60*time.Second))
	f.decide()
	f.now += 30 * time.Second
	f.submit("young", 2, step(8, 1, 60*time.Second))
	f.decide()
	f.now += time.Second
	f.memory = allocation.History{}
	f.submit("urgent", 0, step(1, 8, time.Second))
	d := f.decide()
	if len(d.Stops) != 8 {
		t.Fatalf("%d stops, want 8", len(d.Stops))
	}
	for _, s := range d.Stops {
		if s.Task.Job != "young" {
			t.Fatalf("stops %s, which has run for half a minute", s.Task)
		}
	}
}

// The load: a large job whose estimate is a tenth of what its tasks take. Its workers
// are not slow, and nothing must move.
func TestAWrongEstimateDoesNotMakeWorkersSlow(t *testing.T) {
	f := newField(t, 6, 8)
	f.submit("batch", 2, step(32, 1, time.Second))
	f.decide()
	f.projectAll(9 * time.Second)
	if d := f.decide(); len(d.Stops) != 0 {
		t.Fatalf("stops %d runs of ten seconds that were estimated at one", len(d.Stops))
	}
	if d := f.memory.ExpectedDuration(f.state.Job("batch"), 0); d < 9*time.Second || d > 11*time.Second {
		t.Errorf("expects %v of the others", d)
	}
}

// The failure: an urgent gang takes the room of a service of which one task may be
// away at a time.
func TestNoMoreTasksOfAServiceYieldThanItMayMiss(t *testing.T) {
	for _, c := range []struct{ mayMiss, stops int }{{0, 2}, {1, 0}, {2, 2}} {
		f := newField(t, 2, 8)
		service := step(2, 8, 0)
		service.LongRunning, service.MayMiss = true, c.mayMiss
		f.submit("service", 2, service)
		f.decide()
		f.memory.Update(f.state, f.now, time.UnixMilli(f.now.Milliseconds()))
		f.now += 10 * time.Second
		urgent := step(2, 8, time.Second)
		urgent.Gang = true
		f.submit("urgent", 0, urgent)
		if d := f.decide(); len(d.Stops) != c.stops {
			t.Errorf("%d tasks yield of a service that may miss %d, want %d", len(d.Stops), c.mayMiss, c.stops)
		}
	}
}

// The load: fillers and services on workers that are partly full. Fillers go where
// most is idle, and not beside who serves.
func TestFillersGoWhereMostIsIdle(t *testing.T) {
	f := newField(t, 3, 8)
	service := step(1, 1, 0)
	service.LongRunning, service.TailTarget = true, 100*time.Millisecond
	service.Need.Cores = 1000
	f.submit("service", 0, service)
	f.decide()
	busy := step(1, 1, 30*time.Second)
	busy.Need.Cores = 63500
	f.submit("busy", 1, busy)
	f.decide()
	filler := step(2, 0, 30*time.Second)
	filler.Filler, filler.Need.Cores, filler.Need.Accelerators = true, 20000, 0
	f.submit("filler", 2, filler)
	f.decide()
	for _, w := range f.state.Workers() {
		if n := w.CountRuns("filler", 0, 0); n > 0 && len(w.Runs) != n {
			t.Errorf("%d fillers run on %s beside others", n, w.Life)
		}
	}
	if f.running("filler") != 2 {
		t.Errorf("%d of 2 fillers run", f.running("filler"))
	}
}

// The failure: a worker fails whatever it gets, at once, and then looks free (dpts-cutyard,
// inc-c7f8).
func TestWhatFailedRunsElsewhere(t *testing.T) {
	for _, gang := range []bool{false, true} {
		f := newField(t, 3, 8)
		s := step(2, 4, time.Second)
		s.Gang = gang
		f.submit("job", 0, s)
		ill := workload.LifeID("")
		for attempt := range 3 {
			f.decide()
			for life, w := range f.state.Workers() {
				if len(w.Runs) == 0 {
					continue
				}
				if ill == "" {
					ill = life
				}
				if life == ill && attempt > 0 {
					t.Fatalf("gang %v: attempt %d is made on %s", gang, attempt, life)
				}
			}
			f.endWhere(func(r workload.TaskRef, task *workload.Task) (workload.RunOutcome, bool) {
				if task.Worker == ill {
					f.memory.RecordFailure(f.state.Job("job"), r, ill)
					return workload.RunFailed, true
				}
				return workload.RunGangBroken, gang
			})
		}
	}
}

// The same while nothing else is free: the last attempt waits, others need not.
func TestTheLastAttemptWaitsForAnotherWorker(t *testing.T) {
	f := newField(t, 2, 8)
	f.submit("job", 0, step(1, 8, time.Second))
	f.decide()
	f.submit("hog", 0, step(1, 8, time.Minute))
	f.decide()
	for attempt, want := range []int{1, 0} {
		f.endWhere(func(r workload.TaskRef, task *workload.Task) (workload.RunOutcome, bool) {
			if r.Job != "job" {
				return "", false
			}
			f.memory.RecordFailure(f.state.Job("job"), r, task.Worker)
			return workload.RunFailed, true
		})
		f.decide()
		if n := f.running("job"); n != want {
			t.Fatalf("%d runs after failure %d, want %d", n, attempt+1, want)
		}
	}
	f.endWhere(func(r workload.TaskRef, _ *workload.Task) (workload.RunOutcome, bool) {
		return workload.RunDone, r.Job == "hog"
	})
	f.decide()
	if f.running("job") != 1 {
		t.Error("the last attempt is not made on the other worker")
	}
}

// Where no other worker could ever take it, the last attempt is made all the same.
func TestTheLastAttemptIsMadeWhereItCanBe(t *testing.T) {
	f := newField(t, 1, 8)
	f.submit("job", 0, step(1, 8, time.Second))
	for range 2 {
		f.decide()
		f.endWhere(func(r workload.TaskRef, task *workload.Task) (workload.RunOutcome, bool) {
			f.memory.RecordFailure(f.state.Job("job"), r, task.Worker)
			return workload.RunFailed, true
		})
	}
	f.decide()
	if f.running("job") != 1 {
		t.Error("the last attempt is not made on the only worker")
	}
}

// The load: queues whose estimates are rough, by a factor of three either way, while
// their tasks resemble each other. What is usual in the queue tells more.
func TestRoughEstimatesGiveWayToWhatIsUsual(t *testing.T) {
	f := newField(t, 4, 8)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 12 {
		id := fmt.Sprint("job", i)
		estimate := time.Duration(float64(3*time.Second) * math.Exp(random.NormFloat64()))
		f.submit(id, 2, step(1, 8, estimate))
		f.decide()
		f.endWhere(func(r workload.TaskRef, _ *workload.Task) (workload.RunOutcome, bool) {
			f.memory.RecordSuccess(f.state.Job(r.Job), r, 2500*time.Millisecond+time.Duration(random.IntN(1000))*time.Millisecond)
			return workload.RunDone, true
		})
	}
	for _, estimate := range []time.Duration{500 * time.Millisecond, 15 * time.Second} {
		j := &workload.Job{JobSpec: workload.JobSpec{Queue: "queue2", Steps: []workload.StepSpec{{Tasks: 1, Estimate: estimate}}}}
		if d := f.memory.ExpectedDuration(j, 0); d < 1500*time.Millisecond || d > 6*time.Second {
			t.Errorf("expects %v of a task of about 3 s that is estimated at %v", d, estimate)
		}
	}
}
