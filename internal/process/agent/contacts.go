package agent

import (
	"sync"
	"time"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/membership"
)

const (
	// shunTime is how long an entry that did not answer is passed over.
	shunTime = 5 * time.Second
	// contactMemory is how long an entry is remembered that no entry tells of any
	// more: an agent that is cut off needs somebody to turn to.
	contactMemory = time.Hour
)

// contacts are the entries that an agent can turn to. It is safe for concurrent use.
type contacts struct {
	self incarnation.ID
	// set are the addresses of the settings.
	set []link.Address

	mu    sync.Mutex
	known map[link.Address]contact
	// replies are the last lists that entries told, which they need not repeat.
	replies map[link.Address]membership.HeartbeatReply
}

// contact is an entry that was told of.
type contact struct {
	beat membership.Heartbeat
	told time.Time
	// shunned is until when it is passed over.
	shunned time.Time
}

func newContacts(self incarnation.ID, set []string) *contacts {
	c := &contacts{self: self, known: map[link.Address]contact{}, replies: map[link.Address]membership.HeartbeatReply{}}
	for _, address := range set {
		c.set = append(c.set, link.Address(address))
	}
	return c
}

// mark returns the mark of the entries that the address told last.
func (c *contacts) mark(address link.Address) membership.Mark {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replies[address].Mark
}

// hear takes in which entries are alive. An entry that repeats its list leaves it out.
func (c *contacts) hear(now time.Time, from link.Address, reply membership.HeartbeatReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if before := c.replies[from]; len(reply.Entries) == 0 && reply.Mark == before.Mark {
		reply.Entries = before.Entries
	}
	c.replies[from] = reply
	for _, b := range reply.Entries {
		before := c.known[b.Address]
		c.known[b.Address] = contact{beat: b, told: now, shunned: before.shunned}
	}
	for address, k := range c.known {
		if now.Sub(k.told) > contactMemory {
			delete(c.known, address)
			delete(c.replies, address)
		}
	}
}

// failed notes that an entry did not answer.
func (c *contacts) failed(now time.Time, address link.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.known[address]
	if k.beat.ID == "" {
		// Only the settings name it.
		k.beat.ID = incarnation.ID(address)
		k.beat.Address = address
		k.told = now
	}
	k.shunned = now.Add(shunTime)
	c.known[address] = k
}

// choose returns at most count entries, by rank for this agent: those told of
// lately, then any that was ever known. Entries that did not answer come last.
func (c *contacts) choose(now time.Time, count int) []link.Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	var fresh, stale, shunned []membership.Heartbeat
	seen := map[link.Address]bool{}
	for address, k := range c.known {
		seen[address] = true
		switch {
		case now.Before(k.shunned):
			shunned = append(shunned, k.beat)
		case now.Sub(k.told) < membership.FarLifetime && !k.beat.Leaving:
			fresh = append(fresh, k.beat)
		default:
			stale = append(stale, k.beat)
		}
	}
	for _, address := range c.set {
		if !seen[address] {
			stale = append(stale, membership.Heartbeat{Member: membership.Member{ID: incarnation.ID(address), Address: address}})
		}
	}
	var chosen []link.Address
	for _, group := range [][]membership.Heartbeat{fresh, stale, shunned} {
		for _, b := range membership.Rank(string(c.self), group) {
			if len(chosen) < count {
				chosen = append(chosen, b.Address)
			}
		}
	}
	return chosen
}
