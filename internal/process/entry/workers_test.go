package entry_test

import (
	"fmt"
	"testing"
	"time"

	"corianderpass/internal/process/standin"
	"corianderpass/pkg/client"
	"corianderpass/pkg/platform"
)

// The failure: a worker stops answering under a running gang. The gang stops
// whole before the worker's lease lapses, and starts anew elsewhere.
func TestAGangWithASilentWorkerStopsWholeAndStartsElsewhere(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		w.submit(w.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 4, Accelerators: 8, Command: "work 100s"})
		w.waitUntil("start", startTimeout, w.hasRunning("timber", "cut", 4))
		unreachable := platform.WorkerID(w.job(w.any(), "timber", "cut").Tasks[0].Worker)
		w.workers.SetFaults(unreachable, standin.WorkerFaults{Away: true})
		w.waitUntil("new start", 2*time.Minute, func() bool {
			s := w.job(w.any(), "timber", "cut")
			n, epochs := w.tasksOf("timber", "cut")
			return s.Epoch == 2 && n == 4 && epochs[2] == 4
		})
		for _, p := range w.job(w.any(), "timber", "cut").Tasks {
			if p.Worker == string(unreachable) {
				w.t.Errorf("placed on the silent worker again")
			}
		}
		w.waitUntil("end", 3*time.Minute, w.hasEnded("timber", "cut"))
	})
}

// Old gangs are renewed rarely, and yet their end is noticed within a sixtieth of
// their age.
func TestOldGangsAreRenewedRarelyAndEndInTime(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		w.submit(w.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 8, Accelerators: 8, Command: "work 1h"})
		w.waitUntil("start", startTimeout, w.hasRunning("timber", "cut", 8))
		time.Sleep(50 * time.Minute)
		before := w.workers.Renewals()
		time.Sleep(4 * time.Minute)
		if calls := w.workers.Renewals() - before; calls > 8*4*60/35 {
			w.t.Errorf("%d renewals of 8 workers in 4 minutes", calls)
		}
		w.waitUntil("end", 7*time.Minute, w.hasEnded("timber", "cut"))
		if s := w.job(w.any(), "timber", "cut"); s.Outcome != "Succeeded" || s.Ended.Sub(s.Started) > time.Hour+time.Minute {
			w.t.Errorf("ended after %s: %+v", s.Ended.Sub(s.Started), s)
		}
	})
}

// The failure: a worker is silent after an hour's work. What the last checkpoint
// kept is not done again.
func TestALostWorkerCostsAtMostOneCheckpoint(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		w.submit(w.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 4, Accelerators: 8, Command: "work 2h"})
		w.waitUntil("start", startTimeout, w.hasRunning("timber", "cut", 4))
		time.Sleep(time.Hour)
		w.workers.SetFaults(platform.WorkerID(w.job(w.any(), "timber", "cut").Tasks[0].Worker), standin.WorkerFaults{Away: true})
		w.waitUntil("new start", 4*time.Minute, func() bool { return w.job(w.any(), "timber", "cut").Epoch == 2 })
		if progress := w.job(w.any(), "timber", "cut").Progress; progress < 50*time.Minute {
			w.t.Errorf("kept %s of an hour", progress)
		}
	})
}

// The failure: a worker's answers are lost for a while, so that it prolongs its
// lease without the driver's knowledge, and then it is silent. The gang must not
// start anew while that part still runs.
func TestAProlongedLeaseOfASilentWorkerIsWaitedFor(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		w.submit(w.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 4, Accelerators: 8, Command: "work 300s"})
		w.waitUntil("start", startTimeout, w.hasRunning("timber", "cut", 4))
		unreachable := platform.WorkerID(w.job(w.any(), "timber", "cut").Tasks[0].Worker)
		time.Sleep(5 * time.Second)
		w.workers.SetFaults(unreachable, standin.WorkerFaults{LoseAnswers: true})
		time.Sleep(12 * time.Second)
		w.workers.SetFaults(unreachable, standin.WorkerFaults{Away: true})
		w.waitUntil("new start", 4*time.Minute, func() bool {
			_, epochs := w.tasksOf("timber", "cut")
			if len(epochs) > 1 {
				w.t.Fatalf("tasks of two epochs run: %v", epochs)
			}
			return epochs[2] == 4
		})
	})
}

