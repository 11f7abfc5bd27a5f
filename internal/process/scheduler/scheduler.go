// Package scheduler decides when runs are placed and stopped, when workers are suspected
// and their lives ended, and when ended jobs and lives are forgotten. Every entry runs
// one Scheduler, which decides on the replicated state of package workload, uses package
// allocation for placements and stops, and learns from package presence which workers
// send heartbeats. Only the Scheduler of the leader, which the state names, proposes its
// decisions to the journal. Another entry becomes leader if the leader does not propose
// what is due.
package scheduler

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"corianderpass/internal/process/allocation"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/monotonic"
	"corianderpass/internal/process/permit"
	"corianderpass/internal/process/presence"
	"corianderpass/internal/process/succession"
	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
)

const (
	// decisionDelay is the time from a change of the state to the decision, so that one
	// decision covers all changes that arrive together.
	decisionDelay = 8 * time.Millisecond
	// decisionInterval is the time between two decisions while the state does not
	// change: due times, leases and missing heartbeats depend on the time alone.
	decisionInterval = 100 * time.Millisecond
	// proposeTimeout bounds the wait for the result of a proposal.
	proposeTimeout = 3 * time.Second
	// maxStateAge is the maximum age of a state on which decisions are made: the time
	// since the journal was known to have folded the whole stream.
	maxStateAge = 2 * time.Second
)

// Settings configures a Scheduler.
type Settings struct {
	Allocation allocation.Rules
	// SuspectAfter is the time without a heartbeat after which a worker is suspected.
	SuspectAfter time.Duration
	// LapseAfter is the time after a recorded suspicion until the worker's life is
	// ended. By then all its leases must have expired.
	LapseAfter time.Duration
	// Retention is how long ended jobs and lives are kept in the state.
	Retention time.Duration
	// Rank orders the entries that are not listed in the state when they take over leadership, from 0.
	// An entry of a higher rank waits longer.
	Rank int
	// Address is the address at which other entries call this one.
	Address incarnation.Address
}

// Notify makes the agent at the address read the stream immediately, because the stream has a
// new record that orders or stops a run on its worker. It must be safe for concurrent use.
type Notify func(ctx context.Context, address incarnation.Address) error

// notifyTimeout is the timeout of one notification. After that time the agent's next regular
// read of the stream is due anyway.
const notifyTimeout = 300 * time.Millisecond

// Scheduler makes the decisions of one entry. Use New.
type Scheduler struct {
	settings Settings
	self     incarnation.ID
	journal  *journal.Journal[workload.Record]
	state    *workload.State
	presence *presence.Listener
	bundles  *bundle.Register
	permits  *permit.Cache
	clock    monotonic.Clock
	logger   hclog.Logger
	notify   Notify
	call     CallEntry
	metrics  *metrics.Set
	// notifications counts the calls of notify that have not returned.
	notifications sync.WaitGroup

	// leaving is true once Resign was called, and resigned once its Resign record, if any, is proposed.
	leaving, resigned atomic.Bool
	// lastDecision is the last decision of this process as leader whose records, if any, all took effect;
	// nil before the first.
	lastDecision atomic.Pointer[decision]
	// undecidedStops are the stops that this process has proposed as leader and whose results it does not know.
	undecidedStops undecidedStops

	// history is guarded by the journal's lock. Only the goroutine of Start uses the
	// fields below it. Their times are readings of clock.
	history allocation.History
	// suspectedAt holds when this process first found a life to be suspected. Lives that
	// are not suspected have no entry.
	suspectedAt map[workload.LifeID]time.Duration
	// wasPresent holds whether a life was present at the previous decision, which means
	// neither gone nor suspected. Lives that the state does not contain have no entry.
	wasPresent map[workload.LifeID]bool
	// silences has the silence of each life for which the last decision was a Suspect record.
	silences map[workload.LifeID]time.Duration
	// jobsEndedAt and livesEndedAt hold when this process first found that a job had
	// ended or a life was gone.
	jobsEndedAt  map[workload.JobID]time.Duration
	livesEndedAt map[workload.LifeID]time.Duration
	// monitor decides when this process becomes leader.
	monitor succession.Monitor
	// answers receives the results of calls to the leader.
	answers chan answer
	// lastProposedAt is when this process last proposed a record as leader.
	lastProposedAt time.Duration
	// delays, heldBack, failureWaits and quarantineUses are those of the last decision. loggedDelays has whether the logged
	// delays were missed, loggedFailureWaits the number of failures.
	delays             []allocation.Delay
	loggedDelays       changeFilter[delayKey, bool]
	heldBack           []allocation.HeldBack
	loggedHeldBack     changeFilter[delayKey, struct{}]
	failureWaits       []allocation.FailureWait
	quarantineUses     []allocation.QuarantineUse
	loggedFailureWaits changeFilter[delayKey, int]
}

