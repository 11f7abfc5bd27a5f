// Package scheduler runs on every entry. Each of them decides on the same state;
// the one that the workload names as leader proposes. Another one takes the lead
// when something is due that the leader does not propose.
package scheduler

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"corianderpass/internal/process/allocation"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/permit"
	"corianderpass/internal/process/presence"
	"corianderpass/internal/process/steady"
	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
)

const (
	// gatherTime is how long news are gathered before a decision, so that what
	// arrives together is decided together.
	gatherTime = 8 * time.Millisecond
	// tick is the time between two decisions while nothing moves: dues, leases and
	// silences depend on the time alone.
	tick = 100 * time.Millisecond
	// patience is how long a decision may be due before another entry than the
	// leader proposes it; a leader needs some tens of milliseconds. A lead that is
	// taken too soon costs one round of decisions.
	patience = 350 * time.Millisecond
	// questionPatience is how long a question to the adviser may be open before
	// another entry asks; the leader shows itself three times as often.
	questionPatience = 4 * time.Second
	// patienceCalls is how many calls to the log a decision may lie at least: the leader
	// reads what is new, appends, and reads it back, and this entry reads it in turn;
	// one more for calls that wait for each other.
	patienceCalls = 5
	// patienceStep spreads the entries that wait to take the lead.
	patienceStep = 120 * time.Millisecond
	// proposeTimeout bounds the wait for the verdict on a proposal.
	proposeTimeout = 3 * time.Second
	// freshWithin is how old the state may be for a decision.
	freshWithin = 2 * time.Second
)

// Settings are the figures that the scheduler depends on.
type Settings struct {
	Allocation allocation.Rules
	// SuspectAfter is the silence after which a worker is suspected.
	SuspectAfter time.Duration
	// LapseAfter is the time after a recorded suspicion at which every lease of
	// the worker has surely run out.
	LapseAfter time.Duration
	// Retention is how long ended jobs are kept.
	Retention time.Duration
	// Rank spreads the entries that wait to take the lead; 0 is the first.
	Rank int
}

// Notify tells the agent at an address that the stream has something for it.
type Notify func(ctx context.Context, address incarnation.Address) error

// noticeTimeout bounds one notice, which is worth nothing after a pause of the agent.
const noticeTimeout = 300 * time.Millisecond

// Scheduler is one entry's part in the decisions. Use New.
type Scheduler struct {
	settings Settings
	self     incarnation.ID
	journal  *journal.Journal[workload.Record]
	state    *workload.State
	presence *presence.Listener
	bundles  *bundle.Register
	permits  *permit.Cache
	clock    steady.Clock
	logger   hclog.Logger
	notify   Notify
	// notices counts the notices under way.
	notices sync.WaitGroup

	leaving atomic.Bool

	// The fields below belong to the goroutine that decides, but for memory,
	// which is used under the journal's lock.
	memory allocation.History
	// suspected are when suspicions were first seen here.
	suspected map[workload.LifeID]time.Duration
	// present are the lives that were neither gone nor suspected.
	present map[workload.LifeID]bool
	// endedJobs and endedLives are when ends of jobs and lives were first seen here.
	endedJobs  map[workload.JobID]time.Duration
	endedLives map[workload.LifeID]time.Duration
	// overdueSince is since when something was due without being proposed; 0 if
	// nothing is.
	overdueSince time.Duration
	overdueLed   uint64
	// shownAt is when this process recorded something as the leader.
	shownAt time.Duration
}

// New returns a scheduler that does nothing before Start. It observes the state.
func New(s Settings, self incarnation.ID, j *journal.Journal[workload.Record], state *workload.State,
	listener *presence.Listener, bundles *bundle.Register, permits *permit.Cache, clock steady.Clock, logger hclog.Logger,
	notify Notify,
) *Scheduler {
	return &Scheduler{
		settings: s, self: self, journal: j, state: state, presence: listener, bundles: bundles, permits: permits, clock: clock,
		logger: logger.Named("scheduler"), notify: notify,
		suspected: map[workload.LifeID]time.Duration{}, present: map[workload.LifeID]bool{},
		endedJobs: map[workload.JobID]time.Duration{}, endedLives: map[workload.LifeID]time.Duration{},
	}
}

