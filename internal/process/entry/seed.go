package entry

import (
	"context"
	"fmt"
	"time"

	"corianderpass/internal/connection/link"
	"corianderpass/pkg/platform"
)

// methodState returns the state of a stream, for an entry that cannot read the log.
const methodState link.Method = "State.Get"

const (
	// seedInterval is the time between two attempts to load state from peers.
	seedInterval = time.Second
	// seedTimeout limits the query to one peer.
	seedTimeout = 5 * time.Second
)

// stateQuery asks for the state of a stream if it is past the offset After.
type stateQuery struct {
	Stream platform.Stream
	After  platform.Offset
}

// stateAnswer has the encoded state at Offset. Data is empty if Offset is not past the
// query's.
type stateAnswer struct {
	Offset platform.Offset
	Data   []byte `json:",omitempty"`
}

// stateJournal is the part of journal.Journal that loads state from a peer and serves it to
// peers.
type stateJournal interface {
	Offset() platform.Offset
	CaughtUp() bool
	Snapshot() (platform.Offset, []byte, error)
	Seed(offset platform.Offset, data []byte) (bool, error)
}

// stateJournals returns the journals of this process by stream.
func (e *Entry) stateJournals() map[platform.Stream]stateJournal {
	return map[platform.Stream]stateJournal{
		BundleStream:                    e.bundles,
		LedgerStream(e.settings.Region): e.ledger,
	}
}

// seedJournals asks all other entries for the state of each stream that this entry has not
// read to its end yet.
func (e *Entry) seedJournals(ctx context.Context) {
	for stream, j := range e.stateJournals() {
		if j.CaughtUp() {
			continue
		}
		for _, address := range e.otherEntries() {
			if err := e.seedFrom(ctx, address, stream, j); err != nil {
				e.logger.Debug("failed to load state from peer", "peer", address, "stream", stream, "error", err)
			}
		}
	}
}

// seedFrom loads the stream's state from one peer if the peer has read further.
func (e *Entry) seedFrom(ctx context.Context, address link.Address, stream platform.Stream, j stateJournal) error {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	answer, err := link.Call[stateAnswer](ctx, e.pool, address, methodState, stateQuery{Stream: stream, After: j.Offset()})
	if err != nil {
		return err
	}
	if len(answer.Data) == 0 {
		return nil
	}
	loaded, err := j.Seed(answer.Offset, answer.Data)
	if err != nil {
		return err
	}
	if loaded {
		e.logger.Info("loaded state from peer", "peer", address, "stream", stream, "offset", answer.Offset)
	}
	return nil
}

// handleState handles methodState.
func (e *Entry) handleState(_ context.Context, q stateQuery) (stateAnswer, error) {
	j, known := e.stateJournals()[q.Stream]
	if !known {
		return stateAnswer{}, fmt.Errorf("entry: this process has no state of stream %s", q.Stream)
	}
	if j.Offset() <= q.After {
		return stateAnswer{Offset: j.Offset()}, nil
	}
	offset, data, err := j.Snapshot()
	if err != nil {
		return stateAnswer{}, fmt.Errorf("entry: encode the state of stream %s: %w", q.Stream, err)
	}
	return stateAnswer{Offset: offset, Data: data}, nil
}
