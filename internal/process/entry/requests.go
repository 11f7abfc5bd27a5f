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

// firstBackoff is the pause before the second retry; it doubles with each further
// one. The first goes to another agent at once.
const firstBackoff = 50 * time.Millisecond

// revokeTimeout bounds one try to revoke a dispatch.
const revokeTimeout = time.Second

// Serve answers one request. Without an error the request ran and the answer is
// whole; an error is a *client.Error that tells its fate.
func (e *Entry) Serve(ctx context.Context, c caller.Call) (ledger.Answer, error) {
	current := e.register.Current()
	if current == nil {
		return ledger.Answer{}, refusal(client.CodeNotReady, readyRetryAfter, "no bundle is known here yet")
	}
	if _, known := current.Bundle.Service(c.Service); !known {
		return ledger.Answer{}, refusal(client.CodeNotFound, 0, "no such service: "+string(c.Service))
	}
	ctx, cancel := context.WithTimeout(ctx, current.Bundle.Limits.RequestTime.Std())
	defer cancel()
	if c.RequestID != "" && !c.Repeatable {
		return e.serveClaimed(ctx, c)
	}
	return e.serveFree(ctx, c)
}

// serveFree runs a request that is in no log. A repeatable one is tried again
// under the budget; one of unknown fate that is not gets its answer at once.
func (e *Entry) serveFree(ctx context.Context, c caller.Call) (ledger.Answer, error) {
	e.retries.AddRequest(e.register.Current().Bundle.Limits.RetryShare)
	var avoid []incarnation.ID
	for backoff := firstBackoff; ; {
		pass, err := e.enter(ctx, c, avoid)
		if err != nil {
			return ledger.Answer{}, err
		}
		reply := e.send(ctx, pass, e.order(ctx, c, pass, false))
		if reply.Refusal == dispatch.RefusedFull && ctx.Err() == nil {
			// The gate keeps the agent free for a while; the request goes back in line.
			continue
		}
		final := e.judge(c, reply)
		retriable := reply.Fate == ledger.FateNotRun || reply.Fate == ledger.FateUnknown && c.Repeatable
		if !retriable || ctx.Err() != nil || !e.retries.TakeRetry() {
			return reply.Answer, final
		}
		e.countRetry(c)
		avoid = append(avoid, pass.Agent.ID)
		if len(avoid) > 1 {
			sleep(ctx, backoff)
			backoff *= 2
		}
	}
}

// enter waits for a pass.
func (e *Entry) enter(ctx context.Context, c caller.Call, avoid []incarnation.ID) (gate.Admission, error) {
	pass, err := e.gate.Admit(ctx, gate.Request{
		Organisation: c.Organisation.Name, Service: c.Service, Share: c.Organisation.Share,
		Bytes: len(c.Body), Timeout: e.requestTime(), Avoid: avoid,
	})
	if err != nil {
		return pass, explainGate(err, e.gate.RetryAfter(c.Service))
	}
	return pass, nil
}

func (e *Entry) order(ctx context.Context, c caller.Call, pass gate.Admission, keep bool) dispatch.Order {
	limit := 0
	if service, known := e.register.Current().Bundle.Service(c.Service); known {
		limit = service.AnswerLimit
	}
	return dispatch.Order{
		ID: e.nextDispatch(), AnswerLimit: limit, Agent: pass.Agent.ID, Organisation: c.Organisation.Name, Service: c.Service,
		RequestID: c.RequestID, Body: c.Body, Within: timeForAgent(ctx), Whole: e.requestTime(), Keep: keep,
	}
}

// requestTime is the longest time that a request may take.
func (e *Entry) requestTime() time.Duration {
	if current := e.register.Current(); current != nil {
		return current.Bundle.Limits.RequestTime.Std()
	}
	return bundle.DefaultLimits().RequestTime.Std()
}

// agentShare is the share of the time left that an agent may use, so that its
// refusal arrives before the caller's time is over.
const agentShare = 0.9

func timeForAgent(ctx context.Context) time.Duration {
	return time.Duration(agentShare * float64(timeLeft(ctx)))
}

// timeLeft returns the time to the context's deadline.
func timeLeft(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return time.Minute
	}
	return max(0, time.Until(deadline))
}

// send sends the order under the pass, gives the pass back and returns what
// became of the order.
func (e *Entry) send(ctx context.Context, pass gate.Admission, o dispatch.Order) dispatch.Reply {
	reply, err := link.Call[dispatch.Reply](ctx, e.pool, pass.Agent.Address, dispatch.MethodRun, o)
	if err != nil {
		reply = e.afterLoss(ctx, pass, o, err)
	}
	e.gate.Done(pass, resultOf(reply), len(o.Body)+len(reply.Body))
	return reply
}

func resultOf(reply dispatch.Reply) gate.Result {
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

// afterLoss finds out what became of an order whose answer was lost: the agent
// revokes it or tells how it went.
func (e *Entry) afterLoss(ctx context.Context, pass gate.Admission, o dispatch.Order, cause error) dispatch.Reply {
	if errors.Is(cause, link.ErrNotSent) {
		return dispatch.Reply{
			Answer:  ledger.Answer{Fate: ledger.FateNotRun, Error: cause.Error()},
			Refusal: dispatch.RefusedUnreachable,
		}
	}
	if ctx.Err() != nil {
		return unknown("no answer in time")
	}
	reply, err := e.revoke(ctx, pass.Agent.Address, dispatch.Revocation{ID: o.ID, Agent: o.Agent, Wait: timeLeft(ctx)})
	if err != nil {
		return unknown(cause.Error())
	}
	return reply
}

func unknown(text string) dispatch.Reply {
	return dispatch.Reply{Answer: ledger.Answer{Fate: ledger.FateUnknown, Error: text}}
}

// revoke asks an agent to revoke an order.
func (e *Entry) revoke(ctx context.Context, address link.Address, r dispatch.Revocation) (dispatch.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+revokeTimeout)
	defer cancel()
	return link.Call[dispatch.Reply](ctx, e.pool, address, dispatch.MethodRevoke, r)
}

// judge turns an agent's reply into the error for the caller, nil if it ran.
func (e *Entry) judge(c caller.Call, reply dispatch.Reply) error {
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
		return refusal(code, e.gate.RetryAfter(c.Service), reply.Error)
	}
	return &client.Error{Code: client.CodeUnknownFate, Fate: client.FateUnknown, Message: reply.Error}
}
