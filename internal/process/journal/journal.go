// Package journal keeps a deterministic state machine in step with one stream
// of the platform's log. It appends proposals in groups, makes appends
// idempotent, folds every record in order, writes snapshots before the log
// trims what they cover, and starts from a snapshot, the whole stream or a
// peer's state.
package journal

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/incarnation"
	"corianderpass/pkg/platform"
)

var (
	// ErrNotAppended tells that the proposal never reached the log and never will.
	ErrNotAppended = errors.New("journal: log takes no appends, proposal dropped")
	// ErrFateUnknown tells that the proposal may take effect later.
	ErrFateUnknown = errors.New("journal: fate of the proposal is unknown")
)

// RejectedError tells that a proposal was folded and found invalid at its offset.
// It changed nothing on any replica.
type RejectedError struct {
	// Reason is the machine's judgement.
	Reason error
}

// Error returns the judgement.
func (e *RejectedError) Error() string { return fmt.Sprintf("journal: void: %v", e.Reason) }

// Unwrap returns the machine's judgement.
func (e *RejectedError) Unwrap() error { return e.Reason }

// Options tune a journal. The zero value takes the defaults.
type Options struct {
	// Linger is how long an append waits for company; 3 ms by default.
	Linger time.Duration
	// QueueLimit bounds the proposals that wait for an append; 1024 by default.
	QueueLimit int
	// SnapshotEvery is the number of records between two snapshots; 4096 by
	// default. It must be well below what the log keeps.
	SnapshotEvery uint64
	// SnapshotAge is the longest time between two snapshots, even if nothing
	// else arrives, since the log trims old snapshots too; 10 minutes by
	// default. It must be well below the log's retention.
	SnapshotAge time.Duration
	// MaySnapshot tells whether this replica writes snapshots at present; nil
	// means always. Rivals do no harm, but each snapshot costs bytes and time.
	MaySnapshot func() bool
	// AppendTimeout bounds one try of an append; 2 s by default.
	AppendTimeout time.Duration
	// CheckInterval is the pause between two looks at what is due besides proposals,
	// such as whether a log that was down takes appends again; 1 s by default.
	CheckInterval time.Duration
	// ReadWait is how long a read waits at the end of the stream; 2 s by default.
	ReadWait time.Duration
	// ReadPause returns the pause after a read that brought records, so that those
	// that follow each other closely arrive together; nil means none.
	ReadPause func() time.Duration
	// Clock is a steady clock that also counts suspended time, where the system
	// has one; the time since the start of the process by default.
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
		began := time.Now()
		o.Clock = func() time.Duration { return time.Since(began) }
	}
	return o
}

// Journal folds one stream into a machine and appends proposals to it. Its
// methods are safe for concurrent use after Start.
type Journal[R any] struct {
	log     platform.Log
	stream  platform.Stream
	writer  incarnation.ID
	options Options

	// queue holds proposals that no append has taken yet.
	queue chan *proposal[R]

	mu     sync.Mutex
	folder folder[R]
	// started is false until the state is that of a known prefix of the stream.
	started bool
	// caughtUp is true once the log said that there was nothing more to read.
	caughtUp bool
	// fresh is the clock at the sending of the newest read whose answer reached
	// the end of the stream; it means nothing before caughtUp.
	fresh time.Duration
	// changed is closed and replaced whenever the state moves.
	changed chan struct{}
	// waiting holds the appended groups whose verdict is not known yet.
	waiting map[uint64][]*proposal[R]
	// down is true from a failed append to the next good one.
	down bool
	// lastSnapshot is the newest snapshot offset seen in the stream, and
	// lastSnapshotSeen the moment at which it passed by, or the start.
	lastSnapshot     platform.Offset
	lastSnapshotSeen time.Time
	// lastFolded is the moment of the last fold, quiet how long none may follow.
	lastFolded time.Time
	quiet      time.Duration
	// sequence is the number of the last envelope that this writer built.
	sequence uint64
	assembly assembly
	// pending holds records read before a state to fold them into was found.
	pending []platform.LogRecord
	// kept are the keys of the records that a keyed log keeps; nil for other logs.
	kept map[platform.Key]platform.Offset
	// hurry ends a pause between two reads.
	hurry chan struct{}
	// appends counts the calls to the log that are under way.
	appends sync.WaitGroup
}

