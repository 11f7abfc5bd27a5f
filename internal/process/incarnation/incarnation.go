// Package incarnation names one run of one process. A process that restarts
// gets a new incarnation, so that nothing meant for the earlier run reaches it.
package incarnation

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"
)

// ID names one run of one process. The zero value names none.
type ID string

// Address is the IP address and port at which other processes of the scheduler
// reach this one.
type Address string

// New returns an incarnation of the named process that began at the start
// time. Two calls never return the same ID.
func New(name string, start time.Time) ID {
	var suffix [4]byte
	// crypto/rand.Read never fails: it ends the process instead.
	_, _ = rand.Read(suffix[:])
	return ID(fmt.Sprintf("%s.%d.%s", name, start.UnixMilli(), hex.EncodeToString(suffix[:])))
}
