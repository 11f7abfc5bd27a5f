package runner

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/workload"
)

// life is what the runner knows of the minion's present life.
type life struct {
	id      workload.LifeID
	minion  MinionID
	born    int64
	said    Announcement
	sight   Status
	sightAt time.Duration
	// sightSent and sightToken tell when and with which token the look was sent.
	sightSent  time.Duration
	sightToken Token
	// clockSeen is the moment at which sight.Clock had passed.
	clockSeen time.Duration
	// leaseEnd is the latest end of all leases that were ever sent.
	leaseEnd time.Duration
	// ready lives are announced; only they get orders.
	ready      bool
	announcing bool
	// left lives have said goodbye.
	left   bool
	leftAt time.Duration
	// departing, reporting and resuming are proposals under way.
	departing, reporting, resuming, ending bool
	// draining is never taken back.
	draining bool
	// lastAnswer is when the minion answered last.
	lastAnswer time.Duration
	// unanswered counts the looks without answer since the last one with.
	unanswered int
	// looking is a quick look under way.
	looking bool
	runs    map[workload.TaskRef]*run
	// strayStops are when stops of strays were sent.
	strayStops map[workload.TaskRef]time.Duration
	// pacer judges sights, the last one at judgedAt; pace is what it says.
	pacer    pacer
	judgedAt time.Duration
	pace     int
	// savedReported are checkpoints that were reported, and when.
	savedReported   map[workload.TaskRef]workload.Checkpoint
	savedReportedAt time.Duration
}

// Announce takes in what the minion says of itself.
func (r *Runner) Announce(ctx context.Context, a Announcement) {
	r.post(ctx, func() { r.hear(a) })
}

func (r *Runner) hear(a Announcement) {
	l := r.life
	if l != nil && l.minion == a.ID && (a.Born == 0 || a.Born == l.born) {
		if a.Sequence < l.said.Sequence {
			return
		}
		if a.Draining && !l.draining {
			r.logger.Info("minion drains", "worker", l.id, "remaining_ms", a.Remaining.Milliseconds(), "sequence", a.Sequence)
		}
		l.draining = l.draining || a.Draining
		l.said = a
		return
	}
	if l != nil && l.minion == a.ID && a.Born < l.born {
		return
	}
	r.candidate = &a
}

// Leave takes in that the minion ends now.
func (r *Runner) Leave(ctx context.Context, id MinionID) {
	r.post(ctx, func() {
		if l := r.life; l != nil && l.minion == id && !l.left {
			l.left, l.leftAt = true, r.clock()
			l.draining = true
			r.logger.Info("minion says goodbye", "worker", l.id)
		}
	})
}

