package scheduler

import (
	"time"

	"corianderpass/internal/process/allocation"
	"corianderpass/internal/process/permit"
	"corianderpass/internal/process/workload"
)

// decide returns everything that is due in the present state, and the questions
// whose answers may make more due. It is called under
// the journal's lock.
func (s *Scheduler) decide(term workload.Term) ([]workload.Record, []permit.Query) {
	now := s.clock()
	s.memory.Update(s.state, now, time.Now())
	due := s.judgeWorkers(term, now)
	in := allocation.Input{
		State: s.state, History: &s.memory, Rules: s.settings.Allocation, Now: now, WallTime: time.Now(),
		Permits: s.permits,
	}
	if current := s.bundles.Current(); current != nil {
		in.Bundle = current.Bundle
	}
	d := allocation.Decide(in)
	for i := range d.Stops {
		d.Stops[i].Term = term
		due = append(due, workload.Record{Stop: &d.Stops[i]})
	}
	for i := range d.Places {
		d.Places[i].Term = term
		due = append(due, workload.Record{Place: &d.Places[i]})
	}
	s.permits.Retain(func(r workload.StepRef) bool {
		j := s.state.Job(r.Job)
		return j != nil && j.Open()
	})
	return append(due, s.forget(term, now)...), d.PermitQueries
}

// judgeWorkers suspects the silent and writes off those whose leases have run out.
func (s *Scheduler) judgeWorkers(term workload.Term, now time.Duration) []workload.Record {
	var due []workload.Record
	for id, w := range s.state.Workers() {
		s.noteReturn(w)
		if w.Gone {
			continue
		}
		if !w.Suspected {
			if s.presence.Silence(id) >= s.settings.SuspectAfter {
				due = append(due, workload.Record{Suspect: &workload.Suspect{Term: term, Life: id}})
				// If the agent withdraws it before the next look, it was heard of.
				s.present[id] = false
			}
			continue
		}
		since, known := s.suspected[id]
		if !known {
			since = now
			s.suspected[id] = now
		}
		if now-since >= s.settings.LapseAfter {
			due = append(due, workload.Record{Lapse: &workload.Lapse{Term: term, Life: id}})
		}
	}
	for id := range s.present {
		if s.state.Worker(id) == nil {
			delete(s.suspected, id)
			delete(s.present, id)
		}
	}
	s.presence.Retain(func(id workload.LifeID) bool { return s.present[id] })
	return due
}

// noteReturn counts an announcement and the withdrawal of a suspicion as signs of life.
func (s *Scheduler) noteReturn(w *workload.Worker) {
	present := !w.Gone && !w.Suspected
	if present && !s.present[w.Life] {
		s.presence.RecordContact(w.Life)
	}
	s.present[w.Life] = present
	if present || w.Gone {
		delete(s.suspected, w.Life)
	}
}

// forgetBatch is the number of ended things that are forgotten together.
const forgetBatch = 16

// forget returns what has ended longer ago than it must be remembered.
func (s *Scheduler) forget(term workload.Term, now time.Duration) []workload.Record {
	var f workload.Forget
	for id, j := range s.state.Jobs() {
		if !j.Open() && overdue(s.endedJobs, id, now, s.settings.Retention) {
			f.Jobs = append(f.Jobs, id)
		}
	}
	for id, w := range s.state.Workers() {
		if w.Gone && overdue(s.endedLives, id, now, s.settings.Retention) {
			f.Lives = append(f.Lives, id)
		}
	}
	for id := range s.endedJobs {
		if s.state.Job(id) == nil {
			delete(s.endedJobs, id)
		}
	}
	for id := range s.endedLives {
		if w := s.state.Worker(id); w == nil || !w.Gone {
			delete(s.endedLives, id)
		}
	}
	if len(f.Jobs)+len(f.Lives) < forgetBatch {
		return nil
	}
	f.Term = term
	return []workload.Record{{Forget: &f}}
}

// overdue notes when the end was first seen and tells whether its memory is over.
func overdue[K comparable](seen map[K]time.Duration, id K, now, memory time.Duration) bool {
	at, known := seen[id]
	if !known {
		seen[id] = now
		return false
	}
	return now-at > memory
}
