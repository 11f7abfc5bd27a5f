package scheduler

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/succession"
	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

// MethodStatus is the method with which entries ask each other whether they run and may lead.
const MethodStatus link.Method = "Scheduler.Status"

// StatusQuery is the request of MethodStatus.
type StatusQuery struct {
	// ReadNow is true if the called entry must end its pause between two reads of the stream.
	ReadNow bool `json:",omitempty"`
}

// Status is the reply of MethodStatus.
type Status struct {
	ID incarnation.ID
	// MayLead is true if the entry does not stop, its state is young and the log accepts its appends.
	MayLead bool
	// DecidedAt is the offset of the state of its last decision as leader of which it proposed nothing in
	// vain; 0 if that was longer ago than recentDecision.
	DecidedAt platform.Offset `json:",omitempty"`
}

// CallEntry calls MethodStatus at the address of an entry. It must be safe for concurrent use.
type CallEntry func(ctx context.Context, address incarnation.Address, query StatusQuery) (Status, error)

const (
	// statusTimeout bounds a call to another entry. Entries in other regions answer within tens of
	// milliseconds, also over a new connection.
	statusTimeout = 200 * time.Millisecond
	// recentDecision is the age up to which a decision shows that the leader still decides. It decides
	// at each decisionInterval, and later only while it waits for the log.
	recentDecision = 250 * time.Millisecond
	// candidateLimit is the number of entries that a leader asks before it names a successor: some
	// may have ended without a trace in the state.
	candidateLimit = 4
)

// decision is the time of a decision as leader and the offset of the state on which it decided.
type decision struct {
	at     time.Duration
	offset platform.Offset
}

// answer is the result of a call to a leader.
type answer struct {
	leader   incarnation.ID
	evidence succession.Evidence
}

// Handlers returns the handlers of the methods that the scheduler serves.
func (s *Scheduler) Handlers() link.Handlers {
	return link.Handlers{
		MethodStatus: link.Handle(func(_ context.Context, q StatusQuery) (Status, error) { return s.Status(q), nil }),
	}
}

// Status answers MethodStatus.
func (s *Scheduler) Status(q StatusQuery) Status {
	if q.ReadNow {
		s.journal.ReadNow()
	}
	status := Status{ID: s.self, MayLead: !s.leaving.Load() && s.mayLead()}
	if d := s.lastDecision.Load(); d != nil && s.clock()-d.at <= recentDecision {
		status.DecidedAt = d.offset
	}
	return status
}

// describeSuccession sets the fields of the situation that follow from the state. The journal's lock must
// be held.
func (s *Scheduler) describeSuccession(situation *succession.Situation) {
	leader, term := s.state.Leader()
	situation.Leader, situation.Term = leader, term
	situation.Successor, situation.LeaderRecords = s.state.Successor(), s.state.LeaderRecordCount()
	situation.Entries, situation.Address, situation.Rank = s.state.Entries(), s.settings.Address, s.settings.Rank
}

// addressOf returns the address of the entry, empty if the state does not list it. The journal's lock
// must be held.
func (s *Scheduler) addressOf(id incarnation.ID) incarnation.Address {
	entries := s.state.Entries()
	if i := slices.IndexFunc(entries, func(e workload.Entry) bool { return e.ID == id }); i >= 0 {
		return entries[i].Address
	}
	return ""
}

// follow carries out the step of the monitor. Its results are those of decideOnce.
func (s *Scheduler) follow(ctx context.Context, situation succession.Situation) (leads bool, again time.Duration) {
	step := s.monitor.Next(situation)
	if step.CallLeader {
		s.callLeader(ctx, situation.Leader, step.DueAt)
	}
	if !step.Lead {
		return false, step.Again
	}
	term := situation.Term + 1
	err := s.propose(ctx, workload.Record{Lead: &workload.Lead{Term: term}})
	waited := s.clock() - step.Since
	s.logger.Info("take the lead", "term", term, "from", situation.Leader, "cause", step.Cause, "position", step.Position,
		"overdue_ms", waited.Milliseconds(), "error", err)
	if err == nil {
		s.metrics.GetOrCreateCounter(fmt.Sprintf("corianderpass_leader_changes_total{cause=%q}", step.Cause)).Inc()
		s.metrics.GetOrCreateHistogram("corianderpass_without_leader_seconds").Update(waited.Seconds())
	}
	return err == nil, step.Again
}

