package runner

import (
	"time"

	"corianderpass/internal/process/workload"
)

// reconcile does everything that is due. It runs after every event.
func (r *Runner) reconcile() {
	if r.base == 0 {
		if _, caughtUp := r.journal.Fresh(); !caughtUp {
			return
		}
		// Earlier agents took their base before they announced themselves, and their
		// announcement is in the workload that this one has read.
		r.base = Token(r.journal.Offset()+1) * tokenGenerations
	}
	l := r.life
	if l == nil || !r.fresh() {
		return
	}
	v := r.view()
	if l.left {
		r.partFrom(l, v)
		return
	}
	if l.sightToken < r.base || l.sightAt == 0 {
		return
	}
	r.stopStrays(l, v)
	if !l.ready || !v.known || v.gone || v.agent != r.self {
		r.introduce(l, v)
		return
	}
	r.report(l, v)
	if r.writeOff(l, v) {
		return
	}
	r.recordEnds(l, v)
	r.steer(l, v)
	r.keepPace(l, v)
}

// freshWithin is how old the workload may be for anything to be done.
const freshWithin = 3 * time.Second

func (r *Runner) fresh() bool {
	fresh, caughtUp := r.journal.Fresh()
	return caughtUp && r.clock()-fresh < freshWithin
}

// partFrom records the end of a life that said goodbye, once it is gone.
func (r *Runner) partFrom(l *life, v view) {
	if l.departing || r.clock()-l.leftAt < leaveDelay {
		return
	}
	if !v.known || v.gone {
		r.life = nil
		return
	}
	r.depart(l, "goodbye")
}

func (r *Runner) depart(l *life, cause string) {
	l.departing = true
	r.propose(workload.Record{Depart: &workload.Depart{Life: l.id, Saved: l.checkpoints()}}, func(err error) {
		l.departing = false
		r.logger.Info("worker departs", "worker", l.id, "cause", cause, "runs", len(l.runs), "error", err)
	})
}

// checkpoints returns the newest checkpoints that the minion listed.
func (l *life) checkpoints() []workload.SavedCheckpoint {
	var saved []workload.SavedCheckpoint
	for _, x := range l.sight.Running {
		if x.Checkpoint != "" {
			saved = append(saved, workload.SavedCheckpoint{Task: x.Task, Run: x.Run, Checkpoint: x.Checkpoint})
		}
	}
	return saved
}

// stopStrays ends what runs without the workload's will, such as what an earlier
// agent ordered and what has since been given to another worker.
func (r *Runner) stopStrays(l *life, v view) {
	for _, x := range l.sight.Running {
		if o, ordered := v.runs[x.Task]; ordered && o.run == x.Run && !v.gone {
			continue
		}
		if at, sent := l.strayStops[x.Task]; sent && r.clock()-at < stopAgain {
			continue
		}
		l.strayStops[x.Task] = r.clock()
		r.logger.Info("stop a stray run", "worker", l.id, "task", x.Task.String(), "run", x.Run)
		r.stop(l, x.Task, x.Run)
	}
}

// introduce announces the life once nothing runs there that the workload does not
// know of.
func (r *Runner) introduce(l *life, v view) {
	l.ready = false
	if l.announcing || r.hasStrays(l, v) {
		return
	}
	if l.said.Machine == "" {
		// The life has not said yet what it is.
		return
	}
	if l.sightToken < r.token() {
		r.lookSoon(l)
		return
	}
	r.resetRuns(l, v)
	l.announcing = true
	a := l.said
	r.propose(workload.Record{Announce: &workload.Announce{
		Life: l.id, Machine: a.Machine, Agent: r.self, Address: r.settings.Address, Service: a.Service, FailureDomain: r.settings.FailureDomain,
		Rack: a.Rack, Labels: a.Labels, Room: a.Room,
	}}, func(err error) {
		l.announcing = false
		l.ready = err == nil
		r.logger.Info("announce worker", "worker", l.id, "machine", a.Machine, "rack", a.Rack, "error", err)
	})
}

func (r *Runner) hasStrays(l *life, v view) bool {
	for _, x := range l.sight.Running {
		if o, ordered := v.runs[x.Task]; !ordered || o.run != x.Run || v.gone {
			return true
		}
	}
	return false
}

