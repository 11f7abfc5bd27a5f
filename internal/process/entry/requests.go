package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/connection/caller"
	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/request/dispatch"
	"corianderpass/internal/request/gate"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/client"
)

// initialBackoff is the delay before the second retry; it doubles with each further one. The
// first retry is not delayed, since it usually goes to another agent.
const initialBackoff = 50 * time.Millisecond

// revokeTimeout limits one attempt to revoke a dispatch, beyond its Wait.
const revokeTimeout = time.Second

// Serve runs one request and returns its answer. The error is a *client.Error with the
// request's fate; if it is nil, the request ran and the answer is complete.
func (e *Entry) Serve(ctx context.Context, c caller.Call) (ledger.Answer, error) {
	current := e.register.Current()
	if current == nil {
		return ledger.Answer{}, notRunError(client.CodeNotReady, notReadyRetryAfter, "no bundle is in force here yet")
	}
	if _, known := current.Bundle.Service(c.Service); !known {
		return ledger.Answer{}, notRunError(client.CodeNotFound, 0, "no such service: "+string(c.Service))
	}
	ctx, cancel := context.WithTimeout(ctx, current.Bundle.Limits.RequestTime.Std())
	defer cancel()
	if c.RequestID != "" && !c.Repeatable {
		return e.serveClaimed(ctx, c)
	}
	return e.serveUnclaimed(ctx, c)
}

// maxUnknownFates is the number of dispatches of unknown fate after which a repeatable request is not
// retried. It may crash each backend server that runs it.
const maxUnknownFates = 2

// serveUnclaimed runs a request without a claim in the ledger. A request that did not run is
// retried within the retry budget, and so is a repeatable one until maxUnknownFates of its
// dispatches have an unknown fate. Any other request of unknown fate may have run, so its error
// is returned at once.
func (e *Entry) serveUnclaimed(ctx context.Context, c caller.Call) (ledger.Answer, error) {
	e.retryBudget.AddRequest(e.register.Current().Bundle.Limits.RetryShare)
	var avoid []incarnation.ID
	unknownFates := 0
	for backoff := initialBackoff; ; {
		admission, err := e.admit(ctx, c, avoid)
		if err != nil {
			return ledger.Answer{}, err
		}
		reply := e.sendOrder(ctx, admission, e.newOrder(ctx, c, admission, false))
		if reply.Refusal == dispatch.RefusedFull && ctx.Err() == nil {
			// The gate sends the agent no requests for a while, and this request waits for
			// admission again.
			continue
		}
		callErr := e.replyError(c, reply)
		if reply.Fate == ledger.FateUnknown {
			unknownFates++
		}
		retriable := reply.Fate == ledger.FateNotRun || reply.Fate == ledger.FateUnknown && c.Repeatable && unknownFates < maxUnknownFates
		if !retriable || ctx.Err() != nil || !e.retryBudget.TakeRetry() {
			return reply.Answer, callErr
		}
		e.countRetry(c)
		avoid = append(avoid, admission.Agent.ID)
		if len(avoid) > 1 {
			sleep(ctx, backoff)
			backoff *= 2
		}
	}
}

// admit waits until the gate admits the request to an agent, if possible to none in avoid.
func (e *Entry) admit(ctx context.Context, c caller.Call, avoid []incarnation.ID) (gate.Admission, error) {
	admission, err := e.gate.Admit(ctx, gate.Request{
		Organisation: c.Organisation.Name, Service: c.Service, Share: c.Organisation.Share,
		Bytes: len(c.Body), Timeout: e.maxRequestTime(), Avoid: avoid,
	})
	if err != nil {
		return admission, gateError(err, e.gate.RetryAfter(c.Service))
	}
	return admission, nil
}

// newOrder returns a new dispatch of the call to the admission's agent. keepAnswer is set for
// claimed requests, since other entries may ask the agent for the reply later; the agent then
// stores the reply for longer.
func (e *Entry) newOrder(ctx context.Context, c caller.Call, admission gate.Admission, keepAnswer bool) dispatch.Order {
	limit := 0
	if service, found := e.register.Current().Bundle.Service(c.Service); found {
		limit = service.AnswerLimit
	}
	return dispatch.Order{
		ID: e.newDispatchID(), AnswerLimit: limit, Agent: admission.Agent.ID, Organisation: c.Organisation.Name, Service: c.Service,
		RequestID: c.RequestID, Body: c.Body, Within: agentTimeout(ctx), Whole: e.maxRequestTime(), Keep: keepAnswer,
	}
}

