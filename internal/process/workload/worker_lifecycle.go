package workload

import (
	"fmt"

	"corianderpass/internal/process/journal"
)

// PresentWorkers returns the number of lives that are not gone.
func (s *State) PresentWorkers() int {
	n := 0
	for _, w := range s.workers {
		if !w.Gone {
			n++
		}
	}
	return n
}

func (s *State) announce(at journal.Position, r Announce) error {
	if err := s.checkAnnouncer(r); err != nil {
		return err
	}
	w := s.workers[r.Life]
	if w == nil {
		w = &Worker{Life: r.Life, Machine: r.Machine, Gone: true}
		s.workers[r.Life] = w
	}
	s.recordEnds(w, r.Ends)
	if r.Partial {
		return nil
	}
	for _, other := range s.workers {
		if other.Machine == r.Machine && other.Life != r.Life && !other.Gone {
			s.endLife(other)
		}
	}
	s.recordCrashes(w, r.Crashes)
	w.Agent, w.Address, w.AnnouncedAt = r.Agent, r.Address, at.Offset
	w.Service, w.FailureDomain, w.Rack, w.Labels = r.Service, r.FailureDomain, r.Rack, r.Labels
	w.setRoom(r.Room)
	w.Suspected, w.Unresponsive, w.Gone = false, false, false
	return nil
}

// checkAnnouncer returns ErrFormerAgent if another agent has announced a life on the machine that the writer of the
// record did not know of: the writer has ended since, and the log carries out its record late.
func (s *State) checkAnnouncer(r Announce) error {
	if r.NextOffset == 0 {
		return nil
	}
	for _, w := range s.workers {
		if w.Machine == r.Machine && w.Agent != r.Agent && w.AnnouncedAt >= r.NextOffset {
			return fmt.Errorf("%w: agent %s had read the stream up to %d, agent %s announced worker %s at %d", ErrFormerAgent, r.Agent, r.NextOffset-1, w.Agent, w.Life, w.AnnouncedAt)
		}
	}
	return nil
}

func (s *State) report(r Report) error {
	w := s.workers[r.Life]
	if w == nil || w.Gone {
		return fmt.Errorf("%w: %s", ErrUnknownWorker, r.Life)
	}
	if err := w.checkAgent(r.Agent); err != nil {
		return err
	}
	w.Draining = w.Draining || r.Draining
	w.Remaining = max(w.Remaining, r.Remaining)
	w.Unresponsive = r.Unresponsive
	w.Crashes = r.Crashes
	if r.Room != nil {
		w.setRoom(*r.Room)
	}
	s.saveCheckpoints(w, r.Saved)
	for _, p := range r.Progress {
		if _, _, t, ok := s.Task(p.Task); ok && t.Worker == w.Life && t.Run == p.Run {
			s.emit(Event{Progress: p, Worker: w})
		}
	}
	return nil
}

// saveCheckpoints stores the checkpoints that belong to current runs of the worker.
func (s *State) saveCheckpoints(w *Worker, saved []SavedCheckpoint) {
	for _, c := range saved {
		j, step, t, ok := s.Task(c.Task)
		if ok && t.Worker == w.Life && t.Run == c.Run && c.Checkpoint != "" {
			j.saveCheckpoint(c.Task, step, c.Checkpoint)
		}
	}
}

func (s *State) depart(r Depart) error {
	w := s.workers[r.Life]
	if w == nil {
		return fmt.Errorf("%w: %s", ErrUnknownWorker, r.Life)
	}
	if w.Gone {
		return fmt.Errorf("%w: worker %s is gone", ErrNoChange, r.Life)
	}
	if err := w.checkAgent(r.Agent); err != nil {
		return err
	}
	s.saveCheckpoints(w, r.Saved)
	s.endLife(w)
	return nil
}

// endLife marks the worker as gone and ends all its runs with RunLapsed. It does so in the
// order of their tasks, so that all replicas emit the same events in the same order.
func (s *State) endLife(w *Worker) {
	w.Gone = true
	for _, r := range w.SortedRuns() {
		s.endRun(w, End{Task: r, Run: w.Runs[r], How: RunLapsed})
	}
}

func (s *State) suspect(at journal.Position, r Suspect) error {
	if err := s.checkLeader(at, r.Term); err != nil {
		return err
	}
	w := s.workers[r.Life]
	if w == nil || w.Gone || w.Suspected {
		return fmt.Errorf("%w: worker %s is unknown, gone or already suspected", ErrNoChange, r.Life)
	}
	w.Suspected = true
	return nil
}

func (s *State) resume(r Resume) error {
	w := s.workers[r.Life]
	if w == nil || w.Gone {
		return fmt.Errorf("%w: %s", ErrUnknownWorker, r.Life)
	}
	if !w.Suspected {
		return fmt.Errorf("%w: worker %s is not suspected", ErrNoChange, r.Life)
	}
	if err := w.checkAgent(r.Agent); err != nil {
		return err
	}
	w.Suspected = false
	return nil
}

func (s *State) lapse(at journal.Position, r Lapse) error {
	if err := s.checkLeader(at, r.Term); err != nil {
		return err
	}
	w := s.workers[r.Life]
	if w == nil || w.Gone || !w.Suspected {
		return fmt.Errorf("%w: worker %s is unknown, gone or not suspected", ErrNoChange, r.Life)
	}
	s.endLife(w)
	return nil
}
