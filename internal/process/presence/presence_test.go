package presence_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"corianderpass/internal/process/presence"
	"corianderpass/internal/process/standin"
	"corianderpass/internal/process/workload"
)

// listening runs a listener in virtual time.
func listening(t *testing.T, f func(t *testing.T, log *standin.Log, l *presence.Listener)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		var log standin.Log
		l := presence.NewListener(&log, func() time.Duration { return time.Since(begun) + time.Hour })
		ctx, cancel := context.WithCancel(t.Context())
		ended := l.Start(ctx)
		f(t, &log, l)
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

func send(t *testing.T, log *standin.Log, life workload.LifeID) {
	t.Helper()
	if err := presence.Send(t.Context(), log, presence.Heartbeat{Life: life}); err != nil {
		t.Fatal(err)
	}
}

func TestSilenceCountsFromTheLastPresence(t *testing.T) {
	listening(t, func(t *testing.T, log *standin.Log, l *presence.Listener) {
		time.Sleep(3 * time.Second)
		send(t, log, "heard")
		time.Sleep(2 * time.Second)
		if s := l.Silence("heard"); s < time.Second || s > 2*time.Second {
			t.Errorf("heard has been silent for %v", s)
		}
		if s := l.Silence("other"); s < 4*time.Second {
			t.Errorf("one who never spoke has been silent for %v", s)
		}
		l.RecordContact("other")
		if s := l.Silence("other"); s != 0 {
			t.Errorf("one who was heard of by other means has been silent for %v", s)
		}
		l.Retain(func(workload.LifeID) bool { return false })
		if s := l.Silence("other"); s < 4*time.Second {
			t.Errorf("a forgotten one has been silent for %v", s)
		}
	})
}

// The failure: the log, or the listener's way to it, is away. Nobody must look silent
// for that.
func TestNobodyIsSilentWhileNothingCanBeHeard(t *testing.T) {
	listening(t, func(t *testing.T, log *standin.Log, l *presence.Listener) {
		send(t, log, "life")
		time.Sleep(5 * time.Second)
		log.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(2 * time.Second)
		if s := l.Silence("life"); s != 0 {
			t.Errorf("silent for %v while the log is down", s)
		}
		log.SetFaults(standin.LogFaults{})
		time.Sleep(1500 * time.Millisecond)
		// It counts anew, since presences may have been lost meanwhile.
		if s := l.Silence("life"); s > 1500*time.Millisecond {
			t.Errorf("silent for %v just after the outage", s)
		}
	})
}

// The same for an outage that is over before it is noticed by its length.
func TestAShortOutageMakesNobodySilent(t *testing.T) {
	listening(t, func(t *testing.T, log *standin.Log, l *presence.Listener) {
		time.Sleep(2 * time.Second)
		send(t, log, "life")
		time.Sleep(500 * time.Millisecond)
		log.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(800 * time.Millisecond)
		log.SetFaults(standin.LogFaults{})
		time.Sleep(500 * time.Millisecond)
		if s := l.Silence("life"); s > time.Second {
			t.Errorf("silent for %v after an outage of 0.8 s", s)
		}
	})
}
