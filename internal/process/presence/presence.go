// Package presence tells which workers' agents still reach the platform. Agents
// append to a stream that nobody folds; whoever decides listens to it. A worker
// that is not heard of is only suspected: whether its leases have run out is
// settled in the workload.
package presence

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/steady"
	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

// Stream is the stream of presences.
const Stream platform.Stream = "Presence"

const (
	// HeartbeatInterval is the time between two presences of an agent.
	HeartbeatInterval = time.Second
	// listenEvery is the time between two reads of the stream.
	listenEvery = 500 * time.Millisecond
	// callTimeout bounds one call to the log.
	callTimeout = 800 * time.Millisecond
	// readLimit is the most records asked for in one read.
	readLimit = 1000
)

// Heartbeat is one presence.
type Heartbeat struct{ Life workload.LifeID }

// Send appends one presence.
func Send(ctx context.Context, log platform.Log, b Heartbeat) error {
	payload, err := json.Marshal(b)
	if err != nil {
		return fmt.Errorf("presence: encode: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := log.Append(ctx, Stream, payload); err != nil {
		return fmt.Errorf("presence: append: %w", err)
	}
	return nil
}

// Listener notes who was heard of. Use NewListener; it is safe for concurrent use.
type Listener struct {
	log   platform.Log
	clock steady.Clock

	mu    sync.Mutex
	heard map[workload.LifeID]time.Duration
	// steadySince is when the reads began to succeed without a gap; it means
	// nothing while listening is false.
	steadySince time.Duration
	lastRead    time.Duration
	listening   bool
	latency     time.Duration
}

// NewListener returns a listener that has heard of nobody.
func NewListener(log platform.Log, clock steady.Clock) *Listener {
	return &Listener{log: log, clock: clock, heard: map[workload.LifeID]time.Duration{}}
}

// Start listens until the context ends.
func (l *Listener) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		next := platform.Offset(0)
		for ctx.Err() == nil {
			next = l.listen(ctx, next)
			select {
			case <-ctx.Done():
			case <-time.After(listenEvery):
			}
		}
		ended <- nil
	}()
	return ended
}

// listen reads what is new and returns where to read on, 0 if that is not known.
func (l *Listener) listen(ctx context.Context, next platform.Offset) platform.Offset {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if next == 0 {
		span, err := l.log.Span(ctx, Stream)
		if err != nil {
			l.lost()
			return 0
		}
		next = span.Next
	}
	sent := l.clock()
	records, err := l.log.Read(ctx, Stream, next, readLimit, 0)
	l.noteLatency(l.clock() - sent)
	if err != nil {
		l.lost()
		if errors.Is(err, platform.ErrTrimmed) {
			return 0
		}
		return next
	}
	l.take(records)
	if len(records) > 0 {
		next = records[len(records)-1].Offset + 1
	}
	return next
}

// noteLatency follows a log that grows slow at once, and one that recovers by halves.
func (l *Listener) noteLatency(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency = max(d, (l.latency+d)/2)
}

// LogLatency returns how long a call to the log takes at present.
func (l *Listener) LogLatency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latency
}

// lost notes that nothing can be heard.
func (l *Listener) lost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listening = false
}

func (l *Listener) take(records []platform.LogRecord) {
	now := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	// A gap means that this process stood still, and may have missed nothing.
	if !l.listening || now-l.lastRead > callTimeout+2*listenEvery {
		l.listening, l.steadySince = true, now
	}
	l.lastRead = now
	for _, r := range records {
		var b Heartbeat
		if json.Unmarshal(r.Payload, &b) == nil && b.Life != "" {
			l.heard[b.Life] = now
		}
	}
}

// Silence returns for how long nothing was heard of a life although the stream
// was read all the while. It is 0 if that cannot be told.
func (l *Listener) Silence(life workload.LifeID) time.Duration {
	now := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.listening || now-l.lastRead > callTimeout+2*listenEvery {
		return 0
	}
	since := l.steadySince
	if heard, known := l.heard[life]; known {
		since = max(since, heard)
	}
	return now - since
}

// RecordContact notes that a life was heard of by other means.
func (l *Listener) RecordContact(life workload.LifeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard[life] = l.clock()
}

// Retain forgets all lives but those for which the filter is true.
func (l *Listener) Retain(filter func(workload.LifeID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for life := range l.heard {
		if !filter(life) {
			delete(l.heard, life)
		}
	}
}
