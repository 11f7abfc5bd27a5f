package workload_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

// fixture is a state with one leader and the workers "w0" and "w1", each on its own rack.
type fixture struct {
	t      *testing.T
	state  *workload.State
	offset platform.Offset
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, state: workload.NewState()}
	f.mustApply(workload.Record{Lead: &workload.Lead{Term: 1}})
	for _, name := range []string{"w0", "w1"} {
		f.mustApply(workload.Record{Announce: &workload.Announce{
			Life: workload.LifeID(name), Machine: platform.WorkerID("m" + name), Service: "s", Rack: platform.RackID("r" + name),
			Labels: []string{"a", "r" + name}, Room: workload.Resources{Cores: 8000, Memory: 80, Accelerators: 8},
		}})
	}
	return f
}

func (f *fixture) apply(writer incarnation.ID, r workload.Record) error {
	f.offset++
	return f.state.Apply(journal.Position{Offset: f.offset, Writer: writer, Time: time.UnixMilli(int64(f.offset))}, r)
}

func (f *fixture) mustApply(r workload.Record) {
	f.t.Helper()
	if err := f.apply("leader", r); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) submit(id workload.JobID, attempts int, steps ...workload.StepSpec) {
	f.t.Helper()
	f.mustApply(workload.Record{Submit: &workload.Submit{Spec: workload.JobSpec{ID: id, Queue: "q", Service: "s", Attempts: attempts, Steps: steps}}})
}

func oneAcceleratorStep(tasks int) workload.StepSpec {
	return workload.StepSpec{Tasks: tasks, Need: workload.Resources{Cores: 1000, Memory: 1, Accelerators: 1}}
}

func ref(id workload.JobID, index int) workload.TaskRef {
	return workload.TaskRef{Job: id, Index: index}
}

func (f *fixture) place(r workload.TaskRef, run workload.Run, worker workload.LifeID) error {
	return f.apply("leader", workload.Record{Place: &workload.Place{Term: 1, Run: run, Members: []workload.Member{{Task: r, Worker: worker}}}})
}

func (f *fixture) end(worker workload.LifeID, number uint64, r workload.TaskRef, run workload.Run, how workload.RunOutcome) {
	f.t.Helper()
	f.mustApply(workload.Record{Ends: &workload.Ends{Life: worker, Ends: []workload.End{{Number: number, Task: r, Run: run, How: how}}}})
}

func (f *fixture) wantError(err, want error, what string) {
	f.t.Helper()
	if !errors.Is(err, want) {
		f.t.Errorf("%s: got error %v, want %v", what, err, want)
	}
}

// Records that a former agent has left in the log must not release the runs of its successor: they would
// run twice. A successor that is not announced yet names its predecessor.
func TestRecordsOfFormerAgentReleaseNoRuns(t *testing.T) {
	f := newFixture(t)
	announce := func(agent incarnation.ID) {
		f.mustApply(workload.Record{Announce: &workload.Announce{
			Life: "w0", Machine: "mw0", Agent: agent, Service: "s", Room: workload.Resources{Cores: 8000, Memory: 80, Accelerators: 8},
		}})
	}
	announce("former")
	f.submit("j", 1, oneAcceleratorStep(1))
	f.wantError(f.place(ref("j", 0), 1, "w0"), nil, "place")
	announce("successor")
	refuse := workload.Refuse{Life: "w0", Agent: "former", Task: ref("j", 0), Run: 1}
	f.wantError(f.apply("former", workload.Record{Refuse: &refuse}), workload.ErrFormerAgent, "late refusal")
	f.wantError(f.apply("former", workload.Record{Depart: &workload.Depart{Life: "w0", Agent: "former"}}), workload.ErrFormerAgent, "late departure")
	f.wantError(f.apply("third", workload.Record{Depart: &workload.Depart{Life: "w0", Agent: "successor"}}), nil, "departure by an agent that is not announced")
}

