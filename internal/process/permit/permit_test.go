package permit_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"corianderpass/internal/process/permit"
	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
)

// adviser lets steps run on one worker.
type adviser struct {
	asked, failing atomic.Int32
	good           workload.LifeID
}

func (a *adviser) Advise(ctx context.Context, _ workload.StepRef, workers []workload.LifeID) (map[workload.LifeID]workload.Permit, error) {
	a.asked.Add(1)
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(50 * time.Millisecond):
	}
	if a.failing.Add(-1) >= 0 {
		return nil, errors.New("no answer")
	}
	good := map[workload.LifeID]workload.Permit{}
	for _, w := range workers {
		if w == a.good {
			good[w] = "leave"
		}
	}
	return good, nil
}

func TestPermitsHoldForTheirTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		a := &adviser{good: "good"}
		r := permit.New(a, func() time.Duration { return time.Since(begun) + time.Hour }, hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(t.Context())
		ended := r.Start(ctx)
		step := workload.StepRef{Job: "job"}
		want := permit.Query{
			Step: step, Workers: []workload.LifeID{"good", "bad"},
			Rules: bundle.PermitRules{Decide: bundle.Duration(40 * time.Millisecond), Valid: bundle.Duration(4 * time.Second)},
		}
		a.failing.Store(1)
		r.SetQueries([]permit.Query{want})
		time.Sleep(time.Second)
		if r.Answered(step, "good") {
			t.Error("a question without an answer counts as asked")
		}
		r.SetQueries([]permit.Query{want})
		<-r.Changed()
		if leave, in := r.Lookup(step, "good"); !in || leave != "leave" {
			t.Errorf("good has %q, %v", leave, in)
		}
		if _, in := r.Lookup(step, "bad"); in || !r.Answered(step, "bad") || r.Answered(step, "other") {
			t.Error("bad has a permit or was not asked for, or other was")
		}
		time.Sleep(3500 * time.Millisecond)
		if _, in := r.Lookup(step, "good"); in || r.Answered(step, "good") {
			t.Error("a permit is used until its last moment")
		}
		if !r.Answered(step, "bad") {
			t.Error("a worker without a permit is asked for again, though that does not change")
		}
		r.Retain(func(workload.StepRef) bool { return false })
		if r.Answered(step, "bad") {
			t.Error("a forgotten step is remembered")
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}
