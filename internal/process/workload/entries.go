package workload

import (
	"fmt"
	"slices"

	"corianderpass/internal/process/incarnation"
)

// maxEntries is the maximum number of entries in the state: enough for all of one
// installation and some that have ended.
const maxEntries = 64

// Entry is an entry process that other processes can call.
type Entry struct {
	// Node is the name of the entry's machine. A newer entry of the same node replaces
	// the older one.
	Node    string
	ID      incarnation.ID
	Address incarnation.Address
}

// Entries returns the entries in the order in which they joined, the newest last. Some
// may have ended. The slice must not be changed.
func (s *State) Entries() []Entry { return s.entries }

func (s *State) join(r Join) error {
	if slices.Contains(s.entries, r.Entry) {
		return fmt.Errorf("%w: entry %s has already joined", ErrNoChange, r.Entry.Node)
	}
	// The old array must not change: earlier snapshots may share it.
	entries := slices.DeleteFunc(slices.Clone(s.entries), func(e Entry) bool { return e.Node == r.Entry.Node })
	entries = append(entries, r.Entry)
	s.entries = entries[max(0, len(entries)-maxEntries):]
	return nil
}
