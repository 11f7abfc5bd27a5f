package runner

import (
	"time"

	"corianderpass/internal/process/workload"
)

const (
	// wholeTask is the percentage of a task that is done.
	wholeTask = 100
	// projectAfter is the observed time from which a run's end can be projected.
	projectAfter = 700 * time.Millisecond
	// projectPercent is the observed progress from which it can be projected.
	projectPercent = 3
	// stallAfter is the time without progress after which a run counts as stalled;
	// at most stallSteps times as long as one percent has taken so far.
	stallAfter = 1200 * time.Millisecond
	stallSteps = 6
	// progressChange is how far a projected end must move to be news.
	progressChange = 800 * time.Millisecond
)

// progress is what the minion's lists show of one run's advance.
type progress struct {
	// first is the first sight of it, and last the newest at which it had advanced.
	firstPercent, lastPercent int
	firstAt, lastAt           time.Duration
	seen                      bool
	// toldEnd is the projected end that was reported; told is false before the first.
	toldEnd     time.Duration
	told        bool
	toldStalled bool
}

// noteProgress takes a sight in.
func (l *life) noteProgress(now time.Duration) {
	for _, s := range l.sight.Running {
		x := l.runs[s.Task]
		if x == nil || x.number != s.Run || x.phase != phaseStarted {
			continue
		}
		p := &x.progress
		if !p.seen {
			*p = progress{firstPercent: s.Percent, lastPercent: s.Percent, firstAt: now, lastAt: now, seen: true}
		}
		if s.Percent > p.lastPercent {
			p.lastPercent, p.lastAt = s.Percent, now
		}
	}
}

// perPercent returns how long one percent has taken, false if too little was seen.
func (p *progress) perPercent() (time.Duration, bool) {
	done := p.lastPercent - p.firstPercent
	took := p.lastAt - p.firstAt
	if done < projectPercent || took < projectAfter {
		return 0, false
	}
	return took / time.Duration(done), true
}

// progressNews returns what the scheduler should hear of the runs.
func (r *Runner) progressNews(l *life) []workload.Progress {
	now := r.clock()
	var news []workload.Progress
	for ref, x := range l.runs {
		p := &x.progress
		if x.phase != phaseStarted || !p.seen || p.lastPercent >= wholeTask || x.filler {
			continue
		}
		if n, isNews := p.news(now); isNews {
			n.Task, n.Run = ref, x.number
			news = append(news, n)
			r.logger.Info("progress", "worker", l.id, "task", ref.String(), "run", x.number, "percent", p.lastPercent,
				"left_ms", n.Left.Milliseconds(), "stalled", n.Stalled)
		}
	}
	return news
}

// news returns the state of a run if it differs from what was told.
func (p *progress) news(now time.Duration) (workload.Progress, bool) {
	each, known := p.perPercent()
	if now-p.lastAt > max(stallAfter, stallSteps*each) {
		if p.toldStalled {
			return workload.Progress{}, false
		}
		p.toldStalled, p.told = true, false
		return workload.Progress{Stalled: true}, true
	}
	if !known {
		return workload.Progress{}, false
	}
	end := p.lastAt + time.Duration(wholeTask-p.lastPercent)*each
	if p.told && (end-p.toldEnd).Abs() < progressChange {
		return workload.Progress{}, false
	}
	p.told, p.toldStalled, p.toldEnd = true, false, end
	return workload.Progress{Left: max(end-now, 0)}, true
}
