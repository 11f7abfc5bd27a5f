package journal_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/standin"
	"corianderpass/pkg/platform"
)

// counter is a machine that counts how often each word was recorded. The word
// "bad" is void.
type counter struct {
	words map[string]int
}

var errBad = errors.New("bad word")

func (c *counter) Apply(_ journal.Position, word string) error {
	if word == "bad" {
		return errBad
	}
	if c.words == nil {
		c.words = map[string]int{}
	}
	c.words[word]++
	return nil
}

func (c *counter) MarshalSnapshot() ([]byte, error) { return json.Marshal(c.words) }

func (c *counter) RestoreSnapshot(data []byte) error {
	c.words = nil
	return json.Unmarshal(data, &c.words)
}

// replica is a started journal of the stream "words".
type replica struct {
	*journal.Journal[string]
	counter *counter
	stop    func()
}

func start(t *testing.T, log *standin.Log, name string, options journal.Options) *replica {
	t.Helper()
	r := &replica{counter: &counter{}}
	r.Journal = journal.New(log, "words", incarnation.New(name, time.Now()), journal.StateMachine[string](r.counter), options)
	ctx, cancel := context.WithCancel(t.Context())
	ended := r.Start(ctx)
	r.stop = func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
	return r
}

func (r *replica) count(word string) int {
	n := 0
	r.View(func(time.Time) { n = r.counter.words[word] })
	return n
}

func (r *replica) propose(t *testing.T, word string, within time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	return r.Propose(ctx, word)
}

func TestAProposalIsFoldedOnceByEveryReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a, b := start(t, log, "a", journal.Options{}), start(t, log, "b", journal.Options{})
		defer a.stop()
		defer b.stop()
		if err := a.propose(t, "hello", time.Second); err != nil {
			t.Fatal(err)
		}
		err := b.propose(t, "bad", time.Second)
		var void *journal.RejectedError
		if !errors.As(err, &void) || !errors.Is(err, errBad) {
			t.Fatalf("verdict %v, want void", err)
		}
		time.Sleep(time.Second)
		if a.count("hello") != 1 || b.count("hello") != 1 {
			t.Fatalf("counts %d and %d, want 1", a.count("hello"), b.count("hello"))
		}
	})
}

// The failure: answers and appends are lost, in any mix. Without the sequences
// in the envelopes a repeated append is folded twice.
func TestLostAnswersNeitherLoseNorRepeatAProposal(t *testing.T) {
	for _, faults := range []standin.LogFaults{
		{LoseAnswers: 0.5, Seed: 1},
		{LoseAppends: 0.5, Seed: 2},
		{LoseAnswers: 0.4, LoseAppends: 0.4, Delay: 20 * time.Millisecond, Seed: 3},
		// The tail is slower than the writer's next try.
		{LoseAnswers: 0.5, Delay: 300 * time.Millisecond, Seed: 4},
	} {
		synctest.Test(t, func(t *testing.T) {
			log := &standin.Log{AppendsPerSecond: 400}
			log.SetFaults(faults)
			a, b := start(t, log, "a", journal.Options{}), start(t, log, "b", journal.Options{})
			defer a.stop()
			defer b.stop()
			const words = 200
			ended := make(chan error, words)
			for i := range words {
				go func() { ended <- a.propose(t, fmt.Sprint("word", i), time.Hour) }()
			}
			for range words {
				if err := <-ended; err != nil {
					t.Errorf("%+v: %v", faults, err)
				}
			}
			time.Sleep(time.Minute)
			for i := range words {
				if n := b.count(fmt.Sprint("word", i)); n != 1 {
					t.Errorf("%+v: word %d was folded %d times", faults, i, n)
				}
			}
		})
	}
}

func TestADownLogRefusesAtOnceAndLosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := start(t, log, "a", journal.Options{})
		defer a.stop()
		if err := a.propose(t, "before", time.Second); err != nil {
			t.Fatal(err)
		}
		log.SetFaults(standin.LogFaults{Down: true})
		begun := time.Now()
		for range 3 {
			if err := a.propose(t, "during", time.Hour); !errors.Is(err, journal.ErrNotAppended) {
				t.Fatalf("verdict %v, want ErrNotAppended", err)
			}
		}
		if took := time.Since(begun); took > 100*time.Millisecond {
			t.Fatalf("refusals took %s", took)
		}
		time.Sleep(10 * time.Minute)
		log.SetFaults(standin.LogFaults{})
		time.Sleep(5 * time.Second)
		if err := a.propose(t, "after", time.Second); err != nil {
			t.Fatal(err)
		}
		if a.count("during") != 0 || a.count("after") != 1 || a.count("before") != 1 {
			t.Fatalf("counts %+v", a.counter.words)
		}
	})
}

