package entry_test

import (
	"fmt"
	"testing"
	"time"

	"corianderpass/internal/process/standin"
	"corianderpass/pkg/client"
)

// startTimeout is how soon urgent work starts where its shape is free.
const startTimeout = 1300 * time.Millisecond

// hasRunning tells whether all tasks of a job run.
func (w *world) hasRunning(organisation, id string, tasks int) func() bool {
	return func() bool {
		n, _ := w.tasksOf(organisation, id)
		return n == tasks
	}
}

func (w *world) hasEnded(organisation, id string) func() bool {
	return func() bool { return w.job(w.any(), organisation, id).IsEnded() }
}

func TestAGangStartsWholeAndEnds(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		whole := w.watchPartialRuns(map[string]int{"timber/cut": 6})
		w.submit(w.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 6, Accelerators: 4, Command: "work 30s"})
		w.waitUntil("start", startTimeout, w.hasRunning("timber", "cut", 6))
		w.waitUntil("end", 40*time.Second, w.hasEnded("timber", "cut"))
		if s := w.job(w.entries["e2"], "timber", "cut"); s.Outcome != "Succeeded" {
			w.t.Errorf("%+v", s)
		}
		if part, which := whole.longest(); part > 0 {
			w.t.Errorf("%s ran in part for %s", which, part)
		}
		again := w.submit(w.entries["e2"], "timber", client.Job{ID: "cut", Tasks: 6, Accelerators: 4, Command: "work 30s"})
		if again.Outcome != "Succeeded" {
			w.t.Errorf("the same job submitted again: %+v", again)
		}
	})
}

func TestImpossibleJobsAreRefusedAtOnce(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		n := w.entries["e1"]
		for _, j := range []client.Job{
			{ID: "wide", Tasks: 1, Accelerators: 9},
			{ID: "many", Tasks: 81, Accelerators: 1},
			{ID: "cores", Tasks: 1, Accelerators: 1, Cores: 65},
			{ID: "firm", Tasks: 7, Accelerators: 8, RunOnce: true},
		} {
			_, err := n.SubmitJob(w.t.Context(), w.organisation(n, "timber"), j)
			if e := client.AsError(err); e == nil || e.Code != client.CodeNeverFits || e.Fate != client.FateNotRun {
				w.t.Errorf("%s: %v", j.ID, err)
			}
		}
		_, err := n.SubmitJob(w.t.Context(), w.organisation(n, "timber"), client.Job{ID: "none", Tasks: 0, Accelerators: 1})
		if e := client.AsError(err); e == nil || e.Code != client.CodeInvalid {
			w.t.Errorf("no tasks: %v", err)
		}
	})
}

// The failure: the driver of a running gang is killed. Another entry adopts the
// gang under a higher epoch, and no task starts twice.
func TestAGangOutlivesItsDriver(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		whole := w.watchPartialRuns(map[string]int{"timber/cut": 8})
		w.submit(w.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 8, Accelerators: 4, RunOnce: true, Command: "work 120s"})
		w.waitUntil("start", startTimeout, w.hasRunning("timber", "cut", 8))
		w.kill(w.driverOf("timber", "cut"))
		w.waitUntil("new driver", 10*time.Second, func() bool {
			n, epochs := w.tasksOf("timber", "cut")
			return n == 8 && epochs[2] == 8
		})
		w.waitUntil("end", 130*time.Second, w.hasEnded("timber", "cut"))
		if s := w.job(w.any(), "timber", "cut"); s.Outcome != "Succeeded" || s.Epoch != 2 {
			w.t.Errorf("%+v", s)
		}
		if part, which := whole.longest(); part > 0 {
			w.t.Errorf("%s ran in part for %s", which, part)
		}
	})
}

// driverOf returns the name of the entry that drives a job.
func (w *world) driverOf(organisation, id string) string {
	w.t.Helper()
	for name, n := range w.entries {
		if n.Drives(organisation, id) {
			return name
		}
	}
	w.t.Fatalf("nobody drives %s/%s", organisation, id)
	return ""
}

