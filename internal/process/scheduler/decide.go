package scheduler

import (
	"time"

	"corianderpass/internal/process/allocation"
	"corianderpass/internal/process/permit"
	"corianderpass/internal/process/workload"
)

// decide returns the records that a leader in the term should propose in the current
// state, and the queries to the adviser whose answers may allow more placements. It must
// be called under the journal's lock.
func (s *Scheduler) decide(term workload.Term) ([]workload.Record, []permit.Query) {
	now := s.clock()
	s.history.Update(s.state, now, time.Now())
	due := s.superviseWorkers(term, now)
	input := allocation.Input{
		State: s.state, History: &s.history, Rules: s.settings.Allocation, Now: now, WallTime: time.Now(),
		Permits: s.permits,
	}
	if current := s.bundles.Current(); current != nil {
		input.Bundle = current.Bundle
	}
	decision := allocation.Decide(input)
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

// superviseWorkers returns a Suspect record for each worker whose heartbeats have been
// missing for SuspectAfter, and a Lapse record for each one that was suspected
// LapseAfter ago, so that its leases have expired.
func (s *Scheduler) superviseWorkers(term workload.Term, now time.Duration) []workload.Record {
	var due []workload.Record
	for id, w := range s.state.Workers() {
		s.notePresence(w)
		if w.Gone {
			continue
		}
		if !w.Suspected {
			if s.presence.Silence(id) >= s.settings.SuspectAfter {
				due = append(due, workload.Record{Suspect: &workload.Suspect{Term: term, Life: id}})
				// If the agent withdraws the suspicion before the next decision, then
				// notePresence counts that as a heartbeat.
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

// notePresence counts an announcement or a withdrawn suspicion as a heartbeat: w is now
// present, but was not at the previous decision.
func (s *Scheduler) notePresence(w *workload.Worker) {
	present := !w.Gone && !w.Suspected
	if present && !s.wasPresent[w.Life] {
		s.presence.RecordContact(w.Life)
	}
	s.wasPresent[w.Life] = present
	if present || w.Gone {
		delete(s.suspectedAt, w.Life)
	}
}

// minForgetBatch is how many ended jobs and lives must be due before one record removes
// them together.
const minForgetBatch = 16

// forget returns a Forget record for the jobs and lives that ended longer than Retention
// ago, or nil while they are fewer than minForgetBatch.
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

// retentionOver sets seen[id] to now if it is not set yet. It reports whether that was
// longer than the retention ago.
func retentionOver[K comparable](seen map[K]time.Duration, id K, now, retention time.Duration) bool {
	at, ok := seen[id]
	if !ok {
		seen[id] = now
		return false
	}
	return now-at > retention
}
