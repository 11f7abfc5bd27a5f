package membership

import (
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/version/bundle"
)

// Digest is the message in which an entry sends heartbeats to another entry: its own and
// those that it received. For a process that has not changed since it was last described,
// the digest contains a CompactHeartbeat, in which a number stands for the process.
type Digest struct {
	// From is the sender.
	From incarnation.ID
	// Version is the bundle in force at the sender.
	Version bundle.Version
	// New has the heartbeats of processes that are new or have changed.
	New []NumberedHeartbeat `json:",omitempty"`
	// Same has the processes that have not changed since they were in New of an earlier
	// digest.
	Same []CompactHeartbeat `json:",omitempty"`
	// Unknown are numbers in digests from the receiver that the sender could not assign to
	// a process. The receiver must send the complete heartbeats of these processes again.
	Unknown []MemberNumber `json:",omitempty"`
}

// MemberNumber identifies a process in the digests that one entry sends to another during
// one Session.
type MemberNumber int

// NumberedHeartbeat is the heartbeat of a process with its number, which later digests
// use instead.
type NumberedHeartbeat struct {
	Number MemberNumber
	Beat   Heartbeat
}

// CompactHeartbeat is the heartbeat of a process whose complete heartbeat was in an earlier
// digest and has not changed since. It is a list, which is short on the wire: the number of
// the process, the age of the heartbeat in milliseconds, and the bundle in force at the
// process if it differs from the version of the digest.
type CompactHeartbeat []int64

func (d Digest) compact(n MemberNumber, h Heartbeat) CompactHeartbeat {
	c := CompactHeartbeat{int64(n), h.Age.Milliseconds()}
	if h.Version != d.Version {
		c = append(c, int64(h.Version))
	}
	return c
}

// expand returns the values of the list. ok is false if the list has the wrong length.
func (d Digest) expand(c CompactHeartbeat) (n MemberNumber, age time.Duration, v bundle.Version, ok bool) {
	if len(c) < 2 || len(c) > 3 {
		return 0, 0, 0, false
	}
	v = d.Version
	if len(c) == 3 {
		v = bundle.Version(c[2])
	}
	return MemberNumber(c[0]), time.Duration(c[1]) * time.Millisecond, v, true
}

// Session is the state that one entry keeps of the digests that it exchanges with another
// entry. The zero value is a session before the first digest. It is not safe for
// concurrent use.
type Session struct {
	// Peer is the other entry; empty before its first digest. A digest from another
	// incarnation resets the session.
	Peer incarnation.ID
	// sent has the last complete heartbeat of each process in the last digest to the peer.
	sent map[incarnation.ID]sentHeartbeat
	// received maps the numbers that the peer assigned to its processes to their IDs.
	received map[MemberNumber]incarnation.ID
	// unknown are the numbers for the Unknown field of the next digest.
	unknown []MemberNumber
	// lastNumber is the highest number assigned to a process in digests to the peer.
	lastNumber MemberNumber
}

// sentHeartbeat is the last complete heartbeat of a process that was sent, with the number
// of the process.
type sentHeartbeat struct {
	number    MemberNumber
	heartbeat Heartbeat
}

// sameDescription reports whether h and other are equal apart from Sequence, Age, Busy and
// Version. A CompactHeartbeat carries Age and Version, and Sequence and Busy change with most
// heartbeats, so that a CompactHeartbeat is enough to send h after other.
func (h Heartbeat) sameDescription(other Heartbeat) bool {
	h.Sequence, h.Age, h.Busy, h.Version = other.Sequence, other.Age, other.Busy, other.Version
	return h == other
}

// BuildDigest returns the next digest for the peer. The sender's own heartbeat must be one
// of the heartbeats; the version is the bundle in force at the sender. The session then
// assumes that the peer receives the digest. If the exchange fails, the caller must replace
// the session by a new one.
func (s *Session) BuildDigest(from incarnation.ID, v bundle.Version, heartbeats []Heartbeat) Digest {
	if s.sent == nil {
		s.sent = map[incarnation.ID]sentHeartbeat{}
	}
	d := Digest{From: from, Version: v, Unknown: s.unknown}
	s.unknown = nil
	included := make(map[incarnation.ID]bool, len(heartbeats))
	for _, h := range heartbeats {
		included[h.ID] = true
		previous, found := s.sent[h.ID]
		if found && previous.heartbeat.sameDescription(h) {
			d.Same = append(d.Same, d.compact(previous.number, h))
			continue
		}
		if !found {
			s.lastNumber++
			previous.number = s.lastNumber
		}
		s.sent[h.ID] = sentHeartbeat{number: previous.number, heartbeat: h}
		d.New = append(d.New, NumberedHeartbeat{Number: previous.number, Beat: h})
	}
	for id := range s.sent {
		if !included[id] {
			delete(s.sent, id)
		}
	}
	return d
}

// ApplyDigest updates the directory from a digest of the peer.
func (s *Session) ApplyDigest(now time.Time, d Digest, directory *Directory) {
	if s.Peer != d.From {
		*s = Session{Peer: d.From}
	}
	if s.received == nil {
		s.received = map[MemberNumber]incarnation.ID{}
	}
	s.forgetNumbers(d.Unknown)
	var heartbeats []Heartbeat
	for _, complete := range d.New {
		s.received[complete.Number] = complete.Beat.ID
		heartbeats = append(heartbeats, complete.Beat)
	}
	directory.Update(now, heartbeats...)
	for _, compact := range d.Same {
		n, age, v, ok := d.expand(compact)
		if !ok {
			continue
		}
		id, found := s.received[n]
		if !found || !directory.Touch(now, id, age, v) {
			s.unknown = append(s.unknown, n)
		}
	}
}

// forgetNumbers makes the next digest contain the complete heartbeats of the processes with
// these numbers.
func (s *Session) forgetNumbers(numbers []MemberNumber) {
	for _, n := range numbers {
		for id, sent := range s.sent {
			if sent.number == n {
				delete(s.sent, id)
			}
		}
	}
}
