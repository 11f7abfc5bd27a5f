package intake_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/intake"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/standin"
	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// fixture is an intake with its log, in virtual time. It implements the BundleFreshness that the
// intake uses.
type fixture struct {
	*intake.Service
	log *standin.Log
	// reads is the log as the intake's journal sees it.
	reads *timeoutLog
	// age is the time since the bundle was confirmed.
	age time.Duration
	now func() time.Duration
	// noBundle is true if no bundle was ever confirmed.
	noBundle bool
	// followLog makes the bundle as old as the workload state: both come from the same log.
	followLog bool
	journal   *journal.Journal[workload.Record]
	// lines has the log lines of the intake.
	lines bytes.Buffer
}

// ConfirmedAt implements intake.BundleFreshness.
func (d *fixture) ConfirmedAt() (time.Duration, bool) {
	if d.followLog {
		return d.journal.CompleteAsOf()
	}
	return d.now() - d.age, !d.noBundle
}

// timeoutLog is a log whose reads time out as those of the platform's store do.
type timeoutLog struct {
	standin.KeyedLog
	// lag is how long the records of a read that waits for them are on their way.
	lag time.Duration
}

// Read implements platform.Log.
func (l *timeoutLog) Read(ctx context.Context, name platform.Stream, from platform.Offset, limit int, wait time.Duration) ([]platform.LogRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+700*time.Millisecond)
	defer cancel()
	records, err := l.KeyedLog.Read(ctx, name, from, limit, wait)
	if wait > 0 && len(records) > 0 {
		time.Sleep(l.lag)
	}
	return records, err
}

