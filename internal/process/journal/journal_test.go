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

// counter is a state machine that counts how often each word was recorded. It rejects
// the word "bad".
type counter struct {
	words map[string]int
}

var errBadWord = errors.New("bad word")

func (c *counter) Apply(_ journal.Position, word string) error {
	if word == "bad" {
		return errBadWord
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

func (r *replica) propose(t *testing.T, word string, timeout time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return r.Propose(ctx, word)
}

// Both replicas must fold an accepted proposal exactly once, and the writer of a rejected
// one must receive the reason of the state machine.
func TestEveryReplicaFoldsProposalOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a, b := start(t, log, "a", journal.Options{}), start(t, log, "b", journal.Options{})
		defer a.stop()
		defer b.stop()
		if err := a.propose(t, "hello", time.Second); err != nil {
			t.Fatal(err)
		}
		err := b.propose(t, "bad", time.Second)
		var rejected *journal.RejectedError
		if !errors.As(err, &rejected) || !errors.Is(err, errBadWord) {
			t.Fatalf("got result %v, want a RejectedError", err)
		}
		time.Sleep(time.Second)
		if a.count("hello") != 1 || b.count("hello") != 1 {
			t.Fatalf("got counts %d and %d, want 1 on each replica", a.count("hello"), b.count("hello"))
		}
	})
}

// Answers and appends are lost, so that the writer repeats appends. Without the
// sequences in the envelopes a repeated append would be folded twice.
func TestProposalIsFoldedOnceDespiteLostAppends(t *testing.T) {
	for _, faults := range []standin.LogFaults{
		{LoseAnswers: 0.5, Seed: 1},
		{LoseAppends: 0.5, Seed: 2},
		{LoseAnswers: 0.4, LoseAppends: 0.4, Delay: 20 * time.Millisecond, Seed: 3},
		// Reading the record back takes longer than the writer's next attempt.
		{LoseAnswers: 0.5, Delay: 300 * time.Millisecond, Seed: 4},
	} {
		synctest.Test(t, func(t *testing.T) {
			log := &standin.Log{AppendsPerSecond: 400}
			log.SetFaults(faults)
			a, b := start(t, log, "a", journal.Options{}), start(t, log, "b", journal.Options{})
			defer a.stop()
			defer b.stop()
			const words = 200
			results := make(chan error, words)
			for i := range words {
				go func() { results <- a.propose(t, fmt.Sprint("word", i), time.Hour) }()
			}
			for range words {
				if err := <-results; err != nil {
					t.Errorf("faults %+v: got result %v, want nil", faults, err)
				}
			}
			time.Sleep(time.Minute)
			for i := range words {
				if n := b.count(fmt.Sprint("word", i)); n != 1 {
					t.Errorf("faults %+v: word %d was folded %d times, want 1", faults, i, n)
				}
			}
		})
	}
}

// While the log is down a proposal must fail immediately with ErrNotAppended and never
// take effect, and the state must be kept until the log accepts appends again.
func TestProposeFailsImmediatelyWhileLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := start(t, log, "a", journal.Options{})
		defer a.stop()
		if err := a.propose(t, "before", time.Second); err != nil {
			t.Fatal(err)
		}
		log.SetFaults(standin.LogFaults{Down: true})
		start := time.Now()
		for range 3 {
			if err := a.propose(t, "during", time.Hour); !errors.Is(err, journal.ErrNotAppended) {
				t.Fatalf("got result %v, want ErrNotAppended", err)
			}
		}
		if elapsed := time.Since(start); elapsed > 100*time.Millisecond {
			t.Fatalf("three refusals took %s, want at most 100 ms", elapsed)
		}
		time.Sleep(10 * time.Minute)
		log.SetFaults(standin.LogFaults{})
		time.Sleep(5 * time.Second)
		if err := a.propose(t, "after", time.Second); err != nil {
			t.Fatal(err)
		}
		if a.count("during") != 0 || a.count("after") != 1 || a.count("before") != 1 {
			t.Fatalf("got counts %+v, want before and after once each", a.counter.words)
		}
	})
}

