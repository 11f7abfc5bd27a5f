package entry

import (
	"context"
	"sync"
	"time"

	"corianderpass/internal/process/gang"
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/process/membership"
	"corianderpass/internal/process/placement"
	"corianderpass/pkg/platform"
)

const (
	// maxScheduleInterval and minScheduleInterval are the longest and shortest time
	// between two calls of scheduleOnce, however often the ledger changes.
	maxScheduleInterval = 100 * time.Millisecond
	minScheduleInterval = 5 * time.Millisecond
	// maxDecisionInterval is the time after which placements are decided again although
	// the ledger has not changed.
	maxDecisionInterval = time.Second
	// rankDelay is how much longer each entry waits than the one ranked before it. An
	// entry only acts if those ranked before it have not.
	rankDelay = 300 * time.Millisecond
	// proposalRetryDelay is how long a job is not placed again after the proposal of its
	// placement failed.
	proposalRetryDelay = 200 * time.Millisecond
	// startupGrace is the time after the start in which an entry does not treat other
	// processes as dead, since their first heartbeats may not have arrived yet.
	startupGrace = membership.HomeEntryTimeout + time.Second
	// proposeTimeout limits the wait for the verdict on a proposed record.
	proposeTimeout = 5 * time.Second
)

// scheduler is the state of an entry's proposals of placements, takeovers and bundles. mu
// protects all fields.
type scheduler struct {
	mu sync.Mutex
	// skipUntil has the jobs that must not be placed or taken over before the given
	// time, since a proposal for them is pending or has just failed.
	skipUntil map[ledger.JobID]time.Time
	// decidedRevision is the ledger's revision at the last placement decision, and
	// decidedAt the time of that decision.
	decidedRevision platform.Offset
	decidedAt       time.Time
	// stuckSince is the time since which the number of waiting jobs has not fallen;
	// zero if none is waiting. waitingJobs is that number at the last check.
	stuckSince  time.Time
	waitingJobs int
	// adopting is true from the time at which adoptBundle finds the ledger's bundle too old
	// until its proposal is decided, or dropped because another entry's came first.
	adopting bool
}

func newScheduler() scheduler {
	return scheduler{skipUntil: map[ledger.JobID]time.Time{}}
}

// startScheduling calls scheduleOnce whenever the ledger changes, and at least every
// maxScheduleInterval. The channel receives nil after ctx has ended.
func (e *Entry) startScheduling(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			changed := e.ledger.Changed()
			e.scheduleOnce(ctx)
			sleep(ctx, minScheduleInterval)
			timer := time.NewTimer(maxScheduleInterval - minScheduleInterval)
			select {
			case <-changed:
			case <-timer.C:
			case <-ctx.Done():
			}
			timer.Stop()
		}
		ended <- nil
	}()
	return ended
}

// scheduleOnce drives this entry's gangs and, if the ledger is read to its end and can be
// written, proposes a newer bundle, takeovers and placements as needed.
func (e *Entry) scheduleOnce(ctx context.Context) {
	now := time.Now()
	if e.outdated() {
		return
	}
	e.driveGangs(ctx, now)
	if !e.ledger.CaughtUp() || e.ledger.Down() {
		return
	}
	e.adoptBundle(ctx)
	e.takeOverGangs(ctx, now)
	e.decidePlacements(ctx, now)
}

// outdated reports whether the ledger has newer rules than this build. It then makes Run
// return, so that other entries take over the gangs.
func (e *Entry) outdated() bool {
	isOutdated := false
	e.ledger.View(func(time.Time) { isOutdated = e.state.Outdated() })
	if isOutdated {
		e.exitOnce.Do(func() { close(e.mustExit) })
	}
	return isOutdated
}

