// Package membership tracks which entries and agents are alive. Agents send
// heartbeats to a few entries of their region, and entries forward the heartbeats that
// they received to other entries in digests. A process counts as dead if its last
// heartbeat is older than its timeout. All state is in memory. The package defines the
// messages and applies them to a Directory; packages entry and agent send them.
package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// Role is the kind of a process.
type Role string

// The roles.
const (
	RoleEntry Role = "Entry"
	RoleAgent Role = "Agent"
)

// Member describes what does not change about one process: its identity and where to reach
// it.
type Member struct {
	ID            incarnation.ID
	Role          Role
	Address       link.Address
	Region        platform.Region
	FailureDomain platform.FailureDomain
	// Service is the service that an agent's minion serves; empty for entries.
	Service bundle.ServiceName `json:",omitempty"`
}

// Health is the part of a heartbeat that describes the current condition of a process.
type Health struct {
	// Sequence increases with every heartbeat of an incarnation.
	Sequence uint64
	// Version is the bundle in force at the process.
	Version bundle.Version
	// Leaving is true for a process that is shutting down and takes no new work.
	Leaving bool `json:",omitempty"`
	// Slots is the number of slots of an agent's minion, 0 without a minion. Busy is the
	// number of these slots that are in use.
	Slots int `json:",omitempty"`
	Busy  int `json:",omitempty"`
	// Shortfall is the number of guaranteed slots without a place in the state of the entry
	// (ledger.State.Shortfall); 0 for agents.
	Shortfall int `json:",omitempty"`
}

// Heartbeat is what a process reports about itself.
type Heartbeat struct {
	Member
	Health
	// Age is how long ago the process sent the heartbeat; 0 unless it was forwarded.
	Age time.Duration `json:",omitempty"`
}

const (
	// HomeEntryTimeout is how long after its last heartbeat an entry of the directory's
	// region counts as alive. It is short because other entries take over the gangs
	// and claims of a dead entry.
	HomeEntryTimeout = 3 * time.Second
	// DefaultTimeout is how long after its last heartbeat any other process counts as
	// alive: an agent or an entry of another region. Heartbeats of these processes arrive
	// less often, and a call to a dead one fails, so that the caller notices its death before
	// the timeout.
	DefaultTimeout = 12 * time.Second
)

// deadRetention is how long after its last heartbeat a process stays in the Directory, so
// that an older heartbeat that arrives late does not make the process count as alive again.
const deadRetention = time.Minute

// memberState is the last heartbeat of a process that Update recorded, with the bundle and
// the time of a later one that Touch recorded.
type memberState struct {
	Heartbeat
	// sentAt is when the process sent its last heartbeat, which Update or Touch recorded, on
	// the clock of the Directory's process: the time of arrival less the heartbeat's age.
	sentAt time.Time
	// deadAt is when MarkDead was last called for the process; zero if never. Heartbeats that
	// were sent by then do not make the process count as alive.
	deadAt time.Time
}

// Directory holds the processes from which heartbeats have arrived. The zero value is
// empty and ready to use; it is safe for concurrent use. Alive, Entries, Find, IsAlive
// and Generation take no lock, since they are called while a request is handled.
type Directory struct {
	// HomeRegion is the region to whose entries HomeEntryTimeout applies. Set it before use.
	HomeRegion platform.Region

	mu      sync.Mutex
	members map[incarnation.ID]memberState
	// alive has the processes that were alive at the last publish, sorted by ID.
	alive atomic.Pointer[[]Heartbeat]
}

// Update records heartbeats, whether received directly or forwarded. It ignores a heartbeat
// if its sequence is not above the recorded one of its process, or if its age is
// deadRetention or more.
func (d *Directory) Update(now time.Time, heartbeats ...Heartbeat) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.members == nil {
		d.members = map[incarnation.ID]memberState{}
	}
	changed := false
	for _, h := range heartbeats {
		previous, found := d.members[h.ID]
		if found && previous.Sequence >= h.Sequence || h.Age >= deadRetention {
			continue
		}
		current := memberState{Heartbeat: h, sentAt: now.Add(-h.Age), deadAt: previous.deadAt}
		if found && !previous.isOutdatedBy(current.sentAt) {
			current.sentAt = previous.sentAt
		}
		d.members[h.ID] = current
		changed = changed || !found || !d.isAlive(previous, now) || !previous.sameDescription(h) || previous.Version != h.Version
	}
	if changed {
		d.publish(now)
	}
}

// isOutdatedBy reports whether a heartbeat that was sent at the time is newer than what is
// recorded, MarkDead included.
func (m memberState) isOutdatedBy(sentAt time.Time) bool {
	return sentAt.After(m.sentAt) && sentAt.After(m.deadAt)
}