// callLeader calls the leader in the background. dueAt is the offset of the state that its last decision
// must include if it decides. The loop of Start passes the result to the monitor.
func (s *Scheduler) callLeader(ctx context.Context, leader incarnation.ID, dueAt platform.Offset) {
	var address incarnation.Address
	s.journal.View(func(time.Time) { address = s.addressOf(leader) })
	if address == "" {
		return
	}
	s.notifications.Go(func() {
		a := answer{leader, succession.EvidenceEnded}
		if address != s.settings.Address {
			a.evidence = s.askLeader(ctx, leader, address, dueAt)
		}
		select {
		case s.answers <- a:
		default:
			// An earlier answer has not been read yet; the call is repeated.
		}
	})
}

// askLeader calls the leader and returns what the result shows.
func (s *Scheduler) askLeader(ctx context.Context, leader incarnation.ID, address incarnation.Address, dueAt platform.Offset) succession.Evidence {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := s.call(ctx, address, StatusQuery{})
	evidence := succession.EvidenceNone
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		evidence = succession.EvidenceRefused
	case err == nil && status.ID != leader:
		evidence = succession.EvidenceEnded
	case err == nil && status.DecidedAt >= dueAt && status.DecidedAt > 0:
		evidence = succession.EvidenceDecides
	}
	s.logger.Debug("leader was called", "leader", leader, "address", address, "decided_at", status.DecidedAt, "due_at", dueAt, "error", err)
	return evidence
}

// awaitAsFollower waits until the next decision of an entry that does not lead. A change of the state is no
// reason for one, except if it may make this entry the leader. complete is whether the state was complete at
// the last decision.
func (s *Scheduler) awaitAsFollower(ctx context.Context, tick <-chan time.Time, changed <-chan struct{}, complete bool, again time.Duration) {
	var timer <-chan time.Time
	if again > 0 {
		t := time.NewTimer(again)
		defer t.Stop()
		timer = t.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick:
			return
		case <-timer:
			return
		case <-s.permits.Changed():
			return
		case a := <-s.answers:
			s.monitor.Record(a.leader, a.evidence)
			return
		case <-changed:
		}
		changed = s.journal.Changed()
		if s.successionOpen() || s.journal.CaughtUp() != complete {
			return
		}
	}
}

// successionOpen reports whether there is no leader, or this process leads.
func (s *Scheduler) successionOpen() bool {
	open := false
	s.journal.View(func(time.Time) {
		leader, _ := s.state.Leader()
		open = leader == "" || leader == s.self
	})
	return open
}

// Resign stops all decisions. If this process leads, it proposes a Resign record that names the
// successor. It leads until then.
func (s *Scheduler) Resign(ctx context.Context) {
	s.leaving.Store(true)
	defer s.resigned.Store(true)
	if !s.Leads() {
		return
	}
	successor := s.findSuccessor(ctx)
	s.resigned.Store(true)
	s.resign(ctx, successor)
}

// resignAgain resigns if this process leads although it has resigned: its Lead record may have reached
// the log after Resign, or its Resign record may not have reached it.
func (s *Scheduler) resignAgain(ctx context.Context) {
	if s.Leads() {
		s.resign(ctx, s.findSuccessor(ctx))
	}
}

// resign proposes the Resign record, if this process leads, and makes the successor read it.
func (s *Scheduler) resign(ctx context.Context, successor workload.Entry) {
	var leader incarnation.ID
	var term workload.Term
	s.journal.View(func(time.Time) { leader, term = s.state.Leader() })
	if leader != s.self {
		return
	}
	err := s.propose(ctx, workload.Record{Resign: &workload.Resign{Term: term, Successor: successor.ID}})
	s.logger.Info("give up the lead", "term", term, "successor", successor.ID, "error", err)
	if err != nil || successor.ID == "" {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	if _, err := s.call(callCtx, successor.Address, StatusQuery{ReadNow: true}); err != nil {
		s.logger.Debug("successor could not be notified", "successor", successor.ID, "error", err)
	}
}

// findSuccessor asks the entries that joined last, all at the same time, and returns the one that joined last
// among those that answer that they may lead; the zero value if none does.
func (s *Scheduler) findSuccessor(ctx context.Context) workload.Entry {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var candidates []workload.Entry
	s.journal.View(func(time.Time) { candidates = succession.Candidates(s.state.Entries(), s.self) })
	candidates = candidates[:min(len(candidates), candidateLimit)]
	mayLead := make([]chan bool, len(candidates))
	for i, c := range candidates {
		mayLead[i] = make(chan bool, 1)
		s.notifications.Go(func() {
			status, err := s.call(ctx, c.Address, StatusQuery{})
			mayLead[i] <- err == nil && status.ID == c.ID && status.MayLead
		})
	}
	for i, c := range candidates {
		if <-mayLead[i] {
			return c
		}
	}
	return workload.Entry{}
}
