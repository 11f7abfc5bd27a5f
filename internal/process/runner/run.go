package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/workload"
)

// phase is the stage that a run has reached at the minion, from its start order to its end,
// according to the minion's answers.
type phase int

const (
	// phaseNew means that no start was sent, or it is certain that none took effect.
	phaseNew phase = iota
	// phaseStarting means that a start was sent and its answer is awaited.
	phaseStarting
	// phaseUnsettled means that a start got no conclusive answer. The status of a poll
	// with a newer token shows whether the run has started.
	phaseUnsettled
	// phaseStarted means that the minion accepted the start or lists the run as running.
	phaseStarted
	// phaseEnded means that the minion lists the run as ended.
	phaseEnded
	// phaseRefused means that the run is not to be started; its refusal is being recorded.
	phaseRefused
)

// runState is the state of one run at the minion.
type runState struct {
	number workload.Run
	phase  phase
	// startedAt is when the answer to the start arrived or, if the start got none, when the
	// poll was sent whose status first listed the run. The status of a poll that was sent
	// later must list the run as running or ended.
	startedAt time.Duration
	// orderedAt is when the newest start was sent or, if an earlier agent sent it, startedAt.
	orderedAt time.Duration
	// brokenOff is set if the connection of the newest start was closed before the answer.
	brokenOff bool
	// fromBeginning is set if this agent started the run without a checkpoint, so that
	// its duration is that of the whole task.
	fromBeginning bool
	// settleToken is the lowest token with which a poll settles an unsettled run.
	settleToken Token
	// outdated is set if the start was refused with ReasonOutdated.
	outdated bool
	// notBefore is the earliest time of the next start after a refused one.
	notBefore time.Duration
	progress  progress
	// estimate is the caller's estimate of the task's duration; 0 if there is none.
	estimate time.Duration
	// stopSentAt is when a stop was last sent.
	stopSentAt time.Duration
	// pace is the percentage that the minion has confirmed, and paceSentAt when a pace
	// order was last sent.
	pace       int
	paceSentAt time.Duration
	// filler is set for runs that use only processor time that other tasks leave idle.
	// Their progress depends on the other tasks, so it is not reported.
	filler bool
}

// reconcileRuns brings the runs at the minion in line with the workload.
func (r *Runner) reconcileRuns(l *minionLife, v view) {
	for ref, run := range l.runs {
		if a, assigned := v.runs[ref]; !assigned || a.run != run.number {
			delete(l.runs, ref)
		}
	}
	for ref, a := range v.runs {
		run := l.runs[ref]
		if run == nil {
			run = &runState{number: a.run, pace: fullPace}
			l.runs[ref] = run
		}
		run.filler, run.estimate = a.filler, a.estimate
		r.settle(l, run, ref)
		r.reconcileRun(l, v, ref, a, run)
	}
}

func (r *Runner) reconcileRun(l *minionLife, v view, ref workload.TaskRef, a assignedRun, run *runState) {
	switch {
	case run.phase == phaseNew && !a.wanted:
		r.refuse(l, ref, run, "stopped before its start")
	case run.phase == phaseNew && l.draining:
		r.refuse(l, ref, run, "minion drains")
	case run.phase == phaseNew && v.evacuated:
		r.refuse(l, ref, run, "failure domain is evacuated")
	case run.phase == phaseNew && !l.hasRoomFor(a, v):
		r.refuse(l, ref, run, string(ReasonNoRoom))
	case run.phase == phaseNew && l.unreachable && v.unresponsive:
		// The leader knows that the worker takes no tasks, so it places the task elsewhere.
		r.refuse(l, ref, run, "minion cannot be reached")
	case run.phase == phaseNew && r.clock() >= run.notBefore && r.mayStart(v):
		r.start(l, v, ref, a, run)
	case run.phase == phaseStarted && !a.wanted && r.clock()-run.stopSentAt > stopRetryAfter:
		run.stopSentAt = r.clock()
		r.logger.Info("stop", "worker", l.id, "task", ref.String(), "run", run.number)
		r.stop(l, ref, run.number)
	case run.phase == phaseStarted && l.isMissing(ref, run):
		r.refuse(l, ref, run, "minion does not list it")
	}
}

// hasRoomFor reports whether the run fits into the minion's room beside the runs that it may hold already.
// The run may have been placed before the room shrank.
func (l *minionLife) hasRoomFor(a assignedRun, v view) bool {
	used := a.reservation
	for ref, other := range v.runs {
		if run := l.runs[ref]; run != nil && run.number == other.run && run.mayHoldRoom() {
			used = used.Plus(other.reservation)
		}
	}
	return used.FitsIn(l.announcement.Room)
}

// mayHoldRoom reports whether the minion may hold room for the run.
func (s *runState) mayHoldRoom() bool {
	return s.phase == phaseStarting || s.phase == phaseUnsettled || s.phase == phaseStarted
}

// mayStart reports whether the view is recent enough to start a run: an evacuation that it does not
// contain was requested less than Settings.EvacuationTime ago. The other half of that time is for
// the request to reach the stream.
func (r *Runner) mayStart(v view) bool {
	return r.settings.EvacuationTime == 0 || r.clock()-v.freshUntil < r.settings.EvacuationTime/2
}

// isMissing reports whether the minion has lost a started run.
func (l *minionLife) isMissing(ref workload.TaskRef, run *runState) bool {
	return l.statusSentAt > run.startedAt && l.status.lacks(ref, run.number)
}

