package intake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/outage"
	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

const (
	// recheckInterval is the time between two decisions whether a call keeps waiting, and so the longest
	// time that it waits after the system has given up on it.
	recheckInterval = 50 * time.Millisecond
	// maxWait is the time within which a call without a deadline is answered.
	maxWait = 3 * time.Second
)

// RetryError is a refusal after which the caller may retry. The call had no effect.
type RetryError struct {
	// After is the time after which the caller should retry, in whole seconds.
	After time.Duration
	// Unavailable is how long the log has been unavailable, 0 if it is not known to be.
	Unavailable time.Duration
	// Err wraps ErrNotReady or ErrNotStored.
	Err error
}

// Error implements the error interface.
func (e *RetryError) Error() string {
	if e.Unavailable == 0 {
		return e.Err.Error()
	}
	return fmt.Sprintf("%v (log unavailable for %v)", e.Err, e.Unavailable.Round(time.Millisecond))
}

// Unwrap returns Err.
func (e *RetryError) Unwrap() error { return e.Err }

// logWatch is what the intake knows about the availability of the log. The zero value is ready to use.
type logWatch struct {
	mu      sync.Mutex
	tracker outage.Tracker
	waiters outage.Waiters
	// appendsFail is true while the newest known append failed.
	appendsFail bool
}

// withDelay returns ErrNotReady and ErrNotStored as a RetryError, other errors unchanged.
func (s *Service) withDelay(err error, p outage.Priority) error {
	if !errors.Is(err, ErrNotReady) && !errors.Is(err, ErrNotStored) {
		return err
	}
	s.observe(nil)
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	now := s.clock()
	refusal := &RetryError{Err: err, After: s.log.tracker.RetryAfter(now, p, rand.Float64())}
	if o, ongoing := s.log.tracker.Newest(); ongoing {
		refusal.Unavailable = max(now-o.Began, time.Millisecond)
	}
	s.metrics.GetOrCreateCounter(fmt.Sprintf(`corianderpass_calls_refused_total{outage="%t",priority="%d"}`, refusal.Unavailable > 0, p)).Inc()
	return refusal
}

// observe passes to the tracker what the journal knows about the log, and releases the waiting calls at
// the end of an outage. err is the result of a proposal, or nil.
func (s *Service) observe(err error) {
	reason := s.journal.DownReason()
	confirmed, known := s.journal.CompleteAsOf()
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	now := s.clock()
	if reason == nil && errors.Is(err, journal.ErrNotAppended) && failureOf(err) != outage.NoAnswer {
		// The log accepts appends again since it refused this one.
		reason = err
	}
	_, ongoing := s.log.tracker.Newest()
	if known && (reason == nil && !s.log.appendsFail || !ongoing) {
		s.record(confirmed, outage.Succeeded)
	}
	switch {
	case reason != nil:
		s.record(now, failureOf(reason))
	case s.log.appendsFail:
		s.record(now, outage.Succeeded)
	default:
		if age, succeeded := s.log.tracker.SinceSuccess(now); !succeeded || age > s.settings.MaxRefuseAge {
			s.record(now, outage.NoAnswer)
		}
	}
	s.log.appendsFail = reason != nil
}

// failureOf returns the outcome of a failed append.
func failureOf(err error) outage.Outcome {
	switch {
	case errors.Is(err, platform.ErrThrottled):
		return outage.Throttled
	case errors.Is(err, platform.ErrLogDown):
		return outage.Refused
	}
	return outage.NoAnswer
}

// record passes an outcome to the tracker. The lock must be held.
func (s *Service) record(at time.Duration, outcome outage.Outcome) {
	switch s.log.tracker.Observe(at, outcome) {
	case outage.NoChange:
	case outage.Began:
		o, _ := s.log.tracker.Newest()
		s.metrics.GetOrCreateCounter(fmt.Sprintf("corianderpass_log_outages_total{cause=%q}", o.Cause)).Inc()
		s.logger.Warn("log is unavailable", "cause", o.Cause.String(), "unavailable_ms", (at - o.Began).Milliseconds(), "expected_ms", s.log.tracker.Remaining(at).Milliseconds())
	case outage.Ended:
		o, _ := s.log.tracker.Newest()
		s.metrics.GetOrCreateHistogram("corianderpass_log_outage_seconds").Update(o.Length.Seconds())
		s.logger.Info("log is available again", "cause", o.Cause.String(), "unavailable_ms", o.Length.Milliseconds(), "failures", o.Failures, "waiting_calls", s.log.waiters.Len())
		s.log.waiters.Release()
	}
}

