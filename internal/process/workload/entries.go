package workload

import (
	"fmt"
	"slices"

	"corianderpass/internal/process/incarnation"
)

// keptEntries bounds the entries that are remembered: those of one installation,
// and some that are gone.
const keptEntries = 64

// Entry is a process that the others may call.
type Entry struct {
	// Node is the machine's name; a process that starts there takes its place.
	Node    string
	ID      incarnation.ID
	Address incarnation.Address
}

// Entries returns the entries, the newest last. Some may be gone. The slice must
// not be changed.
func (s *State) Entries() []Entry { return s.entries }

func (s *State) join(r Join) error {
	if slices.Contains(s.entries, r.Entry) {
		return fmt.Errorf("%w: %s has joined", ErrNoChange, r.Entry.Node)
	}
	// Snapshots taken earlier may share the old array.
	next := slices.DeleteFunc(slices.Clone(s.entries), func(e Entry) bool { return e.Node == r.Entry.Node })
	next = append(next, r.Entry)
	s.entries = next[max(0, len(next)-keptEntries):]
	return nil
}