// New returns a Scheduler that decides nothing before Start. Its Observe method must be
// called for every event of the state. The clock measures all intervals.
func New(s Settings, self incarnation.ID, j *journal.Journal[workload.Record], state *workload.State,
	listener *presence.Listener, bundles *bundle.Register, permits *permit.Cache, clock monotonic.Clock, logger hclog.Logger,
	notify Notify, call CallEntry, metricSet *metrics.Set,
) *Scheduler {
	return &Scheduler{
		settings: s, self: self, journal: j, state: state, presence: listener, bundles: bundles, permits: permits, clock: clock,
		logger: logger.Named("scheduler"), notify: notify, call: call, metrics: metricSet, answers: make(chan answer, 1),
		suspectedAt: map[workload.LifeID]time.Duration{}, wasPresent: map[workload.LifeID]bool{}, silences: map[workload.LifeID]time.Duration{},
		jobsEndedAt: map[workload.JobID]time.Duration{}, livesEndedAt: map[workload.LifeID]time.Duration{},
	}
}

// Observe updates forecasts, run durations, failures and permits from an event of the
// state. It must be called under the journal's lock.
func (s *Scheduler) Observe(e workload.Event) {
	if p := e.Progress; p.Run > 0 {
		remaining := p.Left
		if p.Stalled {
			remaining = allocation.NoProgress
		}
		s.history.SetRemaining(p.Task, p.Run, remaining, s.clock())
		return
	}
	if r := e.Refusal; r != nil && r.Reason == workload.RefusalNoPermit {
		s.permits.Drop(r.Task.StepRef(), r.Life)
	}
	if e.Job != nil && e.Worker != nil && e.RunEnd.How == workload.RunFailed {
		s.history.RecordFailure(e.Job, e.RunEnd.Task, e.Worker.Life, s.clock())
	}
	if e.Job == nil || e.RunEnd.How != workload.RunDone {
		return
	}
	s.history.RecordSuccess(e.Job, e.RunEnd.Task, e.RunEnd.Ran)
}

// Start makes decisions in the background until the context ends. The channel receives nil
// once the last decision, all calls and all notifications have ended.
func (s *Scheduler) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(decisionInterval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			changed, complete := s.journal.Changed(), s.journal.CaughtUp()
			leads, again := s.decideOnce(ctx)
			if leads {
				s.awaitAsLeader(ctx, ticker.C, changed)
			} else {
				s.awaitAsFollower(ctx, ticker.C, changed, complete, again)
			}
		}
		s.notifications.Wait()
		ended <- nil
	}()
	return ended
}

