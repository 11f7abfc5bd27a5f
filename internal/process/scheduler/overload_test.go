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

// Far more jobs arrive than the worker can serve, for two minutes. Every accepted job must end,
// also those that are put off, and the log must name each delayed job a bounded number of times.
func TestOverloadedJobsEndAndAreLogged(t *testing.T) {
	var log strings.Builder
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(t)
		defer in.stop()
		in.logger = hclog.New(&hclog.LoggerOptions{Output: &log})
		in.addEntry()
		const jobs = 20
		in.addWorker(workerCapacity())
		time.Sleep(4 * time.Second)
		in.setDuration(2 * time.Second)
		for n := range jobs {
			s := spec(fmt.Sprint("job", n), 8, workload.Resources{Cores: 1000, Memory: 1, Accelerators: 4})
			s.Steps[0].Estimate, s.Stretch = 2*time.Second, 1
			in.setReservation(s)
			in.submit(s)
		}
		for n := range jobs {
			in.await(fmt.Sprint("job", n), workload.OutcomeCompleted, 5*time.Minute)
		}
	})
	lines := strings.Count(log.String(), "delayed: job=")
	// The jobs take about three minutes. Each is logged every two seconds at most.
	if lines == 0 || lines > 20*90 {
		t.Errorf("got %d lines on delayed jobs, want 1 to %d", lines, 20*90)
	}
}
