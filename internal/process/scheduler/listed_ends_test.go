package scheduler_test

import (
	"testing"
	"time"

	"corianderpass/internal/process/standin"
	"corianderpass/internal/process/workload"
)

// listedEnds is how many ends a minion lists in these tests, manyTasks how many tasks end there at once.
const listedEnds, manyTasks = 3, 20

// manyEnds returns an installation's only worker, whose minion lists few ends, and a job for it.
func manyEnds(in *installation) (*testAgent, workload.JobSpec) {
	in.prepareMinion = func(m *standin.TaskMinion) { m.MaxListedEnds = listedEnds }
	a := in.addPromptWorker()
	return a, spec("job", manyTasks, workload.Resources{Cores: 100, Memory: 1})
}

// wantStartsOfAll checks that each task of the job was started once.
func (in *installation) wantStartsOfAll(s workload.JobSpec) {
	in.t.Helper()
	for i := range s.Steps[0].Tasks {
		if starts, _ := in.runLog.Counts(workload.TaskRef{Job: s.ID, Index: i}); starts != 1 {
			in.t.Errorf("task %d: got %d starts, want 1", i, starts)
		}
	}
}

// More tasks end at once than a minion lists in one answer. The agent must not take the others for lost:
// they would run again.
func TestRunsWithUnlistedEndsAreNotRepeated(t *testing.T) {
	withInstallation(t, func(_ *testing.T, in *installation) {
		_, s := manyEnds(in)
		in.submit(s)
		in.await("job", workload.OutcomeCompleted, 20*time.Second)
		in.wantStartsOfAll(s)
	})
}

// As above, with starts whose answers are lost. The agent must not take these starts for ones that had no
// effect.
func TestUnansweredStartsWithUnlistedEndsAreNotRepeated(t *testing.T) {
	withInstallation(t, func(_ *testing.T, in *installation) {
		a, s := manyEnds(in)
		in.setDuration(100 * time.Millisecond)
		a.minion.LoseStartAnswers(manyTasks)
		in.submit(s)
		in.await("job", workload.OutcomeCompleted, 20*time.Second)
		in.wantStartsOfAll(s)
	})
}

// Tasks end while no agent is there. The next agent must not start again those whose ends its minion does not
// list at first.
func TestNextAgentDoesNotRepeatRunsWithUnlistedEnds(t *testing.T) {
	withInstallation(t, func(_ *testing.T, in *installation) {
		a, s := manyEnds(in)
		in.submit(s)
		in.awaitStarts(manyTasks)
		a.stop()
		time.Sleep(3 * time.Second)
		a.start()
		in.await("job", workload.OutcomeCompleted, 20*time.Second)
		in.wantStartsOfAll(s)
	})
}

// A minion restarts, and its next life carries out starts that were meant for the earlier one. The tasks must
// not be placed again before all their ends are recorded, which takes several answers.
func TestUnlistedEndsOfNextLifeAreRecordedFirst(t *testing.T) {
	withInstallation(t, func(_ *testing.T, in *installation) {
		a, s := manyEnds(in)
		in.setDuration(time.Millisecond)
		in.submitToNextLife(a, s)
		in.await("job", workload.OutcomeCompleted, 20*time.Second)
		in.wantStartsOfAll(s)
	})
}

// A minion crashes again and again after it has ended more tasks than it has listed. The tasks whose ends it
// could not list must not be blamed: the minion was not executing them, and their job would be given up.
func TestCrashBlamesNoTaskWithUnlistedEnd(t *testing.T) {
	withInstallation(t, func(_ *testing.T, in *installation) {
		a, s := manyEnds(in)
		in.submit(s)
		for starts := manyTasks; starts <= 5*manyTasks; starts = in.runLog.Starts() + 1 {
			in.awaitStarts(starts)
			time.Sleep(1900 * time.Millisecond)
			a.log.SetReadOnly(true)
			time.Sleep(400 * time.Millisecond)
			a.minion.StartLife()
			a.log.SetReadOnly(false)
		}
		in.await("job", workload.OutcomeCompleted, 20*time.Second)
	})
}

// A minion executes 1,500 tasks that end at once, and lists 500 ends at a time. At this size each answer must be
// compared with all runs quickly, and none may be repeated.
func TestManyTasksOfOneMinionRunOnce(t *testing.T) {
	withInstallation(t, func(t *testing.T, in *installation) {
		const tasks = 1500
		in.prepareMinion = func(m *standin.TaskMinion) { m.MaxListedEnds = 500 }
		a := in.addWorker(workload.Resources{Cores: 200_000, Memory: 2000})
		a.readsWithoutPause.Store(true)
		time.Sleep(4 * time.Second)
		in.setDuration(9 * time.Second)
		in.submit(spec("job", tasks, workload.Resources{Cores: 100, Memory: 1}))
		in.await("job", workload.OutcomeCompleted, 60*time.Second)
		if starts := in.runLog.Starts(); starts != tasks {
			t.Errorf("got %d starts of %d tasks, want one each", starts, tasks)
		}
	})
}
