package runner

import (
	"fmt"
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/workload"
)

// lossCause is why the runs of a life were lost with it.
type lossCause string

const (
	// lossCrashed means that the minion ended without notice, soon after it had answered.
	lossCrashed lossCause = "Crashed"
	// lossLeft means that the minion had announced that it would leave.
	lossLeft lossCause = "Left"
	// lossSilent means that the minion had not answered for some time, so that the runs may have
	// ended before it did, with their leases for example.
	lossSilent lossCause = "Silent"
)

// maxLoggedRuns limits the runs that one log line names.
const maxLoggedRuns = 8

// noteFailure updates brokenAt and refused after an order that got no answer.
func (l *minionLife) noteFailure(err error, now time.Duration) {
	refused := errors.Is(err, syscall.ECONNREFUSED)
	l.refused = l.refused || refused
	if l.brokenAt == 0 && (refused || isBrokenOff(err)) {
		l.brokenAt = now
	}
}

// noteAnswer resets brokenAt and refused after an order that was answered.
func (l *minionLife) noteAnswer() { l.brokenAt, l.refused = 0, false }

// isBrokenOff reports whether the error of an order means that its connection was closed before the answer.
func isBrokenOff(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// lastContact returns when the minion last answered a poll or accepted a start.
func (l *minionLife) lastContact() time.Duration {
	at := l.lastAnswerAt
	for _, run := range l.runs {
		if run.phase == phaseStarted {
			at = max(at, run.startedAt)
		}
	}
	return at
}

// foundAt returns when the life was found to have ended, at the latest now.
func (l *minionLife) foundAt(now time.Duration) time.Duration {
	if l.brokenAt > 0 {
		return l.brokenAt
	}
	return now
}

// lossCause returns why the life ended, given the time at which the next life was found.
func (l *minionLife) lossCause(now time.Duration) lossCause {
	switch {
	case l.draining || l.leaving:
		return lossLeft
	case l.foundAt(now)-l.lastContact() > unresponsiveAfter:
		return lossSilent
	}
	return lossCrashed
}

// lostRuns returns the tasks whose runs the life had begun, or may have, and has not reported as ended,
// in the order of TaskRef.Compare. The next life, whose first status is given, lists a run that it has
// begun itself: its start arrived after the end of this life.
func (l *minionLife) lostRuns(next Status) []workload.TaskRef {
	var lost []workload.TaskRef
	for ref, run := range l.runs {
		if run.mayHoldRoom() && !next.listsRunning(ref, run.number) && !next.listsEnded(ref, run.number) && !l.listsEnded(ref, run.number) {
			lost = append(lost, ref)
		}
	}
	slices.SortFunc(lost, workload.TaskRef.Compare)
	return lost
}

const (
	// recentTime is the longest time from the order of a run until its life was found to have ended for
	// which the run counts as recent.
	recentTime = 500 * time.Millisecond
	// batchTime is the longest time between two orders for which it is unknown which of the runs has
	// crashed the life.
	batchTime = 50 * time.Millisecond
)

// implicated returns the lost runs that may have crashed the life: the recent ones if there are any,
// otherwise all. It returns nil if the life did not crash or if the runs may have ended before. now is the
// time at which the next life was found.
func (l *minionLife) implicated(lost []workload.TaskRef, now time.Duration) []workload.Crash {
	if l.lossCause(now) != lossCrashed {
		return nil
	}
	endedAt := l.foundAt(now)
	// An order that was sent to a minion that had crashed already is not to blame.
	lost = slices.DeleteFunc(slices.Clone(lost), func(ref workload.TaskRef) bool { return l.runs[ref].orderedAt > endedAt })
	newest := l.newestRuns(lost)
	var recent, others []workload.Crash
	for _, ref := range lost {
		run := l.runs[ref]
		c := workload.Crash{Task: ref, Run: run.number}
		if run.phase == phaseStarted {
			c.Ran = l.lastContact() - run.startedAt
		}
		if endedAt-run.orderedAt > recentTime {
			others = append(others, c)
			continue
		}
		c.Early = slices.Contains(newest, ref)
		recent = append(recent, c)
	}
	if len(recent) > 0 {
		return recent
	}
	return others
}

// newestRuns returns those of the lost runs to which an early crash is attributed: a task that crashes its
// minions as it starts is the last one to start there. If the start of one newest run was broken off, it is
// that run, since the minion crashed before it answered; if those of several were, the minion may not have
// begun them, and the result is empty. Otherwise all newest runs are returned whose starts were confirmed.
func (l *minionLife) newestRuns(lost []workload.TaskRef) []workload.TaskRef {
	newestAt := time.Duration(0)
	for _, ref := range lost {
		newestAt = max(newestAt, l.runs[ref].orderedAt)
	}
	var confirmed, brokenOff []workload.TaskRef
	for _, ref := range lost {
		run := l.runs[ref]
		switch {
		case newestAt-run.orderedAt > batchTime:
		case run.phase == phaseStarted:
			confirmed = append(confirmed, ref)
		case run.brokenOff:
			brokenOff = append(brokenOff, ref)
		}
	}
	switch len(brokenOff) {
	case 0:
		return confirmed
	case 1:
		return brokenOff
	}
	return nil
}

// probableCrashes returns the crashes of the life if the minion has had no listener since soon after it last
// answered. It may have been cut off instead, and run on.
func (l *minionLife) probableCrashes() []workload.Crash {
	if !l.refused {
		return nil
	}
	return l.implicated(l.lostRuns(Status{}), l.brokenAt)
}

// logLoss logs and counts the runs that were lost with the life.
func (r *Runner) logLoss(l *minionLife, lost []workload.TaskRef) {
	cause := l.lossCause(r.clock())
	var runs []string
	for _, ref := range lost[:min(len(lost), maxLoggedRuns)] {
		runs = append(runs, fmt.Sprintf("%s/%d", ref, l.runs[ref].number))
	}
	r.logger.Info("life of the minion ended", "worker", l.id, "cause", cause, "silent_ms", (r.clock() - l.lastContact()).Milliseconds(),
		"count", len(lost), "runs", runs)
	r.metrics.GetOrCreateCounter(fmt.Sprintf("corianderpass_runs_lost_total{cause=%q}", cause)).Add(len(lost))
}
