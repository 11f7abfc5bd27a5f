package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/workload"
)

const (
	// proposeTimeout is how long a proposal may wait until it becomes part of an append.
	proposeTimeout = 2 * time.Second
	// proposeRetryDelay is the pause after a proposal that was not appended to the log.
	proposeRetryDelay = 150 * time.Millisecond
)

// propose proposes a record outside the loop and calls finish in the loop with the result. Until then the
// record may take effect at any time, and the loop must not act as if it did not exist.
func (r *Runner) propose(record workload.Record, finish func(error)) {
	r.async(func(ctx context.Context) func() {
		err := r.awaitProposal(ctx, record)
		if errors.Is(err, journal.ErrNotAppended) {
			// The loop proposes the record again as soon as finish has run. A log that is
			// down refuses immediately, so that without a pause the loop would be busy.
			sleep(ctx, proposeRetryDelay)
		}
		return func() {
			var rejected *journal.RejectedError
			r.recorded = r.recorded || err == nil || errors.As(err, &rejected)
			finish(err)
		}
	})
}

// awaitProposal proposes a record and returns its result. It withdraws the record if that is not part of
// an append within proposeTimeout. Otherwise it waits for the result, however long the log takes. It
// returns journal.ErrFateUnknown only if the context has ended, or if the state of the journal includes
// the record.
func (r *Runner) awaitProposal(ctx context.Context, record workload.Record) error {
	sentAt := r.clock()
	pending, err := r.journal.Enqueue(record)
	if err != nil {
		return fmt.Errorf("runner: propose: %w", err)
	}
	timeout := time.NewTimer(proposeTimeout)
	defer timeout.Stop()
	for {
		select {
		case err := <-pending.Done():
			return err
		case <-ctx.Done():
			return fmt.Errorf("runner: propose: %w", journal.ErrFateUnknown)
		case <-timeout.C:
			if pending.Withdraw() {
				return fmt.Errorf("runner: withdrawn after %v: %w", proposeTimeout, journal.ErrNotAppended)
			}
			r.logger.Warn("result of a record is overdue", "record", record.Kind(), "ms", (r.clock() - sentAt).Milliseconds())
		}
	}
}
