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

// keyedFixture starts replicas that share one keyed log.
type keyedFixture struct {
	t    *testing.T
	log  standin.Log
	kept standin.KeyIndex
}

func (f *keyedFixture) start(name string, options journal.Options) *replica {
	f.t.Helper()
	log := &standin.KeyedLog{Log: &f.log, Index: &f.kept, Writer: name}
	r := &replica{counter: &counter{}}
	r.Journal = journal.New[string](log, "words", incarnation.New(name, time.Now()), journal.StateMachine[string](r.counter), options)
	ctx, cancel := context.WithCancel(f.t.Context())
	ended := r.Start(ctx)
	r.stop = func() {
		cancel()
		if err := <-ended; err != nil {
			f.t.Error(err)
		}
	}
	return r
}

// All replicas are stopped for longer than the log keeps records. A new one must find
// the state in the records that the log keeps by key.
func TestKeyedStreamSurvivesStopOfAllReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &keyedFixture{t: t, log: standin.Log{KeepTime: 20 * time.Second}}
		a := f.start("a", journal.Options{SnapshotEvery: 10})
		for i := range 47 {
			if err := a.propose(t, fmt.Sprint("word", i), time.Second); err != nil {
				t.Fatal(err)
			}
			time.Sleep(200 * time.Millisecond)
		}
		a.stop()
		time.Sleep(time.Hour)
		b := f.start("b", journal.Options{SnapshotEvery: 10})
		defer b.stop()
		time.Sleep(time.Second)
		for i := range 47 {
			if n := b.count(fmt.Sprint("word", i)); n != 1 {
				t.Errorf("word%d was counted %d times, want 1", i, n)
			}
		}
	})
}

// A replica is cut off from the log until the log has trimmed records that it has not
// read. It must load the state from the records kept by key.
func TestReplicaBehindKeyedLogReloadsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &keyedFixture{t: t, log: standin.Log{KeepRecords: 30}}
		a := f.start("a", journal.Options{SnapshotEvery: 10})
		defer a.stop()
		logOfB := &standin.KeyedLog{Log: &f.log, Index: &f.kept, Writer: "b"}
		b := &replica{counter: &counter{}}
		b.Journal = journal.New[string](logOfB, "words", "b", journal.StateMachine[string](b.counter), journal.Options{MaySnapshot: func() bool { return false }})
		ctx, cancel := context.WithCancel(t.Context())
		ended := b.Start(ctx)
		time.Sleep(time.Second)
		logOfB.SetDown(true)
		for i := range 100 {
			if err := a.propose(t, fmt.Sprint("word", i%5), time.Second); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		logOfB.SetDown(false)
		time.Sleep(5 * time.Second)
		for i := range 5 {
			if n := b.count(fmt.Sprint("word", i)); n != 20 {
				t.Errorf("word%d was counted %d times, want 20", i, n)
			}
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// Another replica writes a snapshot while this one collects the newest records, so
// that some of the records that the snapshot covers are missing from the result. The
// loaded state must still include them.
func TestSnapshotDuringLoadLosesNoRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &keyedFixture{t: t}
		a := f.start("a", journal.Options{SnapshotEvery: 1000})
		for i := range 6 {
			if err := a.propose(t, fmt.Sprint("word", i), time.Second); err != nil {
				t.Fatal(err)
			}
		}
		log := &racingLog{KeyedLog: &standin.KeyedLog{Log: &f.log, Index: &f.kept, Writer: "late"}}
		log.betweenPages = func() {
			// Another replica writes a snapshot that covers all records.
			c := f.start("c", journal.Options{SnapshotEvery: 2})
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
				t.Errorf("word%d was counted %d times, want 1", i, n)
			}
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		a.stop()
	})
}

// racingLog returns the newest records from two pages and calls betweenPages once
// between reading them.
type racingLog struct {
	*standin.KeyedLog
	betweenPages func()
}

func (l *racingLog) Newest(ctx context.Context, stream platform.Stream) ([]platform.LogRecord, platform.Offset, error) {
	first, next, err := l.KeyedLog.Newest(ctx, stream)
	if err != nil || l.betweenPages == nil {
		return first, next, err
	}
	betweenPages := l.betweenPages
	l.betweenPages = nil
	betweenPages()
	second, _, err := l.KeyedLog.Newest(ctx, stream)
	if err != nil {
		return nil, 0, err
	}
	// The first page has the first two keys, the second page the remaining ones.
	records := first[:2]
	for _, r := range second {
		if r.Key > first[1].Key {
			records = append(records, r)
		}
	}
	return records, next, nil
}
