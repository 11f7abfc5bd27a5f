package scheduler_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/runner"
	"corianderpass/internal/process/standin"
	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
)

// permitTime is how long permits hold in the test world.
const permitTime = 3 * time.Second

// testAdviser lets restricted steps run on some minions only.
type testAdviser struct {
	mu sync.Mutex
	// good are the minions that may run restricted steps.
	good  map[runner.MinionID]bool
	asked int
	// silent advisers never answer.
	silent bool
	// refused counts the starts whose permit was not valid.
	refused int
}

func (a *testAdviser) Advise(ctx context.Context, step workload.StepRef, workers []workload.LifeID) (map[workload.LifeID]workload.Permit, error) {
	a.mu.Lock()
	a.asked++
	silent := a.silent
	a.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, errors.New("no answer")
	}
	time.Sleep(20*time.Millisecond + time.Duration(len(workers))*5*time.Millisecond)
	a.mu.Lock()
	defer a.mu.Unlock()
	good := map[workload.LifeID]workload.Permit{}
	for _, w := range workers {
		if a.good[runner.MinionOf(w)] {
			good[w] = workload.Permit(fmt.Sprint(step, "|", w, "|", time.Now().UnixMilli()))
		}
	}
	return good, nil
}

// permitted judges a start as a minion does. Jobs of other names need no permit.
func (a *testAdviser) permitted(m *standin.TaskMinion, o runner.Start) bool {
	if !strings.HasPrefix(string(o.Task.Job), "restricted") {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	parts := strings.Split(string(o.Permit), "|")
	if len(parts) != 3 || parts[0] != o.Task.StepRef().String() || runner.MinionOf(workload.LifeID(parts[1])) != m.ID {
		a.refused++
		return false
	}
	given, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || time.Since(time.UnixMilli(given)) > permitTime {
		a.refused++
		return false
	}
	return true
}

func (a *testAdviser) allow(ids ...runner.MinionID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.good = map[runner.MinionID]bool{}
	for _, id := range ids {
		a.good[id] = true
	}
}

func (a *testAdviser) counts() (asked, refused int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.asked, a.refused
}

// restricted returns a job whose queue needs permits.
func restricted(id string, tasks int) workload.JobSpec {
	s := spec("restricted-"+id, tasks, small())
	s.Permits = bundle.PermitRules{Decide: bundle.Duration(20 * time.Millisecond), Each: bundle.Duration(5 * time.Millisecond), Valid: bundle.Duration(permitTime)}
	return s
}

func TestRestrictedStepsRunWhereTheyMay(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.addWorker(room())
		w.addWorker(room())
		w.addWorker(room())
		w.adviser.allow("minion1")
		time.Sleep(4 * time.Second)
		w.takesAlways(time.Second)
		// Three turns on the only worker, longer than a permit holds.
		w.submit(restricted("job", 36))
		w.submit(spec("free", 16, small()))
		w.await("free", workload.OutcomeCompleted, 5*time.Second)
		w.await("restricted-job", workload.OutcomeCompleted, 10*time.Second)
		asked, refused := w.adviser.counts()
		if asked > 4 || refused > 0 {
			t.Errorf("%d questions, %d starts without a valid permit", asked, refused)
		}
	})
}

// The failure: the leader's questions stay without an answer. Another entry asks.
func TestAnotherEntryAsksForPermitsIfTheLeaderIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.stop()
		first := w.addEntry()
		w.addWorker(room())
		time.Sleep(4 * time.Second)
		w.adviser.allow("minion0")
		w.submit(spec("before", 1, small()))
		w.await("before", workload.OutcomeCompleted, 5*time.Second)
		second := w.addEntry()
		time.Sleep(2 * time.Second)
		w.adviser.mu.Lock()
		w.adviser.silent = true
		w.adviser.mu.Unlock()
		w.submit(restricted("job", 2))
		time.Sleep(time.Second)
		first.stop()
		w.entries = []*testEntry{second}
		w.adviser.mu.Lock()
		w.adviser.silent = false
		w.adviser.mu.Unlock()
		w.await("restricted-job", workload.OutcomeCompleted, 8*time.Second)
	})
}

// The failure: two entries that both wait for an adviser took the lead from each
// other again and again.
func TestALeaderThatWaitsForAnAdviserKeepsTheLead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.stop()
		first := w.addEntry()
		w.addEntry()
		w.addWorker(room())
		time.Sleep(4 * time.Second)
		w.submit(spec("before", 1, small()))
		w.await("before", workload.OutcomeCompleted, 5*time.Second)
		w.adviser.mu.Lock()
		w.adviser.silent = true
		w.adviser.mu.Unlock()
		w.submit(restricted("job", 2))
		before := first.leads()
		for range 30 {
			time.Sleep(time.Second)
			if first.leads() != before {
				t.Fatalf("the lead changed after %v", w.clock())
			}
		}
	})
}