// withIntake runs f in virtual time with an intake that has read its log to the end.
func withIntake(t *testing.T, f func(t *testing.T, d *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		d := &fixture{log: &standin.Log{}, now: func() time.Duration { return time.Since(started) + time.Hour }}
		register := &bundle.Register{}
		register.Adopt(3, &bundle.Bundle{
			Organisations: []bundle.Organisation{{Name: "org", TokenDigests: []string{bundle.TokenDigest("token")}}},
			Queues: []bundle.Queue{
				{Name: "closed", Host: "host", PathPrefix: "/closed/", Service: "s", Attempts: 1},
				{Name: "open", Host: "host", PathPrefix: "/open/", Service: "s", Attempts: 1, Public: true},
			},
		})
		state := workload.NewState()
		d.reads = &timeoutLog{KeyedLog: standin.KeyedLog{Log: d.log, Index: &standin.KeyIndex{}, Writer: "entry"}}
		j := journal.New(d.reads, "Workload",
			incarnation.New("entry", time.Now()), journal.StateMachine[workload.Record](state), journal.Options{
				Clock: d.now, SnapshotEvery: 40, ReadWait: time.Second, AppendTimeout: 700 * time.Millisecond, CheckInterval: 250 * time.Millisecond,
				MaySnapshot: func() bool { return false },
			})
		d.Service = intake.New(intake.Settings{MaxAcceptAge: 4 * time.Second, MaxRefuseAge: 2 * time.Second},
			j, state, register, d, d.now, hclog.New(&hclog.LoggerOptions{Output: &d.lines}), metrics.NewSet())
		d.journal = j
		ctx, cancel := context.WithCancel(t.Context())
		ended := j.Start(ctx)
		time.Sleep(time.Second)
		f(t, d)
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// An entry that no longer receives bundles has an old one. It must not accept a token that may have
// been removed since then, nor refuse a token or queue that may have been added.
func TestAuthoriseRequiresFreshBundle(t *testing.T) {
	withIntake(t, func(t *testing.T, d *fixture) {
		for _, c := range []struct {
			name, path, token string
			age               time.Duration
			want              error
		}{
			{"good", "/closed/1", "token", 0, nil},
			{"good, bundle at the age limit", "/closed/1", "token", 4 * time.Second, nil},
			{"good, bundle too old", "/closed/1", "token", 5 * time.Second, intake.ErrNotReady},
			{"unknown", "/closed/1", "other", 0, intake.ErrUnauthorised},
			{"unknown, bundle too old to refuse", "/closed/1", "other", 3 * time.Second, intake.ErrNotReady},
			{"public", "/open/1", "", time.Hour, nil},
			{"no queue", "/none/1", "token", 0, intake.ErrNoQueue},
			{"no queue, bundle too old to refuse", "/none/1", "token", 3 * time.Second, intake.ErrNotReady},
		} {
			d.age = c.age
			if _, err := d.Authorise("host", c.path, c.token); !errors.Is(err, c.want) {
				t.Errorf("%s: got %v, want %v", c.name, err, c.want)
			}
		}
		d.noBundle = true
		if _, err := d.Authorise("host", "/open/1", ""); !errors.Is(err, intake.ErrNotReady) {
			t.Errorf("without a bundle: got %v, want ErrNotReady", err)
		}
		if ready, _ := d.Ready(); ready {
			t.Error("ready without a bundle, want not ready")
		}
	})
}

// job returns a valid specification of a job in queue closed of organisation org.
func job(id string) workload.JobSpec {
	return workload.JobSpec{
		ID: workload.JobID(id), Queue: "closed", Organisation: "org", Service: "s", Attempts: 1,
		Steps: []workload.StepSpec{{Tasks: 1, Need: workload.Resources{Cores: 1}}},
	}
}

// grant returns the grant for the jobs that the function job returns.
func grant() intake.Grant {
	return intake.Grant{Queue: bundle.Queue{Name: "closed"}, Organisation: "org"}
}

// A caller that gets no answer repeats its submit or cancel: the second call must succeed
// without a second effect. Other organisations must not see, cancel or replace the job.
func TestJobIsStoredOnceAndVisibleToOwnerOnly(t *testing.T) {
	withIntake(t, func(t *testing.T, d *fixture) {
		if _, err := d.Status(grant(), "a"); !errors.Is(err, intake.ErrNoJob) {
			t.Errorf("status of an unknown job: got %v, want ErrNoJob", err)
		}
		for range 2 {
			if err := d.Submit(t.Context(), job("a")); err != nil {
				t.Fatal(err)
			}
		}
		if n := d.Pending("closed"); n != 1 {
			t.Errorf("got %d pending jobs, want 1", n)
		}
		other := job("a")
		other.Organisation = "other"
		if err := d.Submit(t.Context(), other); !errors.Is(err, intake.ErrIDTaken) {
			t.Errorf("submit with another organisation's job ID: got %v, want ErrIDTaken", err)
		}
		foreign := grant()
		foreign.Organisation = "other"
		if _, err := d.Status(foreign, "a"); !errors.Is(err, intake.ErrNoJob) {
			t.Errorf("status of another organisation's job: got %v, want ErrNoJob", err)
		}
		if err := d.Cancel(t.Context(), foreign, "a"); !errors.Is(err, intake.ErrNoJob) {
			t.Errorf("cancel of another organisation's job: got %v, want ErrNoJob", err)
		}
		for range 2 {
			if err := d.Cancel(t.Context(), grant(), "a"); err != nil {
				t.Errorf("cancel: got %v, want no error", err)
			}
		}
		if s, err := d.Status(grant(), "a"); err != nil || s.Outcome != workload.OutcomeCancelled {
			t.Errorf("status of the cancelled job: got %+v, %v, want outcome cancelled", s, err)
		}
		if err := d.Submit(t.Context(), workload.JobSpec{ID: "b"}); !errors.Is(err, workload.ErrInvalidJob) {
			t.Errorf("submit of a job without steps: got %v, want ErrInvalidJob", err)
		}
	})
}

// While the log is down, the state of an entry gets old. Submit must return within two seconds
// that the job was not stored, and no job may be reported as unknown on the basis of old state.
func TestLogOutageGivesNoDefiniteAnswers(t *testing.T) {
	withIntake(t, func(t *testing.T, d *fixture) {
		if err := d.Submit(t.Context(), job("before")); err != nil {
			t.Fatal(err)
		}
		d.log.SetFaults(standin.LogFaults{Down: true})
		started := time.Now()
		if err := d.Submit(t.Context(), job("a")); !errors.Is(err, intake.ErrNotStored) {
			t.Errorf("submit while the log is down: got %v, want ErrNotStored", err)
		}
		if took := time.Since(started); took > 2*time.Second {
			t.Errorf("submit returned after %v, want 2s at most", took)
		}
		time.Sleep(3 * time.Second)
		for _, id := range []workload.JobID{"a", "before"} {
			if _, err := d.Status(grant(), id); !errors.Is(err, intake.ErrNotReady) {
				t.Errorf("status of %s while the log is down: got %v, want ErrNotReady", id, err)
			}
		}
		if ready, reason := d.Ready(); ready || reason == "" {
			t.Errorf("got ready %t with reason %q, want not ready with a reason", ready, reason)
		}
		d.log.SetFaults(standin.LogFaults{})
		time.Sleep(3 * time.Second)
		if _, err := d.Status(grant(), "a"); !errors.Is(err, intake.ErrNoJob) {
			t.Errorf("status after the outage: got %v, want ErrNoJob", err)
		}
	})
}

// addEntry starts the journal of another entry of the same log, and waits until it has read the log. stop ends it.
func (d *fixture) addEntry(t *testing.T) (log *standin.KeyedLog, j *journal.Journal[workload.Record], state *workload.State, stop func()) {
	t.Helper()
	log = &standin.KeyedLog{Log: d.log, Index: &standin.KeyIndex{}, Writer: "other"}
	state = workload.NewState()
	j = journal.New(log, "Workload", "other", journal.StateMachine[workload.Record](state), journal.Options{Clock: d.now})
	ctx, cancel := context.WithCancel(t.Context())
	ended := j.Start(ctx)
	time.Sleep(time.Second)
	return log, j, state, func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// A caller submits a job at one entry, gets no answer and cancels it at another one, which answers that there is no such
// job. The job must not run when the log carries out the submission: nobody cancels it any more.
func TestJobIsNotRunAfterCancelThatDidNotKnowIt(t *testing.T) {
	withIntake(t, func(t *testing.T, d *fixture) {
		log, j, state, stop := d.addEntry(t)
		defer stop()
		log.SetSilent(true)
		if _, err := j.Enqueue(workload.Record{Submit: &workload.Submit{Spec: job("a")}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		if err := d.Cancel(t.Context(), grant(), "a"); !errors.Is(err, intake.ErrNoJob) {
			t.Fatalf("cancel: got %v, want ErrNoJob", err)
		}
		log.SetSilent(false)
		time.Sleep(5 * time.Second)
		j.View(func(time.Time) {
			if got := state.Job("a"); got == nil || got.Outcome != workload.OutcomeCancelled {
				t.Errorf("got job %+v, want a cancelled one", got)
			}
		})
		if err := d.Submit(t.Context(), job("a")); err != nil {
			t.Errorf("repeated submission: got %v, want the job that was recorded", err)
		}
		if err := d.Cancel(t.Context(), grant(), "a"); err != nil {
			t.Errorf("repeated cancel: got %v, want no error", err)
		}
	})
}

// A job is accepted by another entry and cancelled here before this entry has read its record. The answer
// must not be that there is no such job: it would run although its caller has cancelled it.
func TestJobAcceptedElsewhereCanBeCancelled(t *testing.T) {
	withIntake(t, func(t *testing.T, d *fixture) {
		d.reads.lag = 500 * time.Millisecond
		_, j, state, stop := d.addEntry(t)
		defer stop()
		if err := j.Propose(t.Context(), workload.Record{Submit: &workload.Submit{Spec: job("a")}}); err != nil {
			t.Fatal(err)
		}
		if _, err := d.Status(grant(), "a"); !errors.Is(err, intake.ErrNoJob) {
			t.Fatalf("status: got %v, want an entry that does not know the job yet", err)
		}
		if err := d.Cancel(t.Context(), grant(), "a"); err != nil {
			t.Errorf("cancel: got %v, want no error", err)
		}
		if err := d.Cancel(t.Context(), grant(), "b"); !errors.Is(err, intake.ErrNoJob) {
			t.Errorf("cancel of a job that nobody has submitted: got %v, want ErrNoJob", err)
		}
		time.Sleep(3 * time.Second)
		j.View(func(time.Time) {
			if got := state.Job("a").Outcome; got != workload.OutcomeCancelled {
				t.Errorf("got outcome %q, want a cancelled job", got)
			}
		})
	})
}

// The fate of a submission is unknown, and its caller cancels the job. The answer must not be that there is no
// such job, since the submission may still take effect.
func TestUndecidedJobIsNotUnknownToCancel(t *testing.T) {
	withIntake(t, func(t *testing.T, d *fixture) {
		d.reads.SetSilent(true)
		call := func(f func(ctx context.Context) error) error {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			return f(ctx)
		}
		if err := call(func(ctx context.Context) error { return d.Submit(ctx, job("a")) }); !errors.Is(err, intake.ErrUnknownFate) {
			t.Fatalf("submit: got %v, want ErrUnknownFate", err)
		}
		err := call(func(ctx context.Context) error { return d.Cancel(ctx, grant(), "a") })
		if !errors.Is(err, intake.ErrNotStored) {
			t.Errorf("cancel: got %v, want ErrNotStored", err)
		}
		d.reads.SetSilent(false)
		time.Sleep(2 * time.Second)
		if err := call(func(ctx context.Context) error { return d.Cancel(ctx, grant(), "a") }); err != nil {
			t.Errorf("cancel after the outage: got %v, want no error", err)
		}
	})
}
