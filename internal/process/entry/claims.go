package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/connection/caller"
	"corianderpass/internal/connection/link"
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
	// sweepEvery is the time between two looks at claims that nobody answers for.
	sweepEvery = time.Second
	// sweepAge is how old an open claim is before it is looked at.
	sweepAge = 2 * time.Second
	// recheckEvery is how often a waiting caller looks whether the owner died.
	recheckEvery = 500 * time.Millisecond
	// claimTries bounds the agents to which one claimed request is offered.
	claimTries = 5
	// settlePause is the pause between two tries to record an answer.
	settlePause = 500 * time.Millisecond
)

// flight is a claimed request that this process runs. Callers of the same
// request share it.
type flight struct {
	// done is closed when answer and err are final.
	done   chan struct{}
	answer ledger.Answer
	err    error
}

// serveClaimed runs a request under the caller's own ID, at most once wherever
// and however often it arrives.
func (e *Entry) serveClaimed(ctx context.Context, c caller.Call) (ledger.Answer, error) {
	if c.Organisation.HomeRegion != e.settings.Region {
		return e.forwardCall(ctx, c)
	}
	if e.leaving.Load() && !e.ledger.CaughtUp() {
		return ledger.Answer{}, refusal(client.CodeLeaving, readyRetryAfter, "this entry is leaving")
	}
	key := ledger.NewClaimKey(c.Organisation.Name, c.RequestID)
	f, first := e.join(key)
	if first {
		life, cancel := context.WithTimeout(e.life, timeLeft(ctx))
		e.spawn(func() {
			defer cancel()
			f.answer, f.err = e.fly(life, c, key)
			e.leaveFlight(key, f)
		})
	}
	select {
	case <-f.done:
		return f.answer, f.err
	case <-ctx.Done():
		return ledger.Answer{}, &client.Error{Code: client.CodeDeadline, Fate: client.FateUnknown, Message: "no answer in time; ask again with the same ID"}
	}
}

// join returns the flight of the key and whether the caller must fly it.
func (e *Entry) join(key ledger.ClaimKey) (*flight, bool) {
	e.flightsMu.Lock()
	defer e.flightsMu.Unlock()
	if f := e.flights[key]; f != nil {
		return f, false
	}
	f := &flight{done: make(chan struct{})}
	e.flights[key] = f
	return f, true
}

func (e *Entry) leaveFlight(key ledger.ClaimKey, f *flight) {
	e.flightsMu.Lock()
	defer e.flightsMu.Unlock()
	delete(e.flights, key)
	close(f.done)
}

