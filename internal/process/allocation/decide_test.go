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

// fixture is a workload state to which decisions are applied directly, without a log.
type fixture struct {
	t       testing.TB
	state   *workload.State
	history allocation.History
	now     time.Duration
	offset  platform.Offset
	bundle  *bundle.Bundle
	// endNumbers is the number of the latest recorded end per worker.
	endNumbers map[workload.LifeID]uint64
	// undecidedStops is passed to decisions.
	undecidedStops []workload.TaskRef
}

const leader incarnation.ID = "leader"

// finishTime is the FinishTime of the decisions' rules.
const finishTime = 14 * time.Second

// newFixture returns a fixture with a leader of term 1 and the given number of equal workers,
// three to a rack.
func newFixture(t testing.TB, workers, accelerators int) *fixture {
	f := &fixture{t: t, state: workload.NewState(), now: time.Hour, endNumbers: map[workload.LifeID]uint64{}, bundle: &bundle.Bundle{}}
	f.mustApply(workload.Record{Lead: &workload.Lead{Term: 1}})
	for i := range workers {
		rack := platform.RackID(fmt.Sprint("rack", i/3))
		f.mustApply(workload.Record{Announce: &workload.Announce{
			Life: workload.LifeID(fmt.Sprint("worker", i)), Machine: platform.WorkerID(fmt.Sprint("machine", i)),
			Service: "service", Rack: rack, Labels: []string{"a", string(rack)},
			Room: workload.Resources{Cores: 64000, Memory: 1000, Accelerators: accelerators},
		}})
	}
	return f
}

// apply applies a record as the leader.
func (f *fixture) apply(r workload.Record) error {
	f.offset++
	return f.state.Apply(journal.Position{Offset: f.offset, Writer: leader, Time: time.UnixMilli(f.now.Milliseconds())}, r)
}

func (f *fixture) mustApply(r workload.Record) {
	f.t.Helper()
	if err := f.apply(r); err != nil {
		f.t.Fatal(err)
	}
}

// submit submits a job of one step. Each priority has its own queue.
func (f *fixture) submit(id string, priority int, step workload.StepSpec) {
	f.t.Helper()
	f.mustApply(workload.Record{Submit: &workload.Submit{Spec: workload.JobSpec{
		ID: workload.JobID(id), Queue: bundle.QueueName(fmt.Sprint("queue", priority)), Organisation: "org", Service: "service",
		Priority: priority, Attempts: 3, Stretch: 2, Steps: []workload.StepSpec{step},
	}}})
}

// step returns a step of independent tasks; accelerators is the need of each.
func step(tasks, accelerators int, duration time.Duration) workload.StepSpec {
	return workload.StepSpec{
		Tasks: tasks, Need: workload.Resources{Cores: 1000, Memory: 10, Accelerators: accelerators}, Estimate: duration,
	}
}

// decide makes one decision, applies it, checks the state and returns the decision.
func (f *fixture) decide() allocation.Decision {
	f.t.Helper()
	f.history.Update(f.state, f.now, time.UnixMilli(f.now.Milliseconds()))
	d := allocation.Decide(allocation.Input{
		State: f.state, History: &f.history, Now: f.now, Bundle: f.bundle, Rules: allocation.Rules{FarFactor: 3, FinishTime: finishTime}, UndecidedStops: f.undecidedStops,
	})
	for _, s := range d.Stops {
		s.Term = 1
		f.mustApply(workload.Record{Stop: &s})
	}
	for _, p := range d.Places {
		p.Term = 1
		f.mustApply(workload.Record{Place: &p})
	}
	if err := f.state.Check(); err != nil {
		f.t.Fatal(err)
	}
	return d
}

// projectAll advances the clock by one second and then sets the remaining time of every run.
func (f *fixture) projectAll(remaining time.Duration) {
	f.history.Update(f.state, f.now, time.UnixMilli(f.now.Milliseconds()))
	f.now += time.Second
	for _, w := range f.state.Workers() {
		for r, run := range w.Runs {
			f.history.SetRemaining(r, run, remaining, f.now)
		}
	}
}

