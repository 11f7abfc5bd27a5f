package workload

import (
	"fmt"

	"corianderpass/internal/process/journal"
)

// PresentWorkers returns the number of workers that are not gone.
func (s *State) PresentWorkers() int {
	n := 0
	for _, w := range s.workers {
		if !w.Gone {
			n++
		}
	}
	return n
}

func (s *State) announce(r Announce) error {
	for _, w := range s.workers {
		if w.Machine == r.Machine && w.Life != r.Life && !w.Gone {
			s.lose(w)
		}
	}
	w := s.workers[r.Life]
	if w == nil {
		w = &Worker{Life: r.Life, Machine: r.Machine}
		s.workers[r.Life] = w
	}
	w.Agent, w.Address = r.Agent, r.Address
	w.Service, w.FailureDomain, w.Rack, w.Labels = r.Service, r.FailureDomain, r.Rack, r.Labels
	w.Room = r.Room
	w.Suspected, w.Unresponsive, w.Gone = false, false, false
	return nil
}

func (s *State) report(r Report) error {
	w := s.workers[r.Life]
	if w == nil || w.Gone {
		return fmt.Errorf("%w: %s", ErrUnknownWorker, r.Life)
	}
	w.Draining = w.Draining || r.Draining
	w.Remaining = max(w.Remaining, r.Remaining)
	w.Unresponsive = r.Unresponsive
	s.saveAll(w, r.Saved)
	for _, p := range r.Progress {
		if _, _, t, known := s.Task(p.Task); known && t.Worker == w.Life && t.Run == p.Run {
			s.tell(Event{Progress: p, Worker: w})
		}
	}
	return nil
}

// saveAll keeps checkpoints of runs that the worker holds.
func (s *State) saveAll(w *Worker, saved []SavedCheckpoint) {
	for _, c := range saved {
		j, step, t, known := s.Task(c.Task)
		if known && t.Worker == w.Life && t.Run == c.Run && c.Checkpoint != "" {
			j.save(c.Task, step, c.Checkpoint)
		}
	}
}

func (s *State) depart(r Depart) error {
	w := s.workers[r.Life]
	if w == nil {
		return fmt.Errorf("%w: %s", ErrUnknownWorker, r.Life)
	}
	if w.Gone {
		return fmt.Errorf("%w: %s is gone", ErrNoChange, r.Life)
	}
	s.saveAll(w, r.Saved)
	s.lose(w)
	return nil
}

// lose ends everything that a worker ran. The order is fixed, so that all replicas
// do the same.
func (s *State) lose(w *Worker) {
	w.Gone = true
	for _, r := range w.SortedRuns() {
		s.end(w, End{Task: r, Run: w.Runs[r], How: RunLapsed})
	}
}

func (s *State) suspect(at journal.Position, r Suspect) error {
	if err := s.leads(at, r.Term); err != nil {
		return err
	}
	w := s.workers[r.Life]
	if w == nil || w.Gone || w.Suspected {
		return fmt.Errorf("%w: %s", ErrNoChange, r.Life)
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
		return fmt.Errorf("%w: %s is not suspected", ErrNoChange, r.Life)
	}
	w.Suspected = false
	return nil
}

func (s *State) lapse(at journal.Position, r Lapse) error {
	if err := s.leads(at, r.Term); err != nil {
		return err
	}
	w := s.workers[r.Life]
	if w == nil || w.Gone || !w.Suspected {
		return fmt.Errorf("%w: %s is not suspected", ErrNoChange, r.Life)
	}
	s.lose(w)
	return nil
}
