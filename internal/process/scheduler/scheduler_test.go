package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"corianderpass/internal/process/workload"
)

// The jobs need more capacity than the two workers have. All tasks must run and all jobs
// complete: a job that is not placed immediately must not wait forever.
func TestJobsComplete(t *testing.T) {
	withInstallation(t, func(_ *testing.T, in *installation) {
		in.addWorker(workerCapacity())
		in.addWorker(workerCapacity())
		time.Sleep(4 * time.Second)
		for i := range 4 {
			in.submit(spec(fmt.Sprint("job", i), 6, smallTask()))
		}
		for i := range 4 {
			in.await(fmt.Sprint("job", i), workload.OutcomeCompleted, 10*time.Second)
		}
	})
}

// A minion permanently stops answering while its agent runs on. If the agent counted the lease
// of every unanswered poll as renewed, no lease would ever expire for the agent and the
// tasks would not run elsewhere.
func TestTasksOfUnresponsiveMinionRunElsewhereAfterLease(t *testing.T) {
	for _, crash := range []bool{true, false} {
		withInstallation(t, func(_ *testing.T, in *installation) {
			first := in.addWorker(workerCapacity())
			time.Sleep(4 * time.Second)
			in.setDuration(20 * time.Second)
			in.submit(spec("job", 2, smallTask()))
			time.Sleep(time.Second)
			in.setDuration(2 * time.Second)
			in.addWorker(workerCapacity())
			first.minion.SetUnresponsive(true, crash)
			in.await("job", workload.OutcomeCompleted, testLease+8*time.Second)
		})
	}
}

// A minion carries out starts seconds late and the answers are lost. If the agent did not
// fence the first start with a new token before it retries, the run would start twice.
func TestUnansweredStartsAreResolvedBeforeRetry(t *testing.T) {
	withInstallation(t, func(t *testing.T, in *installation) {
		a := in.addWorker(workerCapacity())
		time.Sleep(4 * time.Second)
		a.minion.DelayStarts(3)
		in.setDuration(4 * time.Second)
		in.submit(spec("job", 5, smallTask()))
		if took := in.await("job", workload.OutcomeCompleted, 8*time.Second); took > 6*time.Second {
			t.Errorf("job took %v, want at most 6s", took)
		}
		if n := in.runLog.Starts(); n != 5 {
			t.Errorf("got %d starts of 5 tasks, want 5", n)
		}
		time.Sleep(5 * time.Second)
	})
}

// An agent restarts while its tasks run. The new agent must adopt the runs that the minion
// lists instead of stopping and starting them again.
func TestTasksSurviveAgentRestart(t *testing.T) {
	withInstallation(t, func(t *testing.T, in *installation) {
		a := in.addWorker(workerCapacity())
		time.Sleep(4 * time.Second)
		in.setDuration(8 * time.Second)
		in.submit(spec("job", 3, smallTask()))
		time.Sleep(2 * time.Second)
		a.stop()
		time.Sleep(2 * time.Second)
		a.start()
		in.await("job", workload.OutcomeCompleted, 8*time.Second)
		if n := in.runLog.Starts(); n != 3 {
			t.Errorf("got %d starts of 3 tasks, want 3", n)
		}
	})
}

// An agent loses its connection to the log while its tasks run. In a short outage the tasks
// must continue. In a long one the leases expire, and the runs must have ended before their
// tasks start elsewhere.
func TestTasksOfAgentWithoutLogNeverRunTwice(t *testing.T) {
	for _, c := range []struct {
		cut    time.Duration
		starts int
	}{{3 * time.Second, 4}, {20 * time.Second, 8}} {
		withInstallation(t, func(t *testing.T, in *installation) {
			a := in.addWorker(workerCapacity())
			time.Sleep(4 * time.Second)
			in.setDuration(12 * time.Second)
			job := spec("job", 4, smallTask())
			// With a shorter estimate the worker would count as slow, and its runs would move.
			job.Steps[0].Estimate = 12 * time.Second
			in.submit(job)
			time.Sleep(time.Second)
			in.addWorker(workerCapacity())
			a.log.SetDown(true)
			time.Sleep(c.cut)
			a.log.SetDown(false)
			in.await("job", workload.OutcomeCompleted, 25*time.Second)
			if n := in.runLog.Starts(); n != c.starts {
				t.Errorf("log cut for %v: got %d starts, want %d", c.cut, n, c.starts)
			}
			in.setDuration(time.Second)
			in.submit(spec("after", 16, smallTask()))
			in.await("after", workload.OutcomeCompleted, 4*time.Second)
		})
	}
}