// maxRequestTime returns the longest time that a request may take: that of the bundle in
// force, or the default if there is none.
func (e *Entry) maxRequestTime() time.Duration {
	if current := e.register.Current(); current != nil {
		return current.Bundle.Limits.RequestTime.Std()
	}
	return bundle.DefaultLimits().RequestTime.Std()
}

// agentTimeShare is the fraction of the remaining time that an agent may use, so that its
// refusal arrives before the caller's deadline.
const agentTimeShare = 0.9

func agentTimeout(ctx context.Context) time.Duration {
	return time.Duration(agentTimeShare * float64(timeLeft(ctx)))
}

// timeLeft returns the time to the context's deadline, at least 0, or a minute if it has
// none.
func timeLeft(ctx context.Context) time.Duration {
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		return time.Minute
	}
	return max(0, time.Until(deadline))
}

// sendOrder sends the order to the admission's agent, ends the admission and returns the
// order's outcome.
func (e *Entry) sendOrder(ctx context.Context, admission gate.Admission, order dispatch.Order) dispatch.Reply {
	reply, err := link.Call[dispatch.Reply](ctx, e.pool, admission.Agent.Address, dispatch.MethodRun, order)
	if err != nil {
		reply = e.fateAfterLoss(ctx, admission, order, err)
	}
	e.gate.Done(admission, gateResult(reply), len(order.Body)+len(reply.Body))
	return reply
}

func gateResult(reply dispatch.Reply) gate.Result {
	switch {
	case reply.Fate == ledger.FateRan:
		return gate.ResultAnswered
	case reply.Refusal == dispatch.RefusedLate:
		return gate.ResultUnused
	case reply.Refusal == dispatch.RefusedFull, reply.Refusal == dispatch.RefusedLeaving:
		return gate.ResultRefused
	}
	return gate.ResultFailed
}

// fateAfterLoss determines the outcome of an order that got no reply because of cause. An
// order that was not sent did not run. Any other order is revoked at its agent, which returns
// the outcome if the order has already started.
func (e *Entry) fateAfterLoss(ctx context.Context, admission gate.Admission, order dispatch.Order, cause error) dispatch.Reply {
	if errors.Is(cause, link.ErrNotSent) {
		return dispatch.Reply{
			Answer:  ledger.Answer{Fate: ledger.FateNotRun, Error: cause.Error()},
			Refusal: dispatch.RefusedUnreachable,
		}
	}
	if ctx.Err() != nil {
		return unknownFate("no answer before the deadline")
	}
	reply, err := e.revoke(ctx, admission.Agent.Address, dispatch.Revocation{ID: order.ID, Agent: order.Agent, Wait: timeLeft(ctx)})
	if err != nil {
		return unknownFate(cause.Error())
	}
	return reply
}

func unknownFate(text string) dispatch.Reply {
	return dispatch.Reply{Answer: ledger.Answer{Fate: ledger.FateUnknown, Error: text}}
}

// revoke asks the agent at the address to revoke an order. If the order is running, the agent
// waits for at most r.Wait until the order has ended.
func (e *Entry) revoke(ctx context.Context, address link.Address, r dispatch.Revocation) (dispatch.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+revokeTimeout)
	defer cancel()
	return link.Call[dispatch.Reply](ctx, e.pool, address, dispatch.MethodRevoke, r)
}

// replyError converts an agent's reply to the error for the caller. It returns nil if the
// request ran and its answer is complete.
func (e *Entry) replyError(c caller.Call, reply dispatch.Reply) error {
	switch reply.Fate {
	case ledger.FateRan:
		if reply.Error != "" {
			return &client.Error{Code: client.CodeAnswerTooLong, Fate: client.FateRan, Message: reply.Error}
		}
		return nil
	case ledger.FateNotRun:
		code := client.CodeOverloaded
		switch reply.Refusal {
		case dispatch.RefusedUnreachable:
			code = client.CodeNoMinion
		case dispatch.RefusedLate:
			code = client.CodeDeadline
		}
		return notRunError(code, e.gate.RetryAfter(c.Service), reply.Error)
	}
	return &client.Error{Code: client.CodeUnknownFate, Fate: client.FateUnknown, Message: reply.Error}
}
