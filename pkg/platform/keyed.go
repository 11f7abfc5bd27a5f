package platform

import "context"

// Key names a record of a keyed log. The log keeps the newest record of each key until another
// record with the key is appended or the key is removed.
type Key string

// KeyedLog is a Log whose streams also keep the newest record of each key, regardless of its
// age. Append gives every record a new key, so that the record is kept until Replace removes its
// key. The keys that Replace gives to its records sort after the keys of appended records.
// Implementations are safe for concurrent use.
type KeyedLog interface {
	Log
	// Newest returns the newest record of each key, sorted by offset, and the offset from which
	// Read continues. If keys are added and removed while the records are collected, the result
	// includes the records that Replace added in that time.
	Newest(ctx context.Context, stream Stream) ([]LogRecord, Offset, error)
	// Replace appends the payloads, each with a new key, and then removes the keys. A reader that
	// misses one of the keys sees all payloads. If Replace fails, any part of this may have
	// happened or may happen later, in this order.
	Replace(ctx context.Context, stream Stream, payloads [][]byte, keys []Key) error
}
