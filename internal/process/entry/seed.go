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
	// seedEvery is the time between two tries to get state from peers.
	seedEvery = time.Second
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

// seeder is a journal that gives and takes state.
type seeder interface {
	Offset() platform.Offset
	CaughtUp() bool
	Snapshot() (platform.Offset, []byte, error)
	Seed(offset platform.Offset, data []byte) (bool, error)
}

func (e *Entry) seeders() map[platform.Stream]seeder {
	return map[platform.Stream]seeder{
		BundleStream:                    e.bundles,
		LedgerStream(e.settings.Region): e.ledger,
	}
}

// seed asks peers for state while the log does not give it.
func (e *Entry) seed(ctx context.Context) {
	for stream, s := range e.seeders() {
		if s.CaughtUp() {
			continue
		}
		for _, address := range e.others() {
			if err := e.seedFrom(ctx, address, stream, s); err != nil {
				e.logger.Debug("no state from peer", "peer", address, "stream", stream, "error", err)
			}
		}
	}
}

func (e *Entry) seedFrom(ctx context.Context, address link.Address, stream platform.Stream, s seeder) error {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	answer, err := link.Call[stateAnswer](ctx, e.pool, address, methodState, stateQuery{Stream: stream, After: s.Offset()})
	if err != nil {
		return err
	}
	if len(answer.Data) == 0 {
		return nil
	}
	taken, err := s.Seed(answer.Offset, answer.Data)
	if err != nil {
		return err
	}
	if taken {
		e.logger.Info("took state from peer", "peer", address, "stream", stream, "offset", answer.Offset)
	}
	return nil
}

// giveState answers a peer's query.
func (e *Entry) giveState(_ context.Context, q stateQuery) (stateAnswer, error) {
	s, known := e.seeders()[q.Stream]
	if !known {
		return stateAnswer{}, fmt.Errorf("entry: stream %s is not folded here", q.Stream)
	}
	if s.Offset() <= q.After {
		return stateAnswer{Offset: s.Offset()}, nil
	}
	offset, data, err := s.Snapshot()
	if err != nil {
		return stateAnswer{}, fmt.Errorf("entry: state of %s: %w", q.Stream, err)
	}
	return stateAnswer{Offset: offset, Data: data}, nil
}