// endStopping ends every run that a decision has stopped.
func (f *fixture) endStopping() {
	f.endWhere(func(_ workload.TaskRef, t *workload.Task) (workload.RunOutcome, bool) {
		return workload.RunStopped, t.Phase == workload.PhaseStopping
	})
}

// endWhere ends the runs for which outcomeOf returns true, with the outcome that it returns.
func (f *fixture) endWhere(outcomeOf func(workload.TaskRef, *workload.Task) (workload.RunOutcome, bool)) {
	f.t.Helper()
	for _, w := range f.state.Workers() {
		var ends []workload.End
		for r, run := range w.Runs {
			_, _, t, _ := f.state.Task(r)
			if outcome, ended := outcomeOf(r, t); ended {
				f.endNumbers[w.Life]++
				ends = append(ends, workload.End{Number: f.endNumbers[w.Life], Task: r, Run: run, How: outcome})
			}
		}
		if len(ends) > 0 {
			f.mustApply(workload.Record{Ends: &workload.Ends{Life: w.Life, Ends: ends}})
		}
	}
}

// running returns the number of a job's runs on all workers.
func (f *fixture) running(id string) int {
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

// An urgent unit must get the capacity that its preemptions free. If the stopped runs started
// there again, they would have lost their work for nothing.
func TestUrgentUnitPreemptsAndThenRuns(t *testing.T) {
	f := newFixture(t, 1, 8)
	f.submit("batch", 2, step(8, 1, 10*time.Second))
	f.decide()
	f.now += time.Second
	f.submit("urgent", 0, step(1, 8, 2*time.Second))
	f.decide()
	f.endStopping()
	f.decide()
	if f.running("urgent") != 1 || f.running("batch") != 0 {
		t.Fatalf("got %d runs of urgent and %d of batch, want 1 and 0", f.running("urgent"), f.running("batch"))
	}
}

// An urgent job that is too late to yield any benefit must not preempt. Its victims would rank
// before it, start again in the freed capacity and be stopped again, without end.
func TestUnitWithoutBenefitPreemptsNothing(t *testing.T) {
	f := newFixture(t, 1, 8)
	f.submit("batch", 2, step(8, 1, 100*time.Second))
	f.decide()
	f.submit("urgent", 0, step(1, 8, time.Second))
	f.history.Update(f.state, f.now, time.UnixMilli(f.now.Milliseconds()))
	f.now += 40 * time.Second
	for range 5 {
		if d := f.decide(); len(d.Stops) > 0 {
			t.Fatalf("got stops %+v, want none", d.Stops)
		}
		f.endStopping()
	}
}

// Short urgent jobs arrive all the time beside long ones that do not save checkpoints. If each of
// them stopped runs that are far advanced, the long jobs would lose more work than the
// urgent ones bring.
func TestShortUrgentUnitDoesNotDiscardMuchWork(t *testing.T) {
	f := newFixture(t, 1, 8)
	f.submit("batch", 2, step(8, 1, time.Minute))
	f.decide()
	f.decide()
	f.now += 30 * time.Second
	f.submit("urgent", 0, step(1, 8, 2*time.Second))
	if d := f.decide(); len(d.Stops) > 0 {
		t.Fatalf("got %d stops that lose 30s of 8 runs for a task of 2s, want 0", len(d.Stops))
	}
}

// A unit within its organisation's guarantee must start within the reclaim time, however much
// work its victims lose.
func TestGuaranteedUnitPreemptsAtAnyLoss(t *testing.T) {
	f := newFixture(t, 1, 8)
	f.bundle.Organisations = []bundle.Organisation{{Name: "org", GuaranteedAccelerators: 8}}
	f.submit("batch", 2, step(8, 1, time.Minute))
	f.decide()
	f.decide()
	f.now += 30 * time.Second
	f.submit("urgent", 0, step(1, 8, 2*time.Second))
	if d := f.decide(); len(d.Stops) == 0 {
		t.Fatal("got no stops for a unit within its guarantee, want some")
	}
}

// An urgent unit must wait for runs that end soon enough for it to start in time: stopping
// them would lose their work for nothing. The capacity that becomes free must be reserved for
// the unit.
func TestUrgentUnitWaitsForRunsThatEndInTime(t *testing.T) {
	f := newFixture(t, 1, 8)
	f.submit("batch", 2, step(8, 1, 10*time.Second))
	f.decide()
	f.now += 9500 * time.Millisecond
	f.submit("urgent", 0, step(1, 8, 10*time.Second))
	if d := f.decide(); len(d.Stops) > 0 {
		t.Fatalf("got %d stops of runs that end within half a second, want 0", len(d.Stops))
	}
	f.submit("later", 2, step(1, 1, time.Second))
	f.endWhere(func(workload.TaskRef, *workload.Task) (workload.RunOutcome, bool) { return workload.RunDone, true })
	f.decide()
	if f.running("urgent") != 1 {
		t.Fatal("the urgent job does not run on the capacity reserved for it, want it started")
	}
}

// When a worker becomes slow, its runs must start again on another worker if they then end
// sooner, and the slow worker must get no new tasks for a while. Otherwise the stopped runs would
// start on the slow worker again.
func TestRunsMigrateFromSlowWorker(t *testing.T) {
	f := newFixture(t, 2, 8)
	f.submit("batch", 2, step(4, 1, 4*time.Second))
	f.decide()
	var slow workload.LifeID
	for id, w := range f.state.Workers() {
		if len(w.Runs) > 0 {
			slow = id
		}
	}
	f.history.Update(f.state, f.now, time.UnixMilli(f.now.Milliseconds()))
	f.now += time.Second
	for r, run := range f.state.Worker(slow).Runs {
		f.history.SetRemaining(r, run, 30*time.Second, f.now)
	}
	if d := f.decide(); len(d.Stops) != 4 {
		t.Fatalf("got %d stops, want all 4 runs that would take 30 s", len(d.Stops))
	}
	f.endStopping()
	f.decide()
	if n := len(f.state.Worker(slow).Runs); n > 0 {
		t.Fatalf("got %d runs on the slow worker, want 0", n)
	}
	if f.running("batch") != 4 {
		t.Fatalf("got %d runs on the other worker, want 4", f.running("batch"))
	}
}

// A worker whose runs take somewhat longer than estimated must not count as slow: moving its
// runs would lose their work because of a rough estimate.
func TestRunsStayOnWorkerOfNormalSpeed(t *testing.T) {
	f := newFixture(t, 2, 8)
	f.submit("batch", 2, step(4, 1, 4*time.Second))
	f.decide()
	f.projectAll(7 * time.Second)
	if d := f.decide(); len(d.Stops) != 0 {
		t.Fatalf("got %d stops, want 0", len(d.Stops))
	}
}

// A run that a restarted agent continues is reported with too short a duration. One such report
// must not lower the expected duration so far that normal runs of the queue count as slow.
func TestShortRunBarelyChangesExpectedDuration(t *testing.T) {
	var history allocation.History
	j := &workload.Job{JobSpec: workload.JobSpec{Queue: "queue", Steps: []workload.StepSpec{{Tasks: 1, Estimate: 10 * time.Second}}}}
	history.RecordSuccess(j, workload.TaskRef{}, 100*time.Millisecond)
	if d := history.ExpectedDuration(j, 0); d < 7*time.Second {
		t.Fatalf("got an expected duration of %v after one short run, want 7s or more", d)
	}
}

// A task that stalls on every worker must be moved only once. Otherwise it would start again and
// again and never end.
func TestStalledTaskMigratesOnce(t *testing.T) {
	f := newFixture(t, 2, 8)
	f.submit("batch", 2, step(2, 1, time.Second))
	f.decide()
	migrations := 0
	for range 40 {
		f.history.Update(f.state, f.now, time.UnixMilli(f.now.Milliseconds()))
		f.now += time.Second
		for _, w := range f.state.Workers() {
			for r, run := range w.Runs {
				f.history.SetRemaining(r, run, allocation.NoProgress, f.now)
			}
		}
		migrations += len(f.decide().Stops)
		f.endStopping()
		f.decide()
	}
	if migrations > 2 {
		t.Fatalf("got %d migrations of 2 tasks, want at most 2", migrations)
	}
}

// After all processes were killed, the new leader has an empty History. It must not treat long
// runs as just started, since preemption would then choose them first and lose the most work.
func TestNewHistoryRestoresRunAges(t *testing.T) {
	f := newFixture(t, 2, 8)
	f.submit("old", 2, step(8, 1, 60*time.Second))
	f.decide()
	f.now += 30 * time.Second
	f.submit("young", 2, step(8, 1, 60*time.Second))
	f.decide()
	f.now += time.Second
	f.history = allocation.History{}
	f.submit("urgent", 0, step(1, 8, time.Second))
	d := f.decide()
	if len(d.Stops) != 8 {
		t.Fatalf("got %d stops, want 8", len(d.Stops))
	}
	for _, s := range d.Stops {
		if s.Task.Job != "young" {
			t.Fatalf("got a stop of %s, which has run for 30 s; want the younger runs stopped", s.Task)
		}
	}
}

// If all tasks of a large job take ten times as long as estimated, the estimate is wrong: the
// workers must not count as slow, and no run may be moved.
func TestWrongEstimateDoesNotMarkWorkersSlow(t *testing.T) {
	f := newFixture(t, 6, 8)
	f.submit("batch", 2, step(32, 1, time.Second))
	f.decide()
	f.projectAll(9 * time.Second)
	if d := f.decide(); len(d.Stops) != 0 {
		t.Fatalf("got %d stops of runs of 10 s estimated at 1 s, want 0", len(d.Stops))
	}
	if d := f.history.ExpectedDuration(f.state.Job("batch"), 0); d < 9*time.Second || d > 11*time.Second {
		t.Errorf("got an expected duration of %v, want 9s to 11s", d)
	}
}

// An urgent gang must not preempt more tasks of a long-running step at a time than the step's
// MayMiss allows, since too few tasks of the service would then be ready. A MayMiss of 0 sets no
// limit.
func TestPreemptionRespectsDisruptionBudget(t *testing.T) {
	for _, c := range []struct{ mayMiss, stops int }{{0, 2}, {1, 0}, {2, 2}} {
		f := newFixture(t, 2, 8)
		service := step(2, 8, 0)
		service.LongRunning, service.MayMiss = true, c.mayMiss
		f.submit("service", 2, service)
		f.decide()
		f.history.Update(f.state, f.now, time.UnixMilli(f.now.Milliseconds()))
		f.now += 10 * time.Second
		urgent := step(2, 8, time.Second)
		urgent.Gang = true
		f.submit("urgent", 0, urgent)
		if d := f.decide(); len(d.Stops) != c.stops {
			t.Errorf("got %d stops of a service that may miss %d, want %d", len(d.Stops), c.mayMiss, c.stops)
		}
	}
}

// Fillers must be placed on the workers with the most idle cores, and not beside
// latency-sensitive tasks, which they would disturb.
func TestFillersPreferIdleWorkers(t *testing.T) {
	f := newFixture(t, 3, 8)
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
			t.Errorf("got %d fillers on %s beside other tasks", n, w.Life)
		}
	}
	if f.running("filler") != 2 {
		t.Errorf("got %d running fillers, want 2", f.running("filler"))
	}
}

