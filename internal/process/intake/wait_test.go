package intake_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/intake"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/standin"
	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

// call submits a job of the priority as the HTTP layer does. A call has a deadline of 3 s, less the travel time of
// the answer. The results include the time taken.
func (d *fixture) call(t *testing.T, id string, priority int) (time.Duration, error) {
	started := d.now()
	ctx, cancel := context.WithTimeout(t.Context(), 2850*time.Millisecond)
	defer cancel()
	_, err := d.AuthoriseOrWait(ctx, "host", "/closed/"+id, "token")
	if err == nil {
		spec := job(id)
		spec.Priority = priority
		err = d.Submit(ctx, spec)
	}
	return d.now() - started, err
}

// The failure: the log refuses every call, or answers none, and callers use up their four retries before it
// is back, or come back long after it is. 40 callers arrive during the outage, a quarter of them urgent. A
// call must have an unknown fate only if its record was sent.
func TestCallersAreServedAfterOutage(t *testing.T) {
	for _, c := range []struct {
		faults standin.LogFaults
		length time.Duration
	}{
		{standin.LogFaults{Down: true}, 4500 * time.Millisecond},
		{standin.LogFaults{Down: true}, 10 * time.Second},
		{standin.LogFaults{Down: true}, 300 * time.Millisecond},
		{standin.LogFaults{Delay: 4500 * time.Millisecond}, 4500 * time.Millisecond},
	} {
		withIntake(t, func(t *testing.T, d *fixture) {
			d.followLog = true
			d.log.SetFaults(c.faults)
			end := time.Now().Add(c.length)
			var callers sync.WaitGroup
			for i := range 40 {
				callers.Go(func() {
					time.Sleep(c.length * time.Duration(i) / 40)
					for range 5 {
						_, err := d.call(t, fmt.Sprint("job", i), min(i%4, 1))
						if err == nil && time.Since(end) <= min(3*c.length, 5*time.Second) {
							return
						}
						var refusal *intake.RetryError
						if errors.As(err, &refusal) {
							time.Sleep(refusal.After)
						} else if c.faults.Down || !errors.Is(err, intake.ErrUnknownFate) {
							t.Errorf("outage %+v of %v, job %d: got %v %v after the outage", c.faults, c.length, i, err, time.Since(end))
						}
					}
					t.Errorf("outage %+v of %v: job %d was not served", c.faults, c.length, i)
				})
			}
			time.Sleep(c.length)
			d.log.SetFaults(standin.LogFaults{})
			callers.Wait()
			if began, ended := strings.Count(d.lines.String(), "log is unavailable"), strings.Count(d.lines.String(), "log is available again"); began != 1 || ended != 1 {
				t.Errorf("outage %+v of %v: got %d lines on its begin and %d on its end, want one each", c.faults, c.length, began, ended)
			}
		})
	}
}

// The failure: calls that wait, also cancellations, learn late that the log is back, or urgent ones are recorded
// behind others.
func TestWaitingCallsContinueWhenLogIsBack(t *testing.T) {
	withIntake(t, func(t *testing.T, d *fixture) {
		if _, err := d.call(t, "cancelled", 0); err != nil {
			t.Fatal(err)
		}
		d.log.SetFaults(standin.LogFaults{Down: true})
		served := make([]time.Duration, 20)
		var callers sync.WaitGroup
		for i := range served {
			callers.Go(func() {
				var err error
				if served[i], err = d.call(t, fmt.Sprint("job", i), i%2); err != nil {
					t.Errorf("job %d: got %v, want no error", i, err)
				}
			})
		}
		time.AfterFunc(900*time.Millisecond, func() { d.log.SetFaults(standin.LogFaults{}) })
		if err := d.Cancel(t.Context(), grant(), "cancelled"); err != nil {
			t.Errorf("cancel: got %v, want no error", err)
		}
		callers.Wait()
		for i, took := range served {
			if took > 1300*time.Millisecond || i%2 == 1 && took <= served[0] {
				t.Errorf("call %d of priority %d took %v, want at most 400ms after the outage of 900ms, and more than the %v of an urgent call", i, i%2, took, served[0])
			}
		}
	})
}

