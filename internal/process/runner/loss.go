package runner

import (
	"fmt"
	"slices"
	"time"

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
// begun itself: its start arrived after the end of this life. If that status may lack ends, the result is
// empty, since it is unknown which runs the next life has begun.
func (l *minionLife) lostRuns(next Status) []workload.TaskRef {
	var lost []workload.TaskRef
	for ref, run := range l.runs {
		if run.mayHoldRoom() && next.lacks(ref, run.number) && !l.hasEnded(ref, run) {
			lost = append(lost, ref)
		}
	}
	slices.SortFunc(lost, workload.TaskRef.Compare)
	return lost
}

// hasEnded reports whether the newest status shows that the run had ended by then. It need not list the
// end: a run that was started before and is no longer running has ended.
func (l *minionLife) hasEnded(ref workload.TaskRef, run *runState) bool {
	if l.status.listsEnded(ref, run.number) {
		return true
	}
	return l.status.Partial && run.phase == phaseStarted && l.statusSentAt > run.startedAt && !l.status.listsRunning(ref, run.number)
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
