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
	New []Described `json:",omitempty"`
	// Same are processes that have not changed.
	Same []Seen `json:",omitempty"`
	// Unknown are numbers of the other side that mean nothing here: it must
	// describe them again.
	Unknown []Number `json:",omitempty"`
}

// Number stands for a process between one entry and another.
type Number int

// Described gives a process its number.
type Described struct {
	Number Number
	Beat   Heartbeat
}

// Seen tells how long ago a described process was heard of. To be short it is
// written as a list: the number, the age in milliseconds, and the bundle in force
// there if it is another than the digest's.
type Seen []int64

func (d Digest) seen(n Number, b Heartbeat) Seen {
	s := Seen{int64(n), b.Age.Milliseconds()}
	if b.Version != d.Version {
		s = append(s, int64(b.Version))
	}
	return s
}

// read returns what the list says; ok is false for one of the wrong length.
func (d Digest) read(s Seen) (n Number, age time.Duration, v bundle.Version, ok bool) {
	if len(s) < 2 || len(s) > 3 {
		return 0, 0, 0, false
	}
	v = d.Version
	if len(s) == 3 {
		v = bundle.Version(s[2])
	}
	return Number(s[0]), time.Duration(s[1]) * time.Millisecond, v, true
}

// Conversation is what an entry remembers of what it and one other entry told
// each other. The zero value has told and heard nothing. It is not safe for
// concurrent use.
type Conversation struct {
	// With is the other entry's incarnation; another one begins anew.
	With  incarnation.ID
	told  map[incarnation.ID]told
	heard map[Number]incarnation.ID
	// unknown are numbers to be asked about.
	unknown []Number
	next    Number
}

// told is how a process was described.
type told struct {
	number Number
	beat   Heartbeat
}

// sameAs tells whether a process can be told of by its number: nothing changed
// but what travels beside the number, or what every heartbeat changes.
func (h Heartbeat) sameAs(other Heartbeat) bool {
	h.Sequence, h.Age, h.Busy, h.Version = other.Sequence, other.Age, other.Busy, other.Version
	return h == other
}

// Tell makes the digest of the beats for the other entry. The sender's own is one
// of them, and the version is the bundle in force there.
func (c *Conversation) Tell(from incarnation.ID, v bundle.Version, beats []Heartbeat) Digest {
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
		d.New = append(d.New, Described{Number: before.number, Beat: b})
	}
	for id := range c.told {
		if !there[id] {
			delete(c.told, id)
		}
	}
	return d
}

// Hear takes the other entry's digest into the directory.
func (c *Conversation) Hear(now time.Time, d Digest, into *Directory) {
	if c.With != d.From {
		*c = Conversation{With: d.From}
	}
	if c.heard == nil {
		c.heard = map[Number]incarnation.ID{}
	}
	c.forget(d.Unknown)
	var beats []Heartbeat
	for _, n := range d.New {
		c.heard[n.Number] = n.Beat.ID
		beats = append(beats, n.Beat)
	}
	into.Hear(now, beats...)
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
func (c *Conversation) forget(numbers []Number) {
	for _, n := range numbers {
		for id, t := range c.told {
			if t.number == n {
				delete(c.told, id)
			}
		}
	}
}
