package entry

import (
	"context"
	"fmt"
	"time"

	"corianderpass/internal/connection/link"
	"corianderpass/pkg/platform"
)

// methodState returns a stream's state to an entry that cannot read the log.
const methodState link.Method = "State.Get"

const (
	// seedInterval is the time between two tries to get state from peers.
	seedInterval = time.Second
	// seedTimeout bounds one try.
	seedTimeout = 5 * time.Second
)

// stateQuery asks for the state of a stream beyond an offset.
type stateQuery struct {
	Stream platform.Stream
	After  platform.Offset
}

// stateAnswer has the state, or nothing if it is not beyond the offset.
type stateAnswer struct {
	Offset platform.Offset
	Data   []byte `json:",omitempty"`
}

// stateJournal is a journal that gives and takes state.
type stateJournal interface {
	Offset() platform.Offset
	CaughtUp() bool
	Snapshot() (platform.Offset, []byte, error)
	Seed(offset platform.Offset, data []byte) (bool, error)
}

func (e *Entry) stateJournals() map[platform.Stream]stateJournal {
	return map[platform.Stream]stateJournal{
		BundleStream:                    e.bundles,
		LedgerStream(e.settings.Region): e.ledger,
	}
}

// seedJournals asks peers for state while the log does not give it.
func (e *Entry) seedJournals(ctx context.Context) {
	for stream, j := range e.stateJournals() {
		if j.CaughtUp() {
			continue
		}
		for _, address := range e.otherEntries() {
			if err := e.seedFrom(ctx, address, stream, j); err != nil {
				e.logger.Debug("no state from peer", "peer", address, "stream", stream, "error", err)
			}
		}
	}
}

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
	taken, err := j.Seed(answer.Offset, answer.Data)
	if err != nil {
		return err
	}
	if taken {
		e.logger.Info("took state from peer", "peer", address, "stream", stream, "offset", answer.Offset)
	}
	return nil
}

// handleState answers a peer's query.
func (e *Entry) handleState(_ context.Context, q stateQuery) (stateAnswer, error) {
	j, known := e.stateJournals()[q.Stream]
	if !known {
		return stateAnswer{}, fmt.Errorf("entry: stream %s is not folded here", q.Stream)
	}
	if j.Offset() <= q.After {
		return stateAnswer{Offset: j.Offset()}, nil
	}
	offset, data, err := j.Snapshot()
	if err != nil {
		return stateAnswer{}, fmt.Errorf("entry: state of %s: %w", q.Stream, err)
	}
	return stateAnswer{Offset: offset, Data: data}, nil
}