// The failure: the driver is killed at every moment between reservation and
// start. The gang still runs whole and once.
func TestADriverMayDieAtAnyMoment(t *testing.T) {
	for _, after := range []time.Duration{0, 5 * time.Millisecond, 10 * time.Millisecond, 15 * time.Millisecond, 20 * time.Millisecond, 25 * time.Millisecond, 30 * time.Millisecond, 40 * time.Millisecond, 60 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			inVirtualTime(t, func(w *world) {
				w.start()
				w.log.SetFaults(standin.LogFaults{Delay: 3 * time.Millisecond})
				whole := w.watchPartialRuns(map[string]int{"timber/cut": 8})
				w.submit(w.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 8, Accelerators: 4, Command: "work 20s"})
				time.Sleep(after)
				w.kill("e1")
				w.addEntry("e3", north)
				w.waitUntil("end", 2*time.Minute, w.hasEnded("timber", "cut"))
				if s := w.job(w.any(), "timber", "cut"); s.Outcome != "Succeeded" {
					w.t.Errorf("%+v", s)
				}
				if part, which := whole.longest(); part > 0 {
					w.t.Errorf("%s ran in part for %s", which, part)
				}
			})
		})
	}
}

// The failure: a driver is paused for longer than its leases last. While it
// sleeps another entry takes over; when it wakes it may do nothing to the gang.
func TestAPausedDriverDoesNothingUnderItsOldEpoch(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		w.submit(w.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 8, Accelerators: 4, Command: "work 300s"})
		w.waitUntil("start", startTimeout, w.hasRunning("timber", "cut", 8))
		pausedDriver := w.driverOf("timber", "cut")
		otherEntry := map[string]string{"e1": "e2", "e2": "e1"}[pausedDriver]
		w.entries[pausedDriver].freezer.Freeze()
		w.net.Partition(pausedDriver, otherEntry)
		w.waitUntil("new driver", 20*time.Second, func() bool {
			_, epochs := w.tasksOf("timber", "cut")
			return epochs[2] == 8
		})
		time.Sleep(45 * time.Second)
		w.net.Heal(pausedDriver, otherEntry)
		w.entries[pausedDriver].freezer.Thaw()
		for range 60 {
			time.Sleep(time.Second)
			n, epochs := w.tasksOf("timber", "cut")
			if n != 8 || epochs[1] != 0 {
				w.t.Fatalf("%d tasks, epochs %v", n, epochs)
			}
		}
		w.waitUntil("end", 300*time.Second, w.hasEnded("timber", "cut"))
		if s := w.job(w.any(), "timber", "cut"); s.Outcome != "Succeeded" {
			w.t.Errorf("%+v", s)
		}
	})
}

// The failure: everyone who could drive is paused past the leases. The platform
// ends the tasks; nothing of the old epoch runs on, and the gang starts anew
// from its checkpoint, whole.
func TestWithoutAnyDriverAGangEndsWholeAndStartsAnew(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		w.submit(w.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 8, Accelerators: 4, Command: "work 100s"})
		w.waitUntil("start", startTimeout, w.hasRunning("timber", "cut", 8))
		for _, n := range w.entries {
			n.freezer.Freeze()
		}
		time.Sleep(45 * time.Second)
		if n, _ := w.tasksOf("timber", "cut"); n != 0 {
			w.t.Errorf("%d tasks run on without a lease", n)
		}
		for _, n := range w.entries {
			n.freezer.Thaw()
		}
		w.waitUntil("new start", 30*time.Second, w.hasRunning("timber", "cut", 8))
		if _, epochs := w.tasksOf("timber", "cut"); epochs[1] != 0 {
			w.t.Errorf("epochs %v", epochs)
		}
		w.waitUntil("end", 150*time.Second, w.hasEnded("timber", "cut"))
	})
}