// A faulty worker fails every task immediately and is then free again, so that the retries of a
// task were placed on it too (dpts-cutyard, inc-c7f8). They must be placed on another worker.
func TestFailedUnitRetriesOnAnotherWorker(t *testing.T) {
	for _, gang := range []bool{false, true} {
		f := newFixture(t, 3, 8)
		s := step(2, 4, time.Second)
		s.Gang = gang
		f.submit("job", 0, s)
		faulty := workload.LifeID("")
		for attempt := range 3 {
			f.decide()
			for life, w := range f.state.Workers() {
				if len(w.Runs) == 0 {
					continue
				}
				if faulty == "" {
					faulty = life
				}
				if life == faulty && attempt > 0 {
					t.Fatalf("gang %v: attempt %d runs on %s, where the first failed", gang, attempt, life)
				}
			}
			f.endWhere(func(r workload.TaskRef, task *workload.Task) (workload.RunOutcome, bool) {
				if task.Worker == faulty {
					f.history.RecordFailure(f.state.Job("job"), r, faulty, f.now)
					return workload.RunFailed, true
				}
				return workload.RunGangBroken, gang
			})
		}
	}
}

// While only the worker on which the task has failed is free, earlier attempts may run there, but
// the last attempt must wait for another worker, since a faulty worker would fail it too.
func TestLastAttemptWaitsForAnotherWorker(t *testing.T) {
	f := newFixture(t, 2, 8)
	f.submit("job", 0, step(1, 8, time.Second))
	f.decide()
	f.submit("blocker", 0, step(1, 8, time.Minute))
	f.decide()
	for attempt, want := range []int{1, 0} {
		f.endWhere(func(r workload.TaskRef, task *workload.Task) (workload.RunOutcome, bool) {
			if r.Job != "job" {
				return "", false
			}
			f.history.RecordFailure(f.state.Job("job"), r, task.Worker, f.now)
			return workload.RunFailed, true
		})
		f.decide()
		if n := f.running("job"); n != want {
			t.Fatalf("got %d runs after failure %d, want %d", n, attempt+1, want)
		}
	}
	f.endWhere(func(r workload.TaskRef, _ *workload.Task) (workload.RunOutcome, bool) {
		return workload.RunDone, r.Job == "blocker"
	})
	f.decide()
	if f.running("job") != 1 {
		t.Error("the last attempt did not start on the other worker")
	}
}

