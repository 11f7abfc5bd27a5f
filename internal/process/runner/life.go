package runner

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/workload"
)

// minionLife is the state that the runner keeps for the current life of its minion.
// Only the loop uses it. All times are times of the runner's clock.
type minionLife struct {
	id     workload.LifeID
	minion MinionID
	// born is the Status.Born of the life.
	born int64
	// announcement is the newest status report of the minion.
	announcement Announcement
	// status is the newest answer to a poll, received at statusAt. statusAt is 0 before
	// the first answer.
	status   Status
	statusAt time.Duration
	// statusSentAt is when the poll that status answers was sent, and statusToken is
	// the token that it carried.
	statusSentAt time.Duration
	statusToken  Token
	// clockReadAt is when the status arrived: by then the minion's clock had reached
	// status.Clock.
	clockReadAt time.Duration
	// progressReadAt is the time on the minion's clock of the newest status from which the progress of
	// runs was taken.
	progressReadAt MinionClock
	// latestLeaseEnd is the latest end among all leases that the life may hold.
	latestLeaseEnd time.Duration
	// firstToken is the token of the first poll of this life. Once fenced is set, the minion has
	// received it, and refuses the orders of earlier agents and those meant for earlier lives.
	firstToken Token
	fenced     bool
	// announced is set once the workload has recorded the life. Before that, the only
	// orders to the minion are polls and stops of stray runs.
	announced       bool
	announcePending bool
	// leaving is set when the minion deregisters, which it did at leavingSince.
	leaving      bool
	leavingSince time.Duration
	// Each of these is set while a proposal of its kind has no result yet.
	departPending, reportPending, resumePending, endsPending bool
	// draining is set once the minion has reported that it drains. It is never unset.
	draining bool
	// lastAnswerAt is when the minion last answered a poll.
	lastAnswerAt time.Duration
	// failedPolls counts the polls that failed since the last successful one.
	failedPolls int
	// startSentAt is when the newest start was sent, leaseSentAt when the newest order with a lease
	// was.
	startSentAt, leaseSentAt time.Duration
	// unreachable is true from an order that was not sent until the next successful poll: the
	// minion has no listener, as after a crash.
	unreachable bool
	// brokenAt is when the connection of an order was first closed without an answer, or refused, since
	// the newest answered poll; 0 if none was. refused is set if the minion had no listener.
	brokenAt time.Duration
	refused  bool
	// pollPending is set while a poll sent by pollNow has no answer yet.
	pollPending bool
	runs        map[workload.TaskRef]*runState
	// strayStoppedAt is when a stop was last sent for a stray run, one that is not assigned
	// to this worker.
	strayStoppedAt map[workload.TaskRef]time.Duration
	// pace is the percentage that pacer returned for the status received at pacedStatusAt.
	pacer         pacer
	pacedStatusAt time.Duration
	pace          int
	// crashes are the crashes of earlier lives that are not recorded yet.
	crashes []workload.Crash
	// reportedCheckpoints are the checkpoints of the last report, which was made at
	// checkpointsReportedAt.
	reportedCheckpoints   map[workload.TaskRef]workload.Checkpoint
	checkpointsReportedAt time.Duration
}

// Announce queues a status report of the minion for the loop. A report of another life
// takes effect once a poll has confirmed that life.
func (r *Runner) Announce(ctx context.Context, a Announcement) {
	r.post(ctx, func() { r.handleAnnouncement(a) })
}

func (r *Runner) handleAnnouncement(a Announcement) {
	l := r.life
	if l != nil && l.minion == a.ID && (a.Born == 0 || a.Born == l.born) {
		if a.Sequence < l.announcement.Sequence {
			return
		}
		if a.Draining && !l.draining {
			r.logger.Info("minion drains", "worker", l.id, "remaining_ms", a.Remaining.Milliseconds(), "sequence", a.Sequence)
		}
		l.draining = l.draining || a.Draining
		l.announcement = a
		return
	}
	if l != nil && l.minion == a.ID && a.Born < l.born {
		return
	}
	if r.candidate == nil || r.candidate.ID != a.ID {
		r.logger.Info("report of another life", "minion", a.ID, "born", a.Born, "sequence", a.Sequence)
	}
	r.candidate = &a
}

// Leave queues the deregistration of the minion for the loop. The life then counts as
// draining, and its departure is recorded after leaveDelay.
func (r *Runner) Leave(ctx context.Context, id MinionID) {
	r.post(ctx, func() {
		if l := r.life; l != nil && l.minion == id && !l.leaving {
			l.leaving, l.leavingSince = true, r.clock()
			l.draining = true
			r.logger.Info("minion deregistered", "worker", l.id)
		}
	})
}

