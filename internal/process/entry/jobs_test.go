package entry_test

import (
	"fmt"
	"testing"
	"time"

	"corianderpass/internal/process/standin"
	"corianderpass/pkg/client"
)

// startTimeout is how soon a job must start if enough accelerators are free.
const startTimeout = 1300 * time.Millisecond

// hasRunning returns a condition that reports whether the given number of the job's tasks is
// running.
func (in *installation) hasRunning(organisation, id string, tasks int) func() bool {
	return func() bool {
		running, _ := in.tasksOf(organisation, id)
		return running == tasks
	}
}

// hasEnded returns a condition that reports whether the job has ended.
func (in *installation) hasEnded(organisation, id string) func() bool {
	return func() bool { return in.job(in.any(), organisation, id).IsEnded() }
}

// All tasks of a gang must start together, and its end must be visible at every entry. A
// repeated submission must return the same job instead of running it again.
func TestGangStartsTogetherAndEnds(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		partial := in.watchPartialRuns(map[string]int{"timber/cut": 6})
		in.submit(in.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 6, Accelerators: 4, Command: "work 30s"})
		in.waitUntil("start", startTimeout, in.hasRunning("timber", "cut", 6))
		in.waitUntil("end", 40*time.Second, in.hasEnded("timber", "cut"))
		if s := in.job(in.entries["e2"], "timber", "cut"); s.Outcome != "Succeeded" {
			in.t.Errorf("got job %+v, want outcome Succeeded", s)
		}
		if duration, gang := partial.longest(); duration > 0 {
			in.t.Errorf("gang %s was running partially for %s, want never", gang, duration)
		}
		again := in.submit(in.entries["e2"], "timber", client.Job{ID: "cut", Tasks: 6, Accelerators: 4, Command: "work 30s"})
		if again.Outcome != "Succeeded" {
			in.t.Errorf("same job submitted again: got %+v, want the outcome Succeeded", again)
		}
	})
}

// A job that the region's workers could never run would wait forever if it was accepted.
func TestJobsThatNeverFitAreRefused(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		entry := in.entries["e1"]
		for _, j := range []client.Job{
			{ID: "wide", Tasks: 1, Accelerators: 9},
			{ID: "many", Tasks: 81, Accelerators: 1},
			{ID: "cores", Tasks: 1, Accelerators: 1, Cores: 65},
			{ID: "firm", Tasks: 7, Accelerators: 8, RunOnce: true},
		} {
			_, err := entry.SubmitJob(in.t.Context(), in.organisation(entry, "timber"), j)
			if e := client.AsError(err); e == nil || e.Code != client.CodeNeverFits || e.Fate != client.FateNotRun {
				in.t.Errorf("job %s: got error %v, want code NeverFits and fate NotRun", j.ID, err)
			}
		}
		_, err := entry.SubmitJob(in.t.Context(), in.organisation(entry, "timber"), client.Job{ID: "none", Tasks: 0, Accelerators: 1})
		if e := client.AsError(err); e == nil || e.Code != client.CodeInvalid {
			in.t.Errorf("job without tasks: got error %v, want code Invalid", err)
		}
	})
}

// The driver of a running gang is killed. Another entry must take the gang over under a higher
// epoch while its tasks run on. They must not start a second time.
func TestGangSurvivesDeathOfItsDriver(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		partial := in.watchPartialRuns(map[string]int{"timber/cut": 8})
		in.submit(in.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 8, Accelerators: 4, RunOnce: true, Command: "work 120s"})
		in.waitUntil("start", startTimeout, in.hasRunning("timber", "cut", 8))
		in.kill(in.driverOf("timber", "cut"))
		in.waitUntil("takeover by a new driver", 10*time.Second, func() bool {
			tasks, epochs := in.tasksOf("timber", "cut")
			return tasks == 8 && epochs[2] == 8
		})
		in.waitUntil("end", 130*time.Second, in.hasEnded("timber", "cut"))
		if s := in.job(in.any(), "timber", "cut"); s.Outcome != "Succeeded" || s.Epoch != 2 {
			in.t.Errorf("got job %+v, want outcome Succeeded and epoch 2", s)
		}
		if duration, gang := partial.longest(); duration > 0 {
			in.t.Errorf("gang %s was running partially for %s, want never", gang, duration)
		}
	})
}

