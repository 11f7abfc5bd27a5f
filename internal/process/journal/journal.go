// Package journal replicates a deterministic state machine over one stream of
// the platform's log. A Journal appends proposed records in groups, repeats
// appends without folding a record twice, folds every record of the stream into
// the state machine in offset order, and writes snapshots before the log trims
// the records that they cover. It starts from a snapshot, from the whole stream
// or from the state of a peer. It relies on the log to return the records of a stream
// in the same order to all readers. Entries and agents run journals; the state machines
// are ledger.State, workload.State and bundle.Register.
package journal

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/incarnation"
	"corianderpass/pkg/platform"
)

var (
	// ErrNotAppended means that the proposal is not in the log and never will be.
	ErrNotAppended = errors.New("journal: log does not accept appends; proposal dropped")
	// ErrFateUnknown means that the proposal may or may not take effect, now or later.
	ErrFateUnknown = errors.New("journal: fate of the proposal is unknown")
)

// RejectedError means that a proposal is in the log, but that the state machine
// rejected it when it was folded. It changed the state of no replica.
type RejectedError struct {
	// Reason is the error that StateMachine.Apply returned.
	Reason error
}

// Error implements the error interface.
func (e *RejectedError) Error() string { return fmt.Sprintf("journal: record rejected: %v", e.Reason) }

// Unwrap returns the reason.
func (e *RejectedError) Unwrap() error { return e.Reason }

// Options configures a journal. A zero field means its default.
type Options struct {
	// Linger is how long the first proposal of a group waits for more proposals to share
	// its append; 3 ms by default.
	Linger time.Duration
	// QueueLimit is the maximum number of proposals that wait for an append; 1024 by
	// default. Propose fails when the queue is full.
	QueueLimit int
	// SnapshotEvery is the number of log records after which a snapshot is due, or the
	// number of kept keys in a keyed log; 4096 by default. It must be well below the
	// number of records that the log keeps.
	SnapshotEvery uint64
	// SnapshotAge is the time after which a snapshot is due even if there are no new
	// records, since the log trims old snapshots too; 10 minutes by default. It
	// must be well below the retention time of the log. Keyed logs do not use it.
	SnapshotAge time.Duration
	// MaySnapshot reports whether this replica writes snapshots at the moment; nil
	// means always. Several replicas may write them safely, but each snapshot costs
	// bytes and time.
	MaySnapshot func() bool
	// AppendTimeout is the timeout of one append call; 2 s by default.
	AppendTimeout time.Duration
	// CheckInterval is the time between two checks for periodic work: probing a log
	// that is down, advancing the time of a quiet stream, and writing snapshots; 1 s
	// by default.
	CheckInterval time.Duration
	// ReadWait is how long a read at the end of the stream waits for new records; 2 s
	// by default.
	ReadWait time.Duration
	// ReadPause returns the pause after a read that returned records, so that records
	// appended in quick succession are read together; nil means no pause.
	ReadPause func() time.Duration
	// CatchUp returns records from the offset on that another process has, in order; it may return none. It is
	// called at each ReadNow, as reading takes long while the log is slow. nil means that no process is asked.
	CatchUp func(ctx context.Context, from platform.Offset) ([]platform.LogRecord, error)
	// Clock is a monotonic clock, which should also count the time while the machine is
	// suspended; by default it returns the time since New.
	Clock func() time.Duration
}

func (o Options) withDefaults() Options {
	if o.Linger == 0 {
		o.Linger = 3 * time.Millisecond
	}
	if o.QueueLimit == 0 {
		o.QueueLimit = 1024
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = 4096
	}
	if o.SnapshotAge == 0 {
		o.SnapshotAge = 10 * time.Minute
	}
	if o.MaySnapshot == nil {
		o.MaySnapshot = func() bool { return true }
	}
	if o.ReadPause == nil {
		o.ReadPause = func() time.Duration { return 0 }
	}
	if o.AppendTimeout == 0 {
		o.AppendTimeout = 2 * time.Second
	}
	if o.CheckInterval == 0 {
		o.CheckInterval = time.Second
	}
	if o.ReadWait == 0 {
		o.ReadWait = 2 * time.Second
	}
	if o.Clock == nil {
		start := time.Now()
		o.Clock = func() time.Duration { return time.Since(start) }
	}
	return o
}

