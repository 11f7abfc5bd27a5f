package workload_test

import (
	"errors"
	"testing"
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

// bench is a state with one leader and workers "w0" and "w1", on racks of their own.
type bench struct {
	t      *testing.T
	state  *workload.State
	offset platform.Offset
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, state: workload.NewState()}
	b.must(workload.Record{Lead: &workload.Lead{Term: 1}})
	for _, name := range []string{"w0", "w1"} {
		b.must(workload.Record{Announce: &workload.Announce{
			Life: workload.LifeID(name), Machine: platform.WorkerID("m" + name), Service: "s", Rack: platform.RackID("r" + name),
			Labels: []string{"a", "r" + name}, Room: workload.Resources{Cores: 8000, Memory: 80, Accelerators: 8},
		}})
	}
	return b
}

func (b *bench) apply(writer incarnation.ID, r workload.Record) error {
	b.offset++
	return b.state.Apply(journal.Position{Offset: b.offset, Writer: writer, Time: time.UnixMilli(int64(b.offset))}, r)
}

func (b *bench) must(r workload.Record) {
	b.t.Helper()
	if err := b.apply("leader", r); err != nil {
		b.t.Fatal(err)
	}
}

func (b *bench) submit(id workload.JobID, attempts int, steps ...workload.StepSpec) {
	b.t.Helper()
	b.must(workload.Record{Submit: &workload.Submit{Spec: workload.JobSpec{ID: id, Queue: "q", Service: "s", Attempts: attempts, Steps: steps}}})
}

func one(tasks int) workload.StepSpec {
	return workload.StepSpec{Tasks: tasks, Need: workload.Resources{Cores: 1000, Memory: 1, Accelerators: 1}}
}

func ref(id workload.JobID, index int) workload.TaskRef {
	return workload.TaskRef{Job: id, Index: index}
}

func (b *bench) place(r workload.TaskRef, run workload.Run, worker workload.LifeID) error {
	return b.apply("leader", workload.Record{Place: &workload.Place{Term: 1, Run: run, Members: []workload.Member{{Task: r, Worker: worker}}}})
}

func (b *bench) end(worker workload.LifeID, number uint64, r workload.TaskRef, run workload.Run, how workload.RunOutcome) {
	b.t.Helper()
	b.must(workload.Record{Ends: &workload.Ends{Life: worker, Ends: []workload.End{{Number: number, Task: r, Run: run, How: how}}}})
}

func (b *bench) refuses(err, want error, what string) {
	b.t.Helper()
	if !errors.Is(err, want) {
		b.t.Errorf("%s: %v, want %v", what, err, want)
	}
}

func TestAJobThatFailedTooOftenStartsNoMore(t *testing.T) {
	b := newBench(t)
	b.submit("j", 2, one(2))
	for run := workload.Run(1); run <= 2; run++ {
		if err := b.place(ref("j", 0), run, "w0"); err != nil {
			t.Fatal(err)
		}
		b.end("w0", uint64(run), ref("j", 0), run, workload.RunFailed)
	}
	if j := b.state.Job("j"); j.Outcome != workload.OutcomeFailed {
		t.Fatalf("outcome %q after 2 failures of 2", j.Outcome)
	}
	b.refuses(b.place(ref("j", 1), 1, "w0"), workload.ErrJobEnded, "another task of a failed job")
}

func TestPlacementsKeepToLabelsServicesAndSpread(t *testing.T) {
	b := newBench(t)
	labelled := one(1)
	labelled.Label = "rw1"
	b.submit("label", 1, labelled)
	b.refuses(b.place(ref("label", 0), 1, "w0"), workload.ErrPlacement, "without the label")
	if err := b.place(ref("label", 0), 1, "w1"); err != nil {
		t.Error(err)
	}
	spread := one(3)
	spread.PerWorker = 1
	b.submit("spread", 1, spread)
	if err := b.place(ref("spread", 0), 1, "w0"); err != nil {
		t.Error(err)
	}
	b.refuses(b.place(ref("spread", 1), 1, "w0"), workload.ErrPlacement, "a second one on the same worker")
	b.must(workload.Record{Submit: &workload.Submit{Spec: workload.JobSpec{ID: "other", Queue: "q", Service: "elsewhere", Attempts: 1, Steps: []workload.StepSpec{one(1)}}}})
	b.refuses(b.place(ref("other", 0), 1, "w0"), workload.ErrPlacement, "another service's worker")
}

