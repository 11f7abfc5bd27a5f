package allocation_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderpass/internal/process/allocation"
	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

// newLabelledFixture returns a fixture with equal workers of 64 cores, 1,000 MB and 8 accelerators,
// each with its name as a label.
func newLabelledFixture(t testing.TB, names ...string) *fixture {
	f := newFixture(t, 0, 8)
	for _, name := range names {
		f.mustApply(workload.Record{Announce: &workload.Announce{
			Life: workload.LifeID(name), Machine: platform.WorkerID(name), Service: "service", Labels: []string{name},
			Room: workload.Resources{Cores: 64000, Memory: 1000, Accelerators: 8},
		}})
	}
	return f
}

// start submits a job of one task with the need and decides. A label selects the worker; empty allows any.
func (f *fixture) start(id, label string, need workload.Resources) {
	f.t.Helper()
	f.submit(id, 1, workload.StepSpec{Tasks: 1, Need: need, Label: label, Estimate: 2 * time.Second})
	f.decide()
}

// arrive submits a job of 40 tasks with the need and cancels it, so that only the history has it.
func (f *fixture) arrive(need workload.Resources) {
	f.t.Helper()
	f.submit("arrived", 1, workload.StepSpec{Tasks: 40, Need: need, Estimate: 2 * time.Second})
	f.decide()
	f.mustApply(workload.Record{Cancel: &workload.Cancel{Job: "arrived"}})
	f.decide()
	f.endStopping()
}

// workerOf returns the worker of the job's first task, empty if it has none.
func (f *fixture) workerOf(id string) workload.LifeID {
	return f.state.Job(workload.JobID(id)).Occurrences[0].Steps[0].Tasks[0].Worker
}

var (
	halfMemory = workload.Resources{Cores: 1000, Memory: 500, Accelerators: 1}
	light      = workload.Resources{Cores: 1000, Memory: 10, Accelerators: 1}
)

// newHalfMemoryLoad returns a fixture in which a task of half a worker's memory fits on worker "open"
// only. Worker "closed" has one more accelerator free and less memory.
func newHalfMemoryLoad(t testing.TB) *fixture {
	f := newLabelledFixture(t, "open", "closed")
	f.arrive(halfMemory)
	f.start("half0", "open", workload.Resources{Cores: 1000, Memory: 500, Accelerators: 3})
	f.start("half1", "closed", halfMemory)
	f.start("rest", "closed", workload.Resources{Cores: 1000, Memory: 20, Accelerators: 1})
	return f
}

// Tasks that take half of a worker's memory arrive beside tasks that need little but an accelerator.
// One of the latter must not take the memory of the last worker where one of the former fits.
func TestLightTaskLeavesHalfOfMemory(t *testing.T) {
	f := newHalfMemoryLoad(t)
	f.start("light", "", light)
	if w := f.workerOf("light"); w != "closed" {
		t.Errorf("the light task is on worker %q, want the one where no task of half the memory fits", w)
	}
	f.start("half2", "", halfMemory)
	if f.running("half2") != 1 {
		t.Error("the task of half the memory waits, want it to start")
	}
}

// Without arrivals within the last seconds, as after a change of the leader, the fullest worker is
// selected.
func TestPlacementWithoutArrivalsIsBestFit(t *testing.T) {
	f := newHalfMemoryLoad(t)
	f.now += 9 * time.Second
	f.start("light", "", light)
	if w := f.workerOf("light"); w != "open" {
		t.Errorf("the light task is on worker %q, want the worker with the least unused", w)
	}
}

// Urgent gangs of whole workers arrive beside small tasks. A small task must not take an accelerator of
// a worker whose accelerators are all free, although slightly less of that worker is unused: the
// next gang would have to stop it.
func TestSmallTaskLeavesWholeWorkersToGangs(t *testing.T) {
	f := newLabelledFixture(t, "empty", "no accelerators used", "one accelerator used")
	gang := step(2, 8, 2*time.Second)
	gang.Gang = true
	f.submit("gang0", 0, gang)
	f.decide()
	f.endWhere(func(workload.TaskRef, *workload.Task) (workload.RunOutcome, bool) { return workload.RunDone, true })
	f.start("cores", "no accelerators used", workload.Resources{Cores: 8000, Memory: 60})
	f.start("small0", "one accelerator used", light)
	f.start("small1", "", light)
	if w := f.workerOf("small1"); w != "one accelerator used" {
		t.Errorf("the small task is on worker %q, want the one where no member of a gang fits", w)
	}
	f.submit("gang1", 0, gang)
	if d := f.decide(); len(d.Stops) > 0 || f.running("gang1") != 2 {
		t.Errorf("got %d stops and %d running members of the gang, want 0 and 2", len(d.Stops), f.running("gang1"))
	}
}

