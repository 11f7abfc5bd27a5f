package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"corianderpass/internal/process/runner"
	"corianderpass/internal/process/standin"
	"corianderpass/internal/process/workload"
)

// A minion crashes and its agent cannot report that before a task is placed there. The start is
// certainly not sent, so the task must run on another worker as soon as the agent can record
// something, not after the leases of the crashed minion have expired.
func TestTaskPlacedOnCrashedMinionMovesAtOnce(t *testing.T) {
	withInstallation(t, func(t *testing.T, in *installation) {
		agents := []*testAgent{in.addWorker(workerCapacity()), in.addWorker(workerCapacity()), in.addWorker(workerCapacity())}
		time.Sleep(4 * time.Second)
		s := spec("job", 2, workload.Resources{Cores: 1000, Memory: 1, Accelerators: 8})
		in.setReservation(s)
		agents[0].minion.Crash()
		agents[0].log.SetReadOnly(true)
		in.submit(s)
		time.Sleep(600 * time.Millisecond)
		if !in.hasRuns(agents[0]) {
			t.Fatal("got no run on the crashed minion, want one that must move")
		}
		agents[0].log.SetReadOnly(false)
		// A task takes 2 s, the leases testLease.
		if took := in.await("job", workload.OutcomeCompleted, 15*time.Second); took > 4*time.Second {
			t.Errorf("job took %v more, want at most 4s", took)
		}
		if n := in.runLog.Starts(); n != 2 {
			t.Errorf("got %d starts of 2 tasks, want 2", n)
		}
	})
}

// hasRuns reports whether the workload of the first entry has runs on the agent's minion.
func (in *installation) hasRuns(a *testAgent) (found bool) {
	e := in.entries[0]
	e.journal.View(func(time.Time) {
		w := e.state.Worker(runner.LifeID(a.minion.ID, a.minion.Born()))
		found = w != nil && len(w.Runs) > 0
	})
	return found
}

// A minion restarts and all its runs end without being reported. The new life must be
// announced, so that the tasks run again without waiting for the leases of the old life.
func TestTasksOfRestartedMinionRunAgain(t *testing.T) {
	withInstallation(t, func(_ *testing.T, in *installation) {
		a := in.addWorker(workerCapacity())
		time.Sleep(4 * time.Second)
		in.submit(spec("job", 4, smallTask()))
		time.Sleep(time.Second)
		a.minion.StartLife()
		in.await("job", workload.OutcomeCompleted, 7*time.Second)
	})
}

// submitToNextLife submits a job of one step for the only worker. The starts of its tasks get no answer, and arrive
// just after the minion has restarted under its ID. Until they have been carried out, it does not answer its agent.
func (in *installation) submitToNextLife(a *testAgent, s workload.JobSpec) {
	in.t.Helper()
	const orderDelay, restartLead = 3 * time.Second, 10 * time.Millisecond
	a.minion.DelayStarts(s.Steps[0].Tasks)
	in.submit(s)
	for a.minion.DelayedStarts() > 0 {
		time.Sleep(time.Millisecond)
	}
	a.minion.SetUnresponsive(true, false)
	time.Sleep(orderDelay - restartLead)
	a.minion.StartLife()
	a.minion.SetUnresponsive(true, false)
	time.Sleep(2 * restartLead)
	a.minion.SetUnresponsive(false, false)
}

// A minion restarts under its ID just before an order of its earlier life arrives. The new
// life carries the order out and has ended the run before it answers its agent. The agent
// must announce that end with the life: the task must not be placed again first.
func TestRunOfEarlierLifeIsNotRepeatedInNewLife(t *testing.T) {
	withInstallation(t, func(t *testing.T, in *installation) {
		a := in.addWorker(workerCapacity())
		time.Sleep(4 * time.Second)
		in.setDuration(time.Millisecond)
		in.submitToNextLife(a, spec("job", 1, smallTask()))
		// After the announcement, the agent can record nothing for longer than the leader
		// takes to place the task again.
		for !in.isPresent(runner.LifeID(a.minion.ID, a.minion.Born())) {
			time.Sleep(time.Millisecond)
		}
		a.log.SetDown(true)
		time.Sleep(500 * time.Millisecond)
		a.log.SetDown(false)
		in.await("job", workload.OutcomeCompleted, 12*time.Second)
		if starts, _ := in.runLog.Counts(workload.TaskRef{Job: "job"}); starts != 1 {
			t.Errorf("got %d starts of the task, want 1", starts)
		}
	})
}

