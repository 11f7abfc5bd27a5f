package entry_test

import (
	"fmt"
	"testing"
	"time"

	"corianderpass/internal/process/standin"
	"corianderpass/pkg/client"
	"corianderpass/pkg/platform"
)

// A worker of a running gang stops answering. All tasks must stop before the worker's lease
// expires, and the gang must restart on other workers.
func TestGangWithUnreachableWorkerStopsAndRestartsElsewhere(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		w.submit(w.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 4, Accelerators: 8, Command: "work 100s"})
		w.waitUntil("start", startTimeout, w.hasRunning("timber", "cut", 4))
		unreachable := platform.WorkerID(w.job(w.any(), "timber", "cut").Tasks[0].Worker)
		w.workers.SetFaults(unreachable, standin.WorkerFaults{Away: true})
		w.waitUntil("restart", 2*time.Minute, func() bool {
			s := w.job(w.any(), "timber", "cut")
			tasks, epochs := w.tasksOf("timber", "cut")
			return s.Epoch == 2 && tasks == 4 && epochs[2] == 4
		})
		for _, task := range w.job(w.any(), "timber", "cut").Tasks {
			if task.Worker == string(unreachable) {
				w.t.Errorf("the gang was placed on the unreachable worker again, want other workers")
			}
		}
		w.waitUntil("end", 3*time.Minute, w.hasEnded("timber", "cut"))
	})
}

// Leases of long-running gangs must be renewed rarely, to save calls, and yet the end of a gang
// must be noticed within a sixtieth of its age.
func TestLongRunningGangsAreRenewedRarelyAndEndInTime(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		w.submit(w.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 8, Accelerators: 8, Command: "work 1h"})
		w.waitUntil("start", startTimeout, w.hasRunning("timber", "cut", 8))
		time.Sleep(50 * time.Minute)
		before := w.workers.Renewals()
		time.Sleep(4 * time.Minute)
		if calls := w.workers.Renewals() - before; calls > 8*4*60/35 {
			w.t.Errorf("%d renewals for 8 workers in 4 minutes, want at most one per worker in 35 s", calls)
		}
		w.waitUntil("end", 7*time.Minute, w.hasEnded("timber", "cut"))
		if s := w.job(w.any(), "timber", "cut"); s.Outcome != "Succeeded" || s.Ended.Sub(s.Started) > time.Hour+time.Minute {
			w.t.Errorf("ended after %s, want at most 1h1m and Succeeded: %+v", s.Ended.Sub(s.Started), s)
		}
	})
}

// A worker of a gang becomes unreachable after an hour. When the gang restarts, it must resume
// from the last checkpoint and not lose the work before it.
func TestLostWorkerCostsAtMostOneCheckpointInterval(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		w.submit(w.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 4, Accelerators: 8, Command: "work 2h"})
		w.waitUntil("start", startTimeout, w.hasRunning("timber", "cut", 4))
		time.Sleep(time.Hour)
		w.workers.SetFaults(platform.WorkerID(w.job(w.any(), "timber", "cut").Tasks[0].Worker), standin.WorkerFaults{Away: true})
		w.waitUntil("restart", 4*time.Minute, func() bool { return w.job(w.any(), "timber", "cut").Epoch == 2 })
		if progress := w.job(w.any(), "timber", "cut").Progress; progress < 50*time.Minute {
			w.t.Errorf("got progress %s after an hour of work, want at least 50m", progress)
		}
	})
}

// A worker renews its lease but the answer is lost, so that the driver does not see the new
// expiry, and then the worker is unreachable. The gang must not restart while the task there
// may still be running.
func TestRestartWaitsForRenewedLeaseOfUnreachableWorker(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		w.submit(w.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 4, Accelerators: 8, Command: "work 300s"})
		w.waitUntil("start", startTimeout, w.hasRunning("timber", "cut", 4))
		unreachable := platform.WorkerID(w.job(w.any(), "timber", "cut").Tasks[0].Worker)
		time.Sleep(5 * time.Second)
		w.workers.SetFaults(unreachable, standin.WorkerFaults{LoseAnswers: true})
		time.Sleep(12 * time.Second)
		w.workers.SetFaults(unreachable, standin.WorkerFaults{Away: true})
		w.waitUntil("restart", 4*time.Minute, func() bool {
			_, epochs := w.tasksOf("timber", "cut")
			if len(epochs) > 1 {
				w.t.Fatalf("tasks of two epochs are running, want one epoch: %v", epochs)
			}
			return epochs[2] == 4
		})
	})
}

