package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/workload"
)

// phase is where a run stands at the minion.
type phase int

const (
	// phaseNew runs were not ordered from the minion, or surely without effect.
	phaseNew phase = iota
	// phaseStarting runs wait for the answer.
	phaseStarting
	// phaseUnsettled runs got no answer: a look with a newer token settles them.
	phaseUnsettled
	// phaseStarted runs were accepted.
	phaseStarted
	// phaseEnded runs are in the list of ends.
	phaseEnded
	// phaseRefused runs never start; this is being recorded.
	phaseRefused
)

// run is one run at the minion.
type run struct {
	number workload.Run
	phase  phase
	// since is when it was first known to have started.
	since time.Duration
	// whole runs were started here from the beginning, so that their time tells how
	// long the task takes.
	whole bool
	// settles is the token that a look must carry to settle an unsettled run.
	settles Token
	// outdated runs were refused as not newer than one that had ended.
	outdated bool
	// notBefore is when a start that was refused may be tried again.
	notBefore time.Duration
	progress  progress
	stopped   time.Duration
	// pace is the percentage that the minion has for it, and paced when it was
	// ordered last.
	pace  int
	paced time.Duration
	// filler runs work with what others leave: what they advance says nothing of the worker.
	filler bool
}

// steer makes the minion's runs follow the workload.
func (r *Runner) steer(l *life, v view) {
	for ref, x := range l.runs {
		if o, ordered := v.runs[ref]; !ordered || o.run != x.number {
			delete(l.runs, ref)
		}
	}
	for ref, o := range v.runs {
		x := l.runs[ref]
		if x == nil {
			x = &run{number: o.run, pace: wholePace}
			l.runs[ref] = x
		}
		x.filler = o.filler
		r.settle(l, x, ref)
		r.steerRun(l, v, ref, o, x)
	}
}

func (r *Runner) steerRun(l *life, v view, ref workload.TaskRef, o ordered, x *run) {
	switch {
	case x.phase == phaseNew && !o.wanted:
		r.refuse(l, ref, x, "stopped before its start")
	case x.phase == phaseNew && l.draining:
		r.refuse(l, ref, x, "minion drains")
	case x.phase == phaseNew && r.clock() >= x.notBefore:
		r.start(l, v, ref, o, x)
	case x.phase == phaseStarted && !o.wanted && r.clock()-x.stopped > stopAgain:
		x.stopped = r.clock()
		r.logger.Info("stop", "worker", l.id, "task", ref.String(), "run", x.number)
		r.stop(l, ref, x.number)
	case x.phase == phaseStarted && r.hasVanished(l, ref, x):
		r.refuse(l, ref, x, "minion does not list it")
	}
}

// hasVanished tells whether the minion lists a started run neither as running nor
// as ended.
func (r *Runner) hasVanished(l *life, ref workload.TaskRef, x *run) bool {
	return l.sightSent > x.since && !l.lists(ref, x.number) && !l.listsEnd(ref, x.number)
}

func (l *life) lists(ref workload.TaskRef, n workload.Run) bool {
	for _, s := range l.sight.Running {
		if s.Task == ref && s.Run == n {
			return true
		}
	}
	return false
}

func (l *life) listsEnd(ref workload.TaskRef, n workload.Run) bool {
	for _, e := range l.sight.Ended {
		if e.Task == ref && e.Run == n {
			return true
		}
	}
	return false
}

// settle finds out what became of a start without an answer. The look's token has
// made the start void unless it was carried out before.
func (r *Runner) settle(l *life, x *run, ref workload.TaskRef) {
	if x.phase != phaseUnsettled {
		return
	}
	if l.sightToken < x.settles {
		r.lookSoon(l)
		return
	}
	switch {
	case l.lists(ref, x.number):
		x.phase, x.since = phaseStarted, l.sightSent
	case l.listsEnd(ref, x.number):
		x.phase = phaseEnded
	case x.outdated:
		r.refuse(l, ref, x, string(ReasonOutdated))
	default:
		x.phase = phaseNew
	}
	r.logger.Info("settle a start without answer", "worker", l.id, "task", ref.String(), "run", x.number, "token", l.sightToken, "started", x.phase != phaseNew)
}

