package ledger

import (
	"fmt"
	"slices"
	"time"

	"corianderpass/pkg/platform"
)

// MinMoveInterval is the least time between two moves of one job.
const MinMoveInterval = 10 * time.Minute

// MovableFor tells whether a job may be sent elsewhere for a gang: it may yield and
// is at most half as large.
func (s *State) MovableFor(victim, gang *Job, now time.Time) bool {
	return s.Movable(victim, now) && 2*victim.TotalAccelerators() <= gang.TotalAccelerators()
}

// Movable tells whether a job can be moved at all: it runs, can be preempted and
// started again, and was not moved lately.
func (s *State) Movable(j *Job, now time.Time) bool {
	return j.Kind == KindBorrowed && j.Phase == PhaseRunning && !j.RunOnce && now.Sub(j.Moved) >= MinMoveInterval
}

func (s *State) checkMoves(j *Job, p Place) error {
	for _, id := range p.Moves {
		victim := s.jobs[id]
		if victim == nil || !s.MovableFor(victim, j, s.now) {
			return fmt.Errorf("%w: %s cannot be sent elsewhere", ErrInvalidPlacement, id)
		}
	}
	return nil
}

// freeCapacity is what a worker could still hold.
type freeCapacity struct {
	free   platform.AcceleratorSet
	cores  platform.Cores
	memory platform.Megabytes
}

func (c *freeCapacity) allocate(set platform.AcceleratorSet, cores platform.Cores, memory platform.Megabytes) bool {
	if c.free&set != set || c.cores < cores || c.memory < memory {
		return false
	}
	c.free &^= set
	c.cores -= cores
	c.memory -= memory
	return true
}

// freeCapacityWithout returns the worker's room if the jobs were gone.
func (w *Worker) freeCapacityWithout(excluded []JobID) *freeCapacity {
	cores, memory := w.FreeCapacity()
	capacity := &freeCapacity{free: w.Free(), cores: cores, memory: memory}
	for _, h := range w.Holdings {
		if slices.Contains(excluded, h.Job) {
			capacity.free |= h.Accelerators
			capacity.cores += h.Cores
			capacity.memory += h.Memory
		}
	}
	return capacity
}

// preemptMoved drops the holdings of moved jobs on the worker; they must stop as a whole.
func (s *State) preemptMoved(w *Worker, moves []JobID) {
	for i := len(w.Holdings) - 1; i >= 0; i-- {
		id := w.Holdings[i].Job
		if slices.Contains(moves, id) {
			s.jobs[id].Moved = s.now
			s.preemptHolding(w, i)
		}
	}
}
