// Package membership knows which processes of the scheduler are alive. Agents
// send heartbeats to a few entries of their region, and entries pass on what
// they heard. Nothing is kept: a process that is not heard of is dead.
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

// Role is what a process does.
type Role string

// The roles.
const (
	RoleEntry Role = "Entry"
	RoleAgent Role = "Agent"
)

// Member describes one process.
type Member struct {
	ID            incarnation.ID
	Role          Role
	Address       link.Address
	Region        platform.Region
	FailureDomain platform.FailureDomain
	// Service is what an agent's minion serves.
	Service bundle.ServiceName `json:",omitempty"`
}

// Health is what changes about a process.
type Health struct {
	// Sequence rises with every heartbeat of an incarnation.
	Sequence uint64
	// Version is the bundle in force at the process.
	Version bundle.Version
	// Leaving processes take no new work.
	Leaving bool `json:",omitempty"`
	// Slots and Busy count an agent's minion's slots; no slots without a minion.
	Slots int `json:",omitempty"`
	Busy  int `json:",omitempty"`
	// Shortfall is the number of guaranteed slots without a place, from entries.
	Shortfall int `json:",omitempty"`
}

// Heartbeat is a process's word on itself.
type Heartbeat struct {
	Member
	Health
	// Age is how long ago the heartbeat left its process, as far as passed on.
	Age time.Duration `json:",omitempty"`
}

const (
	// HomeEntryTimeout is how long an entry of the own region is taken to be alive after
	// its last heartbeat: its gangs and claims wait for others to take them over.
	HomeEntryTimeout = 3 * time.Second
	// DefaultTimeout is the same for agents and for other regions, which are heard of
	// more rarely. Whoever calls a dead one of those notices by itself.
	DefaultTimeout = 12 * time.Second
)

// memory is how long a dead process is remembered, so that old news does not
// bring it back.
const memory = time.Minute

// known is a process with the moment of its last heartbeat.
type known struct {
	Heartbeat
	sent time.Time
}

// Directory holds the processes that were heard of. The zero value is empty and
// ready to use; it is safe for concurrent use. Readers on a request's path take
// no lock.
type Directory struct {
	// HomeRegion is the region whose entries are dead after HomeEntryTimeout. Set it before use.
	HomeRegion platform.Region

	mu      sync.Mutex
	members map[incarnation.ID]known
	// alive is the sorted list as of the last change or sweep.
	alive atomic.Pointer[[]Heartbeat]
}

// Update takes a heartbeat, direct or passed on. Older news than what is known
// changes nothing.
func (d *Directory) Update(now time.Time, beats ...Heartbeat) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.members == nil {
		d.members = map[incarnation.ID]known{}
	}
	changed := false
	for _, b := range beats {
		before, heard := d.members[b.ID]
		if heard && before.Sequence >= b.Sequence || b.Age >= memory {
			continue
		}
		after := known{Heartbeat: b, sent: now.Add(-b.Age)}
		d.members[b.ID] = after
		changed = changed || !heard || !d.isAlive(before, now) || !before.sameAs(b) || before.Version != b.Version
	}
	if changed {
		d.publish(now)
	}
}

// Touch notes that a known process was heard of so long ago, with the bundle in
// force there. It reports whether the process is known.
func (d *Directory) Touch(now time.Time, id incarnation.ID, age time.Duration, v bundle.Version) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	k, heard := d.members[id]
	if !heard {
		return false
	}
	sent := now.Add(-age)
	if !sent.After(k.sent) {
		return true
	}
	changed := !d.isAlive(k, now) || v > k.Version
	k.sent = sent
	k.Version = max(k.Version, v)
	d.members[id] = k
	if changed {
		d.publish(now)
	}
	return true
}

// isAlive tells whether a process counts as alive at the time.
func (d *Directory) isAlive(k known, now time.Time) bool {
	life := DefaultTimeout
	if k.Role == RoleEntry && k.Region == d.HomeRegion {
		life = HomeEntryTimeout
	}
	return now.Sub(k.sent) < life
}

// MarkDead drops a process that ended.
func (d *Directory) MarkDead(now time.Time, id incarnation.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if k, heard := d.members[id]; heard {
		k.sent = now.Add(-DefaultTimeout)
		d.members[id] = k
	}
	d.publish(now)
}

// Sweep drops the dead. Call it a few times in each HomeEntryTimeout.
func (d *Directory) Sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	living := 0
	for id, k := range d.members {
		if d.isAlive(k, now) {
			living++
		}
		if now.Sub(k.sent) >= memory {
			delete(d.members, id)
		}
	}
	if list := d.alive.Load(); list == nil || len(*list) != living {
		d.publish(now)
	}
}

// Generation returns a value that changes whenever Alive does.
func (d *Directory) Generation() any { return d.alive.Load() }

// publish replaces the list of the living. The lock must be held.
func (d *Directory) publish(now time.Time) {
	list := make([]Heartbeat, 0, len(d.members))
	for _, k := range d.members {
		if d.isAlive(k, now) {
			list = append(list, k.Heartbeat)
		}
	}
	slices.SortFunc(list, func(a, b Heartbeat) int { return cmp.Compare(a.ID, b.ID) })
	d.alive.Store(&list)
}

// Alive returns the living processes, sorted by ID. The slice must not be changed.
func (d *Directory) Alive() []Heartbeat {
	list := d.alive.Load()
	if list == nil {
		return nil
	}
	return *list
}

// AliveWithAge returns the living processes for which the filter is true, with their
// age, to be passed on.
func (d *Directory) AliveWithAge(now time.Time, filter func(Heartbeat) bool) []Heartbeat {
	d.mu.Lock()
	defer d.mu.Unlock()
	var digest []Heartbeat
	for _, k := range d.members {
		if !d.isAlive(k, now) || !filter(k.Heartbeat) {
			continue
		}
		b := k.Heartbeat
		b.Age = now.Sub(k.sent)
		digest = append(digest, b)
	}
	return digest
}

// Entries returns the living entries of a region that are not leaving.
func (d *Directory) Entries(region platform.Region) []Heartbeat {
	var entries []Heartbeat
	for _, b := range d.Alive() {
		if b.Role == RoleEntry && b.Region == region && !b.Leaving {
			entries = append(entries, b)
		}
	}
	return entries
}

// IsAlive tells whether the process was heard of lately.
func (d *Directory) IsAlive(id incarnation.ID) bool {
	_, alive := d.Find(id)
	return alive
}

// Find returns a living process.
func (d *Directory) Find(id incarnation.ID) (Heartbeat, bool) {
	list := d.Alive()
	i, found := slices.BinarySearchFunc(list, id, func(b Heartbeat, id incarnation.ID) int { return cmp.Compare(b.ID, id) })
	if !found {
		return Heartbeat{}, false
	}
	return list[i], true
}

// Rank orders members for a key by rendezvous hashing: every process computes
// the same order from the same members, and a member that comes or goes moves
// only what is its own.
func Rank(key string, members []Heartbeat) []Heartbeat {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Heartbeat) int {
		return cmp.Or(cmp.Compare(weight(key, b.ID), weight(key, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// RankOf returns the position of a member in the order for a key, or the number
// of members if it is not among them.
func RankOf(key string, members []Heartbeat, id incarnation.ID) int {
	own := weight(key, id)
	rank := 0
	found := false
	for _, m := range members {
		w := weight(key, m.ID)
		found = found || m.ID == id
		if w > own || w == own && m.ID < id {
			rank++
		}
	}
	if !found {
		return len(members)
	}
	return rank
}

func weight(key string, id incarnation.ID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	// FNV's high bits vary little with the last bytes; mix them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