// If all arriving tasks demand the same share of each resource, none is scarce, and tasks go to
// the fullest worker. The sizes are such that this takes the last place of a task of two accelerators,
// so that a cost without scarcities would select the other worker.
func TestEqualDemandKeepsBestFit(t *testing.T) {
	f := newLabelledFixture(t, "three free", "two free")
	eighths := func(n int) workload.Resources {
		return workload.Resources{Cores: 8000 * platform.Millicores(n), Memory: 125 * platform.Megabytes(n), Accelerators: n}
	}
	f.arrive(eighths(2))
	f.start("five", "three free", eighths(5))
	f.start("four", "two free", eighths(4))
	f.start("two", "two free", eighths(2))
	f.start("one", "", eighths(1))
	if w := f.workerOf("one"); w != "two free" {
		t.Errorf("the task is on worker %q, want the fullest", w)
	}
}

// fitting returns how many tasks with the need fit into the free capacity, by adding one at a time.
func fitting(free, need workload.Resources) float64 {
	n := 0.0
	for ; need.FitsIn(free); n++ {
		free = free.Minus(need)
	}
	return n
}

// naiveStrandedCost computes the cost of a task with the need on a worker directly from the definition in
// docs/design/stranding.md, for workers of equal room. free is the free capacity of all workers.
func naiveStrandedCost(arrivals []workload.StepSpec, room workload.Resources, free []workload.Resources, on int, need workload.Resources) float64 {
	amounts := []func(workload.Resources) float64{
		func(r workload.Resources) float64 { return float64(r.Cores) },
		func(r workload.Resources) float64 { return float64(r.Memory) },
		func(r workload.Resources) float64 { return float64(r.Accelerators) },
	}
	pressures, lowest := make([]float64, len(amounts)), math.Inf(1)
	runTime := 0.0
	for _, s := range arrivals {
		runTime += float64(s.Tasks) * s.Estimate.Seconds()
	}
	for i, amount := range amounts {
		demand, unused := 0.0, 0.0
		for _, s := range arrivals {
			demand += amount(s.Need) * float64(s.Tasks) * s.Estimate.Seconds() / 8
		}
		for _, r := range free {
			unused += amount(r)
		}
		pressures[i] = demand / (demand + unused)
		lowest = min(lowest, pressures[i])
	}
	cost := 0.0
	for _, s := range arrivals {
		lost := fitting(free[on], s.Need) - fitting(free[on].Minus(need), s.Need)
		for i, amount := range amounts {
			cost += lost * float64(s.Tasks) * s.Estimate.Seconds() / runTime * (pressures[i] - lowest) * amount(s.Need) / amount(room)
		}
	}
	return cost
}

// drawNeed draws the need of a task that fits on an empty worker of newFixture.
func drawNeed(t *rapid.T) workload.Resources {
	return workload.Resources{
		Cores:        1000 * platform.Millicores(rapid.IntRange(1, 40).Draw(t, "cores")),
		Memory:       platform.Megabytes(rapid.IntRange(1, 600).Draw(t, "memory")),
		Accelerators: rapid.IntRange(0, 8).Draw(t, "accelerators"),
	}
}

// The cost that decisions use must be the one that the design note defines, on partly used workers.
func TestStrandedCostEqualsNaiveCost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(t, rapid.IntRange(1, 5).Draw(rt, "workers"), 8)
		var arrivals []workload.StepSpec
		for i := range rapid.IntRange(1, 9).Draw(rt, "jobs") {
			s := workload.StepSpec{
				Tasks: rapid.IntRange(1, 6).Draw(rt, "tasks"), Need: drawNeed(rt),
				Estimate: time.Duration(rapid.IntRange(1, 90).Draw(rt, "tenths")) * 100 * time.Millisecond,
			}
			id := fmt.Sprint("job", i)
			f.submit(id, i%3, s)
			f.decide()
			s.Estimate = f.history.ExpectedDuration(f.state.Job(workload.JobID(id)), 0).Truncate(time.Microsecond)
			arrivals = append(arrivals, s)
		}
		var lives []workload.LifeID
		var free []workload.Resources
		for life, w := range f.state.Workers() {
			lives, free = append(lives, life), append(free, w.Free())
		}
		need := drawNeed(rt)
		costs := allocation.StrandedCosts(allocation.Input{State: f.state, History: &f.history, Now: f.now}, need)
		for i, life := range lives {
			if !need.FitsIn(free[i]) {
				continue
			}
			want := naiveStrandedCost(arrivals, workload.Resources{Cores: 64000, Memory: 1000, Accelerators: 8}, free, i, need)
			if math.Abs(costs[life]-want) > 1e-8 {
				rt.Errorf("%s: got cost %v, want %v", life, costs[life], want)
			}
		}
	})
}