// The failure: an append arrives again, at once and after later ones.
func TestARepeatedEnvelopeIsFoldedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := start(t, log, "a", journal.Options{})
		defer a.stop()
		for _, sequence := range []int{1, 1, 2, 1, 2, 3} {
			payload := fmt.Sprintf(`{"Writer":"w","Sequence":%d,"Time":%d,"Records":["word%d"]}`, sequence, time.Now().UnixMilli(), sequence)
			if _, err := log.Append(t.Context(), "words", []byte(payload)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		for sequence := 1; sequence <= 3; sequence++ {
			if n := a.count(fmt.Sprint("word", sequence)); n != 1 {
				t.Errorf("sequence %d was folded %d times", sequence, n)
			}
		}
	})
}

// The failure: an outage that nothing else ends than the next proposal, which is
// refused while the log is thought to be down.
func TestTheEndOfAnOutageIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := start(t, log, "a", journal.Options{})
		defer a.stop()
		log.SetFaults(standin.LogFaults{Down: true})
		if err := a.propose(t, "during", time.Hour); !errors.Is(err, journal.ErrNotAppended) {
			t.Fatalf("verdict %v, want ErrNotAppended", err)
		}
		time.Sleep(time.Minute)
		log.SetFaults(standin.LogFaults{})
		time.Sleep(3 * time.Second)
		if err := a.propose(t, "after", time.Second); err != nil {
			t.Fatal(err)
		}
	})
}

// The failure: a caller gives up while the fate of its append is open. The
// answer must say so, and the proposal may take effect later but only once.
func TestAnUnknownFateIsNotCalledRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := start(t, log, "a", journal.Options{})
		defer a.stop()
		log.SetFaults(standin.LogFaults{Delay: 10 * time.Second})
		if err := a.propose(t, "slow", 3*time.Second); !errors.Is(err, journal.ErrFateUnknown) {
			t.Fatalf("verdict %v, want ErrFateUnknown", err)
		}
		log.SetFaults(standin.LogFaults{})
		time.Sleep(time.Minute)
		if n := a.count("slow"); n != 1 {
			t.Fatalf("folded %d times", n)
		}
	})
}

func TestSnapshotsOutrunRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{KeepRecords: 200}
		a := start(t, log, "a", journal.Options{SnapshotEvery: 50})
		defer a.stop()
		for i := range 1000 {
			if err := a.propose(t, fmt.Sprint("word", i%10), time.Minute); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		late := start(t, log, "late", journal.Options{SnapshotEvery: 50})
		defer late.stop()
		time.Sleep(5 * time.Second)
		if !late.CaughtUp() || late.Offset() != a.Offset() {
			t.Fatalf("late replica at %d, first at %d", late.Offset(), a.Offset())
		}
		for i := range 10 {
			if n := late.count(fmt.Sprint("word", i)); n != 100 {
				t.Fatalf("word %d counted %d times, want 100", i, n)
			}
		}
	})
}

// The failure: a stream is idle for longer than the log keeps records, so that
// the snapshot itself is trimmed. Without snapshots by age the state is lost.
func TestAnIdleStreamOutlivesRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{KeepTime: time.Hour}
		a := start(t, log, "a", journal.Options{SnapshotAge: 10 * time.Minute})
		defer a.stop()
		if err := a.propose(t, "once", time.Second); err != nil {
			t.Fatal(err)
		}
		time.Sleep(24 * time.Hour)
		late := start(t, log, "late", journal.Options{})
		defer late.stop()
		time.Sleep(5 * time.Second)
		if late.count("once") != 1 {
			t.Fatal("the state was trimmed away")
		}
	})
}

