package scheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"corianderpass/internal/process/workload"
)

// An operator evacuates the failure domain of the only worker. A run that started there would
// break the operator's request; after its withdrawal the waiting job must run.
func TestNoRunStartsInEvacuatedDomain(t *testing.T) {
	withInstallation(t, func(t *testing.T, in *installation) {
		in.addWorkerIn("a", workerCapacity())
		time.Sleep(4 * time.Second)
		requests := &in.entries[0].evacuations
		requests.Set("a", 8)
		time.Sleep(300 * time.Millisecond)
		in.submit(spec("job", 1, smallTask()))
		time.Sleep(3 * time.Second)
		if n := in.runLog.Starts(); n != 0 {
			t.Errorf("got %d starts in an evacuated domain, want 0", n)
		}
		requests.Withdraw("a", 9)
		in.await("job", workload.OutcomeCompleted, 4*time.Second)
	})
}

// A run is placed, and its domain is evacuated before the agent reads the placement. The agent
// must refuse it; the task must run once the request is withdrawn.
func TestAgentRefusesRunPlacedBeforeEvacuation(t *testing.T) {
	withInstallation(t, func(t *testing.T, in *installation) {
		a := in.addWorkerIn("a", workerCapacity())
		time.Sleep(4 * time.Second)
		a.log.SetDown(true)
		in.submit(spec("job", 1, smallTask()))
		time.Sleep(600 * time.Millisecond)
		if !in.hasRuns(a) {
			t.Fatal("got no run on the worker before the evacuation, want one")
		}
		in.entries[0].evacuations.Set("a", 8)
		time.Sleep(200 * time.Millisecond)
		a.log.SetDown(false)
		time.Sleep(3 * time.Second)
		if n := in.runLog.Starts(); n != 0 {
			t.Errorf("got %d starts in an evacuated domain, want 0", n)
		}
		in.entries[0].evacuations.Withdraw("a", 9)
		in.await("job", workload.OutcomeCompleted, 5*time.Second)
	})
}

// An agent is cut off from the log while its minion does not answer a start. Its domain is
// evacuated meanwhile. When the minion answers again and lists no such run, the agent must not
// repeat the start: its state is too old to show that there is no evacuation.
func TestCutOffAgentStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(t)
		defer in.stop()
		in.evacuationTime = 2 * time.Second
		in.addEntry()
		a := in.addPromptWorker()
		a.minion.SetUnresponsive(true, false)
		in.submit(spec("job", 1, smallTask()))
		time.Sleep(600 * time.Millisecond)
		a.log.SetDown(true)
		in.entries[0].evacuations.Set("domain", 8)
		time.Sleep(1300 * time.Millisecond)
		a.minion.SetUnresponsive(false, false)
		time.Sleep(3 * time.Second)
		if n := in.runLog.Starts(); n != 0 {
			t.Errorf("got %d starts by an agent that was cut off, want 0", n)
		}
	})
}

// The leader has not read the operator's request, or stops before it has recorded it. Another
// entry must record it.
func TestAnyEntryRecordsEvacuation(t *testing.T) {
	for _, leaderStops := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			in := newInstallation(t)
			defer in.stop()
			first := in.addEntry()
			in.addWorkerIn("a", workerCapacity())
			time.Sleep(4 * time.Second)
			second := in.addEntry()
			time.Sleep(2 * time.Second)
			second.evacuations.Set("a", 8)
			if leaderStops {
				first.stop()
				in.entries = []*testEntry{second}
			}
			time.Sleep(300 * time.Millisecond)
			active := false
			second.journal.View(func(time.Time) { active = second.state.Evacuation("a").Active })
			if !active {
				t.Errorf("leader stops %t: got no evacuation in the state after 300 ms, want one", leaderStops)
			}
			second.evacuations.Withdraw("a", 9)
			time.Sleep(300 * time.Millisecond)
		})
	}
}
