package scheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

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

// Runs of several lengths make progress. None may be reported as stalled, although the answer to a poll that waits
// for the end of a run arrives after the answer to a later poll.
func TestHealthyRunsAreNotStalled(t *testing.T) {
	var lines strings.Builder
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(t)
		defer in.stop()
		in.logger = hclog.New(&hclog.LoggerOptions{Output: &lines})
		in.addEntry()
		in.addPromptWorker()
		for i, d := range []time.Duration{time.Second, 3 * time.Second, 9 * time.Second} {
			in.setDuration(d)
			job := spec(fmt.Sprint("job", i), 1, smallTask())
			job.Steps[0].Estimate = d
			in.submit(job)
			time.Sleep(700 * time.Millisecond)
		}
		in.await("job2", workload.OutcomeCompleted, 10*time.Second)
	})
	if n := strings.Count(lines.String(), "stalled=true"); n > 0 {
		t.Errorf("got %d reports of stalled runs, want none", n)
	}
}
