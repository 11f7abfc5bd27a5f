package gang_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"corianderpass/internal/process/gang"
	"corianderpass/pkg/platform"
)

// slowWorkers answers each renewal just before the timeout of the call.
type slowWorkers struct{ platform.Workers }

func (slowWorkers) Renew(_ context.Context, _ platform.WorkerID, renewals []platform.Renewal) ([]platform.TaskReport, error) {
	time.Sleep(1900 * time.Millisecond)
	return []platform.TaskReport{{ID: renewals[0].ID}}, nil
}

// The gang is older than an hour, so that its lease is renewed as rarely as possible. Its end is
// known with the next report, which must arrive within a minute of any moment, even if the
// worker answers slowly and a tick has just passed when the renewal becomes due.
func TestReportsOfOldGangFollowWithinAMinute(t *testing.T) {
	const tickInterval = 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		r := gang.NewRenewer(slowWorkers{})
		var lastReport time.Time
		longest := time.Duration(0)
		r.Add("w", "lease", time.Now().Add(-2*time.Hour), func() {
			if !lastReport.IsZero() {
				longest = max(longest, time.Since(lastReport))
			}
			lastReport = time.Now()
		})
		for range 6 * time.Minute / tickInterval {
			r.Tick(t.Context(), time.Now())
			time.Sleep(tickInterval)
		}
		// A run that ends just after a renewal has reached its worker is reported by the next.
		if delay := longest + 1900*time.Millisecond; longest == 0 || delay > time.Minute {
			t.Errorf("got %v from the end of a task to its report at worst, want a minute at most", delay)
		}
	})
}