// An agent ends while the log still has to carry out its records. Once its successor is announced, they must not change
// the life that the successor serves: its tasks would run twice, or its leases would be renewed while it is suspected.
func TestRecordsOfFormerAgentChangeNoLife(t *testing.T) {
	for _, life := range []workload.LifeID{"w0", "w0-next"} {
		f := newFixture(t)
		announcement := func(life workload.LifeID, agent incarnation.ID, next platform.Offset) workload.Record {
			return workload.Record{Announce: &workload.Announce{
				Life: life, Machine: "mw0", Agent: agent, NextOffset: next, Service: "s", Room: workload.Resources{Cores: 8000, Memory: 80, Accelerators: 8},
			}}
		}
		next := f.offset + 1
		f.mustApply(announcement(life, "successor", next))
		f.submit("j", 1, oneAcceleratorStep(1))
		f.wantError(f.place(ref("j", 0), 1, life), nil, "place")
		f.wantError(f.apply("former", announcement("w0", "former", next)), workload.ErrFormerAgent, "late announcement")
		f.wantError(f.apply("former", workload.Record{Report: &workload.Report{Life: life, Agent: "former", Draining: true}}), workload.ErrFormerAgent, "late report")
		f.mustApply(workload.Record{Suspect: &workload.Suspect{Term: 1, Life: life}})
		f.wantError(f.apply("former", workload.Record{Resume: &workload.Resume{Life: life, Agent: "former"}}), workload.ErrFormerAgent, "late resumption")
		if w := f.state.Worker(life); w.Gone || w.Draining || !w.Suspected || w.Agent != "successor" || len(w.Runs) != 1 {
			t.Errorf("life %s: got %+v, want the suspected life of the successor with its run", life, w)
		}
		f.wantError(f.apply("third", announcement("w0", "third", f.offset+1)), nil, "announcement of an agent that has read all others")
	}
}

// A job fails once one of its tasks has used up its attempts. Starting the remaining tasks
// of the failed job would waste resources.
func TestFailedJobStartsNoMoreTasks(t *testing.T) {
	f := newFixture(t)
	f.submit("j", 2, oneAcceleratorStep(2))
	for run := workload.Run(1); run <= 2; run++ {
		if err := f.place(ref("j", 0), run, "w0"); err != nil {
			t.Fatal(err)
		}
		f.end("w0", uint64(run), ref("j", 0), run, workload.RunFailed)
	}
	if j := f.state.Job("j"); j.Outcome != workload.OutcomeFailed {
		t.Fatalf("got outcome %q after 2 failures of 2 attempts, want Failed", j.Outcome)
	}
	f.wantError(f.place(ref("j", 1), 1, "w0"), workload.ErrJobEnded, "placing another task of a failed job")
}

// A scheduler that decides on an outdated state, or has a fault, can propose a worker on
// which the step must not run. The state must reject such a placement.
func TestPlaceChecksLabelServiceAndPerWorkerLimit(t *testing.T) {
	f := newFixture(t)
	labelled := oneAcceleratorStep(1)
	labelled.Label = "rw1"
	f.submit("label", 1, labelled)
	f.wantError(f.place(ref("label", 0), 1, "w0"), workload.ErrPlacement, "worker without the label")
	if err := f.place(ref("label", 0), 1, "w1"); err != nil {
		t.Error(err)
	}
	spread := oneAcceleratorStep(3)
	spread.PerWorker = 1
	f.submit("spread", 1, spread)
	if err := f.place(ref("spread", 0), 1, "w0"); err != nil {
		t.Error(err)
	}
	f.wantError(f.place(ref("spread", 1), 1, "w0"), workload.ErrPlacement, "second task on a worker with PerWorker 1")
	f.mustApply(workload.Record{Submit: &workload.Submit{Spec: workload.JobSpec{ID: "other", Queue: "q", Service: "elsewhere", Attempts: 1, Steps: []workload.StepSpec{oneAcceleratorStep(1)}}}})
	f.wantError(f.place(ref("other", 0), 1, "w0"), workload.ErrPlacement, "worker of another service")
}

