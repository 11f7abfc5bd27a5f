package allocation_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderpass/internal/process/workload"
)

// idleLimit is how long a job may have no run while less than half of the capacity is in use and there is capacity for it
// twice over, from the platform's rule that jobs end.
const idleLimit = 3 * time.Second

// tick is the time between two decisions.
const tick = 100 * time.Millisecond

// occupy fills the worker with a task that lasts, in a job of its own.
func (f *fixture) occupy(life workload.LifeID) {
	f.t.Helper()
	id := "lasting on " + string(life)
	f.submit(id, 1, lasting(step(1, 8, 0)))
	f.mustApply(workload.Record{Place: &workload.Place{
		Term: 1, Run: 1, Members: []workload.Member{{Task: workload.TaskRef{Job: workload.JobID(id)}, Worker: life}},
	}})
}

func lasting(s workload.StepSpec) workload.StepSpec {
	s.LongRunning = true
	return s
}

// fail ends the runs of the job with failures.
func (f *fixture) fail(id workload.JobID) {
	f.t.Helper()
	gang := f.state.Job(id).Steps[0].Gang
	f.endWhere(func(r workload.TaskRef, t *workload.Task) (workload.RunOutcome, bool) {
		if r.Job != id {
			return "", false
		}
		if gang && r.Index > 0 {
			return workload.RunGangBroken, true
		}
		f.history.RecordFailure(f.state.Job(id), r, t.Worker, f.now)
		return workload.RunFailed, true
	})
}

// untilRunning makes decisions until the job has a run, and returns how long that took, at most the limit.
func (f *fixture) untilRunning(id string, limit time.Duration) time.Duration {
	f.t.Helper()
	began := f.now
	for {
		f.decide()
		if f.running(id) > 0 || f.now-began >= limit {
			return f.now - began
		}
		f.now += tick
	}
}

// The other workers of the rack that a job requires are full of tasks that last. The last attempt of the job must
// not wait for them for ever, while the worker on which it has failed is idle (review/9).
func TestLastAttemptDoesNotWaitForTasksThatLast(t *testing.T) {
	f := newFixture(t, 12, 8)
	f.occupy("worker0")
	f.occupy("worker1")
	s := step(1, 4, time.Second)
	s.Label = "rack0"
	f.submit("job", 1, s)
	for range 2 {
		if wait := f.untilRunning("job", idleLimit); wait >= idleLimit {
			t.Fatalf("an attempt before the last one did not start within %v", wait)
		}
		f.now += time.Second
		f.fail("job")
	}
	if wait := f.untilRunning("job", time.Minute); wait >= idleLimit {
		t.Errorf("the last attempt started after %v, want less than %v", wait, idleLimit)
	}
}

// Most of the capacity is in use, so that a last attempt waits longer for another worker. It must not wait for tasks that
// last, nor longer than the job yields benefit for others that take much longer than expected.
func TestLastAttemptDoesNotWaitForEverWhileOthersAreBusy(t *testing.T) {
	const estimate = 4 * time.Second
	// The objective is twice the estimate, and the job yields benefit for three times that.
	for _, c := range []struct {
		last        bool
		least, most time.Duration
	}{{true, 0, idleLimit}, {false, idleLimit, 3 * 2 * estimate}} {
		f := newFixture(t, 3, 8)
		if c.last {
			f.occupy("worker0")
			f.occupy("worker1")
		} else {
			f.submit("others", 1, step(2, 8, estimate))
			f.decide()
		}
		f.submit("job", 1, step(1, 4, estimate))
		for range 2 {
			f.untilRunning("job", idleLimit)
			f.now += time.Second
			f.fail("job")
		}
		if wait := f.untilRunning("job", time.Minute); wait < c.least || wait > c.most {
			t.Errorf("beside tasks that last (%v): the last attempt started after %v, want between %v and %v", c.last, wait, c.least, c.most)
		}
	}
}

// A task that lasts has no last attempt, however many its queue allows. It must be restarted where it failed if there is
// no room elsewhere.
func TestTaskThatLastsIsRestartedWhereItFailed(t *testing.T) {
	f := newFixture(t, 12, 8)
	f.occupy("worker0")
	f.occupy("worker1")
	s := lasting(step(1, 4, 0))
	s.Label = "rack0"
	f.mustApply(workload.Record{Submit: &workload.Submit{Spec: workload.JobSpec{
		ID: "job", Queue: "queue1", Organisation: "org", Service: "service", Priority: 1, Attempts: 1, Stretch: 2, Steps: []workload.StepSpec{s},
	}}})
	for range 3 {
		f.untilRunning("job", idleLimit)
		f.now += time.Second
		f.fail("job")
		if wait := f.untilRunning("job", idleLimit); wait > 0 {
			t.Fatalf("the task that lasts was not restarted at once, but after %v", wait)
		}
	}
}

// A job fails wherever it runs, until one attempt is left, beside tasks that last or take long. It must not have nothing
// running for idleLimit while there is room for it twice over and less than half of the capacity is in use.
func TestLastAttemptStartsWhileThereIsRoom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(t, rapid.IntRange(2, 12).Draw(rt, "workers"), 8)
		for _, life := range f.lives() {
			switch rapid.IntRange(0, 3).Draw(rt, "on "+string(life)) {
			case 0:
				f.occupy(life)
			case 1:
				f.submit("long on "+string(life), 1, step(1, 8, time.Minute))
			}
		}
		f.decide()
		s := step(rapid.IntRange(1, 3).Draw(rt, "tasks"), rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(rt, "accelerators"),
			rapid.SampledFrom([]time.Duration{time.Second, 5 * time.Second, 30 * time.Second}).Draw(rt, "estimate"))
		s.Gang = s.Tasks > 1
		s.Label = rapid.SampledFrom([]string{"", "rack0"}).Draw(rt, "label")
		f.submit("job", rapid.IntRange(0, 2).Draw(rt, "priority"), s)
		idle := time.Duration(0)
		for range 300 {
			f.decide()
			switch {
			case f.running("job") == 0 && f.hasRoomTwice("job"):
				idle += tick
			default:
				idle = 0
			}
			if idle > idleLimit {
				rt.Fatalf("the job had no run for %v after %d failures", idle, f.state.Job("job").Failures(workload.TaskRef{Job: "job"}))
			}
			f.now += tick
			f.endStopping()
			if f.running("job") == s.Tasks && rapid.IntRange(0, 9).Draw(rt, "fails") == 0 {
				if f.state.Job("job").Failures(workload.TaskRef{Job: "job"}) == 2 {
					return
				}
				f.fail("job")
			}
		}
	})
}

// lives returns the lives of all workers in order.
func (f *fixture) lives() []workload.LifeID {
	return slices.Sorted(maps.Keys(f.state.Workers()))
}

// hasRoomTwice reports whether the free capacity takes all tasks of the job's first step twice, and less than half of all
// accelerators are in use.
func (f *fixture) hasRoomTwice(id workload.JobID) bool {
	s := f.state.Job(id).Steps[0]
	fitting, used, all := 0, 0, 0
	for _, w := range f.state.Workers() {
		used, all = used+w.Used.Accelerators, all+w.Room.Accelerators
		if s.Label == "" || slices.Contains(w.Labels, s.Label) {
			fitting += w.Free().Accelerators / s.Need.Accelerators
		}
	}
	return fitting >= 2*s.Tasks && 2*used < all
}
