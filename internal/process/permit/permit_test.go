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

// adviser gives permits for one worker only. calls counts its calls; failing is the number of the
// next calls that fail.
type adviser struct {
	calls, failing atomic.Int32
	permitted      workload.LifeID
}

func (a *adviser) Advise(ctx context.Context, _ workload.StepRef, workers []workload.LifeID) (map[workload.LifeID]workload.Permit, error) {
	a.calls.Add(1)
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(50 * time.Millisecond):
	}
	if a.failing.Add(-1) >= 0 {
		return nil, errors.New("no answer")
	}
	permits := map[workload.LifeID]workload.Permit{}
	for _, w := range workers {
		if w == a.permitted {
			permits[w] = "leave"
		}
	}
	return permits, nil
}

// A permit must be used only until shortly before it expires, since the worker rejects an expired
// permit. A negative answer must be kept, since the same query would be sent again and again
// otherwise. A failed query must not count as an answer, since it would never be repeated.
func TestAnswersAreKeptWhileValid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		a := &adviser{permitted: "good"}
		cache := permit.New(a, func() time.Duration { return time.Since(started) + time.Hour }, hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(t.Context())
		done := cache.Start(ctx)
		step := workload.StepRef{Job: "job"}
		query := permit.Query{
			Step: step, Workers: []workload.LifeID{"good", "bad"},
			Rules: bundle.PermitRules{Decide: bundle.Duration(40 * time.Millisecond), Valid: bundle.Duration(4 * time.Second)},
		}
		a.failing.Store(1)
		cache.SetQueries([]permit.Query{query})
		time.Sleep(time.Second)
		if cache.Answered(step, "good") {
			t.Error("got an answer from a query that failed, want none")
		}
		cache.SetQueries([]permit.Query{query})
		<-cache.Changed()
		if permitted, ok := cache.Lookup(step, "good"); !ok || permitted != "leave" {
			t.Errorf("worker good: got permit %q, %v, want leave, true", permitted, ok)
		}
		if _, ok := cache.Lookup(step, "bad"); ok || !cache.Answered(step, "bad") || cache.Answered(step, "other") {
			t.Error("got a permit or no answer for worker bad, or an answer for worker other; want a negative answer for bad and none for other")
		}
		time.Sleep(3500 * time.Millisecond)
		if _, ok := cache.Lookup(step, "good"); ok || cache.Answered(step, "good") {
			t.Error("got the permit of worker good less than 1s before its expiry, want it dropped by then")
		}
		if !cache.Answered(step, "bad") {
			t.Error("got no answer for worker bad, want the negative answer kept")
		}
		cache.Retain(func(workload.StepRef) bool { return false })
		if cache.Answered(step, "bad") {
			t.Error("got an answer for a step that Retain removed, want none")
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
