// Package presence detects workers whose agents no longer reach the platform's log. The agents
// append heartbeats to the stream Presence, which is not folded into any state. A Listener in
// each entry reads that stream, and the scheduler suspects workers whose heartbeats are missing
// for too long. Missing heartbeats alone do not end leases: the workload decides that later, by a
// Lapse record for the suspected worker.
package presence

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/monotonic"
	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

// Stream is the stream to which agents append heartbeats.
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
	options := platform.AppendOptions{Urgency: platform.UrgencyReported, Key: string(heartbeat.Life)}
	if _, err := platform.AppendWith(ctx, log, Stream, payload, options); err != nil {
		return fmt.Errorf("presence: append: %w", err)
	}
	return nil
}

// Listener records when it last read a heartbeat of each worker. It is safe for concurrent use.
// It must be created with NewListener.
type Listener struct {
	log   platform.Log
	clock monotonic.Clock

	mu sync.Mutex
	// lastContact is the time of the latest heartbeat or RecordContact of each life, on the
	// listener's clock. For a heartbeat it is the time at which the listener read it.
	lastContact map[workload.LifeID]time.Duration
	// reading is true if the latest read succeeded. readingSince is then the time of the first
	// successful read after the latest failure or gap, and lastRead that of the latest read.
	readingSince time.Duration
	lastRead     time.Duration
	reading      bool
	// latency is the smoothed duration of a read. peakLatency falls more slowly: by an eighth with each
	// read, half of it in about 3 s.
	latency, peakLatency time.Duration
}

// NewListener returns a listener without any recorded heartbeats. It does not read before Start.
func NewListener(log platform.Log, clock monotonic.Clock) *Listener {
	return &Listener{log: log, clock: clock, lastContact: map[workload.LifeID]time.Duration{}}
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

// readNew reads the records from offset next on and returns the offset of the following read. An
// offset of 0 stands for the current end of the stream: heartbeats appended earlier are skipped.
func (l *Listener) readNew(ctx context.Context, next platform.Offset) platform.Offset {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if next == 0 {
		span, err := l.log.Span(ctx, Stream)
		if err != nil {
			l.markReadFailed()
			return 0
		}
		next = span.Next
	}
	sentAt := l.clock()
	records, err := l.log.Read(ctx, Stream, next, readLimit, 0)
	l.updateLatency(l.clock() - sentAt)
	if err != nil {
		l.markReadFailed()
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

// updateLatency updates the latency with the duration d of a read. It follows an increase
// immediately, and a decrease by half of the difference.
func (l *Listener) updateLatency(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency = max(d, (l.latency+d)/2)
	l.peakLatency = max(d, l.peakLatency*7/8)
}

// slowLogCalls times the peak latency of the log is the silence that a slow log explains: a heartbeat is
// appended after those of other agents that wait, and some are refused and lost.
const slowLogCalls = 16

// ExpectedDelay returns how much longer than usual the silence of a life may be because the log is slow or
// was slow some seconds ago.
func (l *Listener) ExpectedDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slowLogCalls * l.peakLatency
}

// LogLatency returns how long a read of the log currently takes, failed reads included. An increase
// shows immediately, a decrease with a delay of some reads.
func (l *Listener) LogLatency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latency
}

// markReadFailed records that the stream could not be read. Silence then returns 0, since missing
// heartbeats mean nothing while no reads succeed.
func (l *Listener) markReadFailed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reading = false
}

// record records the time of a successful read and the heartbeats that it returned.
func (l *Listener) record(records []platform.LogRecord) {
	now := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	// A long gap between two reads means that this process was paused, not that heartbeats
	// were missing.
	if !l.reading || now-l.lastRead > callTimeout+2*readInterval {
		l.reading, l.readingSince = true, now
	}
	l.lastRead = now
	for _, r := range records {
		var heartbeat Heartbeat
		if json.Unmarshal(r.Payload, &heartbeat) == nil && heartbeat.Life != "" {
			l.lastContact[heartbeat.Life] = now
		}
	}
}

// Silence returns the time since the latest heartbeat or RecordContact of a life. It counts only
// the time in which the stream has been read without a failure or gap; it is 0 if the latest read
// failed or is too long ago.
func (l *Listener) Silence(life workload.LifeID) time.Duration {
	now := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.reading || now-l.lastRead > callTimeout+2*readInterval {
		return 0
	}
	since := l.readingSince
	if contactAt, known := l.lastContact[life]; known {
		since = max(since, contactAt)
	}
	return now - since
}

// RecordContact records that a life is present, as a heartbeat does. It is meant for workers of
// which the caller has other evidence than the stream.
func (l *Listener) RecordContact(life workload.LifeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastContact[life] = l.clock()
}

// Retain removes the time of the last contact of each life for which the filter returns
// false.
func (l *Listener) Retain(filter func(workload.LifeID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for life := range l.lastContact {
		if !filter(life) {
			delete(l.lastContact, life)
		}
	}
}
