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