// One worker fails every task. It must be quarantined before jobs use up their attempts on it.
func TestWorkerThatFailsEveryTaskIsQuarantined(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		w.workers.SetFaults("Mazowsze-w004", standin.WorkerFaults{FailTasks: true})
		for i := range 30 {
			w.submit(w.entries["e1"], "timber", client.Job{ID: fmt.Sprint("small-", i), Tasks: 1, Accelerators: 8, Command: "work 20s"})
		}
		w.waitUntil("end of all jobs", 10*time.Minute, func() bool {
			jobs, _ := w.any().Jobs(w.t.Context(), w.organisation(w.any(), "timber"))
			for _, j := range jobs {
				if !j.IsEnded() {
					return false
				}
			}
			return true
		})
		jobs, _ := w.any().Jobs(w.t.Context(), w.organisation(w.any(), "timber"))
		for _, j := range jobs {
			if j.Outcome != "Succeeded" {
				w.t.Errorf("job %s: got outcome %s, error %q, want Succeeded", j.ID, j.Outcome, j.Error)
			}
		}
		if s := w.any().Status(w.t.Context()); s.Away != 1 {
			w.t.Errorf("%d workers are away, want 1", s.Away)
		}
	})
}

// A job fails on every worker. It must end as dead-lettered instead of being retried forever,
// and the workers must not be quarantined for it.
func TestJobThatFailsEverywhereIsDeadLettered(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		for i := range 5 {
			w.submit(w.entries["e1"], "timber", client.Job{ID: fmt.Sprint("poison-", i), Tasks: 2, Accelerators: 2, Command: "fail 2s"})
		}
		for i := range 5 {
			id := fmt.Sprint("poison-", i)
			w.waitUntil(id, 2*time.Minute, w.hasEnded("timber", id))
			if s := w.job(w.any(), "timber", id); s.Outcome != "DeadLettered" {
				w.t.Errorf("got job %+v, want outcome DeadLettered", s)
			}
		}
		if s := w.any().Status(w.t.Context()); s.Away != 0 {
			w.t.Errorf("%d workers were quarantined because of failing jobs, want none", s.Away)
		}
	})
}

// A worker of a gang does not answer when the leases are acquired. No task may start on the
// other workers before all leases are held.
func TestNoTaskStartsBeforeAllLeasesAreHeld(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		w.workers.SetFaults("Mazowsze-w004", standin.WorkerFaults{Away: true})
		partial := w.watchPartialRuns(map[string]int{"timber/cut": 10})
		w.submit(w.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 10, Accelerators: 8, Command: "work 10s"})
		time.Sleep(30 * time.Second)
		if tasks, _ := w.tasksOf("timber", "cut"); tasks != 0 {
			w.t.Errorf("%d tasks are running, want none", tasks)
		}
		w.workers.SetFaults("Mazowsze-w004", standin.WorkerFaults{})
		w.waitUntil("end", 2*time.Minute, w.hasEnded("timber", "cut"))
		if duration, gang := partial.longest(); duration > 0 {
			w.t.Errorf("gang %s was running partially for %s, want never", gang, duration)
		}
	})
}

// Tasks use more than they claimed. Those with too many cores must be throttled, and a job with
// too much memory must end with an error. Workers must not be quarantined for either.
func TestTasksOverTheirClaimsAreThrottledOrStopped(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		w.submit(w.entries["e1"], "timber", client.Job{ID: "greedy", Tasks: 2, Accelerators: 2, Cores: 8, Memory: 1000, Command: "use 16 900 300s"})
		w.submit(w.entries["e1"], "timber", client.Job{ID: "huge", Tasks: 2, Accelerators: 2, Cores: 8, Memory: 1000, Command: "use 8 5000 600s"})
		w.waitUntil("end of the job with too much memory", 3*time.Minute, w.hasEnded("timber", "huge"))
		if s := w.job(w.any(), "timber", "huge"); s.Outcome != "Failed" || s.Error == "" {
			w.t.Errorf("got job %+v, want outcome Failed and an error text", s)
		}
		start := time.Now()
		w.waitUntil("end of the job with too many cores", 10*time.Minute, w.hasEnded("timber", "greedy"))
		if s := w.job(w.any(), "timber", "greedy"); s.Outcome != "Succeeded" || s.Ended.Sub(s.Started) < 450*time.Second {
			w.t.Errorf("ended %s after its start (%s waited), want at least 450 s and Succeeded: %+v", s.Ended.Sub(s.Started), time.Since(start), s)
		}
		if s := w.any().Status(w.t.Context()); s.Away != 0 {
			w.t.Errorf("%d workers were quarantined, want none", s.Away)
		}
	})
}