// driverOf returns the name of the entry that drives a job.
func (in *installation) driverOf(organisation, id string) string {
	in.t.Helper()
	for name, e := range in.entries {
		if e.Drives(organisation, id) {
			return name
		}
	}
	in.t.Fatalf("no entry drives job %s/%s, want one", organisation, id)
	return ""
}

// An entry is killed between the submission of a job and the start of its tasks, before or
// after the accelerators are reserved. The gang must succeed and must never run partially.
func TestGangSucceedsWhenDriverDiesDuringStart(t *testing.T) {
	for _, after := range []time.Duration{0, 5 * time.Millisecond, 10 * time.Millisecond, 15 * time.Millisecond, 20 * time.Millisecond, 25 * time.Millisecond, 30 * time.Millisecond, 40 * time.Millisecond, 60 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			inVirtualTime(t, func(in *installation) {
				in.start()
				in.log.SetFaults(standin.LogFaults{Delay: 3 * time.Millisecond})
				partial := in.watchPartialRuns(map[string]int{"timber/cut": 8})
				in.submit(in.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 8, Accelerators: 4, Command: "work 20s"})
				time.Sleep(after)
				in.kill("e1")
				in.addEntry("e3", north)
				in.waitUntil("end", 2*time.Minute, in.hasEnded("timber", "cut"))
				if s := in.job(in.any(), "timber", "cut"); s.Outcome != "Succeeded" {
					in.t.Errorf("got job %+v, want outcome Succeeded", s)
				}
				if duration, gang := partial.longest(); duration > 0 {
					in.t.Errorf("gang %s was running partially for %s, want never", gang, duration)
				}
			})
		})
	}
}

// A driver is paused for longer than its leases, and another entry takes the gang over. When
// the old driver resumes, it must not start or stop tasks under its old epoch.
func TestPausedDriverIsFencedByNewEpoch(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		in.submit(in.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 8, Accelerators: 4, Command: "work 300s"})
		in.waitUntil("start", startTimeout, in.hasRunning("timber", "cut", 8))
		pausedDriver := in.driverOf("timber", "cut")
		otherEntry := map[string]string{"e1": "e2", "e2": "e1"}[pausedDriver]
		in.entries[pausedDriver].freezer.Freeze()
		in.net.Partition(pausedDriver, otherEntry)
		in.waitUntil("takeover by a new driver", 20*time.Second, func() bool {
			_, epochs := in.tasksOf("timber", "cut")
			return epochs[2] == 8
		})
		time.Sleep(45 * time.Second)
		in.net.Heal(pausedDriver, otherEntry)
		in.entries[pausedDriver].freezer.Thaw()
		for range 60 {
			time.Sleep(time.Second)
			tasks, epochs := in.tasksOf("timber", "cut")
			if tasks != 8 || epochs[1] != 0 {
				in.t.Fatalf("%d tasks run, by epoch %v; want 8, none of epoch 1", tasks, epochs)
			}
		}
		in.waitUntil("end", 300*time.Second, in.hasEnded("timber", "cut"))
		if s := in.job(in.any(), "timber", "cut"); s.Outcome != "Succeeded" {
			in.t.Errorf("got job %+v, want outcome Succeeded", s)
		}
	})
}

// All entries are paused for longer than the leases, so that the platform ends the tasks. When
// they resume, no task of the old epoch may be running, and the gang must restart with all
// tasks.
func TestGangStopsAndRestartsWhenAllDriversArePaused(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		in.submit(in.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 8, Accelerators: 4, Command: "work 100s"})
		in.waitUntil("start", startTimeout, in.hasRunning("timber", "cut", 8))
		for _, e := range in.entries {
			e.freezer.Freeze()
		}
		time.Sleep(45 * time.Second)
		if tasks, _ := in.tasksOf("timber", "cut"); tasks != 0 {
			in.t.Errorf("%d tasks are running without a lease, want none", tasks)
		}
		for _, e := range in.entries {
			e.freezer.Thaw()
		}
		in.waitUntil("restart", 30*time.Second, in.hasRunning("timber", "cut", 8))
		if _, epochs := in.tasksOf("timber", "cut"); epochs[1] != 0 {
			in.t.Errorf("tasks by epoch %v, want none of epoch 1", epochs)
		}
		in.waitUntil("end", 150*time.Second, in.hasEnded("timber", "cut"))
	})
}

