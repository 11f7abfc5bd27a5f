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
	// claimTries bounds the agents to which one claimed request is offered; each
	// further one costs an append.
	claimTries = 5
	// verdictGrace is how long after its time a claimed request is waited for, as
	// giving its ID back may still tell that it did not run.
	verdictGrace = time.Second
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
	e.ledger.View(func(time.Time) {
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

func targetOf(pass gate.Admission) ledger.Target {
	return ledger.Target{Agent: pass.Agent.ID, Address: pass.Agent.Address}
}

// runClaimed dispatches a request that this process owns under the epoch. A
// refused dispatch goes to another agent, each time under a new epoch.
func (e *Entry) runClaimed(ctx context.Context, c caller.Call, key ledger.ClaimKey, epoch platform.Epoch, pass gate.Admission, o dispatch.Order) (ledger.Answer, error) {
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
		if reply.Refusal == dispatch.RefusedRevoked {
			// Another entry took this one for dead and has a caller for the request.
			return e.attach(ctx, c, key)
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
	pass  gate.Admission
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
func (e *Entry) reclaim(ctx context.Context, key ledger.ClaimKey, epoch platform.Epoch, pass gate.Admission, o dispatch.Order) error {
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
	ctx, cancel := context.WithTimeout(e.life, membership.HomeEntryTimeout)
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
