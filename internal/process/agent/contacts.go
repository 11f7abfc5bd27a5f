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
}

// contact is an entry that was told of.
type contact struct {
	beat membership.Heartbeat
	told time.Time
	// shunned is until when it is passed over.
	shunned time.Time
}

func newContacts(self incarnation.ID, set []string) *contacts {
	c := &contacts{self: self, known: map[link.Address]contact{}}
	for _, address := range set {
		c.set = append(c.set, link.Address(address))
	}
	return c
}

// hear takes in which entries are alive.
func (c *contacts) hear(now time.Time, beats []membership.Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range beats {
		before := c.known[b.Address]
		c.known[b.Address] = contact{beat: b, told: now, shunned: before.shunned}
	}
	for address, k := range c.known {
		if now.Sub(k.told) > contactMemory {
			delete(c.known, address)
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
		case now.Sub(k.told) < membership.Lifetime && !k.beat.Leaving:
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