// Observe learns from an event of the state. It is called under the journal's lock.
func (s *Scheduler) Observe(e workload.Event) {
	if p := e.Progress; p.Run > 0 {
		left := p.Left
		if p.Stalled {
			left = allocation.NoProgress
		}
		s.memory.SetRemaining(p.Task, p.Run, left, s.clock())
		return
	}
	if r := e.Refusal; r != nil && r.Reason == workload.RefusalNoPermit {
		s.permits.Drop(r.Task.StepRef(), r.Life)
	}
	if e.Job != nil && e.Worker != nil && e.RunEnd.How == workload.RunFailed {
		s.memory.RecordFailure(e.Job, e.RunEnd.Task, e.Worker.Life)
	}
	if e.Job == nil || e.RunEnd.How != workload.RunDone {
		return
	}
	s.memory.RecordSuccess(e.Job, e.RunEnd.Task, e.RunEnd.Ran)
}

// Start decides until the context ends.
func (s *Scheduler) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(tick)
		defer ticker.Stop()
		for ctx.Err() == nil {
			changed := s.journal.Changed()
			if !s.round(ctx) {
				// Who does not lead only watches, and need not hurry.
				changed = nil
			}
			select {
			case <-ctx.Done():
			case <-ticker.C:
			case <-s.permits.Changed():
			case <-changed:
				sleep(ctx, gatherTime)
			}
		}
		s.notices.Wait()
		ended <- nil
	}()
	return ended
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// round decides once and proposes what is due. It tells whether this process leads.
func (s *Scheduler) round(ctx context.Context) bool {
	fresh, known := s.journal.Fresh()
	if s.leaving.Load() || !known || s.clock()-fresh > freshWithin || s.journal.Down() {
		s.overdueSince = 0
		return false
	}
	var due []workload.Record
	var wants []permit.Query
	var leader incarnation.ID
	var term workload.Term
	var led uint64
	s.journal.Look(func(time.Time) {
		leader, term = s.state.Leader()
		led = s.state.LeaderRecordCount()
		due, wants = s.decide(term)
	})
	switch {
	case leader == s.self:
		s.permits.SetQueries(wants)
		s.lead(ctx, term, due, wants)
	case len(due) > 0:
		s.takeLead(ctx, leader, term, led, patience)
	case len(wants) > 0:
		s.takeLead(ctx, leader, term, led, questionPatience)
	default:
		s.overdueSince = 0
	}
	return leader == s.self
}

// Leads tells whether this process leads as far as it knows.
func (s *Scheduler) Leads() bool {
	leads := false
	s.journal.Look(func(time.Time) {
		leader, _ := s.state.Leader()
		leads = leader == s.self
	})
	return leads
}

// Resign stops deciding and gives the lead up, so that another entry takes it at once.
func (s *Scheduler) Resign(ctx context.Context) {
	s.leaving.Store(true)
	var leader incarnation.ID
	var term workload.Term
	s.journal.Look(func(time.Time) { leader, term = s.state.Leader() })
	if leader != s.self {
		return
	}
	err := s.proposeOne(ctx, workload.Record{Resign: &workload.Resign{Term: term}})
	s.logger.Info("give up the lead", "term", term, "error", err)
}

// lead proposes what is due. While only questions are open nothing is recorded that
// would show the others that this process is there, so it says so.
func (s *Scheduler) lead(ctx context.Context, term workload.Term, due []workload.Record, wants []permit.Query) {
	s.overdueSince = 0
	now := s.clock()
	switch {
	case len(due) > 0:
		s.shownAt = now
		s.propose(ctx, due)
	case len(wants) > 0 && now-s.shownAt > questionPatience/3:
		s.shownAt = now
		if err := s.proposeOne(ctx, workload.Record{Lead: &workload.Lead{Term: term + 1}}); err != nil {
			s.logger.Debug("leadership not shown", "term", term+1, "error", err)
		}
	}
}