// A writer's append arrives in the log several times, directly after the first time and
// after later appends. Folding it again would apply its records twice.
func TestRepeatedEnvelopeIsFoldedOnce(t *testing.T) {
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
				t.Errorf("sequence %d was folded %d times, want 1", sequence, n)
			}
		}
	})
}

// Proposals are refused without an append while the log counts as down. Without a
// probe nothing would detect that the log has recovered.
func TestProposeSucceedsAfterLogRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := start(t, log, "a", journal.Options{})
		defer a.stop()
		log.SetFaults(standin.LogFaults{Down: true})
		if err := a.propose(t, "during", time.Hour); !errors.Is(err, journal.ErrNotAppended) {
			t.Fatalf("got result %v, want ErrNotAppended", err)
		}
		time.Sleep(time.Minute)
		log.SetFaults(standin.LogFaults{})
		time.Sleep(3 * time.Second)
		if err := a.propose(t, "after", time.Second); err != nil {
			t.Fatal(err)
		}
	})
}

// A caller's context ends while its append is in progress. Propose must return
// ErrFateUnknown rather than a refusal, since the proposal may take effect later. It
// must not take effect twice.
func TestProposeReturnsErrFateUnknownOnTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := start(t, log, "a", journal.Options{})
		defer a.stop()
		log.SetFaults(standin.LogFaults{Delay: 10 * time.Second})
		if err := a.propose(t, "slow", 3*time.Second); !errors.Is(err, journal.ErrFateUnknown) {
			t.Fatalf("got result %v, want ErrFateUnknown", err)
		}
		log.SetFaults(standin.LogFaults{})
		time.Sleep(time.Minute)
		if n := a.count("slow"); n != 1 {
			t.Fatalf("proposal was folded %d times, want 1", n)
		}
	})
}

// The log keeps 200 records. A replica that starts after 1000 must find a snapshot
// among them and reach the same state.
func TestLateReplicaStartsFromSnapshotOfTrimmedLog(t *testing.T) {
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
			t.Fatalf("late replica is at offset %d, want %d", late.Offset(), a.Offset())
		}
		for i := range 10 {
			if n := late.count(fmt.Sprint("word", i)); n != 100 {
				t.Fatalf("word %d was counted %d times, want 100", i, n)
			}
		}
	})
}

// A stream is idle for longer than the log keeps records, so that the log trims the
// newest snapshot too. Without snapshots by age the state would be lost.
func TestIdleStreamKeepsStateBeyondRetention(t *testing.T) {
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
			t.Fatal("got no count of the word after the log trimmed its record, want 1")
		}
	})
}

// A replica that starts while the log is down takes its state from a peer, refuses
// the same state a second time, and reads on once the log has recovered.
func TestSeedDuringLogOutage(t *testing.T) {
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
			t.Fatal("got a state before the replica reached the log or a peer, want none")
		}
		offset, data, err := a.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if taken, err := b.Seed(offset, data); !taken || err != nil {
			t.Fatalf("Seed returned %t, %v, want true", taken, err)
		}
		if taken, err := b.Seed(offset, data); taken || err != nil {
			t.Fatalf("Seed of the same state returned %t, %v, want false", taken, err)
		}
		if b.count("word") != 5 {
			t.Fatalf("after Seed got count %d, want 5", b.count("word"))
		}
		log.SetFaults(standin.LogFaults{})
		time.Sleep(3 * time.Second)
		if err := a.propose(t, "word", time.Second); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if b.count("word") != 6 {
			t.Fatalf("after the outage got count %d, want 6", b.count("word"))
		}
	})
}