// driveGangs passes the jobs whose driver is this entry to the gang driver.
func (e *Entry) driveGangs(ctx context.Context, now time.Time) {
	var jobs []ledger.Job
	var rules gang.Rules
	e.ledger.View(func(time.Time) {
		e.shortfall.Store(int64(e.state.Shortfall()))
		if b := e.state.Bundle(); b != nil {
			rules = gang.Rules{Grace: b.Sharing.CheckpointGrace.Std(), CheckpointEvery: b.Sharing.CheckpointEvery.Std()}
		}
		for _, j := range e.state.Active(func(j *ledger.Job) bool { return j.HoldsAccelerators() && j.Driver == e.member.ID }) {
			jobs = append(jobs, *j)
		}
	})
	e.driver.Tick(ctx, now, rules, jobs)
}

// adoptBundle proposes the bundle in force to the ledger if the ledger still has an older
// one. Each entry first waits rankDelay times its rank and checks again, since one proposal
// is enough.
func (e *Entry) adoptBundle(ctx context.Context) {
	current := e.register.Current()
	if current == nil {
		return
	}
	behind := false
	e.ledger.View(func(time.Time) { behind = e.state.Version() < current.Version })
	e.scheduler.mu.Lock()
	defer e.scheduler.mu.Unlock()
	if !behind || e.scheduler.adopting {
		return
	}
	e.scheduler.adopting = true
	rank := membership.RankOf("adopt", e.directory.Entries(e.settings.Region), e.member.ID)
	e.runInBackground(func() {
		sleep(ctx, time.Duration(rank)*rankDelay)
		stillBehind := false
		e.ledger.View(func(time.Time) { stillBehind = e.state.Version() < current.Version })
		if stillBehind {
			e.proposeAndLog(ctx, ledger.Record{Adopt: &ledger.Adopt{Version: current.Version, Bundle: current.Bundle}})
		}
		e.scheduler.mu.Lock()
		e.scheduler.adopting = false
		e.scheduler.mu.Unlock()
	})
}

// takeOverGangs takes over the gangs of dead and leaving drivers for which this entry ranks
// first.
func (e *Entry) takeOverGangs(ctx context.Context, now time.Time) {
	if now.Sub(e.startedAt) < startupGrace || e.leaving.Load() {
		return
	}
	entries := e.directory.Entries(e.settings.Region)
	isAvailable := make(map[string]bool, len(entries))
	for _, m := range entries {
		isAvailable[string(m.ID)] = true
	}
	var takeovers []ledger.Takeover
	e.ledger.View(func(time.Time) {
		for _, j := range e.state.Active(func(j *ledger.Job) bool { return j.HoldsAccelerators() && !isAvailable[string(j.Driver)] }) {
			if membership.RankOf(string(j.ID), entries, e.member.ID) == 0 {
				takeovers = append(takeovers, ledger.Takeover{Job: j.ID, Epoch: j.Epoch + 1, Driver: e.member.ID})
			}
		}
	})
	for _, t := range takeovers {
		if e.scheduler.startProposal(t.Job, now, proposeTimeout) {
			e.runInBackground(func() {
				e.proposeAndLog(ctx, ledger.Record{Takeover: &t})
				e.scheduler.endProposal(t.Job, time.Now())
			})
		}
	}
}

// decidePlacements decides placements and proposes them, if shouldDecide allows it. The
// driver of a gang is the entry that ranks first for the job.
func (e *Entry) decidePlacements(ctx context.Context, now time.Time) {
	if e.leaving.Load() {
		return
	}
	entries := e.directory.Entries(e.settings.Region)
	rank := membership.RankOf("placement", entries, e.member.ID)
	var decision placement.Decision
	e.ledger.View(func(at time.Time) {
		waiting := e.state.Active(func(j *ledger.Job) bool { return j.Phase == ledger.PhaseWaiting })
		if !e.scheduler.shouldDecide(now, rank, e.ledgerRevision(), len(waiting)) {
			return
		}
		// The ledger's clock only advances with its records, so that the local clock may
		// be ahead of it.
		decision = e.policy.Decide(e.state, latest(now, at), func(id ledger.JobID) bool { return e.scheduler.isSkipped(id, now) })
	})
	for _, y := range decision.Yields {
		e.runInBackground(func() { _ = e.proposeAndLog(ctx, ledger.Record{Yield: &y}) })
	}
	for _, p := range decision.Places {
		p.Driver = e.member.ID
		if ranked := membership.Rank(string(p.Job), entries); len(ranked) > 0 {
			p.Driver = ranked[0].ID
		}
		e.proposePlacement(ctx, now, p)
	}
}