// proposal is one record on its way through the log.
type proposal[R any] struct {
	record R
	// done receives exactly one verdict.
	done chan error
}

// New returns a journal of the stream. Nothing happens before Start.
func New[R any](log platform.Log, stream platform.Stream, writer incarnation.ID, machine StateMachine[R], options Options) *Journal[R] {
	options = options.withDefaults()
	return &Journal[R]{
		log:     log,
		stream:  stream,
		writer:  writer,
		options: options,
		queue:   make(chan *proposal[R], options.QueueLimit),
		folder:  folder[R]{machine: machine},
		changed: make(chan struct{}),
		hurry:   make(chan struct{}, 1),
		waiting: map[uint64][]*proposal[R]{},
	}
}

// Start runs the journal until the context ends. The returned channel yields
// one error when everything that Start began has ended. It may be called once.
func (j *Journal[R]) Start(ctx context.Context) <-chan error {
	j.lastSnapshotSeen = time.Now()
	ended := make(chan error, 1)
	parts := make(chan error, 2)
	go func() { parts <- j.tail(ctx) }()
	go func() { parts <- j.write(ctx) }()
	go func() {
		first := <-parts
		second := <-parts
		if first == nil {
			first = second
		}
		j.appends.Wait()
		ended <- first
	}()
	return ended
}

// Propose appends the record and waits for its verdict: nil if it took effect,
// a VoidError if it was judged invalid, ErrNotAppended if it will never be in
// the log, ErrFateUnknown if the context ended before the verdict was known.
func (j *Journal[R]) Propose(ctx context.Context, record R) error {
	if j.Down() {
		return fmt.Errorf("journal: propose to %s: %w", j.stream, ErrNotAppended)
	}
	p := &proposal[R]{record: record, done: make(chan error, 1)}
	select {
	case j.queue <- p:
	default:
		return fmt.Errorf("journal: queue of %s is full: %w", j.stream, ErrNotAppended)
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("journal: propose to %s: %w", j.stream, ErrFateUnknown)
	}
}

// Down tells whether the newest append failed.
func (j *Journal[R]) Down() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.down
}

// CaughtUp tells whether the state was that of the whole stream at some moment
// since Start.
func (j *Journal[R]) CaughtUp() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.caughtUp
}

// CompleteAsOf returns the clock of the options at a moment up to which the state is
// known to be complete, and false before there was one.
func (j *Journal[R]) CompleteAsOf() (time.Duration, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.fresh, j.caughtUp
}

// ReadNow reads on at once instead of pausing first.
func (j *Journal[R]) ReadNow() {
	select {
	case j.hurry <- struct{}{}:
	default:
	}
}

// HasState tells whether the state is that of some prefix of the stream.
func (j *Journal[R]) HasState() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.started
}

// Offset returns the offset of the last folded record.
func (j *Journal[R]) Offset() platform.Offset {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.folder.offset
}

// View calls f while nothing is folded. f must be short and must not call the journal.
func (j *Journal[R]) View(f func(now time.Time)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f(time.UnixMilli(j.folder.time))
}

// Changed returns a channel that is closed at the next move of the state.
func (j *Journal[R]) Changed() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.changed
}

// Snapshot returns the state for a peer that cannot read the log, with the
// offset that it covers. It fails before any state is known.
func (j *Journal[R]) Snapshot() (platform.Offset, []byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.started {
		return 0, nil, errors.New("journal: no state is known yet")
	}
	data, err := j.folder.marshal()
	return j.folder.offset, data, err
}

// Seed takes a peer's state if it is ahead of what is known here. It reports
// whether it was taken.
func (j *Journal[R]) Seed(offset platform.Offset, data []byte) (bool, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.started && offset <= j.folder.offset {
		return false, nil
	}
	if err := j.folder.restore(data); err != nil {
		return false, fmt.Errorf("journal: seed: %w", err)
	}
	j.started = true
	j.pending = nil
	j.announce()
	return true, nil
}

// announce wakes everyone who waits for a change. The lock must be held.
func (j *Journal[R]) announce() {
	close(j.changed)
	j.changed = make(chan struct{})
}
