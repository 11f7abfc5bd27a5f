package membership

import (
	"fmt"
	"hash/fnv"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/version/bundle"
)

// The methods of an entry for membership.
const (
	// MethodHeartbeat takes an agent's Report and returns a HeartbeatReply.
	MethodHeartbeat link.Method = "Member.Heartbeat"
	// MethodExchange takes an entry's Digest and returns the other's.
	MethodExchange link.Method = "Member.Exchange"
)

// Report is what an agent tells an entry.
type Report struct {
	Beat Heartbeat
	// Knows is the Mark of the entries that this entry told last.
	Knows Fingerprint `json:",omitempty"`
}

// Fingerprint stands for a list of entries.
type Fingerprint uint64

// FingerprintOf returns the mark of a list in any order: equal for the same entries in
// the same state.
func FingerprintOf(entries []Heartbeat) Fingerprint {
	var sum Fingerprint
	for _, b := range entries {
		h := fnv.New64a()
		_, _ = fmt.Fprintf(h, "%s %s %t", b.ID, b.Address, b.Leaving)
		sum += Fingerprint(h.Sum64())
	}
	return sum
}

// HeartbeatReply tells an agent what it must know.
type HeartbeatReply struct {
	// Version is the bundle in force at the entry.
	Version bundle.Version
	// Mark stands for the living entries of the agent's region, which are left out
	// if the agent knows them.
	Mark    Fingerprint
	Entries []Heartbeat `json:",omitempty"`
}