// The failure: one worker fails every task. Other jobs must not be lost to it.
func TestAWorkerThatFailsEverythingIsQuarantined(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		w.workers.SetFaults("Mazowsze-w004", standin.WorkerFaults{FailTasks: true})
		for i := range 30 {
			w.submit(w.entries["e1"], "timber", client.Job{ID: fmt.Sprint("small-", i), Tasks: 1, Accelerators: 8, Command: "work 20s"})
		}
		w.waitUntil("all end", 10*time.Minute, func() bool {
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
				w.t.Errorf("%s: %s %s", j.ID, j.Outcome, j.Error)
			}
		}
		if s := w.any().Status(w.t.Context()); s.Away != 1 {
			w.t.Errorf("%d workers are away, want the one", s.Away)
		}
	})
}

// The failure: a job that fails wherever it runs. It must end, and must not take
// the workers with it.
func TestAJobThatFailsEverywhereIsDeadLettered(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		for i := range 5 {
			w.submit(w.entries["e1"], "timber", client.Job{ID: fmt.Sprint("poison-", i), Tasks: 2, Accelerators: 2, Command: "fail 2s"})
		}
		for i := range 5 {
			id := fmt.Sprint("poison-", i)
			w.waitUntil(id, 2*time.Minute, w.hasEnded("timber", id))
			if s := w.job(w.any(), "timber", id); s.Outcome != "DeadLettered" {
				w.t.Errorf("%+v", s)
			}
		}
		if s := w.any().Status(w.t.Context()); s.Away != 0 {
			w.t.Errorf("%d workers were taken out for the jobs' faults", s.Away)
		}
	})
}

// The failure: one of the workers of a gang does not answer when the leases are
// taken. Nothing starts on the others before all are held.
func TestNothingStartsBeforeEveryLeaseIsHeld(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		w.workers.SetFaults("Mazowsze-w004", standin.WorkerFaults{Away: true})
		whole := w.watchPartialRuns(map[string]int{"timber/cut": 10})
		w.submit(w.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 10, Accelerators: 8, Command: "work 10s"})
		time.Sleep(30 * time.Second)
		if n, _ := w.tasksOf("timber", "cut"); n != 0 {
			w.t.Errorf("%d tasks run", n)
		}
		w.workers.SetFaults("Mazowsze-w004", standin.WorkerFaults{})
		w.waitUntil("end", 2*time.Minute, w.hasEnded("timber", "cut"))
		if part, which := whole.longest(); part > 0 {
			w.t.Errorf("%s ran in part for %s", which, part)
		}
	})
}

// The failure: declared sizes are far from the truth. What uses more cores is
// throttled, what outgrows its memory ends with the reason, and neither costs a
// worker its trust.
func TestWhatOutgrowsItsClaimIsThrottledOrStopped(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		w.submit(w.entries["e1"], "timber", client.Job{ID: "greedy", Tasks: 2, Accelerators: 2, Cores: 8, Memory: 1000, Command: "use 16 900 300s"})
		w.submit(w.entries["e1"], "timber", client.Job{ID: "huge", Tasks: 2, Accelerators: 2, Cores: 8, Memory: 1000, Command: "use 8 5000 600s"})
		w.waitUntil("the huge one ends", 3*time.Minute, w.hasEnded("timber", "huge"))
		if s := w.job(w.any(), "timber", "huge"); s.Outcome != "Failed" || s.Error == "" {
			w.t.Errorf("%+v", s)
		}
		start := time.Now()
		w.waitUntil("the greedy one ends", 10*time.Minute, w.hasEnded("timber", "greedy"))
		if s := w.job(w.any(), "timber", "greedy"); s.Outcome != "Succeeded" || s.Ended.Sub(s.Started) < 450*time.Second {
			w.t.Errorf("ended %s after its start (%s): %+v", s.Ended.Sub(s.Started), time.Since(start), s)
		}
		if s := w.any().Status(w.t.Context()); s.Away != 0 {
			w.t.Errorf("%d workers were taken out", s.Away)
		}
	})
}