// The failure: a call is kept waiting though the log is not expected to be back before its deadline, or its
// caller is told to come back after a second. The outage shows only in the age of the state and the bundle.
func TestCallIsRefusedOnceLogIsNotExpectedInTime(t *testing.T) {
	withIntake(t, func(t *testing.T, d *fixture) {
		d.followLog = true
		d.log.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(5500 * time.Millisecond)
		took, err := d.call(t, "late", 0)
		var refusal *intake.RetryError
		if !errors.As(err, &refusal) || !errors.Is(err, intake.ErrNotReady) || refusal.After != 2*time.Second || took > 50*time.Millisecond {
			t.Errorf("got %v after %v, want ErrNotReady with a delay of 2s immediately", err, took)
		}
	})
}

// The failure: the log refuses one append and accepts the next one, and the call is refused since no outage is
// known any more.
func TestRefusedAppendCountsThoughLogIsBack(t *testing.T) {
	withIntake(t, func(t *testing.T, d *fixture) {
		d.Observe(fmt.Errorf("%w: %w", journal.ErrNotAppended, platform.ErrThrottled))
		if d.Observe(nil); strings.Count(d.lines.String(), "available again: cause=Throttled") != 1 {
			t.Errorf("got lines %q, want the end of an outage", d.lines.String())
		}
	})
}

// The failure: the log answers no call, and a call whose record was sent, or a later call for the same job, is
// told that the job never runs; or a job is stored whose caller was told so; or a call waits though it cannot be
// served in time.
func TestRefusedJobIsNeverStored(t *testing.T) {
	withIntake(t, func(t *testing.T, d *fixture) {
		d.log.SetFaults(standin.LogFaults{Delay: 7 * time.Second})
		var callers sync.WaitGroup
		for i := range 10 {
			callers.Go(func() {
				// The record of the first call is sent alone; the others wait for the result of its append.
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				took, err := d.call(t, fmt.Sprint("job", i), 0)
				if i == 0 && !errors.Is(err, intake.ErrUnknownFate) || i > 0 && (!errors.Is(err, intake.ErrNotStored) || took > 2*time.Second) {
					t.Errorf("call %d: got %v after %v, want ErrUnknownFate for the first and ErrNotStored within 2s for the others", i, err, took)
				}
			})
		}
		callers.Wait()
		if _, err := d.call(t, "job0", 0); !errors.Is(err, intake.ErrUnknownFate) {
			t.Errorf("second call for the first job: got %v, want ErrUnknownFate", err)
		}
		d.log.SetFaults(standin.LogFaults{})
		time.Sleep(10 * time.Second)
		if _, err := d.call(t, "job0", 0); err != nil {
			t.Errorf("call for the first job after the outage: got %v, want no error", err)
		}
		for i := range 9 {
			if _, err := d.Status(grant(), workload.JobID(fmt.Sprint("job", i+1))); !errors.Is(err, intake.ErrNoJob) {
				t.Errorf("status of refused job %d: got %v, want ErrNoJob", i+1, err)
			}
		}
	})
}

// The failure: the log is known to be down before an entry has proposed any submission, and the first call makes
// the entry panic instead of getting a refusal or, once the log is back, an answer.
func TestFirstCallInOutage(t *testing.T) {
	withIntake(t, func(t *testing.T, d *fixture) {
		d.log.SetFaults(standin.LogFaults{Down: true})
		if err := d.journal.Propose(t.Context(), workload.Record{Join: &workload.Join{}}); !errors.Is(err, journal.ErrNotAppended) {
			t.Fatalf("got error %v, want that the record was not appended", err)
		}
		if _, err := d.call(t, "first", 0); !errors.Is(err, intake.ErrNotStored) {
			t.Errorf("got error %v, want that the job was not stored", err)
		}
		d.log.SetFaults(standin.LogFaults{})
		time.Sleep(time.Second)
		if _, err := d.call(t, "first", 0); err != nil {
			t.Errorf("got error %v after the outage, want none", err)
		}
	})
}
