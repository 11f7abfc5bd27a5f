package allocation_test

import (
	"fmt"
	"testing"
	"time"

	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

// One of two full failure domains is evacuated while an urgent gang arrives. The gang must preempt in the
// other domain: stopping runs in the evacuated one would discard work and free nothing that may be used.
func TestEvacuatedDomainTakesNoTasksAndLosesNone(t *testing.T) {
	f := newFixture(t, 0, 8)
	domainOf := map[workload.LifeID]platform.FailureDomain{}
	for i := range 4 {
		life, domain := workload.LifeID(fmt.Sprint("worker", i)), platform.FailureDomain(fmt.Sprint("domain", i/2))
		domainOf[life] = domain
		f.mustApply(workload.Record{Announce: &workload.Announce{
			Life: life, Machine: platform.WorkerID(life), Service: "service", FailureDomain: domain,
			Room: workload.Resources{Cores: 64000, Memory: 1000, Accelerators: 8},
		}})
	}
	f.submit("batch", 2, step(32, 1, 10*time.Second))
	f.decide()
	f.mustApply(workload.Record{Evacuate: &workload.Evacuate{Domain: "domain0", Version: 1, Active: true}})
	f.now += time.Second
	gang := step(2, 8, 2*time.Second)
	gang.Gang = true
	f.submit("urgent", 0, gang)
	for range 3 {
		workers := map[workload.TaskRef]workload.LifeID{}
		for life, w := range f.state.Workers() {
			for r := range w.Runs {
				workers[r] = life
			}
		}
		d := f.decide()
		for _, s := range d.Stops {
			if domainOf[workers[s.Task]] == "domain0" {
				t.Errorf("got a stop of task %s in the evacuated domain, want none", s.Task)
			}
		}
		for _, p := range d.Places {
			for _, m := range p.Members {
				if domainOf[m.Worker] == "domain0" {
					t.Errorf("got a placement of task %s in the evacuated domain, want none", m.Task)
				}
			}
		}
		f.endStopping()
		f.now += 500 * time.Millisecond
	}
	if n := f.running("urgent"); n != 2 {
		t.Errorf("got %d runs of the urgent gang, want 2", n)
	}
}
