package runner

import (
	"time"

	"corianderpass/internal/process/workload"
)

// reconcile compares the minion's status with the workload and sends the orders and
// proposals that are due. The loop calls it after every event.
func (r *Runner) reconcile() {
	if r.baseToken == 0 {
		if _, caughtUp := r.journal.CompleteAsOf(); !caughtUp {
			return
		}
		r.baseToken = r.availableBase()
	}
	l := r.life
	if l == nil || !r.isFresh() {
		return
	}
	v := r.view()
	if l.leaving {
		r.finishLeaving(l, v)
		return
	}
	if l.statusToken < r.baseToken || l.statusAt == 0 {
		return
	}
	r.stopStrays(l, v)
	if !l.announced || !v.known || v.gone || v.agent != r.self {
		r.announceWorker(l, v)
		return
	}
	r.reportChanges(l, v)
	if r.departAfterLapse(l, v) {
		return
	}
	r.recordEnds(l, v)
	r.reconcileRuns(l, v)
	r.adjustPace(l, v)
	if r.needsPoll(l) {
		r.pollNow(l)
	}
}

// maxStateAge is the age of the runner's copy of the workload from which reconcile neither
// sends orders nor proposes records.
const maxStateAge = 3 * time.Second

func (r *Runner) isFresh() bool {
	freshUntil, caughtUp := r.journal.CompleteAsOf()
	return caughtUp && r.clock()-freshUntil < maxStateAge
}

// finishLeaving proposes the departure of a deregistered life after leaveDelay, and drops
// the life once its departure is recorded.
func (r *Runner) finishLeaving(l *minionLife, v view) {
	if l.departPending || r.clock()-l.leavingSince < leaveDelay {
		return
	}
	if !v.known || v.gone {
		r.life = nil
		return
	}
	r.depart(l, v, "minion deregistered")
}

func (r *Runner) depart(l *minionLife, v view, cause string) {
	l.departPending = true
	r.propose(workload.Record{Depart: &workload.Depart{Life: l.id, Agent: v.agent, Saved: l.listedCheckpoints()}}, func(err error) {
		l.departPending = false
		r.logger.Info("worker departs", "worker", l.id, "cause", cause, "runs", len(l.runs), "error", err)
	})
}

// listedCheckpoints returns the checkpoints in the minion's status.
func (l *minionLife) listedCheckpoints() []workload.SavedCheckpoint {
	var saved []workload.SavedCheckpoint
	for _, s := range l.status.Running {
		if s.Checkpoint != "" {
			saved = append(saved, workload.SavedCheckpoint{Task: s.Task, Run: s.Run, Checkpoint: s.Checkpoint})
		}
	}
	return saved
}

// stopStrays stops stray runs, which the workload has not assigned to this worker: for
// example a run that an earlier agent started and whose task has since been placed on
// another worker.
func (r *Runner) stopStrays(l *minionLife, v view) {
	for _, s := range l.status.Running {
		if a, assigned := v.runs[s.Task]; assigned && a.run == s.Run && !v.gone {
			continue
		}
		if at, sent := l.strayStoppedAt[s.Task]; sent && r.clock()-at < stopRetryAfter {
			continue
		}
		l.strayStoppedAt[s.Task] = r.clock()
		r.logger.Info("stopping a stray run", "worker", l.id, "task", s.Task.String(), "run", s.Run)
		r.stop(l, s.Task, s.Run)
	}
}

// announceWorker proposes the announcement of the life, once the minion lists no stray runs. If it may have
// more ends than it lists, they are recorded first: those of a life that the workload does not know yet after a
// partial announcement.
func (r *Runner) announceWorker(l *minionLife, v view) {
	l.announced = false
	if l.announcePending || r.hasStrays(l, v) {
		return
	}
	if l.announcement.Machine == "" {
		// The minion has not sent a status report of this life yet.
		return
	}
	if l.statusToken < r.token() {
		r.pollNow(l)
		return
	}
	if l.status.Partial && v.known {
		// The minion lists the next ends once the first ones are recorded. The runs can be rebuilt from
		// a status that lists all that are left.
		r.recordEnds(l, v)
		return
	}
	r.resetRuns(l, v)
	l.announcePending = true
	a := l.announcement
	ends, partial := len(l.status.Ended), l.status.Partial
	r.propose(workload.Record{Announce: &workload.Announce{
		Life: l.id, Machine: a.Machine, Agent: r.self, NextOffset: r.journal.Offset() + 1, Address: r.settings.Address, Service: a.Service, FailureDomain: r.settings.FailureDomain,
		Rack: a.Rack, Labels: a.Labels, Room: a.Room, Ends: l.status.Ended, Partial: partial, Crashes: l.crashes,
	}}, func(err error) {
		l.announcePending = false
		l.announced = err == nil && !partial
		if l.announced {
			l.crashes = nil
		}
		r.logger.Info("announce worker", "worker", l.id, "machine", a.Machine, "rack", a.Rack, "ends", ends, "partial", partial, "error", err)
	})
}

func (r *Runner) hasStrays(l *minionLife, v view) bool {
	for _, s := range l.status.Running {
		if a, assigned := v.runs[s.Task]; !assigned || a.run != s.Run || v.gone {
			return true
		}
	}
	return false
}