// An agent proposes an end again if it does not learn that the first proposal took effect.
// If the state did not compare the number with that of the newest recorded end, the
// repeated end would count as a second failure.
func TestRepeatedEndIsIgnored(t *testing.T) {
	f := newFixture(t)
	f.submit("j", 3, oneAcceleratorStep(1))
	if err := f.place(ref("j", 0), 1, "w0"); err != nil {
		t.Fatal(err)
	}
	f.end("w0", 5, ref("j", 0), 1, workload.RunFailed)
	if err := f.place(ref("j", 0), 2, "w0"); err != nil {
		t.Fatal(err)
	}
	// Number 5 is already recorded, so this end must be ignored.
	f.end("w0", 5, ref("j", 0), 2, workload.RunFailed)
	if n := f.state.Job("j").Failures(ref("j", 0)); n != 1 {
		t.Errorf("got %d failures, want 1", n)
	}
	if w := f.state.Worker("w0"); len(w.Runs) != 1 {
		t.Errorf("got %d runs on w0, want 1", len(w.Runs))
	}
}

// Each member of a failed gang reports a failure. These reports must use up only one of
// the job's attempts.
func TestGangFailureCountsOncePerRun(t *testing.T) {
	f := newFixture(t)
	gang := oneAcceleratorStep(2)
	gang.Gang = true
	f.submit("g", 2, gang)
	members := []workload.Member{{Task: ref("g", 0), Worker: "w0"}, {Task: ref("g", 1), Worker: "w1"}}
	f.mustApply(workload.Record{Place: &workload.Place{Term: 1, Run: 1, Members: members}})
	f.end("w0", 1, ref("g", 0), 1, workload.RunFailed)
	f.end("w1", 1, ref("g", 1), 1, workload.RunFailed)
	if j := f.state.Job("g"); !j.Open() || j.Failures(ref("g", 1)) != 1 {
		t.Errorf("got outcome %q and %d failures, want an open job and 1 failure", j.Outcome, j.Failures(ref("g", 1)))
	}
}

// Records of a former leader can still arrive after another entry has become leader.
func TestOnlyCurrentLeaderMayPropose(t *testing.T) {
	f := newFixture(t)
	f.submit("j", 1, oneAcceleratorStep(1))
	f.wantError(f.apply("rival", workload.Record{Lead: &workload.Lead{Term: 1}}), workload.ErrNotLeader, "current term")
	f.wantError(f.apply("rival", workload.Record{Lead: &workload.Lead{Term: 3}}), workload.ErrNotLeader, "skipped term")
	if err := f.apply("rival", workload.Record{Lead: &workload.Lead{Term: 2}}); err != nil {
		t.Fatal(err)
	}
	f.wantError(f.place(ref("j", 0), 1, "w0"), workload.ErrNotLeader, "placement by the previous leader")
	f.wantError(f.apply("leader", workload.Record{Resign: &workload.Resign{Term: 2}}), workload.ErrNotLeader, "resignation by the previous leader")
}

// A leader names a successor when it resigns. If the name decided which Lead record is valid, a successor that is
// gone would leave the installation without a leader, and builds that ignore the name would reach another state.
func TestSuccessorDoesNotDecideValidity(t *testing.T) {
	f := newFixture(t)
	f.mustApply(workload.Record{Resign: &workload.Resign{Term: 1, Successor: "named"}})
	data, err := f.state.MarshalSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := workload.NewState()
	if err := restored.RestoreSnapshot(data); err != nil || restored.Successor() != "named" {
		t.Errorf("restored state: got successor %q, error %v, want named", restored.Successor(), err)
	}
	if err := f.apply("rival", workload.Record{Lead: &workload.Lead{Term: 2}}); err != nil {
		t.Errorf("Lead of another entry than the successor: got error %v, want none", err)
	}
	if leader, _ := f.state.Leader(); leader != "rival" || f.state.Successor() != "" {
		t.Errorf("got leader %q and successor %q, want rival and none", leader, f.state.Successor())
	}
}

// An agent may have withdrawn the suspicion and renewed leases by the time the leader's
// Lapse is applied. If the Lapse took effect then, tasks whose runs still execute would
// start a second time elsewhere.
func TestOnlySuspectedWorkerLapses(t *testing.T) {
	f := newFixture(t)
	lapse := workload.Record{Lapse: &workload.Lapse{Term: 1, Life: "w0"}}
	f.wantError(f.apply("leader", lapse), workload.ErrNoChange, "lapse of a worker that is not suspected")
	f.mustApply(workload.Record{Suspect: &workload.Suspect{Term: 1, Life: "w0"}})
	f.mustApply(workload.Record{Resume: &workload.Resume{Life: "w0"}})
	f.wantError(f.apply("leader", lapse), workload.ErrNoChange, "lapse of a worker whose suspicion was withdrawn")
	f.mustApply(workload.Record{Suspect: &workload.Suspect{Term: 1, Life: "w0"}})
	f.mustApply(lapse)
	if !f.state.Worker("w0").Gone {
		t.Error("got worker w0 present after Lapse, want it gone")
	}
}

