package scheduler_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"corianderpass/internal/process/runner"
	"corianderpass/internal/process/standin"
	"corianderpass/internal/process/workload"
)

// addRestartedAgent adds a worker whose agent ends while the log still has to carry out its announcement, which it does
// after lateness. The next agent starts 500 ms after the end.
func (in *installation) addRestartedAgent(lateness time.Duration) {
	in.t.Helper()
	time.Sleep(time.Second)
	a := in.addWorker(workerCapacity())
	a.log.SetLate(lateness)
	time.Sleep(400 * time.Millisecond)
	a.stop()
	time.Sleep(500 * time.Millisecond)
	a.start()
}

// addRestartedMachine is addRestartedAgent for a whole machine: the minion begins another life while no agent runs.
func (in *installation) addRestartedMachine(lateness time.Duration) {
	in.t.Helper()
	in.prepareMinion = func(m *standin.TaskMinion) { time.AfterFunc(600*time.Millisecond, m.StartLife) }
	in.addRestartedAgent(lateness)
	in.prepareMinion = nil
}

// A machine loses power while the log still has to carry out the announcement of its minion's life. That record must
// not end the life which the next agent has announced: its tasks would start elsewhere while they run.
func TestLateAnnouncementOfFormerAgentEndsNoLife(t *testing.T) {
	withInstallation(t, func(_ *testing.T, in *installation) {
		in.addRestartedMachine(5500 * time.Millisecond)
		time.Sleep(2 * time.Second)
		in.setDuration(12 * time.Second)
		in.submit(spec("job", 1, smallTask()))
		in.awaitStarts(1)
		in.addWorker(workerCapacity())
		in.wantOneStart()
	})
}

// The late announcement of a former agent arrives while its successor announces the next life. The successor must repeat
// its own if that comes second: the worker would be taken for one that nobody serves.
func TestSuccessorIsAnnouncedBesideLateAnnouncement(t *testing.T) {
	// The successor starts 900 ms after the first agent.
	for lateness := 895 * time.Millisecond; lateness < 915*time.Millisecond; lateness += time.Millisecond {
		withInstallation(t, func(_ *testing.T, in *installation) {
			in.addRestartedMachine(lateness)
			time.Sleep(time.Second)
			in.submit(spec("job", 1, smallTask()))
			in.wantOneStart()
		})
	}
}

// An agent ends before any record of it is in the log, so that its successor reads the same log and begins with the same
// tokens, which the minion refuses. The successor must choose other ones: it could never give an order.
func TestSuccessorOfUnannouncedAgentGivesOrders(t *testing.T) {
	withInstallation(t, func(_ *testing.T, in *installation) {
		in.addRestartedAgent(time.Minute)
		in.submit(spec("job", 1, smallTask()))
		in.await("job", workload.OutcomeCompleted, 6*time.Second)
	})
}

// An agent of which no record is in the log yet may share its tokens with the next one. Its polls must not report ends as
// seen: a poll that arrives in a later life would make that forget ends, and its tasks would run again.
func TestUnrecordedAgentReportsNoSeenEnds(t *testing.T) {
	withInstallation(t, func(t *testing.T, in *installation) {
		var seen, polls atomic.Uint64
		in.prepareMinion = func(m *standin.TaskMinion) {
			m.OnPoll = func(p runner.Poll) {
				seen.Store(p.SeenEnds)
				polls.Add(1)
			}
		}
		a := in.addPromptWorker()
		in.submit(spec("job", 1, smallTask()))
		in.await("job", workload.OutcomeCompleted, 5*time.Second)
		a.stop()
		polls.Store(0)
		a.start()
		a.log.SetReadOnly(true)
		time.Sleep(3 * time.Second)
		if got := seen.Load(); got != 0 || polls.Load() == 0 {
			t.Errorf("got %d seen ends in the newest of %d polls before the first record, want 0", got, polls.Load())
		}
		a.log.SetReadOnly(false)
		time.Sleep(5 * time.Second)
		if got := seen.Load(); got != 1 {
			t.Errorf("got %d seen ends after the announcement, want 1", got)
		}
	})
}

// A late poll of an earlier agent with the same base token reaches the minion of an announced worker. The starts that the
// minion then refuses must be repeated with other tokens: the tasks would lose their place on the worker.
func TestStartRefusedForItsTokenIsRepeated(t *testing.T) {
	withInstallation(t, func(t *testing.T, in *installation) {
		var token atomic.Uint64
		in.prepareMinion = func(m *standin.TaskMinion) {
			m.OnPoll = func(p runner.Poll) { token.Store(uint64(p.Token)) }
		}
		a := in.addPromptWorker()
		if _, err := a.minion.Poll(t.Context(), runner.Poll{ID: a.minion.ID, Token: runner.Token(token.Load()) + 5}); err != nil {
			t.Fatal(err)
		}
		in.submit(spec("job", 1, smallTask()))
		in.await("job", workload.OutcomeCompleted, 6*time.Second)
		e := in.entries[0]
		e.journal.View(func(time.Time) {
			if _, _, task, _ := e.state.Task(workload.TaskRef{Job: "job"}); task.Run != 1 {
				t.Errorf("got run %d of the task, want 1", task.Run)
			}
		})
	})
}

// An agent is the first process of a new log, whose offset is still 0. It must have a base token other than 0 and announce
// its worker: it would wait for an entry to write first.
func TestAgentAnnouncesWorkerInEmptyLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(t)
		defer in.stop()
		time.Sleep(time.Second)
		in.addWorker(workerCapacity())
		time.Sleep(3 * time.Second)
		if appends, _ := in.log.Counts(); appends == 0 {
			t.Error("got no record, want the announcement of the worker")
		}
	})
}
