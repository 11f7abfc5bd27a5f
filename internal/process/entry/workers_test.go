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
	inVirtualTime(t, func(in *installation) {
		in.start()
		in.submit(in.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 4, Accelerators: 8, Command: "work 100s"})
		in.waitUntil("start", startTimeout, in.hasRunning("timber", "cut", 4))
		unreachable := platform.WorkerID(in.job(in.any(), "timber", "cut").Tasks[0].Worker)
		in.workers.SetFaults(unreachable, standin.WorkerFaults{Away: true})
		in.waitUntil("restart", 2*time.Minute, func() bool {
			s := in.job(in.any(), "timber", "cut")
			tasks, epochs := in.tasksOf("timber", "cut")
			return s.Epoch == 2 && tasks == 4 && epochs[2] == 4
		})
		for _, task := range in.job(in.any(), "timber", "cut").Tasks {
			if task.Worker == string(unreachable) {
				in.t.Errorf("the gang was placed on the unreachable worker again, want other workers")
			}
		}
		in.waitUntil("end", 3*time.Minute, in.hasEnded("timber", "cut"))
	})
}

// Leases of long-running gangs must be renewed rarely, to save calls, and yet the end of a gang
// must be noticed within a sixtieth of its age.
func TestLongRunningGangsAreRenewedRarelyAndEndInTime(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		in.submit(in.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 8, Accelerators: 8, Command: "work 1h"})
		in.waitUntil("start", startTimeout, in.hasRunning("timber", "cut", 8))
		time.Sleep(50 * time.Minute)
		before := in.workers.Renewals()
		time.Sleep(4 * time.Minute)
		if calls := in.workers.Renewals() - before; calls > 8*4*60/35 {
			in.t.Errorf("%d renewals for 8 workers in 4 minutes, want at most one per worker in 35 s", calls)
		}
		in.waitUntil("end", 7*time.Minute, in.hasEnded("timber", "cut"))
		if s := in.job(in.any(), "timber", "cut"); s.Outcome != "Succeeded" || s.Ended.Sub(s.Started) > time.Hour+time.Minute {
			in.t.Errorf("ended after %s, want at most 1h1m and Succeeded: %+v", s.Ended.Sub(s.Started), s)
		}
	})
}

// A worker of a gang becomes unreachable after an hour. When the gang restarts, it must resume
// from the last checkpoint and not lose the work before it.
func TestLostWorkerCostsAtMostOneCheckpointInterval(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		in.submit(in.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 4, Accelerators: 8, Command: "work 2h"})
		in.waitUntil("start", startTimeout, in.hasRunning("timber", "cut", 4))
		time.Sleep(time.Hour)
		in.workers.SetFaults(platform.WorkerID(in.job(in.any(), "timber", "cut").Tasks[0].Worker), standin.WorkerFaults{Away: true})
		in.waitUntil("restart", 4*time.Minute, func() bool { return in.job(in.any(), "timber", "cut").Epoch == 2 })
		if progress := in.job(in.any(), "timber", "cut").Progress; progress < 50*time.Minute {
			in.t.Errorf("got progress %s after an hour of work, want at least 50m", progress)
		}
	})
}

// A worker renews its lease but the answer is lost, so that the driver does not see the new
// expiry, and then the worker is unreachable. The gang must not restart while the task there
// may still be running.
func TestRestartWaitsForRenewedLeaseOfUnreachableWorker(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		in.submit(in.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 4, Accelerators: 8, Command: "work 300s"})
		in.waitUntil("start", startTimeout, in.hasRunning("timber", "cut", 4))
		unreachable := platform.WorkerID(in.job(in.any(), "timber", "cut").Tasks[0].Worker)
		time.Sleep(5 * time.Second)
		in.workers.SetFaults(unreachable, standin.WorkerFaults{LoseAnswers: true})
		time.Sleep(12 * time.Second)
		in.workers.SetFaults(unreachable, standin.WorkerFaults{Away: true})
		in.waitUntil("restart", 4*time.Minute, func() bool {
			_, epochs := in.tasksOf("timber", "cut")
			if len(epochs) > 1 {
				in.t.Fatalf("tasks of two epochs are running, want one epoch: %v", epochs)
			}
			return epochs[2] == 4
		})
	})
}

// One worker fails every task. It must be quarantined before jobs use up their attempts on it.
func TestWorkerThatFailsEveryTaskIsQuarantined(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		in.workers.SetFaults("Mazowsze-w004", standin.WorkerFaults{FailTasks: true})
		for i := range 30 {
			in.submit(in.entries["e1"], "timber", client.Job{ID: fmt.Sprint("small-", i), Tasks: 1, Accelerators: 8, Command: "work 20s"})
		}
		in.waitUntil("end of all jobs", 10*time.Minute, func() bool {
			jobs, _ := in.any().Jobs(in.t.Context(), in.organisation(in.any(), "timber"))
			for _, j := range jobs {
				if !j.IsEnded() {
					return false
				}
			}
			return true
		})
		jobs, _ := in.any().Jobs(in.t.Context(), in.organisation(in.any(), "timber"))
		for _, j := range jobs {
			if j.Outcome != "Succeeded" {
				in.t.Errorf("job %s: got outcome %s, error %q, want Succeeded", j.ID, j.Outcome, j.Error)
			}
		}
		if s := in.any().Status(in.t.Context()); s.Away != 1 {
			in.t.Errorf("%d workers are away, want 1", s.Away)
		}
	})
}

