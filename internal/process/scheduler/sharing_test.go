package scheduler_test

import (
	"strings"
	"testing"
	"time"

	"corianderpass/internal/process/intake"
	"corianderpass/internal/process/workload"
)

// The load: fillers beside a task that serves its own users, on the only worker. They
// are held back so far that it keeps its target, and no further.
func TestFillersAreHeldBackBesideATaskThatServes(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		a := w.addWorker(room())
		const target = 100 * time.Millisecond
		tail := func(fillers int) time.Duration {
			return 60*time.Millisecond + time.Duration(fillers)*300*time.Microsecond
		}
		a.minion.Tail = func(ref workload.TaskRef, fillers int) time.Duration {
			if ref.Job == "serve" {
				return tail(fillers)
			}
			return 0
		}
		a.minion.Fills = func(ref workload.TaskRef) bool { return strings.HasPrefix(string(ref.Job), "fill") }
		time.Sleep(4 * time.Second)
		w.takesAlways(time.Hour)
		serve := spec("serve", 1, small())
		serve.Steps[0].LongRunning, serve.Steps[0].TailTarget = true, target
		w.submit(serve)
		time.Sleep(time.Second)
		fill := spec("fill", 3, workload.Resources{Cores: 2000, Memory: 10})
		fill.Steps[0].Filler = true
		w.submit(fill)
		over, sum := time.Duration(0), 0
		const look = 100 * time.Millisecond
		for range 600 {
			time.Sleep(look)
			fillers := a.minion.Fillers()
			sum += fillers
			if tail(fillers) <= target {
				over = 0
				continue
			}
			if over += look; over > 4*time.Second {
				t.Fatalf("over its target for %v with fillers at %d percent", over, fillers)
			}
		}
		// 133 percent of the three would just do.
		if mean := sum / 600; mean < 60 || mean > 140 {
			t.Errorf("three fillers work at %d percent in the mean", mean)
		}
		// Without the task that serves they work whole.
		if err := w.entries[0].intake.Cancel(t.Context(), grant(), "serve"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if fillers := a.minion.Fillers(); fillers != 300 {
			t.Errorf("three fillers beside nobody work at %d percent", fillers)
		}
	})
}

// grant is the right of the test's organisation to its queue.
func grant() intake.Grant {
	return intake.Grant{Queue: testBundle().Queues[0], Organisation: testOrganised}
}
