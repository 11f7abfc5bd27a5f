package standin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"corianderpass/pkg/platform"
)

// KeyedLog is a Log that also keeps the newest record of each key. The zero value
// is usable; it is safe for concurrent use. All processes of a test share one Log
// through a KeyedLog each, so that each can be cut off by itself.
type KeyedLog struct {
	// Log is the shared log. Set it before use.
	Log *Log
	// Index are the shared newest records. Set it before use.
	Index *KeyIndex
	// Writer differs between the KeyedLogs of one Log.
	Writer string

	mu       sync.Mutex
	sequence int
	cut      bool
	readOnly bool
}

// KeyIndex holds the newest records of all keys. The zero value is ready to use.
type KeyIndex struct {
	mu      sync.Mutex
	records map[platform.Stream]map[platform.Key]platform.LogRecord
}

// SetDown refuses every call until it is called again with false.
func (k *KeyedLog) SetDown(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
}

// SetReadOnly refuses every append until it is called again with false.
func (k *KeyedLog) SetReadOnly(readOnly bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.readOnly = readOnly
}

// RefusesAppends tells whether appends are refused.
func (k *KeyedLog) RefusesAppends() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cut || k.readOnly
}

func (k *KeyedLog) isCut() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cut
}

func (k *KeyedLog) newKey(prefix string) platform.Key {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sequence++
	return platform.Key(fmt.Sprintf("%s/%s/%d", prefix, k.Writer, k.sequence))
}

func frame(key platform.Key, payload []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), payload...)
}

func unframe(r platform.LogRecord) platform.LogRecord {
	n := 1 + int(r.Payload[0])
	return platform.LogRecord{Offset: r.Offset, Key: platform.Key(r.Payload[1:n]), Payload: r.Payload[n:]}
}

// lock waits for the lock as tests in virtual time can: while its holder waits, the
// time must go on.
func (k *KeyIndex) lock() {
	for !k.mu.TryLock() {
		time.Sleep(time.Millisecond)
	}
}

// keep notes records that were just appended. The lock must be held.
func (k *KeyIndex) keep(stream platform.Stream, r platform.LogRecord) {
	if k.records == nil {
		k.records = map[platform.Stream]map[platform.Key]platform.LogRecord{}
	}
	if k.records[stream] == nil {
		k.records[stream] = map[platform.Key]platform.LogRecord{}
	}
	if len(r.Payload) == 0 {
		delete(k.records[stream], r.Key)
		return
	}
	k.records[stream][r.Key] = r
}

// Append implements platform.Log.
func (k *KeyedLog) Append(ctx context.Context, stream platform.Stream, payload []byte) (platform.Offset, error) {
	if k.RefusesAppends() {
		return 0, platform.ErrLogDown
	}
	return k.append(ctx, stream, k.newKey("e"), payload)
}

func (k *KeyedLog) append(ctx context.Context, stream platform.Stream, key platform.Key, payload []byte) (platform.Offset, error) {
	if err := k.Log.enter(ctx); err != nil {
		return 0, err
	}
	k.Index.lock()
	defer k.Index.mu.Unlock()
	offset, stored, err := k.Log.store(stream, frame(key, payload))
	if stored {
		// Kept also if the answer is lost.
		k.Index.keep(stream, platform.LogRecord{Offset: offset, Key: key, Payload: slices.Clone(payload)})
	}
	return offset, err
}

// Read implements platform.Log.
func (k *KeyedLog) Read(ctx context.Context, stream platform.Stream, from platform.Offset, limit int, wait time.Duration) ([]platform.LogRecord, error) {
	if k.isCut() {
		return nil, platform.ErrLogDown
	}
	records, err := k.Log.Read(ctx, stream, from, limit, wait)
	if k.isCut() {
		return nil, platform.ErrLogDown
	}
	for i := range records {
		records[i] = unframe(records[i])
	}
	return records, err
}

// Span implements platform.Log.
func (k *KeyedLog) Span(ctx context.Context, stream platform.Stream) (platform.Span, error) {
	if k.isCut() {
		return platform.Span{}, platform.ErrLogDown
	}
	return k.Log.Span(ctx, stream)
}

// Newest implements platform.KeyedLog.
func (k *KeyedLog) Newest(ctx context.Context, stream platform.Stream) ([]platform.LogRecord, platform.Offset, error) {
	if k.isCut() {
		return nil, 0, platform.ErrLogDown
	}
	k.Index.lock()
	defer k.Index.mu.Unlock()
	span, err := k.Log.Span(ctx, stream)
	if err != nil {
		return nil, 0, err
	}
	var records []platform.LogRecord
	for _, r := range k.Index.records[stream] {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b platform.LogRecord) int { return int(a.Offset) - int(b.Offset) })
	return records, span.Next, nil
}

// Replace implements platform.KeyedLog.
func (k *KeyedLog) Replace(ctx context.Context, stream platform.Stream, payloads [][]byte, remove []platform.Key) error {
	if k.isCut() {
		return platform.ErrLogDown
	}
	for _, p := range payloads {
		if _, err := k.append(ctx, stream, k.newKey("s"), p); err != nil {
			return err
		}
	}
	for _, key := range remove {
		if _, err := k.append(ctx, stream, key, nil); err != nil {
			return err
		}
	}
	return nil
}

var _ platform.KeyedLog = (*KeyedLog)(nil)
