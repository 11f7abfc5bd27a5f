// Package backlog decides when appends that wait for the log are sent, and which of them in one call. The log
// processes the appends of a stream one at a time and refuses those that would wait for too long, so that
// calls sent early or repeated at once only take the place of others. A Backlog therefore groups all that waits
// into few calls, spaces them by the latency that it observes, and repeats refused ones after growing pauses.
// It takes the time and random numbers as arguments and does no I/O. Package relay makes the calls.
package backlog

import (
	"slices"
	"time"

	"corianderpass/pkg/platform"
)

const (
	// pipelineDepth is the number of calls under way at the same time, so that the log need not wait for the
	// next call while an answer travels. Calls that are overdue are not counted.
	pipelineDepth = 3
	// maxUnderWay is the number of calls under way with those that are overdue.
	maxUnderWay = 16
	// minSpacing is the least time between two calls.
	minSpacing = 2 * time.Millisecond
	// A call is overdue after overdueFactor times the time that calls take, and at least minOverdue.
	overdueFactor = 4
	minOverdue    = 50 * time.Millisecond
	// groupTime is the longest time that appends of the lowest urgency wait for others to share their call.
	groupTime = 100 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the pause after a refused call. It doubles with each refusal.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// maxRetries is the number of times that refused appends are sent again.
	maxRetries = 4
)

// Append is one append that waits.
type Append[T any] struct {
	Urgency platform.Urgency
	// Key names the writer of the append; an append replaces one with the same key that still waits.
	// Empty if it replaces none.
	Key string
	// Bytes is the size of the append in a call.
	Bytes int
	// Value is the append itself.
	Value T
}

// Call is a call to the log that has not ended.
type Call[T any] struct {
	// Appends are in the order in which the log must append them. There is at least one.
	Appends []Append[T]
	sentAt  time.Duration
}

// Age returns the time since the call was sent.
func (c *Call[T]) Age(now time.Duration) time.Duration { return now - c.sentAt }

// Outcome is the result of a call.
type Outcome int

const (
	// Succeeded means that the appends are in the log.
	Succeeded Outcome = iota
	// Refused means that the log has not accepted the appends, but serves other calls.
	Refused
	// Unanswered means that the call got no answer, but that the log serves other calls.
	Unanswered
	// Failed means that the log serves no calls.
	Failed
)

// Backlog has the appends to one stream that wait. Times are readings of one monotonic clock. The zero value is
// ready to use. It is not safe for concurrent use.
type Backlog[T any] struct {
	// MaxBytes is the largest size of a call; a larger append is sent alone. 0 means no limit.
	MaxBytes int

	// waiting is sorted by urgency, appends of one urgency by age.
	waiting []Append[T]
	// waitingSince is the time of the newest call, or of the first Add after waiting was empty.
	waitingSince time.Duration
	// underWay has the calls that have not ended, the oldest first.
	underWay []*Call[T]
	// lastSentAt is when the newest call was sent; valid only if sent is true.
	lastSentAt time.Duration
	sent       bool
	// latency is the smoothed duration of the calls that succeeded.
	latency time.Duration
	// probed is the duration of the newest probe, or that of a later call if it was shorter.
	probed time.Duration
	// probing is true while a probe is under way. probedAt is when the newest one was sent.
	probing  bool
	probedAt time.Duration
	// refusals counts the calls refused since the last one that succeeded. No call is sent before retryAt.
	refusals int
	retryAt  time.Duration
}

// Latency returns how long a call is expected to take; 0 before the first has succeeded.
func (b *Backlog[T]) Latency() time.Duration { return max(b.latency, b.probed) }

// isOverdue reports whether the call has taken much longer than expected: the answer is probably lost.
func (b *Backlog[T]) isOverdue(c *Call[T], now time.Duration) bool {
	return c.Age(now) >= b.OverdueTime()
}

// OverdueTime returns the time after which a call is overdue.
func (b *Backlog[T]) OverdueTime() time.Duration { return max(overdueFactor*b.Latency(), minOverdue) }

// Probe reports whether a probe is due, a read that the log answers without delay, and marks it as sent. It
// shows whether the answer of an overdue call is lost or the log has become slow.
func (b *Backlog[T]) Probe(now time.Duration) bool {
	if b.probing || len(b.underWay) == 0 {
		return false
	}
	newest := b.underWay[len(b.underWay)-1]
	if !b.isOverdue(b.underWay[0], now) || b.probedAt > newest.sentAt && now-b.probedAt < b.OverdueTime() {
		return false
	}
	b.probing, b.probedAt = true, now
	return true
}

// EndProbe records the duration of a probe, or that it got no answer.
func (b *Backlog[T]) EndProbe(d time.Duration, answered bool) {
	b.probing = false
	if answered {
		b.probed = d
	}
}

// Refused reports whether the log has refused calls since the last one that succeeded.
func (b *Backlog[T]) Refused() bool { return b.refusals > 0 }

// Len returns the number of appends that wait.
func (b *Backlog[T]) Len() int { return len(b.waiting) }