// A proposal is in the state that a peer provides, before its own replica has read it back. Its caller must
// learn that at once instead of waiting for a result that never comes.
func TestSeedAnswersProposalsThatItCovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := start(t, log, "a", journal.Options{})
		defer a.stop()
		b := start(t, log, "b", journal.Options{ReadPause: func() time.Duration { return time.Hour }})
		defer b.stop()
		if err := a.propose(t, "word", time.Second); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		log.SetFaults(standin.LogFaults{LoseAnswers: 1})
		pending, err := b.Enqueue("word")
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		offset, data, err := a.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := b.Seed(offset, data); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-pending.Done():
			if !errors.Is(err, journal.ErrFateUnknown) || b.count("word") != 2 {
				t.Errorf("got error %v and count %d, want ErrFateUnknown and 2", err, b.count("word"))
			}
		case <-time.After(time.Second):
			t.Error("got no result of the proposal within a second of Seed, want one")
		}
	})
}

// A process was suspended until the log had trimmed records that it had not read. It
// must restore a snapshot instead of folding the remaining records onto its old state.
func TestReplicaBehindTrimmedLogRestoresSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{KeepRecords: 100}
		a := start(t, log, "a", journal.Options{SnapshotEvery: 20})
		defer a.stop()
		offset, data := proposeAndSnapshot(t, a)
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
			t.Fatalf("got count %d, want 501", n)
		}
	})
}

func proposeAndSnapshot(t *testing.T, a *replica) (offset platform.Offset, data []byte) {
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

// An envelope from a writer whose clock is a day ahead must advance the stream's time
// by at most one minute.
func TestWrongWriterClockAdvancesTimeByBoundedStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := start(t, log, "a", journal.Options{})
		defer a.stop()
		if err := a.propose(t, "word", time.Second); err != nil {
			t.Fatal(err)
		}
		payload := fmt.Sprintf(`{"Writer":"ahead","Sequence":1,"Time":%d,"Records":["word"]}`, time.Now().Add(24*time.Hour).UnixMilli())
		if _, err := log.Append(t.Context(), "words", []byte(payload)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		var streamTime time.Time
		a.View(func(now time.Time) { streamTime = now })
		if ahead := streamTime.Sub(time.Now()); ahead > time.Minute {
			t.Fatalf("the stream's time is %s ahead, want at most 1m", ahead)
		}
	})
}

// Nothing is recorded for a day, and then the log is down for an hour. If the stream's
// time fell behind by more than one step, expiries that depend on it would be late.
func TestQuietStreamAdvancesTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a, b := start(t, log, "a", journal.Options{}), start(t, log, "b", journal.Options{})
		defer a.stop()
		defer b.stop()
		if err := a.propose(t, "word", time.Second); err != nil {
			t.Fatal(err)
		}
		timeLag := func() time.Duration {
			var streamTime time.Time
			b.View(func(now time.Time) { streamTime = now })
			return time.Since(streamTime)
		}
		time.Sleep(24 * time.Hour)
		if behind := timeLag(); behind > time.Minute {
			t.Errorf("after a quiet day the stream's time is %s behind, want at most 1m", behind)
		}
		log.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(time.Hour)
		log.SetFaults(standin.LogFaults{})
		time.Sleep(90 * time.Second)
		if behind := timeLag(); behind > time.Minute {
			t.Errorf("90 s after an outage of an hour the stream's time is %s behind, want at most 1m", behind)
		}
		// At most one append per 15 s, the shortest quiet limit.
		if appends, _ := log.Counts(); appends > 25*3600/15 {
			t.Errorf("got %d appends in 25 h, want at most one per 15 s", appends)
		}
	})
}

// A stream contains a payload that is not an envelope. A journal that stopped there, or
// did not advance its offset past the payload, would never fold the records that follow.
func TestForeignPayloadIsSkipped(t *testing.T) {
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
			t.Fatalf("got offset %d and count %d, want 2 and 1", a.Offset(), a.count("word"))
		}
	})
}

// The failure: while the log throttles every append, each probe makes it seem available for 400 ms, so
// that callers wait for an append that is refused.
func TestThrottledLogStaysDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := start(t, &standin.Log{AppendsPerSecond: 0.001}, "a", journal.Options{CheckInterval: 250 * time.Millisecond})
		defer a.stop()
		if err := a.propose(t, "refused", time.Hour); !errors.Is(err, journal.ErrNotAppended) || !errors.Is(err, platform.ErrThrottled) {
			t.Fatalf("got result %v, want ErrNotAppended because of ErrThrottled", err)
		}
		for range 200 {
			time.Sleep(10 * time.Millisecond)
			if !a.Down() {
				t.Fatal("the log seems available while it throttles every append")
			}
		}
	})
}