// If there is no other worker on which the task fits, its last attempt must still run. Otherwise
// the task would wait forever.
func TestLastAttemptRunsOnOnlyWorker(t *testing.T) {
	f := newFixture(t, 1, 8)
	f.submit("job", 0, step(1, 8, time.Second))
	for range 2 {
		f.decide()
		f.endWhere(func(r workload.TaskRef, task *workload.Task) (workload.RunOutcome, bool) {
			f.history.RecordFailure(f.state.Job("job"), r, task.Worker, f.now)
			return workload.RunFailed, true
		})
	}
	f.decide()
	if f.running("job") != 1 {
		t.Error("the last attempt did not start on the only worker")
	}
}

// In a queue whose estimates err by a factor of three either way while its tasks take similar
// times, the observed durations must outweigh the estimate.
func TestQueueDurationsCorrectRoughEstimates(t *testing.T) {
	f := newFixture(t, 4, 8)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 12 {
		id := fmt.Sprint("job", i)
		estimate := time.Duration(float64(3*time.Second) * math.Exp(random.NormFloat64()))
		f.submit(id, 2, step(1, 8, estimate))
		f.decide()
		f.endWhere(func(r workload.TaskRef, _ *workload.Task) (workload.RunOutcome, bool) {
			f.history.RecordSuccess(f.state.Job(r.Job), r, 2500*time.Millisecond+time.Duration(random.IntN(1000))*time.Millisecond)
			return workload.RunDone, true
		})
	}
	for _, estimate := range []time.Duration{500 * time.Millisecond, 15 * time.Second} {
		j := &workload.Job{JobSpec: workload.JobSpec{Queue: "queue2", Steps: []workload.StepSpec{{Tasks: 1, Estimate: estimate}}}}
		if d := f.history.ExpectedDuration(j, 0); d < 1500*time.Millisecond || d > 6*time.Second {
			t.Errorf("got an expected duration of %v for a task of about 3 s estimated at %v, want 1.5s to 6s", d, estimate)
		}
	}
}

// The room of a worker has shrunk below what its runs use. Nothing may be placed there, not even a task that
// needs nothing of what is exceeded: the state would reject the placement, and the leader would propose it
// again and again.
func TestNothingIsPlacedOnWorkerOverItsRoom(t *testing.T) {
	f := newFixture(t, 1, 8)
	f.submit("running", 1, step(6, 1, 10*time.Second))
	f.decide()
	room := workload.Resources{Cores: 64000, Memory: 1000, Accelerators: 4}
	f.mustApply(workload.Record{Report: &workload.Report{Life: "worker0", Room: &room}})
	f.submit("small", 1, step(1, 0, time.Second))
	if d := f.decide(); len(d.Places) > 0 {
		t.Errorf("got placements %v on a worker over its room, want none", d.Places)
	}
	f.endWhere(func(r workload.TaskRef, _ *workload.Task) (workload.RunOutcome, bool) {
		return workload.RunDone, r.Index < 2
	})
	if f.decide(); f.running("small") != 1 {
		t.Errorf("got %d runs of the small task after the worker is within its room, want 1", f.running("small"))
	}
}
