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

// claimPollInterval is how often a waiting caller looks whether the owner died.
const claimPollInterval = 500 * time.Millisecond

// attach waits for the answer of a request that is claimed already. If its owner
// died, the attached caller resolves the claim.
func (e *Entry) attach(ctx context.Context, c caller.Call, key ledger.ClaimKey) (ledger.Answer, error) {
	for {
		changed := e.ledger.Changed()
		claim := e.lookupClaim(key)
		switch {
		case claim == nil:
			return e.claimOrAttach(ctx, c, key)
		case claim.BodyDigest != digestOf(c.Body) || claim.Service != c.Service:
			return ledger.Answer{}, notRunError(client.CodeConflict, 0, "the request ID is taken by another service or body")
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
			return ledger.Answer{}, &client.Error{Code: client.CodeDeadline, Fate: client.FateUnknown, Message: "the request is still under way; ask again with the same ID"}
		}
		timer.Stop()
	}
}

// pollClaim asks whoever must know the answer of an open claim: this process,
// the living owner, or the agent if the owner is gone.
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

// methodAwait asks the owner of a claim for the answer.
const methodAwait link.Method = "Claim.Await"

// awaitQuery asks for the answer of a claim, waiting at most so long.
type awaitQuery struct {
	Key   ledger.ClaimKey
	Owner incarnation.ID
	Wait  time.Duration
}

// awaitAnswer has the answer if it is known.
type awaitAnswer struct {
	Answer *ledger.Answer `json:",omitempty"`
}

// handleAwait answers another entry's callers of a request that runs here.
func (e *Entry) handleAwait(ctx context.Context, q awaitQuery) (awaitAnswer, error) {
	if q.Owner != e.member.ID {
		return awaitAnswer{}, errors.New("entry: the owner was replaced")
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

// resolveClaim finds out what became of a claim whose owner is gone, and runs the
// request if its dispatch can no longer start. It returns done false if the
// claim changed meanwhile.
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
		// It may still run there; ask again.
		return ledger.Answer{}, false, nil
	}
	e.settleInBackground(key, claim.Epoch, reply.Answer)
	return ledger.Answer{}, true, e.replyError(c, reply)
}

// revokeDispatch asks the agent of a claim what became of it.
func (e *Entry) revokeDispatch(ctx context.Context, claim ledger.ClaimState) dispatch.Reply {
	reply, err := e.revoke(ctx, claim.Target.Address, dispatch.Revocation{
		ID: claim.Dispatch, Agent: claim.Target.Agent, Wait: claimPollInterval,
	})
	if err != nil {
		return unknownFate("the agent that had the request does not answer: " + err.Error())
	}
	return reply
}