// Borrowing jobs use all accelerators when a guaranteed job is submitted. It must start within
// 37 s, the sum of grace, lease duration and margin; if all workers respond it takes far
// less. The preempted jobs must run again later.
func TestGuaranteeIsReclaimedFromBorrowers(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		taskCounts := map[string]int{"audit/reconcile": 4}
		for i := range 20 {
			id := fmt.Sprintf("small-%d", i)
			taskCounts["timber/"+id] = 2
			in.submit(in.entries["e1"], "timber", client.Job{ID: id, Tasks: 2, Accelerators: 2, Command: "work 600s"})
		}
		in.waitUntil("full", 10*time.Second, func() bool { return len(in.workers.Running()) == 40 })
		partial := in.watchPartialRuns(taskCounts)
		in.submit(in.entries["e2"], "audit", client.Job{ID: "reconcile", Class: "Urgent", Tasks: 4, Accelerators: 8, Cores: 16, Memory: 1024, RunOnce: true, Command: "work 60s"})
		took := in.waitUntil("start of the guaranteed job", 37*time.Second, in.hasRunning("audit", "reconcile", 4))
		in.t.Logf("reclaimed after %s", took)
		if s := in.job(in.any(), "audit", "reconcile"); s.Kind != "Guaranteed" {
			in.t.Errorf("got job %+v, want kind Guaranteed", s)
		}
		if duration, gang := partial.longest(); duration > 0 {
			in.t.Errorf("gang %s was running partially for %s, want never", gang, duration)
		}
		in.waitUntil("end of all jobs", 30*time.Minute, func() bool {
			jobs, err := in.any().Jobs(in.t.Context(), in.organisation(in.any(), "timber"))
			if err != nil {
				in.t.Fatal(err)
			}
			for _, j := range jobs {
				if !j.IsEnded() {
					return false
				}
				if j.Outcome != "Succeeded" {
					in.t.Fatalf("got job %+v, want outcome Succeeded", j)
				}
			}
			return true
		})
	})
}

// Many jobs in all phases are cancelled at once. Each must end as cancelled, all their tasks
// must stop, and all accelerators must be free again.
func TestConcurrentCancellationsEndAllJobs(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		const count = 60
		for i := range count {
			in.submit(in.entries["e1"], "timber", client.Job{ID: fmt.Sprint("job-", i), Tasks: 2, Accelerators: 4, Command: "work 600s"})
			time.Sleep(7 * time.Millisecond)
		}
		results := make(chan error, count)
		for i := range count {
			entry := in.entries[[]string{"e1", "e2"}[i%2]]
			go func() {
				_, err := entry.CancelJob(in.t.Context(), in.organisation(entry, "timber"), fmt.Sprint("job-", i))
				results <- err
			}()
		}
		for range count {
			if err := <-results; err != nil {
				in.t.Error(err)
			}
		}
		in.waitUntil("end of all cancelled jobs", 20*time.Second, func() bool {
			jobs, _ := in.any().Jobs(in.t.Context(), in.organisation(in.any(), "timber"))
			for _, j := range jobs {
				if j.Outcome != "Cancelled" {
					return false
				}
			}
			return len(in.workers.Running()) == 0
		})
		in.submit(in.entries["e2"], "timber", client.Job{ID: "after", Tasks: 4, Accelerators: 8, Command: "work 1s"})
		in.waitUntil("start on the freed accelerators", startTimeout, in.hasRunning("timber", "after", 4))
	})
}