// settle determines from the minion's status whether an unsettled start took effect. The
// minion refuses the start if it arrives after a poll with settleToken or a higher token, so
// the answer to such a poll is conclusive if it lists all ends.
func (r *Runner) settle(l *minionLife, run *runState, ref workload.TaskRef) {
	if run.phase != phaseUnsettled {
		return
	}
	if l.statusToken < run.settleToken {
		r.pollNow(l)
		return
	}
	switch {
	case l.status.listsRunning(ref, run.number):
		run.phase, run.startedAt = phaseStarted, l.statusSentAt
	case l.status.listsEnded(ref, run.number):
		run.phase = phaseEnded
	case l.status.Partial:
		// The run may have ended. The polls that follow list the other ends.
		return
	case run.outdated:
		r.refuse(l, ref, run, string(ReasonOutdated))
	default:
		run.phase = phaseNew
	}
	r.logger.Info("settle a start without answer", "worker", l.id, "task", ref.String(), "run", run.number, "token", l.statusToken, "started", run.phase != phaseNew)
}

// pollNow sends a poll that the minion answers immediately, unless such a poll is pending.
func (r *Runner) pollNow(l *minionLife) {
	if l.pollPending {
		return
	}
	l.pollPending = true
	order := r.newPoll(0)
	r.async(func(ctx context.Context) func() {
		sentAt := r.clock()
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		status, err := r.minion.Poll(ctx, order)
		receivedAt := r.clock()
		if err != nil {
			// The poll is still due. Without a pause, a minion that refuses connections at
			// once would be polled in a busy loop.
			sleep(r.ctx, tickInterval)
		}
		return func() {
			l.pollPending = false
			if r.life == l {
				r.handleStatus(order, status, err, sentAt, receivedAt)
			}
		}
	})
}

// start sends the order to start a run if a lease may be granted.
func (r *Runner) start(l *minionLife, v view, ref workload.TaskRef, a assignedRun, run *runState) {
	lease, leaseEnd, ok := r.nextLease(v)
	if !ok {
		return
	}
	l.addLease(leaseEnd, r.clock())
	run.phase = phaseStarting
	order := Start{
		ID: l.minion, Task: ref, Run: run.number, Payload: a.payload, Resume: a.resume, Lease: lease, Token: r.token(),
		Permit: a.permit,
	}
	sentAt := r.clock()
	l.startSentAt, run.orderedAt, run.brokenOff = sentAt, sentAt, false
	r.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := r.minion.Start(ctx, order)
		return func() { r.handleStartReply(l, ref, run, order, sentAt, err) }
	})
}

// handleStartReply processes the answer to a start.
func (r *Runner) handleStartReply(l *minionLife, ref workload.TaskRef, run *runState, order Start, sentAt time.Duration, err error) {
	var refused *RefusedError
	switch {
	case err == nil:
		run.phase, run.startedAt, run.fromBeginning = phaseStarted, r.clock(), order.Resume == ""
		l.noteAnswer()
	case errors.Is(err, ErrNotSent):
		l.unreachable = true
		l.noteFailure(err, r.clock())
		run.phase, run.notBefore = phaseNew, r.clock()+tickInterval
	case !errors.As(err, &refused):
		l.noteFailure(err, r.clock())
		run.brokenOff = isBrokenOff(err)
		r.markUnsettled(run)
	case refused.Reason == ReasonFenced, refused.Reason == ReasonLeaseExpired:
		run.phase, run.notBefore = phaseNew, r.clock()+tickInterval
		if refused.Reason == ReasonFenced {
			r.handleFenced(order.Token)
		}
	case refused.Reason == ReasonOutdated:
		// The run has ended already, or was stopped before the start arrived.
		run.outdated = true
		r.markUnsettled(run)
	default:
		r.refuse(l, ref, run, string(refused.Reason))
	}
	r.logger.Info("start", "worker", l.id, "task", ref.String(), "run", run.number, "token", order.Token, "lease", order.Lease,
		"resume", order.Resume, "ms", (r.clock() - sentAt).Milliseconds(), "error", err)
	r.metrics.GetOrCreateHistogram("corianderpass_start_seconds").Update((r.clock() - sentAt).Seconds())
}

// markUnsettled marks a run whose start got no conclusive answer and advances the token, so
// that a poll with the new token determines the fate of the start.
func (r *Runner) markUnsettled(run *runState) {
	r.fence()
	run.phase, run.settleToken = phaseUnsettled, r.token()
}

// refuse proposes a record that the run has not started and never will.
func (r *Runner) refuse(l *minionLife, ref workload.TaskRef, run *runState, reason string) {
	run.phase = phaseRefused
	r.propose(workload.Record{Refuse: &workload.Refuse{Life: l.id, Agent: r.self, Task: ref, Run: run.number, Reason: reason}}, func(err error) {
		r.logger.Info("refuse", "worker", l.id, "task", ref.String(), "run", run.number, "reason", reason, "error", err)
		if err != nil {
			run.phase = phaseNew
		}
	})
}

// stop sends the order to stop a run. A failed order needs no handling, since reconcile
// repeats the order until the minion no longer lists the run as running.
func (r *Runner) stop(l *minionLife, ref workload.TaskRef, n workload.Run) {
	order := Stop{ID: l.minion, Task: ref, Run: n, Token: r.token()}
	r.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err := r.minion.Stop(ctx, order)
		return func() {
			if err != nil {
				r.logger.Debug("stop order failed", "task", ref.String(), "run", n, "error", err)
			}
		}
	})
}