// Journal folds one stream into a state machine and appends proposed records to
// it. Its methods are safe for concurrent use after Start.
type Journal[R any] struct {
	log     platform.Log
	stream  platform.Stream
	writer  incarnation.ID
	options Options

	// queue holds the proposals that are not yet part of an append.
	queue chan *proposal[R]

	// mu guards the fields from state to keptKeys.
	mu    sync.Mutex
	state foldedState[R]
	// started is true once state is the result of folding some prefix of the stream.
	started bool
	// caughtUp is true once a read has reached the end of the stream.
	caughtUp bool
	// completeAsOf is the clock reading at the start of the newest read that reached
	// the end of the stream; it is valid only if caughtUp is true.
	completeAsOf time.Duration
	// changed is closed and replaced whenever the state changes.
	changed chan struct{}
	// inFlight holds, by sequence, the groups whose result is not known yet.
	inFlight map[uint64][]*proposal[R]
	// downReason is the error of the newest append if that failed, nil after a successful one.
	downReason error
	// lastSnapshot is the last offset that the newest snapshot in the stream covers,
	// and lastSnapshotReadAt the time at which that snapshot was read. Before a
	// snapshot has been read they are 0 and the time of Start.
	lastSnapshot       platform.Offset
	lastSnapshotReadAt time.Time
	// lastFolded is the time at which the last envelope was folded. If no other
	// envelope is folded within quietLimit, this replica appends an empty one.
	lastFolded time.Time
	quietLimit time.Duration
	// sequence is the sequence of the last envelope that this writer built.
	sequence  uint64
	assembler snapshotAssembler
	// pending holds the records that were read while started was false. They are folded
	// once a snapshot has been restored.
	pending []platform.LogRecord
	// keptKeys has the keys that a keyed log (platform.KeyedLog) keeps, each with the
	// offset of its newest record; nil for other logs.
	keptKeys map[platform.Key]platform.Offset
	// readNow carries at most one signal, which ends the current or the next pause
	// between two reads.
	readNow chan struct{}
	// catchUpNow carries at most one signal, which makes catchUpLoop call Options.CatchUp.
	catchUpNow chan struct{}
	// readsFail is true from a failed read until the next successful one. Only tailLoop uses it.
	readsFail bool
	// probeNow carries at most one signal, which makes writeLoop probe a log that is down.
	probeNow chan struct{}
	// appends tracks the append calls in progress.
	appends sync.WaitGroup
}

// proposal is a proposed record with the channel for its result.
type proposal[R any] struct {
	record R
	// done receives at most one result; nil means that the record took effect.
	done chan error
	// claimed is true once the proposal is part of an append or was withdrawn. Whoever sets it
	// decides which of the two.
	claimed atomic.Bool
}

// claim reports whether the proposal was neither part of an append nor withdrawn before.
func (p *proposal[R]) claim() bool { return p.claimed.CompareAndSwap(false, true) }

// Pending is a proposal whose result may not be known yet.
type Pending struct {
	done  <-chan error
	claim func() bool
}

// Done returns the channel that receives the result of the proposal, with the meaning that
// Propose gives it. It receives nothing after a successful Withdraw.
func (p *Pending) Done() <-chan error { return p.done }

// Withdraw reports whether the proposal was withdrawn. It then is not in the log and never will
// be. Otherwise it is part of an append.
func (p *Pending) Withdraw() bool { return p.claim() }

// New returns a journal of the stream that folds into the machine and appends as
// the writer. It does not use the log before Start.
func New[R any](log platform.Log, stream platform.Stream, writer incarnation.ID, machine StateMachine[R], options Options) *Journal[R] {
	options = options.withDefaults()
	return &Journal[R]{
		log:        log,
		stream:     stream,
		writer:     writer,
		options:    options,
		queue:      make(chan *proposal[R], options.QueueLimit),
		state:      foldedState[R]{machine: machine},
		changed:    make(chan struct{}),
		readNow:    make(chan struct{}, 1),
		catchUpNow: make(chan struct{}, 1),
		probeNow:   make(chan struct{}, 1),
		inFlight:   map[uint64][]*proposal[R]{},
	}
}