// lookSoon looks at the minion without waiting for an end.
func (r *Runner) lookSoon(l *life) {
	if l.looking {
		return
	}
	l.looking = true
	order := r.lookOrder(0)
	r.aside(func(ctx context.Context) func() {
		sent := r.clock()
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		sight, err := r.minion.Poll(ctx, order)
		seen := r.clock()
		if err != nil {
			// A minion that is gone refuses at once; what made the look due is still so.
			sleep(r.ctx, tick)
		}
		return func() {
			l.looking = false
			if r.life == l {
				r.see(order, sight, err, sent, seen)
			}
		}
	})
}

// start orders a run from the minion.
func (r *Runner) start(l *life, v view, ref workload.TaskRef, o ordered, x *run) {
	lease, until, may := r.lease(v)
	if !may {
		return
	}
	l.leaseEnd = max(l.leaseEnd, until)
	x.phase = phaseStarting
	order := Start{
		ID: l.minion, Task: ref, Run: x.number, Payload: o.payload, Resume: o.resume, Lease: lease, Token: r.token(),
		Permit: o.permit,
	}
	sent := r.clock()
	r.aside(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := r.minion.Start(ctx, order)
		return func() { r.started(l, ref, x, order, sent, err) }
	})
}

// started takes the answer to a start in.
func (r *Runner) started(l *life, ref workload.TaskRef, x *run, order Start, sent time.Duration, err error) {
	var refused *RefusedError
	switch {
	case err == nil:
		x.phase, x.since, x.whole = phaseStarted, r.clock(), order.Resume == ""
	case !errors.As(err, &refused):
		r.unsettle(x)
	case refused.Reason == ReasonFenced && order.Token < r.token(), refused.Reason == ReasonLeaseExpired:
		x.phase, x.notBefore = phaseNew, r.clock()+tick
	case refused.Reason == ReasonOutdated:
		// It has ended already, or was stopped before it came.
		x.outdated = true
		r.unsettle(x)
	default:
		r.refuse(l, ref, x, string(refused.Reason))
	}
	r.logger.Info("start", "worker", l.id, "task", ref.String(), "run", x.number, "token", order.Token, "lease", order.Lease,
		"resume", order.Resume, "ms", (r.clock() - sent).Milliseconds(), "error", err)
	r.metrics.GetOrCreateHistogram("corianderpass_start_seconds").Update((r.clock() - sent).Seconds())
}

// unsettle fences a start without an answer, so that a look can tell its fate.
func (r *Runner) unsettle(x *run) {
	r.fence()
	x.phase, x.settles = phaseUnsettled, r.token()
}

// refuse records that a run never starts.
func (r *Runner) refuse(l *life, ref workload.TaskRef, x *run, reason string) {
	x.phase = phaseRefused
	r.propose(workload.Record{Refuse: &workload.Refuse{Life: l.id, Task: ref, Run: x.number, Reason: reason}}, func(err error) {
		r.logger.Info("refuse", "worker", l.id, "task", ref.String(), "run", x.number, "reason", reason, "error", err)
		if err != nil {
			x.phase = phaseNew
		}
	})
}

// stop orders the end of a run. An answer that is lost costs nothing: the order is
// repeated until the run's end is listed.
func (r *Runner) stop(l *life, ref workload.TaskRef, n workload.Run) {
	order := Stop{ID: l.minion, Task: ref, Run: n, Token: r.token()}
	r.aside(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := r.minion.Stop(ctx, order)
		return func() {
			if err != nil {
				r.logger.Debug("stop without answer", "task", ref.String(), "run", n, "error", err)
			}
		}
	})
}