// resetRuns takes what the minion lists as the truth on the runs of an earlier
// agent: the token of the look has made its orders void.
func (r *Runner) resetRuns(l *life, v view) {
	l.runs = map[workload.TaskRef]*run{}
	if v.gone {
		return
	}
	for _, x := range l.sight.Running {
		l.runs[x.Task] = &run{number: x.Run, phase: phaseStarted, since: l.sightSent, pace: unknownPace}
	}
	for _, e := range l.sight.Ended {
		if o, ordered := v.runs[e.Task]; ordered && o.run == e.Run {
			l.runs[e.Task] = &run{number: e.Run, phase: phaseEnded}
		}
	}
}

// report records what changed about the worker.
func (r *Runner) report(l *life, v view) {
	if v.suspected && !l.resuming {
		l.resuming = true
		r.propose(workload.Record{Resume: &workload.Resume{Life: l.id}}, func(err error) {
			l.resuming = false
			r.logger.Info("withdraw the suspicion", "worker", l.id, "error", err)
		})
	}
	unresponsive := r.clock()-l.lastAnswer > unresponsiveAfter
	saved := r.newCheckpoints(l, v)
	news := l.draining && !v.draining || unresponsive != v.unresponsive
	var progress []workload.Progress
	if !l.reporting {
		progress = r.progressNews(l)
	}
	if !news && len(saved)+len(progress) == 0 || l.reporting {
		return
	}
	l.reporting = true
	if unresponsive != v.unresponsive {
		r.logger.Warn("minion answers or not", "worker", l.id, "unresponsive", unresponsive, "silent_ms", (r.clock() - l.lastAnswer).Milliseconds())
	}
	r.propose(workload.Record{Report: &workload.Report{
		Life: l.id, Draining: l.draining, Remaining: l.said.Remaining, Unresponsive: unresponsive, Saved: saved,
		Progress: progress,
	}}, func(err error) {
		l.reporting = false
		if err != nil {
			r.logger.Warn("report was not recorded", "worker", l.id, "error", err)
		}
	})
}

// newCheckpoints returns the checkpoints that are due to be reported.
func (r *Runner) newCheckpoints(l *life, v view) []workload.SavedCheckpoint {
	if l.reporting || r.clock()-l.savedReportedAt < reportSavedEvery {
		return nil
	}
	var saved []workload.SavedCheckpoint
	for _, c := range l.checkpoints() {
		if o := v.runs[c.Task]; o.run == c.Run && o.checkpointing && l.savedReported[c.Task] != c.Checkpoint {
			saved = append(saved, c)
		}
	}
	if len(saved) > 0 {
		l.savedReportedAt = r.clock()
		clear(l.savedReported)
		for _, c := range l.checkpoints() {
			l.savedReported[c.Task] = c.Checkpoint
		}
	}
	return saved
}

// writeOff records that everything on a minion that does not answer has ended,
// once every lease has run out.
func (r *Runner) writeOff(l *life, v view) bool {
	if r.clock()-l.lastAnswer <= unresponsiveAfter || r.clock() <= l.leaseEnd+leaseMargin {
		return false
	}
	if !l.departing && len(v.runs) > 0 {
		r.depart(l, "leases of an unresponsive minion have lapsed")
	}
	return true
}

// recordEnds records the ends that the minion lists.
func (r *Runner) recordEnds(l *life, v view) {
	if l.ending {
		return
	}
	var ends []workload.End
	for _, e := range l.sight.Ended {
		if e.Number <= v.seenEnds {
			continue
		}
		if x := l.runs[e.Task]; x != nil && x.number == e.Run {
			if x.phase == phaseStarted && x.whole {
				e.Ran = l.sightAt - x.since
			}
			x.phase = phaseEnded
		}
		ends = append(ends, e)
	}
	if len(ends) == 0 {
		return
	}
	l.ending = true
	r.propose(workload.Record{Ends: &workload.Ends{Life: l.id, Ends: ends}}, func(err error) {
		l.ending = false
		if err != nil {
			r.logger.Debug("ends were not recorded", "worker", l.id, "ends", len(ends), "error", err)
			return
		}
		for _, e := range ends {
			r.logger.Info("end", "worker", l.id, "number", e.Number, "task", e.Task.String(), "run", e.Run, "how", e.How, "ran_ms", e.Ran.Milliseconds())
		}
	})
}