// A job fails on every worker. It must end as dead-lettered instead of being retried forever,
// and the workers must not be quarantined for it.
func TestJobThatFailsEverywhereIsDeadLettered(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		for i := range 5 {
			in.submit(in.entries["e1"], "timber", client.Job{ID: fmt.Sprint("poison-", i), Tasks: 2, Accelerators: 2, Command: "fail 2s"})
		}
		for i := range 5 {
			id := fmt.Sprint("poison-", i)
			in.waitUntil(id, 2*time.Minute, in.hasEnded("timber", id))
			if s := in.job(in.any(), "timber", id); s.Outcome != "DeadLettered" {
				in.t.Errorf("got job %+v, want outcome DeadLettered", s)
			}
		}
		if s := in.any().Status(in.t.Context()); s.Away != 0 {
			in.t.Errorf("%d workers were quarantined because of failing jobs, want none", s.Away)
		}
	})
}

// A worker of a gang does not answer when the leases are acquired. No task may start on the
// other workers before all leases are held.
func TestNoTaskStartsBeforeAllLeasesAreHeld(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		in.workers.SetFaults("Mazowsze-w004", standin.WorkerFaults{Away: true})
		partial := in.watchPartialRuns(map[string]int{"timber/cut": 10})
		in.submit(in.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 10, Accelerators: 8, Command: "work 10s"})
		time.Sleep(30 * time.Second)
		if tasks, _ := in.tasksOf("timber", "cut"); tasks != 0 {
			in.t.Errorf("%d tasks are running, want none", tasks)
		}
		in.workers.SetFaults("Mazowsze-w004", standin.WorkerFaults{})
		in.waitUntil("end", 2*time.Minute, in.hasEnded("timber", "cut"))
		if duration, gang := partial.longest(); duration > 0 {
			in.t.Errorf("gang %s was running partially for %s, want never", gang, duration)
		}
	})
}

// Tasks use more than they claimed. Those with too many cores must be throttled, and a job with
// too much memory must end with an error. Workers must not be quarantined for either.
func TestTasksOverTheirClaimsAreThrottledOrStopped(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		in.submit(in.entries["e1"], "timber", client.Job{ID: "greedy", Tasks: 2, Accelerators: 2, Cores: 8, Memory: 1000, Command: "use 16 900 300s"})
		in.submit(in.entries["e1"], "timber", client.Job{ID: "huge", Tasks: 2, Accelerators: 2, Cores: 8, Memory: 1000, Command: "use 8 5000 600s"})
		in.waitUntil("end of the job with too much memory", 3*time.Minute, in.hasEnded("timber", "huge"))
		if s := in.job(in.any(), "timber", "huge"); s.Outcome != "Failed" || s.Error == "" {
			in.t.Errorf("got job %+v, want outcome Failed and an error text", s)
		}
		start := time.Now()
		in.waitUntil("end of the job with too many cores", 10*time.Minute, in.hasEnded("timber", "greedy"))
		if s := in.job(in.any(), "timber", "greedy"); s.Outcome != "Succeeded" || s.Ended.Sub(s.Started) < 450*time.Second {
			in.t.Errorf("ended %s after its start (%s waited), want at least 450 s and Succeeded: %+v", s.Ended.Sub(s.Started), time.Since(start), s)
		}
		if s := in.any().Status(in.t.Context()); s.Away != 0 {
			in.t.Errorf("%d workers were quarantined, want none", s.Away)
		}
	})
}

// A task crashes each worker that starts it. Its job must be dead-lettered, as one that fails on each worker
// is, and the other jobs must end.
func TestJobThatCrashesItsWorkersIsDeadLettered(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		in.submit(in.entries["e1"], "timber", client.Job{ID: "crashing", Tasks: 2, Accelerators: 8, Command: "crash 3s"})
		in.submit(in.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 4, Accelerators: 8, Command: "work 60s"})
		in.waitUntil("end of the job that crashes its workers", 10*time.Minute, in.hasEnded("timber", "crashing"))
		if s := in.job(in.any(), "timber", "crashing"); s.Outcome != "DeadLettered" || s.Error == "" {
			in.t.Errorf("got job %+v, want outcome DeadLettered and an error text", s)
		}
		if crashes := in.workers.Crashes(); crashes > 2*5 {
			in.t.Errorf("got %d crashes of workers, want at most 10: five runs of two tasks", crashes)
		}
		in.waitUntil("end of the other job", 5*time.Minute, in.hasEnded("timber", "cut"))
	})
}

// Workers restart under a gang again and again, each time after some minutes of work. The job must go on:
// it does not crash them.
func TestJobOutlivesRestartsOfItsWorkers(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		in.submit(in.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 2, Accelerators: 8, Command: "work 30m"})
		for restart := range 5 {
			in.waitUntil("start", 5*time.Minute, in.hasRunning("timber", "cut", 2))
			time.Sleep(4 * time.Minute)
			in.workers.Crash(platform.WorkerID(in.job(in.any(), "timber", "cut").Tasks[restart%2].Worker))
		}
		in.waitUntil("end", 40*time.Minute, in.hasEnded("timber", "cut"))
		if s := in.job(in.any(), "timber", "cut"); s.Outcome != "Succeeded" {
			in.t.Errorf("got outcome %s, error %q, want Succeeded", s.Outcome, s.Error)
		}
	})
}
