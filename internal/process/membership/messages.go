package membership

import (
	"corianderpass/internal/connection/link"
	"corianderpass/internal/version/bundle"
)

// The methods of an entry for membership.
const (
	// MethodHeartbeat takes an agent's Heartbeat and returns a HeartbeatReply.
	MethodHeartbeat link.Method = "Member.Heartbeat"
	// MethodExchange takes an entry's Digest and returns the other's.
	MethodExchange link.Method = "Member.Exchange"
)

// HeartbeatReply tells an agent what it must know.
type HeartbeatReply struct {
	// Version is the bundle in force at the entry.
	Version bundle.Version
	// Entries are the living entries of the agent's region.
	Entries []Heartbeat
}
