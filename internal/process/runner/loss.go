package runner

import (
	"fmt"
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

// noteRefusal records when the minion was first found to have no listener.
func (l *minionLife) noteRefusal(err error, now time.Duration) {
	if l.refusedAt == 0 && errors.Is(err, syscall.ECONNREFUSED) {
		l.refusedAt = now
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

// lossCause returns why the life ended, given the time at which the next life was found.
func (l *minionLife) lossCause(now time.Duration) lossCause {
	foundAt := now
	if l.refusedAt > 0 {
		foundAt = l.refusedAt
	}
	switch {
	case l.draining || l.leaving:
		return lossLeft
	case foundAt-l.lastContact() > unresponsiveAfter:
		return lossSilent
	}
	return lossCrashed
}

// unendedRuns returns the tasks whose runs have started, or may have, and were not reported as
// ended, in the order of TaskRef.Compare.
func (l *minionLife) unendedRuns() []workload.TaskRef {
	var refs []workload.TaskRef
	for ref, run := range l.runs {
		mayRun := run.phase == phaseStarting || run.phase == phaseUnsettled || run.phase == phaseStarted
		if mayRun && !l.listsEnded(ref, run.number) {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, workload.TaskRef.Compare)
	return refs
}

// logLoss logs and counts the runs that were lost with the life.
func (r *Runner) logLoss(l *minionLife) {
	refs := l.unendedRuns()
	cause := l.lossCause(r.clock())
	var runs []string
	for _, ref := range refs[:min(len(refs), maxLoggedRuns)] {
		runs = append(runs, fmt.Sprintf("%s/%d", ref, l.runs[ref].number))
	}
	r.logger.Info("life of the minion ended", "worker", l.id, "cause", cause, "silent_ms", (r.clock() - l.lastContact()).Milliseconds(),
		"count", len(refs), "runs", runs)
	r.metrics.GetOrCreateCounter(fmt.Sprintf("corianderpass_runs_lost_total{cause=%q}", cause)).Add(len(refs))
}