// Callers repeat requests whose answer was lost. A repeated request must change nothing,
// and its error must differ from the error for a request that conflicts with another job.
func TestDuplicateSubmitAndRepeatedCancelAreRejected(t *testing.T) {
	f := newFixture(t)
	f.submit("j", 1, oneAcceleratorStep(1))
	spec := workload.JobSpec{ID: "j", Queue: "q", Service: "s", Attempts: 1, Steps: []workload.StepSpec{oneAcceleratorStep(1)}}
	f.wantError(f.apply("e", workload.Record{Submit: &workload.Submit{Spec: spec}}), workload.ErrJobExists, "repeated submission")
	spec.Queue = "other"
	f.wantError(f.apply("e", workload.Record{Submit: &workload.Submit{Spec: spec}}), workload.ErrJobIDTaken, "job ID of another queue")
	f.mustApply(workload.Record{Cancel: &workload.Cancel{Job: "j"}})
	f.wantError(f.apply("e", workload.Record{Cancel: &workload.Cancel{Job: "j"}}), workload.ErrJobEnded, "second cancellation")
	f.wantError(f.apply("e", workload.Record{Cancel: &workload.Cancel{Job: "none"}}), workload.ErrUnknownJob, "cancellation of an unknown job")
}

// The end of a refused run can be reported after the task was placed again. It must not
// release the resources of the new run or count as its failure.
func TestEndOfEarlierRunKeepsLaterRun(t *testing.T) {
	f := newFixture(t)
	f.submit("j", 3, oneAcceleratorStep(1))
	if err := f.place(ref("j", 0), 1, "w0"); err != nil {
		t.Fatal(err)
	}
	f.mustApply(workload.Record{Refuse: &workload.Refuse{Life: "w0", Task: ref("j", 0), Run: 1, Reason: "late"}})
	if err := f.place(ref("j", 0), 2, "w0"); err != nil {
		t.Fatal(err)
	}
	f.end("w0", 1, ref("j", 0), 1, workload.RunFailed)
	if w := f.state.Worker("w0"); len(w.Runs) != 1 || f.state.Job("j").Failures(ref("j", 0)) != 0 {
		t.Errorf("after the end of run 1 got runs %v on w0, want only run 2 and no counted failure", w.Runs)
	}
}

// announceReborn announces the life "w0b" on the machine of "w0", which lists one end of
// run 1 of the task.
func (f *fixture) announceReborn(r workload.TaskRef, how workload.RunOutcome) {
	f.t.Helper()
	f.mustApply(workload.Record{Announce: &workload.Announce{
		Life: "w0b", Machine: "mw0", Service: "s", Room: workload.Resources{Cores: 8000, Memory: 80, Accelerators: 8},
		Ends: []workload.End{{Number: 1, Task: r, Run: 1, How: how}},
	}})
}

// A minion is restarted under its ID, and its new life carries out an order of the earlier one
// that was delayed. The run is done before the agent announces the new life, so that the
// task must not become ready for another run in between.
func TestAnnouncedEndOfRunOfEarlierLifeCompletesTask(t *testing.T) {
	f := newFixture(t)
	f.submit("j", 2, oneAcceleratorStep(1))
	if err := f.place(ref("j", 0), 1, "w0"); err != nil {
		t.Fatal(err)
	}
	f.announceReborn(ref("j", 0), workload.RunDone)
	if j := f.state.Job("j"); j.Outcome != workload.OutcomeCompleted {
		t.Errorf("got outcome %q after the announcement of the run's end, want Completed", j.Outcome)
	}
	f.wantError(f.place(ref("j", 0), 2, "w1"), workload.ErrJobEnded, "second run of a completed task")
	if seen := f.state.Worker("w0b").SeenEnds; seen != 1 {
		t.Errorf("got SeenEnds %d of the announced life, want 1", seen)
	}
}

