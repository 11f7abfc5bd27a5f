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

// permitValidity is how long the permits of a testAdviser are valid.
const permitValidity = 3 * time.Second

// testAdviser gives permits for the workers of some minions. It is safe for concurrent
// use.
type testAdviser struct {
	mu sync.Mutex
	// allowed holds the minions that may run restricted steps.
	allowed map[runner.MinionID]bool
	// queries counts the calls of Advise.
	queries int
	// unresponsive is true while the adviser does not answer.
	unresponsive bool
	// refusedStarts counts the starts without a valid permit.
	refusedStarts int
}

func (a *testAdviser) Advise(ctx context.Context, step workload.StepRef, workers []workload.LifeID) (map[workload.LifeID]workload.Permit, error) {
	a.mu.Lock()
	a.queries++
	unresponsive := a.unresponsive
	a.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, errors.New("no answer")
	}
	time.Sleep(20*time.Millisecond + time.Duration(len(workers))*5*time.Millisecond)
	a.mu.Lock()
	defer a.mu.Unlock()
	permits := map[workload.LifeID]workload.Permit{}
	for _, w := range workers {
		if a.allowed[runner.MinionOf(w)] {
			permits[w] = workload.Permit(fmt.Sprint(step, "|", w, "|", time.Now().UnixMilli()))
		}
	}
	return permits, nil
}

// acceptsStart reports whether a minion accepts a start. Only jobs whose ID starts with
// "restricted" need a permit.
func (a *testAdviser) acceptsStart(m *standin.TaskMinion, start runner.Start) bool {
	if !strings.HasPrefix(string(start.Task.Job), "restricted") {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	parts := strings.Split(string(start.Permit), "|")
	if len(parts) != 3 || parts[0] != start.Task.StepRef().String() || runner.MinionOf(workload.LifeID(parts[1])) != m.ID {
		a.refusedStarts++
		return false
	}
	issued, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || time.Since(time.UnixMilli(issued)) > permitValidity {
		a.refusedStarts++
		return false
	}
	return true
}

func (a *testAdviser) allow(ids ...runner.MinionID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allowed = map[runner.MinionID]bool{}
	for _, id := range ids {
		a.allowed[id] = true
	}
}

func (a *testAdviser) counts() (queries, refused int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queries, a.refusedStarts
}

// restricted returns a job that needs permits. Its ID is id after "restricted-".
func restricted(id string, tasks int) workload.JobSpec {
	s := spec("restricted-"+id, tasks, smallTask())
	s.Permits = bundle.PermitRules{Decide: bundle.Duration(20 * time.Millisecond), Each: bundle.Duration(5 * time.Millisecond), Valid: bundle.Duration(permitValidity)}
	return s
}

// Permits expire while tasks still wait for the only permitted worker. If the scheduler used
// expired permits the minion would refuse starts, and if it sent a query for each task the
// adviser would be overloaded.
func TestRestrictedStepsRunOnlyOnPermittedWorkers(t *testing.T) {
	withInstallation(t, func(t *testing.T, in *installation) {
		in.addWorker(workerCapacity())
		in.addWorker(workerCapacity())
		in.addWorker(workerCapacity())
		in.adviser.allow("minion1")
		time.Sleep(4 * time.Second)
		in.setDuration(time.Second)
		// The only permitted worker has 8 accelerators, so the 36 tasks of 1 s take longer
		// than a permit is valid.
		in.submit(restricted("job", 36))
		in.submit(spec("free", 16, smallTask()))
		in.await("free", workload.OutcomeCompleted, 5*time.Second)
		in.await("restricted-job", workload.OutcomeCompleted, 10*time.Second)
		queries, refused := in.adviser.counts()
		if queries > 4 || refused > 0 {
			t.Errorf("got %d queries and %d starts without a valid permit, want at most 4 and 0", queries, refused)
		}
	})
}

// The leader stops while its query to the adviser is unanswered. The next leader must
// send the query again, or the step never starts.
func TestNewLeaderRepeatsPermitQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(t)
		defer in.stop()
		first := in.addEntry()
		in.addWorker(workerCapacity())
		time.Sleep(4 * time.Second)
		in.adviser.allow("minion0")
		in.submit(spec("before", 1, smallTask()))
		in.await("before", workload.OutcomeCompleted, 5*time.Second)
		second := in.addEntry()
		time.Sleep(2 * time.Second)
		in.adviser.mu.Lock()
		in.adviser.unresponsive = true
		in.adviser.mu.Unlock()
		in.submit(restricted("job", 2))
		time.Sleep(time.Second)
		first.stop()
		in.entries = []*testEntry{second}
		in.adviser.mu.Lock()
		in.adviser.unresponsive = false
		in.adviser.mu.Unlock()
		in.await("restricted-job", workload.OutcomeCompleted, 8*time.Second)
	})
}

// While a leader waits for an adviser it has no decision to propose. Two entries that both
// waited once took over leadership from each other again and again.
func TestLeaderWaitingForAdviserStaysLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(t)
		defer in.stop()
		first := in.addEntry()
		in.addEntry()
		in.addWorker(workerCapacity())
		time.Sleep(4 * time.Second)
		in.submit(spec("before", 1, smallTask()))
		in.await("before", workload.OutcomeCompleted, 5*time.Second)
		in.adviser.mu.Lock()
		in.adviser.unresponsive = true
		in.adviser.mu.Unlock()
		in.submit(restricted("job", 2))
		before := first.leads()
		for range 30 {
			time.Sleep(time.Second)
			if first.leads() != before {
				t.Fatalf("leader changed after %v while it waited for the adviser, want no change", in.clock())
			}
		}
	})
}
