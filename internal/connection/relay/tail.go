package relay

import (
	"context"
	"fmt"
	"slices"

	"corianderpass/internal/connection/link"
	"corianderpass/pkg/platform"
)

const (
	// maxTailRecords is the number of records of an observed stream that a process keeps for others.
	maxTailRecords = 256
)

// tail has the newest records of a stream, with consecutive offsets. The zero value is empty.
type tail struct{ records []platform.LogRecord }

// add adds the records that follow the tail. Those after a gap replace it.
func (t *tail) add(records []platform.LogRecord) {
	for _, r := range records {
		if n := len(t.records); n > 0 {
			switch last := t.records[n-1].Offset; {
			case r.Offset <= last:
				continue
			case r.Offset > last+1:
				t.records = nil
			}
		}
		t.records = append(t.records, r)
	}
	if excess := len(t.records) - maxTailRecords; excess > 0 {
		t.records = slices.Clone(t.records[excess:])
	}
}

// from returns the records from the offset on, none if the tail begins after it.
func (t *tail) from(offset platform.Offset) []platform.LogRecord {
	if len(t.records) == 0 || offset < t.records[0].Offset || offset > t.records[len(t.records)-1].Offset {
		return nil
	}
	return slices.Clone(t.records[offset-t.records[0].Offset:])
}

// Observe makes the log pass all records that this process appends to the stream on the direct path, for itself
// and for others, to the observer, and keep the newest records of the stream for CatchUp of others. It must be
// called before the first append, once for a stream.
func (l *Log) Observe(stream platform.Stream, observer func([]platform.LogRecord)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observers[stream] = observer
}

// observerOf returns what the collector of the stream does with the records that it has appended; nil for nothing.
// The lock must be held.
func (l *Log) observerOf(stream platform.Stream) func([]platform.LogRecord) {
	observer := l.observers[stream]
	if observer == nil {
		return nil
	}
	return func(records []platform.LogRecord) {
		l.keep(stream, records)
		observer(records)
	}
}

// keep adds records that were appended or read to the tail of the stream if it is observed.
func (l *Log) keep(stream platform.Stream, records []platform.LogRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.observers[stream] == nil {
		return
	}
	t := l.tails[stream]
	if t == nil {
		t = &tail{}
		l.tails[stream] = t
	}
	t.add(records)
}

func (l *Log) tailFrom(stream platform.Stream, from platform.Offset) []platform.LogRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.tails[stream]; t != nil {
		return t.from(from)
	}
	return nil
}

// CatchUp returns the records from the offset on that the process which collects appends has in memory, so that
// they need not be read while the log is slow. It returns none at other times and if that process lacks the record
// at the offset. The result may end before the end of the stream.
func (l *Log) CatchUp(ctx context.Context, stream platform.Stream, from platform.Offset) ([]platform.LogRecord, error) {
	a := l.path.delegate()
	if a == "" {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer, err := link.Call[readAnswer](ctx, l.path.pool, a, methodRead, readQuery{Which: l.name, Stream: stream, From: from, Tail: true})
	if err != nil {
		return nil, fmt.Errorf("relay: read the newest records of the collecting process: %w", err)
	}
	return answer.Records, answer.Problem.err()
}