// The run of an earlier life fails in the new one. The failure must count against the
// job's attempts, since the task has run.
func TestAnnouncedFailureOfRunOfEarlierLifeCounts(t *testing.T) {
	f := newFixture(t)
	f.submit("j", 1, oneAcceleratorStep(1))
	if err := f.place(ref("j", 0), 1, "w0"); err != nil {
		t.Fatal(err)
	}
	f.announceReborn(ref("j", 0), workload.RunFailed)
	if j := f.state.Job("j"); j.Outcome != workload.OutcomeFailed {
		t.Errorf("got outcome %q after a failure of the only attempt, want Failed", j.Outcome)
	}
}

// A job with a value out of range must be refused with an error. If it was accepted, a product
// that overflows would pass the limit on tasks, negative amounts would add to a worker's free
// resources, and occurrences without a first due time would be due in 1970.
func TestSubmitRefusesValuesOutOfRange(t *testing.T) {
	for name, change := range map[string]func(*workload.JobSpec){
		"tasks times occurrences overflow": func(s *workload.JobSpec) { s.Times, s.FirstDue, s.Steps[0].Tasks = 1<<62, 1, 4 },
		"sum of tasks overflows": func(s *workload.JobSpec) {
			s.Steps[0].Tasks = 1<<63 - 1
			s.Steps = append(s.Steps, s.Steps[0])
		},
		"memory that overflows":      func(s *workload.JobSpec) { s.Steps[0].Need.Memory = 1 << 63 },
		"negative tail target":       func(s *workload.JobSpec) { s.Steps[0].TailTarget = -1 },
		"negative disruption budget": func(s *workload.JobSpec) { s.Steps[0].MayMiss = -1 },
		"negative first due time":    func(s *workload.JobSpec) { s.FirstDue = -1 },
		"no first due time":          func(s *workload.JobSpec) { s.Times, s.Interval = 2, time.Second },
	} {
		f := newFixture(t)
		s := workload.JobSpec{ID: "j", Queue: "q", Service: "s", Attempts: 1, Steps: []workload.StepSpec{oneAcceleratorStep(1)}}
		change(&s)
		f.wantError(f.apply("entry", workload.Record{Submit: &workload.Submit{Spec: s}}), workload.ErrInvalidJob, name)
	}
}

// An entry that is behind proposes a request to evacuate that was withdrawn meanwhile, or a withdrawal of
// an earlier request than the one in force. The state must keep the newer one.
func TestLateEvacuationChangesNothing(t *testing.T) {
	s := workload.NewState()
	for i, c := range []struct {
		record workload.Evacuate
		want   error
		active bool
	}{
		{workload.Evacuate{Domain: "d", Version: 5, Active: true}, nil, true},
		{workload.Evacuate{Domain: "d", Version: 6}, nil, false},
		{workload.Evacuate{Domain: "d", Version: 5, Active: true}, workload.ErrNoChange, false},
		{workload.Evacuate{Domain: "d", Version: 7, Active: true}, nil, true},
		{workload.Evacuate{Domain: "d", Version: 6}, workload.ErrNoChange, true},
		{workload.Evacuate{Domain: "d", Version: 9, Active: true}, nil, true},
		{workload.Evacuate{Domain: "d", Version: 8}, workload.ErrNoChange, true},
	} {
		err := s.Apply(journal.Position{Offset: platform.Offset(i + 1)}, workload.Record{Evacuate: &c.record})
		if !errors.Is(err, c.want) || s.Evacuation("d").Active != c.active {
			t.Errorf("record %d: got error %v and active %t, want %v and %t", i, err, s.Evacuation("d").Active, c.want, c.active)
		}
	}
}

// crash announces the next life on the machine of w0, whose earlier life crashed under the run.
func (f *fixture) crash(life workload.LifeID, c workload.Crash) {
	f.t.Helper()
	f.mustApply(workload.Record{Announce: &workload.Announce{
		Life: life, Machine: "mw0", Service: "s", Rack: "rw0", Room: workload.Resources{Cores: 8000, Memory: 80, Accelerators: 8},
		Crashes: []workload.Crash{c},
	}})
}

