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
	// scheduleEvery is the longest time between two looks at the ledger,
	// scheduleSpacing the shortest, however fast it moves.
	scheduleEvery   = 100 * time.Millisecond
	scheduleSpacing = 5 * time.Millisecond
	// decideEvery is the longest time between two decisions on an unchanged ledger.
	decideEvery = time.Second
	// standInDelay is how long each further entry waits for the ones ranked
	// before it to decide.
	standInDelay = 300 * time.Millisecond
	// voidPause keeps a job out of decisions after a void placement.
	voidPause = 200 * time.Millisecond
	// settleIn is how long a new entry listens before it calls others dead.
	settleIn = membership.HomeEntryTimeout + time.Second
	// proposeTimeout bounds the wait for the verdict of a decision.
	proposeTimeout = 5 * time.Second
)

// scheduler is what an entry remembers between two looks at the ledger.
type scheduler struct {
	mu sync.Mutex
	// skip has jobs whose placement is under way or was void, until when.
	skip map[ledger.JobID]time.Time
	// decided is the ledger's offset and the moment of the last decision.
	decidedAt platform.Offset
	decided   time.Time
	// stuckSince is since when jobs wait without any being placed.
	stuckSince time.Time
	waiting    int
	// adopting is true while a bundle is being proposed to the ledger.
	adopting bool
}

func newScheduler() scheduler {
	return scheduler{skip: map[ledger.JobID]time.Time{}}
}

// scheduleOnChange looks at the ledger whenever it moves, and from time to time.
func (e *Entry) scheduleOnChange(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			changed := e.ledger.Changed()
			e.schedule(ctx)
			sleep(ctx, scheduleSpacing)
			late := time.NewTimer(scheduleEvery - scheduleSpacing)
			select {
			case <-changed:
			case <-late.C:
			case <-ctx.Done():
			}
			late.Stop()
		}
		ended <- nil
	}()
	return ended
}

// schedule looks at the ledger once and does what is this entry's to do.
func (e *Entry) schedule(ctx context.Context) {
	now := time.Now()
	if e.outdated() {
		return
	}
	e.drive(ctx, now)
	if !e.ledger.CaughtUp() || e.ledger.Down() {
		return
	}
	e.adopt(ctx)
	e.takeOver(ctx, now)
	e.decide(ctx, now)
}

// outdated tells whether this build is too old for the ledger, and makes the
// process end then: others take its gangs over.
func (e *Entry) outdated() bool {
	old := false
	e.ledger.View(func(time.Time) { old = e.state.Outdated() })
	if old {
		e.breakOnce.Do(func() { close(e.broken) })
	}
	return old
}

// drive hands the driver its jobs.
func (e *Entry) drive(ctx context.Context, now time.Time) {
	var own []ledger.Job
	var rules gang.Rules
	e.ledger.View(func(time.Time) {
		e.shortfall.Store(int64(e.state.Shortfall()))
		if b := e.state.Bundle(); b != nil {
			rules = gang.Rules{Grace: b.Sharing.CheckpointGrace.Std(), CheckpointEvery: b.Sharing.CheckpointEvery.Std()}
		}
		for _, j := range e.state.Active(func(j *ledger.Job) bool { return j.HoldsAccelerators() && j.Driver == e.member.ID }) {
			own = append(own, *j)
		}
	})
	e.driver.Tick(ctx, now, rules, own)
}

// adopt proposes a bundle that the ledger has not taken over yet. The entries
// take turns, since one proposal is enough.
func (e *Entry) adopt(ctx context.Context) {
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
	e.spawn(func() {
		sleep(ctx, time.Duration(rank)*standInDelay)
		still := false
		e.ledger.View(func(time.Time) { still = e.state.Version() < current.Version })
		if still {
			e.proposeQuietly(ctx, ledger.Record{Adopt: &ledger.Adopt{Version: current.Version, Bundle: current.Bundle}})
		}
		e.scheduler.mu.Lock()
		e.scheduler.adopting = false
		e.scheduler.mu.Unlock()
	})
}

