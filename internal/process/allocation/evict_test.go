package allocation_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderpass/internal/process/workload"
)

// An urgent gang that preempts must start once its victims have ended, and no run may be stopped
// on a worker that the gang does not use: victims whose capacity fits no member of the gang would
// lose their work for nothing. The runs on the workers are random.
func TestEvictionsFreeOnlyWorkersOfUnit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(t, rapid.IntRange(2, 9).Draw(rt, "workers"), 8)
		for i := range rapid.IntRange(1, 4).Draw(rt, "batches") {
			s := step(rapid.IntRange(1, 20).Draw(rt, "tasks"), rapid.IntRange(1, 4).Draw(rt, "accelerators"), 30*time.Second)
			s.Checkpointing = rapid.Bool().Draw(rt, "checkpoints")
			f.submit(fmt.Sprint("batch", i), 2, s)
			f.decide()
			f.now += time.Duration(rapid.IntRange(100, 3000).Draw(rt, "age")) * time.Millisecond
		}
		urgent := step(rapid.IntRange(1, 4).Draw(rt, "members"), rapid.IntRange(1, 8).Draw(rt, "each"), time.Second)
		urgent.Gang = true
		f.submit("urgent", 0, urgent)
		d := f.decide()
		victims := map[workload.LifeID]int{}
		for _, s := range d.Stops {
			_, _, task, _ := f.state.Task(s.Task)
			victims[task.Worker]++
		}
		f.endStopping()
		f.decide()
		if len(d.Stops) > 0 && f.running("urgent") != urgent.Tasks {
			rt.Fatalf("after %d preemptions %d of %d members run, want all", len(d.Stops), f.running("urgent"), urgent.Tasks)
		}
		for life := range victims {
			if n := f.state.Worker(life).CountRuns("urgent", 0, 0); n == 0 {
				rt.Fatalf("%d runs were preempted on %s, which the urgent job does not use", victims[life], life)
			}
		}
	})
}
