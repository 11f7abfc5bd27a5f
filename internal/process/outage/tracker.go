// Package outage decides how an entry treats its callers' calls while the log is unavailable: which
// calls wait until it is back, in which order they continue, and after which time the callers of the
// others should retry. The decisions take the time and random numbers as arguments and do no I/O.
// Package intake makes the observations and carries the decisions out.
package outage

import (
	"math"
	"slices"
	"time"
)

const (
	// Attempts is the number of calls that a caller makes for one job: the first and four retries.
	Attempts = 5
	// plannedLength is the length of an outage of unknown length for which Attempts must be enough.
	plannedLength = 10 * time.Second
	// overdueLength is the length from which an outage is no longer expected to end soon. It exceeds
	// plannedLength by more than the time that this process needs to detect the end.
	overdueLength = 12 * time.Second
	// quietTime is the longest time between two successes while the log is available: a read waits
	// for a second if there are no new records.
	quietTime = time.Second
	// overdueRemaining is the expected rest of an outage that is longer than overdueLength.
	overdueRemaining = 5 * time.Second
	// minRemaining is the least expected rest of an outage: the log is probed every 250 ms.
	minRemaining = 200 * time.Millisecond
	// resumeTime is the time from the end of an outage to the answer to a call that waited: the
	// interval between two probes of the log and an append.
	resumeTime = 300 * time.Millisecond
	// settleTime is how long after an outage calls still wait for what is not yet up to date. A
	// read that was sent in the outage and gets no answer fails after 1.7 s, and the next one
	// confirms the state.
	settleTime = 2 * time.Second
	// retryDelay is the time after which callers retry if no outage is known. Another entry, or this
	// one, can usually answer by then.
	retryDelay = time.Second
	// minOutageRetryDelay is the least time after which callers retry in an outage that has lasted
	// shortOutage. Three of them after one retryDelay, and the wait of the fifth call, exceed plannedLength.
	minOutageRetryDelay = 2 * time.Second
	// shortOutage is the length up to which an outage is expected to end within retryDelay. Callers
	// of a short outage then return soon after its end.
	shortOutage = 2 * time.Second
	// maxOutageRetryDelay bounds the time for which a caller waits needlessly if the outage ends
	// earlier than expected.
	maxOutageRetryDelay = 5 * time.Second
	// spreadSeconds is the number of seconds over which the retries of calls that are not urgent are
	// spread. Those of urgent calls are not, so that they come first.
	spreadSeconds = 2
	// historyLength is the number of earlier outages from which the length of one is estimated.
	historyLength = 8
)

// Priority is the priority of a queue; 0 is the most urgent.
type Priority int

// Outcome is what a process observed of the log.
type Outcome int

const (
	// Succeeded means that the log answered an append or a read.
	Succeeded Outcome = iota
	// Refused means that the log refused a call, or could not be connected to.
	Refused
	// Throttled means that the log refused a call because of its rate limit.
	Throttled
	// NoAnswer means that a call got no answer.
	NoAnswer
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	switch o {
	case Succeeded:
		return "Succeeded"
	case Refused:
		return "Refused"
	case Throttled:
		return "Throttled"
	}
	return "NoAnswer"
}

// Change is the effect of an observation.
type Change int

const (
	// NoChange means that the log is available, or unavailable, as before.
	NoChange Change = iota
	// Began means that an outage was detected.
	Began
	// Ended means that the log is back.
	Ended
)

// Outage is a time in which the log is unavailable to this process.
type Outage struct {
	// Began is the time of the first failure, or quietTime after the last success if that is earlier.
	// The outage may have begun up to quietTime before it.
	Began time.Duration
	// Length is the time from Began to the first success, 0 before that.
	Length time.Duration
	// Cause is the outcome of the first failure.
	Cause Outcome
	// Failures is the number of failures observed.
	Failures int
}

// Tracker follows the outages of the log as one process observes them, and estimates how long the
// current one will continue. Times are readings of one monotonic clock. The zero value has observed
// nothing and is ready to use. It is not safe for concurrent use.
type Tracker struct {
	// lastSuccess is the time of the newest success; valid only if succeeded is true.
	lastSuccess time.Duration
	succeeded   bool
	// current is the current outage, or the newest one if ongoing is false.
	current Outage
	ongoing bool
	// lengths has the lengths of the newest outages that ended, at most historyLength.
	lengths []time.Duration
}

