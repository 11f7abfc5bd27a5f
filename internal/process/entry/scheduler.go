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
	// maxScheduleInterval is the longest time between two looks at the ledger,
	// scheduleSpacing the shortest, however fast it moves.
	maxScheduleInterval = 100 * time.Millisecond
	minScheduleInterval = 5 * time.Millisecond
	// maxDecisionInterval is the longest time between two decisions on an unchanged ledger.
	maxDecisionInterval = time.Second
	// rankDelay is how long each further entry waits for the ones ranked
	// before it to decide.
	rankDelay = 300 * time.Millisecond
	// voidRetryDelay keeps a job out of decisions after a void placement.
	voidRetryDelay = 200 * time.Millisecond
	// startupGrace is how long a new entry listens before it calls others dead.
	startupGrace = membership.HomeEntryTimeout + time.Second
	// proposeTimeout bounds the wait for the verdict of a decision.
	proposeTimeout = 5 * time.Second
)

// scheduler is what an entry remembers between two looks at the ledger.
type scheduler struct {
	mu sync.Mutex
	// skipUntil has jobs whose placement is under way or was void, until when.
	skipUntil map[ledger.JobID]time.Time
	// decided is the ledger's offset and the moment of the last decision.
	decidedRevision platform.Offset
	decidedAt       time.Time
	// stuckSince is since when jobs wait without any being placed.
	stuckSince  time.Time
	waitingJobs int
	// adopting is true while a bundle is being proposed to the ledger.
	adopting bool
}

func newScheduler() scheduler {
	return scheduler{skipUntil: map[ledger.JobID]time.Time{}}
}

// startScheduling looks at the ledger whenever it moves, and from time to time.
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

// scheduleOnce looks at the ledger once and does what is this entry's to do.
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

// outdated tells whether this build is too old for the ledger, and makes the
// process end then: others take its gangs over.
func (e *Entry) outdated() bool {
	isOutdated := false
	e.ledger.View(func(time.Time) { isOutdated = e.state.Outdated() })
	if isOutdated {
		e.exitOnce.Do(func() { close(e.mustExit) })
	}
	return isOutdated
}

// driveGangs hands the driver its jobs.
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

// adoptBundle proposes a bundle that the ledger has not taken over yet. The entries
// take turns, since one proposal is enough.
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

// takeOverGangs gives the gangs of dead and leaving drivers to living entries.
func (e *Entry) takeOverGangs(ctx context.Context, now time.Time) {
	if now.Sub(e.startedAt) < startupGrace || e.leaving.Load() {
		return
	}
	entries := e.directory.Entries(e.settings.Region)
	isAlive := make(map[string]bool, len(entries))
	for _, m := range entries {
		isAlive[string(m.ID)] = true
	}
	var takeovers []ledger.Takeover
	e.ledger.View(func(time.Time) {
		for _, j := range e.state.Active(func(j *ledger.Job) bool { return j.HoldsAccelerators() && !isAlive[string(j.Driver)] }) {
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

// decidePlacements proposes placements if it is this entry's turn.
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
		// The ledger's time stands still while nothing is recorded.
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

// ledgerRevision counts the moves of the ledger; call it under Look.
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
			retryAt = retryAt.Add(voidRetryDelay)
		}
		e.scheduler.endProposal(p.Job, retryAt)
	})
}

// shouldDecide tells whether the entry decides now: the first ranked one whenever the
// ledger moved, the others when those before them let jobs wait.
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

// startProposal marks a job as under way, unless it is already.
func (s *scheduler) startProposal(id ledger.JobID, now time.Time, timeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until, skipped := s.skipUntil[id]; skipped && now.Before(until) {
		return false
	}
	s.skipUntil[id] = now.Add(timeout)
	return true
}

// endProposal lets a job be decided on again from the time on.
func (s *scheduler) endProposal(id ledger.JobID, retryAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipUntil[id] = retryAt
	for id, until := range s.skipUntil {
		if retryAt.Sub(until) > proposeTimeout {
			delete(s.skipUntil, id)
		}
	}
}

// runInBackground runs f in a goroutine that the entry waits for at its end.
func (e *Entry) runInBackground(f func()) {
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		f()
	}()
}

// propose stamps the record with the rules in force and proposes it.
func (e *Entry) propose(ctx context.Context, r ledger.Record) error {
	e.ledger.View(func(time.Time) { r.Rules = e.state.RulesVersion() })
	return e.ledger.Propose(ctx, r)
}

// proposeAndLog proposes a record for which nobody waits.
func (e *Entry) proposeAndLog(ctx context.Context, r ledger.Record) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := e.propose(ctx, r)
	if err != nil {
		e.logger.Debug("proposal had no effect", "error", err)
	}
	return err
}

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
