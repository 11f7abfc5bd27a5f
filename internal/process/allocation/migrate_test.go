package allocation_test

import (
	"testing"
	"time"

	"corianderpass/internal/process/allocation"
	"corianderpass/internal/process/workload"
)

// A minion hangs with one member of an urgent gang, and no other run shows that it does. The gang must move as
// soon as another member makes progress, onto the capacity of its other member and one free worker. If it
// waited for two free workers, or for the lease of the hung one, it would be late on a busy installation.
func TestGangLeavesHungMinion(t *testing.T) {
	f := newFixture(t, 3, 8)
	gang := step(2, 8, 2*time.Second)
	gang.Gang = true
	f.submit("urgent", 0, gang)
	f.decide()
	f.history.Update(f.state, f.now, time.UnixMilli(f.now.Milliseconds()))
	f.now += time.Second
	hung := f.state.WorkersOf(workload.TaskRef{Job: "urgent", Index: 0})[0]
	for _, w := range f.state.Workers() {
		for r, run := range w.Runs {
			remaining := time.Second
			if w.Life == hung {
				remaining = allocation.NoProgress
			}
			f.history.SetRemaining(r, run, remaining, f.now)
		}
	}
	if n := len(f.decide().Stops); n != 1 {
		t.Fatalf("got %d stops, want that of the gang", n)
	}
	f.endStopping()
	f.decide()
	if n := f.running("urgent"); n != 2 || len(f.state.Worker(hung).Runs) > 0 {
		t.Errorf("got %d members running, %d of them on the hung minion, want 2 on others", n, len(f.state.Worker(hung).Runs))
	}
}

// No member of a gang makes progress, since one of them has not started yet. Their workers must not count as
// slow: the gang would move to the free workers and wait there again.
func TestGangThatWaitsForMemberDoesNotMove(t *testing.T) {
	f := newFixture(t, 4, 8)
	gang := step(2, 8, 2*time.Second)
	gang.Gang = true
	f.submit("urgent", 0, gang)
	f.decide()
	f.projectAll(allocation.NoProgress)
	if d := f.decide(); len(d.Stops) > 0 {
		t.Errorf("got %d stops, want none", len(d.Stops))
	}
}
