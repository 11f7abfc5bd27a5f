package workload_test

import (
	"fmt"
	"testing"
	"time"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/workload"
)

// applyAt applies the record at a time of the stream.
func (f *fixture) applyAt(at time.Duration, r workload.Record) {
	f.t.Helper()
	f.offset++
	if err := f.state.Apply(journal.Position{Offset: f.offset, Writer: "leader", Time: time.UnixMilli(0).Add(at)}, r); err != nil {
		f.t.Fatal(err)
	}
}

func earlyCancel(id workload.JobID) workload.Record {
	return workload.Record{Cancel: &workload.Cancel{Job: id, Queue: "q", Organisation: "o"}}
}

func ownedJob(id workload.JobID) workload.JobSpec {
	return workload.JobSpec{ID: id, Queue: "q", Organisation: "o", Service: "s", Attempts: 1, Steps: []workload.StepSpec{oneAcceleratorStep(1)}}
}

// wantOutcome checks the outcome of a job that is submitted at the time.
func (f *fixture) wantOutcome(at time.Duration, spec workload.JobSpec, want workload.Outcome) {
	f.t.Helper()
	f.applyAt(at, workload.Record{Submit: &workload.Submit{Spec: spec}})
	if got := f.state.Job(spec.ID).Outcome; got != want {
		f.t.Errorf("job %s of %s in %s: got outcome %q, want %q", spec.ID, spec.Organisation, spec.Queue, got, want)
	}
}

// A cancellation that comes before its job must hold in each copy of the state, also in one that begins with a snapshot:
// the job would run.
func TestCancelledJobThatComesLaterDoesNotRun(t *testing.T) {
	f := newFixture(t)
	f.applyAt(time.Second, earlyCancel("a"))
	data, err := f.state.MarshalSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	f.state = workload.NewState()
	if err := f.state.RestoreSnapshot(data); err != nil {
		t.Fatal(err)
	}
	f.wantOutcome(7*time.Second, ownedJob("a"), workload.OutcomeCancelled)
	if n := len(f.state.OpenJobs()); n != 0 {
		t.Errorf("got %d open jobs, want none", n)
	}
	f.wantError(f.place(ref("a", 0), 1, "w0"), workload.ErrJobEnded, "place")
}

// A cancellation must not end a job of another organisation or queue, which its caller can't see.
func TestEarlyCancelDoesNotEndJobsOfOthers(t *testing.T) {
	f := newFixture(t)
	for _, id := range []workload.JobID{"a", "b"} {
		f.applyAt(time.Second, earlyCancel(id))
	}
	a, b := ownedJob("a"), ownedJob("b")
	a.Organisation, b.Queue = "other", "other"
	f.wantOutcome(2*time.Second, a, workload.OutcomeOpen)
	f.wantOutcome(2*time.Second, b, workload.OutcomeOpen)
	f.wantError(f.apply("entry", earlyCancel("a")), workload.ErrUnknownJob, "cancel of a job of another organisation")
}

// Cancellations of jobs that never come must not fill the state, nor hold for an ID that is used again much later.
func TestEarlyCancelsAreForgotten(t *testing.T) {
	f := newFixture(t)
	f.applyAt(0, earlyCancel("late"))
	f.wantOutcome(11*time.Minute, ownedJob("late"), workload.OutcomeOpen)
	const many = 5000
	for i := range many {
		f.applyAt(12*time.Minute, earlyCancel(workload.JobID(fmt.Sprint("job", i))))
	}
	if n := len(f.state.EarlyCancels()); n == 0 || n >= many {
		t.Errorf("got %d early cancellations of %d, want a bounded number", n, many)
	}
	f.wantOutcome(12*time.Minute, ownedJob("job4999"), workload.OutcomeCancelled)
	f.applyAt(23*time.Minute, earlyCancel("last"))
	if n := len(f.state.EarlyCancels()); n != 1 {
		t.Errorf("got %d early cancellations after their retention time, want 1", n)
	}
}