// A minion reports that it drains. A task placed on it would have to move soon, so the
// task must wait for another worker.
func TestDrainingWorkerGetsNoTasks(t *testing.T) {
	withInstallation(t, func(t *testing.T, in *installation) {
		a := in.addWorker(workerCapacity())
		time.Sleep(4 * time.Second)
		a.draining.Store(true)
		time.Sleep(2 * time.Second)
		in.submit(spec("job", 1, smallTask()))
		time.Sleep(3 * time.Second)
		if n := in.runLog.Starts(); n != 0 {
			t.Errorf("got %d starts on a draining minion, want 0", n)
		}
		in.addWorker(workerCapacity())
		in.await("job", workload.OutcomeCompleted, 8*time.Second)
	})
}

// An agent can read the log but not append, so it can neither send heartbeats nor withdraw
// the suspicion of its worker. It must stop renewing leases, so that they expire and the
// tasks run elsewhere.
func TestAgentThatCannotAppendLetsLeasesExpire(t *testing.T) {
	withInstallation(t, func(_ *testing.T, in *installation) {
		a := in.addWorker(workerCapacity())
		time.Sleep(4 * time.Second)
		in.setDuration(25 * time.Second)
		in.submit(spec("job", 3, smallTask()))
		time.Sleep(time.Second)
		in.setDuration(2 * time.Second)
		in.addWorker(workerCapacity())
		a.log.SetReadOnly(true)
		in.await("job", workload.OutcomeCompleted, 16*time.Second)
		a.log.SetReadOnly(false)
	})
}

// A minion drains while its agent cannot append to the log. The scheduler still places
// tasks there, which the agent must not start.
func TestAgentStartsNoTasksOnDrainingMinion(t *testing.T) {
	withInstallation(t, func(t *testing.T, in *installation) {
		a := in.addWorker(workerCapacity())
		time.Sleep(4 * time.Second)
		a.log.SetReadOnly(true)
		a.draining.Store(true)
		time.Sleep(1600 * time.Millisecond)
		in.submit(spec("job", 1, smallTask()))
		time.Sleep(2 * time.Second)
		if n := in.runLog.Starts(); n != 0 {
			t.Errorf("got %d starts on a draining minion, want 0", n)
		}
		a.log.SetReadOnly(false)
	})
}

// Agents pause between reads of the stream. For short jobs that pause would be too long,
// so the leader's notification must make them read immediately.
func TestNotifiedAgentsStartTasksImmediately(t *testing.T) {
	withInstallation(t, func(t *testing.T, in *installation) {
		in.addWorker(workerCapacity())
		time.Sleep(4 * time.Second)
		in.setDuration(time.Second)
		// The first job also waits until the entry is the leader.
		in.submit(spec("first", 1, smallTask()))
		in.await("first", workload.OutcomeCompleted, 4*time.Second)
		for i := range 10 {
			id := fmt.Sprint("job", i)
			in.submit(spec(id, 1, smallTask()))
			if took := in.await(id, workload.OutcomeCompleted, 4*time.Second); took > 1300*time.Millisecond {
				t.Errorf("job %s with a task of 1s took %v, want at most 1.3s", id, took)
			}
		}
	})
}

// On a stream without any records agents once waited for the first job before they announced
// their workers, so that the first job found no worker.
func TestWorkersAreAnnouncedBeforeFirstJob(t *testing.T) {
	withInstallation(t, func(t *testing.T, in *installation) {
		in.addWorker(workerCapacity())
		in.addWorker(workerCapacity())
		time.Sleep(4 * time.Second)
		e := in.entries[0]
		e.journal.View(func(time.Time) {
			if n := len(e.state.Workers()); n != 2 {
				t.Errorf("got %d announced workers, want 2", n)
			}
		})
	})
}
