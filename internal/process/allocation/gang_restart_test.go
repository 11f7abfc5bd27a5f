package allocation_test

import (
	"testing"
	"time"

	"corianderpass/internal/process/workload"
)

// submitGang submits an urgent gang whose members take a whole worker each.
func (f *fixture) submitGang(members, attempts int, sameRack bool) {
	f.t.Helper()
	s := step(members, 8, 2*time.Second)
	s.Gang, s.SameRack = true, sameRack
	f.mustApply(workload.Record{Submit: &workload.Submit{Spec: workload.JobSpec{
		ID: "gang", Queue: "queue0", Organisation: "org", Service: "service", Attempts: attempts, Stretch: 2, Steps: []workload.StepSpec{s},
	}}})
}

// failMember fails the run of the member with the index; the other members are then being stopped.
func (f *fixture) failMember(index int) (failedOn workload.LifeID) {
	f.t.Helper()
	f.endWhere(func(r workload.TaskRef, task *workload.Task) (workload.RunOutcome, bool) {
		if r.Job != "gang" || r.Index != index {
			return "", false
		}
		failedOn = task.Worker
		f.history.RecordFailure(f.state.Job(r.Job), r, task.Worker)
		return workload.RunFailed, true
	})
	return failedOn
}

// While the members of a failed gang are being stopped, jobs of lower rank must not start on the
// capacity of those that have stopped already. The gang would then wait for them or stop them.
// While a job of higher rank waits, no capacity is kept, since that job may need it.
func TestFailedGangKeepsCapacityUntilItRestarts(t *testing.T) {
	for _, higherWaits := range []bool{false, true} {
		f := newFixture(t, 3, 8)
		f.submitGang(3, 3, false)
		f.decide()
		f.submit("batch", 2, step(3, 8, 10*time.Second))
		if higherWaits {
			f.submit("fits nowhere", 0, step(1, 9, 100*time.Millisecond))
		}
		f.failMember(1)
		d := f.decide()
		kept := len(d.Restarts) == 1 && d.Restarts[0].Reserved && d.Restarts[0].Stopping == 2
		if kept == higherWaits || kept == (f.running("batch") > 0) {
			t.Fatalf("higher rank waits %v: got %d runs of the other job, restarts %+v", higherWaits, f.running("batch"), d.Restarts)
		}
		f.endStopping()
		f.decide()
		if n := f.running("gang"); n != 3 && kept {
			t.Errorf("got %d members running after the last one had stopped, want 3", n)
		}
	}
}

// If a failed gang needs capacity of other runs, these must be stopped at the same time as its own
// members and not after them, since every stop takes hundreds of milliseconds.
func TestFailedGangPreemptsWhileItsMembersStop(t *testing.T) {
	f := newFixture(t, 3, 8)
	f.submitGang(2, 2, false)
	f.decide()
	f.submit("batch", 2, step(1, 8, 10*time.Second))
	f.decide()
	f.decide()
	failedOn := f.failMember(0)
	if stops := len(f.decide().Stops); stops != 1 {
		t.Fatalf("got %d stops while a member of the gang is being stopped, want 1", stops)
	}
	f.endStopping()
	f.decide()
	if n := f.running("gang"); n != 2 || f.state.Worker(failedOn).CountRuns("gang", 0, 0) > 0 {
		t.Errorf("got %d members running, want 2 on other workers than that of the failure", n)
	}
}

// No capacity may be kept for a failed gang while one of its members is on a worker that does not
// answer: until the member's lease has expired, several seconds, the capacity would be idle.
func TestFailedGangOnSilentWorkerKeepsNoCapacity(t *testing.T) {
	f := newFixture(t, 3, 8)
	f.submitGang(2, 3, false)
	f.decide()
	f.failMember(0)
	for life, w := range f.state.Workers() {
		if len(w.Runs) > 0 {
			f.mustApply(workload.Record{Suspect: &workload.Suspect{Life: life, Term: 1}})
		}
	}
	f.submit("batch", 2, step(2, 8, 10*time.Second))
	if f.decide(); f.running("batch") != 2 {
		t.Errorf("got %d runs of the other job, want 2 on the free workers", f.running("batch"))
	}
}

// An urgent gang with two attempts must not use a worker on which the last run has failed while there
// are others, whether it may spread or wants one rack. A single faulty member fails the whole gang.
// A gang with three attempts chooses by capacity alone.
func TestGangWithTwoAttemptsAvoidsWorkerWithFailures(t *testing.T) {
	for _, c := range []struct {
		members, attempts int
		sameRack, avoids  bool
	}{{2, 2, false, true}, {2, 2, true, true}, {3, 2, true, true}, {3, 2, false, true}, {2, 3, false, false}} {
		f := newFixture(t, 6, 8)
		f.submit("failing", 1, step(1, 8, time.Second))
		f.decide()
		var failing workload.LifeID
		f.endWhere(func(_ workload.TaskRef, task *workload.Task) (workload.RunOutcome, bool) {
			failing = task.Worker
			return workload.RunFailed, true
		})
		f.mustApply(workload.Record{Cancel: &workload.Cancel{Job: "failing"}})
		f.submitGang(c.members, c.attempts, c.sameRack)
		f.decide()
		if n := f.state.Worker(failing).CountRuns("gang", 0, 0); (n == 0) != c.avoids || f.running("gang") != c.members {
			t.Errorf("%+v: got %d of %d members on the worker with a failure, want it avoided: %v", c, n, f.running("gang"), c.avoids)
		}
	}
}
