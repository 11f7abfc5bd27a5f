package intake_test

import (
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
)

// desk is an intake with its log, in virtual time.
type desk struct {
	*intake.Service
	log *standin.Log
	// proven is the age of the bundle.
	age  time.Duration
	now  func() time.Duration
	none bool
}

// ConfirmedAt implements intake.BundleFreshness.
func (d *desk) ConfirmedAt() (time.Duration, bool) { return d.now() - d.age, !d.none }

func atDesk(t *testing.T, f func(t *testing.T, d *desk)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		d := &desk{log: &standin.Log{}, now: func() time.Duration { return time.Since(begun) + time.Hour }}
		register := &bundle.Register{}
		register.Adopt(3, &bundle.Bundle{
			Organisations: []bundle.Organisation{{Name: "org", TokenDigests: []string{bundle.DigestToken("token")}}},
			Queues: []bundle.Queue{
				{Name: "closed", Host: "host", PathPrefix: "/closed/", Service: "s", Attempts: 1},
				{Name: "open", Host: "host", PathPrefix: "/open/", Service: "s", Attempts: 1, Public: true},
			},
		})
		state := workload.NewState()
		j := journal.New(&standin.KeyedLog{Log: d.log, Kept: &standin.Kept{}, Writer: "entry"}, "Workload",
			incarnation.New("entry", time.Now()), journal.Machine[workload.Record](state), journal.Options{
				Clock: d.now, SnapshotEvery: 40, ReadWait: time.Second, AppendTimeout: 700 * time.Millisecond,
				MaySnapshot: func() bool { return false },
			})
		d.Service = intake.New(intake.Settings{MaxAcceptAge: 4 * time.Second, MaxRefuseAge: 2 * time.Second},
			j, state, register, d, d.now, hclog.NewNullLogger(), metrics.NewSet())
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

func TestTokensAreJudgedByABundleThatIsYoungEnough(t *testing.T) {
	atDesk(t, func(t *testing.T, d *desk) {
		for _, c := range []struct {
			name, path, token string
			age               time.Duration
			want              error
		}{
			{"good", "/closed/1", "token", 0, nil},
			{"good, bundle just young enough", "/closed/1", "token", 4 * time.Second, nil},
			{"good, but perhaps removed", "/closed/1", "token", 5 * time.Second, intake.ErrNotReady},
			{"unknown", "/closed/1", "other", 0, intake.ErrUnauthorised},
			{"unknown, but perhaps added", "/closed/1", "other", 3 * time.Second, intake.ErrNotReady},
			{"public", "/open/1", "", time.Hour, nil},
			{"no queue", "/none/1", "token", 0, intake.ErrNoQueue},
			{"no queue, but perhaps added", "/none/1", "token", 3 * time.Second, intake.ErrNotReady},
		} {
			d.age = c.age
			if _, err := d.Authorise("host", c.path, c.token); !errors.Is(err, c.want) {
				t.Errorf("%s: %v, want %v", c.name, err, c.want)
			}
		}
		d.none = true
		if _, err := d.Authorise("host", "/open/1", ""); !errors.Is(err, intake.ErrNotReady) {
			t.Errorf("without any bundle: %v", err)
		}
		if ready, _ := d.Ready(); ready {
			t.Error("ready without any bundle")
		}
	})
}

func job(id string) workload.JobSpec {
	return workload.JobSpec{
		ID: workload.JobID(id), Queue: "closed", Organisation: "org", Service: "s", Attempts: 1,
		Steps: []workload.StepSpec{{Tasks: 1, Need: workload.Resources{Cores: 1}}},
	}
}

func grant() intake.Grant {
	return intake.Grant{Queue: bundle.Queue{Name: "closed"}, Organisation: "org"}
}

func TestAJobIsTakenOnceAndToldOf(t *testing.T) {
	atDesk(t, func(t *testing.T, d *desk) {
		if _, err := d.Status(grant(), "a"); !errors.Is(err, intake.ErrNoJob) {
			t.Errorf("unknown job: %v", err)
		}
		for range 2 {
			if err := d.Submit(t.Context(), job("a")); err != nil {
				t.Fatal(err)
			}
		}
		if n := d.Pending("closed"); n != 1 {
			t.Errorf("%d jobs are pending", n)
		}
		other := job("a")
		other.Organisation = "other"
		if err := d.Submit(t.Context(), other); !errors.Is(err, intake.ErrIDTaken) {
			t.Errorf("another organisation's ID: %v", err)
		}
		foreign := grant()
		foreign.Organisation = "other"
		if _, err := d.Status(foreign, "a"); !errors.Is(err, intake.ErrNoJob) {
			t.Errorf("another organisation's job: %v", err)
		}
		if err := d.Cancel(t.Context(), foreign, "a"); !errors.Is(err, intake.ErrNoJob) {
			t.Errorf("cancel of another organisation's job: %v", err)
		}
		for range 2 {
			if err := d.Cancel(t.Context(), grant(), "a"); err != nil {
				t.Errorf("cancel: %v", err)
			}
		}
		if s, err := d.Status(grant(), "a"); err != nil || s.Outcome != workload.OutcomeCancelled {
			t.Errorf("cancelled job: %+v, %v", s, err)
		}
		if err := d.Submit(t.Context(), workload.JobSpec{ID: "b"}); !errors.Is(err, workload.ErrInvalidJob) {
			t.Errorf("job without steps: %v", err)
		}
	})
}

// The failure: the log is down. A caller hears within a second or two that its job was
// not stored, and nothing is refused on old knowledge.
func TestWithoutTheLogNothingIsPromised(t *testing.T) {
	atDesk(t, func(t *testing.T, d *desk) {
		if err := d.Submit(t.Context(), job("before")); err != nil {
			t.Fatal(err)
		}
		d.log.SetFaults(standin.LogFaults{Down: true})
		begun := time.Now()
		if err := d.Submit(t.Context(), job("a")); !errors.Is(err, intake.ErrNotStored) {
			t.Errorf("submit: %v", err)
		}
		if took := time.Since(begun); took > 2*time.Second {
			t.Errorf("told after %v", took)
		}
		time.Sleep(3 * time.Second)
		for _, id := range []workload.JobID{"a", "before"} {
			if _, err := d.Status(grant(), id); !errors.Is(err, intake.ErrNotReady) {
				t.Errorf("status of %s: %v", id, err)
			}
		}
		if ready, why := d.Ready(); ready || why == "" {
			t.Errorf("ready: %t, %q", ready, why)
		}
		d.log.SetFaults(standin.LogFaults{})
		time.Sleep(3 * time.Second)
		if _, err := d.Status(grant(), "a"); !errors.Is(err, intake.ErrNoJob) {
			t.Errorf("status after the outage: %v", err)
		}
	})
}