// The log is down for ten minutes. Running gangs must run on and not be repeated, and what
// ended in that time must be recorded within seconds after the outage.
func TestGangsSurviveLogOutage(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		partial := in.watchPartialRuns(map[string]int{"timber/long": 8, "timber/short": 2})
		in.submit(in.entries["e1"], "timber", client.Job{ID: "long", Tasks: 8, Accelerators: 4, RunOnce: true, Command: "work 900s"})
		in.submit(in.entries["e1"], "timber", client.Job{ID: "short", Tasks: 2, Accelerators: 4, RunOnce: true, Command: "work 120s"})
		in.waitUntil("start", startTimeout, func() bool { return len(in.workers.Running()) == 10 })
		in.log.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(time.Second)
		_, err := in.entries["e1"].SubmitJob(in.t.Context(), in.organisation(in.entries["e1"], "timber"), client.Job{ID: "refused", Tasks: 1, Accelerators: 1})
		if e := client.AsError(err); e == nil || e.Code != client.CodeLogDown || e.Fate != client.FateNotRun {
			in.t.Errorf("submit during the outage: got error %v, want code LogDown and fate NotRun", err)
		}
		for range 599 {
			time.Sleep(time.Second)
			if tasks, _ := in.tasksOf("timber", "long"); tasks != 8 {
				in.t.Fatalf("%d tasks of the long job are running, want 8", tasks)
			}
		}
		in.log.SetFaults(standin.LogFaults{})
		in.waitUntil("record the end of the short job", 5*time.Second, in.hasEnded("timber", "short"))
		if s := in.job(in.any(), "timber", "short"); s.Outcome != "Succeeded" {
			in.t.Errorf("got job %+v, want outcome Succeeded", s)
		}
		in.submit(in.entries["e2"], "timber", client.Job{ID: "after", Tasks: 1, Accelerators: 1, Command: "work 1s"})
		in.waitUntil("after", startTimeout, in.hasRunning("timber", "after", 1))
		in.waitUntil("end of the long job", 320*time.Second, in.hasEnded("timber", "long"))
		if s := in.job(in.any(), "timber", "long"); s.Outcome != "Succeeded" || s.Epoch != 1 {
			in.t.Errorf("got job %+v, want outcome Succeeded and epoch 1", s)
		}
		if duration, gang := partial.longest(); duration > 0 {
			in.t.Errorf("gang %s was running partially for %s, want never", gang, duration)
		}
	})
}

// Appends and answers of the log and answers of a worker are lost while jobs are submitted and
// run. Every accepted job must succeed nevertheless.
func TestLostAnswersLoseNoJob(t *testing.T) {
	inVirtualTime(t, func(in *installation) {
		in.start()
		in.log.SetFaults(standin.LogFaults{LoseAnswers: 0.2, LoseAppends: 0.1, Delay: 5 * time.Millisecond, Seed: 4})
		in.workers.SetFaults("Mazowsze-w002", standin.WorkerFaults{LoseAnswers: true})
		for i := range 20 {
			entry := in.entries[[]string{"e1", "e2"}[i%2]]
			id := fmt.Sprint("job-", i)
			in.waitUntil("submit", 2*time.Minute, func() bool {
				_, err := entry.SubmitJob(in.t.Context(), in.organisation(entry, "timber"), client.Job{ID: id, Tasks: 2, Accelerators: 4, Command: "work 10s"})
				return err == nil
			})
		}
		for i := range 20 {
			id := fmt.Sprint("job-", i)
			in.waitUntil(id, 20*time.Minute, in.hasEnded("timber", id))
			if s := in.job(in.any(), "timber", id); s.Outcome != "Succeeded" {
				in.t.Errorf("got job %+v, want outcome Succeeded", s)
			}
		}
	})
}

// The driver is killed around the end of its gang, before or after the end is recorded. A gang
// that has succeeded must not run again or end as failed.
func TestGangSucceedsWhenDriverDiesAtItsEnd(t *testing.T) {
	for after := 9900 * time.Millisecond; after < 10700*time.Millisecond; after += 20 * time.Millisecond {
		inVirtualTime(t, func(in *installation) {
			in.start()
			in.log.SetFaults(standin.LogFaults{Delay: 15 * time.Millisecond})
			in.submit(in.entries["e1"], "timber", client.Job{ID: "cut", Tasks: 8, Accelerators: 4, RunOnce: true, Command: "work 10s"})
			in.waitUntil("start", startTimeout, in.hasRunning("timber", "cut", 8))
			driver := in.driverOf("timber", "cut")
			time.Sleep(after)
			in.kill(driver)
			in.waitUntil("end", 2*time.Minute, in.hasEnded("timber", "cut"))
			if s := in.job(in.any(), "timber", "cut"); s.Outcome != "Succeeded" {
				in.t.Errorf("driver killed after %s: got outcome %s, error %q, want Succeeded", after, s.Outcome, s.Error)
			}
		})
	}
}
