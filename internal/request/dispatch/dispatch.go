// Package dispatch carries one try of a request to the agent of a minion, and
// judges there whether it started. The agent's Table is the only judge: a
// dispatch that it revoked never starts, however late it arrives.
package dispatch

import (
	"time"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/version/bundle"
)

// The methods of an agent.
const (
	MethodRun    link.Method = "Dispatch.Run"
	MethodRevoke link.Method = "Dispatch.Revoke"
)

// Order asks an agent to run a request.
type Order struct {
	ID ledger.DispatchID
	// Agent is the incarnation that the order is meant for; others refuse it.
	Agent        incarnation.ID
	Organisation bundle.OrganisationName
	Service      bundle.ServiceName
	// RequestID is the caller's own, if any; the minion sees it.
	RequestID string `json:",omitempty"`
	Body      []byte
	// Within is the time left to the caller when the order was sent.
	Within time.Duration
	// Whole is the time that the request had in all.
	Whole time.Duration
	// AnswerLimit is the longest answer in bytes that the bundle allows.
	AnswerLimit int
	// Keep asks the agent to keep the answer for later askers.
	Keep bool `json:",omitempty"`
}

// Revocation asks an agent not to start an order any more. If it has started,
// the answer is awaited.
type Revocation struct {
	ID    ledger.DispatchID
	Agent incarnation.ID
	// Wait is how long to wait for an order that has started.
	Wait time.Duration
}

// Refusal says why an agent did not run an order.
type Refusal string

// The refusals.
const (
	// RefusedFull agents have no free slot.
	RefusedFull Refusal = "Full"
	// RefusedLate orders waited until their answer would have come too late.
	RefusedLate Refusal = "Late"
	// RefusedLeaving agents or minions take nothing new.
	RefusedLeaving Refusal = "Leaving"
	// RefusedIncarnation agents are another incarnation than was meant.
	RefusedIncarnation Refusal = "Stranger"
	// RefusedRevoked orders were revoked before they arrived.
	RefusedRevoked Refusal = "Revoked"
	// RefusedUnreachable minions could not be connected to.
	RefusedUnreachable Refusal = "Unreachable"
	// RefusedService agents serve another service.
	RefusedService Refusal = "Service"
)

// Reply is an agent's word on an order.
type Reply struct {
	ledger.Answer
	// Refusal is set if the fate is NotRun.
	Refusal Refusal `json:",omitempty"`
	// Slots and Busy tell the agent's load after the order.
	Slots, Busy int
	// Version is the bundle in force at the agent.
	Version bundle.Version
}
