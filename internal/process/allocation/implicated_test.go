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
		crashes = append(crashes, workload.Crash{Task: r, Run: run})
	}
	for i, life := range []workload.LifeID{"next0", "next1"} {
		f.mustApply(workload.Record{Announce: &workload.Announce{
			Life: life, Machine: platform.WorkerID(fmt.Sprint("machine", i)), Service: "service", Rack: "rack0",
			Room: workload.Resources{Cores: 64000, Memory: 1000, Accelerators: 8}, Crashes: crashes,
		}})
	}
	for range 2 {
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

// An implicated task must not start together with new tasks while there is room elsewhere. Each of them may
// crash the worker, and the implicated one would be given up for it.
func TestImplicatedTaskStartsApartFromNewOnes(t *testing.T) {
	f := newFixture(t, 4, 8)
	old := step(3, 4, 20*time.Second)
	old.Label, old.PerWorker = "rack0", 1
	f.submit("old", 1, old)
	f.submit("implicated", 1, step(1, 1, 10*time.Second))
	f.decide()
	task := workload.TaskRef{Job: "implicated"}
	_, _, run, _ := f.state.Task(task)
	f.mustApply(workload.Record{Announce: &workload.Announce{
		Life: "next", Machine: f.state.Worker(run.Worker).Machine, Service: "service", Rack: "rack0", Crashes: []workload.Crash{{Task: task, Run: 1}},
	}})
	fresh := step(1, 1, time.Second)
	fresh.Label = "rack1"
	f.submit("new", 0, fresh)
	f.decide()
	_, _, started, _ := f.state.Task(task)
	_, _, other, _ := f.state.Task(workload.TaskRef{Job: "new"})
	if started.Worker == "" || started.Worker == other.Worker {
		t.Errorf("got the implicated task on worker %q and the new one on %q, want two different workers", started.Worker, other.Worker)
	}
}