// watch looks at the minion again and again.
func (r *Runner) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		var order Poll
		due := false
		if !r.ask(ctx, func() { order, due = r.nextLook() }) {
			return nil
		}
		if !due {
			sleep(ctx, tick)
			continue
		}
		if !r.look(ctx, order) {
			sleep(ctx, tick)
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// nextLook returns what to ask for next.
func (r *Runner) nextLook() (Poll, bool) {
	if r.base == 0 {
		return Poll{}, false
	}
	if c := r.candidate; c != nil {
		return Poll{ID: c.ID, Token: r.token()}, true
	}
	if r.life == nil {
		return Poll{}, false
	}
	return r.lookOrder(lookWait), true
}

// lookOrder returns a look at the present life that prolongs the lease if it may.
func (r *Runner) lookOrder(wait time.Duration) Poll {
	l := r.life
	v := r.view()
	order := Poll{ID: l.minion, Token: r.token(), Wait: wait}
	if v.known {
		order.SeenEnds = v.seenEnds
	}
	// A lease without an answer may take effect late. One is enough: what a silent
	// minion runs must lapse.
	if len(v.runs) > 0 && l.unanswered == 0 {
		if lease, until, may := r.lease(v); may {
			order.Lease = lease
			l.leaseEnd = max(l.leaseEnd, until)
		}
	}
	if v.shares() {
		order.Wait = min(order.Wait, paceLook)
	}
	if l.hasUnrecordedEnds(v) || l.left {
		order.Wait = 0
	}
	return order
}

// hasUnrecordedEnds tells whether the minion would list ends again at once.
func (l *life) hasUnrecordedEnds(v view) bool {
	return slices.ContainsFunc(l.sight.Ended, func(e workload.End) bool { return e.Number > v.seenEnds })
}

// look asks the minion and lets the loop take the answer in.
func (r *Runner) look(ctx context.Context, order Poll) bool {
	sent := r.clock()
	call, cancel := context.WithTimeout(ctx, order.Wait+callTimeout)
	defer cancel()
	sight, err := r.minion.Poll(call, order)
	seen := r.clock()
	return r.ask(ctx, func() { r.see(order, sight, err, sent, seen) }) && err == nil && order.Wait > 0
}

// see takes the answer to a look in.
func (r *Runner) see(order Poll, sight Status, err error, sent, seen time.Duration) {
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Reason == ReasonOtherLife {
		r.forgetCandidate(order.ID)
		return
	}
	if err != nil {
		if l := r.life; l != nil && l.minion == order.ID {
			l.unanswered++
		}
		r.logger.Debug("look without answer", "minion", order.ID, "error", err)
		return
	}
	l := r.life
	switch {
	case l != nil && l.minion == order.ID && l.born == sight.Born:
		r.forgetCandidate(order.ID)
	case r.candidate != nil && r.candidate.ID == order.ID && (r.candidate.Born == 0 || r.candidate.Born == sight.Born):
		r.adopt(*r.candidate, sight.Born)
	case l != nil && l.minion == order.ID:
		// A life that has not introduced itself. It may have taken orders that were
		// meant for the earlier one, which is over only once they have been stopped.
		r.adopt(Announcement{ID: order.ID, Born: sight.Born}, sight.Born)
	default:
		return
	}
	r.life.take(order, sight, sent, seen)
}

func (r *Runner) forgetCandidate(id MinionID) {
	if r.candidate != nil && r.candidate.ID == id {
		r.candidate = nil
	}
}

// adopt begins with a new life. The next look carries a new token, so that orders
// of before are void.
func (r *Runner) adopt(a Announcement, born int64) {
	r.fence()
	r.candidate = nil
	r.life = &life{
		id: LifeID(a.ID, born), minion: a.ID, born: born, said: a, draining: a.Draining,
		runs: map[workload.TaskRef]*run{}, strayStops: map[workload.TaskRef]time.Duration{},
		savedReported: map[workload.TaskRef]workload.Checkpoint{}, lastAnswer: r.clock(),
	}
	r.logger.Info("new life of the minion", "worker", r.life.id, "machine", a.Machine, "token", r.token())
}

// take keeps the newest sight.
func (l *life) take(order Poll, sight Status, sent, seen time.Duration) {
	l.lastAnswer = max(l.lastAnswer, seen)
	l.unanswered = 0
	if sent < l.sightSent {
		return
	}
	l.sight, l.sightAt, l.sightSent, l.sightToken = sight, seen, sent, order.Token
	l.clockSeen = seen
	l.noteProgress(seen)
}

// lease returns the lease that may be given now, on the minion's clock and on the
// own one, and false if none may.
func (r *Runner) lease(v view) (MinionClock, time.Duration, bool) {
	l := r.life
	if !v.mayProlong(r.self) || l.sightAt == 0 {
		return 0, 0, false
	}
	until := v.fresh + r.settings.Lease
	left := until - l.clockSeen
	if until-r.clock() < shortestLease {
		return 0, 0, false
	}
	// The minion's clock may run slow, so that it reaches the lease's end later.
	lease := l.sight.Clock + MinionClock(float64(left.Milliseconds())*(1-clockSlack))
	return lease, until, true
}