// Touch records a heartbeat that was sent the given age ago and contains only the bundle in
// force at its process; the other recorded fields stay as they are. It reports whether the
// process is in the directory, and changes nothing if it is not.
func (d *Directory) Touch(now time.Time, id incarnation.ID, age time.Duration, v bundle.Version) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, found := d.members[id]
	if !found {
		return false
	}
	sentAt := now.Add(-age)
	if !m.isOutdatedBy(sentAt) {
		return true
	}
	changed := !d.isAlive(m, now) || v > m.Version
	m.sentAt = sentAt
	m.Version = max(m.Version, v)
	d.members[id] = m
	if changed {
		d.publish(now)
	}
	return true
}

// isAlive reports whether a process counts as alive at the time.
func (d *Directory) isAlive(m memberState, now time.Time) bool {
	timeout := DefaultTimeout
	if m.Role == RoleEntry && m.Region == d.HomeRegion {
		timeout = HomeEntryTimeout
	}
	return now.Sub(m.sentAt) < timeout
}

// MarkDead makes a process that has ended count as dead immediately, until a heartbeat arrives
// that it sent after now.
func (d *Directory) MarkDead(now time.Time, id incarnation.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m, found := d.members[id]; found {
		m.sentAt, m.deadAt = now.Add(-DefaultTimeout), now
		d.members[id] = m
	}
	d.publish(now)
}

// Sweep removes processes from the result of Alive once their timeout has passed, and from
// the directory once deadRetention has passed. It must be called several times in each
// HomeEntryTimeout.
func (d *Directory) Sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	aliveCount := 0
	for id, m := range d.members {
		if d.isAlive(m, now) {
			aliveCount++
		}
		if now.Sub(m.sentAt) >= deadRetention {
			delete(d.members, id)
		}
	}
	if list := d.alive.Load(); list == nil || len(*list) != aliveCount {
		d.publish(now)
	}
}

// Generation returns a comparable value. As long as it stays equal, Alive returns the same
// result.
func (d *Directory) Generation() any { return d.alive.Load() }

// publish replaces the result of Alive by the processes that are alive now. The lock must be
// held.
func (d *Directory) publish(now time.Time) {
	list := make([]Heartbeat, 0, len(d.members))
	for _, m := range d.members {
		if d.isAlive(m, now) {
			list = append(list, m.Heartbeat)
		}
	}
	slices.SortFunc(list, func(a, b Heartbeat) int { return cmp.Compare(a.ID, b.ID) })
	d.alive.Store(&list)
}

// Alive returns the live processes, sorted by ID. The slice must not be changed.
func (d *Directory) Alive() []Heartbeat {
	list := d.alive.Load()
	if list == nil {
		return nil
	}
	return *list
}

// AliveWithAge returns the live processes for which include is true, with Age set so
// that they can be forwarded.
func (d *Directory) AliveWithAge(now time.Time, include func(Heartbeat) bool) []Heartbeat {
	d.mu.Lock()
	defer d.mu.Unlock()
	var heartbeats []Heartbeat
	for _, m := range d.members {
		if !d.isAlive(m, now) || !include(m.Heartbeat) {
			continue
		}
		h := m.Heartbeat
		h.Age = now.Sub(m.sentAt)
		heartbeats = append(heartbeats, h)
	}
	return heartbeats
}

// Entries returns the live entries of a region that are not leaving, sorted by ID.
func (d *Directory) Entries(region platform.Region) []Heartbeat {
	var entries []Heartbeat
	for _, h := range d.Alive() {
		if h.Role == RoleEntry && h.Region == region && !h.Leaving {
			entries = append(entries, h)
		}
	}
	return entries
}

// IsAlive reports whether the process is live.
func (d *Directory) IsAlive(id incarnation.ID) bool {
	_, alive := d.Find(id)
	return alive
}

// Find returns the heartbeat of a process if it is live.
func (d *Directory) Find(id incarnation.ID) (Heartbeat, bool) {
	list := d.Alive()
	i, found := slices.BinarySearchFunc(list, id, func(h Heartbeat, id incarnation.ID) int { return cmp.Compare(h.ID, id) })
	if !found {
		return Heartbeat{}, false
	}
	return list[i], true
}

// Rank orders members for a key by rendezvous hashing. Every process computes the same
// order from the same members, and adding or removing a member does not change the
// order of the other members.
func Rank(key string, members []Heartbeat) []Heartbeat {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Heartbeat) int {
		return cmp.Or(cmp.Compare(score(key, b.ID), score(key, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// RankOf returns the index of a member in Rank for the key, or the number of members if
// it is not among them.
func RankOf(key string, members []Heartbeat, id incarnation.ID) int {
	ownScore := score(key, id)
	rank := 0
	found := false
	for _, m := range members {
		s := score(key, m.ID)
		found = found || m.ID == id
		if s > ownScore || s == ownScore && m.ID < id {
			rank++
		}
	}
	if !found {
		return len(members)
	}
	return rank
}

// score returns the rendezvous hash of a key and a member; the highest one ranks first.
func score(key string, id incarnation.ID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(id))
	// The last bytes of the input hardly change the high bits of an FNV hash, so the bits
	// are mixed.
	x := hash.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