func (e *Entry) inFlight(key ledger.ClaimKey) bool {
	e.flightsMu.Lock()
	defer e.flightsMu.Unlock()
	return e.flights[key] != nil
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// claimOf returns a copy of the claim, nil if there is none.
func (e *Entry) claimOf(key ledger.ClaimKey) *ledger.ClaimState {
	var found *ledger.ClaimState
	e.ledger.Look(func(time.Time) {
		if c := e.state.Claim(key); c != nil {
			copied := *c
			found = &copied
		}
	})
	return found
}

// fly claims the request and runs it, or gets the answer of whoever did.
func (e *Entry) fly(ctx context.Context, c caller.Call, key ledger.ClaimKey) (ledger.Answer, error) {
	for {
		claim := e.claimOf(key)
		if claim != nil {
			return e.attach(ctx, c, key)
		}
		answer, err := e.claimAndRun(ctx, c, key)
		if !errors.Is(err, ledger.ErrClaimed) {
			return answer, err
		}
	}
}

// claimAndRun claims the request for this process and runs it. An error that
// wraps ErrClaimed means that another process was faster.
func (e *Entry) claimAndRun(ctx context.Context, c caller.Call, key ledger.ClaimKey) (ledger.Answer, error) {
	if e.ledger.Down() {
		return ledger.Answer{}, explain(journal.ErrNotAppended)
	}
	pass, err := e.enter(ctx, c, nil)
	if err != nil {
		return ledger.Answer{}, err
	}
	o := e.order(ctx, c, pass, true)
	err = e.propose(ctx, ledger.Record{Claim: &ledger.Claim{
		Key: key, Owner: e.member.ID, OwnerAddress: e.settings.LinkAddress, Service: c.Service,
		BodyDigest: digestOf(c.Body), Dispatch: o.ID, Target: targetOf(pass),
	}})
	if err != nil {
		e.gate.Done(pass, gate.ResultUnused, 0)
		if errors.Is(err, ledger.ErrClaimed) {
			return ledger.Answer{}, err
		}
		if errors.Is(err, journal.ErrFateUnknown) {
			// Nothing was dispatched, and nothing will be: if the claim is recorded
			// after all, the sweep gives it back.
			return ledger.Answer{}, refusal(client.CodeLogDown, logRetryAfter, "the claim could not be recorded in time")
		}
		return ledger.Answer{}, explain(err)
	}
	return e.runClaimed(ctx, c, key, 1, pass, o)
}

func targetOf(pass gate.Pass) ledger.Target {
	return ledger.Target{Agent: pass.Agent.ID, Address: pass.Agent.Address}
}

// runClaimed dispatches a request that this process owns under the epoch. A
// refused dispatch goes to another agent, each time under a new epoch.
func (e *Entry) runClaimed(ctx context.Context, c caller.Call, key ledger.ClaimKey, epoch platform.Epoch, pass gate.Pass, o dispatch.Order) (ledger.Answer, error) {
	var avoid []incarnation.ID
	for try := 1; ; try++ {
		o.Within = timeLeft(ctx)
		reply := e.send(ctx, pass, o)
		if reply.Fate == ledger.FateUnknown {
			reply = e.outlast(ledger.Target{Agent: pass.Agent.ID, Address: pass.Agent.Address}, o.ID, reply)
		}
		if reply.Fate != ledger.FateNotRun {
			e.settleLater(key, epoch, reply.Answer)
			return reply.Answer, e.judge(c, reply)
		}
		avoid = append(avoid, pass.Agent.ID)
		next, err := e.retarget(ctx, c, key, epoch, avoid, try)
		if err != nil {
			e.unclaimLater(key, epoch)
			return ledger.Answer{}, e.judge(c, reply)
		}
		pass, o = next.pass, next.order
		epoch++
	}
}

// retry is the next dispatch of a claimed request.
type retry struct {
	pass  gate.Pass
	order dispatch.Order
}

// errNoRetry tells that a refused request is not tried again.
var errNoRetry = errors.New("entry: no retry left")

// retarget records that a refused request goes to another agent.
func (e *Entry) retarget(ctx context.Context, c caller.Call, key ledger.ClaimKey, epoch platform.Epoch, avoid []incarnation.ID, try int) (retry, error) {
	if try >= claimTries || ctx.Err() != nil || !e.retries.Retry() {
		return retry{}, errNoRetry
	}
	pass, err := e.enter(ctx, c, avoid)
	if err != nil {
		return retry{}, err
	}
	o := e.order(ctx, c, pass, true)
	err = e.propose(ctx, ledger.Record{Reclaim: &ledger.Reclaim{
		Key: key, Epoch: epoch + 1, Owner: e.member.ID, OwnerAddress: e.settings.LinkAddress,
		Dispatch: o.ID, Target: targetOf(pass),
	}})
	if err != nil {
		e.gate.Done(pass, gate.ResultUnused, 0)
		return retry{}, err
	}
	return retry{pass: pass, order: o}, nil
}

// outlast asks again for a dispatch whose fate is unknown because the link was
// lost or time ran out, for as long as its agent lives and the request may run.
func (e *Entry) outlast(target ledger.Target, id ledger.DispatchID, reply dispatch.Reply) dispatch.Reply {
	ctx, cancel := context.WithTimeout(e.life, membership.Lifetime)
	defer cancel()
	for ctx.Err() == nil && e.directory.IsAlive(target.Agent) {
		got, err := e.revoke(ctx, target.Address, dispatch.Revocation{ID: id, Agent: target.Agent, Wait: timeLeft(ctx)})
		if err == nil {
			return got
		}
		sleep(ctx, settlePause)
	}
	return reply
}

// settleLater records the answer, however long the log is down. The caller need
// not wait for it: the agent keeps the answer as well.
func (e *Entry) settleLater(key ledger.ClaimKey, epoch platform.Epoch, answer ledger.Answer) {
	e.recordLater(ledger.Record{Settle: &ledger.Settle{Key: key, Epoch: epoch, Answer: answer}})
}

// unclaimLater gives the ID of a request back that did not run.
func (e *Entry) unclaimLater(key ledger.ClaimKey, epoch platform.Epoch) {
	e.recordLater(ledger.Record{Unclaim: &ledger.Unclaim{Key: key, Epoch: epoch}})
}

func (e *Entry) recordLater(r ledger.Record) {
	e.spawn(func() {
		for e.life.Err() == nil {
			err := e.proposeQuietly(e.life, r)
			var void *journal.VoidError
			if err == nil || errors.As(err, &void) || e.leaving.Load() {
				return
			}
			sleep(e.life, settlePause)
		}
	})
}

// attach waits for the answer of a request that is claimed already. If its owner
// died, the attached caller resolves the claim.
func (e *Entry) attach(ctx context.Context, c caller.Call, key ledger.ClaimKey) (ledger.Answer, error) {
	for {
		changed := e.ledger.Changed()
		claim := e.claimOf(key)
		switch {
		case claim == nil:
			return e.fly(ctx, c, key)
		case claim.BodyDigest != digestOf(c.Body) || claim.Service != c.Service:
			return ledger.Answer{}, refusal(client.CodeConflict, 0, "the request ID is taken by another service or body")
		case claim.Answer != nil:
			return *claim.Answer, e.judge(c, dispatch.Reply{Answer: *claim.Answer})
		case claim.Owner == e.member.ID || !e.directory.IsAlive(claim.Owner):
			answer, done, err := e.resolve(ctx, c, key, *claim)
			if done {
				return answer, err
			}
		}
		wait := time.NewTimer(recheckEvery)
		select {
		case <-changed:
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return ledger.Answer{}, &client.Error{Code: client.CodeDeadline, Fate: client.FateUnknown, Message: "the request is still under way; ask again with the same ID"}
		}
		wait.Stop()
	}
}

// resolve finds out what became of a claim whose owner is gone, and runs the
// request if its dispatch can no longer start. It returns done false if the
// claim changed meanwhile.
func (e *Entry) resolve(ctx context.Context, c caller.Call, key ledger.ClaimKey, claim ledger.ClaimState) (ledger.Answer, bool, error) {
	reply := e.inquire(ctx, claim)
	switch reply.Fate {
	case ledger.FateNotRun:
		pass, err := e.enter(ctx, c, nil)
		if err != nil {
			return ledger.Answer{}, true, err
		}
		o := e.order(ctx, c, pass, true)
		err = e.propose(ctx, ledger.Record{Reclaim: &ledger.Reclaim{
			Key: key, Epoch: claim.Epoch + 1, Owner: e.member.ID, OwnerAddress: e.settings.LinkAddress,
			Dispatch: o.ID, Target: targetOf(pass),
		}})
		if err != nil {
			e.gate.Done(pass, gate.ResultUnused, 0)
			return ledger.Answer{}, false, nil
		}
		answer, err := e.runClaimed(ctx, c, key, claim.Epoch+1, pass, o)
		return answer, true, err
	case ledger.FateRan:
		e.settleLater(key, claim.Epoch, reply.Answer)
		return reply.Answer, true, e.judge(c, reply)
	}
	if e.directory.IsAlive(claim.Target.Agent) {
		// It may still run there; ask again.
		return ledger.Answer{}, false, nil
	}
	e.settleLater(key, claim.Epoch, reply.Answer)
	return ledger.Answer{}, true, e.judge(c, reply)
}

// inquire asks the agent of a claim what became of it.
func (e *Entry) inquire(ctx context.Context, claim ledger.ClaimState) dispatch.Reply {
	reply, err := e.revoke(ctx, claim.Target.Address, dispatch.Revocation{
		ID: claim.Dispatch, Agent: claim.Target.Agent, Wait: recheckEvery,
	})
	if err != nil {
		return unknown("the agent that had the request does not answer: " + err.Error())
	}
	return reply
}

// sweepClaims resolves claims that nobody answers for: their owner died, or it
// never learned that its claim was recorded.
func (e *Entry) sweepClaims(ctx context.Context) {
	rank := membership.RankOf("sweep", e.directory.Entries(e.settings.Region), e.member.ID)
	if time.Since(e.began) < settleIn || !e.ledger.CaughtUp() || e.ledger.Down() {
		return
	}
	var keys []ledger.ClaimKey
	e.ledger.Look(func(at time.Time) { keys = e.state.OpenClaims(later(time.Now(), at), sweepAge) })
	for _, key := range keys {
		claim := e.claimOf(key)
		if claim == nil || claim.Answer != nil || e.inFlight(key) {
			continue
		}
		orphan := rank == 0 && !e.directory.IsAlive(claim.Owner)
		if claim.Owner == e.member.ID || orphan {
			e.sweepClaim(ctx, key, *claim)
		}
	}
}

func (e *Entry) sweepClaim(ctx context.Context, key ledger.ClaimKey, claim ledger.ClaimState) {
	reply := e.inquire(ctx, claim)
	switch {
	case reply.Fate == ledger.FateNotRun:
		_ = e.proposeQuietly(ctx, ledger.Record{Unclaim: &ledger.Unclaim{Key: key, Epoch: claim.Epoch}})
	case reply.Fate == ledger.FateRan || !e.directory.IsAlive(claim.Target.Agent):
		_ = e.proposeQuietly(ctx, ledger.Record{Settle: &ledger.Settle{Key: key, Epoch: claim.Epoch, Answer: reply.Answer}})
	}
}

// methodServe runs a call in its organisation's home region.
const methodServe link.Method = "Caller.Serve"

// forwardedCall is a call on its way to its home region.
type forwardedCall struct {
	Call   caller.Call
	Within time.Duration
}

// forwardedAnswer is what came of a forwarded call.
type forwardedAnswer struct {
	Answer ledger.Answer
	Error  *client.Error `json:",omitempty"`
}

// forwardCall lets an entry of the home region serve the call. As the call is
// claimed there by its ID, it is safe to ask a second entry.
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
		return ledger.Answer{}, &client.Error{Code: client.CodeUnknownFate, Fate: client.FateUnknown, Message: "no answer from the home region; ask again with the same ID", RetryAfter: readyRetryAfter}
	}
	return ledger.Answer{}, refusal(client.CodeNotReady, logRetryAfter, "no entry of the home region "+string(c.Organisation.HomeRegion)+" can be reached")
}

func (e *Entry) serveForwarded(ctx context.Context, q forwardedCall) (forwardedAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Within)
	defer cancel()
	answer, err := e.Serve(ctx, q.Call)
	if err != nil {
		return forwardedAnswer{Answer: answer, Error: explain(err)}, nil
	}
	return forwardedAnswer{Answer: answer}, nil
}
