package allocation_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderpass/internal/process/workload"
)

// quarantineTime is how long a worker takes no task after failures of two jobs.
const quarantineTime = 4 * time.Second

// quarantine makes two jobs fail on each of the workers in turn, so that they are quarantined.
func (f *fixture) quarantine(lives ...workload.LifeID) {
	f.t.Helper()
	for _, life := range lives {
		for _, name := range []string{"first", "second"} {
			id := workload.JobID(fmt.Sprint(name, " hopeless on ", life))
			f.submit(string(id), 1, step(1, 1, time.Second))
			f.mustApply(workload.Record{Place: &workload.Place{Term: 1, Run: 1, Members: []workload.Member{{Task: workload.TaskRef{Job: id}, Worker: life}}}})
			f.fail(id)
			f.mustApply(workload.Record{Cancel: &workload.Cancel{Job: id}})
		}
	}
	f.history.Update(f.state, f.now, time.UnixMilli(f.now.Milliseconds()))
}

// Two jobs that cannot succeed have failed on all workers. A gang with more members than there are workers must start on
// them although nothing else is there to test them (review/6).
func TestGangStartsOnWorkersUnderTest(t *testing.T) {
	f := newFixture(t, 3, 8)
	f.quarantine(f.lives()...)
	f.now += quarantineTime
	s := step(4, 2, 2*time.Second)
	s.Gang = true
	f.submit("gang", 1, s)
	if wait := f.untilRunning("gang", time.Minute); wait >= idleLimit {
		t.Errorf("the gang started after %v, want less than %v", wait, idleLimit)
	}
}

// Tasks of two jobs that last have failed on a worker, which runs other tasks that last. A test of the worker must not wait
// until it is empty (review/7).
func TestTaskThatLastsIsRestartedBesideOthers(t *testing.T) {
	f := newFixture(t, 3, 8)
	for _, id := range []string{"a", "b", "c"} {
		s := lasting(step(3, 1, 0))
		s.PerWorker = 1
		f.submit(id, 1, s)
		f.decide()
	}
	for range 4 {
		for _, id := range []workload.JobID{"a", "b"} {
			f.now += 2 * time.Second
			f.decide()
			f.endWhere(func(r workload.TaskRef, task *workload.Task) (workload.RunOutcome, bool) {
				if r.Job != id || task.Worker != "worker0" {
					return "", false
				}
				f.history.RecordFailure(f.state.Job(id), r, task.Worker, f.now)
				return workload.RunFailed, true
			})
			began := f.now
			for f.decide(); f.running(string(id)) < 3; f.decide() {
				if f.now += tick; f.now-began >= idleLimit {
					t.Fatalf("the task of job %s was not restarted within %v", id, idleLimit)
				}
			}
		}
	}
}

// Workers are quarantined because they seem to be faulty. Neither a new job nor a task that lasts, which has just failed
// there, may start on them at once.
func TestQuarantineLasts(t *testing.T) {
	f := newFixture(t, 1, 8)
	f.submit("lasting", 1, lasting(step(1, 1, 0)))
	f.decide()
	f.now += time.Minute
	f.quarantine(f.lives()...)
	f.fail("lasting")
	f.history.Update(f.state, f.now, time.UnixMilli(f.now.Milliseconds()))
	f.submit("job", 1, step(1, 1, time.Second))
	if wait := f.untilRunning("lasting", idleLimit); wait < time.Second || wait >= idleLimit {
		t.Errorf("the task that lasts was restarted after %v, want between 1s and %v", wait, idleLimit)
	}
	if wait := f.untilRunning("job", time.Minute); wait < time.Second || wait > quarantineTime {
		t.Errorf("the job started %v later, want between 1s and %v", wait, quarantineTime)
	}
}

// A worker under test takes a single task while there is room elsewhere.
func TestSoundWorkersAreUsedBeforeThoseUnderTest(t *testing.T) {
	f := newFixture(t, 1, 8)
	f.quarantine(f.lives()...)
	f.now += quarantineTime
	f.mustApply(workload.Record{Announce: &workload.Announce{
		Life: "sound", Machine: "sound", Service: "service", Rack: "rack1", Room: workload.Resources{Cores: 64000, Memory: 1000, Accelerators: 8},
	}})
	f.submit("job", 1, step(9, 1, time.Second))
	f.decide()
	if n := len(f.state.Worker("worker0").Runs); n != 1 {
		t.Errorf("got %d runs on the worker under test, want 1", n)
	}
}

