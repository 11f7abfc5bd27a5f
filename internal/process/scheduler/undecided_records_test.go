package scheduler_test

import (
	"testing"
	"time"

	"corianderpass/internal/process/workload"
)

// addRefusingWorker adds a worker whose minion has just refused the start of the task of a job. The record of the
// refusal is not part of an append yet.
func (in *installation) addRefusingWorker() *testAgent {
	in.t.Helper()
	a := in.addPromptWorker()
	in.setDuration(12 * time.Second)
	a.minion.SetUnhealthy(true)
	in.submit(spec("job", 1, smallTask()))
	for a.minion.RefusedStarts() == 0 {
		time.Sleep(time.Millisecond)
	}
	return a
}

// wantOneStart checks that the job ends and that its task was started once.
func (in *installation) wantOneStart() {
	in.t.Helper()
	in.await("job", workload.OutcomeCompleted, 20*time.Second)
	if starts, _ := in.runLog.Counts(workload.TaskRef{Job: "job"}); starts != 1 {
		in.t.Errorf("got %d starts of the task, want 1", starts)
	}
}

// An unhealthy minion refuses a start, and the log gives no answer to the record of that refusal. The agent
// must not start the run: the record takes effect when the log is back, and the task is placed again.
func TestRefusedRunIsNotStartedWhileItsRefusalMayTakeEffect(t *testing.T) {
	withInstallation(t, func(_ *testing.T, in *installation) {
		a := in.addRefusingWorker()
		a.log.SetSilent(true)
		a.minion.SetUnhealthy(false)
		time.Sleep(4 * time.Second)
		a.log.SetSilent(false)
		in.wantOneStart()
	})
}

// The leases of a silent minion lapse, and the log gives no answer to the record of its departure. Then the
// minion answers again. The agent must not start a task there: the record takes effect when the log is back,
// and the task is placed elsewhere.
func TestNothingStartsWhileDepartureMayTakeEffect(t *testing.T) {
	withInstallation(t, func(_ *testing.T, in *installation) {
		in.setDuration(20 * time.Second)
		a := in.addPromptWorker()
		in.submit(spec("running", 1, smallTask()))
		in.awaitStarts(1)
		a.minion.SetUnresponsive(true, false)
		in.submit(spec("job", 1, smallTask()))
		time.Sleep(5 * time.Second)
		a.log.SetSilent(true)
		in.addWorker(workerCapacity())
		time.Sleep(testLease - 2*time.Second)
		a.minion.SetUnresponsive(false, false)
		time.Sleep(time.Second)
		a.log.SetSilent(false)
		in.await("job", workload.OutcomeCompleted, 40*time.Second)
	})
}

// An agent ends while the log still has to carry out its record of a refusal, and the next agent starts the run.
// The record must have no effect then: the task would be placed again beside its run.
func TestLateRefusalOfFormerAgentHasNoEffect(t *testing.T) {
	withInstallation(t, func(_ *testing.T, in *installation) {
		a := in.addRefusingWorker()
		a.log.SetLate(5 * time.Second)
		time.Sleep(100 * time.Millisecond)
		a.stop()
		a.minion.SetUnhealthy(false)
		a.start()
		in.wantOneStart()
	})
}
