package journal

import (
	"encoding/json"
	"fmt"
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/pkg/platform"
)

const (
	// maxTimeStep is the maximum by which one envelope advances a stream's time, so that
	// one writer with a wrong clock cannot make everything expire.
	maxTimeStep = time.Minute
	// writerRetention is the time, measured in the stream's time, for which the sequence
	// of a writer's last envelope is kept.
	writerRetention = time.Hour
	// pruneInterval is the number of offsets between two calls of pruneWriters.
	pruneInterval = 256
)

// StateMachine is the deterministic state that a stream's records are folded into.
// The journal calls its methods one at a time, while holding the journal's lock.
type StateMachine[R any] interface {
	// Apply checks the record against the current state and applies it. An error means
	// that the record is rejected and changed nothing. The result must depend on
	// nothing but the state and the arguments, so that all replicas agree.
	Apply(at Position, record R) error
	// MarshalSnapshot returns the encoded state; equal states have equal encodings.
	MarshalSnapshot() ([]byte, error)
	// RestoreSnapshot replaces the state by the one that MarshalSnapshot encoded.
	RestoreSnapshot(data []byte) error
}

// writerState describes the newest folded envelope of a writer.
type writerState struct {
	Sequence uint64
	// Seen is the stream's time at that envelope, in Unix milliseconds.
	Seen int64
}

// foldedState folds envelopes into a state machine and drops repeated ones. The state
// after a prefix of the stream depends on nothing but that prefix.
type foldedState[R any] struct {
	machine StateMachine[R]
	// offset is that of the last folded record.
	offset platform.Offset
	// time is the stream's time in Unix milliseconds; it never decreases.
	time int64
	// writers has the newest folded envelope of each writer.
	writers map[incarnation.ID]writerState
}

// foldResult is the result of one folded envelope.
type foldResult struct {
	writer   incarnation.ID
	sequence uint64
	// errs has one error for each record of the envelope; nil if it took effect.
	errs []error
}

// fold applies the records of the envelope at the offset. It applies nothing and returns
// false if it has already folded an envelope of the same writer with this sequence or a
// later one.
func (f *foldedState[R]) fold(offset platform.Offset, e envelope[R]) (foldResult, bool) {
	f.offset = offset
	if f.writers == nil {
		f.writers = map[incarnation.ID]writerState{}
	}
	f.advanceTime(e.Time)
	if e.Sequence <= f.writers[e.Writer].Sequence {
		return foldResult{}, false
	}
	f.writers[e.Writer] = writerState{Sequence: e.Sequence, Seen: f.time}
	result := foldResult{writer: e.Writer, sequence: e.Sequence}
	at := Position{Offset: offset, Time: time.UnixMilli(f.time), Writer: e.Writer}
	for _, r := range e.Records {
		result.errs = append(result.errs, f.machine.Apply(at, r))
	}
	if uint64(offset)%pruneInterval == 0 {
		f.pruneWriters()
	}
	return result, true
}

// advanceTime advances the stream's time to now, by at most maxTimeStep unless it is the
// first time.
func (f *foldedState[R]) advanceTime(now int64) {
	if now <= f.time {
		return
	}
	if f.time == 0 {
		f.time = now
		return
	}
	f.time = min(now, f.time+maxTimeStep.Milliseconds())
}

func (f *foldedState[R]) pruneWriters() {
	for w, state := range f.writers {
		if f.time-state.Seen > writerRetention.Milliseconds() {
			delete(f.writers, w)
		}
	}
}

// snapshot is the encoded form of a foldedState.
type snapshot struct {
	Offset  platform.Offset
	Time    int64
	Writers map[incarnation.ID]writerState
	Machine json.RawMessage
}

func (f *foldedState[R]) marshal() ([]byte, error) {
	state, err := f.machine.MarshalSnapshot()
	if err != nil {
		return nil, fmt.Errorf("journal: marshal state machine: %w", err)
	}
	data, err := json.Marshal(snapshot{Offset: f.offset, Time: f.time, Writers: f.writers, Machine: state})
	if err != nil {
		return nil, fmt.Errorf("journal: marshal snapshot: %w", err)
	}
	return data, nil
}

func (f *foldedState[R]) restore(data []byte) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("journal: unmarshal snapshot: %w", err)
	}
	if err := f.machine.RestoreSnapshot(s.Machine); err != nil {
		return fmt.Errorf("journal: restore state machine: %w", err)
	}
	f.offset = s.Offset
	f.time = s.Time
	f.writers = s.Writers
	return nil
}
