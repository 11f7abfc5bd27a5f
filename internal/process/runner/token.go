package runner

import (
	"time"

	"corianderpass/internal/process/workload"
)

const (
	// tokensPerAgent is the number of tokens reserved for each agent process: its base
	// token and one for each call of fence.
	tokensPerAgent = 1 << 20
	// tokenRenewalInterval is the minimum time between two attempts to choose another base token.
	tokenRenewalInterval = time.Second
)

// token returns the current token.
func (r *Runner) token() Token { return r.baseToken + r.generation }

// fence advances the token. Once the minion has received the new token it refuses all orders
// that were sent with an earlier one.
func (r *Runner) fence() { r.generation++ }

// availableBase returns the base token of an agent that has read the stream as far as this one. It exceeds all
// tokens of earlier agents that have a record in the stream: each chose its base before that record, which this one
// has read. An agent without any has the same base if nothing was recorded since.
func (r *Runner) availableBase() Token { return Token(r.journal.Offset()+1) * tokensPerAgent }

// handleFenced handles the refusal of an order because of its token. If the token is the current one, the minion has
// received a higher token from an earlier agent with the same base, and refuses all orders of this one until it
// has another base. Other orders were overtaken by newer ones.
func (r *Runner) handleFenced(refused Token) {
	if refused != r.token() || r.tokensPending || r.tokensRenewedAt > 0 && r.clock()-r.tokensRenewedAt < tokenRenewalInterval {
		return
	}
	r.tokensRenewedAt = r.clock()
	if r.useAvailableBase(nil) {
		return
	}
	r.tokensPending = true
	r.propose(workload.Record{ReserveTokens: &workload.ReserveTokens{Agent: r.self}}, func(err error) {
		r.tokensPending = false
		r.useAvailableBase(err)
	})
}

// useAvailableBase begins to use the base token that is available now. It reports false if that is the current one. err is
// the result of the reservation; nil if there was none.
func (r *Runner) useAvailableBase(err error) bool {
	former, base := r.token(), r.availableBase()
	renewed := base > r.baseToken
	if renewed {
		r.baseToken, r.generation = base, 0
	}
	r.logger.Warn("minion has received a higher token", "refused", former, "token", r.token(), "renewed", renewed, "error", err)
	return renewed
}
