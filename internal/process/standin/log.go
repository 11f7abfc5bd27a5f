// Package standin is an in-memory platform and minion for tests and for a first
// try. It keeps what pkg/platform promises and can be made to fail in the ways
// that a platform fails. Nothing of it is meant for production.
package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"corianderpass/pkg/platform"
)

// Log is an in-memory append-only log service. The zero value is usable and
// keeps everything at any rate. It is safe for concurrent use.
type Log struct {
	// AppendsPerSecond bounds appends over all streams; 0 means no bound. Set it before use.
	AppendsPerSecond float64
	// KeepRecords bounds the records that a stream keeps; 0 means all. Set it before use.
	KeepRecords int
	// KeepTime bounds the age of kept records; 0 means any. Set it before use.
	KeepTime time.Duration

	mu      sync.Mutex
	streams map[platform.Stream]*stream
	faults  LogFaults
	tokens  float64
	filled  time.Time
	random  *rand.Rand
	appends uint64
	bytes   uint64
}

// LogFaults are the failures of a log that can be switched on.
type LogFaults struct {
	// Down refuses every call.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers is the share of appends whose answer is lost after the effect, 0 to 1.
	LoseAnswers float64
	// LoseAppends is the share of appends that are lost without effect and without a clear answer.
	LoseAppends float64
	// Seed makes the losses repeatable.
	Seed uint64
}

type stream struct {
	first   platform.Offset
	records []keptRecord
	// grown is closed and replaced at every append.
	grown chan struct{}
}

type keptRecord struct {
	payload []byte
	at      time.Time
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.random = rand.New(rand.NewPCG(f.Seed, 1))
}

// Counts returns the appends and bytes taken since the start.
func (l *Log) Counts() (appends, bytes uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.bytes
}

// get returns the stream, made at first use. The lock must be held.
func (l *Log) get(name platform.Stream) *stream {
	if l.streams == nil {
		l.streams = map[platform.Stream]*stream{}
	}
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1, grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// enter waits out the delay and refuses the call if the log is down.
func (l *Log) enter(ctx context.Context) error {
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

// Append adds one record.
func (l *Log) Append(ctx context.Context, name platform.Stream, payload []byte) (platform.Offset, error) {
	if err := l.enter(ctx); err != nil {
		return 0, err
	}
	offset, _, err := l.store(name, payload)
	return offset, err
}

// store adds a record and returns its offset, and whether it is there, which it may be
// without an answer.
func (l *Log) store(name platform.Stream, payload []byte) (platform.Offset, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.take() {
		return 0, false, platform.ErrThrottled
	}
	if l.strikes(l.faults.LoseAppends) {
		return 0, false, platform.ErrAnswerLost
	}
	offset := l.add(name, payload)
	if l.strikes(l.faults.LoseAnswers) {
		return offset, true, platform.ErrAnswerLost
	}
	return offset, true, nil
}

// add stores the record. The lock must be held.
func (l *Log) add(name platform.Stream, payload []byte) platform.Offset {
	s := l.get(name)
	s.records = append(s.records, keptRecord{payload: append([]byte(nil), payload...), at: time.Now()})
	l.appends++
	l.bytes += uint64(len(payload))
	next := s.next()
	l.trim(s)
	close(s.grown)
	s.grown = make(chan struct{})
	return next - 1
}

func (s *stream) next() platform.Offset { return s.first + platform.Offset(len(s.records)) }

// strikes tells whether a fault with this share happens now. The lock must be held.
func (l *Log) strikes(share float64) bool {
	return share > 0 && l.random.Float64() < share
}

// take takes a token of the append rate. The lock must be held.
func (l *Log) take() bool {
	if l.AppendsPerSecond == 0 {
		return true
	}
	now := time.Now()
	if l.filled.IsZero() {
		l.tokens = l.AppendsPerSecond
	} else {
		l.tokens = min(l.AppendsPerSecond, l.tokens+now.Sub(l.filled).Seconds()*l.AppendsPerSecond)
	}
	l.filled = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// trim drops what is no longer kept. The lock must be held.
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

// Read returns records from the offset on.
func (l *Log) Read(ctx context.Context, name platform.Stream, from platform.Offset, limit int, wait time.Duration) ([]platform.LogRecord, error) {
	// Timers without duration crash the race detector in virtual time, and there is
	// nothing to wait for.
	if wait <= 0 {
		if err := l.enter(ctx); err != nil {
			return nil, err
		}
		records, _, err := l.slice(name, from, limit)
		return records, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		if err := l.enter(ctx); err != nil {
			return nil, err
		}
		records, grown, err := l.slice(name, from, limit)
		if err != nil || len(records) > 0 {
			return records, err
		}
		select {
		case <-grown:
		case <-deadline.C:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (l *Log) slice(name platform.Stream, from platform.Offset, limit int) ([]platform.LogRecord, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(name)
	l.trim(s)
	if from < s.first {
		return nil, nil, platform.ErrTrimmed
	}
	var records []platform.LogRecord
	for o := from; o < s.next() && len(records) < limit; o++ {
		records = append(records, platform.LogRecord{Offset: o, Payload: s.records[o-s.first].payload})
	}
	return records, s.grown, nil
}

// Span tells which records are kept.
func (l *Log) Span(ctx context.Context, name platform.Stream) (platform.Span, error) {
	if err := l.enter(ctx); err != nil {
		return platform.Span{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(name)
	l.trim(s)
	return platform.Span{First: s.first, Next: s.next()}, nil
}

// sleep waits for the duration or the end of the context.
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