func TestAnEndCountsOnce(t *testing.T) {
	b := newBench(t)
	b.submit("j", 3, one(1))
	if err := b.place(ref("j", 0), 1, "w0"); err != nil {
		t.Fatal(err)
	}
	b.end("w0", 5, ref("j", 0), 1, workload.RunFailed)
	if err := b.place(ref("j", 0), 2, "w0"); err != nil {
		t.Fatal(err)
	}
	// A repeat of the report, with the number of an end that was recorded.
	b.end("w0", 5, ref("j", 0), 2, workload.RunFailed)
	if n := b.state.Job("j").Failures(ref("j", 0)); n != 1 {
		t.Errorf("%d failures, want 1", n)
	}
	if w := b.state.Worker("w0"); len(w.Runs) != 1 {
		t.Errorf("%d runs hold room, want 1", len(w.Runs))
	}
}

func TestAGangFailsOnceARun(t *testing.T) {
	b := newBench(t)
	gang := one(2)
	gang.Gang = true
	b.submit("g", 2, gang)
	members := []workload.Member{{Task: ref("g", 0), Worker: "w0"}, {Task: ref("g", 1), Worker: "w1"}}
	b.must(workload.Record{Place: &workload.Place{Term: 1, Run: 1, Members: members}})
	b.end("w0", 1, ref("g", 0), 1, workload.RunFailed)
	b.end("w1", 1, ref("g", 1), 1, workload.RunFailed)
	if j := b.state.Job("g"); !j.Open() || j.Failures(ref("g", 1)) != 1 {
		t.Errorf("outcome %q with %d failures", j.Outcome, j.Failures(ref("g", 1)))
	}
}

func TestOnlyTheLeaderOfTheTermDecides(t *testing.T) {
	b := newBench(t)
	b.submit("j", 1, one(1))
	b.refuses(b.apply("rival", workload.Record{Lead: &workload.Lead{Term: 1}}), workload.ErrNotLeader, "a term that has begun")
	b.refuses(b.apply("rival", workload.Record{Lead: &workload.Lead{Term: 3}}), workload.ErrNotLeader, "a term left out")
	if err := b.apply("rival", workload.Record{Lead: &workload.Lead{Term: 2}}); err != nil {
		t.Fatal(err)
	}
	b.refuses(b.place(ref("j", 0), 1, "w0"), workload.ErrNotLeader, "the leader of before")
	b.refuses(b.apply("leader", workload.Record{Resign: &workload.Resign{Term: 2}}), workload.ErrNotLeader, "to resign for another")
}

func TestOnlyASuspectedWorkerLapses(t *testing.T) {
	b := newBench(t)
	lapse := workload.Record{Lapse: &workload.Lapse{Term: 1, Life: "w0"}}
	b.refuses(b.apply("leader", lapse), workload.ErrNoChange, "a worker that was heard of")
	b.must(workload.Record{Suspect: &workload.Suspect{Term: 1, Life: "w0"}})
	b.must(workload.Record{Resume: &workload.Resume{Life: "w0"}})
	b.refuses(b.apply("leader", lapse), workload.ErrNoChange, "a worker whose suspicion was withdrawn")
	b.must(workload.Record{Suspect: &workload.Suspect{Term: 1, Life: "w0"}})
	b.must(lapse)
	if !b.state.Worker("w0").Gone {
		t.Error("the worker is still there")
	}
}

func TestAnIDBelongsToOneJob(t *testing.T) {
	b := newBench(t)
	b.submit("j", 1, one(1))
	again := workload.JobSpec{ID: "j", Queue: "q", Service: "s", Attempts: 1, Steps: []workload.StepSpec{one(1)}}
	b.refuses(b.apply("e", workload.Record{Submit: &workload.Submit{Spec: again}}), workload.ErrJobExists, "the same job")
	again.Queue = "other"
	b.refuses(b.apply("e", workload.Record{Submit: &workload.Submit{Spec: again}}), workload.ErrJobIDTaken, "another queue's job")
	b.must(workload.Record{Cancel: &workload.Cancel{Job: "j"}})
	b.refuses(b.apply("e", workload.Record{Cancel: &workload.Cancel{Job: "j"}}), workload.ErrJobEnded, "a second cancellation")
	b.refuses(b.apply("e", workload.Record{Cancel: &workload.Cancel{Job: "none"}}), workload.ErrUnknownJob, "an unknown job")
}

func TestTheEndOfAnEarlierRunEndsNoLaterOne(t *testing.T) {
	b := newBench(t)
	b.submit("j", 3, one(1))
	if err := b.place(ref("j", 0), 1, "w0"); err != nil {
		t.Fatal(err)
	}
	b.must(workload.Record{Refuse: &workload.Refuse{Life: "w0", Task: ref("j", 0), Run: 1, Reason: "late"}})
	if err := b.place(ref("j", 0), 2, "w0"); err != nil {
		t.Fatal(err)
	}
	b.end("w0", 1, ref("j", 0), 1, workload.RunFailed)
	if w := b.state.Worker("w0"); len(w.Runs) != 1 || b.state.Job("j").Failures(ref("j", 0)) != 0 {
		t.Errorf("the end of run 1 ended run 2: %v", w.Runs)
	}
}
