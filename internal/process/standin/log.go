// Package standin provides in-memory stand-ins for the platform and for minions, for
// tests and demos. They implement the interfaces of pkg/platform and runner.Minion, and
// tests can switch on the faults that real platforms show. Tests throughout the module,
// package platform/standin and the commands corianderpass-standin and
// corianderpass-platform-standin use it. It is not meant for production.
package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"corianderpass/pkg/platform"
)

// Log is an in-memory append-only log service. It is safe for concurrent use. The zero
// value is usable; it accepts appends at any rate and keeps all records.
type Log struct {
	// AppendsPerSecond limits the appends over all streams; 0 means no limit. Set it
	// before use.
	AppendsPerSecond float64
	// KeepRecords limits the records that a stream keeps; 0 means no limit. Set it
	// before use.
	KeepRecords int
	// KeepTime limits the age of the records kept; 0 means no limit. Set it before
	// use.
	KeepTime time.Duration

	mu      sync.Mutex
	streams map[platform.Stream]*stream
	faults  LogFaults
	// tokens and refilledAt are the token bucket for AppendsPerSecond: the number of
	// appends allowed at the time refilledAt.
	tokens     float64
	refilledAt time.Time
	// random draws the appends that LogFaults affects. It is nil before SetFaults.
	random *rand.Rand
	// appends and bytes are the results of Counts.
	appends uint64
	bytes   uint64
}

// LogFaults are the faults of a log that a test can switch on.
type LogFaults struct {
	// Down makes every call fail with platform.ErrLogDown.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers is the share of appends, 0 to 1, that are stored but return
	// platform.ErrAnswerLost.
	LoseAnswers float64
	// LoseAppends is the share of appends, 0 to 1, that are not stored and return
	// platform.ErrAnswerLost.
	LoseAppends float64
	// Seed seeds the choice of the appends that are lost.
	Seed uint64
}

// stream holds the records of a stream that have not been trimmed.
type stream struct {
	// first is the offset of the oldest record kept, or the next offset if there is
	// none.
	first   platform.Offset
	records []keptRecord
	// appended is closed and replaced at every append.
	appended chan struct{}
}

// keptRecord is a record with the time of its append.
type keptRecord struct {
	payload []byte
	at      time.Time
}

// SetFaults replaces the faults and restarts the random choice from their seed.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.random = rand.New(rand.NewPCG(f.Seed, 1))
}

// Counts returns the number of all records appended so far and of the bytes of their
// payloads.
func (l *Log) Counts() (appends, bytes uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.bytes
}

// stream returns the stream with the name and creates it at first use. The lock must
// be held.
func (l *Log) stream(name platform.Stream) *stream {
	if l.streams == nil {
		l.streams = map[platform.Stream]*stream{}
	}
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// beginCall waits for the delay in the faults and fails if the log is down.
func (l *Log) beginCall(ctx context.Context) error {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	if faults.Delay > 0 {
		if err := sleep(ctx, faults.Delay); err != nil {
			return err
		}
	}
	if faults.Down {
		return platform.ErrLogDown
	}
	return nil
}

// Append appends a record and returns its offset. It returns platform.ErrThrottled
// above the append rate.
func (l *Log) Append(ctx context.Context, name platform.Stream, payload []byte) (platform.Offset, error) {
	if err := l.beginCall(ctx); err != nil {
		return 0, err
	}
	offset, _, err := l.store(name, payload)
	return offset, err
}

// store appends a record. It returns the offset and whether the record was stored,
// which can be true together with platform.ErrAnswerLost.
func (l *Log) store(name platform.Stream, payload []byte) (platform.Offset, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.takeToken() {
		return 0, false, platform.ErrThrottled
	}
	if l.drawFault(l.faults.LoseAppends) {
		return 0, false, platform.ErrAnswerLost
	}
	offset := l.add(name, payload)
	if l.drawFault(l.faults.LoseAnswers) {
		return offset, true, platform.ErrAnswerLost
	}
	return offset, true, nil
}

// add appends the record and wakes up waiting readers. The lock must be held.
func (l *Log) add(name platform.Stream, payload []byte) platform.Offset {
	s := l.stream(name)
	s.records = append(s.records, keptRecord{payload: append([]byte(nil), payload...), at: time.Now()})
	l.appends++
	l.bytes += uint64(len(payload))
	next := s.next()
	l.trim(s)
	close(s.appended)
	s.appended = make(chan struct{})
	return next - 1
}

// next returns the offset of the next record.
func (s *stream) next() platform.Offset { return s.first + platform.Offset(len(s.records)) }

// drawFault draws whether one call is affected by a fault that affects the given share
// of calls, 0 to 1. The lock must be held.
func (l *Log) drawFault(share float64) bool {
	return share > 0 && l.random.Float64() < share
}

// takeToken takes a token for an append and reports whether there was one. The lock
// must be held.
func (l *Log) takeToken() bool {
	if l.AppendsPerSecond == 0 {
		return true
	}
	now := time.Now()
	if l.refilledAt.IsZero() {
		l.tokens = l.AppendsPerSecond
	} else {
		l.tokens = min(l.AppendsPerSecond, l.tokens+now.Sub(l.refilledAt).Seconds()*l.AppendsPerSecond)
	}
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// trim drops the oldest records of the stream so that it has at most KeepRecords, none
// of them older than KeepTime. The lock must be held.
func (l *Log) trim(s *stream) {
	drop := 0
	if l.KeepRecords > 0 {
		drop = max(0, len(s.records)-l.KeepRecords)
	}
	if l.KeepTime > 0 {
		oldest := time.Now().Add(-l.KeepTime)
		for drop < len(s.records) && s.records[drop].at.Before(oldest) {
			drop++
		}
	}
	s.records = s.records[drop:]
	s.first += platform.Offset(drop)
}

// Read returns at most limit records from the offset on. If there are none, it waits
// for one for the duration wait at most, and returns no records and no error if none
// is appended in that time.
func (l *Log) Read(ctx context.Context, name platform.Stream, from platform.Offset, limit int, wait time.Duration) ([]platform.LogRecord, error) {
	// A timer with duration 0 crashes the race detector in virtual time, so a read that
	// must not wait uses no timer.
	if wait <= 0 {
		if err := l.beginCall(ctx); err != nil {
			return nil, err
		}
		records, _, err := l.recordsFrom(name, from, limit)
		return records, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		if err := l.beginCall(ctx); err != nil {
			return nil, err
		}
		records, appended, err := l.recordsFrom(name, from, limit)
		if err != nil || len(records) > 0 {
			return records, err
		}
		select {
		case <-appended:
		case <-deadline.C:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// recordsFrom returns the records from the offset on, at most limit, and a channel
// that is closed at the next append.
func (l *Log) recordsFrom(name platform.Stream, from platform.Offset, limit int) ([]platform.LogRecord, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.trim(s)
	if from < s.first {
		return nil, nil, platform.ErrTrimmed
	}
	var records []platform.LogRecord
	for o := from; o < s.next() && len(records) < limit; o++ {
		records = append(records, platform.LogRecord{Offset: o, Payload: s.records[o-s.first].payload})
	}
	return records, s.appended, nil
}

// Span returns the offsets of the first record kept and of the next one to come.
func (l *Log) Span(ctx context.Context, name platform.Stream) (platform.Span, error) {
	if err := l.beginCall(ctx); err != nil {
		return platform.Span{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.trim(s)
	return platform.Span{First: s.first, Next: s.next()}, nil
}

// sleep waits for the duration and returns nil. If the context ends earlier, it returns
// the context's error at once.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
