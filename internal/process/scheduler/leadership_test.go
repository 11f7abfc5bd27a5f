package scheduler_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"corianderpass/internal/process/incarnation"
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

// changesAndPause returns how often the leader changed while f ran and a second longer, and the longest time for
// which the state of the observer had no leader.
func (in *installation) changesAndPause(o *observer, f func()) (changes workload.Term, pause time.Duration) {
	_, before := o.leader()
	ended := make(chan struct{})
	go func() {
		f()
		time.Sleep(time.Second)
		close(ended)
	}()
	ledAt := in.clock()
	for running := true; running; {
		select {
		case <-ended:
			running = false
		case <-time.After(time.Millisecond):
		}
		if leader, _ := o.leader(); leader != "" {
			ledAt = in.clock()
		}
		pause = max(pause, in.clock()-ledAt)
	}
	_, after := o.leader()
	return after - before, pause
}

// All entries are restarted one after another, the leader first, in several orders. If the lead passes to entries that
// are the next to stop, it changes many times. Each change once made jobs wait for ticks and ranks.
func TestRollingRestartChangesLeaderTwice(t *testing.T) {
	for name, compare := range map[string]func(in *installation, a, b *testEntry) int{
		"as joined":      func(_ *installation, a, b *testEntry) int { return a.number - b.number },
		"against joined": func(_ *installation, a, b *testEntry) int { return b.number - a.number },
		"by rank":        func(in *installation, a, b *testEntry) int { return in.rankOf(a.number) - in.rankOf(b.number) },
	} {
		synctest.Test(t, func(t *testing.T) {
			in, o := newSuccessionTest(t)
			defer in.stop()
			in.submit(spec("first", 1, smallTask()))
			in.await("first", workload.OutcomeCompleted, 4*time.Second)
			leader := in.leadingEntry()
			others := slices.DeleteFunc(slices.Clone(in.entries), func(e *testEntry) bool { return e == leader })
			slices.SortFunc(others, func(a, b *testEntry) int { return compare(in, a, b) })
			last := others[len(others)-1]
			ctx, cancel := context.WithCancel(t.Context())
			flow := in.submitFlow(ctx, last, "before")
			changes, _ := in.changesAndPause(o, func() {
				for _, e := range append([]*testEntry{leader}, others...) {
					if e == last {
						cancel()
						<-flow
						ctx, cancel = context.WithCancel(t.Context())
						flow = in.submitFlow(ctx, leader, "after")
					}
					e.leave()
					time.Sleep(100 * time.Millisecond)
					e.start()
					time.Sleep(300 * time.Millisecond)
				}
			})
			cancel()
			<-flow
			time.Sleep(handoverLimit)
			wait := in.longestWait()
			t.Logf("order %s: %d changes of the leader, longest wait for a start %v", name, changes, wait)
			// The second change is that of the successor, which has not been restarted when it leads.
			if changes > 2 || wait > handoverLimit {
				t.Errorf("order %s: got %d changes of the leader and a wait of %v, want at most 2 changes and %v", name, changes, wait, handoverLimit)
			}
		})
	}
}

// The entries that joined last have ended and not been replaced, or are stopping. The leader must name one that runs.
func TestLeaderNamesEntryThatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in, o := newSuccessionTest(t)
		defer in.stop()
		in.submit(spec("first", 1, smallTask()))
		in.await("first", workload.OutcomeCompleted, 4*time.Second)
		leader := in.leadingEntry()
		others := slices.DeleteFunc(slices.Clone(in.entries), func(e *testEntry) bool { return e == leader })
		others[len(others)-1].stop()
		others[len(others)-2].stop()
		var left sync.WaitGroup
		left.Go(others[len(others)-3].leave)
		time.Sleep(10 * time.Millisecond)
		if changes, pause := in.changesAndPause(o, leader.leave); changes != 1 || pause > handoverLimit {
			t.Errorf("got %d changes of the leader and a pause of %v, want 1 change and at most %v", changes, pause, handoverLimit)
		}
		left.Wait()
		if n := in.metrics.GetOrCreateCounter(`corianderpass_leader_changes_total{cause="named"}`).Get(); n != 1 {
			t.Errorf("got %d counted changes to a named successor, want 1", n)
		}
	})
}

// The named successor loses the log or its process ends before it reads that it is named. The next entry must lead
// at its turn.
func TestNextEntryLeadsIfSuccessorIsGone(t *testing.T) {
	for _, killed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			in, o := newSuccessionTest(t)
			defer in.stop()
			in.submit(spec("first", 1, smallTask()))
			in.await("first", workload.OutcomeCompleted, 4*time.Second)
			leader := in.leadingEntry()
			successor := in.entries[len(in.entries)-1]
			if successor == leader {
				successor = in.entries[len(in.entries)-2]
			}
			changes, pause := in.changesAndPause(o, func() {
				var left sync.WaitGroup
				defer left.Wait()
				left.Go(leader.leave)
				// The successor has answered that it may lead, but has not read the record.
				time.Sleep(8 * time.Millisecond)
				successor.log.SetDown(true)
				if killed {
					successor.stop()
				}
			})
			if changes != 1 || pause > handoverLimit {
				t.Errorf("killed %t: got %d changes of the leader and a pause of %v, want 1 change and at most %v", killed, changes, pause, handoverLimit)
			}
		})
	}
}

// The leader and the entry that joined last stop at almost the same time. The lead must not stay with an entry that
// has stopped deciding.
func TestTwoEntriesStopTogether(t *testing.T) {
	for delay := time.Duration(0); delay < 100*time.Millisecond; delay += 12 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			in, o := newSuccessionTest(t)
			defer in.stop()
			in.submit(spec("first", 1, smallTask()))
			in.await("first", workload.OutcomeCompleted, 4*time.Second)
			leader, last := in.leadingEntry(), in.entries[len(in.entries)-1]
			if last == leader {
				last = in.entries[len(in.entries)-2]
			}
			changes, pause := in.changesAndPause(o, func() {
				var left sync.WaitGroup
				defer left.Wait()
				left.Go(leader.leave)
				time.Sleep(delay)
				last.leave()
			})
			now, _ := o.leader()
			if changes > 2 || pause > handoverLimit || now == leader.id || now == last.id {
				t.Errorf("%v apart: got %d changes of the leader, a pause of %v and leader %s, want at most 2 changes, %v and an entry that runs",
					delay, changes, pause, now, handoverLimit)
			}
		})
	}
}

// Calls to the leader are refused although it is alive, while the log is slow. The refusals must not shorten the wait
// so much that entries replace each other.
func TestRefusedCallsDoNotChangeLeaderWhileLogIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in, _ := newSuccessionTest(t)
		defer in.stop()
		in.submit(spec("first", 1, smallTask()))
		in.await("first", workload.OutcomeCompleted, 4*time.Second)
		before := in.currentTerm()
		for _, e := range in.entries {
			in.setServed(incarnation.Address(e.name), nil)
		}
		slow := standin.LogFaults{Delay: 250 * time.Millisecond}
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
			t.Errorf("leader changed %d times, want at most once", changes)
		}
	})
}
