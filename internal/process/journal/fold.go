package journal

import (
	"encoding/json"
	"fmt"
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/pkg/platform"
)

const (
	// maxTimeStep bounds how far one envelope moves a stream's time, so that
	// one writer with a wrong clock cannot make everything expire.
	maxTimeStep = time.Minute
	// writerMemory is how long a silent writer's last sequence is kept.
	writerMemory = time.Hour
	// pruneEvery is the number of folded envelopes between two prunings.
	pruneEvery = 256
)

// StateMachine is the deterministic state that a stream's records are folded into.
// Its methods are called under the journal's lock, one at a time.
type StateMachine[R any] interface {
	// Apply judges the record in the present state. An error means that the
	// record is void and changed nothing; every replica must return the same.
	Apply(at Position, record R) error
	// MarshalSnapshot returns the whole state, equal for equal states.
	MarshalSnapshot() ([]byte, error)
	// RestoreSnapshot replaces the whole state.
	RestoreSnapshot(data []byte) error
}

// writerMark remembers the newest folded envelope of a writer.
type writerMark struct {
	Sequence uint64
	// Seen is the stream's time in Unix milliseconds.
	Seen int64
}

// folder folds envelopes into a machine and drops repeats. The machine's state
// after a prefix of the stream depends on nothing but that prefix.
type folder[R any] struct {
	machine StateMachine[R]
	offset  platform.Offset
	// time is the stream's time in Unix milliseconds; it never goes back.
	time    int64
	writers map[incarnation.ID]writerMark
}

// outcome is what became of one folded envelope.
type outcome struct {
	writer   incarnation.ID
	sequence uint64
	// verdicts has one entry for each record; nil for a valid one.
	verdicts []error
}

// fold applies the envelope at the offset. It returns false for a repeat.
func (f *folder[R]) fold(offset platform.Offset, e envelope[R]) (outcome, bool) {
	f.offset = offset
	if f.writers == nil {
		f.writers = map[incarnation.ID]writerMark{}
	}
	f.advance(e.Time)
	if e.Sequence <= f.writers[e.Writer].Sequence {
		return outcome{}, false
	}
	f.writers[e.Writer] = writerMark{Sequence: e.Sequence, Seen: f.time}
	result := outcome{writer: e.Writer, sequence: e.Sequence}
	at := Position{Offset: offset, Time: time.UnixMilli(f.time), Writer: e.Writer}
	for _, r := range e.Records {
		result.verdicts = append(result.verdicts, f.machine.Apply(at, r))
	}
	if uint64(offset)%pruneEvery == 0 {
		f.prune()
	}
	return result, true
}

func (f *folder[R]) advance(now int64) {
	if now <= f.time {
		return
	}
	if f.time == 0 {
		f.time = now
		return
	}
	f.time = min(now, f.time+maxTimeStep.Milliseconds())
}

func (f *folder[R]) prune() {
	for w, mark := range f.writers {
		if f.time-mark.Seen > writerMemory.Milliseconds() {
			delete(f.writers, w)
		}
	}
}

// snapshot is the stored form of a folder.
type snapshot struct {
	Offset  platform.Offset
	Time    int64
	Writers map[incarnation.ID]writerMark
	Machine json.RawMessage
}

func (f *folder[R]) marshal() ([]byte, error) {
	state, err := f.machine.MarshalSnapshot()
	if err != nil {
		return nil, fmt.Errorf("journal: marshal machine: %w", err)
	}
	data, err := json.Marshal(snapshot{Offset: f.offset, Time: f.time, Writers: f.writers, Machine: state})
	if err != nil {
		return nil, fmt.Errorf("journal: marshal snapshot: %w", err)
	}
	return data, nil
}

func (f *folder[R]) restore(data []byte) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("journal: unmarshal snapshot: %w", err)
	}
	if err := f.machine.RestoreSnapshot(s.Machine); err != nil {
		return fmt.Errorf("journal: restore machine: %w", err)
	}
	f.offset = s.Offset
	f.time = s.Time
	f.writers = s.Writers
	return nil
}