// takeLead proposes a new leadership once the leader has let something lie.
func (s *Scheduler) takeLead(ctx context.Context, leader incarnation.ID, term workload.Term, led uint64, patience time.Duration) {
	now := s.clock()
	wait := max(patience, patienceCalls*s.presence.LogLatency()) + time.Duration(s.settings.Rank)*patienceStep
	if leader == "" {
		wait = time.Duration(s.settings.Rank) * patienceStep
	}
	// What others record must not count as a sign of the leader.
	if s.overdueSince == 0 || s.overdueLed != led {
		s.overdueSince, s.overdueLed = now, led
	}
	if now-s.overdueSince < wait {
		return
	}
	s.overdueSince = 0
	err := s.proposeOne(ctx, workload.Record{Lead: &workload.Lead{Term: term + 1}})
	s.logger.Info("take the lead", "term", term+1, "from", leader, "overdue_ms", wait.Milliseconds(), "error", err)
}

// propose proposes all records at once and waits for their verdicts.
func (s *Scheduler) propose(ctx context.Context, due []workload.Record) {
	verdicts := make(chan error, len(due))
	for _, r := range due {
		go func() {
			addresses := s.addresses(r)
			err := s.proposeOne(ctx, r)
			s.log(r, err)
			if err == nil {
				s.tell(ctx, addresses)
			}
			verdicts <- err
		}()
	}
	for range due {
		<-verdicts
	}
}

// addresses returns the agents that a record concerns.
func (s *Scheduler) addresses(r workload.Record) []incarnation.Address {
	var lives []workload.LifeID
	found := map[incarnation.Address]bool{}
	s.journal.Look(func(time.Time) {
		switch {
		case r.Place != nil:
			for _, m := range r.Place.Members {
				lives = append(lives, m.Worker)
			}
		case r.Stop != nil:
			lives = s.state.WorkersOf(r.Stop.Task)
		}
		for _, life := range lives {
			if w := s.state.Worker(life); w != nil && w.Address != "" {
				found[w.Address] = true
			}
		}
	})
	return slices.Collect(maps.Keys(found))
}

// tell notifies agents without waiting for them.
func (s *Scheduler) tell(ctx context.Context, addresses []incarnation.Address) {
	for _, a := range addresses {
		s.notices.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
			defer cancel()
			if err := s.notify(ctx, a); err != nil {
				s.logger.Debug("agent was not notified", "address", a, "error", err)
			}
		})
	}
}

func (s *Scheduler) proposeOne(ctx context.Context, r workload.Record) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return s.journal.Propose(ctx, r)
}

// log writes one line for each decision.
func (s *Scheduler) log(r workload.Record, err error) {
	outcome := "recorded"
	var void *journal.VoidError
	switch {
	case errors.As(err, &void):
		outcome = "void: " + void.Reason.Error()
	case err != nil:
		outcome = err.Error()
	}
	switch {
	case r.Place != nil:
		workers := make([]string, 0, len(r.Place.Members))
		for _, m := range r.Place.Members {
			workers = append(workers, string(m.Worker))
		}
		s.logger.Info("place", "task", r.Place.Members[0].Task.String(), "run", r.Place.Run, "workers", workers, "term", r.Place.Term, "outcome", outcome)
	case r.Stop != nil:
		s.logger.Info("stop", "task", r.Stop.Task.String(), "run", r.Stop.Run, "reason", r.Stop.Reason, "term", r.Stop.Term, "outcome", outcome)
	case r.Suspect != nil:
		s.logger.Warn("suspect", "worker", r.Suspect.Life, "silence_ms", s.presence.Silence(r.Suspect.Life).Milliseconds(), "outcome", outcome)
	case r.Lapse != nil:
		s.logger.Warn("lapse", "worker", r.Lapse.Life, "after_ms", s.settings.LapseAfter.Milliseconds(), "outcome", outcome)
	}
}
