package membership

import (
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/version/bundle"
)

// Digest is what entries tell each other. Processes that have not changed since
// they were described travel as numbers, the sender among them.
type Digest struct {
	// From is the telling entry, Version the bundle in force there.
	From    incarnation.ID
	Version bundle.Version
	// New describes processes that the other side may not know as they are now.
	New []NumberedHeartbeat `json:",omitempty"`
	// Same are processes that have not changed.
	Same []CompactHeartbeat `json:",omitempty"`
	// Unknown are numbers of the other side that mean nothing here: it must
	// describe them again.
	Unknown []MemberNumber `json:",omitempty"`
}

// MemberNumber stands for a process between one entry and another.
type MemberNumber int

// NumberedHeartbeat gives a process its number.
type NumberedHeartbeat struct {
	Number MemberNumber
	Beat   Heartbeat
}

// CompactHeartbeat tells how long ago a described process was heard of. To be short it is
// written as a list: the number, the age in milliseconds, and the bundle in force
// there if it is another than the digest's.
type CompactHeartbeat []int64

func (d Digest) seen(n MemberNumber, b Heartbeat) CompactHeartbeat {
	s := CompactHeartbeat{int64(n), b.Age.Milliseconds()}
	if b.Version != d.Version {
		s = append(s, int64(b.Version))
	}
	return s
}

// read returns what the list says; ok is false for one of the wrong length.
func (d Digest) read(s CompactHeartbeat) (n MemberNumber, age time.Duration, v bundle.Version, ok bool) {
	if len(s) < 2 || len(s) > 3 {
		return 0, 0, 0, false
	}
	v = d.Version
	if len(s) == 3 {
		v = bundle.Version(s[2])
	}
	return MemberNumber(s[0]), time.Duration(s[1]) * time.Millisecond, v, true
}

// Session is what an entry remembers of what it and one other entry told
// each other. The zero value has told and heard nothing. It is not safe for
// concurrent use.
type Session struct {
	// Peer is the other entry's incarnation; another one begins anew.
	Peer  incarnation.ID
	told  map[incarnation.ID]told
	heard map[MemberNumber]incarnation.ID
	// unknown are numbers to be asked about.
	unknown []MemberNumber
	next    MemberNumber
}

// told is how a process was described.
type told struct {
	number MemberNumber
	beat   Heartbeat
}

// sameAs tells whether a process can be told of by its number: nothing changed
// but what travels beside the number, or what every heartbeat changes.
func (h Heartbeat) sameAs(other Heartbeat) bool {
	h.Sequence, h.Age, h.Busy, h.Version = other.Sequence, other.Age, other.Busy, other.Version
	return h == other
}

// BuildDigest makes the digest of the beats for the other entry. The sender's own is one
// of them, and the version is the bundle in force there.
func (c *Session) BuildDigest(from incarnation.ID, v bundle.Version, beats []Heartbeat) Digest {
	if c.told == nil {
		c.told = map[incarnation.ID]told{}
	}
	d := Digest{From: from, Version: v, Unknown: c.unknown}
	c.unknown = nil
	there := make(map[incarnation.ID]bool, len(beats))
	for _, b := range beats {
		there[b.ID] = true
		before, known := c.told[b.ID]
		if known && before.beat.sameAs(b) {
			d.Same = append(d.Same, d.seen(before.number, b))
			continue
		}
		if !known {
			c.next++
			before.number = c.next
		}
		c.told[b.ID] = told{number: before.number, beat: b}
		d.New = append(d.New, NumberedHeartbeat{Number: before.number, Beat: b})
	}
	for id := range c.told {
		if !there[id] {
			delete(c.told, id)
		}
	}
	return d
}

// ApplyDigest takes the other entry's digest into the directory.
func (c *Session) ApplyDigest(now time.Time, d Digest, into *Directory) {
	if c.Peer != d.From {
		*c = Session{Peer: d.From}
	}
	if c.heard == nil {
		c.heard = map[MemberNumber]incarnation.ID{}
	}
	c.forget(d.Unknown)
	var beats []Heartbeat
	for _, n := range d.New {
		c.heard[n.Number] = n.Beat.ID
		beats = append(beats, n.Beat)
	}
	into.Update(now, beats...)
	for _, s := range d.Same {
		n, age, v, ok := d.read(s)
		if !ok {
			continue
		}
		id, known := c.heard[n]
		if !known || !into.Touch(now, id, age, v) {
			c.unknown = append(c.unknown, n)
		}
	}
}

// forget makes the next digest describe the numbers again.
func (c *Session) forget(numbers []MemberNumber) {
	for _, n := range numbers {
		for id, t := range c.told {
			if t.number == n {
				delete(c.told, id)
			}
		}
	}
}