// The failure: borrowed work fills every accelerator when the guarantee is
// asked for. The bound is grace, lease and margin; without a stuck worker it is
// far less.
func TestAGuaranteeIsReclaimedFromBorrowers(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		sizes := map[string]int{"audit/reconcile": 4}
		for i := range 20 {
			id := fmt.Sprintf("small-%d", i)
			sizes["timber/"+id] = 2
			w.submit(w.entries["e1"], "timber", client.Job{ID: id, Tasks: 2, Accelerators: 2, Command: "work 600s"})
		}
		w.waitUntil("full", 10*time.Second, func() bool { return len(w.workers.Running()) == 40 })
		whole := w.watchPartialRuns(sizes)
		w.submit(w.entries["e2"], "audit", client.Job{ID: "reconcile", Class: "Urgent", Tasks: 4, Accelerators: 8, Cores: 16, Memory: 1024, RunOnce: true, Command: "work 60s"})
		took := w.waitUntil("reclaim", 37*time.Second, w.hasRunning("audit", "reconcile", 4))
		w.t.Logf("reclaimed after %s", took)
		if s := w.job(w.any(), "audit", "reconcile"); s.Kind != "Guaranteed" {
			w.t.Errorf("%+v", s)
		}
		if part, which := whole.longest(); part > 0 {
			w.t.Errorf("%s ran in part for %s", which, part)
		}
		w.waitUntil("all end", 30*time.Minute, func() bool {
			jobs, err := w.any().Jobs(w.t.Context(), w.organisation(w.any(), "timber"))
			if err != nil {
				w.t.Fatal(err)
			}
			for _, j := range jobs {
				if !j.IsEnded() {
					return false
				}
				if j.Outcome != "Succeeded" {
					w.t.Fatalf("%+v", j)
				}
			}
			return true
		})
	})
}

// The failure: a wave of cancellations in every phase of the jobs' lives.
func TestAWaveOfCancellations(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		const count = 60
		for i := range count {
			w.submit(w.entries["e1"], "timber", client.Job{ID: fmt.Sprint("job-", i), Tasks: 2, Accelerators: 4, Command: "work 600s"})
			time.Sleep(7 * time.Millisecond)
		}
		results := make(chan error, count)
		for i := range count {
			n := w.entries[[]string{"e1", "e2"}[i%2]]
			go func() {
				_, err := n.CancelJob(w.t.Context(), w.organisation(n, "timber"), fmt.Sprint("job-", i))
				results <- err
			}()
		}
		for range count {
			if err := <-results; err != nil {
				w.t.Error(err)
			}
		}
		w.waitUntil("all cancelled", 20*time.Second, func() bool {
			jobs, _ := w.any().Jobs(w.t.Context(), w.organisation(w.any(), "timber"))
			for _, j := range jobs {
				if j.Outcome != "Cancelled" {
					return false
				}
			}
			return len(w.workers.Running()) == 0
		})
		w.submit(w.entries["e2"], "timber", client.Job{ID: "after", Tasks: 4, Accelerators: 8, Command: "work 1s"})
		w.waitUntil("free again", startTimeout, w.hasRunning("timber", "after", 4))
	})
}

