package scheduler_test

import (
	"testing"
	"time"

	"corianderpass/internal/process/workload"
)

// An unhealthy minion refuses a start, and the log gives no answer to the record of that refusal. The agent
// must not start the run: the record takes effect when the log is back, and the task is placed again.
func TestRefusedRunIsNotStartedWhileItsRefusalMayTakeEffect(t *testing.T) {
	withInstallation(t, func(t *testing.T, in *installation) {
		a := in.addPromptWorker()
		in.setDuration(12 * time.Second)
		a.minion.SetUnhealthy(true)
		in.submit(spec("job", 1, smallTask()))
		for a.minion.RefusedStarts() == 0 {
			time.Sleep(time.Millisecond)
		}
		a.log.SetSilent(true)
		a.minion.SetUnhealthy(false)
		time.Sleep(4 * time.Second)
		a.log.SetSilent(false)
		in.await("job", workload.OutcomeCompleted, 20*time.Second)
		if starts, _ := in.runLog.Counts(workload.TaskRef{Job: "job"}); starts != 1 {
			t.Errorf("got %d starts of the task, want 1", starts)
		}
	})
}
