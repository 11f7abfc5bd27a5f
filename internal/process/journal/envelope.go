package journal

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/incarnation"
	"corianderpass/pkg/platform"
)

// envelope is the payload of one log record: a group of proposals, one chunk of a
// snapshot, or neither.
type envelope[R any] struct {
	// Writer and Sequence make the append idempotent: of several envelopes with the
	// same pair only the first is folded.
	Writer   incarnation.ID
	Sequence uint64
	// Time is the writer's clock in Unix milliseconds.
	Time int64
	// Records are the proposals. There are none in an envelope that carries a chunk,
	// tests whether the log accepts appends, or only advances the stream's time.
	Records []R `json:",omitempty"`
	// Chunk is a part of a snapshot; nil unless the envelope carries one.
	Chunk *chunk `json:",omitempty"`
}

// chunk is a part of a packed snapshot. Two writers that take a snapshot of the same
// prefix write identical chunks, so that the chunks of both can complete one snapshot.
type chunk struct {
	// UpTo is the last offset that the snapshot covers.
	UpTo platform.Offset
	// Index counts from 0 to Count-1.
	Index, Count int
	// Digest is the SHA-256 of the whole packed snapshot, in hexadecimal.
	Digest string
	// Data is this part of the packed snapshot, at most chunkSize bytes.
	Data []byte
}

// errNotEncoded is wrapped by all errors of encode. Such an envelope cannot be appended.
var errNotEncoded = errors.New("journal: envelope cannot be encoded")

func encode[R any](e envelope[R]) ([]byte, error) {
	payload, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotEncoded, err)
	}
	if len(payload) > maxEnvelopeSize {
		return nil, fmt.Errorf("%w: it has %d bytes, the limit is %d", errNotEncoded, len(payload), maxEnvelopeSize)
	}
	packed, err := pack(payload)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotEncoded, err)
	}
	return packed, nil
}

func decode[R any](payload []byte) (envelope[R], error) {
	var e envelope[R]
	data, err := unpack(payload, maxEnvelopeSize)
	if err != nil {
		return e, err
	}
	if err := json.Unmarshal(data, &e); err != nil {
		return e, fmt.Errorf("journal: decode envelope: %w", err)
	}
	return e, nil
}

// Position is the position of a record in its stream, with the time and the writer
// of its envelope.
type Position struct {
	Offset platform.Offset
	// Time is the stream's time. It never decreases from one offset to the next.
	Time time.Time
	// Writer is the incarnation that proposed the record.
	Writer incarnation.ID
}
