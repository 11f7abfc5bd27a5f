package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/connection/caller"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/process/membership"
	"corianderpass/internal/request/dispatch"
	"corianderpass/internal/request/gate"
	"corianderpass/pkg/client"
	"corianderpass/pkg/platform"
)

const (
	// maxDispatches limits how often one claimed request is dispatched, if possible to
	// another agent each time. Each further dispatch appends a record to the log.
	maxDispatches = 5
	// unclaimGrace is how long after its deadline a claimed request is still answered. If
	// the claim is removed in that time, the answer is that the request did not run.
	unclaimGrace = time.Second
)

// pendingRequest is a request with an ID that is being served in this process. All callers
// with the same ID wait for the one pendingRequest.
type pendingRequest struct {
	// done is closed once answer and err are set; read them only after that.
	done   chan struct{}
	answer ledger.Answer
	err    error
}

// serveClaimed runs a request that has a caller's ID. The claim in the ledger of the home
// region makes it run at most once, however often and at whichever entries it arrives.
func (e *Entry) serveClaimed(ctx context.Context, c caller.Call) (ledger.Answer, error) {
	if c.Organisation.HomeRegion != e.settings.Region {
		return e.forwardCall(ctx, c)
	}
	if e.leaving.Load() && !e.ledger.CaughtUp() {
		return ledger.Answer{}, notRunError(client.CodeLeaving, notReadyRetryAfter, "this entry is leaving")
	}
	key := ledger.NewClaimKey(c.Organisation.Name, c.RequestID)
	request, created := e.joinPending(key)
	if created {
		runCtx, cancel := context.WithTimeout(e.processCtx, timeLeft(ctx))
		e.runInBackground(func() {
			defer cancel()
			request.answer, request.err = e.claimOrAttach(runCtx, c, key)
			e.finishPending(key, request)
		})
	}
	timer := time.NewTimer(timeLeft(ctx) + unclaimGrace)
	defer timer.Stop()
	select {
	case <-request.done:
		return request.answer, request.err
	case <-timer.C:
		return ledger.Answer{}, &client.Error{Code: client.CodeDeadline, Fate: client.FateUnknown, Message: "no answer before the deadline; retry with the same ID"}
	}
}

// joinPending returns the pending request of the key. It reports true if it has created that
// request, in which case the caller must run it.
func (e *Entry) joinPending(key ledger.ClaimKey) (*pendingRequest, bool) {
	e.pendingMu.Lock()
	defer e.pendingMu.Unlock()
	if request := e.pending[key]; request != nil {
		return request, false
	}
	request := &pendingRequest{done: make(chan struct{})}
	e.pending[key] = request
	return request, true
}

