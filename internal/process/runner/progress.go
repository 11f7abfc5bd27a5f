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
	// minObservedPercent is the number of percentage points that a run must have advanced
	// under observation before its end is projected.
	minObservedPercent = 3
	// A run counts as stalled after stallAfter without progress, or after stallFactor times
	// the time that one percent has taken on average if that is longer. stallAfter exceeds the
	// usual time between two polls.
	stallAfter  = 1200 * time.Millisecond
	stallFactor = 6
	// While the time of one percent is not known, a run counts as stalled after newRunStallAfter
	// without progress, or after stallEstimateShare of the caller's estimate if that is longer.
	newRunStallAfter   = 800 * time.Millisecond
	stallEstimateShare = 0.05
	// newRunPollInterval is the longest time between two polls while the pace of a run is not
	// known, so that a run that makes no progress is found before it would have ended.
	newRunPollInterval = 250 * time.Millisecond
	// minEndChange is how much a projected end must change to be reported again.
	minEndChange = 800 * time.Millisecond
)

// progress is the progress of one run as observed in the minion's status.
type progress struct {
	// firstPercent and firstAt are the percentage and time of the first status that listed
	// the run, lastPercent and lastAt those of the newest status with a higher percentage
	// than before. They are valid only if observed is set.
	firstPercent, lastPercent int
	firstAt, lastAt           time.Duration
	observed                  bool
	// reportedEnd is the projected end in the last report; valid only if endReported is
	// set. stallReported is set if the last report said that the run is stalled.
	reportedEnd   time.Duration
	endReported   bool
	stallReported bool
	// estimate is the caller's estimate of the task's duration; 0 if there is none.
	estimate time.Duration
}

// updateProgress updates the progress of the started runs from a status.
func (l *minionLife) updateProgress(status Status, now time.Duration) {
	for _, s := range status.Running {
		run := l.runs[s.Task]
		if run == nil || run.number != s.Run || run.phase != phaseStarted {
			continue
		}
		p := &run.progress
		if !p.observed {
			*p = progress{firstPercent: s.Percent, lastPercent: s.Percent, firstAt: now, lastAt: now, observed: true, estimate: run.estimate}
		}
		if s.Percent > p.lastPercent {
			p.lastPercent, p.lastAt = s.Percent, now
		}
	}
}

// perPercent returns the mean time that one percent has taken, and false if too little
// progress was observed.
func (p *progress) perPercent() (time.Duration, bool) {
	advanced := p.lastPercent - p.firstPercent
	elapsed := p.lastAt - p.firstAt
	if advanced < minObservedPercent || elapsed < minObservedTime {
		return 0, false
	}
	return elapsed / time.Duration(advanced), true
}

// stallTime returns how long the run may make no progress before it counts as stalled.
func (p *progress) stallTime() time.Duration {
	perPercent, known := p.perPercent()
	if !known {
		return max(newRunStallAfter, time.Duration(stallEstimateShare*float64(p.estimate)))
	}
	return max(stallAfter, stallFactor*perPercent)
}

// needsPoll reports whether a run has started whose pace is not known and about which the newest
// status says nothing recent.
func (r *Runner) needsPoll(l *minionLife) bool {
	if r.clock()-l.statusSentAt < newRunPollInterval || l.failedPolls > 0 {
		return false
	}
	for _, run := range l.runs {
		if run.phase != phaseStarted || run.filler || run.progress.stallReported || run.progress.lastPercent >= completePercent {
			continue
		}
		if _, known := run.progress.perPercent(); !known {
			return true
		}
	}
	return false
}

// progressReports returns the progress reports that are due and marks them as reported.
func (r *Runner) progressReports(l *minionLife) []workload.Progress {
	now := r.clock()
	var reports []workload.Progress
	for ref, run := range l.runs {
		p := &run.progress
		if run.phase != phaseStarted || !p.observed || p.lastPercent >= completePercent || run.filler {
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

// report returns a progress report and true if the run's progress differs enough from the
// last report. It stores the returned report as the last one.
func (p *progress) report(now time.Duration) (workload.Progress, bool) {
	perPercent, known := p.perPercent()
	if now-p.lastAt > p.stallTime() {
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
