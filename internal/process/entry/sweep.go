package entry

import (
	"context"
	"time"

	"corianderpass/internal/process/ledger"
	"corianderpass/internal/process/membership"
)

const (
	// sweepInterval is the time between two calls of sweepClaims.
	sweepInterval = time.Second
	// minSweepAge is the least age of the unsettled claims that sweepClaims resolves.
	minSweepAge = 2 * time.Second
)

// sweepClaims resolves unsettled claims whose request is not being served: the owner is dead,
// or it got no confirmation that its claim was recorded. Each entry resolves its own claims;
// the entry that ranks first also resolves those of dead owners.
func (e *Entry) sweepClaims(ctx context.Context) {
	rank := membership.RankOf("sweep", e.directory.Entries(e.settings.Region), e.member.ID)
	if time.Since(e.startedAt) < startupGrace || !e.ledger.CaughtUp() || e.ledger.Down() {
		return
	}
	var keys []ledger.ClaimKey
	e.ledger.View(func(at time.Time) { keys = e.state.UnsettledClaims(latest(time.Now(), at), minSweepAge) })
	for _, key := range keys {
		claim := e.lookupClaim(key)
		if claim == nil || claim.Answer != nil {
			continue
		}
		if request, answer := e.findPending(key); request != nil || answer != nil {
			continue
		}
		orphan := rank == 0 && !e.directory.IsAlive(claim.Owner)
		if claim.Owner == e.member.ID || orphan {
			e.sweepClaim(ctx, key, *claim)
		}
	}
}

// sweepClaim revokes the claim's dispatch, then removes the claim if the request did not
// run, or settles it if the request ran or its agent is dead.
func (e *Entry) sweepClaim(ctx context.Context, key ledger.ClaimKey, claim ledger.ClaimState) {
	reply := e.revokeDispatch(ctx, claim)
	switch {
	case reply.Fate == ledger.FateNotRun:
		_ = e.proposeAndLog(ctx, ledger.Record{Unclaim: &ledger.Unclaim{Key: key, Epoch: claim.Epoch}})
	case reply.Fate == ledger.FateRan || !e.directory.IsAlive(claim.Target.Agent):
		_ = e.proposeAndLog(ctx, ledger.Record{Settle: &ledger.Settle{Key: key, Epoch: claim.Epoch, Answer: reply.Answer}})
	}
}