// The failure: the log is down for ten minutes. What runs goes on, nothing is
// lost or repeated, and all is in order within seconds of its return.
func TestGangsOutliveALogOutage(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		whole := w.watchPartialRuns(map[string]int{"timber/long": 8, "timber/short": 2})
		w.submit(w.entries["e1"], "timber", client.Job{ID: "long", Tasks: 8, Accelerators: 4, RunOnce: true, Command: "work 900s"})
		w.submit(w.entries["e1"], "timber", client.Job{ID: "short", Tasks: 2, Accelerators: 4, RunOnce: true, Command: "work 120s"})
		w.waitUntil("start", startTimeout, func() bool { return len(w.workers.Running()) == 10 })
		w.log.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(time.Second)
		_, err := w.entries["e1"].SubmitJob(w.t.Context(), w.organisation(w.entries["e1"], "timber"), client.Job{ID: "refused", Tasks: 1, Accelerators: 1})
		if e := client.AsError(err); e == nil || e.Code != client.CodeLogDown || e.Fate != client.FateNotRun {
			w.t.Errorf("submit in the outage: %v", err)
		}
		for range 599 {
			time.Sleep(time.Second)
			if n, _ := w.tasksOf("timber", "long"); n != 8 {
				w.t.Fatalf("%d tasks of the long job run", n)
			}
		}
		w.log.SetFaults(standin.LogFaults{})
		w.waitUntil("the short job's end is recorded", 5*time.Second, w.hasEnded("timber", "short"))
		if s := w.job(w.any(), "timber", "short"); s.Outcome != "Succeeded" {
			w.t.Errorf("%+v", s)
		}
		w.submit(w.entries["e2"], "timber", client.Job{ID: "after", Tasks: 1, Accelerators: 1, Command: "work 1s"})
		w.waitUntil("after", startTimeout, w.hasRunning("timber", "after", 1))
		w.waitUntil("long", 320*time.Second, w.hasEnded("timber", "long"))
		if s := w.job(w.any(), "timber", "long"); s.Outcome != "Succeeded" || s.Epoch != 1 {
			w.t.Errorf("%+v", s)
		}
		if part, which := whole.longest(); part > 0 {
			w.t.Errorf("%s ran in part for %s", which, part)
		}
	})
}

// The failure: answers of the log and of workers are lost in any mix while jobs
// come and go.
func TestLostAnswersLoseNoJob(t *testing.T) {
	inVirtualTime(t, func(w *world) {
		w.start()
		w.log.SetFaults(standin.LogFaults{LoseAnswers: 0.2, LoseAppends: 0.1, Delay: 5 * time.Millisecond, Seed: 4})
		w.workers.SetFaults("Mazowsze-w002", standin.WorkerFaults{LoseAnswers: true})
		for i := range 20 {
			n := w.entries[[]string{"e1", "e2"}[i%2]]
			id := fmt.Sprint("job-", i)
			w.waitUntil("submit", 2*time.Minute, func() bool {
				_, err := n.SubmitJob(w.t.Context(), w.organisation(n, "timber"), client.Job{ID: id, Tasks: 2, Accelerators: 4, Command: "work 10s"})
				return err == nil
			})
		}
		for i := range 20 {
			id := fmt.Sprint("job-", i)
			w.waitUntil(id, 20*time.Minute, w.hasEnded("timber", id))
			if s := w.job(w.any(), "timber", id); s.Outcome != "Succeeded" {
				w.t.Errorf("%+v", s)
			}
		}
	})
}

// The failure: the driver is killed at every moment around the end of its gang. A
// gang that succeeded has succeeded, and never runs again.
func TestADriverMayDieWhenItsGangEnds(t *testing.T) {
	for after := 9900 * time.Millisecond; after < 10700*time.Millisecond; after += 20 * time.Millisecond {
		inVirtualTime(t, func(w *world) {
			w.start()
			w.log.SetFaults(standin.LogFaults{Delay: 15 * time.Millisecond})
			w.submit(w.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 8, Accelerators: 4, RunOnce: true, Command: "work 10s"})
			w.waitUntil("start", startTimeout, w.hasRunning("timber", "cut", 8))
			driver := w.driverOf("timber", "cut")
			time.Sleep(after)
			w.kill(driver)
			w.waitUntil("end", 2*time.Minute, w.hasEnded("timber", "cut"))
			if s := w.job(w.any(), "timber", "cut"); s.Outcome != "Succeeded" {
				w.t.Errorf("driver killed after %s: %s %s", after, s.Outcome, s.Error)
			}
		})
	}
}
