package journal_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/standin"
	"corianderpass/pkg/platform"
)

// keyedWorld is a keyed log that several replicas share.
type keyedWorld struct {
	t    *testing.T
	log  standin.Log
	kept standin.KeyIndex
}

func (w *keyedWorld) start(name string, options journal.Options) *replica {
	w.t.Helper()
	log := &standin.KeyedLog{Log: &w.log, Index: &w.kept, Writer: name}
	r := &replica{counter: &counter{}}
	r.Journal = journal.New[string](log, "words", incarnation.New(name, time.Now()), journal.StateMachine[string](r.counter), options)
	ctx, cancel := context.WithCancel(w.t.Context())
	ended := r.Start(ctx)
	r.stop = func() {
		cancel()
		if err := <-ended; err != nil {
			w.t.Error(err)
		}
	}
	return r
}

// The failure: every process is down for longer than the log keeps records.
func TestAKeyedStreamOutlastsAnyOutageOfAllReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &keyedWorld{t: t, log: standin.Log{KeepTime: 20 * time.Second}}
		a := w.start("a", journal.Options{SnapshotEvery: 10})
		for i := range 47 {
			if err := a.propose(t, fmt.Sprint("word", i), time.Second); err != nil {
				t.Fatal(err)
			}
			time.Sleep(200 * time.Millisecond)
		}
		a.stop()
		time.Sleep(time.Hour)
		b := w.start("b", journal.Options{SnapshotEvery: 10})
		defer b.stop()
		time.Sleep(time.Second)
		for i := range 47 {
			if n := b.count(fmt.Sprint("word", i)); n != 1 {
				t.Errorf("word%d stands %d times", i, n)
			}
		}
	})
}

// The failure: a replica stands still while the others go on, until the log has
// dropped what it has not read.
func TestAReplicaThatFellBehindLoadsTheState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &keyedWorld{t: t, log: standin.Log{KeepRecords: 30}}
		a := w.start("a", journal.Options{SnapshotEvery: 10})
		defer a.stop()
		behind := &standin.KeyedLog{Log: &w.log, Index: &w.kept, Writer: "b"}
		b := &replica{counter: &counter{}}
		b.Journal = journal.New[string](behind, "words", "b", journal.StateMachine[string](b.counter), journal.Options{MaySnapshot: func() bool { return false }})
		ctx, cancel := context.WithCancel(t.Context())
		ended := b.Start(ctx)
		time.Sleep(time.Second)
		behind.SetDown(true)
		for i := range 100 {
			if err := a.propose(t, fmt.Sprint("word", i%5), time.Second); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		behind.SetDown(false)
		time.Sleep(5 * time.Second)
		for i := range 5 {
			if n := b.count(fmt.Sprint("word", i)); n != 20 {
				t.Errorf("word%d stands %d times, want 20", i, n)
			}
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// The failure: a snapshot is written while another replica gathers the newest
// records, so that some that it covers are missing from what was gathered.
func TestASnapshotDuringALoadLosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &keyedWorld{t: t}
		a := w.start("a", journal.Options{SnapshotEvery: 1000})
		for i := range 6 {
			if err := a.propose(t, fmt.Sprint("word", i), time.Second); err != nil {
				t.Fatal(err)
			}
		}
		log := &raceLog{KeyedLog: &standin.KeyedLog{Log: &w.log, Index: &w.kept, Writer: "late"}}
		log.meanwhile = func() {
			// Another replica covers everything with a snapshot.
			c := w.start("c", journal.Options{SnapshotEvery: 2})
			time.Sleep(2 * time.Second)
			c.stop()
		}
		late := &replica{counter: &counter{}}
		late.Journal = journal.New[string](log, "words", "late", journal.StateMachine[string](late.counter), journal.Options{MaySnapshot: func() bool { return false }})
		ctx, cancel := context.WithCancel(t.Context())
		ended := late.Start(ctx)
		time.Sleep(10 * time.Second)
		for i := range 6 {
			if n := late.count(fmt.Sprint("word", i)); n != 1 {
				t.Errorf("word%d stands %d times", i, n)
			}
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		a.stop()
	})
}

// raceLog gathers the newest records in two pages, with something in between.
type raceLog struct {
	*standin.KeyedLog
	meanwhile func()
}

func (l *raceLog) Newest(ctx context.Context, stream platform.Stream) ([]platform.LogRecord, platform.Offset, error) {
	first, next, err := l.KeyedLog.Newest(ctx, stream)
	if err != nil || l.meanwhile == nil {
		return first, next, err
	}
	meanwhile := l.meanwhile
	l.meanwhile = nil
	meanwhile()
	second, _, err := l.KeyedLog.Newest(ctx, stream)
	if err != nil {
		return nil, 0, err
	}
	// The first page had the first two keys, the second one what is left behind them.
	records := first[:2]
	for _, r := range second {
		if r.Key > first[1].Key {
			records = append(records, r)
		}
	}
	return records, next, nil
}
