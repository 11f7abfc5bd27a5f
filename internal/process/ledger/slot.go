package ledger

import (
	"maps"
	"slices"
	"sort"

	"corianderpass/internal/process/adjacency"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// Slot is the permanent reservation for one task of a guarantee. Its place is a worker and
// accelerators of that worker. A job fills the slot while one of the job's tasks holds the
// place under a guaranteed placement. The place of an unfilled slot is free or held by
// borrowed placements.
type Slot struct {
	Organisation bundle.OrganisationName
	Guarantee    bundle.GuaranteeName
	// Index is the slot's number within its guarantee, from 0.
	Index int
	// Size is the number of adjacent accelerators.
	Size   int
	Cores  platform.Cores
	Memory platform.Megabytes
	// Worker and Accelerators are the slot's place; empty if it has none.
	Worker       platform.WorkerID       `json:",omitempty"`
	Accelerators platform.AcceleratorSet `json:",omitempty"`
	// Job is the job that fills the slot; empty for an unfilled one.
	Job JobID `json:",omitempty"`
}

// Unplaced reports whether the slot has no place.
func (l Slot) Unplaced() bool { return l.Worker == "" }

// slotTable has all slots in the order of the bundle. Earlier slots without a place get
// one before later ones.
type slotTable struct {
	list []Slot
	// unplaced is the number of slots without a place.
	unplaced int
	// byWorker has the indexes in list of each worker's slots, in no particular order.
	byWorker map[platform.WorkerID][]int
}

// Slots returns all slots in the order of the bundle. The slice must not be changed.
func (s *State) Slots() []Slot { return s.slots.list }

// Shortfall returns the number of slots that have no place.
func (s *State) Shortfall() int { return s.slots.unplaced }

// updateSlotTotals adds a slot to its worker's sums, or to the unplaced slots, with sign 1,
// or subtracts it with sign -1. A slot is subtracted before it changes and added again
// afterwards.
func (s *State) updateSlotTotals(i int, sign int) {
	l := s.slots.list[i]
	if l.Unplaced() {
		s.slots.unplaced += sign
		return
	}
	w := s.workers[l.Worker]
	if sign > 0 {
		w.reserved |= l.Accelerators
		s.slots.addToWorker(l.Worker, i)
	} else {
		w.reserved &^= l.Accelerators
		s.slots.removeFromWorker(l.Worker, i)
	}
	if l.Job != "" {
		return
	}
	if sign > 0 {
		w.unfilledCores += l.Cores
		w.unfilledMemory += l.Memory
		return
	}
	w.unfilledCores -= l.Cores
	w.unfilledMemory -= l.Memory
}

func (t *slotTable) addToWorker(id platform.WorkerID, i int) {
	if t.byWorker == nil {
		t.byWorker = map[platform.WorkerID][]int{}
	}
	t.byWorker[id] = append(t.byWorker[id], i)
}

func (t *slotTable) removeFromWorker(id platform.WorkerID, i int) {
	indexes := t.byWorker[id]
	for k, v := range indexes {
		if v == i {
			t.byWorker[id] = append(indexes[:k:k], indexes[k+1:]...)
			return
		}
	}
}

// slotsOn returns the sorted indexes of a worker's slots. A replica that was restored from
// a snapshot has byWorker in another order than one that applied all records; sorting
// makes both treat the slots alike.
func (s *State) slotsOn(id platform.WorkerID) []int {
	indexes := append([]int(nil), s.slots.byWorker[id]...)
	slices.Sort(indexes)
	return indexes
}

// setSlot replaces a slot's place and the job that fills it.
func (s *State) setSlot(i int, worker platform.WorkerID, set platform.AcceleratorSet, job JobID) {
	s.updateSlotTotals(i, -1)
	l := &s.slots.list[i]
	l.Worker = worker
	l.Accelerators = set
	l.Job = job
	s.updateSlotTotals(i, 1)
}

// placeSlot finds the best place for an unfilled slot without a place and reports whether
// there was one. It prefers the place with the fewest borrowed accelerators, then the one
// in the shortest span, then the first worker.
func (s *State) placeSlot(i int) bool {
	l := s.slots.list[i]
	var bestWorker platform.WorkerID
	var bestSet platform.AcceleratorSet
	bestCost := -1
	for _, id := range s.workerIDs {
		w := s.workers[id]
		if w.Lost || !w.QuarantinedUntil.IsZero() || !w.hasFirmCapacity(l.Cores, l.Memory) {
			continue
		}
		set, cost, ok := bestSlotPlace(w, l.Size)
		if ok && (bestCost < 0 || cost < bestCost) {
			bestWorker, bestSet, bestCost = id, set, cost
		}
		if bestCost == 0 {
			break
		}
	}
	if bestCost < 0 {
		return false
	}
	s.setSlot(i, bestWorker, bestSet, "")
	return true
}

// preemptionCost is the cost of one borrowed accelerator in a place. An accelerator that
// the place leaves unused in its span costs 1. A span has at most 64 accelerators, so the
// place with fewer borrowed ones always costs less.
const preemptionCost = 128

// bestSlotPlace returns the cheapest place for a slot of a size on a worker, and its cost:
// preemptionCost for each borrowed accelerator in it, and 1 for each accelerator that it
// leaves unused in its span. It returns false if there is none.
func bestSlotPlace(w *Worker, size int) (platform.AcceleratorSet, int, bool) {
	available := w.All() &^ w.firm &^ w.reserved
	if set, length := adjacency.BestFit(available&^w.borrowed, size); length > 0 {
		return set, length - size, true
	}
	set, length := adjacency.BestFit(available, size)
	if length == 0 {
		return 0, 0, false
	}
	return set, preemptionCost*(set&w.borrowed).Count() + length - size, true
}

// unplaceSlot removes the place of an unfilled slot.
func (s *State) unplaceSlot(i int) {
	s.setSlot(i, "", 0, "")
}

// placeUnplacedSlots tries to find a place for each slot that has none, in the order of the
// bundle.
func (s *State) placeUnplacedSlots() {
	if s.slots.unplaced == 0 {
		return
	}
	for i := range s.slots.list {
		if s.slots.list[i].Unplaced() {
			s.placeSlot(i)
		}
	}
}

// slotPlace is the previous place of a slot, kept to restore it.
type slotPlace struct {
	index  int
	worker platform.WorkerID
	set    platform.AcceleratorSet
}

// unplaceOverlappingSlots removes the places of the unfilled slots that overlap the set on
// a worker, and returns these places.
func (s *State) unplaceOverlappingSlots(id platform.WorkerID, set platform.AcceleratorSet) []slotPlace {
	var moved []slotPlace
	for _, i := range s.slotsOn(id) {
		l := s.slots.list[i]
		if l.Job == "" && l.Accelerators&set != 0 {
			moved = append(moved, slotPlace{index: i, worker: l.Worker, set: l.Accelerators})
			s.unplaceSlot(i)
		}
	}
	return moved
}

// unplaceOverCapacitySlots removes the places of unfilled slots on a worker until the
// remaining ones and the firm holdings fit its cores and memory, and returns these places.
func (s *State) unplaceOverCapacitySlots(w *Worker) []slotPlace {
	var moved []slotPlace
	for _, i := range s.slotsOn(w.ID) {
		if w.hasFirmCapacity(0, 0) {
			break
		}
		l := s.slots.list[i]
		if l.Job == "" {
			moved = append(moved, slotPlace{index: i, worker: l.Worker, set: l.Accelerators})
			s.unplaceSlot(i)
		}
	}
	return moved
}

// placeMovedSlots finds new places for slots, large ones first. It returns false as soon as
// it finds none for one of them.
func (s *State) placeMovedSlots(moved []slotPlace) bool {
	order := append([]slotPlace(nil), moved...)
	sort.SliceStable(order, func(a, b int) bool {
		return s.slots.list[order[a].index].Size > s.slots.list[order[b].index].Size
	})
	for _, m := range order {
		if !s.placeSlot(m.index) {
			return false
		}
	}
	return true
}

// restoreSlots gives slots their previous places again. Holdings that were added there
// must have been removed.
func (s *State) restoreSlots(moved []slotPlace) {
	for _, m := range moved {
		if !s.slots.list[m.index].Unplaced() {
			s.unplaceSlot(m.index)
		}
	}
	for _, m := range moved {
		s.setSlot(m.index, m.worker, m.set, "")
	}
}

// FillableSlots returns a guarantee of the job's organisation that can hold the whole gang,
// and the indexes in Slots of the slots for its tasks. All of them have a place. It leaves
// out the excluded indexes, and prefers unfilled slots; for an urgent job it may also return
// slots that are filled by preemptible batch jobs. It returns nil if there are too few.
func (s *State) FillableSlots(spec Spec, excluded map[int]bool) (bundle.GuaranteeName, []int) {
	name, slots := s.findSlots(spec, func(i int, l Slot) bool { return !excluded[i] && l.Job == "" })
	if slots == nil && spec.Class == ClassUrgent {
		return s.findSlots(spec, func(i int, l Slot) bool { return !excluded[i] && s.isFillable(l, spec) })
	}
	return name, slots
}

// findSlots returns the slots of the first guarantee that has enough acceptable ones.
func (s *State) findSlots(spec Spec, accept func(int, Slot) bool) (bundle.GuaranteeName, []int) {
	found := map[bundle.GuaranteeName][]int{}
	organisation := spec.ID.Organisation()
	for i, l := range s.slots.list {
		if l.Organisation != organisation || l.Unplaced() || !l.fitsTask(spec) || !accept(i, l) {
			continue
		}
		found[l.Guarantee] = append(found[l.Guarantee], i)
		if len(found[l.Guarantee]) == spec.Tasks {
			return l.Guarantee, found[l.Guarantee]
		}
	}
	return "", nil
}

// fitsTask reports whether the slot is large enough for one task of the specification.
func (l Slot) fitsTask(spec Spec) bool {
	return spec.Accelerators <= l.Size && spec.Cores <= l.Cores && spec.Memory <= l.Memory
}

// adoptSlots replaces the slots by those of a new bundle. A slot that exists in both with
// the same size, cores and memory keeps its place and the job that fills it.
func (s *State) adoptSlots(b *bundle.Bundle) {
	old := map[slotKey]Slot{}
	for i, l := range s.slots.list {
		s.updateSlotTotals(i, -1)
		old[l.key()] = l
	}
	s.slots = slotTable{}
	for _, o := range b.Organisations {
		for _, g := range o.Guarantees {
			if g.Region == s.region {
				s.addSlots(o.Name, g, old)
			}
		}
	}
	s.demoteOrphans(old)
	s.placeUnplacedSlots()
}

// slotKey identifies a slot across bundles.
type slotKey struct {
	organisation bundle.OrganisationName
	guarantee    bundle.GuaranteeName
	index        int
}

func (l Slot) key() slotKey { return slotKey{l.Organisation, l.Guarantee, l.Index} }

// addSlots appends the slots of a guarantee and removes from old those that it keeps.
func (s *State) addSlots(organisation bundle.OrganisationName, g bundle.Guarantee, old map[slotKey]Slot) {
	for k := range g.Tasks {
		l := Slot{Organisation: organisation, Guarantee: g.Name, Index: k, Size: g.Accelerators, Cores: g.Cores, Memory: g.Memory}
		previous, known := old[l.key()]
		same := known && previous.Size == l.Size && previous.Cores == l.Cores && previous.Memory == l.Memory
		if same {
			l = previous
			delete(old, l.key())
		}
		s.slots.list = append(s.slots.list, l)
		s.updateSlotTotals(len(s.slots.list)-1, 1)
	}
}

// demoteOrphans demotes the jobs that fill slots in old, the slots of the previous bundle
// that the new one does not keep.
func (s *State) demoteOrphans(old map[slotKey]Slot) {
	orphaned := map[JobID]bool{}
	for _, l := range old {
		if l.Job != "" {
			orphaned[l.Job] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(orphaned)) {
		s.demote(s.jobs[id])
	}
}

// demote turns a guaranteed placement into one that needs no slot: a borrowed one, or a firm
// one if the job is not preemptible. The job keeps its accelerators. Its slots become
// unfilled. They lose their places if the placement becomes firm, which cannot be
// preempted, or if the worker is unusable.
func (s *State) demote(j *Job) {
	kind := KindBorrowed
	if !j.Preemptible {
		kind = KindFirm
	}
	for i, l := range s.slots.list {
		if l.Job != j.ID {
			continue
		}
		s.setSlot(i, l.Worker, l.Accelerators, "")
		if kind == KindFirm || !s.workers[l.Worker].Usable(s.now) {
			s.unplaceSlot(i)
		}
	}
	for task, a := range j.Assignments {
		s.workers[a.Worker].removeTask(j.ID, task)
	}
	j.Kind = kind
	j.Guarantee = ""
	for task, a := range j.Assignments {
		s.workers[a.Worker].addHolding(s.holding(j, task, a))
	}
}
