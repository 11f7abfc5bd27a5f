package ledger

import (
	"maps"
	"slices"
	"sort"

	"corianderpass/internal/process/adjacency"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// Slot is the standing reservation of one task of a guarantee. An unfilled slot
// with a worker is free or held only by preemptible tasks.
type Slot struct {
	Organisation bundle.OrganisationName
	Guarantee    bundle.GuaranteeName
	// Index counts the slots of a guarantee from 0.
	Index int
	// Size is the number of adjacent accelerators.
	Size   int
	Cores  platform.Cores
	Memory platform.Megabytes
	// Worker is empty while the slot has no place: a shortfall.
	Worker       platform.WorkerID       `json:",omitempty"`
	Accelerators platform.AcceleratorSet `json:",omitempty"`
	// Job fills the slot; empty for an unfilled one.
	Job JobID `json:",omitempty"`
}

// Unplaced tells whether the slot has no place.
func (l Slot) Unplaced() bool { return l.Worker == "" }

// slotTable holds all slots in the order in which guarantees are kept.
type slotTable struct {
	list []Slot
	// unplaced counts the slots without a place.
	unplaced int
	// byWorker has the indexes of a worker's slots.
	byWorker map[platform.WorkerID][]int
}

// Slots returns all slots. The slice must not be changed.
func (s *State) Slots() []Slot { return s.slots.list }

// Shortfall returns the number of guaranteed slots that have no place.
func (s *State) Shortfall() int { return s.slots.unplaced }

// updateSlotTotals adds the slot to its worker's sums, or takes it out with sign -1.
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

// slotsOn returns the indexes of a worker's slots in order, so that replicas
// that reached the state on different ways treat them alike.
func (s *State) slotsOn(id platform.WorkerID) []int {
	indexes := append([]int(nil), s.slots.byWorker[id]...)
	slices.Sort(indexes)
	return indexes
}

// setSlot replaces a slot's place and filler.
func (s *State) setSlot(i int, worker platform.WorkerID, set platform.AcceleratorSet, job JobID) {
	s.updateSlotTotals(i, -1)
	l := &s.slots.list[i]
	l.Worker = worker
	l.Accelerators = set
	l.Job = job
	s.updateSlotTotals(i, 1)
}

// placeSlot finds the best place for an unfilled slot that is bound to none: least
// held by others, then the tightest run, then the first worker.
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

// preemptionCost makes one preempted accelerator weigh more than any leftover.
const preemptionCost = 128

// bestSlotPlace returns the cheapest place for a slot on a worker.
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

// unplaceSlot takes the place of an unfilled slot away.
func (s *State) unplaceSlot(i int) {
	s.setSlot(i, "", 0, "")
}

// placeUnplacedSlots tries to find places for all slots that have none, in order.
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

// slotPlace remembers where a slot was, to put it back.
type slotPlace struct {
	index  int
	worker platform.WorkerID
	set    platform.AcceleratorSet
}

// unplaceOverlappingSlots takes unfilled slots off the accelerators and returns where they were.
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

// unplaceOverCapacitySlots takes unfilled slots off the worker until firm use fits in beside
// the rest, and returns where they were.
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

// placeMovedSlots finds new places for moved slots, large ones first.
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

// restoreSlots returns moved slots to where they were. Whatever took their place
// must be gone.
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

// FillableSlots returns the indexes of slots with a place of the first guarantee of
// the job's organisation that can take the whole gang, leaving out those that
// the caller has given away. They are unfilled, or filled by work that yields.
func (s *State) FillableSlots(spec Spec, excluded map[int]bool) (bundle.GuaranteeName, []int) {
	name, slots := s.findSlots(spec, func(i int, l Slot) bool { return !excluded[i] && l.Job == "" })
	if slots == nil && spec.Class == ClassUrgent {
		return s.findSlots(spec, func(i int, l Slot) bool { return !excluded[i] && s.isFillable(l, spec) })
	}
	return name, slots
}

// findSlots returns the slots of the first guarantee of which enough are usable.
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

// fitsTask tells whether the slot is large enough for a task.
func (l Slot) fitsTask(spec Spec) bool {
	return spec.Accelerators <= l.Size && spec.Cores <= l.Cores && spec.Memory <= l.Memory
}

// adoptSlots makes the slots of a new bundle, keeping the places of those that
// go on and the fillers of running jobs.
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

// slotKey names a slot across bundles.
type slotKey struct {
	organisation bundle.OrganisationName
	guarantee    bundle.GuaranteeName
	index        int
}

func (l Slot) key() slotKey { return slotKey{l.Organisation, l.Guarantee, l.Index} }

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

// demoteOrphans ends the guaranteed hold of jobs whose slots no longer exist.
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

// demote changes a guaranteed job to a kind that needs no slot: a preemptible
// one, or a firm one if it must not be preempted.
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
