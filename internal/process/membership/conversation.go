package membership

import (
	"time"

	"corianderpass/internal/process/incarnation"
)

// Digest is what entries tell each other. Processes that have not changed since
// they were described travel as numbers, the sender among them.
type Digest struct {
	// From is the telling entry.
	From incarnation.ID
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

// Seen tells how long ago a described process was heard of. It is written as a
// pair to be short.
type Seen [2]int64

// Number returns the process's number.
func (s Seen) Number() Number { return Number(s[0]) }

// Age returns how long ago it was heard of.
func (s Seen) Age() time.Duration { return time.Duration(s[1]) * time.Millisecond }

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
// but what every heartbeat changes.
func (h Heartbeat) sameAs(other Heartbeat) bool {
	h.Sequence, h.Age, h.Busy = other.Sequence, other.Age, other.Busy
	return h == other
}

// Tell makes the digest of the beats for the other entry. The sender's own is one
// of them.
func (c *Conversation) Tell(from incarnation.ID, beats []Heartbeat) Digest {
	if c.told == nil {
		c.told = map[incarnation.ID]told{}
	}
	d := Digest{From: from, Unknown: c.unknown}
	c.unknown = nil
	there := make(map[incarnation.ID]bool, len(beats))
	for _, b := range beats {
		there[b.ID] = true
		before, known := c.told[b.ID]
		if known && before.beat.sameAs(b) {
			d.Same = append(d.Same, Seen{int64(before.number), b.Age.Milliseconds()})
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
		id, known := c.heard[s.Number()]
		if !known || !into.Touch(now, id, s.Age()) {
			c.unknown = append(c.unknown, s.Number())
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
