package ledger

import (
	"fmt"
	"slices"
	"time"

	"corianderpass/pkg/platform"
)

// MinMoveInterval is the least time between two moves of the same job.
const MinMoveInterval = 10 * time.Minute

// MovableFor reports whether the victim may be moved at the time now so that the gang gets
// its accelerators: the victim is movable and needs at most half as many accelerators as
// the gang.
func (s *State) MovableFor(victim, gang *Job, now time.Time) bool {
	return s.Movable(victim, now) && 2*victim.TotalAccelerators() <= gang.TotalAccelerators()
}

// Movable reports whether a job may be stopped at the time now to run elsewhere: it runs,
// can be preempted and started again, and its last move is at least MinMoveInterval ago.
func (s *State) Movable(j *Job, now time.Time) bool {
	return j.Kind == KindBorrowed && j.Phase == PhaseRunning && !j.RunOnce && now.Sub(j.Moved) >= MinMoveInterval
}

// checkMoves checks that the jobs that a placement moves are movable for its job.
func (s *State) checkMoves(j *Job, p Place) error {
	for _, id := range p.Moves {
		victim := s.jobs[id]
		if victim == nil || !s.MovableFor(victim, j, s.now) {
			return fmt.Errorf("%w: job %s cannot be moved", ErrInvalidPlacement, id)
		}
	}
	return nil
}

// freeCapacity is the unused capacity of a worker.
type freeCapacity struct {
	free   platform.AcceleratorSet
	cores  platform.Cores
	memory platform.Megabytes
}

// allocate subtracts a task's needs and returns true, or returns false and changes
// nothing if they exceed the capacity.
func (c *freeCapacity) allocate(set platform.AcceleratorSet, cores platform.Cores, memory platform.Megabytes) bool {
	if c.free&set != set || c.cores < cores || c.memory < memory {
		return false
	}
	c.free &^= set
	c.cores -= cores
	c.memory -= memory
	return true
}

// freeCapacityWithout returns the capacity that would be free on the worker if the
// excluded jobs held nothing there.
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

// preemptMoved removes the holdings of the moved jobs on the worker. All tasks of these jobs
// must stop.
func (s *State) preemptMoved(w *Worker, moves []JobID) {
	for i := len(w.Holdings) - 1; i >= 0; i-- {
		id := w.Holdings[i].Job
		if slices.Contains(moves, id) {
			s.jobs[id].Moved = s.now
			s.preemptHolding(w, i)
		}
	}
}
