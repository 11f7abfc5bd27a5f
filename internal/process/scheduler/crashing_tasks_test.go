package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"corianderpass/internal/process/standin"
	"corianderpass/internal/process/workload"
)

// maxCrashingStarts is one less than the number of starts at which a task has been started three
// times more after three minions have crashed under it.
const maxCrashingStarts = 5

// A task crashes each minion that starts it, before or after the answer to the start, alone or in a
// gang. It must be given up, or it crashes one minion after the other and stops the tasks of others.
func TestTaskThatCrashesMinionsIsGivenUp(t *testing.T) {
	for _, gang := range []bool{false, true} {
		for name, mode := range map[string]standin.CrashMode{"answered": standin.CrashAfterAnswer, "unanswered": standin.CrashBeforeAnswer} {
			t.Run(fmt.Sprintf("%s,gang=%v", name, gang), func(t *testing.T) { testCrashingTask(t, gang, mode) })
		}
	}
}

func testCrashingTask(t *testing.T, gang bool, mode standin.CrashMode) {
	withInstallation(t, func(t *testing.T, in *installation) {
		for range 3 {
			in.addPromptWorker()
		}
		crashing := workload.TaskRef{Job: "crashing", Index: 1}
		in.setCrashing(crashing, mode)
		s := spec("crashing", 3, smallTask())
		s.Steps[0].Gang = gang
		in.submit(s)
		for i := range 4 {
			in.submit(spec(fmt.Sprint("job", i), 3, smallTask()))
			time.Sleep(time.Second)
		}
		in.await("crashing", workload.OutcomeFailed, 40*time.Second)
		if starts, _ := in.runLog.Counts(crashing); starts > maxCrashingStarts {
			t.Errorf("got %d starts of the task that crashes its minions, want at most %d", starts, maxCrashingStarts)
		}
		for i := range 4 {
			in.await(fmt.Sprint("job", i), workload.OutcomeCompleted, 20*time.Second)
		}
	})
}