// A job waits for the rack of its data, which is busy. That a worker elsewhere is under test is no reason to run far from it.
func TestWorkerUnderTestDoesNotEndWaitForRack(t *testing.T) {
	f := newFixture(t, 9, 8)
	f.quarantine("worker8")
	f.now += quarantineTime
	s := step(3, 8, time.Minute)
	s.Label = "rack0"
	f.submit("others", 1, s)
	f.decide()
	f.submit("job", 1, nearData())
	if wait := f.untilRunning("job", time.Minute); wait < finishTime {
		t.Errorf("the job started after %v, want %v or more", wait, finishTime)
	}
}

// Jobs of all forms fail at random for a while, then nothing fails any more. From finishTime on no job may have nothing running
// for idleLimit while there is room for it twice over and less than half of the capacity is in use.
func TestNoJobWaitsForEverAfterFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(t, rapid.IntRange(2, 6).Draw(rt, "workers"), 8)
		var ids []workload.JobID
		endsAt := map[workload.TaskRef]time.Duration{}
		idle := map[workload.JobID]time.Duration{}
		failing := time.Duration(rapid.IntRange(1, 12).Draw(rt, "seconds with failures")) * time.Second
		began := f.now
		for f.now-began < failing+finishTime+10*time.Second {
			calm := f.now-began >= failing
			if !calm && rapid.IntRange(0, 9).Draw(rt, "submits") == 0 {
				s := step(rapid.IntRange(1, 4).Draw(rt, "tasks"), rapid.SampledFrom([]int{1, 2, 8}).Draw(rt, "accelerators"), time.Second)
				s.LongRunning = rapid.IntRange(0, 3).Draw(rt, "lasts") == 0
				s.Gang = !s.LongRunning && rapid.Bool().Draw(rt, "gang")
				s.Label = rapid.SampledFrom([]string{"", "", "rack0"}).Draw(rt, "label")
				id := workload.JobID(fmt.Sprint("job", len(ids)))
				ids = append(ids, id)
				f.submit(string(id), rapid.IntRange(0, 2).Draw(rt, "priority"), s)
			}
			f.decide()
			f.endStopping()
			f.endRuns(endsAt, func() bool { return !calm && rapid.IntRange(0, 2).Draw(rt, "fails") > 0 })
			for _, id := range ids {
				j := f.state.Job(id)
				idle[id] += tick
				if !j.Open() || f.running(string(id)) > 0 || f.now-began < failing+finishTime || !f.hasRoomTwice(id) {
					idle[id] = 0
				}
				if idle[id] > idleLimit {
					rt.Fatalf("job %s had no run for %v", id, idle[id])
				}
			}
			f.now += tick
		}
	})
}

// endRuns ends the runs that have taken a second, each with a failure if fails returns true. Tasks that last end only with a
// failure. endsAt keeps the times at which they end.
func (f *fixture) endRuns(endsAt map[workload.TaskRef]time.Duration, fails func() bool) {
	f.t.Helper()
	broken := map[workload.TaskRef]bool{}
	key := func(r workload.TaskRef) workload.TaskRef {
		if f.state.Job(r.Job).Steps[0].Gang {
			r.Index = 0
		}
		return r
	}
	f.endWhereInOrder(func(r workload.TaskRef, t *workload.Task) (workload.RunOutcome, bool) {
		if at, known := endsAt[r]; !known {
			endsAt[r] = f.now + time.Second
			return "", false
		} else if f.now < at {
			return "", false
		}
		delete(endsAt, r)
		j := f.state.Job(r.Job)
		switch {
		case broken[key(r)]:
			return workload.RunGangBroken, true
		case fails():
			broken[key(r)] = true
			f.history.RecordFailure(j, r, t.Worker, f.now)
			return workload.RunFailed, true
		case j.Steps[0].LongRunning:
			return "", false
		}
		return workload.RunDone, true
	})
}

// endWhereInOrder does the same as endWhere, in the order of workers and tasks.
func (f *fixture) endWhereInOrder(outcomeOf func(workload.TaskRef, *workload.Task) (workload.RunOutcome, bool)) {
	f.t.Helper()
	for _, life := range f.lives() {
		for _, r := range f.state.Worker(life).SortedRuns() {
			_, _, t, _ := f.state.Task(r)
			if t.Worker != life || !slices.Contains(f.state.Worker(life).SortedRuns(), r) {
				continue
			}
			if outcome, ended := outcomeOf(r, t); ended {
				f.endNumbers[life]++
				f.mustApply(workload.Record{Ends: &workload.Ends{Life: life, Ends: []workload.End{{Number: f.endNumbers[life], Task: r, Run: t.Run, How: outcome}}}})
			}
		}
	}
}
