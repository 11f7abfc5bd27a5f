package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Stream names an append-only sequence of records. One stream can fail while others work.
type Stream string

// Offset is the position of a record in its stream. The first record has offset 1; the zero value
// means "before the first record".
type Offset uint64

// LogRecord is an appended payload with the offset that the log assigned to it.
type LogRecord struct {
	// Offset is unique within the stream and rises by one with every record.
	Offset Offset
	// Payload is not interpreted by the log. It is empty in the record that removes a key.
	Payload []byte
	// Key is empty unless the log is a KeyedLog.
	Key Key
}

// Span is the range of the offsets of a stream that the log still keeps: First to Next-1.
type Span struct {
	// First is the offset of the oldest kept record. It equals Next if no record is kept.
	First Offset
	// Next is the offset that the next appended record gets. It is never below First.
	Next Offset
}

var (
	// ErrLogDown means that the log refused a call, which had no effect.
	ErrLogDown = errors.New("platform: log is down")
	// ErrAnswerLost means that the fate of an append is unknown: the record may be in the log
	// already, may be appended later or may never be appended.
	ErrAnswerLost = errors.New("platform: answer lost, append may have taken effect")
	// ErrTrimmed means that a read began before the oldest kept record.
	ErrTrimmed = errors.New("platform: records are no longer kept")
	// ErrThrottled means that the log refused an append because its rate limit is exceeded. The
	// append had no effect.
	ErrThrottled = errors.New("platform: log append rate exceeded")
)

// Log is the platform's append-only log service. Implementations are safe for concurrent use.
// If an append returns an error that wraps neither ErrLogDown nor ErrThrottled, its fate is
// unknown.
type Log interface {
	// Append appends one record and returns its offset.
	Append(ctx context.Context, stream Stream, payload []byte) (Offset, error)
	// Read returns at most limit records in order, starting at the offset from. If there are
	// none, it waits for one for the duration wait at most and then returns an empty slice. It
	// returns ErrTrimmed if from is before the oldest kept record.
	Read(ctx context.Context, stream Stream, from Offset, limit int, wait time.Duration) ([]LogRecord, error)
	// Span returns the range of offsets that can be read.
	Span(ctx context.Context, stream Stream) (Span, error)
}
