package ledger

import (
	"github.com/pkg/errors"

	"corianderpass/internal/process/adjacency"
	"corianderpass/pkg/platform"
)

// Check returns an error that names a violated invariant, nil if all hold. It recomputes
// all sums, sets and counters from the rest of the state, so its cost grows with the
// number of workers times the number of slots. It is meant for restored snapshots and
// tests.
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

// checkWorker checks a worker's sums and sets against its holdings and slots, and both
// against the worker's size.
func (s *State) checkWorker(w *Worker) error {
	var firm, borrowed, reserved platform.AcceleratorSet
	var firmCores, unfilledCores, heldCores platform.Cores
	var firmMemory, unfilledMemory, heldMemory platform.Megabytes
	for _, h := range w.Holdings {
		if (firm|borrowed)&h.Accelerators != 0 {
			return errors.Errorf("ledger: holdings overlap on worker %s", w.ID)
		}
		if s.jobs[h.Job] == nil || !s.jobs[h.Job].HoldsAccelerators() {
			return errors.Errorf("ledger: worker %s has a holding of job %s, which holds no accelerators", w.ID, h.Job)
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
			return errors.Errorf("ledger: slots overlap on worker %s", w.ID)
		}
		reserved |= l.Accelerators
		if l.Job == "" {
			unfilledCores += l.Cores
			unfilledMemory += l.Memory
		}
	}
	switch {
	case firm != w.firm || borrowed != w.borrowed || reserved != w.reserved:
		return errors.Errorf("ledger: accelerator sets of worker %s do not match its holdings and slots", w.ID)
	case heldCores != w.heldCores || heldMemory != w.heldMemory || firmCores != w.firmCores || firmMemory != w.firmMemory:
		return errors.Errorf("ledger: cores or memory sums of worker %s do not match its holdings", w.ID)
	case unfilledCores != w.unfilledCores || unfilledMemory != w.unfilledMemory:
		return errors.Errorf("ledger: cores or memory sums of worker %s do not match its unfilled slots", w.ID)
	case (firm|borrowed|reserved)&^w.All() != 0:
		return errors.Errorf("ledger: worker %s has fewer accelerators than its holdings and slots use", w.ID)
	case heldCores > w.Cores || heldMemory > w.Memory:
		return errors.Errorf("ledger: holdings exceed the cores or memory of worker %s", w.ID)
	case firmCores+unfilledCores > w.Cores || firmMemory+unfilledMemory > w.Memory:
		return errors.Errorf("ledger: firm holdings and unfilled slots exceed the cores or memory of worker %s", w.ID)
	}
	return nil
}

// checkSlot checks that a slot with a place can be used by its organisation, and that
// a job that fills it has a guaranteed placement.
func (s *State) checkSlot(i int, l Slot) error {
	if l.Unplaced() {
		if l.Job != "" {
			return errors.Errorf("ledger: slot %d is filled but has no place", i)
		}
		return nil
	}
	w := s.workers[l.Worker]
	if w == nil {
		return errors.Errorf("ledger: slot %d is on unknown worker %s", i, l.Worker)
	}
	if !adjacency.IsContiguous(l.Accelerators) || l.Accelerators.Count() != l.Size {
		return errors.Errorf("ledger: slot %d has accelerators that are not adjacent or not of its size", i)
	}
	if l.Job == "" && l.Accelerators&w.firm != 0 {
		return errors.Errorf("ledger: unfilled slot %d of %s/%s overlaps a firm holding", i, l.Organisation, l.Guarantee)
	}
	if l.Job == "" && !w.Usable(s.now) {
		return errors.Errorf("ledger: unfilled slot %d is on unusable worker %s", i, l.Worker)
	}
	if l.Job != "" && (s.jobs[l.Job] == nil || s.jobs[l.Job].Kind != KindGuaranteed) {
		return errors.Errorf("ledger: slot %d is filled by job %s, which has no guaranteed placement", i, l.Job)
	}
	return nil
}

// checkJob checks that a job has an assignment for each task exactly while it holds
// accelerators, and that the workers hold all tasks of a reserved or running job.
// Preemption removes holdings of a stopping job.
func (s *State) checkJob(j *Job) error {
	if j.HoldsAccelerators() != (len(j.Assignments) == j.Tasks) {
		return errors.Errorf("ledger: job %s is %s with %d assignments", j.ID, j.Phase, len(j.Assignments))
	}
	if !j.HoldsAccelerators() && len(j.Assignments) > 0 {
		return errors.Errorf("ledger: job %s is %s but has assignments", j.ID, j.Phase)
	}
	if j.Phase != PhaseReserved && j.Phase != PhaseRunning {
		return nil
	}
	for task, a := range j.Assignments {
		if !s.workers[a.Worker].holdsTask(j.ID, task) {
			return errors.Errorf("ledger: job %s is %s but its worker has no holding of task %d", j.ID, j.Phase, task)
		}
	}
	return nil
}

// holdsTask reports whether the worker has a holding of the task.
func (w *Worker) holdsTask(id JobID, task int) bool {
	for _, h := range w.Holdings {
		if h.Job == id && h.Task == task {
			return true
		}
	}
	return false
}
