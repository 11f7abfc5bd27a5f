package scheduler_test

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"corianderpass/internal/process/runner"
	"corianderpass/internal/process/workload"
)

// One worker of two fails everything. The jobs must complete on the other one, and the log must state
// the quarantine with its inputs, a bounded number of times.
func TestQuarantineIsLoggedWithInputs(t *testing.T) {
	var log strings.Builder
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(t)
		defer in.stop()
		in.logger = hclog.New(&hclog.LoggerOptions{Output: &log})
		in.addEntry()
		in.addWorker(workerCapacity())
		in.addWorker(workerCapacity()).minion.Fails = func(runner.Start) bool { return true }
		time.Sleep(4 * time.Second)
		in.setDuration(time.Second)
		for n := range 12 {
			s := spec(fmt.Sprint("job", n), 1, workload.Resources{Cores: 1000, Memory: 1, Accelerators: 4})
			in.setReservation(s)
			in.submit(s)
		}
		for n := range 12 {
			in.await(fmt.Sprint("job", n), workload.OutcomeCompleted, time.Minute)
		}
	})
	lines := regexp.MustCompile(`: quarantine: worker=\S+ failures=[2-9] queue_failure_rate=0\.\d+ evidence=[3-6]\.\d+ left_ms=\d+`).FindAllString(log.String(), -1)
	if len(lines) == 0 || len(lines) > 10 {
		t.Errorf("got %d lines on quarantine, want 1 to 10", len(lines))
	}
}