// takeOver gives the gangs of dead and leaving drivers to living entries.
func (e *Entry) takeOver(ctx context.Context, now time.Time) {
	if now.Sub(e.began) < settleIn || e.leaving.Load() {
		return
	}
	entries := e.directory.Entries(e.settings.Region)
	living := make(map[string]bool, len(entries))
	for _, m := range entries {
		living[string(m.ID)] = true
	}
	var orphans []ledger.Takeover
	e.ledger.View(func(time.Time) {
		for _, j := range e.state.Active(func(j *ledger.Job) bool { return j.HoldsAccelerators() && !living[string(j.Driver)] }) {
			if membership.RankOf(string(j.ID), entries, e.member.ID) == 0 {
				orphans = append(orphans, ledger.Takeover{Job: j.ID, Epoch: j.Epoch + 1, Driver: e.member.ID})
			}
		}
	})
	for _, t := range orphans {
		if e.scheduler.claim(t.Job, now, proposeTimeout) {
			e.spawn(func() {
				e.proposeQuietly(ctx, ledger.Record{Takeover: &t})
				e.scheduler.release(t.Job, time.Now())
			})
		}
	}
}

// decide proposes placements if it is this entry's turn.
func (e *Entry) decide(ctx context.Context, now time.Time) {
	if e.leaving.Load() {
		return
	}
	entries := e.directory.Entries(e.settings.Region)
	rank := membership.RankOf("placement", entries, e.member.ID)
	var decision placement.Decision
	e.ledger.View(func(at time.Time) {
		waiting := e.state.Active(func(j *ledger.Job) bool { return j.Phase == ledger.PhaseWaiting })
		if !e.scheduler.due(now, rank, e.ledgerOffset(), len(waiting)) {
			return
		}
		// The ledger's time stands still while nothing is recorded.
		decision = e.policy.Decide(e.state, later(now, at), func(id ledger.JobID) bool { return e.scheduler.skips(id, now) })
	})
	for _, y := range decision.Yields {
		e.spawn(func() { _ = e.proposeQuietly(ctx, ledger.Record{Yield: &y}) })
	}
	for _, p := range decision.Places {
		p.Driver = e.member.ID
		if ranked := membership.Rank(string(p.Job), entries); len(ranked) > 0 {
			p.Driver = ranked[0].ID
		}
		e.place(ctx, now, p)
	}
}

// ledgerOffset counts the moves of the ledger; call it under Look.
func (e *Entry) ledgerOffset() platform.Offset { return e.state.Revision() }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (e *Entry) place(ctx context.Context, now time.Time, p ledger.Place) {
	if !e.scheduler.claim(p.Job, now, proposeTimeout) {
		return
	}
	e.spawn(func() {
		err := e.proposeQuietly(ctx, ledger.Record{Place: &p})
		until := time.Now()
		if err != nil {
			until = until.Add(voidPause)
		}
		e.scheduler.release(p.Job, until)
	})
}

// due tells whether the entry decides now: the first ranked one whenever the
// ledger moved, the others when those before them let jobs wait.
func (s *scheduler) due(now time.Time, rank int, offset platform.Offset, waiting int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if waiting == 0 {
		s.stuckSince = time.Time{}
		s.waiting = 0
		return false
	}
	if s.stuckSince.IsZero() || waiting < s.waiting {
		s.stuckSince = now
	}
	s.waiting = waiting
	if rank > 0 && (now.Sub(s.stuckSince) < time.Duration(rank)*standInDelay || now.Sub(s.decided) < standInDelay) {
		return false
	}
	if offset == s.decidedAt && now.Sub(s.decided) < decideEvery {
		return false
	}
	s.decidedAt = offset
	s.decided = now
	return true
}

func (s *scheduler) skips(id ledger.JobID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, skipped := s.skip[id]
	return skipped && now.Before(until)
}

// claim marks a job as under way, unless it is already.
func (s *scheduler) claim(id ledger.JobID, now time.Time, most time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until, skipped := s.skip[id]; skipped && now.Before(until) {
		return false
	}
	s.skip[id] = now.Add(most)
	return true
}

// release lets a job be decided on again from the time on.
func (s *scheduler) release(id ledger.JobID, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skip[id] = from
	for k, until := range s.skip {
		if from.Sub(until) > proposeTimeout {
			delete(s.skip, k)
		}
	}
}

// spawn runs f in a goroutine that the entry waits for at its end.
func (e *Entry) spawn(f func()) {
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

// proposeQuietly proposes a record for which nobody waits.
func (e *Entry) proposeQuietly(ctx context.Context, r ledger.Record) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := e.propose(ctx, r)
	if err != nil {
		e.logger.Debug("proposal had no effect", "error", err)
	}
	return err
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
