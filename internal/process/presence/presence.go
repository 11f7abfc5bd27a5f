// Package presence detects workers whose agents no longer reach the platform's log. Each agent
// appends heartbeats to a stream of their own, which is not folded into any state; a Listener
// in each entry reads it. A worker without heartbeats is only suspected: whether its leases
// have expired is decided by the workload.
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

// Stream is the stream of heartbeats.
const Stream platform.Stream = "Presence"

const (
	// HeartbeatInterval is the time between two heartbeats of an agent.
	HeartbeatInterval = time.Second
	// readInterval is the time between two reads of the stream.
	readInterval = 500 * time.Millisecond
	// callTimeout limits one call to the log.
	callTimeout = 800 * time.Millisecond
	// readLimit is the largest number of records requested in one read.
	readLimit = 1000
)

// Heartbeat is one record of the stream: the life of the worker whose agent appended it.
type Heartbeat struct{ Life workload.LifeID }

// Send appends a heartbeat to the stream.
func Send(ctx context.Context, log platform.Log, heartbeat Heartbeat) error {
	payload, err := json.Marshal(heartbeat)
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

// Listener records when each worker was last heard from. It is safe for concurrent use. It must
// be created with NewListener.
type Listener struct {
	log   platform.Log
	clock steady.Clock

	mu sync.Mutex
	// lastHeard is when each life was last heard from, on the listener's clock.
	lastHeard map[workload.LifeID]time.Duration
	// readingSince is when reads began to succeed without a gap. It is valid only if reading is
	// true.
	readingSince time.Duration
	lastRead     time.Duration
	reading      bool
	latency      time.Duration
}

// NewListener returns a listener that has not heard from any worker.
func NewListener(log platform.Log, clock steady.Clock) *Listener {
	return &Listener{log: log, clock: clock, lastHeard: map[workload.LifeID]time.Duration{}}
}

// Start reads the stream until the context ends. The returned channel then receives nil.
func (l *Listener) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		next := platform.Offset(0)
		for ctx.Err() == nil {
			next = l.readNew(ctx, next)
			select {
			case <-ctx.Done():
			case <-time.After(readInterval):
			}
		}
		done <- nil
	}()
	return done
}

// readNew reads the new records once and returns the offset to read from next, 0 if it must be
// looked up.
func (l *Listener) readNew(ctx context.Context, next platform.Offset) platform.Offset {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if next == 0 {
		span, err := l.log.Span(ctx, Stream)
		if err != nil {
			l.markLost()
			return 0
		}
		next = span.Next
	}
	sent := l.clock()
	records, err := l.log.Read(ctx, Stream, next, readLimit, 0)
	l.updateLatency(l.clock() - sent)
	if err != nil {
		l.markLost()
		if errors.Is(err, platform.ErrTrimmed) {
			return 0
		}
		return next
	}
	l.record(records)
	if len(records) > 0 {
		next = records[len(records)-1].Offset + 1
	}
	return next
}

// updateLatency adopts an increase immediately and a decrease by half the difference per call.
func (l *Listener) updateLatency(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency = max(d, (l.latency+d)/2)
}

// LogLatency returns the current duration of a call to the log, slightly smoothed.
func (l *Listener) LogLatency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latency
}

// markLost records that the stream could not be read, so that no silence can be measured.
func (l *Listener) markLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reading = false
}

// record records the heartbeats and the time of a successful read.
func (l *Listener) record(records []platform.LogRecord) {
	now := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	// A long gap between reads means that this process was paused, not that workers were silent.
	if !l.reading || now-l.lastRead > callTimeout+2*readInterval {
		l.reading, l.readingSince = true, now
	}
	l.lastRead = now
	for _, r := range records {
		var heartbeat Heartbeat
		if json.Unmarshal(r.Payload, &heartbeat) == nil && heartbeat.Life != "" {
			l.lastHeard[heartbeat.Life] = now
		}
	}
}

// Silence returns how long nothing was heard from a life while the stream was read without a
// gap. It is 0 if the stream could not be read lately.
func (l *Listener) Silence(life workload.LifeID) time.Duration {
	now := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.reading || now-l.lastRead > callTimeout+2*readInterval {
		return 0
	}
	since := l.readingSince
	if heardAt, known := l.lastHeard[life]; known {
		since = max(since, heardAt)
	}
	return now - since
}

// RecordContact records that a life was heard from by other means than the stream.
func (l *Listener) RecordContact(life workload.LifeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastHeard[life] = l.clock()
}

// Retain removes all lives for which the filter returns false.
func (l *Listener) Retain(filter func(workload.LifeID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for life := range l.lastHeard {
		if !filter(life) {
			delete(l.lastHeard, life)
		}
	}
}
