package journal

import (
	"encoding/json"
	"fmt"
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/pkg/platform"
)

// envelope is the payload of one log record: a group of proposals, or one
// chunk of a snapshot.
type envelope[R any] struct {
	// Writer and Sequence make the append idempotent: of the same pair only
	// the first is folded.
	Writer   incarnation.ID
	Sequence uint64
	// Time is the writer's clock in Unix milliseconds.
	Time    int64
	Records []R    `json:",omitempty"`
	Chunk   *chunk `json:",omitempty"`
}

// chunk is a piece of a snapshot. Chunks of rival snapshots of the same prefix
// are identical, so any of them may complete the set.
type chunk struct {
	// UpTo is the last offset that the snapshot covers.
	UpTo platform.Offset
	// Index counts from 0 to Count-1.
	Index, Count int
	// Digest is the SHA-256 of the whole packed snapshot, in hexadecimal.
	Digest string
	Data   []byte
}

func encode[R any](e envelope[R]) ([]byte, error) {
	payload, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("journal: encode envelope: %w", err)
	}
	return pack(payload)
}

func decode[R any](payload []byte) (envelope[R], error) {
	var e envelope[R]
	data, err := unpack(payload)
	if err != nil {
		return e, err
	}
	if err := json.Unmarshal(data, &e); err != nil {
		return e, fmt.Errorf("journal: decode envelope: %w", err)
	}
	return e, nil
}

// Position tells a machine where and when a record stands in its stream.
type Position struct {
	Offset platform.Offset
	// Time never goes back along a stream.
	Time time.Time
	// Writer is the incarnation that proposed the record.
	Writer incarnation.ID
}