// resetRuns rebuilds the runs from the minion's status. Orders of an earlier agent cannot
// change them any more, since the minion refuses orders with a lower token than that of the poll.
func (r *Runner) resetRuns(l *minionLife, v view) {
	l.runs = map[workload.TaskRef]*runState{}
	if v.gone {
		return
	}
	for _, s := range l.status.Running {
		l.runs[s.Task] = &runState{number: s.Run, phase: phaseStarted, startedAt: l.statusSentAt, orderedAt: l.statusSentAt, pace: unknownPace}
	}
	for _, e := range l.status.Ended {
		if a, assigned := v.runs[e.Task]; assigned && a.run == e.Run {
			l.runs[e.Task] = &runState{number: e.Run, phase: phaseEnded}
		}
	}
}

// reportChanges proposes a report if the worker's condition, checkpoints or progress have
// changed, and a Resume record if the worker is suspected.
func (r *Runner) reportChanges(l *minionLife, v view) {
	if v.suspected && !l.resumePending {
		l.resumePending = true
		r.propose(workload.Record{Resume: &workload.Resume{Life: l.id, Agent: r.self}}, func(err error) {
			l.resumePending = false
			r.logger.Info("suspicion withdrawal proposed", "worker", l.id, "error", err)
		})
	}
	unresponsive := l.unreachable || r.clock()-l.lastAnswerAt > unresponsiveAfter
	saved := r.dueCheckpoints(l, v)
	crashes := l.probableCrashes()
	changed := l.draining && !v.draining || unresponsive != v.unresponsive || l.announcement.Room != v.room || len(crashes) != v.crashes
	var progress []workload.Progress
	if !l.reportPending {
		progress = r.progressReports(l)
	}
	if !changed && len(saved)+len(progress) == 0 || l.reportPending {
		return
	}
	l.reportPending = true
	if unresponsive != v.unresponsive {
		r.logger.Warn("minion answers or not", "worker", l.id, "unresponsive", unresponsive, "unreachable", l.unreachable, "silent_ms", (r.clock() - l.lastAnswerAt).Milliseconds())
	}
	report := &workload.Report{
		Life: l.id, Agent: r.self, Draining: l.draining, Remaining: l.announcement.Remaining, Unresponsive: unresponsive, Saved: saved,
		Progress: progress, Crashes: crashes,
	}
	if room := l.announcement.Room; room != v.room {
		report.Room = &room
	}
	r.propose(workload.Record{Report: report}, func(err error) {
		l.reportPending = false
		if err != nil {
			r.logger.Warn("worker report was not recorded", "worker", l.id, "error", err)
		} else if report.Room != nil {
			r.logger.Info("room has changed", "worker", l.id, "room", *report.Room, "before", v.room, "runs", len(v.runs))
		}
	})
}

// dueCheckpoints returns the checkpoints that are due to be reported and marks them as
// reported.
func (r *Runner) dueCheckpoints(l *minionLife, v view) []workload.SavedCheckpoint {
	if l.reportPending || r.clock()-l.checkpointsReportedAt < checkpointReportInterval {
		return nil
	}
	var saved []workload.SavedCheckpoint
	for _, c := range l.listedCheckpoints() {
		if a := v.runs[c.Task]; a.run == c.Run && a.checkpointing && l.reportedCheckpoints[c.Task] != c.Checkpoint {
			saved = append(saved, c)
		}
	}
	if len(saved) > 0 {
		l.checkpointsReportedAt = r.clock()
		clear(l.reportedCheckpoints)
		for _, c := range l.listedCheckpoints() {
			l.reportedCheckpoints[c.Task] = c.Checkpoint
		}
	}
	return saved
}

// departAfterLapse proposes the departure of an unresponsive minion if all its leases have
// expired, which means that its runs have ended. It reports whether the minion is
// unresponsive and its leases have expired.
func (r *Runner) departAfterLapse(l *minionLife, v view) bool {
	if r.clock()-l.lastAnswerAt <= unresponsiveAfter || r.clock() <= l.leasesEndBy(r.settings.MaxLease)+leaseMargin {
		return false
	}
	if !l.departPending && len(v.runs) > 0 {
		r.depart(l, v, "leases of an unresponsive minion lapsed")
	}
	return true
}

// recordEnds proposes the ends in the minion's status that the workload has not recorded.
func (r *Runner) recordEnds(l *minionLife, v view) {
	if l.endsPending {
		return
	}
	var ends []workload.End
	for _, e := range l.status.Ended {
		if e.Number <= v.seenEnds {
			continue
		}
		if run := l.runs[e.Task]; run != nil && run.number == e.Run {
			if run.phase == phaseStarted && run.fromBeginning {
				e.Ran = l.statusAt - run.startedAt
			}
			run.phase = phaseEnded
		}
		ends = append(ends, e)
	}
	if len(ends) == 0 {
		return
	}
	l.endsPending = true
	r.propose(workload.Record{Ends: &workload.Ends{Life: l.id, Ends: ends}}, func(err error) {
		l.endsPending = false
		if err != nil {
			r.logger.Debug("run ends were not recorded", "worker", l.id, "ends", len(ends), "error", err)
			return
		}
		for _, e := range ends {
			r.logger.Info("end", "worker", l.id, "number", e.Number, "task", e.Task.String(), "run", e.Run, "how", e.How, "ran_ms", e.Ran.Milliseconds())
		}
	})
}
