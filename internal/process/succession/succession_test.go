package succession_test

import (
	"fmt"
	"testing"
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/succession"
	"corianderpass/internal/process/workload"
)

// entries returns entries named 0 to n-1 that joined in this order.
func entries(n int) []workload.Entry {
	var list []workload.Entry
	for i := range n {
		name := fmt.Sprint(i)
		list = append(list, workload.Entry{Node: name, ID: incarnation.ID(name), Address: incarnation.Address(name)})
	}
	return list
}

// situationOf returns the situation of the entry with the name, of 5, while entry 0 leads in term 3 and a
// decision is due.
func situationOf(name string) succession.Situation {
	return succession.Situation{
		Self: incarnation.ID(name), Address: incarnation.Address(name), Leader: "0", Term: 3, Entries: entries(5), Demand: succession.DemandDecision,
	}
}

// leadsAfter calls Next every 10 ms and returns when the entry leads and why; Never stands for 10 s. vary
// changes the situation before each call, and evidence is the answer to each call to the leader.
func leadsAfter(m *succession.Monitor, s succession.Situation, evidence succession.Evidence, vary func(*succession.Situation)) (time.Duration, succession.Cause) {
	start := s.Now
	for ; s.Now-start < 10*time.Second; s.Now += 10 * time.Millisecond {
		vary(&s)
		step := m.Next(s)
		if step.Lead {
			return s.Now - start, step.Cause
		}
		if step.CallLeader {
			m.Record(s.Leader, evidence)
		}
	}
	return never, ""
}

const never = 10 * time.Second

func unchanged(*succession.Situation) {}

// monitorOf returns the monitor of an entry that has seen records of the leader.
func monitorOf(s succession.Situation) *succession.Monitor {
	var m succession.Monitor
	earlier := s
	earlier.Term--
	m.Next(earlier)
	s.Demand = succession.DemandNone
	m.Next(s)
	return &m
}

// Each way of losing the leader has its own delay. A delay that is too long leaves jobs waiting; one that is
// too short replaces a leader that works.
func TestEntryLeadsAfterDelayOfItsEvidence(t *testing.T) {
	for _, c := range []struct {
		name     string
		evidence succession.Evidence
		change   func(*succession.Situation)
		after    time.Duration
		cause    succession.Cause
	}{
		{"no answer", succession.EvidenceNone, func(*succession.Situation) {}, 350 * time.Millisecond, succession.CauseOverdue},
		{"no answer while the log is slow", succession.EvidenceNone, func(s *succession.Situation) { s.LogLatency = 400 * time.Millisecond }, 2 * time.Second, succession.CauseOverdue},
		{"refused", succession.EvidenceRefused, func(*succession.Situation) {}, 120 * time.Millisecond, succession.CauseEnded},
		{"refused while the log is slow", succession.EvidenceRefused, func(s *succession.Situation) { s.LogLatency = 400 * time.Millisecond }, 2 * time.Second, succession.CauseEnded},
		{"another incarnation", succession.EvidenceEnded, func(s *succession.Situation) { s.LogLatency = 400 * time.Millisecond }, 130 * time.Millisecond, succession.CauseEnded},
		{"leader decides otherwise", succession.EvidenceDecides, func(*succession.Situation) {}, never, ""},
		{"query open", succession.EvidenceNone, func(s *succession.Situation) { s.Demand = succession.DemandQuery }, 4 * time.Second, succession.CauseOverdue},
		{"nothing due", succession.EvidenceEnded, func(s *succession.Situation) { s.Demand = succession.DemandNone }, never, ""},
	} {
		s := situationOf("4")
		m := monitorOf(s)
		c.change(&s)
		after, cause := leadsAfter(m, s, c.evidence, unchanged)
		if d := after - c.after; d < 0 || d > 20*time.Millisecond || cause != c.cause {
			t.Errorf("%s: got the lead after %v, cause %q, want after %v, cause %q", c.name, after, cause, c.after, c.cause)
		}
	}
}

// A leader that records something while decisions are due must not be replaced, however long they are due.
func TestRecordsOfLeaderPreventChange(t *testing.T) {
	s := situationOf("4")
	after, _ := leadsAfter(monitorOf(s), s, succession.EvidenceNone, func(s *succession.Situation) {
		s.LeaderRecords = uint64(s.Now / (300 * time.Millisecond))
	})
	if after != never {
		t.Errorf("got the lead after %v from a leader with a record every 300 ms, want none", after)
	}
}

// All processes were down. An entry that has seen no record of the leader must call it at once and not give
// it the time of a slow one.
func TestRestartedEntryCallsLeaderAtOnce(t *testing.T) {
	var m succession.Monitor
	after, cause := leadsAfter(&m, situationOf("4"), succession.EvidenceEnded, unchanged)
	if after > 20*time.Millisecond || cause != succession.CauseEnded {
		t.Errorf("got the lead after %v, cause %q, want at once, cause %q", after, cause, succession.CauseEnded)
	}
}

// After a resignation the named successor must lead at once, and the others one after another even if nothing
// is due: otherwise they would all propose to lead at the next decision that falls due.
func TestEntriesLeadInTurnAfterResignation(t *testing.T) {
	for _, c := range []struct {
		successor incarnation.ID
		turns     map[string]int
	}{
		{"3", map[string]int{"3": 0, "4": 1, "2": 2, "1": 3}},
		{"", map[string]int{"4": 0, "3": 1, "2": 2, "1": 3}},
		{"gone", map[string]int{"4": 0, "3": 1, "2": 2, "1": 3}},
	} {
		for name, turn := range c.turns {
			s := situationOf(name)
			m := monitorOf(s)
			s.Leader, s.Successor, s.Demand = "", c.successor, succession.DemandNone
			after, _ := leadsAfter(m, s, succession.EvidenceNone, unchanged)
			if want := time.Duration(turn) * 120 * time.Millisecond; after != want {
				t.Errorf("successor %q: got the lead of entry %s after %v, want %v", c.successor, name, after, want)
			}
		}
	}
}

// Answers to a call may arrive after another entry has become leader. They must not be taken for evidence
// against the new leader.
func TestLateAnswerIsNoEvidenceAgainstNextLeader(t *testing.T) {
	s := situationOf("4")
	m := monitorOf(s)
	s.Leader, s.Term = "1", 4
	m.Next(s)
	m.Record("0", succession.EvidenceEnded)
	if after, _ := leadsAfter(m, s, succession.EvidenceNone, unchanged); after < 350*time.Millisecond {
		t.Errorf("got the lead after %v, want not before 350 ms", after)
	}
}
