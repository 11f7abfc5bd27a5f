package standin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"corianderpass/pkg/platform"
)

// KeyedLog is a platform.KeyedLog over a Log. Each process of a test has its own
// KeyedLog over the same Log and KeyIndex, so that a test can make the log unavailable
// to one process only. It is safe for concurrent use once Log and Index are set.
type KeyedLog struct {
	// Log is the shared log. Set it before use.
	Log *Log
	// Index has the newest record of each key and is shared like Log. Set it before
	// use.
	Index *KeyIndex
	// Writer is a part of every key. It must differ between the KeyedLogs of one Log,
	// so that no two of them assign the same key.
	Writer string

	mu       sync.Mutex
	sequence int
	down     bool
	readOnly bool
	silent   bool
	// lateness is how long appends take effect late; 0 if they do not.
	lateness time.Duration
}

// KeyIndex holds the newest record of each key, by stream. The zero value is ready to
// use; it is safe for concurrent use by KeyedLogs.
type KeyIndex struct {
	mu      sync.Mutex
	records map[platform.Stream]map[platform.Key]platform.LogRecord
}

// SetDown makes every call fail with platform.ErrLogDown while down is true.
func (k *KeyedLog) SetDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = down
}

// SetReadOnly makes Append fail with platform.ErrLogDown while readOnly is true.
func (k *KeyedLog) SetReadOnly(readOnly bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.readOnly = readOnly
}

// SetSilent makes every append that is sent from now on get no answer while silent is true. It is not
// stored, which its sender cannot know.
func (k *KeyedLog) SetSilent(silent bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silent = silent
}

// SetLate makes every append that is sent from now on take effect late by d, without an answer.
func (k *KeyedLog) SetLate(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lateness = d
}

// storeLate stores the record later if appends take effect late, which it reports.
func (k *KeyedLog) storeLate(stream platform.Stream, key platform.Key, payload []byte) bool {
	k.mu.Lock()
	lateness := k.lateness
	k.mu.Unlock()
	if lateness > 0 {
		time.AfterFunc(lateness, func() { _, _ = k.store(stream, key, payload) })
	}
	return lateness > 0
}

// awaitAnswer waits until the context ends if the log is silent.
func (k *KeyedLog) awaitAnswer(ctx context.Context) error {
	k.mu.Lock()
	silent := k.silent
	k.mu.Unlock()
	if !silent {
		return nil
	}
	<-ctx.Done()
	return fmt.Errorf("standin: silent log: %w", ctx.Err())
}

// RefusesAppends reports whether Append fails because the log is down or read-only.
func (k *KeyedLog) RefusesAppends() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.down || k.readOnly
}

func (k *KeyedLog) isDown() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.down
}

// newKey returns a key that no other KeyedLog of the Log returns.
func (k *KeyedLog) newKey(prefix string) platform.Key {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sequence++
	return platform.Key(fmt.Sprintf("%s/%s/%d", prefix, k.Writer, k.sequence))
}

// encodeRecord returns the payload with the length of the key (one byte) and the key
// before it.
func encodeRecord(key platform.Key, payload []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), payload...)
}

// decodeRecord separates the key from the payload.
func decodeRecord(r platform.LogRecord) platform.LogRecord {
	n := 1 + int(r.Payload[0])
	return platform.LogRecord{Offset: r.Offset, Key: platform.Key(r.Payload[1:n]), Payload: r.Payload[n:]}
}

// lock polls for the lock instead of blocking. The holder may sleep, and in virtual
// time the clock stands still while a goroutine blocks on a mutex.
func (k *KeyIndex) lock() {
	for !k.mu.TryLock() {
		time.Sleep(time.Millisecond)
	}
}

// update stores a record just appended, or removes its key if the payload is empty.
// The lock must be held.
func (k *KeyIndex) update(stream platform.Stream, r platform.LogRecord) {
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

// AppendAll implements platform.BatchLog.
func (k *KeyedLog) AppendAll(ctx context.Context, stream platform.Stream, payloads [][]byte) ([]platform.LogRecord, error) {
	if k.RefusesAppends() {
		return nil, platform.ErrLogDown
	}
	if err := k.awaitAnswer(ctx); err != nil {
		return nil, err
	}
	if err := k.Log.beginCall(ctx); err != nil {
		return nil, err
	}
	var records []platform.LogRecord
	for _, payload := range payloads {
		r := platform.LogRecord{Key: k.newKey("e"), Payload: payload}
		var err error
		if r.Offset, err = k.store(stream, r.Key, payload); err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// append appends a record with the key and updates the index.
func (k *KeyedLog) append(ctx context.Context, stream platform.Stream, key platform.Key, payload []byte) (platform.Offset, error) {
	if err := k.awaitAnswer(ctx); err != nil {
		return 0, err
	}
	if k.storeLate(stream, key, payload) {
		<-ctx.Done()
		return 0, fmt.Errorf("standin: late append: %w", ctx.Err())
	}
	if err := k.Log.beginCall(ctx); err != nil {
		return 0, err
	}
	return k.store(stream, key, payload)
}

// store stores a record with the key and updates the index.
func (k *KeyedLog) store(stream platform.Stream, key platform.Key, payload []byte) (platform.Offset, error) {
	k.Index.lock()
	defer k.Index.mu.Unlock()
	offset, stored, err := k.Log.store(stream, encodeRecord(key, payload))
	if stored {
		// This includes a record whose append returns platform.ErrAnswerLost.
		k.Index.update(stream, platform.LogRecord{Offset: offset, Key: key, Payload: slices.Clone(payload)})
	}
	return offset, err
}

// Read implements platform.Log.
func (k *KeyedLog) Read(ctx context.Context, stream platform.Stream, from platform.Offset, limit int, wait time.Duration) ([]platform.LogRecord, error) {
	if k.isDown() {
		return nil, platform.ErrLogDown
	}
	records, err := k.Log.Read(ctx, stream, from, limit, wait)
	if k.isDown() {
		return nil, platform.ErrLogDown
	}
	for i := range records {
		records[i] = decodeRecord(records[i])
	}
	return records, err
}

// Span implements platform.Log.
func (k *KeyedLog) Span(ctx context.Context, stream platform.Stream) (platform.Span, error) {
	if k.isDown() {
		return platform.Span{}, platform.ErrLogDown
	}
	return k.Log.Span(ctx, stream)
}

// Newest implements platform.KeyedLog.
func (k *KeyedLog) Newest(ctx context.Context, stream platform.Stream) ([]platform.LogRecord, platform.Offset, error) {
	if k.isDown() {
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

// Replace implements platform.KeyedLog. It is one call, which takes the delay of the log once.
func (k *KeyedLog) Replace(ctx context.Context, stream platform.Stream, payloads [][]byte, remove []platform.Key) error {
	if k.isDown() {
		return platform.ErrLogDown
	}
	if err := k.Log.beginCall(ctx); err != nil {
		return err
	}
	for _, p := range payloads {
		if _, err := k.store(stream, k.newKey("s"), p); err != nil {
			return err
		}
	}
	for _, key := range remove {
		if _, err := k.store(stream, key, nil); err != nil {
			return err
		}
	}
	return nil
}

var _ platform.KeyedLog = (*KeyedLog)(nil)
