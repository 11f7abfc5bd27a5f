package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/connection/caller"
	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/process/membership"
	"corianderpass/pkg/client"
)

// methodServe runs a call at an entry of the organisation's home region.
const methodServe link.Method = "Caller.Serve"

// forwardedCall is a call that is sent to the home region. Within is the time left
// until the deadline of the call.
type forwardedCall struct {
	Call   caller.Call
	Within time.Duration
}

// forwardedAnswer is the answer of a forwarded call, or the error if Error is set.
type forwardedAnswer struct {
	Answer ledger.Answer
	Error  *client.Error `json:",omitempty"`
}

// forwardCall sends the call to the entries of the home region, one after the other, until one
// answers. Several attempts run the call at most once, since the home region claims it under
// its ID.
func (e *Entry) forwardCall(ctx context.Context, c caller.Call) (ledger.Answer, error) {
	sent := false
	for _, m := range membership.Rank(c.RequestID, e.directory.Entries(c.Organisation.HomeRegion)) {
		q := forwardedCall{Call: c, Within: timeLeft(ctx)}
		answer, err := link.Call[forwardedAnswer](ctx, e.pool, m.Address, methodServe, q)
		if err == nil && answer.Error == nil {
			return answer.Answer, nil
		}
		if err == nil {
			return answer.Answer, answer.Error
		}
		sent = sent || !errors.Is(err, link.ErrNotSent)
		if ctx.Err() != nil {
			break
		}
	}
	if sent {
		return ledger.Answer{}, &client.Error{Code: client.CodeUnknownFate, Fate: client.FateUnknown, Message: "no answer from the home region; retry with the same ID", RetryAfter: notReadyRetryAfter}
	}
	return ledger.Answer{}, notRunError(client.CodeNotReady, logDownRetryAfter, "no entry of the home region "+string(c.Organisation.HomeRegion)+" is reachable")
}

// handleServe handles methodServe.
func (e *Entry) handleServe(ctx context.Context, q forwardedCall) (forwardedAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Within)
	defer cancel()
	answer, err := e.Serve(ctx, q.Call)
	if err != nil {
		return forwardedAnswer{Answer: answer, Error: clientError(err)}, nil
	}
	return forwardedAnswer{Answer: answer}, nil
}