// ledgerRevision returns the revision of the ledger's state, which differs after each change.
// It must be called under the ledger's lock.
func (e *Entry) ledgerRevision() platform.Offset { return e.state.Revision() }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (e *Entry) proposePlacement(ctx context.Context, now time.Time, p ledger.Place) {
	if !e.scheduler.startProposal(p.Job, now, proposeTimeout) {
		return
	}
	e.runInBackground(func() {
		err := e.proposeAndLog(ctx, ledger.Record{Place: &p})
		retryAt := time.Now()
		if err != nil {
			retryAt = retryAt.Add(proposalRetryDelay)
		}
		e.scheduler.endProposal(p.Job, retryAt)
	})
}

// shouldDecide reports whether the entry decides placements now, and if so records that it
// does. If jobs are waiting, the entry of rank 0 decides after each change of the ledger and at
// least every maxDecisionInterval. The others do so only once the number of waiting jobs has
// not fallen for rankDelay times their rank, and at most every rankDelay.
func (s *scheduler) shouldDecide(now time.Time, rank int, revision platform.Offset, waiting int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if waiting == 0 {
		s.stuckSince = time.Time{}
		s.waitingJobs = 0
		return false
	}
	if s.stuckSince.IsZero() || waiting < s.waitingJobs {
		s.stuckSince = now
	}
	s.waitingJobs = waiting
	if rank > 0 && (now.Sub(s.stuckSince) < time.Duration(rank)*rankDelay || now.Sub(s.decidedAt) < rankDelay) {
		return false
	}
	if revision == s.decidedRevision && now.Sub(s.decidedAt) < maxDecisionInterval {
		return false
	}
	s.decidedRevision = revision
	s.decidedAt = now
	return true
}

func (s *scheduler) isSkipped(id ledger.JobID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, skipped := s.skipUntil[id]
	return skipped && now.Before(until)
}

// startProposal marks the job as pending for at most the timeout. It reports false if the
// job is already marked.
func (s *scheduler) startProposal(id ledger.JobID, now time.Time, timeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until, skipped := s.skipUntil[id]; skipped && now.Before(until) {
		return false
	}
	s.skipUntil[id] = now.Add(timeout)
	return true
}

// endProposal allows proposals for the job again from retryAt on. It also removes marks that
// expired more than proposeTimeout before that.
func (s *scheduler) endProposal(id ledger.JobID, retryAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipUntil[id] = retryAt
	for job, until := range s.skipUntil {
		if retryAt.Sub(until) > proposeTimeout {
			delete(s.skipUntil, job)
		}
	}
}

// runInBackground runs f in a goroutine that the entry waits for before it ends.
func (e *Entry) runInBackground(f func()) {
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		f()
	}()
}

// propose sets the record's rules to those in force and proposes it to the ledger.
func (e *Entry) propose(ctx context.Context, r ledger.Record) error {
	e.ledger.View(func(time.Time) { r.Rules = e.state.RulesVersion() })
	return e.ledger.Propose(ctx, r)
}

// proposeAndLog proposes a record within proposeTimeout. It logs an error and returns it.
func (e *Entry) proposeAndLog(ctx context.Context, r ledger.Record) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := e.propose(ctx, r)
	if err != nil {
		e.logger.Debug("proposal failed", "error", err)
	}
	return err
}

// sleep waits for d and returns true, or returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
