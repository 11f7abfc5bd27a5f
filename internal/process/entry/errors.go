package entry

import (
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/request/gate"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/client"
)

const (
	// logDownRetryAfter is the retry delay for callers while the log is down.
	logDownRetryAfter = 5 * time.Second
	// notReadyRetryAfter is the retry delay for callers while an entry is starting.
	notReadyRetryAfter = time.Second
)

// notRunError returns the error for a call that had no effect.
func notRunError(code client.Code, retryAfter time.Duration, message string) *client.Error {
	return &client.Error{Code: code, Fate: client.FateNotRun, Message: message, RetryAfter: retryAfter}
}

// rejections map the errors with which the ledger and the bundle register reject records to
// codes for the caller. With a retryAfter of 0 the caller gets no retry delay.
var rejections = []struct {
	err        error
	code       client.Code
	retryAfter time.Duration
}{
	{ledger.ErrJobConflict, client.CodeConflict, 0},
	{ledger.ErrRequestConflict, client.CodeConflict, 0},
	{ledger.ErrInvalidJob, client.CodeInvalid, 0},
	{ledger.ErrNeverFits, client.CodeNeverFits, 0},
	{ledger.ErrTooManyJobs, client.CodeOverloaded, 30 * time.Second},
	{ledger.ErrNoWorkers, client.CodeNotReady, notReadyRetryAfter},
	{ledger.ErrNoBundle, client.CodeNotReady, notReadyRetryAfter},
	{ledger.ErrUnknownOrganisation, client.CodeNotReady, notReadyRetryAfter},
	{ledger.ErrRulesMismatch, client.CodeNotReady, notReadyRetryAfter},
	{ledger.ErrUnknownJob, client.CodeNotFound, 0},
	{bundle.ErrSuperseded, client.CodeRaced, 0},
	{bundle.ErrUnknownDraft, client.CodeNotFound, 0},
	{bundle.ErrNotOperator, client.CodeUnauthorised, 0},
	{bundle.ErrSignature, client.CodeUnauthorised, 0},
	{bundle.ErrSelfApproval, client.CodeConflict, 0},
	{bundle.ErrNotApproved, client.CodeConflict, 0},
	{bundle.ErrDraftExists, client.CodeConflict, 0},
	{bundle.ErrInvalid, client.CodeInvalid, 0},
}

// clientError converts the error of a proposal to the error for the caller. A
// *client.Error is returned unchanged.
func clientError(err error) *client.Error {
	if clientErr := client.AsError(err); clientErr != nil {
		return clientErr
	}
	for _, r := range rejections {
		if errors.Is(err, r.err) {
			return notRunError(r.code, r.retryAfter, err.Error())
		}
	}
	switch {
	case errors.Is(err, journal.ErrNotAppended):
		return notRunError(client.CodeLogDown, logDownRetryAfter, "the platform's log does not accept records at the moment")
	case errors.Is(err, journal.ErrFateUnknown):
		return &client.Error{Code: client.CodeUnknownFate, Fate: client.FateUnknown, Message: "it is not known whether the log has the record; retry with the same ID", RetryAfter: logDownRetryAfter}
	}
	var rejected *journal.RejectedError
	if errors.As(err, &rejected) {
		return notRunError(client.CodeConflict, 0, rejected.Error())
	}
	return notRunError(client.CodeInternal, 0, err.Error())
}

// gateError converts the gate's refusal to the error for the caller.
func gateError(err error, retryAfter time.Duration) *client.Error {
	switch {
	case errors.Is(err, gate.ErrNoAgent):
		return notRunError(client.CodeNoMinion, retryAfter, "no minion offers the service at the moment")
	case errors.Is(err, gate.ErrTooLate):
		return notRunError(client.CodeDeadline, retryAfter, "the request would wait past its deadline")
	}
	return notRunError(client.CodeOverloaded, retryAfter, "too many requests are waiting")
}