// awaitAsLeader waits until the next decision of the leader is due.
func (s *Scheduler) awaitAsLeader(ctx context.Context, tick <-chan time.Time, changed <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-tick:
	case <-s.permits.Changed():
	case <-changed:
		sleep(ctx, decisionDelay)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// decideOnce decides once. If this process leads, it proposes the decisions; otherwise it
// becomes leader if the monitor decides so. It does nothing after Resign, while the log is
// down and while the state is older than maxStateAge. It reports whether this process
// leads now, and otherwise after what time the monitor must decide again, 0 if at no
// particular time.
func (s *Scheduler) decideOnce(ctx context.Context) (leads bool, again time.Duration) {
	if s.resigned.Load() {
		s.resignAgain(ctx)
		return false, 0
	}
	if !s.mayLead() {
		s.monitor.Reset()
		return false, 0
	}
	var due []workload.Record
	var queries []permit.Query
	var leader incarnation.ID
	var term workload.Term
	situation := succession.Situation{Now: s.clock(), Self: s.self, LogLatency: s.presence.LogLatency()}
	offset := s.journal.Offset()
	s.journal.View(func(time.Time) {
		leader, term = s.state.Leader()
		due, queries = s.decide(term)
		s.describeSuccession(&situation)
	})
	if leader == s.self {
		s.monitor.Reset()
		s.logDelays()
		s.logHeldBack()
		s.logFailureWaits()
		s.logQuarantineUses()
		s.permits.SetQueries(queries)
		if s.proposeAsLeader(ctx, term, due, queries) {
			s.lastDecision.Store(&decision{at: s.clock(), offset: offset})
		}
		return true, 0
	}
	situation.Offset = s.journal.Offset()
	switch {
	case len(due) > 0:
		situation.Demand = succession.DemandDecision
	case len(queries) > 0:
		situation.Demand = succession.DemandQuery
	}
	return s.follow(ctx, situation)
}

// mayLead reports whether the state is young enough and the log accepts appends, as far as is known.
func (s *Scheduler) mayLead() bool {
	freshAt, ok := s.journal.CompleteAsOf()
	return ok && s.clock()-freshAt <= maxStateAge && !s.journal.Down()
}

// Leads reports whether this process is the leader in its own copy of the state, which
// may be outdated.
func (s *Scheduler) Leads() bool {
	leads := false
	s.journal.View(func(time.Time) {
		leader, _ := s.state.Leader()
		leads = leader == s.self
	})
	return leads
}

// proposeAsLeader proposes what is due. If nothing is due but queries to the adviser are
// open, it proposes a Lead record after succession.KeepAliveInterval without a proposal.
// Otherwise the other entries would see no record of this leader and take over leadership.
// It reports whether all decisions took effect.
func (s *Scheduler) proposeAsLeader(ctx context.Context, term workload.Term, due []workload.Record, queries []permit.Query) bool {
	now := s.clock()
	switch {
	case len(due) > 0:
		s.lastProposedAt = now
		return s.proposeAll(ctx, due)
	case len(queries) > 0 && now-s.lastProposedAt > succession.KeepAliveInterval:
		s.lastProposedAt = now
		if err := s.propose(ctx, workload.Record{Lead: &workload.Lead{Term: term + 1}}); err != nil {
			s.logger.Debug("record that prevents a takeover was not recorded", "term", term+1, "error", err)
		}
	}
	return true
}

// proposeAll proposes all records concurrently and waits for the results. It notifies
// the agents that a recorded decision concerns. It reports whether all records took effect.
func (s *Scheduler) proposeAll(ctx context.Context, due []workload.Record) bool {
	results := make(chan error, len(due))
	for _, r := range due {
		go func() {
			addresses := s.agentAddresses(r)
			err := s.propose(ctx, r)
			s.logRecord(r, err)
			if err == nil {
				s.notifyAgents(ctx, addresses)
			}
			results <- err
		}()
	}
	recorded := true
	for range due {
		recorded = <-results == nil && recorded
	}
	return recorded
}

// agentAddresses returns the addresses of the agents that must start or stop runs for
// the record. Agents without an address are left out.
func (s *Scheduler) agentAddresses(r workload.Record) []incarnation.Address {
	var lives []workload.LifeID
	addresses := map[incarnation.Address]bool{}
	s.journal.View(func(time.Time) {
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
				addresses[w.Address] = true
			}
		}
	})
	return slices.Collect(maps.Keys(addresses))
}

// notifyAgents notifies the agents in the background.
func (s *Scheduler) notifyAgents(ctx context.Context, addresses []incarnation.Address) {
	for _, a := range addresses {
		s.notifications.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
			defer cancel()
			if err := s.notify(ctx, a); err != nil {
				s.logger.Debug("agent could not be notified", "address", a, "error", err)
			}
		})
	}
}

// propose proposes a record and returns its result. After proposeTimeout the record is withdrawn, or its fate
// remains unknown if it is part of an append.
func (s *Scheduler) propose(ctx context.Context, r workload.Record) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	pending, err := s.journal.Enqueue(r)
	if err != nil {
		return fmt.Errorf("scheduler: propose: %w", err)
	}
	select {
	case err := <-pending.Done():
		return err
	case <-ctx.Done():
	}
	if pending.Withdraw() {
		return fmt.Errorf("scheduler: withdrawn after %v: %w", proposeTimeout, journal.ErrNotAppended)
	}
	if r.Stop != nil {
		s.undecidedStops.add(r.Stop.Task, pending)
	}
	return fmt.Errorf("scheduler: propose: %w", journal.ErrFateUnknown)
}

// logRecord logs a proposed placement, stop, suspicion or lapse with its result.
func (s *Scheduler) logRecord(r workload.Record, err error) {
	outcome := "recorded"
	var rejected *journal.RejectedError
	switch {
	case errors.As(err, &rejected):
		outcome = "void: " + rejected.Reason.Error()
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
		s.logger.Warn("suspect", "worker", r.Suspect.Life, "silence_ms", s.silences[r.Suspect.Life].Milliseconds(), "outcome", outcome)
	case r.Lapse != nil:
		s.logger.Warn("lapse", "worker", r.Lapse.Life, "after_ms", s.settings.LapseAfter.Milliseconds(), "outcome", outcome)
	}
}
