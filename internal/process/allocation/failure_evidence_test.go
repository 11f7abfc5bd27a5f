package allocation_test

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"corianderpass/internal/process/allocation"
	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

// failureRule decides which runs fail.
type failureRule func(*workload.Task, workload.TaskRef) bool

// playRound runs six new jobs of one task each, at most one task on each worker, and ends their runs.
// It returns the workers with several failures in a row.
func (f *fixture) playRound(fails failureRule) []allocation.Quarantine {
	for i := range 6 {
		f.submit(fmt.Sprintf("job%v.%d", f.now, i), 2, step(1, 6, time.Second))
	}
	f.decide()
	f.history.Update(f.state, f.now, time.UnixMilli(f.now.Milliseconds()))
	f.now += time.Second
	f.endWhere(func(r workload.TaskRef, task *workload.Task) (workload.RunOutcome, bool) {
		j := f.state.Job(r.Job)
		if fails(task, r) {
			f.history.RecordFailure(j, r, task.Worker)
			return workload.RunFailed, true
		}
		f.history.RecordSuccess(j, r, time.Second)
		return workload.RunDone, true
	})
	return f.decide().Quarantines
}

// failsItself returns a rule by which 5 of 100 runs fail, whatever the worker.
func failsItself(seed uint64) failureRule {
	return func(task *workload.Task, r workload.TaskRef) bool {
		return sha256.Sum256(fmt.Append(nil, seed, r, task.Run))[0] < 256*5/100
	}
}

// 5 of 100 tasks fail by themselves on healthy workers. Two failures in a row on one worker are then
// frequent, and must not put it into quarantine, which takes its capacity away for seconds.
func TestTasksThatFailByThemselvesCauseNoQuarantine(t *testing.T) {
	active, inactive := 0, 0
	for seed := range uint64(8) {
		f := newFixture(t, 6, 8)
		for range 60 {
			for _, q := range f.playRound(failsItself(seed)) {
				if q.Active {
					active++
				} else {
					inactive++
				}
			}
		}
	}
	if active > 0 || inactive == 0 {
		t.Errorf("got workers in quarantine in %d rounds and several failures without quarantine in %d, want 0 and some", active, inactive)
	}
}

// One worker among healthy ones fails everything, in a queue of which 5 of 100 tasks fail by
// themselves. If it has failed every run that it got, it must be in quarantine after failures of
// two jobs, and after a few more if it was healthy before. Otherwise it would go on failing tasks.
func TestWorkerThatFailsEverythingIsQuarantined(t *testing.T) {
	for _, c := range []struct {
		faulty workload.LifeID
		most   int
	}{{"new", 2}, {"worker0", 3}} {
		f := newFixture(t, 6, 8)
		itself := failsItself(1)
		for range 30 {
			f.playRound(func(task *workload.Task, r workload.TaskRef) bool {
				return task.Worker != c.faulty && itself(task, r)
			})
		}
		if c.faulty == "new" {
			f.mustApply(workload.Record{Announce: &workload.Announce{
				Life: c.faulty, Machine: platform.WorkerID(c.faulty), Service: "service", Rack: "rack0", Labels: []string{"a", "rack0"},
				Room: workload.Resources{Cores: 64000, Memory: 1000, Accelerators: 8},
			}})
		}
		failures, quarantined := 0, false
		for range 20 {
			for _, q := range f.playRound(func(task *workload.Task, r workload.TaskRef) bool {
				if task.Worker == c.faulty {
					failures++
				}
				return task.Worker == c.faulty || itself(task, r)
			}) {
				quarantined = quarantined || q.Worker == c.faulty && q.Active
			}
			if quarantined {
				break
			}
		}
		if !quarantined || failures > c.most {
			t.Errorf("%s: got quarantine %v after %d failures, want it after %d at most", c.faulty, quarantined, failures, c.most)
		}
	}
}

// After a change of the leader there is no history, and failures of two different jobs in a row must
// suffice for quarantine, as the state has them.
func TestQuarantineWithoutHistory(t *testing.T) {
	f := newFixture(t, 6, 8)
	for range 2 {
		f.playRound(func(task *workload.Task, _ workload.TaskRef) bool { return task.Worker == "worker0" })
	}
	f.history = allocation.History{}
	quarantines := f.decide().Quarantines
	if len(quarantines) != 1 || quarantines[0].Worker != "worker0" || !quarantines[0].Active || quarantines[0].Evidence != 0 {
		t.Errorf("got quarantines %+v, want worker0 in quarantine without observations", quarantines)
	}
}
