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
	"corianderpass/pkg/client"
)

// claimPollInterval is the time between two checks whether an unsettled claim is answered
// and whether its owner is still alive.
const claimPollInterval = 500 * time.Millisecond

// attach waits for the answer of a request that is already claimed, and returns it. If the
// claim's owner is dead, attach resolves the claim itself. If the claim is removed, attach
// claims the request again.
func (e *Entry) attach(ctx context.Context, c caller.Call, key ledger.ClaimKey) (ledger.Answer, error) {
	for {
		changed := e.ledger.Changed()
		claim := e.lookupClaim(key)
		switch {
		case claim == nil:
			return e.claimOrAttach(ctx, c, key)
		case claim.BodyDigest != digestOf(c.Body) || claim.Service != c.Service:
			return ledger.Answer{}, notRunError(client.CodeConflict, 0, "the request ID was already used for another service or body")
		case claim.Answer != nil:
			return *claim.Answer, e.replyError(c, dispatch.Reply{Answer: *claim.Answer})
		}
		answer, done, err := e.pollClaim(ctx, c, key, *claim)
		if done {
			return answer, err
		}
		timer := time.NewTimer(claimPollInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ledger.Answer{}, &client.Error{Code: client.CodeDeadline, Fate: client.FateUnknown, Message: "the request is still running; retry with the same ID"}
		}
		timer.Stop()
	}
}

// pollClaim makes one attempt to get the answer of an unsettled claim: from this process if it
// has the answer, else from the owner if the owner is alive, else from the agent. It reports
// false if it got no answer.
func (e *Entry) pollClaim(ctx context.Context, c caller.Call, key ledger.ClaimKey, claim ledger.ClaimState) (ledger.Answer, bool, error) {
	if _, answer := e.findPending(key); answer != nil {
		return *answer, true, e.replyError(c, dispatch.Reply{Answer: *answer})
	}
	if claim.Owner == e.member.ID || !e.directory.IsAlive(claim.Owner) {
		return e.resolveClaim(ctx, c, key, claim)
	}
	ctx, cancel := context.WithTimeout(ctx, claimPollInterval+revokeTimeout)
	defer cancel()
	reply, err := link.Call[awaitAnswer](ctx, e.pool, claim.OwnerAddress, methodAwait, awaitQuery{Key: key, Owner: claim.Owner, Wait: claimPollInterval})
	if err != nil || reply.Answer == nil {
		return ledger.Answer{}, false, nil
	}
	return *reply.Answer, true, e.replyError(c, dispatch.Reply{Answer: *reply.Answer})
}

// methodAwait asks the owner of a claim for the answer of the request.
const methodAwait link.Method = "Claim.Await"

// awaitQuery asks the claim's owner for the answer and lets it wait for at most Wait.
type awaitQuery struct {
	Key   ledger.ClaimKey
	Owner incarnation.ID
	Wait  time.Duration
}

// awaitAnswer has the answer. It is nil while the request runs, and once the answer is recorded
// in the ledger.
type awaitAnswer struct {
	Answer *ledger.Answer `json:",omitempty"`
}

// handleAwait handles methodAwait: it waits for at most q.Wait until the request has ended in
// this process, and returns the answer. It returns none if the request is still running, or if
// the answer is already in the ledger.
func (e *Entry) handleAwait(ctx context.Context, q awaitQuery) (awaitAnswer, error) {
	if q.Owner != e.member.ID {
		return awaitAnswer{}, errors.New("entry: this incarnation is not the owner of the claim")
	}
	if request, _ := e.findPending(q.Key); request != nil {
		timer := time.NewTimer(q.Wait)
		defer timer.Stop()
		select {
		case <-request.done:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	_, answer := e.findPending(q.Key)
	return awaitAnswer{Answer: answer}, nil
}

// resolveClaim determines the fate of a claimed request whose owner is dead or no longer
// runs it. If the dispatch is revoked before it started, this entry dispatches the request
// again. It reports false if the fate is not known yet or another entry has changed the claim.
func (e *Entry) resolveClaim(ctx context.Context, c caller.Call, key ledger.ClaimKey, claim ledger.ClaimState) (ledger.Answer, bool, error) {
	reply := e.revokeDispatch(ctx, claim)
	switch reply.Fate {
	case ledger.FateNotRun:
		admission, err := e.admit(ctx, c, nil)
		if err != nil {
			return ledger.Answer{}, true, err
		}
		order := e.newOrder(ctx, c, admission, true)
		if err := e.reclaim(ctx, key, claim.Epoch+1, admission, order); err != nil {
			return ledger.Answer{}, false, nil
		}
		answer, err := e.runClaimed(ctx, c, key, claim.Epoch+1, admission, order)
		return answer, true, err
	case ledger.FateRan:
		e.settleInBackground(key, claim.Epoch, reply.Answer)
		return reply.Answer, true, e.replyError(c, reply)
	}
	if e.directory.IsAlive(claim.Target.Agent) {
		// The agent is alive, so the request may still be running there.
		return ledger.Answer{}, false, nil
	}
	e.settleInBackground(key, claim.Epoch, reply.Answer)
	return ledger.Answer{}, true, e.replyError(c, reply)
}

// revokeDispatch asks the claim's agent to revoke the dispatch. If it has already started,
// the reply is its outcome, or an unknown fate while it is still running.
func (e *Entry) revokeDispatch(ctx context.Context, claim ledger.ClaimState) dispatch.Reply {
	reply, err := e.revoke(ctx, claim.Target.Address, dispatch.Revocation{
		ID: claim.Dispatch, Agent: claim.Target.Agent, Wait: claimPollInterval,
	})
	if err != nil {
		return unknownFate("the agent of the request does not answer: " + err.Error())
	}
	return reply
}