// pollLoop polls the minion until the context ends.
func (r *Runner) pollLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		var order Poll
		due := false
		if !r.postAndWait(ctx, func() { order, due = r.nextPoll() }) {
			return nil
		}
		if !due {
			sleep(ctx, tickInterval)
			continue
		}
		if !r.poll(ctx, order) {
			sleep(ctx, tickInterval)
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

// nextPoll returns the next poll, and false if there is no minion to poll yet.
func (r *Runner) nextPoll() (Poll, bool) {
	if r.baseToken == 0 {
		return Poll{}, false
	}
	if c := r.candidate; c != nil && (r.life == nil || !r.candidateFailed) {
		return Poll{ID: c.ID, Token: r.token()}, true
	}
	r.candidateFailed = false
	if r.life == nil {
		return Poll{}, false
	}
	return r.newPoll(pollWait), true
}

// newPoll returns a poll of the current life. It renews the lease if runs are
// assigned and the state allows it.
func (r *Runner) newPoll(wait time.Duration) Poll {
	l := r.life
	v := r.view()
	order := Poll{ID: l.minion, Token: r.token(), Wait: wait}
	// Until a record of this agent is in the log, the next agent may have the same tokens, so that a poll that arrives
	// late could take effect in a later life, which would forget ends of its own.
	if v.known && l.isConfirmed() && r.recorded {
		order.SeenEnds = v.seenEnds
	}
	// A renewal whose poll got no answer may still take effect later. No further renewal is
	// sent until the minion answers, so that the lease of an unresponsive minion expires.
	if len(v.runs) > 0 && l.failedPolls == 0 {
		if lease, leaseEnd, ok := r.nextLease(v); ok {
			order.Lease = lease
			l.addLease(leaseEnd, r.clock())
		}
	}
	if v.hasFillersBesideLatencySensitive() {
		order.Wait = min(order.Wait, sharedPollWait)
	}
	// The minion does not wait while it lists ends. A poll without a wait is followed by a pause.
	if l.hasUnrecordedEnds(v) || l.status.Partial || l.leaving || !r.recorded && len(l.status.Ended) > 0 {
		order.Wait = 0
	}
	return order
}

// isConfirmed reports whether the newest poll was answered by this life and no start was sent since.
// Otherwise the minion may have begun another life unnoticed, with runs and ends of its own. A poll
// that reported ends of this life as seen would make it forget those.
func (l *minionLife) isConfirmed() bool {
	return l.failedPolls == 0 && l.statusSentAt >= l.startSentAt
}

// hasUnrecordedEnds reports whether the status lists ends that the workload has not
// recorded. The minion answers a poll immediately while it has such ends.
func (l *minionLife) hasUnrecordedEnds(v view) bool {
	return slices.ContainsFunc(l.status.Ended, func(e workload.End) bool { return e.Number > v.seenEnds })
}

// poll sends a poll and passes the answer to the loop. It reports whether the next
// poll may follow without a pause.
func (r *Runner) poll(ctx context.Context, order Poll) bool {
	sentAt := r.clock()
	callCtx, cancel := context.WithTimeout(ctx, order.Wait+callTimeout)
	defer cancel()
	status, err := r.minion.Poll(callCtx, order)
	receivedAt := r.clock()
	return r.postAndWait(ctx, func() { r.handleStatus(order, status, err, sentAt, receivedAt) }) && err == nil && order.Wait > 0
}

// handleStatus processes the answer to a poll, or its error.
func (r *Runner) handleStatus(order Poll, status Status, err error, sentAt, receivedAt time.Duration) {
	status.index()
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Reason == ReasonOtherLife {
		r.dropCandidate(order.ID)
		return
	}
	if refused != nil && refused.Reason == ReasonFenced {
		r.handleFenced(order.Token)
	}
	if err != nil {
		if l := r.life; l != nil && l.minion == order.ID {
			l.failedPolls++
			if order.SeenEnds > 0 && order.Token == r.token() {
				// The poll may still take effect in a later life, unless that has seen a newer token.
				r.fence()
			}
			l.unreachable = l.unreachable || errors.Is(err, ErrNotSent)
			l.noteFailure(err, receivedAt)
		}
		r.candidateFailed = r.candidate != nil && r.candidate.ID == order.ID
		r.logger.Debug("minion poll failed", "minion", order.ID, "error", err)
		return
	}
	l := r.life
	switch {
	case l != nil && l.minion == order.ID && l.born == status.Born:
		r.dropCandidate(order.ID)
	case r.candidate != nil && r.candidate.ID == order.ID && (r.candidate.Born == 0 || r.candidate.Born == status.Born):
		r.beginLife(*r.candidate, status)
	case l != nil && l.minion == order.ID:
		// The minion has begun a new life and not announced it. The new life may have
		// started runs that were ordered from the previous one; they must be stopped before
		// the new life is announced.
		r.beginLife(Announcement{ID: order.ID, Born: status.Born}, status)
	default:
		return
	}
	if r.life.status.Unreadable == nil && status.Unreadable != nil {
		r.logger.Warn("status has rows that cannot be decoded", "worker", r.life.id, "running", len(status.Running), "ended", len(status.Ended), "error", fmt.Sprintf("%.300s", status.Unreadable))
	}
	r.life.update(order, status, sentAt, receivedAt)
	r.life.recordFencing(order, receivedAt, r.settings.MaxLease)
}

func (r *Runner) dropCandidate(id MinionID) {
	if r.candidate != nil && r.candidate.ID == id {
		r.candidate = nil
	}
}

// beginLife replaces the current life by a new one, whose first status is given. The next poll carries
// a new token; once the minion has received it, the minion refuses all earlier orders.
func (r *Runner) beginLife(a Announcement, first Status) {
	r.fence()
	r.candidate = nil
	var crashes []workload.Crash
	if r.life != nil {
		lost := r.life.lostRuns(first)
		r.logLoss(r.life, lost)
		crashes = append(r.life.crashes, r.life.implicated(lost, r.clock())...)
	}
	r.life = &minionLife{
		id: LifeID(a.ID, first.Born), minion: a.ID, born: first.Born, announcement: a, draining: a.Draining, firstToken: r.token(),
		runs: map[workload.TaskRef]*runState{}, strayStoppedAt: map[workload.TaskRef]time.Duration{},
		reportedCheckpoints: map[workload.TaskRef]workload.Checkpoint{}, lastAnswerAt: r.clock(), crashes: crashes,
	}
	r.logger.Info("minion began a new life", "worker", r.life.id, "machine", a.Machine, "token", r.token())
}

// update stores the status unless it answers an older poll than the stored one.
func (l *minionLife) update(order Poll, status Status, sentAt, receivedAt time.Duration) {
	l.lastAnswerAt = max(l.lastAnswerAt, receivedAt)
	l.failedPolls = 0
	l.unreachable = false
	l.noteAnswer()
	if status.Clock > l.progressReadAt {
		// An answer that was delayed until a run ended may be newer than that to a later poll.
		l.progressReadAt = status.Clock
		l.updateProgress(status, receivedAt)
	}
	if sentAt < l.statusSentAt {
		return
	}
	l.status, l.statusAt, l.statusSentAt, l.statusToken = status, receivedAt, sentAt, order.Token
	l.clockReadAt = receivedAt
}

// recordFencing sets fenced once the minion has answered a poll of this life. Until then it may have
// accepted a lease from an order that an earlier agent sent, or that was meant for an earlier life, whose
// clock was ahead. Such a lease ends at most maxLease after the answer.
func (l *minionLife) recordFencing(order Poll, receivedAt, maxLease time.Duration) {
	if l.fenced || order.Token < l.firstToken {
		return
	}
	l.fenced = true
	l.latestLeaseEnd = max(l.latestLeaseEnd, receivedAt+longest(maxLease))
}

// longest returns the longest time that d on the minion's clock may take.
func longest(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - maxClockSlowdown))
}

