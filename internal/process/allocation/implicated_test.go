package allocation_test

import (
	"fmt"
	"testing"
	"time"

	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

// The pattern is a worker that crashes under tasks of several jobs, of which one has crashed it. If these
// started together again, that task would crash the worker of all of them each time, and all their jobs
// would be given up.
func TestImplicatedTasksOfDifferentJobsStartApart(t *testing.T) {
	f := newFixture(t, 1, 8)
	for i := range 3 {
		f.submit(fmt.Sprint("job", i), 1, step(2, 1, 10*time.Second))
	}
	f.decide()
	var crashes []workload.Crash
	for r, run := range f.state.Worker("worker0").Runs {
		crashes = append(crashes, workload.Crash{Task: r, Run: run, Early: true})
	}
	for i, life := range []workload.LifeID{"next0", "next1"} {
		f.mustApply(workload.Record{Announce: &workload.Announce{
			Life: life, Machine: platform.WorkerID(fmt.Sprint("machine", i)), Service: "service", Rack: "rack0",
			Room: workload.Resources{Cores: 64000, Memory: 1000, Accelerators: 8}, Crashes: crashes,
		}})
	}
	for range 3 {
		f.decide()
		for _, life := range []workload.LifeID{"next0", "next1"} {
			w := f.state.Worker(life)
			jobs := map[workload.JobID]bool{}
			for r := range w.Runs {
				jobs[r.Job] = true
			}
			if len(jobs) != 1 {
				t.Errorf("got implicated tasks of %d jobs on worker %s, want those of 1", len(jobs), life)
			}
		}
		f.now += 400 * time.Millisecond
	}
	f.now += time.Second
	f.decide()
	for i := range 3 {
		if n := f.running(fmt.Sprint("job", i)); n != 2 {
			t.Errorf("got %d runs of job %d after the probation of the others, want 2", n, i)
		}
	}
}

// An implicated task must not start together with a task of another job, whichever is more urgent. If that
// one crashes the worker, both seem to be at fault, and the implicated one would be given up for it.
func TestImplicatedTaskStartsApartFromNewOnes(t *testing.T) {
	for _, first := range []string{"new", "implicated"} {
		t.Run(first+" first", func(t *testing.T) {
			priorities := map[string]int{"new": 1, "implicated": 1, first: 0}
			f := newFixture(t, 1, 8)
			f.submit("implicated", priorities["implicated"], step(1, 1, 10*time.Second))
			f.decide()
			f.mustApply(workload.Record{Announce: &workload.Announce{
				Life: "next", Machine: "machine0", Service: "service", Rack: "rack0",
				Room: workload.Resources{Cores: 64000, Memory: 1000, Accelerators: 8}, Crashes: []workload.Crash{{Task: workload.TaskRef{Job: "implicated"}, Run: 1, Early: true}},
			}})
			f.submit("new", priorities["new"], step(1, 1, 10*time.Second))
			f.decide()
			if n := f.running("new") + f.running("implicated"); f.running(first) != 1 || n != 1 {
				t.Errorf("got %d runs of the first task and %d in all, want 1 and 1", f.running(first), n)
			}
			// The first decision after a placement observes its run.
			f.decide()
			f.now += 150 * time.Millisecond
			f.decide()
			if n := f.running("new") + f.running("implicated"); n != 2 {
				t.Errorf("got %d runs after the first task has started, want 2", n)
			}
		})
	}
}
