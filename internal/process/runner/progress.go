package runner

import (
	"time"

	"corianderpass/internal/process/workload"
)

const (
	// completePercent is the progress of a completed task.
	completePercent = 100
	// minObservedTime is how long a run must have been observed before its end is
	// projected.
	minObservedTime = 700 * time.Millisecond
	// minObservedPercent is the progress that must have been observed before that.
	minObservedPercent = 3
	// A run counts as stalled after stallAfter without progress, or after stallFactor
	// times the time that one percent has taken so far if that is longer.
	stallAfter  = 1200 * time.Millisecond
	stallFactor = 6
	// minEndChange is how far a projected end must move to be reported again.
	minEndChange = 800 * time.Millisecond
)

// progress is the progress of one run as observed in the minion's status.
type progress struct {
	// The first values are those of the first status that listed the run, the last ones
	// those of the newest status in which the percentage had grown.
	firstPercent, lastPercent int
	firstAt, lastAt           time.Duration
	seen                      bool
	// reportedEnd is the projected end that was last reported. It is valid only if
	// endReported is set.
	reportedEnd   time.Duration
	endReported   bool
	stallReported bool
}

// updateProgress updates the progress of the started runs from the current status.
func (l *minionLife) updateProgress(now time.Duration) {
	for _, s := range l.status.Running {
		run := l.runs[s.Task]
		if run == nil || run.number != s.Run || run.phase != phaseStarted {
			continue
		}
		p := &run.progress
		if !p.seen {
			*p = progress{firstPercent: s.Percent, lastPercent: s.Percent, firstAt: now, lastAt: now, seen: true}
		}
		if s.Percent > p.lastPercent {
			p.lastPercent, p.lastAt = s.Percent, now
		}
	}
}

// perPercent returns how long one percent has taken, and false if too little progress
// was observed.
func (p *progress) perPercent() (time.Duration, bool) {
	advanced := p.lastPercent - p.firstPercent
	elapsed := p.lastAt - p.firstAt
	if advanced < minObservedPercent || elapsed < minObservedTime {
		return 0, false
	}
	return elapsed / time.Duration(advanced), true
}

// progressReports returns the progress reports that are due and marks them as reported.
func (r *Runner) progressReports(l *minionLife) []workload.Progress {
	now := r.clock()
	var reports []workload.Progress
	for ref, run := range l.runs {
		p := &run.progress
		if run.phase != phaseStarted || !p.seen || p.lastPercent >= completePercent || run.filler {
			continue
		}
		if report, changed := p.report(now); changed {
			report.Task, report.Run = ref, run.number
			reports = append(reports, report)
			r.logger.Info("progress", "worker", l.id, "task", ref.String(), "run", run.number, "percent", p.lastPercent,
				"left_ms", report.Left.Milliseconds(), "stalled", report.Stalled)
		}
	}
	return reports
}

// report returns the progress of a run, and true if it differs enough from the last
// report. It then counts as reported.
func (p *progress) report(now time.Duration) (workload.Progress, bool) {
	perPercent, known := p.perPercent()
	if now-p.lastAt > max(stallAfter, stallFactor*perPercent) {
		if p.stallReported {
			return workload.Progress{}, false
		}
		p.stallReported, p.endReported = true, false
		return workload.Progress{Stalled: true}, true
	}
	if !known {
		return workload.Progress{}, false
	}
	end := p.lastAt + time.Duration(completePercent-p.lastPercent)*perPercent
	if p.endReported && (end-p.reportedEnd).Abs() < minEndChange {
		return workload.Progress{}, false
	}
	p.endReported, p.stallReported, p.reportedEnd = true, false, end
	return workload.Progress{Left: max(end-now, 0)}, true
}