// retry calls attempt until it returns an error other than ErrNotReady and journal.ErrNotAppended, or nil.
// Between two attempts it waits for the log. It returns the error of the last attempt if the log is not
// expected to be back in time for the answer. attempt also returns the priority of the call.
func (s *Service) retry(ctx context.Context, attempt func() (outage.Priority, error)) error {
	var waited time.Duration
	for {
		p, err := attempt()
		s.observe(err)
		if !errors.Is(err, ErrNotReady) && !errors.Is(err, journal.ErrNotAppended) {
			s.countWait(waited, "continued")
			return err
		}
		started := s.clock()
		released := s.wait(ctx, p)
		waited += s.clock() - started
		if !released {
			s.countWait(waited, "refused")
			if errors.Is(err, ErrNotReady) {
				return s.withDelay(err, p)
			}
			return err
		}
	}
}

// countWait adds the time that a call waited to the metrics, unless it did not wait.
func (s *Service) countWait(waited time.Duration, result string) {
	if waited > 0 {
		s.metrics.GetOrCreateHistogram(fmt.Sprintf("corianderpass_log_wait_seconds{result=%q}", result)).Update(waited.Seconds())
	}
}

// wait waits for the log to be back. It returns false as soon as the call should not wait.
func (s *Service) wait(ctx context.Context, p outage.Priority) bool {
	deadline := s.deadlineOf(ctx)
	waiter := s.addWaiter(p)
	defer s.removeWaiter(waiter)
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		changed := s.journal.Changed()
		s.observe(nil)
		if should, _ := s.shouldWait(deadline); !should {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case delay := <-waiter.Released():
			sleep(ctx, delay)
			return true
		case <-changed:
			// If the log is back, the next observation releases the call.
		case <-ticker.C:
			if _, ongoing := s.shouldWait(deadline); !ongoing && len(waiter.Released()) == 0 {
				// After an outage, the bundle or the state is not recent yet.
				return true
			}
		}
	}
}

// shouldWait reports whether a call with the deadline should wait, and whether there is an outage.
func (s *Service) shouldWait(deadline time.Duration) (should, ongoing bool) {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	_, ongoing = s.log.tracker.Newest()
	return s.log.tracker.ShouldWait(s.clock(), deadline), ongoing
}

// deadlineOf returns the time of the clock at which the context ends, or until which a call without a
// deadline may wait.
func (s *Service) deadlineOf(ctx context.Context) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return s.clock() + time.Until(d)
	}
	return s.clock() + maxWait
}

func (s *Service) addWaiter(p outage.Priority) *outage.Waiter {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	s.metrics.GetOrCreateGauge("corianderpass_calls_waiting", nil).Inc()
	return s.log.waiters.Add(p)
}

func (s *Service) removeWaiter(w *outage.Waiter) {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	s.metrics.GetOrCreateGauge("corianderpass_calls_waiting", nil).Dec()
	s.log.waiters.Remove(w)
}

// proposeSubmission proposes the submission of a job. Unless its result becomes known, it remains in
// undecided.
func (s *Service) proposeSubmission(ctx context.Context, spec workload.JobSpec) error {
	pending, err := s.journal.Enqueue(workload.Record{Submit: &workload.Submit{Spec: spec}})
	if err != nil {
		return err
	}
	s.undecided.add(spec.ID, pending)
	decided, err := s.await(ctx, pending)
	if decided {
		s.undecided.remove(spec.ID, pending)
	}
	return err
}

// proposeCancellation proposes the cancellation of a job.
func (s *Service) proposeCancellation(ctx context.Context, g Grant, id workload.JobID) error {
	pending, err := s.journal.Enqueue(workload.Record{Cancel: &workload.Cancel{Job: id, Queue: g.Queue.Name, Organisation: g.Organisation}})
	if err != nil {
		return err
	}
	_, err = s.await(ctx, pending)
	return err
}

// await waits for the result of a proposal. If the log turns out to be unavailable, or the context ends,
// it withdraws the proposal unless that is part of an append. decided is false if the result is not known.
func (s *Service) await(ctx context.Context, pending *journal.Pending) (decided bool, result error) {
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-pending.Done():
			return true, err
		case <-ctx.Done():
			if pending.Withdraw() {
				return true, fmt.Errorf("withdrawn before it was sent: %w", journal.ErrNotAppended)
			}
			return false, fmt.Errorf("no result before the deadline: %w", journal.ErrFateUnknown)
		case <-ticker.C:
			if reason := s.journal.DownReason(); reason != nil && pending.Withdraw() {
				return true, fmt.Errorf("withdrawn before it was sent: %w: %w", journal.ErrNotAppended, reason)
			}
		}
	}
}

// sleep waits until the duration has passed or the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