// Observe records an outcome at the time now. A success that is not newer than an earlier one changes
// nothing. While appends fail, the caller must not report successful reads.
func (t *Tracker) Observe(now time.Duration, o Outcome) Change {
	if o != Succeeded {
		return t.observeFailure(now, o)
	}
	if t.succeeded && now <= t.lastSuccess {
		return NoChange
	}
	t.lastSuccess, t.succeeded = now, true
	if !t.ongoing {
		return NoChange
	}
	t.ongoing = false
	t.current.Length = max(now-t.current.Began, 0)
	t.lengths = append(t.lengths, t.current.Length)
	t.lengths = t.lengths[max(len(t.lengths)-historyLength, 0):]
	return Ended
}

func (t *Tracker) observeFailure(now time.Duration, o Outcome) Change {
	if t.ongoing {
		t.current.Failures++
		return NoChange
	}
	t.ongoing = true
	t.current = Outage{Began: now, Cause: o, Failures: 1}
	if t.succeeded {
		t.current.Began = min(t.lastSuccess+quietTime, now)
	}
	return Began
}

// Newest returns the newest outage, and whether it is going on.
func (t *Tracker) Newest() (Outage, bool) { return t.current, t.ongoing }

// SinceSuccess returns the time since the newest success, and false if there was none.
func (t *Tracker) SinceSuccess(now time.Duration) (time.Duration, bool) {
	return now - t.lastSuccess, t.succeeded
}

// Remaining returns the time that the current outage is expected to continue, 0 if there is none. It
// is the mean over the earlier outages that lasted longer than this one has, and over one of unknown
// length, so that a single long outage does not determine the estimate.
func (t *Tracker) Remaining(now time.Duration) time.Duration {
	if !t.ongoing {
		return 0
	}
	elapsed := now - t.current.Began
	sum, n := unknownRemaining(elapsed), time.Duration(1)
	for _, l := range t.lengths {
		if l > elapsed {
			sum += l - elapsed
			n++
		}
	}
	return sum / n
}

// unknownRemaining returns the expected rest of an outage of unknown length: as long again as it has
// lasted, but not beyond plannedLength. After overdueLength nothing is known.
func unknownRemaining(elapsed time.Duration) time.Duration {
	if elapsed >= overdueLength {
		return overdueRemaining
	}
	return max(min(elapsed, plannedLength-elapsed), minRemaining)
}

// ShouldWait reports whether a call that must be answered by the deadline should wait for the log. In
// an outage it should if the log is expected to be back in time. For settleTime after one it should,
// since what it needs becomes available soon.
func (t *Tracker) ShouldWait(now, deadline time.Duration) bool {
	if !t.ongoing && (t.current.Failures == 0 || now-t.lastEnd() > settleTime) {
		return false
	}
	return now+t.Remaining(now)+resumeTime <= deadline
}

// lastEnd returns the end of the newest outage, which must have ended.
func (t *Tracker) lastEnd() time.Duration { return t.current.Began + t.current.Length }

// RetryAfter returns the time after which the caller of a refused call should retry, in whole
// seconds. random is a random number from 0 up to but not including 1.
//
// An outage of unknown length gets the least delay: if it ended during a longer one, the caller would
// wait for longer than it must, and with the least delay Attempts are still enough for plannedLength.
func (t *Tracker) RetryAfter(now time.Duration, p Priority, random float64) time.Duration {
	delay := retryDelay
	if t.ongoing {
		elapsed := now - t.current.Began
		if elapsed >= shortOutage {
			delay = minOutageRetryDelay
		}
		if elapsed >= overdueLength || slices.ContainsFunc(t.lengths, func(l time.Duration) bool { return l > elapsed }) {
			expected := time.Duration(math.Ceil(t.Remaining(now).Seconds())) * time.Second
			delay = max(delay, min(expected, maxOutageRetryDelay))
		}
	}
	if p > 0 {
		delay += time.Duration(random*spreadSeconds) * time.Second
	}
	return delay
}