// The failure: a caller is told that its withdrawn proposal is not in the log, and it is appended once
// the log answers again; or it is told so of a proposal that is part of an append.
func TestOnlyProposalsThatWereNotSentCanBeWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := start(t, log, "a", journal.Options{AppendTimeout: 700 * time.Millisecond})
		defer a.stop()
		time.Sleep(time.Second)
		// Reads have no timeout of their own here, so that the delay must end within the test.
		log.SetFaults(standin.LogFaults{Delay: 5 * time.Second})
		sent, sentErr := a.Enqueue("sent")
		time.Sleep(100 * time.Millisecond)
		waiting, waitingErr := a.Enqueue("waiting")
		if sentErr != nil || waitingErr != nil {
			t.Fatal(sentErr, waitingErr)
		}
		time.Sleep(2 * time.Second)
		if withdrewWaiting, withdrewSent := waiting.Withdraw(), sent.Withdraw(); !withdrewWaiting || withdrewSent {
			t.Errorf("got withdrawals %t of the waiting and %t of the sent proposal, want only the former", withdrewWaiting, withdrewSent)
		}
		log.SetFaults(standin.LogFaults{})
		time.Sleep(10 * time.Second)
		if a.count("sent") != 1 || a.count("waiting") != 0 {
			t.Errorf("got counts %d and %d of the sent and the withdrawn record, want 1 and 0", a.count("sent"), a.count("waiting"))
		}
	})
}

// The failure: the log is back, as a read shows, and proposals are refused until the next periodic check.
func TestFirstReadAfterOutageEndsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := start(t, log, "a", journal.Options{CheckInterval: time.Minute, ReadWait: 10 * time.Millisecond})
		defer a.stop()
		time.Sleep(time.Second)
		log.SetFaults(standin.LogFaults{Down: true})
		if err := a.propose(t, "during", time.Hour); !errors.Is(err, journal.ErrNotAppended) {
			t.Fatalf("got result %v, want ErrNotAppended", err)
		}
		time.Sleep(3 * time.Second)
		log.SetFaults(standin.LogFaults{})
		for deadline := time.Now().Add(300 * time.Millisecond); a.Down(); <-a.Changed() {
			if time.Now().After(deadline) {
				t.Fatal("the log is still down 300ms after it is back")
			}
		}
	})
}

// Guards against records that are folded twice or out of order when a process accepts what it has appended
// before it reads it.
func TestAcceptedRecordsAreFoldedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := start(t, log, "a", journal.Options{})
		defer a.stop()
		b := start(t, log, "b", journal.Options{ReadPause: func() time.Duration { return time.Minute }})
		defer b.stop()
		words := []string{"one", "two", "three", "four"}
		for _, word := range words {
			if err := a.propose(t, word, time.Second); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		records, err := log.Read(t.Context(), "words", 1, 10, 0)
		if err != nil || len(records) != 4 {
			t.Fatalf("got %d records, error %v, want 4", len(records), err)
		}
		b.Accept(records[3:])
		if b.count("one") != 1 || b.count("four") != 0 {
			t.Errorf("before the second record: got counts %d and %d, want 1 and 0", b.count("one"), b.count("four"))
		}
		b.Accept(records[1:3])
		b.Accept(records[1:3])
		if b.count("two") != 1 || b.count("three") != 1 {
			t.Errorf("after two records: got counts %d and %d, want 1 each", b.count("two"), b.count("three"))
		}
		time.Sleep(2 * time.Minute)
		for _, word := range words {
			if n := b.count(word); n != 1 {
				t.Errorf("word %q: got count %d after reading, want 1", word, n)
			}
		}
	})
}
