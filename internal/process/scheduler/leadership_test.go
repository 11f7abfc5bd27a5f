package scheduler_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"corianderpass/internal/process/standin"
	"corianderpass/internal/process/workload"
)

// The leader stops while jobs are still submitted. If records of other writers counted as
// activity of the leader, no entry would become leader.
func TestAnotherEntryBecomesLeaderDuringSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(t)
		defer in.stop()
		first := in.addEntry()
		in.addWorker(workerCapacity())
		time.Sleep(4 * time.Second)
		in.submit(spec("before", 1, smallTask()))
		in.await("before", workload.OutcomeCompleted, 5*time.Second)
		if !first.leads() {
			t.Fatal("got another leader or none, want the only entry to lead")
		}
		second := in.addEntry()
		time.Sleep(2 * time.Second)
		first.stop()
		in.entries = []*testEntry{second}
		for i := range 20 {
			in.submit(spec(fmt.Sprint("after", i), 1, workload.Resources{Cores: 100, Memory: 1}))
			time.Sleep(100 * time.Millisecond)
		}
		in.await("after0", workload.OutcomeCompleted, 2*time.Second)
	})
}

// The heartbeats of an agent are lost, but the agent withdraws each suspicion of its worker
// before the leader's next decision. If the withdrawal did not count as a heartbeat, the
// leader would suspect the worker again at every decision.
func TestResumeCountsAsHeartbeat(t *testing.T) {
	withInstallation(t, func(t *testing.T, in *installation) {
		a := in.addPromptWorker()
		in.setDuration(20 * time.Second)
		in.submit(spec("job", 1, smallTask()))
		time.Sleep(time.Second)
		before, _ := in.log.Counts()
		a.losesHeartbeats.Store(true)
		time.Sleep(10 * time.Second)
		// Expected are a Suspect and a Resume every 2.5 s and a few other records.
		if after, _ := in.log.Counts(); after-before > 20 {
			t.Errorf("got %d records in 10 s, want at most 20", after-before)
		}
	})
}

// Calls to the log were slow, a quarter of a second each (dpts-cutyard, inc-1d70), so that
// decisions stayed due for longer than the usual takeover delay. Entries must not take
// over leadership from each other because of that.
func TestSlowLogDoesNotChangeLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(t)
		defer in.stop()
		for range 3 {
			in.addEntry()
		}
		in.addWorker(workerCapacity())
		in.addWorker(workerCapacity())
		time.Sleep(4 * time.Second)
		in.setDuration(time.Second)
		in.submit(spec("first", 1, smallTask()))
		in.await("first", workload.OutcomeCompleted, 4*time.Second)
		before := in.currentTerm()
		slow := standin.LogFaults{Delay: 400 * time.Millisecond}
		in.log.SetFaults(slow)
		in.presence.SetFaults(slow)
		for i := range 20 {
			s := spec(fmt.Sprint("job", i), 2, smallTask())
			in.setReservation(s)
			if err := in.entries[i%3].intake.Submit(t.Context(), s); err != nil {
				t.Errorf("submit job %s: got error %v, want none", s.ID, err)
			}
			time.Sleep(200 * time.Millisecond)
		}
		if changes := in.currentTerm() - before; changes > 1 {
			t.Errorf("leader changed %d times while the log was slow, want at most 1", changes)
		}
		for i := range 20 {
			in.await(fmt.Sprint("job", i), workload.OutcomeCompleted, 10*time.Second)
		}
	})
}

// currentTerm returns the current term in the state of the first entry.
func (in *installation) currentTerm() (term workload.Term) {
	e := in.entries[0]
	e.journal.View(func(time.Time) { _, term = e.state.Leader() })
	return term
}
