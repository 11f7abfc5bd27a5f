package ledger

import (
	"github.com/pkg/errors"

	"corianderpass/internal/process/adjacency"
	"corianderpass/pkg/platform"
)

// Check recomputes everything that follows from the state and tells the first
// invariant that does not hold. It is meant for restored snapshots and tests;
// its cost grows with the whole state.
func (s *State) Check() error {
	for _, id := range s.workerIDs {
		if err := s.checkWorker(s.workers[id]); err != nil {
			return err
		}
	}
	for i, l := range s.slots.list {
		if err := s.checkSlot(i, l); err != nil {
			return err
		}
	}
	for _, j := range s.jobs {
		if err := s.checkJob(j); err != nil {
			return err
		}
	}
	return nil
}

func (s *State) checkWorker(w *Worker) error {
	var firm, borrowed, reserved platform.AcceleratorSet
	var firmCores, unfilledCores, heldCores platform.Cores
	var firmMemory, unfilledMemory, heldMemory platform.Megabytes
	for _, h := range w.Holdings {
		if (firm|borrowed)&h.Accelerators != 0 {
			return errors.Errorf("ledger: holdings overlap on %s", w.ID)
		}
		if s.jobs[h.Job] == nil || !s.jobs[h.Job].HoldsAccelerators() {
			return errors.Errorf("ledger: %s is held by %s, which holds nothing", w.ID, h.Job)
		}
		heldCores += h.Cores
		heldMemory += h.Memory
		if !h.Firm {
			borrowed |= h.Accelerators
			continue
		}
		firm |= h.Accelerators
		firmCores += h.Cores
		firmMemory += h.Memory
	}
	for _, l := range s.slots.list {
		if l.Worker != w.ID {
			continue
		}
		if reserved&l.Accelerators != 0 {
			return errors.Errorf("ledger: slots overlap on %s", w.ID)
		}
		reserved |= l.Accelerators
		if l.Job == "" {
			unfilledCores += l.Cores
			unfilledMemory += l.Memory
		}
	}
	switch {
	case firm != w.firm || borrowed != w.borrowed || reserved != w.reserved:
		return errors.Errorf("ledger: sets of %s are wrong", w.ID)
	case heldCores != w.heldCores || heldMemory != w.heldMemory || firmCores != w.firmCores || firmMemory != w.firmMemory:
		return errors.Errorf("ledger: sums of %s are wrong", w.ID)
	case unfilledCores != w.unfilledCores || unfilledMemory != w.unfilledMemory:
		return errors.Errorf("ledger: slot sums of %s are wrong", w.ID)
	case (firm|borrowed|reserved)&^w.All() != 0:
		return errors.Errorf("ledger: %s has no such accelerators", w.ID)
	case heldCores > w.Cores || heldMemory > w.Memory:
		return errors.Errorf("ledger: %s is overcommitted", w.ID)
	case firmCores+unfilledCores > w.Cores || firmMemory+unfilledMemory > w.Memory:
		return errors.Errorf("ledger: slots of %s cannot be honoured beside its firm holdings", w.ID)
	}
	return nil
}

func (s *State) checkSlot(i int, l Slot) error {
	if l.Unplaced() {
		if l.Job != "" {
			return errors.Errorf("ledger: slot %d is filled without a place", i)
		}
		return nil
	}
	w := s.workers[l.Worker]
	if w == nil {
		return errors.Errorf("ledger: slot %d is on unknown worker %s", i, l.Worker)
	}
	if !adjacency.IsContiguous(l.Accelerators) || l.Accelerators.Count() != l.Size {
		return errors.Errorf("ledger: slot %d has the wrong shape", i)
	}
	if l.Job == "" && l.Accelerators&w.firm != 0 {
		return errors.Errorf("ledger: slot %d of %s/%s cannot be reclaimed", i, l.Organisation, l.Guarantee)
	}
	if l.Job == "" && !w.Usable(s.now) {
		return errors.Errorf("ledger: slot %d is on unusable worker %s", i, l.Worker)
	}
	if l.Job != "" && (s.jobs[l.Job] == nil || s.jobs[l.Job].Kind != KindGuaranteed) {
		return errors.Errorf("ledger: slot %d is filled by %s, which is not guaranteed", i, l.Job)
	}
	return nil
}

func (s *State) checkJob(j *Job) error {
	if j.HoldsAccelerators() != (len(j.Assignments) == j.Tasks) {
		return errors.Errorf("ledger: %s is %s with %d assignments", j.ID, j.Phase, len(j.Assignments))
	}
	if !j.HoldsAccelerators() && len(j.Assignments) > 0 {
		return errors.Errorf("ledger: %s is %s and holds a part", j.ID, j.Phase)
	}
	if j.Phase != PhaseReserved && j.Phase != PhaseRunning {
		return nil
	}
	for task, a := range j.Assignments {
		if !s.workers[a.Worker].holdsTask(j.ID, task) {
			return errors.Errorf("ledger: %s is %s without task %d", j.ID, j.Phase, task)
		}
	}
	return nil
}

func (w *Worker) holdsTask(id JobID, task int) bool {
	for _, h := range w.Holdings {
		if h.Job == id && h.Task == task {
			return true
		}
	}
	return false
}
