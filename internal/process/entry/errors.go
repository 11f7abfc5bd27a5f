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
	// logRetryAfter is when to come back while the log is down.
	logRetryAfter = 5 * time.Second
	// readyRetryAfter is when to come back to an entry that is starting.
	readyRetryAfter = time.Second
)

// refusal builds the answer to a request that did not run.
func refusal(code client.Code, retry time.Duration, message string) *client.Error {
	return &client.Error{Code: code, Fate: client.FateNotRun, Message: message, RetryAfter: retry}
}

// verdicts translate the judgements of the machines.
var verdicts = []struct {
	err   error
	code  client.Code
	retry time.Duration
}{
	{ledger.ErrJobConflict, client.CodeConflict, 0},
	{ledger.ErrRequestConflict, client.CodeConflict, 0},
	{ledger.ErrInvalidJob, client.CodeInvalid, 0},
	{ledger.ErrNeverFits, client.CodeNeverFits, 0},
	{ledger.ErrTooManyJobs, client.CodeOverloaded, 30 * time.Second},
	{ledger.ErrNoWorkers, client.CodeNotReady, readyRetryAfter},
	{ledger.ErrNoBundle, client.CodeNotReady, readyRetryAfter},
	{ledger.ErrUnknownOrganisation, client.CodeNotReady, readyRetryAfter},
	{ledger.ErrRulesMismatch, client.CodeNotReady, readyRetryAfter},
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

// explain turns the error of a proposal into the answer to whoever asked.
func explain(err error) *client.Error {
	if typed := client.AsError(err); typed != nil {
		return typed
	}
	for _, v := range verdicts {
		if errors.Is(err, v.err) {
			return refusal(v.code, v.retry, err.Error())
		}
	}
	switch {
	case errors.Is(err, journal.ErrNotAppended):
		return refusal(client.CodeLogDown, logRetryAfter, "the platform's log takes no records at the moment")
	case errors.Is(err, journal.ErrFateUnknown):
		return &client.Error{Code: client.CodeUnknownFate, Fate: client.FateUnknown, Message: "recorded or not: ask again with the same ID", RetryAfter: logRetryAfter}
	}
	var void *journal.RejectedError
	if errors.As(err, &void) {
		return refusal(client.CodeConflict, 0, void.Error())
	}
	return refusal(client.CodeInternal, 0, err.Error())
}

// explainGate turns the gate's refusal into the answer to the caller.
func explainGate(err error, retry time.Duration) *client.Error {
	switch {
	case errors.Is(err, gate.ErrNoAgent):
		return refusal(client.CodeNoMinion, retry, "no minion serves this service at the moment")
	case errors.Is(err, gate.ErrTooLate):
		return refusal(client.CodeDeadline, retry, "the request would wait longer than it may take")
	}
	return refusal(client.CodeOverloaded, retry, "too many requests wait")
}
