package scheduler_test

import (
	"strings"
	"testing"
	"time"

	"corianderpass/internal/process/intake"
	"corianderpass/internal/process/workload"
)

// Fillers share the only worker with a long-running task that has a target for its tail
// latency. They must be throttled so far that the task keeps its target, but no further.
func TestFillersAreThrottledBesideLatencySensitiveTask(t *testing.T) {
	withInstallation(t, func(t *testing.T, in *installation) {
		agent := in.addWorker(workerCapacity())
		const target = 100 * time.Millisecond
		tailLatency := func(fillers int) time.Duration {
			return 60*time.Millisecond + time.Duration(fillers)*300*time.Microsecond
		}
		agent.minion.TailLatency = func(ref workload.TaskRef, fillers int) time.Duration {
			if ref.Job == "serve" {
				return tailLatency(fillers)
			}
			return 0
		}
		agent.minion.IsFiller = func(ref workload.TaskRef) bool { return strings.HasPrefix(string(ref.Job), "fill") }
		time.Sleep(4 * time.Second)
		in.setDuration(time.Hour)
		serve := spec("serve", 1, smallTask())
		serve.Steps[0].LongRunning, serve.Steps[0].TailTarget = true, target
		in.submit(serve)
		time.Sleep(time.Second)
		fill := spec("fill", 3, workload.Resources{Cores: 2000, Memory: 10})
		fill.Steps[0].Filler = true
		in.submit(fill)
		overFor, percentSum := time.Duration(0), 0
		const pollInterval = 100 * time.Millisecond
		for range 600 {
			time.Sleep(pollInterval)
			fillers := agent.minion.FillerPercent()
			percentSum += fillers
			if tailLatency(fillers) <= target {
				overFor = 0
				continue
			}
			if overFor += pollInterval; overFor > 4*time.Second {
				t.Fatalf("latency-sensitive task missed its target for %v with fillers at %d percent in total, want at most 4s", overFor, fillers)
			}
		}
		// At 133 percent in total the tail latency is just on target.
		if mean := percentSum / 600; mean < 60 || mean > 140 {
			t.Errorf("three fillers used %d percent in total on average, want 60 to 140", mean)
		}
		// Without the latency-sensitive task they must not be throttled.
		if err := in.entries[0].intake.Cancel(t.Context(), grant(), "serve"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if fillers := agent.minion.FillerPercent(); fillers != 300 {
			t.Errorf("three fillers alone used %d percent in total, want 300", fillers)
		}
	})
}

// grant returns the grant of the test organisation for the test queue.
func grant() intake.Grant {
	return intake.Grant{Queue: testBundle().Queues[0], Organisation: testOrganisation}
}
