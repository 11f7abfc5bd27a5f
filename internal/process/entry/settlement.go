package entry

import (
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

// fateRetryDelay is the pause between two tries to record or to learn an answer.
const fateRetryDelay = 500 * time.Millisecond

// settleInBackground records the answer, however long the log is down. The caller need
// not wait for it; until it is recorded other entries get it from this one.
func (e *Entry) settleInBackground(key ledger.ClaimKey, epoch platform.Epoch, answer ledger.Answer) {
	e.setUnsettled(key, &answer)
	e.runInBackground(func() {
		defer e.setUnsettled(key, nil)
		for e.processCtx.Err() == nil {
			err := e.proposeAndLog(e.processCtx, ledger.Record{Settle: &ledger.Settle{Key: key, Epoch: epoch, Answer: answer}})
			if err == nil || isVoid(err) || e.leaving.Load() {
				return
			}
			sleep(e.processCtx, fateRetryDelay)
		}
	})
}

// setUnsettled notes an answer that is not recorded yet; nil forgets it.
func (e *Entry) setUnsettled(key ledger.ClaimKey, answer *ledger.Answer) {
	e.pendingMu.Lock()
	defer e.pendingMu.Unlock()
	if answer == nil {
		delete(e.unsettled, key)
		return
	}
	e.unsettled[key] = answer
}

// findPending returns the request's flight or unrecorded answer in this process.
func (e *Entry) findPending(key ledger.ClaimKey) (*pendingRequest, *ledger.Answer) {
	e.pendingMu.Lock()
	defer e.pendingMu.Unlock()
	return e.pending[key], e.unsettled[key]
}

// isVoid tells whether an error is a machine's judgement.
func isVoid(err error) bool {
	var void *journal.RejectedError
	return errors.As(err, &void)
}
