// Package succession decides when an entry becomes the leader of the scheduler and whom a leader that
// stops names as its successor. It takes the time and everything else that it depends on as arguments
// and does no I/O; package scheduler carries out its decisions. A wrong decision costs a change of the
// leader, never a duplicate one: only the first valid Lead record of a term takes effect.
package succession

import (
	"slices"
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

const (
	// decisionLimit is how long a decision may be due without a record of the leader before another
	// entry becomes leader. A leader needs some tens of milliseconds to propose a decision. An
	// unnecessary change of the leader costs one round of decisions.
	decisionLimit = 350 * time.Millisecond
	// queryLimit is the same for a query to the adviser. A leader that waits for the adviser proposes
	// a record after KeepAliveInterval.
	queryLimit = 4 * time.Second
	// KeepAliveInterval is the time without a proposal after which a leader with an open query
	// proposes a record, so that other entries do not replace it.
	KeepAliveInterval = queryLimit / 3
	// logCalls times the latency of the log is the minimum of these limits. It takes four calls until
	// this entry sees a decision: the leader reads the change, appends the decision and reads it back,
	// and this entry reads it. The fifth allows for calls that wait for each other.
	logCalls = 5
	// positionStep is multiplied by the position of an entry and added to its limit, so that entries do
	// not propose to lead at the same time. It covers an append, a pause between reads and a read.
	positionStep = 120 * time.Millisecond
	// callDelay is how long a decision is due before the entry calls the leader. Most decisions are
	// recorded within that time, so that a working leader is seldom called.
	callDelay = 120 * time.Millisecond
	// callInterval is the minimum time between two calls to the leader.
	callInterval = 250 * time.Millisecond
)

// Demand is what waits for a leader.
type Demand int

// The demands, in the order of their urgency.
const (
	// DemandNone means that nothing is due.
	DemandNone Demand = iota
	// DemandQuery means that a query to the adviser is open.
	DemandQuery
	// DemandDecision means that a record of the leader is due.
	DemandDecision
)

// Evidence is what a call to the leader showed.
type Evidence int

// The kinds of evidence.
const (
	// EvidenceNone means that the call showed nothing, for example because there was no answer: the
	// leader may be slow, frozen or cut off.
	EvidenceNone Evidence = iota
	// EvidenceRefused means that nothing accepts connections at the leader's address. Its process has
	// probably ended, but a broken network may also refuse connections.
	EvidenceRefused
	// EvidenceEnded means that another incarnation runs at the leader's address, so that the leader's
	// process has certainly ended.
	EvidenceEnded
	// EvidenceDecides means that the leader has just decided on a state that included what was due, and
	// did not propose it. Entries may disagree, since each learns durations and failures by itself; the
	// leader is right.
	EvidenceDecides
)

// Cause is why an entry became leader.
type Cause string

// The causes.
const (
	// CauseFirst means that the state has had no leader before.
	CauseFirst Cause = "first"
	// CauseNamed means that the leader resigned and named this entry.
	CauseNamed Cause = "named"
	// CauseResigned means that the leader resigned and the successor that it named, if any, did not
	// become leader.
	CauseResigned Cause = "resigned"
	// CauseEnded means that the leader's process has ended.
	CauseEnded Cause = "ended"
	// CauseOverdue means that the leader did not record in time what was due.
	CauseOverdue Cause = "overdue"
)

// Situation is what an entry that does not lead knows.
type Situation struct {
	Now  time.Duration
	Self incarnation.ID
	// Leader and Successor are those of the state, either may be empty.
	Leader    incarnation.ID
	Successor incarnation.ID
	Term      workload.Term
	// LeaderRecords is a number that rises with each record of the leader.
	LeaderRecords uint64
	// Entries are those of the state, the one that joined last at the end.
	Entries []workload.Entry
	// Address is the address of this entry, and Rank its rank among entries that the state does not list.
	Address incarnation.Address
	Rank    int
	Demand  Demand
	// Offset is the offset of the state.
	Offset platform.Offset
	// LogLatency is how long a call to the log takes.
	LogLatency time.Duration
}

// Step is what an entry that does not lead has to do.
type Step struct {
	// Lead is true if the entry must propose to lead.
	Lead  bool
	Cause Cause
	// Position is the position of this entry among those that may become leader, while Lead is true.
	Position int
	// Since is when this entry first found that a leader was missing, while Lead is true.
	Since time.Duration
	// CallLeader is true if the entry must call the leader and pass the result to Record.
	CallLeader bool
	// DueAt is the offset of the state in which this entry first found that something was due, while
	// CallLeader is true.
	DueAt platform.Offset
	// Again is the time until the next step is due if nothing changes; 0 if none is.
	Again time.Duration
}

// Monitor decides the steps of one entry. The zero value is ready to use. It is not safe for
// concurrent use.
type Monitor struct {
	// since is when the leader was first found to be missing or overdue; valid while waiting is true.
	since   time.Duration
	waiting bool
	// dueAt is the offset of the state at since.
	dueAt platform.Offset
	// leader, term and records are those at since. Each record of the leader restarts the wait.
	leader  incarnation.ID
	term    workload.Term
	records uint64
	// alive is true once the monitor has seen a record of a leader since its start.
	alive bool
	// calledAt is when the leader was last called; valid if called is true.
	calledAt time.Duration
	called   bool
	evidence Evidence
	// resigned is the last leader that the monitor has seen to lead and then to resign.
	resigned incarnation.ID
}

// Reset makes the monitor forget since when it waits, because the entry leads or cannot lead.
func (m *Monitor) Reset() { m.waiting = false }

// Record adds the result of a call to the leader. It has no effect if another entry has become leader.
func (m *Monitor) Record(leader incarnation.ID, e Evidence) {
	if !m.waiting || m.leader != leader {
		return
	}
	m.evidence = e
	if e == EvidenceDecides {
		m.waiting = false
	}
}

// Next returns the next step in the situation.
func (m *Monitor) Next(s Situation) Step {
	if s.Leader == "" && m.leader != "" {
		m.resigned = m.leader
	}
	// Only records of the leader restart the wait: records of other writers do not show that the
	// leader still decides.
	restart := m.leader != s.Leader || m.term != s.Term || m.records != s.LeaderRecords
	m.alive = restart && m.term > 0 || m.alive
	m.leader, m.term, m.records = s.Leader, s.Term, s.LeaderRecords
	named := s.Leader == "" && s.Successor == s.Self && s.Self != ""
	// After a resignation an entry leads at its turn even if nothing is due: otherwise the entries would
	// all propose to lead together at the first decision that falls due later.
	if s.Demand == DemandNone && (s.Leader != "" || s.Term == 0) {
		m.waiting = false
		return Step{}
	}
	if restart || !m.waiting {
		m.since, m.dueAt, m.waiting, m.called, m.evidence = s.Now, s.Offset, true, false, EvidenceNone
	}
	if named {
		return m.lead(s, CauseNamed)
	}
	limit, cause := m.limit(s)
	elapsed := s.Now - m.since
	switch {
	case elapsed >= limit:
		return m.lead(s, cause)
	case m.callDue(s):
		m.called, m.calledAt = true, s.Now
		return Step{CallLeader: true, DueAt: m.dueAt, Again: min(limit-elapsed, callInterval)}
	case s.Leader != "" && !m.called:
		return Step{Again: min(limit, m.callDelay()) - elapsed}
	}
	return Step{Again: limit - elapsed}
}

// lead returns the step to lead. If it fails, the wait begins again.
func (m *Monitor) lead(s Situation, cause Cause) Step {
	since := m.since
	m.since, m.called = s.Now, false
	return Step{Lead: true, Cause: cause, Position: m.position(s), Since: since, Again: positionStep}
}

// callDue reports whether the leader must be called now.
func (m *Monitor) callDue(s Situation) bool {
	if s.Leader == "" || s.Demand != DemandDecision || s.Now-m.since < m.callDelay() {
		return false
	}
	return !m.called || s.Now-m.calledAt >= callInterval
}

// callDelay returns how long a decision is due before the leader is called. An entry that has not
// seen a record of the leader since its start calls at once: all processes may have been down.
func (m *Monitor) callDelay() time.Duration {
	if !m.alive {
		return 0
	}
	return callDelay
}

// limit returns how long this entry waits for a leader or its records, and the cause if it then leads.
func (m *Monitor) limit(s Situation) (time.Duration, Cause) {
	turn := time.Duration(m.position(s)) * positionStep
	switch {
	case s.Leader == "" && s.Term == 0:
		return turn, CauseFirst
	case s.Leader == "":
		return turn, CauseResigned
	case m.evidence == EvidenceEnded:
		return turn, CauseEnded
	case m.evidence == EvidenceRefused:
		// A leader that cannot be reached may be alive and wait for a slow log.
		return max(callDelay, logCalls*s.LogLatency) + turn, CauseEnded
	case s.Demand == DemandQuery:
		return max(queryLimit, logCalls*s.LogLatency) + turn, CauseOverdue
	}
	return max(decisionLimit, logCalls*s.LogLatency) + turn, CauseOverdue
}

// position returns the position of this entry among those that may succeed the leader.
func (m *Monitor) position(s Situation) int {
	lost := s.Leader
	if lost == "" {
		lost = m.resigned
	}
	candidates := Candidates(s.Entries, lost)
	// An earlier incarnation at the same address stands for this entry, so that the positions also
	// differ when all entries have been restarted.
	own := func(e workload.Entry) bool { return e.Address == s.Address }
	if slices.ContainsFunc(s.Entries, own) && !slices.ContainsFunc(candidates, own) {
		candidates = Candidates(s.Entries, "")
	}
	i := slices.IndexFunc(candidates, own)
	if i < 0 {
		return len(candidates) + s.Rank
	}
	if j := slices.IndexFunc(candidates, func(e workload.Entry) bool { return e.ID == s.Successor }); j > i {
		// The successor precedes the candidates that joined after it.
		return i + 1
	}
	return i
}

// Candidates returns the entries that may succeed the leader, the one that joined last first: in a
// rolling restart the entries that joined last have already been restarted.
func Candidates(entries []workload.Entry, leader incarnation.ID) []workload.Entry {
	candidates := slices.DeleteFunc(slices.Clone(entries), func(e workload.Entry) bool { return e.ID == leader })
	slices.Reverse(candidates)
	return candidates
}
