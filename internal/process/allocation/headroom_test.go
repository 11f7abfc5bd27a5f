package allocation_test

import (
	"fmt"
	"testing"
	"time"

	"corianderpass/internal/process/allocation"
	"corianderpass/internal/process/workload"
)

// urgentGangs submits a gang of priority 0 that needs two whole workers for two seconds, every two
// seconds for the given time, while a wide job of priority 2 is waiting. Afterwards the clock is at
// the end of that time. It returns the decisions.
func urgentGangs(f *fixture, during time.Duration) []allocation.Decision {
	const tick, gangTime, batchTime = 100 * time.Millisecond, 2 * time.Second, 10 * time.Second
	gang := step(2, 8, gangTime)
	gang.Gang = true
	startedAt := map[workload.TaskRef]time.Duration{}
	var decisions []allocation.Decision
	for elapsed := time.Duration(0); elapsed < during; elapsed += tick {
		if elapsed%gangTime == 0 {
			f.submit(fmt.Sprint("urgent", elapsed), 0, gang)
		}
		if elapsed == gangTime/2 {
			f.submit("batch", 2, step(600, 1, batchTime))
		}
		decisions = append(decisions, f.decide())
		f.endStopping()
		f.endWhere(func(r workload.TaskRef, t *workload.Task) (workload.RunOutcome, bool) {
			if t.Run == 1 && startedAt[r] == 0 {
				startedAt[r] = f.now
			}
			runTime := batchTime
			if r.Job != "batch" {
				runTime = gangTime
			}
			return workload.RunDone, f.now-startedAt[r] >= runTime
		})
		f.now += tick
	}
	return decisions
}

// Urgent gangs that need whole workers arrive steadily beside a wide job of low priority. The wide job
// must not spread over all workers: each urgent gang would have to stop many of its runs.
func TestWideJobLeavesWorkersToExpectedUrgentGangs(t *testing.T) {
	f := newFixture(t, 16, 8)
	stops := 0
	for _, d := range urgentGangs(f, 30*time.Second) {
		stops += len(d.Stops)
	}
	if stops > 0 {
		t.Errorf("got %d runs stopped, want none", stops)
	}
	// The gangs need 2 of the 16 workers.
	if n := f.running("batch"); n < 7*8 {
		t.Errorf("got %d runs of the wide job, want at least half of the 112 accelerators that the gangs leave", n)
	}
}

// Once the urgent jobs have ended and no more arrive, nothing may stay idle.
func TestHeadroomEndsWithUrgentArrivals(t *testing.T) {
	f := newFixture(t, 8, 8)
	urgentGangs(f, 10*time.Second)
	f.endWhere(func(r workload.TaskRef, _ *workload.Task) (workload.RunOutcome, bool) {
		return workload.RunDone, r.Job != "batch"
	})
	f.now += 9 * time.Second
	f.decide()
	if n := f.running("batch"); n != 8*8 {
		t.Errorf("got %d runs of the wide job, want 64", n)
	}
}

// newUrgentBurst returns an idle fixture shortly after the submission and cancellation of more urgent
// work than two workers can do.
func newUrgentBurst(t *testing.T) *fixture {
	f := newFixture(t, 2, 8)
	for n := range 10 {
		f.submit(fmt.Sprint("urgent", n), 0, step(4, 8, 5*time.Second))
	}
	f.decide()
	for n := range 10 {
		f.mustApply(workload.Record{Cancel: &workload.Cancel{Job: workload.JobID(fmt.Sprint("urgent", n))}})
	}
	f.decide()
	f.endStopping()
	return f
}

// While much more urgent work arrives than the installation can do, jobs of lower priority that run
// nowhere must still start when capacity is free.
func TestHeadroomStarvesNoPriority(t *testing.T) {
	f := newUrgentBurst(t)
	f.submit("batch", 2, step(1, 1, 5*time.Second))
	f.decide()
	if f.running("batch") != 1 {
		t.Error("the job of low priority does not run on idle workers, want it started")
	}
}

// A job leaves headroom only as long as it can wait without being late.
func TestHeadroomDelaysNoJobPastItsSlack(t *testing.T) {
	f := newUrgentBurst(t)
	f.submit("batch", 2, step(8, 1, 5*time.Second))
	f.decide()
	f.submit("next", 2, step(1, 1, 5*time.Second))
	f.decide()
	if f.running("next") != 0 {
		t.Fatal("a job that can wait runs on the last idle worker, want it to leave headroom")
	}
	// The objective is 2 x 5s.
	f.now += time.Second
	f.decide()
	if f.running("next") != 1 {
		t.Error("a job with 4s of slack for a run of 5s does not run, want it started")
	}
}

// While less than half of the capacity is in use, a job that fits may not wait for more urgent jobs that
// are only expected.
func TestNoHeadroomWhileLittleIsInUse(t *testing.T) {
	f := newUrgentBurst(t)
	f.submit("small", 2, step(1, 1, 5*time.Second))
	f.decide()
	f.submit("wide", 2, step(1, 8, 5*time.Second))
	f.decide()
	if f.running("wide") != 1 {
		t.Error("the job does not run on the idle worker while 1 of 16 accelerators is in use, want it started")
	}
}

// Most of the capacity is in use, part of it on workers that drain. The wide job must leave headroom as if these accepted
// tasks: what runs there is in use all the same.
func TestWorkOnDrainingWorkersCountsAsInUse(t *testing.T) {
	for _, draining := range []bool{false, true} {
		f := newFixture(t, 8, 8)
		for _, life := range f.lives()[:4] {
			f.occupy(life)
			if draining {
				f.mustApply(workload.Record{Report: &workload.Report{Life: life, Draining: true, Remaining: time.Hour}})
			}
		}
		f.submit("batch", 2, step(1, 8, 10*time.Second))
		f.decide()
		f.submit("urgent", 0, step(2, 8, 10*time.Second))
		f.decide()
		f.submit("wide", 2, step(4, 8, 10*time.Second))
		if d := f.decide(); len(d.HeldBack) != 1 {
			t.Errorf("draining %v: got %d jobs held back, want the wide one", draining, len(d.HeldBack))
		}
	}
}
