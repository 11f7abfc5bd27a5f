package agent

import (
	"sync"
	"time"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/membership"
)

const (
	// avoidTime is how long an entry that did not answer a heartbeat is avoided: it is
	// chosen only if too few others are known.
	avoidTime = 5 * time.Second
	// contactLifetime is how long an entry stays known after a reply last listed it. It
	// is long, so that an agent that was cut off from all entries still has some to try.
	contactLifetime = time.Hour
)

// contacts has the entries to which an agent can send heartbeats. It is safe for
// concurrent use.
type contacts struct {
	self incarnation.ID
	// configured are the addresses in the settings.
	configured []link.Address

	mu    sync.Mutex
	known map[link.Address]contact
	// replies has the last reply of each entry. An entry omits the list of entries from
	// a reply if it is the same as in the reply before.
	replies map[link.Address]membership.HeartbeatReply
}

// contact is a known entry.
type contact struct {
	heartbeat membership.Heartbeat
	// listedAt is when a reply last listed the entry. For an entry known only from the
	// settings it is when a heartbeat to it first failed.
	listedAt time.Time
	// avoidUntil is avoidTime after the last heartbeat to the entry that failed; zero if
	// none did.
	avoidUntil time.Time
}

func newContacts(self incarnation.ID, configured []string) *contacts {
	c := &contacts{self: self, known: map[link.Address]contact{}, replies: map[link.Address]membership.HeartbeatReply{}}
	for _, address := range configured {
		c.configured = append(c.configured, link.Address(address))
	}
	return c
}

// lastFingerprint returns the fingerprint of the list of entries in the last reply from
// the address, which the next heartbeat to it reports.
func (c *contacts) lastFingerprint(address link.Address) membership.Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replies[address].Mark
}

// update stores a reply and the entries that it lists. A reply without entries that has
// the Mark of the last reply means that the list has not changed.
func (c *contacts) update(now time.Time, from link.Address, reply membership.HeartbeatReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if previous := c.replies[from]; len(reply.Entries) == 0 && reply.Mark == previous.Mark {
		reply.Entries = previous.Entries
	}
	c.replies[from] = reply
	for _, b := range reply.Entries {
		previous := c.known[b.Address]
		c.known[b.Address] = contact{heartbeat: b, listedAt: now, avoidUntil: previous.avoidUntil}
	}
	for address, entry := range c.known {
		if now.Sub(entry.listedAt) > contactLifetime {
			delete(c.known, address)
			delete(c.replies, address)
		}
	}
}

// recordFailure records that an entry did not answer a heartbeat.
func (c *contacts) recordFailure(now time.Time, address link.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.known[address]
	if entry.heartbeat.ID == "" {
		// The entry is known only from the settings.
		entry.heartbeat.ID = incarnation.ID(address)
		entry.heartbeat.Address = address
		entry.listedAt = now
	}
	entry.avoidUntil = now.Add(avoidTime)
	c.known[address] = entry
}

// choose returns the addresses of at most count entries, each group by its rank for this
// agent: first those listed within membership.DefaultTimeout, then the other known or
// configured ones, then those to which a heartbeat failed less than avoidTime ago.
func (c *contacts) choose(now time.Time, count int) []link.Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	var fresh, stale, avoided []membership.Heartbeat
	considered := map[link.Address]bool{}
	for address, entry := range c.known {
		considered[address] = true
		switch {
		case now.Before(entry.avoidUntil):
			avoided = append(avoided, entry.heartbeat)
		case now.Sub(entry.listedAt) < membership.DefaultTimeout && !entry.heartbeat.Leaving:
			fresh = append(fresh, entry.heartbeat)
		default:
			stale = append(stale, entry.heartbeat)
		}
	}
	for _, address := range c.configured {
		if !considered[address] {
			stale = append(stale, membership.Heartbeat{Member: membership.Member{ID: incarnation.ID(address), Address: address}})
		}
	}
	var chosen []link.Address
	for _, group := range [][]membership.Heartbeat{fresh, stale, avoided} {
		for _, b := range membership.Rank(string(c.self), group) {
			if len(chosen) < count {
				chosen = append(chosen, b.Address)
			}
		}
	}
	return chosen
}
