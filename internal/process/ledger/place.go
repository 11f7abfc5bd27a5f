package ledger

import (
	"fmt"
	"slices"

	"corianderpass/internal/process/adjacency"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// place checks a placement and, if it is valid, allocates its accelerators to the job.
func (s *State) place(p Place) error {
	j, err := s.nextEpochJob(p.Job, p.Epoch, PhaseWaiting)
	if err != nil {
		return err
	}
	if j.Cancelled {
		return fmt.Errorf("%w: job is cancelled", ErrWrongPhase)
	}
	if err := s.checkAssignments(j, p); err != nil {
		return err
	}
	if err := s.checkQuota(j, p); err != nil {
		return err
	}
	allocate := s.allocateBorrowed
	switch p.Kind {
	case KindGuaranteed:
		allocate = s.allocateGuaranteed
	case KindFirm:
		allocate = s.allocateFirm
	case KindBorrowed:
	default:
		return fmt.Errorf("%w: unknown kind %q", ErrInvalidPlacement, p.Kind)
	}
	if err := allocate(j, p); err != nil {
		return err
	}
	s.updateTotals(j, -1)
	j.Phase = PhaseReserved
	j.Epoch = p.Epoch
	j.Driver = p.Driver
	j.Kind = p.Kind
	j.Guarantee = p.Guarantee
	j.Assignments = p.Assignments
	j.Placed = s.now
	s.updateTotals(j, 1)
	return nil
}

// nextEpochJob returns the job if epoch is its next epoch and phase its current phase.
func (s *State) nextEpochJob(id JobID, epoch platform.Epoch, phase Phase) (*Job, error) {
	j := s.jobs[id]
	if j == nil {
		return nil, fmt.Errorf("%w: %s", ErrUnknownJob, id)
	}
	if j.Phase != phase {
		return nil, fmt.Errorf("%w: job %s is %s, want %s", ErrWrongPhase, id, j.Phase, phase)
	}
	if epoch != j.Epoch+1 {
		return nil, fmt.Errorf("%w: job %s has epoch %d, record has next epoch %d", ErrWrongEpoch, id, j.Epoch, epoch)
	}
	return j, nil
}

// checkAssignments checks that each task has an assignment of the right size on a usable
// worker and that no two assignments overlap. A worker in quarantine that accepts probes
// counts as usable for a borrowed placement of a single task.
func (s *State) checkAssignments(j *Job, p Place) error {
	if len(p.Assignments) != j.Tasks {
		return fmt.Errorf("%w: got %d assignments, want %d", ErrInvalidPlacement, len(p.Assignments), j.Tasks)
	}
	if p.Kind == KindBorrowed && !j.Preemptible {
		return fmt.Errorf("%w: borrowed placement of a job that is not preemptible", ErrInvalidPlacement)
	}
	taken := map[platform.WorkerID]platform.AcceleratorSet{}
	for task, a := range p.Assignments {
		w := s.workers[a.Worker]
		if w == nil || w.Lost {
			return fmt.Errorf("%w: task %d is on unknown or lost worker %s", ErrInvalidPlacement, task, a.Worker)
		}
		if !w.Usable(s.now) && !(w.AcceptsProbe(s.now) && j.Tasks == 1 && p.Kind == KindBorrowed) {
			return fmt.Errorf("%w: worker %s is in quarantine", ErrInvalidPlacement, a.Worker)
		}
		if a.Accelerators&^w.All() != 0 || !adjacency.IsContiguous(a.Accelerators) {
			return fmt.Errorf("%w: accelerators of task %d are not adjacent or do not exist on worker %s", ErrInvalidPlacement, task, a.Worker)
		}
		if p.Kind != KindGuaranteed && a.Accelerators.Count() != j.Accelerators {
			return fmt.Errorf("%w: task %d has %d accelerators, want %d", ErrInvalidPlacement, task, a.Accelerators.Count(), j.Accelerators)
		}
		if taken[a.Worker]&a.Accelerators != 0 {
			return fmt.Errorf("%w: assignments overlap on worker %s", ErrInvalidPlacement, a.Worker)
		}
		taken[a.Worker] |= a.Accelerators
	}
	return nil
}

// checkQuota checks a placement against the organisation's quota. Unfilled slots count as
// held, so that they can be filled at any time: a guaranteed placement is not checked.
func (s *State) checkQuota(j *Job, p Place) error {
	o, err := s.organisation(j.ID.Organisation())
	if err != nil {
		return err
	}
	if p.Kind == KindGuaranteed || s.WithinQuota(o, j.TotalAccelerators()) {
		return nil
	}
	return fmt.Errorf("%w: organisation %s holds %d of %d accelerators and has %d in unfilled slots", ErrQuota, o.Name, s.heldAccelerators[o.Name], o.AcceleratorQuota, s.unfilledAccelerators(o.Name))
}

// WithinQuota reports whether the organisation may hold a number of additional
// accelerators, counting its unfilled slots as held. A quota of 0 means no limit.
func (s *State) WithinQuota(o bundle.Organisation, additional int) bool {
	if o.AcceleratorQuota == 0 {
		return true
	}
	return s.heldAccelerators[o.Name]+s.unfilledAccelerators(o.Name)+additional <= o.AcceleratorQuota
}

// unfilledAccelerators returns the number of accelerators in the organisation's unfilled
// slots, with a place or without.
func (s *State) unfilledAccelerators(name bundle.OrganisationName) int {
	total := 0
	for _, l := range s.slots.list {
		if l.Organisation == name && l.Job == "" {
			total += l.Size
		}
	}
	return total
}

// holding returns the holding of one task under a firm or borrowed placement.
func (s *State) holding(j *Job, task int, a Assignment) Holding {
	return Holding{
		Job: j.ID, Task: task, Accelerators: a.Accelerators, Cores: j.Cores, Memory: j.Memory,
		Firm: j.Kind != KindBorrowed,
	}
}

// allocateBorrowed allocates accelerators that are free once the jobs that the placement
// moves have been preempted.
func (s *State) allocateBorrowed(j *Job, p Place) error {
	if err := s.checkMoves(j, p); err != nil {
		return err
	}
	placed := *j
	placed.Kind = p.Kind
	free := map[platform.WorkerID]*freeCapacity{}
	for task, a := range p.Assignments {
		capacity := free[a.Worker]
		if capacity == nil {
			capacity = s.workers[a.Worker].freeCapacityWithout(p.Moves)
			free[a.Worker] = capacity
		}
		if !capacity.allocate(a.Accelerators, j.Cores, j.Memory) {
			return fmt.Errorf("%w: worker %s has no capacity for task %d", ErrInvalidPlacement, a.Worker, task)
		}
	}
	for id := range free {
		s.preemptMoved(s.workers[id], p.Moves)
	}
	for task, a := range p.Assignments {
		s.workers[a.Worker].addHolding(s.holding(&placed, task, a))
	}
	return nil
}

// removeTasks removes the holdings of the first count tasks of a placement.
func (s *State) removeTasks(p Place, id JobID, count int) {
	for task := range count {
		s.workers[p.Assignments[task].Worker].removeTask(id, task)
	}
}

// allocateFirm allocates free accelerators and moves the unfilled slots that reserve them
// to other places. It fails and changes nothing if there is no other place for some slot.
func (s *State) allocateFirm(j *Job, p Place) error {
	if s.slots.unplaced > 0 {
		return fmt.Errorf("%w: %d slots already have no place", ErrGuaranteeBroken, s.slots.unplaced)
	}
	placed := *j
	placed.Kind = p.Kind
	var moved []slotPlace
	for task, a := range p.Assignments {
		w := s.workers[a.Worker]
		if w.Free()&a.Accelerators != a.Accelerators || !w.HasCapacity(j.Cores, j.Memory) {
			s.removeTasks(p, j.ID, task)
			s.restoreSlots(moved)
			return fmt.Errorf("%w: worker %s has no capacity for task %d", ErrInvalidPlacement, a.Worker, task)
		}
		moved = append(moved, s.unplaceOverlappingSlots(a.Worker, a.Accelerators)...)
		w.addHolding(s.holding(&placed, task, a))
		moved = append(moved, s.unplaceOverCapacitySlots(w)...)
	}
	if !s.placeMovedSlots(moved) {
		s.removeTasks(p, j.ID, len(p.Assignments))
		s.restoreSlots(moved)
		return fmt.Errorf("%w: an unfilled slot has no other place", ErrGuaranteeBroken)
	}
	return nil
}

// allocateGuaranteed fills slots of the organisation's own guarantee, moves them to the
// assigned accelerators and preempts the borrowed holdings there. Slots whose filler is
// preempted keep their places; they are filled last, since that cannot fail.
func (s *State) allocateGuaranteed(j *Job, p Place) error {
	filled, err := s.slotsFor(j, p)
	if err != nil {
		return err
	}
	if err := s.fillUnfilledSlots(j, p, filled); err != nil {
		return err
	}
	s.takeOverSlots(j, p, filled)
	for _, a := range p.Assignments {
		s.preempt(s.workers[a.Worker])
	}
	return nil
}

// fillUnfilledSlots fills those of the slots that are unfilled, or fails and changes
// nothing. filled has the index of each task's slot.
func (s *State) fillUnfilledSlots(j *Job, p Place, filled []int) error {
	var moved []slotPlace
	var tasks []int
	for task, i := range filled {
		l := s.slots.list[i]
		if l.Job == "" {
			tasks = append(tasks, task)
			moved = append(moved, slotPlace{index: i, worker: l.Worker, set: l.Accelerators})
			s.unplaceSlot(i)
		}
	}
	for n, task := range tasks {
		a, l := p.Assignments[task], s.slots.list[filled[task]]
		w := s.workers[a.Worker]
		available := w.All() &^ w.firm &^ w.reserved
		if available&a.Accelerators != a.Accelerators || !w.hasFirmCapacity(l.Cores, l.Memory) {
			for _, done := range tasks[:n] {
				s.workers[p.Assignments[done].Worker].removeTask(j.ID, done)
			}
			s.restoreSlots(moved)
			return fmt.Errorf("%w: worker %s has no capacity for the slot of task %d", ErrInvalidPlacement, a.Worker, task)
		}
		s.fillSlot(j, filled[task], task, a)
	}
	return nil
}

// takeOverSlots fills the remaining slots and turns the placements of their previous
// fillers into borrowed ones, which the caller preempts.
func (s *State) takeOverSlots(j *Job, p Place, filled []int) {
	for task, i := range filled {
		filler := s.slots.list[i].Job
		if filler == j.ID {
			continue
		}
		if filler != "" {
			s.demote(s.jobs[filler])
		}
		s.fillSlot(j, i, task, p.Assignments[task])
	}
}

// fillSlot moves a slot to an assignment and fills it with a task of the job. The holding
// has the cores and memory of the slot, even if the task needs less.
func (s *State) fillSlot(j *Job, slot, task int, a Assignment) {
	l := s.slots.list[slot]
	s.setSlot(slot, a.Worker, a.Accelerators, j.ID)
	s.workers[a.Worker].addHolding(Holding{
		Job: j.ID, Task: task, Accelerators: a.Accelerators, Cores: l.Cores, Memory: l.Memory, Firm: true,
	})
}

// slotsFor returns the index of the slot that each task fills.
func (s *State) slotsFor(j *Job, p Place) ([]int, error) {
	filled := make([]int, 0, len(p.Assignments))
	for task, a := range p.Assignments {
		i := s.findSlot(slotKey{j.ID.Organisation(), p.Guarantee, a.Slot})
		if i < 0 || slices.Contains(filled, i) {
			return nil, fmt.Errorf("%w: slot of task %d is unknown or used by another task", ErrInvalidPlacement, task)
		}
		l := s.slots.list[i]
		if l.Unplaced() || !s.isFillable(l, j.Spec) || !l.fitsTask(j.Spec) || a.Accelerators.Count() != l.Size {
			return nil, fmt.Errorf("%w: slot %d of guarantee %s cannot be filled by task %d", ErrInvalidPlacement, a.Slot, p.Guarantee, task)
		}
		if l.Job != "" && (l.Worker != a.Worker || l.Accelerators != a.Accelerators) {
			return nil, fmt.Errorf("%w: slot %d of guarantee %s is filled and cannot move", ErrInvalidPlacement, a.Slot, p.Guarantee)
		}
		filled = append(filled, i)
	}
	return filled, nil
}

// isFillable reports whether a job of the slot's organisation may fill the slot: the slot
// is unfilled, or the job is urgent and the slot is filled by a running preemptible batch
// job.
func (s *State) isFillable(l Slot, spec Spec) bool {
	if l.Job == "" {
		return true
	}
	filler := s.jobs[l.Job]
	return spec.Class == ClassUrgent && filler.Class == ClassBatch && filler.Preemptible && filler.Phase == PhaseRunning
}

// findSlot returns the index of a slot, -1 if there is none with the key.
func (s *State) findSlot(key slotKey) int {
	for i, l := range s.slots.list {
		if l.key() == key {
			return i
		}
	}
	return -1
}

// preempt removes borrowed holdings until the worker's firm ones fit: first those that
// overlap firm ones, then the newest ones until cores and memory suffice. All tasks of
// their jobs must stop.
func (s *State) preempt(w *Worker) {
	for i := len(w.Holdings) - 1; i >= 0; i-- {
		h := w.Holdings[i]
		if !h.Firm && h.Accelerators&w.firm != 0 {
			s.preemptHolding(w, i)
		}
	}
	for i := len(w.Holdings) - 1; i >= 0 && !w.HasCapacity(0, 0); i-- {
		if !w.Holdings[i].Firm {
			s.preemptHolding(w, i)
		}
	}
	w.rebuildBorrowed()
}

// preemptHolding removes the holding with the index i and stops its job.
func (s *State) preemptHolding(w *Worker, i int) {
	j := s.jobs[w.Holdings[i].Job]
	w.removeHolding(i)
	if j.Phase == PhaseStopping {
		return
	}
	j.Phase = PhaseStopping
	j.Preemptions++
}

// rebuildBorrowed recomputes the borrowed accelerators from the holdings, after holdings
// that overlapped others were removed.
func (w *Worker) rebuildBorrowed() {
	w.borrowed = 0
	for _, h := range w.Holdings {
		if !h.Firm {
			w.borrowed |= h.Accelerators
		}
	}
}