// Add adds an append. It returns the one that it replaces, if any.
func (b *Backlog[T]) Add(now time.Duration, a Append[T]) (replaced Append[T], found bool) {
	if len(b.waiting) == 0 {
		b.waitingSince = now
	}
	if a.Key != "" {
		if i := slices.IndexFunc(b.waiting, func(w Append[T]) bool { return w.Key == a.Key }); i >= 0 {
			replaced, found = b.waiting[i], true
			b.waiting = slices.Delete(b.waiting, i, i+1)
		}
	}
	i := slices.IndexFunc(b.waiting, func(w Append[T]) bool { return w.Urgency > a.Urgency })
	if i < 0 {
		i = len(b.waiting)
	}
	b.waiting = slices.Insert(b.waiting, i, a)
	return replaced, found
}

// Remove removes the waiting appends for which the filter returns true, and reports whether there were any.
func (b *Backlog[T]) Remove(filter func(T) bool) bool {
	before := len(b.waiting)
	b.waiting = slices.DeleteFunc(b.waiting, func(a Append[T]) bool { return filter(a.Value) })
	return len(b.waiting) < before
}

// Next returns the call that is due, nil if there is none. In that case, again is the time after which to
// ask again and whether a probe is due, 0 if not before the next Add, End or EndProbe.
func (b *Backlog[T]) Next(now time.Duration) (call *Call[T], again time.Duration) {
	if len(b.waiting) == 0 {
		return nil, 0
	}
	if due := b.dueAt(); now < due {
		return nil, due - now
	}
	if full, until := b.isFull(now); full {
		return nil, max(until-now, 0)
	}
	n, bytes := 0, 0
	for n < len(b.waiting) && (n == 0 || b.MaxBytes == 0 || bytes+b.waiting[n].Bytes <= b.MaxBytes) {
		bytes += b.waiting[n].Bytes
		n++
	}
	call = &Call[T]{Appends: slices.Clone(b.waiting[:n]), sentAt: now}
	b.waiting = slices.Delete(b.waiting, 0, n)
	b.waitingSince = now
	b.underWay = append(b.underWay, call)
	b.lastSentAt, b.sent = now, true
	return call, 0
}

// isFull reports whether too many calls are under way, and the time at which the oldest of them is overdue.
// After a refusal one call is enough to find whether the log accepts appends again. While no probe has shown that the log is as fast as before, overdue calls are counted too.
func (b *Backlog[T]) isFull(now time.Duration) (full bool, until time.Duration) {
	counted := 0
	for _, c := range b.underWay {
		if b.isOverdue(c, now) && !b.probing && b.probedAt > c.sentAt {
			continue
		}
		if counted++; counted == 1 {
			until = c.sentAt + b.OverdueTime()
		}
	}
	limit := pipelineDepth
	if b.refusals > 0 {
		limit = 1
	}
	return counted >= limit || len(b.underWay) >= maxUnderWay, until
}

// dueAt returns the time from which the next call may be sent. Something must wait.
func (b *Backlog[T]) dueAt() time.Duration {
	due := b.retryAt
	if b.sent {
		due = max(due, b.lastSentAt+max(b.Latency()/pipelineDepth, minSpacing))
	}
	if b.waiting[0].Urgency == platform.UrgencyReported {
		due = max(due, b.waitingSince+groupTime)
	}
	return due
}

// End records the outcome of a call, and returns the appends that the log will not get: after a refusal those
// that were sent maxRetries times, after a failure all that wait. random is a random number from 0 up to but
// not including 1.
func (b *Backlog[T]) End(now time.Duration, call *Call[T], outcome Outcome, random float64) []Append[T] {
	b.underWay = slices.DeleteFunc(b.underWay, func(c *Call[T]) bool { return c == call })
	switch outcome {
	case Succeeded:
		d := call.Age(now)
		b.latency = max(d, (b.latency+d)/2)
		b.probed = min(b.probed, d)
		b.refusals, b.retryAt = 0, 0
		return nil
	case Refused:
		return b.endRefused(now, call, random)
	case Unanswered:
		return nil
	}
	dropped := b.waiting
	b.waiting = nil
	return dropped
}

// endRefused puts the appends of the call back in front of the others of their urgency, unless the log has
// refused too often.
func (b *Backlog[T]) endRefused(now time.Duration, call *Call[T], random float64) []Append[T] {
	if b.refusals == 0 || call.sentAt >= b.retryAt {
		// Calls sent together with one that was refused before count once.
		delay := min(max(b.Latency()/pipelineDepth, minRetryDelay)<<b.refusals, maxRetryDelay)
		b.refusals++
		b.retryAt = now + delay/2 + time.Duration(random*float64(delay/2))
	}
	if b.refusals > maxRetries {
		b.refusals = maxRetries
		dropped := append(call.Appends, b.waiting...)
		b.waiting = nil
		return dropped
	}
	newer := b.waiting
	b.waiting = nil
	for _, a := range call.Appends {
		b.Add(call.sentAt, a)
	}
	for _, a := range newer {
		b.Add(call.sentAt, a)
	}
	return nil
}