func (e *Entry) finishPending(key ledger.ClaimKey, request *pendingRequest) {
	e.pendingMu.Lock()
	defer e.pendingMu.Unlock()
	delete(e.pending, key)
	close(request.done)
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// lookupClaim returns a copy of the claim in the ledger, or nil if there is none.
func (e *Entry) lookupClaim(key ledger.ClaimKey) *ledger.ClaimState {
	var claim *ledger.ClaimState
	e.ledger.View(func(time.Time) {
		if c := e.state.Claim(key); c != nil {
			copied := *c
			claim = &copied
		}
	})
	return claim
}

// claimOrAttach claims the request and runs it, or waits for the answer if the request is
// already claimed.
func (e *Entry) claimOrAttach(ctx context.Context, c caller.Call, key ledger.ClaimKey) (ledger.Answer, error) {
	for {
		claim := e.lookupClaim(key)
		if claim != nil {
			return e.attach(ctx, c, key)
		}
		answer, err := e.claimAndRun(ctx, c, key)
		if !errors.Is(err, ledger.ErrClaimed) {
			return answer, err
		}
	}
}

// claimAndRun claims the request for this process and runs it. An error that wraps
// ledger.ErrClaimed means that another process has claimed it first.
func (e *Entry) claimAndRun(ctx context.Context, c caller.Call, key ledger.ClaimKey) (ledger.Answer, error) {
	if e.ledger.Down() {
		return ledger.Answer{}, clientError(journal.ErrNotAppended)
	}
	admission, err := e.admit(ctx, c, nil)
	if err != nil {
		return ledger.Answer{}, err
	}
	order := e.newOrder(ctx, c, admission, true)
	err = e.propose(ctx, ledger.Record{Claim: &ledger.Claim{
		Key: key, Owner: e.member.ID, OwnerAddress: e.settings.LinkAddress, Service: c.Service,
		BodyDigest: digestOf(c.Body), Dispatch: order.ID, Target: targetOf(admission),
	}})
	if err != nil {
		e.gate.Done(admission, gate.ResultUnused, 0)
		if errors.Is(err, ledger.ErrClaimed) {
			return ledger.Answer{}, err
		}
		if errors.Is(err, journal.ErrFateUnknown) {
			// This entry has dispatched nothing. But the claim may be recorded after
			// all, and then another entry may run the request for a caller of its own.
			return ledger.Answer{}, &client.Error{
				Code: client.CodeUnknownFate, Fate: client.FateUnknown, RetryAfter: logDownRetryAfter,
				Message: "the claim was not confirmed in time; retry with the same ID",
			}
		}
		return ledger.Answer{}, clientError(err)
	}
	return e.runClaimed(ctx, c, key, 1, admission, order)
}

func targetOf(admission gate.Admission) ledger.Target {
	return ledger.Target{Agent: admission.Agent.ID, Address: admission.Agent.Address}
}

// runClaimed dispatches a request whose claim this process owns under the epoch. After a
// refusal it dispatches the request again, to another agent if possible, under a new epoch.
func (e *Entry) runClaimed(ctx context.Context, c caller.Call, key ledger.ClaimKey, epoch platform.Epoch, admission gate.Admission, order dispatch.Order) (ledger.Answer, error) {
	var avoid []incarnation.ID
	for dispatches := 1; ; dispatches++ {
		order.Within = agentTimeout(ctx)
		reply := e.sendOrder(ctx, admission, order)
		if reply.Fate == ledger.FateUnknown {
			reply = e.awaitFate(ledger.Target{Agent: admission.Agent.ID, Address: admission.Agent.Address}, order.ID, reply)
		}
		if reply.Fate != ledger.FateNotRun {
			e.settleInBackground(key, epoch, reply.Answer)
			return reply.Answer, e.replyError(c, reply)
		}
		if reply.Refusal == dispatch.RefusedRevoked {
			// Another entry considered this one dead and revoked the dispatch for a
			// caller of its own.
			return e.attach(ctx, c, key)
		}
		avoid = append(avoid, admission.Agent.ID)
		next, err := e.retarget(ctx, c, key, epoch, avoid, dispatches)
		if err != nil {
			return e.unclaim(ctx, c, key, epoch, reply)
		}
		admission, order = next.admission, next.order
		epoch++
	}
}

// unclaim removes the claim of a request that all agents refused. It returns the fate NotRun
// only once the removal is recorded: until then, another entry that considers this one dead
// may be running the request.
func (e *Entry) unclaim(ctx context.Context, c caller.Call, key ledger.ClaimKey, epoch platform.Epoch, reply dispatch.Reply) (ledger.Answer, error) {
	// The process's context is used instead of the caller's, since the claim must be
	// removed even if the caller's deadline has passed.
	err := e.proposeAndLog(e.processCtx, ledger.Record{Unclaim: &ledger.Unclaim{Key: key, Epoch: epoch}})
	switch {
	case err == nil:
		return ledger.Answer{}, e.replyError(c, reply)
	case isRejected(err):
		return e.attach(ctx, c, key)
	}
	return ledger.Answer{}, &client.Error{
		Code: client.CodeUnknownFate, Fate: client.FateUnknown, RetryAfter: logDownRetryAfter,
		Message: "refused, but the claim could not be removed; retry with the same ID",
	}
}

// retry is the next dispatch of a claimed request, recorded in the ledger and not yet sent.
type retry struct {
	admission gate.Admission
	order     dispatch.Order
}

// errNoRetry means that a refused request is not dispatched again.
var errNoRetry = errors.New("entry: the request is not retried")

// retarget admits a refused request to another agent, if possible to none in avoid, and
// records that agent in the claim. dispatches is how often the request was dispatched before.
// retarget fails if the request must not be dispatched again.
func (e *Entry) retarget(ctx context.Context, c caller.Call, key ledger.ClaimKey, epoch platform.Epoch, avoid []incarnation.ID, dispatches int) (retry, error) {
	if dispatches >= maxDispatches || ctx.Err() != nil {
		return retry{}, errNoRetry
	}
	admission, err := e.admit(ctx, c, avoid)
	if err != nil {
		return retry{}, err
	}
	order := e.newOrder(ctx, c, admission, true)
	if err := e.reclaim(ctx, key, epoch+1, admission, order); err != nil {
		return retry{}, err
	}
	return retry{admission: admission, order: order}, nil
}

// reclaim records this process as the claim's owner and the admission's agent as its
// target. If that fails, it ends the admission.
func (e *Entry) reclaim(ctx context.Context, key ledger.ClaimKey, epoch platform.Epoch, admission gate.Admission, order dispatch.Order) error {
	err := e.propose(ctx, ledger.Record{Reclaim: &ledger.Reclaim{
		Key: key, Epoch: epoch, Owner: e.member.ID, OwnerAddress: e.settings.LinkAddress,
		Dispatch: order.ID, Target: targetOf(admission),
	}})
	if err != nil {
		e.gate.Done(admission, gate.ResultUnused, 0)
	}
	return err
}

// awaitFate asks the agent again about a dispatch whose fate is unknown because the link
// was lost or the deadline passed. It stops after membership.HomeEntryTimeout or when the
// agent is dead, and then returns the given reply.
func (e *Entry) awaitFate(target ledger.Target, id ledger.DispatchID, reply dispatch.Reply) dispatch.Reply {
	ctx, cancel := context.WithTimeout(e.processCtx, membership.HomeEntryTimeout)
	defer cancel()
	for ctx.Err() == nil && e.directory.IsAlive(target.Agent) {
		fate, err := e.revoke(ctx, target.Address, dispatch.Revocation{ID: id, Agent: target.Agent, Wait: timeLeft(ctx)})
		if err == nil {
			return fate
		}
		sleep(ctx, fateRetryDelay)
	}
	return reply
}
