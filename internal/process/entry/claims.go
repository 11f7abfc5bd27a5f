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
	// claimTries bounds the agents to which one claimed request is offered; each
	// further one costs an append.
	claimTries = 5
	// verdictGrace is how long after its time a claimed request is waited for, as
	// giving its ID back may still tell that it did not run.
	verdictGrace = time.Second
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
	late := time.NewTimer(timeLeft(ctx) + verdictGrace)
	defer late.Stop()
	select {
	case <-f.done:
		return f.answer, f.err
	case <-late.C:
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
			// Nothing was dispatched here. But if the claim is recorded after all, a
			// caller who attached to it elsewhere may run the request.
			return ledger.Answer{}, &client.Error{
				Code: client.CodeUnknownFate, Fate: client.FateUnknown, RetryAfter: logRetryAfter,
				Message: "the claim was not confirmed in time; ask again with the same ID",
			}
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
		o.Within = timeForAgent(ctx)
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
			return e.giveBack(ctx, c, key, epoch, reply)
		}
		pass, o = next.pass, next.order
		epoch++
	}
}

// giveBack frees the ID of a request that was refused everywhere. Only once that
// is recorded may it be called not run: another entry that took this one for
// dead may have the request by now.
func (e *Entry) giveBack(ctx context.Context, c caller.Call, key ledger.ClaimKey, epoch platform.Epoch, reply dispatch.Reply) (ledger.Answer, error) {
	// The caller's time may be over, but not that of the claim.
	err := e.proposeQuietly(e.life, ledger.Record{Unclaim: &ledger.Unclaim{Key: key, Epoch: epoch}})
	switch {
	case err == nil:
		return ledger.Answer{}, e.judge(c, reply)
	case isVoid(err):
		return e.attach(ctx, c, key)
	}
	return ledger.Answer{}, &client.Error{
		Code: client.CodeUnknownFate, Fate: client.FateUnknown, RetryAfter: logRetryAfter,
		Message: "refused, but the ID could not be given back; ask again with the same ID",
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
	if try >= claimTries || ctx.Err() != nil {
		return retry{}, errNoRetry
	}
	pass, err := e.enter(ctx, c, avoid)
	if err != nil {
		return retry{}, err
	}
	o := e.order(ctx, c, pass, true)
	if err := e.reclaim(ctx, key, epoch+1, pass, o); err != nil {
		return retry{}, err
	}
	return retry{pass: pass, order: o}, nil
}

// reclaim records a new owner or target for a claim. The pass is given back if
// that fails.
func (e *Entry) reclaim(ctx context.Context, key ledger.ClaimKey, epoch platform.Epoch, pass gate.Pass, o dispatch.Order) error {
	err := e.propose(ctx, ledger.Record{Reclaim: &ledger.Reclaim{
		Key: key, Epoch: epoch, Owner: e.member.ID, OwnerAddress: e.settings.LinkAddress,
		Dispatch: o.ID, Target: targetOf(pass),
	}})
	if err != nil {
		e.gate.Done(pass, gate.ResultUnused, 0)
	}
	return err
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
// not wait for it; until it is recorded other entries get it from this one.
func (e *Entry) settleLater(key ledger.ClaimKey, epoch platform.Epoch, answer ledger.Answer) {
	e.setUnsettled(key, &answer)
	e.spawn(func() {
		defer e.setUnsettled(key, nil)
		for e.life.Err() == nil {
			err := e.proposeQuietly(e.life, ledger.Record{Settle: &ledger.Settle{Key: key, Epoch: epoch, Answer: answer}})
			if err == nil || isVoid(err) || e.leaving.Load() {
				return
			}
			sleep(e.life, settlePause)
		}
	})
}

// setUnsettled notes an answer that is not recorded yet; nil forgets it.
func (e *Entry) setUnsettled(key ledger.ClaimKey, answer *ledger.Answer) {
	e.flightsMu.Lock()
	defer e.flightsMu.Unlock()
	if answer == nil {
		delete(e.unsettled, key)
		return
	}
	e.unsettled[key] = answer
}

// own returns the request's flight or unrecorded answer in this process.
func (e *Entry) own(key ledger.ClaimKey) (*flight, *ledger.Answer) {
	e.flightsMu.Lock()
	defer e.flightsMu.Unlock()
	return e.flights[key], e.unsettled[key]
}

// isVoid tells whether an error is a machine's judgement.
func isVoid(err error) bool {
	var void *journal.VoidError
	return errors.As(err, &void)
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
		}
		answer, done, err := e.attachOnce(ctx, c, key, *claim)
		if done {
			return answer, err
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

// attachOnce asks whoever must know the answer of an open claim: this process,
// the living owner, or the agent if the owner is gone.
func (e *Entry) attachOnce(ctx context.Context, c caller.Call, key ledger.ClaimKey, claim ledger.ClaimState) (ledger.Answer, bool, error) {
	if _, answer := e.own(key); answer != nil {
		return *answer, true, e.judge(c, dispatch.Reply{Answer: *answer})
	}
	if claim.Owner == e.member.ID || !e.directory.IsAlive(claim.Owner) {
		return e.resolve(ctx, c, key, claim)
	}
	ctx, cancel := context.WithTimeout(ctx, recheckEvery+revokeTimeout)
	defer cancel()
	got, err := link.Call[awaitAnswer](ctx, e.pool, claim.OwnerAddress, methodAwait, awaitQuery{Key: key, Owner: claim.Owner, Wait: recheckEvery})
	if err != nil || got.Answer == nil {
		return ledger.Answer{}, false, nil
	}
	return *got.Answer, true, e.judge(c, dispatch.Reply{Answer: *got.Answer})
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

// giveAnswer answers another entry's callers of a request that runs here.
func (e *Entry) giveAnswer(ctx context.Context, q awaitQuery) (awaitAnswer, error) {
	if q.Owner != e.member.ID {
		return awaitAnswer{}, errors.New("entry: the owner was replaced")
	}
	if f, _ := e.own(q.Key); f != nil {
		wait := time.NewTimer(q.Wait)
		defer wait.Stop()
		select {
		case <-f.done:
		case <-wait.C:
		case <-ctx.Done():
		}
	}
	_, answer := e.own(q.Key)
	return awaitAnswer{Answer: answer}, nil
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
		if err := e.reclaim(ctx, key, claim.Epoch+1, pass, o); err != nil {
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
		if claim == nil || claim.Answer != nil {
			continue
		}
		if f, answer := e.own(key); f != nil || answer != nil {
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
