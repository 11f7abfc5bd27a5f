package scheduler_test

import (
	"testing"
	"time"

	"corianderpass/internal/process/workload"
)

// Every first run makes no progress, as on a minion that hangs. The tasks must move before a
// healthy run would have ended; otherwise urgent jobs of short tasks are late whenever a minion hangs.
func TestHungRunsMoveWithinTheirDuration(t *testing.T) {
	withInstallation(t, func(_ *testing.T, in *installation) {
		in.addPromptWorker()
		in.addPromptWorker()
		in.setDuration(1000 * time.Hour)
		s := spec("job", 4, smallTask())
		in.submit(s)
		time.Sleep(500 * time.Millisecond)
		in.setDuration(2 * time.Second)
		// The estimate and the duration of a healthy run are 2 s: 2 s until the new runs start, 2 s for them.
		in.await("job", workload.OutcomeCompleted, 3500*time.Millisecond)
	})
}