// Start runs the journal in the background until the context ends. The returned
// channel yields one error or nil once all its goroutines and append calls have
// ended. Start must be called only once.
func (j *Journal[R]) Start(ctx context.Context) <-chan error {
	j.lastSnapshotReadAt = time.Now()
	ended := make(chan error, 1)
	results := make(chan error, 3)
	go func() { results <- j.tailLoop(ctx) }()
	go func() { results <- j.writeLoop(ctx) }()
	go func() { results <- j.catchUpLoop(ctx) }()
	go func() {
		var first error
		for range cap(results) {
			if err := <-results; first == nil {
				first = err
			}
		}
		j.appends.Wait()
		ended <- first
	}()
	return ended
}

// Propose appends the record and waits for its result: nil if it took effect, a
// RejectedError if the state machine rejected it, ErrNotAppended if it will never be
// in the log, and ErrFateUnknown if the result cannot be determined, for example
// because the context ended first.
func (j *Journal[R]) Propose(ctx context.Context, record R) error {
	p, err := j.Enqueue(record)
	if err != nil {
		return err
	}
	select {
	case err := <-p.Done():
		return err
	case <-ctx.Done():
		return fmt.Errorf("journal: propose to %s: %w", j.stream, ErrFateUnknown)
	}
}

// Enqueue queues the record for the next append and returns without waiting for the result. An
// error wraps ErrNotAppended and, if the log is down, the error of the newest append.
func (j *Journal[R]) Enqueue(record R) (*Pending, error) {
	if reason := j.DownReason(); reason != nil {
		return nil, fmt.Errorf("journal: propose to %s: %w: %w", j.stream, ErrNotAppended, reason)
	}
	p := &proposal[R]{record: record, done: make(chan error, 1)}
	select {
	case j.queue <- p:
		return &Pending{done: p.done, claim: p.claim}, nil
	default:
		return nil, fmt.Errorf("journal: append queue of %s is full: %w", j.stream, ErrNotAppended)
	}
}

// Down reports whether the newest append failed.
func (j *Journal[R]) Down() bool { return j.DownReason() != nil }

// DownReason returns the error of the newest append if it failed, else nil.
func (j *Journal[R]) DownReason() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.downReason
}

// CaughtUp reports whether the state has included the whole stream at some moment
// since Start.
func (j *Journal[R]) CaughtUp() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.caughtUp
}

// CompleteAsOf returns a reading of Options.Clock: the state includes every record
// that was in the stream at that time. It returns false until the state has caught
// up with the stream.
func (j *Journal[R]) CompleteAsOf() (time.Duration, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.completeAsOf, j.caughtUp
}

// ReadNow ends the current or the next pause between two reads of the stream, and asks for records that another
// process has.
func (j *Journal[R]) ReadNow() {
	signal(j.readNow)
	signal(j.catchUpNow)
}

// signal sends to a channel that holds one signal, unless it holds one already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// HasState reports whether the state is the result of folding some prefix of the
// stream. It returns false until the journal has found a state to start from.
func (j *Journal[R]) HasState() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.started
}

// Offset returns the offset of the last folded record, 0 before the first.
func (j *Journal[R]) Offset() platform.Offset {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.state.offset
}

// View calls f with the time of the stream while holding the journal's lock, so
// that the state machine does not change meanwhile. f must be short and must not
// call methods of the journal.
func (j *Journal[R]) View(f func(now time.Time)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f(time.UnixMilli(j.state.time))
}

// Changed returns a channel that is closed when the state next changes.
func (j *Journal[R]) Changed() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.changed
}

// Snapshot returns the last offset that the state includes and the encoded state,
// for a peer that cannot read the log. It returns an error while HasState is false.
func (j *Journal[R]) Snapshot() (platform.Offset, []byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.started {
		return 0, nil, errors.New("journal: no state has been loaded yet")
	}
	data, err := j.state.marshal()
	return j.state.offset, data, err
}

// Seed replaces the state by that of a peer if the peer's state is ahead of this one.
// The arguments are the results of the peer's Snapshot. Seed reports whether it
// replaced the state.
func (j *Journal[R]) Seed(offset platform.Offset, data []byte) (bool, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.started && offset <= j.state.offset {
		return false, nil
	}
	if err := j.state.restore(data); err != nil {
		return false, fmt.Errorf("journal: seed: %w", err)
	}
	j.started = true
	j.pending = nil
	j.failCovered()
	j.notifyChanged()
	return true, nil
}

// notifyChanged wakes all goroutines that wait on Changed. The lock must be held.
func (j *Journal[R]) notifyChanged() {
	close(j.changed)
	j.changed = make(chan struct{})
}