// A minion restarts under its ID, and its agent starts a task there before it learns of the new life.
// The task ends before the next poll, with a number that the earlier life has used too. That poll
// must not report the end as seen: nobody has recorded it, and the task would run again.
func TestEndInUnnoticedLifeIsRecorded(t *testing.T) {
	withInstallation(t, func(t *testing.T, in *installation) {
		a := in.addPromptWorker()
		in.setDuration(10 * time.Millisecond)
		in.submit(spec("earlier", 4, smallTask()))
		in.await("earlier", workload.OutcomeCompleted, 5*time.Second)
		time.Sleep(time.Second)
		in.submit(spec("job", 1, smallTask()))
		a.minion.StartLife()
		in.await("job", workload.OutcomeCompleted, 12*time.Second)
		if starts, _ := in.runLog.Counts(workload.TaskRef{Job: "job"}); starts != 1 {
			t.Errorf("got %d starts of the task, want 1", starts)
		}
	})
}

// A minion restarts under its ID, and an order meant for its earlier life gives the new life a lease
// on the clock of the earlier one, which was ahead. When the minion stops answering, its tasks must
// not start elsewhere before that lease has expired, whether the agent knows the new life or not.
func TestLeaseOfEarlierLifeIsAwaited(t *testing.T) {
	for _, known := range []bool{false, true} {
		t.Run(fmt.Sprintf("known=%v", known), func(t *testing.T) { testLeaseOfEarlierLife(t, known) })
	}
}

func testLeaseOfEarlierLife(t *testing.T, known bool) {
	withInstallation(t, func(_ *testing.T, in *installation) {
		in.maxLease = 12 * time.Second
		a := in.addPromptWorker()
		in.setDuration(20 * time.Second)
		time.Sleep(11 * time.Second)
		in.submit(spec("job", 1, smallTask()))
		a.minion.StartLife()
		for in.runLog.Starts() < 1 {
			time.Sleep(time.Millisecond)
		}
		if known {
			// The new life is announced, repeats the task, and confirms that in a poll.
			time.Sleep(3 * time.Second)
		}
		a.minion.SetUnresponsive(true, false)
		in.addWorker(workerCapacity())
		in.await("job", workload.OutcomeCompleted, 60*time.Second)
	})
}

// Another writer reports a minion to which no order can be sent. The agent must go on polling its own one:
// otherwise the leases of its runs expire, and the agent never learns of their ends.
func TestReportOfUnreachableMinionDoesNotStopPolls(t *testing.T) {
	withInstallation(t, func(t *testing.T, in *installation) {
		in.prepareMinion = func(m *standin.TaskMinion) { m.IgnoresOthers = true }
		a := in.addPromptWorker()
		in.setDuration(2 * testMaxLease)
		in.submit(spec("job", 1, smallTask()))
		in.awaitStarts(1)
		a.runner.Announce(t.Context(), runner.Announcement{ID: "other", Machine: "other", Service: "service", Room: workerCapacity()})
		in.await("job", workload.OutcomeCompleted, 3*testMaxLease)
		if starts := in.runLog.Starts(); starts != 1 {
			t.Errorf("got %d starts of the task, want 1", starts)
		}
	})
}

// isPresent reports whether the first entry knows the life and it is not gone.
func (in *installation) isPresent(life workload.LifeID) (present bool) {
	e := in.entries[0]
	e.journal.View(func(time.Time) {
		w := e.state.Worker(life)
		present = w != nil && !w.Gone
	})
	return present
}
