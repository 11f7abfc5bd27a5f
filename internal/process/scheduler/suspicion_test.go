package scheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"corianderpass/internal/process/standin"
)

// The log answers slowly, so that it refuses the heartbeats of all agents for some seconds, and loses them. The
// leader must not suspect their workers, which would get no tasks and no lease renewals. Once the log is fast
// again, a worker whose heartbeats stay lost must be suspected as usual.
func TestSlowLogIsNoEvidenceAgainstWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(t)
		defer in.stop()
		e := in.addEntry()
		for range 4 {
			in.addWorker(workerCapacity())
		}
		time.Sleep(5 * time.Second)
		slow := standin.LogFaults{Delay: 250 * time.Millisecond}
		in.log.SetFaults(slow)
		in.presence.SetFaults(slow)
		for _, a := range in.agents {
			a.losesHeartbeats.Store(true)
		}
		suspected := func() (n int) {
			e.journal.View(func(time.Time) {
				for _, w := range e.state.Workers() {
					if w.Suspected {
						n++
					}
				}
			})
			return n
		}
		for range 35 {
			time.Sleep(100 * time.Millisecond)
			if n := suspected(); n > 0 {
				t.Fatalf("got %d suspected workers while the log was slow, want 0", n)
			}
		}
		in.log.SetFaults(standin.LogFaults{})
		in.presence.SetFaults(standin.LogFaults{})
		for _, a := range in.agents[1:] {
			a.losesHeartbeats.Store(false)
		}
		for range 15 {
			time.Sleep(100 * time.Millisecond)
			if n := suspected(); n > 1 {
				t.Fatalf("got %d suspected workers after the log was slow, want at most the silent one", n)
			}
		}
		before, _ := in.log.Counts()
		time.Sleep(10 * time.Second)
		if after, _ := in.log.Counts(); after == before {
			t.Error("got no record about the silent worker in 10 s, want suspicions")
		}
	})
}