// Workers crash under the runs of a task. Its job must fail after two crashes that are certainly its fault or
// three that may be; otherwise the task crashes one worker after the other. A crash under a start that the worker
// has not confirmed may have another cause, so that it and one certain crash must not fail the job.
func TestJobFailsWhenCrashesAreEvidence(t *testing.T) {
	early, unconfirmed, late := workload.Crash{Early: true}, workload.Crash{Early: true, Unconfirmed: true}, workload.Crash{}
	for _, c := range []struct {
		name    string
		crashes []workload.Crash
		// failsAt is the number of crashes after which the job has failed, 0 if it has not.
		failsAt int
	}{
		{"two early", []workload.Crash{early, early}, 2},
		{"early and unconfirmed", []workload.Crash{early, unconfirmed}, 0},
		{"three unconfirmed", []workload.Crash{unconfirmed, unconfirmed, unconfirmed}, 3},
		{"two unconfirmed and late", []workload.Crash{unconfirmed, late, unconfirmed}, 3},
		{"four late", []workload.Crash{late, late, late, late}, 4},
	} {
		f := newFixture(t)
		f.submit("j", 2, oneAcceleratorStep(1))
		failedAt := 0
		for n, crash := range c.crashes {
			run, lives := workload.Run(n+1), [2]workload.LifeID{workload.LifeID(fmt.Sprint("life", n)), workload.LifeID(fmt.Sprint("life", n+1))}
			if n == 0 {
				lives[0] = "w0"
			}
			if err := f.place(ref("j", 0), run, lives[0]); err != nil {
				t.Fatal(err)
			}
			crash.Task, crash.Run = ref("j", 0), run
			f.crash(lives[1], crash)
			if j := f.state.Job("j"); j.Outcome == workload.OutcomeFailed && j.Failure == workload.FailureCrashes && failedAt == 0 {
				failedAt = n + 1
			}
		}
		if failedAt != c.failsAt {
			t.Errorf("%s: got failed after %d crashes, want %d (0: not failed)", c.name, failedAt, c.failsAt)
		}
	}
}

// Workers crash in the course of months under a long-running task. Its job must not fail, since each run
// had been healthy for long.
func TestCrashesUnderLongRunsDoNotAddUp(t *testing.T) {
	f := newFixture(t)
	s := oneAcceleratorStep(1)
	s.LongRunning = true
	f.submit("j", 2, s)
	life := workload.LifeID("w0")
	for run := workload.Run(1); run <= 9; run++ {
		if err := f.place(ref("j", 0), run, life); err != nil {
			t.Fatal(err)
		}
		life = workload.LifeID(fmt.Sprint("life", run))
		f.crash(life, workload.Crash{Task: ref("j", 0), Run: run, Ran: time.Hour})
	}
	if j := f.state.Job("j"); !j.Open() {
		t.Errorf("got outcome %q, want an open job", j.Outcome)
	}
}

// A worker that seemed to have crashed goes on, which its next report or the announcement by another agent
// shows. When its life ends later, the earlier report must not count against the task.
func TestCrashOfLifeThatGoesOnIsNotCounted(t *testing.T) {
	for name, goesOn := range map[string]workload.Record{
		"report":       {Report: &workload.Report{Life: "w0"}},
		"announcement": {Announce: &workload.Announce{Life: "w0", Machine: "mw0", Service: "s", Room: workload.Resources{Cores: 8000, Memory: 80, Accelerators: 8}}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.submit("j", 2, oneAcceleratorStep(1))
			for run := workload.Run(1); run <= 3; run++ {
				if err := f.place(ref("j", 0), run, "w0"); err != nil {
					t.Fatal(err)
				}
				f.mustApply(workload.Record{Report: &workload.Report{Life: "w0", Unresponsive: true, Crashes: []workload.Crash{{Task: ref("j", 0), Run: run, Early: true}}}})
				f.mustApply(goesOn)
				f.end("w0", uint64(run), ref("j", 0), run, workload.RunStopped)
			}
			f.mustApply(workload.Record{Announce: &workload.Announce{Life: "next", Machine: "mw0", Service: "s"}})
			if _, _, task, _ := f.state.Task(ref("j", 0)); task.CrashScore != 0 {
				t.Errorf("got crash score %d, want 0", task.CrashScore)
			}
		})
	}
}
