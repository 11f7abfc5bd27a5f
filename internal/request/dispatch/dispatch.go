// Package dispatch defines the calls with which an entry has an agent run a
// request on its minion (Order, Revocation and Reply), and the Table with which
// the agent decides what to run. Each order has an ID and runs at most once: the
// agent answers a repeated one with the reply of the first, and never starts an
// order that was revoked, however late it arrives. The package sends nothing
// itself; package link carries the calls.
package dispatch

import (
	"time"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/version/bundle"
)

// The methods that an agent serves. MethodRun takes an Order, MethodRevoke a
// Revocation; both answer with a Reply.
const (
	MethodRun    link.Method = "Dispatch.Run"
	MethodRevoke link.Method = "Dispatch.Revoke"
)

// Order asks an agent to run a request. Each attempt has its own order.
type Order struct {
	ID ledger.DispatchID
	// Agent is the incarnation that the order is addressed to; other incarnations
	// refuse the order.
	Agent        incarnation.ID
	Organisation bundle.OrganisationName
	Service      bundle.ServiceName
	// RequestID is the ID that the caller gave, if any; the minion receives it.
	RequestID string `json:",omitempty"`
	Body      []byte
	// Within is the time from the sending of the order to the caller's deadline.
	// The agent counts it from the arrival of the order.
	Within time.Duration
	// Whole is the timeout of the request, from its arrival at the entry to the
	// caller's deadline.
	Whole time.Duration
	// AnswerLimit is the maximum size of the answer in bytes.
	AnswerLimit int
	// Keep is set if a claim refers to the order. The agent then keeps the reply for
	// longRetention instead of shortRetention.
	Keep bool `json:",omitempty"`
}

// Revocation asks an agent not to start an order any more, and for the reply of
// one that has started.
type Revocation struct {
	ID    ledger.DispatchID
	Agent incarnation.ID
	// Wait is how long the agent waits for the reply of an order that has started.
	Wait time.Duration
}

// Refusal is the reason why an agent did not run an order.
type Refusal string

// The refusals.
const (
	// RefusedFull means that no slot was free and the agent's queue was full, or that no
	// slot became free before the deadline.
	RefusedFull Refusal = "Full"
	// RefusedLate means that when a slot became free, the answer would probably have
	// come after the deadline.
	RefusedLate Refusal = "Late"
	// RefusedLeaving means that the agent or its minion is draining.
	RefusedLeaving Refusal = "Leaving"
	// RefusedIncarnation means that the order was addressed to another incarnation.
	RefusedIncarnation Refusal = "Stranger"
	// RefusedRevoked means that the order was revoked before it started.
	RefusedRevoked Refusal = "Revoked"
	// RefusedUnreachable means that no connection to the minion could be opened, or
	// that there is no minion.
	RefusedUnreachable Refusal = "Unreachable"
	// RefusedService means that the minion serves another service.
	RefusedService Refusal = "Service"
)

// Reply is an agent's answer to an Order or a Revocation.
type Reply struct {
	ledger.Answer
	// Refusal is empty unless the fate is NotRun.
	Refusal Refusal `json:",omitempty"`
	// Slots is the number of the agent's slots, Busy the number in use after the order.
	Slots, Busy int
	// Version is the version of the bundle in force at the agent.
	Version bundle.Version
}