// addLease records that an order with a lease until leaseEnd is being sent now.
func (l *minionLife) addLease(leaseEnd, now time.Duration) {
	l.latestLeaseEnd = max(l.latestLeaseEnd, leaseEnd)
	l.leaseSentAt = now
}

// leasesEndBy returns the time by which all leases have expired. If a start was sent that no poll has
// confirmed, another life may have accepted it unnoticed, with a lease on the clock of this one.
func (l *minionLife) leasesEndBy(maxLease time.Duration) time.Duration {
	if l.statusSentAt >= l.startSentAt {
		return l.latestLeaseEnd
	}
	return max(l.latestLeaseEnd, l.leaseSentAt+callTimeout+longest(maxLease))
}

// nextLease returns the end of the lease that may be granted now, first on the minion's
// clock and then on the runner's, and false if no lease may be granted. While the departure of
// the life may take effect, none may: its runs can then be placed elsewhere at any moment.
func (r *Runner) nextLease(v view) (MinionClock, time.Duration, bool) {
	l := r.life
	if !v.mayRenewLeases(r.self) || l.departPending || l.statusAt == 0 {
		return 0, 0, false
	}
	leaseEnd := v.freshUntil + r.settings.Lease
	remaining := leaseEnd - l.clockReadAt
	if leaseEnd-r.clock() < minLeaseLeft {
		return 0, 0, false
	}
	// A minion whose clock runs slow would end the lease late, so the lease is shortened by
	// the greatest slowdown that the platform allows.
	lease := l.status.Clock + MinionClock(float64(remaining.Milliseconds())*(1-maxClockSlowdown))
	return lease, leaseEnd, true
}
