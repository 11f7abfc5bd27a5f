package runner

import (
	"context"
	"time"

	"corianderpass/internal/process/workload"
)

const (
	// sharedPollWait replaces pollWait while fillers run beside latency-sensitive tasks, whose
	// latency changes within seconds.
	sharedPollWait = 400 * time.Millisecond
	// paceRetryAfter is the time after which an unanswered pace order is repeated.
	paceRetryAfter = 400 * time.Millisecond
	// unknownPace is the runState.pace of a run that an earlier agent started and whose
	// pace that agent may have changed.
	unknownPace = -1
)

// hasFillersBesideLatencySensitive reports whether both fillers and latency-sensitive tasks
// are assigned to the worker.
func (v view) hasFillersBesideLatencySensitive() bool {
	hasFiller, hasLatencySensitive := false, false
	for _, a := range v.runs {
		hasFiller = hasFiller || a.filler
		hasLatencySensitive = hasLatencySensitive || a.targetLatency > 0
	}
	return hasFiller && hasLatencySensitive
}

// worstLatencyRatio returns the highest ratio of tail latency to target among the
// latency-sensitive tasks that the minion lists as running, 0 if it lists none. The ratio of each
// task is at least minRatio, so that 0 never means a task without a measured latency.
func (l *minionLife) worstLatencyRatio(v view) float64 {
	worst := 0.0
	for _, s := range l.status.Running {
		a, known := v.runs[s.Task]
		if !known || a.run != s.Run || a.targetLatency <= 0 {
			continue
		}
		const minRatio = 0.01
		worst = max(worst, minRatio, float64(s.TailLatency)/float64(a.targetLatency))
	}
	return worst
}

// adjustPace computes the pace of the fillers from the latency of the latency-sensitive tasks and
// sends pace orders for the fillers that have another pace.
func (r *Runner) adjustPace(l *minionLife, v view) {
	if l.statusAt != l.pacedStatusAt {
		l.pacedStatusAt = l.statusAt
		before := l.pacer.percent
		l.pace = l.pacer.update(l.statusAt, l.worstLatencyRatio(v))
		if l.pacer.active && before != l.pace {
			r.logger.Info("pace of fillers", "worker", l.id, "percent", l.pace, "before", before, "worst", l.worstLatencyRatio(v))
		}
	}
	for ref, run := range l.runs {
		if a := v.runs[ref]; !a.filler || run.phase != phaseStarted || run.pace == l.pace || r.clock()-run.paceSentAt < paceRetryAfter {
			continue
		}
		run.paceSentAt = r.clock()
		r.orderPace(l, ref, run, l.pace)
	}
}

func (r *Runner) orderPace(l *minionLife, ref workload.TaskRef, run *runState, percent int) {
	order := Pace{ID: l.minion, Task: ref, Run: run.number, Percent: percent, Token: r.token()}
	r.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := r.minion.Pace(ctx, order)
		return func() {
			if err != nil {
				r.logger.Debug("pace order failed", "task", ref.String(), "percent", percent, "error", err)
				return
			}
			run.pace = percent
		}
	})
}