func TestAReplicaThatStartsInAnOutageTakesItsStateFromAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := start(t, log, "a", journal.Options{})
		defer a.stop()
		for range 5 {
			if err := a.propose(t, "word", time.Second); err != nil {
				t.Fatal(err)
			}
		}
		log.SetFaults(standin.LogFaults{Down: true})
		b := start(t, log, "b", journal.Options{})
		defer b.stop()
		time.Sleep(time.Second)
		if b.HasState() {
			t.Fatal("a state is known without log and peer")
		}
		offset, data, err := a.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if taken, err := b.Seed(offset, data); !taken || err != nil {
			t.Fatalf("seed taken %t, %v", taken, err)
		}
		if taken, err := b.Seed(offset, data); taken || err != nil {
			t.Fatalf("the same seed was taken again: %t, %v", taken, err)
		}
		if b.count("word") != 5 {
			t.Fatalf("counted %d", b.count("word"))
		}
		log.SetFaults(standin.LogFaults{})
		time.Sleep(3 * time.Second)
		if err := a.propose(t, "word", time.Second); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if b.count("word") != 6 {
			t.Fatalf("after the outage counted %d, want 6", b.count("word"))
		}
	})
}

// The failure: a paused process wakes after the log trimmed what it missed. It
// must start from a snapshot, not fold the tail onto an old state.
func TestAReplicaThatMissedTrimmedRecordsStartsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{KeepRecords: 100}
		a := start(t, log, "a", journal.Options{SnapshotEvery: 20})
		defer a.stop()
		offset, data := seedOf(t, a)
		for range 500 {
			if err := a.propose(t, "word", time.Minute); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		paused := start(t, log, "paused", journal.Options{SnapshotEvery: 20})
		defer paused.stop()
		if _, err := paused.Seed(offset, data); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if n := paused.count("word"); n != 501 {
			t.Fatalf("counted %d, want 501", n)
		}
	})
}

func seedOf(t *testing.T, a *replica) (offset platform.Offset, data []byte) {
	t.Helper()
	if err := a.propose(t, "word", time.Second); err != nil {
		t.Fatal(err)
	}
	offset, data, err := a.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return offset, data
}

// One writer's wrong clock must not move the stream's time by more than a step.
func TestAWrongClockMovesTimeByABoundedStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := start(t, log, "a", journal.Options{})
		defer a.stop()
		if err := a.propose(t, "word", time.Second); err != nil {
			t.Fatal(err)
		}
		ahead := fmt.Sprintf(`{"Writer":"ahead","Sequence":1,"Time":%d,"Records":["word"]}`, time.Now().Add(24*time.Hour).UnixMilli())
		if _, err := log.Append(t.Context(), "words", []byte(ahead)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		var seen time.Time
		a.View(func(now time.Time) { seen = now })
		if lead := seen.Sub(time.Now()); lead > time.Minute {
			t.Fatalf("the stream's time is %s ahead", lead)
		}
	})
}

// The failure: nothing is recorded for a day, and for an hour the log is down. The
// stream's time must not fall behind by more than its step, or what waits for
// it, an expiry say, waits far too long.
func TestAQuietStreamKeepsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a, b := start(t, log, "a", journal.Options{}), start(t, log, "b", journal.Options{})
		defer a.stop()
		defer b.stop()
		if err := a.propose(t, "word", time.Second); err != nil {
			t.Fatal(err)
		}
		lag := func() time.Duration {
			var seen time.Time
			b.View(func(now time.Time) { seen = now })
			return time.Since(seen)
		}
		time.Sleep(24 * time.Hour)
		if behind := lag(); behind > time.Minute {
			t.Errorf("after a quiet day %s behind", behind)
		}
		log.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(time.Hour)
		log.SetFaults(standin.LogFaults{})
		time.Sleep(90 * time.Second)
		if behind := lag(); behind > time.Minute {
			t.Errorf("90 s after an hour's outage %s behind", behind)
		}
		// At most one in the least quiet time, which is 15 s.
		if appends, _ := log.Counts(); appends > 25*3600/15 {
			t.Errorf("%d appends to keep time", appends)
		}
	})
}

func TestAForeignPayloadIsVoid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := start(t, log, "a", journal.Options{})
		defer a.stop()
		if _, err := log.Append(t.Context(), "words", []byte("no envelope")); err != nil {
			t.Fatal(err)
		}
		if err := a.propose(t, "word", time.Second); err != nil {
			t.Fatal(err)
		}
		if a.Offset() != 2 || a.count("word") != 1 {
			t.Fatalf("offset %d, count %d", a.Offset(), a.count("word"))
		}
	})
}
