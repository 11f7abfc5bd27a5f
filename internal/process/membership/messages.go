package membership

import (
	"fmt"
	"hash/fnv"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/version/bundle"
)

// The membership methods that an entry serves.
const (
	// MethodHeartbeat takes the Report of an agent and returns a HeartbeatReply.
	MethodHeartbeat link.Method = "Member.Heartbeat"
	// MethodExchange takes the Digest of the calling entry and returns the one of the
	// called entry.
	MethodExchange link.Method = "Member.Exchange"
)

// Report is the heartbeat that an agent sends to an entry.
type Report struct {
	Beat Heartbeat
	// Knows is the Mark of the last HeartbeatReply from this entry; 0 before the first.
	Knows Fingerprint `json:",omitempty"`
}

// Fingerprint identifies the contents of a list of entries, so that an unchanged list need
// not be sent again.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a list of entries. It depends on the ID, the
// address and Leaving of each entry, not on their order.
func FingerprintOf(entries []Heartbeat) Fingerprint {
	var sum Fingerprint
	for _, entry := range entries {
		hash := fnv.New64a()
		_, _ = fmt.Fprintf(hash, "%s %s %t", entry.ID, entry.Address, entry.Leaving)
		sum += Fingerprint(hash.Sum64())
	}
	return sum
}

// HeartbeatReply is an entry's reply to a Report.
type HeartbeatReply struct {
	// Version is the bundle in force at the entry.
	Version bundle.Version
	// Mark is the fingerprint of the live entries of the agent's region. Entries contains
	// their heartbeats, but is empty if Report.Knows is already that fingerprint.
	Mark    Fingerprint
	Entries []Heartbeat `json:",omitempty"`
}
