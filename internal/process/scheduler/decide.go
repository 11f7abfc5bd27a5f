package scheduler

import (
	"time"

	"corianderpass/internal/process/allocation"
	"corianderpass/internal/process/permit"
	"corianderpass/internal/process/workload"
)

// decide returns the records that the leader of the term should propose in the current
// state, and the queries to the adviser whose answers may allow more placements. The
// journal's lock must be held.
func (s *Scheduler) decide(term workload.Term) ([]workload.Record, []permit.Query) {
	now := s.clock()
	s.history.Update(s.state, now, time.Now())
	due := s.superviseWorkers(term, now)
	input := allocation.Input{
		State: s.state, History: &s.history, Rules: s.settings.Allocation, Now: now, WallTime: time.Now(),
		Permits: s.permits, UndecidedStops: s.undecidedStops.tasks(),
	}
	if current := s.bundles.Current(); current != nil {
		input.Bundle = current.Bundle
	}
	decision := allocation.Decide(input)
	s.delays, s.heldBack = decision.Delays, decision.HeldBack
	s.failureWaits, s.quarantineUses = decision.FailureWaits, decision.QuarantineUses
	for i := range decision.Stops {
		decision.Stops[i].Term = term
		due = append(due, workload.Record{Stop: &decision.Stops[i]})
	}
	for i := range decision.Places {
		decision.Places[i].Term = term
		due = append(due, workload.Record{Place: &decision.Places[i]})
	}
	s.permits.Retain(func(r workload.StepRef) bool {
		j := s.state.Job(r.Job)
		return j != nil && j.Open()
	})
	return append(due, s.forget(term, now)...), decision.PermitQueries
}

// superviseWorkers returns a Suspect record for each worker without a heartbeat in the last
// SuspectAfter and the delay that the log explains, and a Lapse record for each worker that has been suspected for LapseAfter,
// after which its leases have expired.
func (s *Scheduler) superviseWorkers(term workload.Term, now time.Duration) []workload.Record {
	var due []workload.Record
	clear(s.silences)
	limit := s.settings.SuspectAfter + s.presence.ExpectedDelay()
	for id, w := range s.state.Workers() {
		s.updatePresence(w)
		if w.Gone {
			continue
		}
		if !w.Suspected {
			if silence := s.presence.Silence(id); silence >= limit {
				due = append(due, workload.Record{Suspect: &workload.Suspect{Term: term, Life: id}})
				s.silences[id] = silence
				// If the agent withdraws the suspicion before the next decision, then
				// updatePresence counts the withdrawal as a heartbeat.
				s.wasPresent[id] = false
			}
			continue
		}
		since, ok := s.suspectedAt[id]
		if !ok {
			since = now
			s.suspectedAt[id] = now
		}
		if now-since >= s.settings.LapseAfter {
			due = append(due, workload.Record{Lapse: &workload.Lapse{Term: term, Life: id}})
		}
	}
	for id := range s.wasPresent {
		if s.state.Worker(id) == nil {
			delete(s.suspectedAt, id)
			delete(s.wasPresent, id)
		}
	}
	s.presence.Retain(func(id workload.LifeID) bool { return s.wasPresent[id] })
	return due
}

// updatePresence sets wasPresent for the life. If the life is present now but was not at the
// previous decision, its agent has announced it or withdrawn a suspicion, which counts as
// a heartbeat.
func (s *Scheduler) updatePresence(w *workload.Worker) {
	present := !w.Gone && !w.Suspected
	if present && !s.wasPresent[w.Life] {
		s.presence.RecordContact(w.Life)
	}
	s.wasPresent[w.Life] = present
	if present || w.Gone {
		delete(s.suspectedAt, w.Life)
	}
}

// minForgetBatch is the minimum number of jobs and lives that one Forget record removes.
const minForgetBatch = 16

// forget returns a Forget record for the jobs and lives whose end was found longer than
// Retention ago, or nil while there are fewer than minForgetBatch of them.
func (s *Scheduler) forget(term workload.Term, now time.Duration) []workload.Record {
	var record workload.Forget
	for id, j := range s.state.Jobs() {
		if !j.Open() && retentionOver(s.jobsEndedAt, id, now, s.settings.Retention) {
			record.Jobs = append(record.Jobs, id)
		}
	}
	for id, w := range s.state.Workers() {
		if w.Gone && retentionOver(s.livesEndedAt, id, now, s.settings.Retention) {
			record.Lives = append(record.Lives, id)
		}
	}
	for id := range s.jobsEndedAt {
		if s.state.Job(id) == nil {
			delete(s.jobsEndedAt, id)
		}
	}
	for id := range s.livesEndedAt {
		if w := s.state.Worker(id); w == nil || !w.Gone {
			delete(s.livesEndedAt, id)
		}
	}
	if len(record.Jobs)+len(record.Lives) < minForgetBatch {
		return nil
	}
	record.Term = term
	return []workload.Record{{Forget: &record}}
}

// retentionOver reports whether the job or life with the ID, which has ended, was found to
// have ended longer than the retention ago. The first call for an ID stores now as that time.
func retentionOver[K comparable](endedAt map[K]time.Duration, id K, now, retention time.Duration) bool {
	at, ok := endedAt[id]
	if !ok {
		endedAt[id] = now
		return false
	}
	return now-at > retention
}
