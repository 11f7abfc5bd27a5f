package runner

import (
	"context"
	"time"

	"corianderpass/internal/process/workload"
)

const (
	// paceLook is how long a look waits for an end while fillers and serving tasks
	// share a minion: figures change within seconds.
	paceLook = 400 * time.Millisecond
	// paceAgain is the time after which an order of pace without an answer is repeated.
	paceAgain = 400 * time.Millisecond
	// unknownPace is that of runs which an earlier agent may have slowed down.
	unknownPace = -1
)

// shares tells whether fillers run beside serving tasks.
func (v view) shares() bool {
	fills, serves := false, false
	for _, o := range v.runs {
		fills = fills || o.filler
		serves = serves || o.target > 0
	}
	return fills && serves
}

// worst returns the greatest share of its target that a serving task takes, 0 if
// nobody serves. A task without a figure takes little.
func (l *life) worst(v view) float64 {
	worst := 0.0
	for _, s := range l.sight.Running {
		o, known := v.runs[s.Task]
		if !known || o.run != s.Run || o.target <= 0 {
			continue
		}
		const least = 0.01
		worst = max(worst, least, float64(s.TailLatency)/float64(o.target))
	}
	return worst
}

// keepPace holds fillers back as far as the serving tasks beside them need it.
func (r *Runner) keepPace(l *life, v view) {
	if l.sightAt != l.judgedAt {
		l.judgedAt = l.sightAt
		before := l.pacer.percent
		l.pace = l.pacer.judge(l.sightAt, l.worst(v))
		if l.pacer.began && before != l.pace {
			r.logger.Info("pace of fillers", "worker", l.id, "percent", l.pace, "before", before, "worst", l.worst(v))
		}
	}
	for ref, x := range l.runs {
		if o := v.runs[ref]; !o.filler || x.phase != phaseStarted || x.pace == l.pace || r.clock()-x.paced < paceAgain {
			continue
		}
		x.paced = r.clock()
		r.setPace(l, ref, x, l.pace)
	}
}

func (r *Runner) setPace(l *life, ref workload.TaskRef, x *run, percent int) {
	order := Pace{ID: l.minion, Task: ref, Run: x.number, Percent: percent, Token: r.token()}
	r.aside(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := r.minion.Pace(ctx, order)
		return func() {
			if err != nil {
				r.logger.Debug("pace without answer", "task", ref.String(), "percent", percent, "error", err)
				return
			}
			x.pace = percent
		}
	})
}
