package entry

import (
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

// fateRetryDelay is the delay between two attempts to record a request's answer, or to get
// its fate from the agent.
const fateRetryDelay = 500 * time.Millisecond

// settleInBackground records the answer in the ledger without making the caller wait. It
// retries while the log is down, but stops when the process ends or, after a failed attempt,
// when the entry is leaving. Until it stops, other entries get the answer from this entry.
func (e *Entry) settleInBackground(key ledger.ClaimKey, epoch platform.Epoch, answer ledger.Answer) {
	e.setUnsettled(key, &answer)
	e.runInBackground(func() {
		defer e.setUnsettled(key, nil)
		for e.processCtx.Err() == nil {
			err := e.proposeAndLog(e.processCtx, ledger.Record{Settle: &ledger.Settle{Key: key, Epoch: epoch, Answer: answer}})
			if err == nil || isRejected(err) || e.leaving.Load() {
				return
			}
			sleep(e.processCtx, fateRetryDelay)
		}
	})
}

// setUnsettled stores an answer that is not in the ledger yet, or removes it if answer is nil.
func (e *Entry) setUnsettled(key ledger.ClaimKey, answer *ledger.Answer) {
	e.pendingMu.Lock()
	defer e.pendingMu.Unlock()
	if answer == nil {
		delete(e.unsettled, key)
		return
	}
	e.unsettled[key] = answer
}

// findPending returns the pending request of the key, and the answer of the key that is not in
// the ledger yet. Each is nil if this process has none.
func (e *Entry) findPending(key ledger.ClaimKey) (*pendingRequest, *ledger.Answer) {
	e.pendingMu.Lock()
	defer e.pendingMu.Unlock()
	return e.pending[key], e.unsettled[key]
}

// isRejected reports whether err means that a record was appended to the log, but had no effect
// because the state machine rejected it.
func isRejected(err error) bool {
	var rejected *journal.RejectedError
	return errors.As(err, &rejected)
}
