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
	broken := refused || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	if broken && l.brokenAt == 0 {
		l.brokenAt = now
	}
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

// earlyCrashTime is the longest time from the confirmed start of a run until its life was found to have
// ended for which the crash counts as early.
const earlyCrashTime = 500 * time.Millisecond

// implicated returns the lost runs that may have crashed the life: those that had started shortly before,
// if there are any, otherwise all. It returns nil if the life did not crash or if the runs may have ended
// before. now is the time at which the next life was found.
func (l *minionLife) implicated(lost []workload.TaskRef, now time.Duration) []workload.Crash {
	if l.lossCause(now) != lossCrashed {
		return nil
	}
	var recent, others []workload.Crash
	for _, ref := range lost {
		run := l.runs[ref]
		c := workload.Crash{Task: ref, Run: run.number}
		if run.phase == phaseStarted {
			c.Early = l.foundAt(now)-run.startedAt <= earlyCrashTime
			c.Ran = l.lastContact() - run.startedAt
		}
		if c.Early || run.phase != phaseStarted {
			recent = append(recent, c)
		} else {
			others = append(others, c)
		}
	}
	if len(recent) > 0 {
		return recent
	}
	return others
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
