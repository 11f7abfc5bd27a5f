// Package incarnation identifies incarnations: an incarnation is one execution of a
// process from its start to its end. A process that restarts gets a new ID, so that
// messages and records for the earlier incarnation are not taken as its own.
package incarnation

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"
)

// ID identifies an incarnation of a process. The zero value means none.
type ID string

// Address is the IP address and port, separated by a colon, at which other processes of
// the scheduler reach a process.
type Address string

// New returns a new ID for an incarnation of the named process: the name, the start time in
// Unix milliseconds and 8 random hexadecimal digits, separated by dots. Two calls do
// not return the same ID, even for the same name and start time.
func New(name string, start time.Time) ID {
	var suffix [4]byte
	// crypto/rand.Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(suffix[:])
	return ID(fmt.Sprintf("%s.%d.%s", name, start.UnixMilli(), hex.EncodeToString(suffix[:])))
}
