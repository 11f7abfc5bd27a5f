package placement

import (
	"sort"
	"time"

	"corianderpass/internal/process/adjacency"
	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

// workerView is a worker as placement sees it while it plans.
type workerView struct {
	id   platform.WorkerID
	rack platform.RackID
	// size is the number of accelerators.
	size int
	// free accelerators are held by nobody; reserved ones belong to unfilled slots.
	free, reserved platform.AcceleratorSet
	// setAside accelerators are set aside for the blocked head of the queue.
	setAside platform.AcceleratorSet
	// cores and memory are held by nobody.
	cores  platform.Cores
	memory platform.Megabytes
	// firmCores and firmMemory are free of firm holdings and unfilled slots.
	firmCores  platform.Cores
	firmMemory platform.Megabytes
	// probeOnly sites take one single task to prove themselves.
	probeOnly bool
}

// view is the region as placement sees it while it plans. Planned placements
// are taken out, so that one plan never gives anything twice.
type view struct {
	workers []*workerView
	byID  map[platform.WorkerID]*workerView
}

// newView describes the usable workers.
func newView(s *ledger.State, now time.Time) *view {
	v := &view{byID: make(map[platform.WorkerID]*workerView, len(s.Workers()))}
	for _, id := range s.Workers() {
		recorded := s.Worker(id)
		probeOnly := recorded.AcceptsProbe(now)
		if !recorded.Usable(now) && !probeOnly {
			continue
		}
		w := &workerView{id: id, rack: recorded.Rack, size: recorded.Accelerators, free: recorded.Free(), reserved: recorded.ReservedUnfilled(), probeOnly: probeOnly}
		w.cores, w.memory = recorded.FreeCapacity()
		w.firmCores, w.firmMemory = recorded.FirmCapacity()
		v.workers = append(v.workers, w)
		v.byID[id] = w
	}
	return v
}

// shape is what each task of a gang needs.
type shape struct {
	tasks        int
	accelerators int
	cores        platform.Cores
	memory       platform.Megabytes
	// firm gangs need cores and memory beside the unfilled slots.
	firm bool
}

func shapeOf(spec ledger.Spec) shape {
	return shape{tasks: spec.Tasks, accelerators: spec.Accelerators, cores: spec.Cores, memory: spec.Memory}
}

// taskCapacity returns how many tasks the site can hold on the accelerators.
func (w *workerView) taskCapacity(s shape, set platform.AcceleratorSet) int {
	if w.probeOnly && s.tasks > 1 {
		return 0
	}
	cores, memory := w.cores, w.memory
	if s.firm {
		cores, memory = min(cores, w.firmCores), min(memory, w.firmMemory)
	}
	n := adjacency.CountGroups(set, s.accelerators)
	if s.cores > 0 {
		n = min(n, int(cores/s.cores))
	}
	if s.memory > 0 {
		n = min(n, int(memory/s.memory))
	}
	return n
}

// acceleratorFilter returns the accelerators of a site that a search may use.
type acceleratorFilter func(w *workerView) platform.AcceleratorSet

// rackCapacity is the room that a rack has for a gang.
type rackCapacity struct {
	rack  platform.RackID
	workers []*workerView
	// capacities has the room of each site, total their sum.
	capacities  []int
	total int
}

// findGang finds places for a whole gang on as few racks as can be had, in the
// tightest holes. It returns nil if the gang does not fit, and takes nothing.
func (v *view) findGang(s shape, allow acceleratorFilter) []ledger.Assignment {
	racks := v.rackCapacities(s, allow)
	total := 0
	for _, r := range racks {
		total += r.total
	}
	if total < s.tasks {
		return nil
	}
	var gang []ledger.Assignment
	for _, r := range chooseRacks(racks, s.tasks) {
		gang = append(gang, r.fill(s, s.tasks-len(gang), allow)...)
		if len(gang) == s.tasks {
			return gang
		}
	}
	return nil
}

func (v *view) rackCapacities(s shape, allow acceleratorFilter) []*rackCapacity {
	byRack := map[platform.RackID]*rackCapacity{}
	var racks []*rackCapacity
	for _, w := range v.workers {
		n := w.taskCapacity(s, allow(w))
		if n == 0 {
			continue
		}
		r := byRack[w.rack]
		if r == nil {
			r = &rackCapacity{rack: w.rack}
			byRack[w.rack] = r
			racks = append(racks, r)
		}
		r.workers = append(r.workers, w)
		r.capacities = append(r.capacities, n)
		r.total += n
	}
	return racks
}

// chooseRacks orders the racks: the tightest one that takes the whole gang, or
// else the roomiest ones first.
func chooseRacks(racks []*rackCapacity, tasks int) []*rackCapacity {
	var best *rackCapacity
	for _, r := range racks {
		if r.total >= tasks && (best == nil || r.total < best.total) {
			best = r
		}
	}
	if best != nil {
		return []*rackCapacity{best}
	}
	sort.SliceStable(racks, func(a, b int) bool { return racks[a].total > racks[b].total })
	return racks
}

// fill places at most count tasks in the rack, on the fullest workers first.
func (r *rackCapacity) fill(s shape, count int, allow acceleratorFilter) []ledger.Assignment {
	order := make([]int, len(r.workers))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool {
		first, second := order[a], order[b]
		if r.capacities[first] != r.capacities[second] {
			return r.capacities[first] < r.capacities[second]
		}
		return r.workers[first].free.Count() < r.workers[second].free.Count()
	})
	// A whole number of full workers leaves fewer holes than many half-used ones.
	if start := r.shortestSuffix(order, count); start >= 0 {
		order = order[start:]
	}
	var gang []ledger.Assignment
	for _, i := range order {
		gang = append(gang, r.workers[i].placeTasks(s, min(r.capacities[i], count-len(gang)), allow)...)
		if len(gang) == count {
			break
		}
	}
	return gang
}

// shortestSuffix returns the first position in the order from which on the remaining
// sites still hold count tasks on the fewest workers, -1 if there is none.
func (r *rackCapacity) shortestSuffix(order []int, count int) int {
	sum := 0
	for p := len(order) - 1; p >= 0; p-- {
		sum += r.capacities[order[p]]
		if sum >= count {
			return p
		}
	}
	return -1
}

// placeTasks returns places for n tasks without taking them.
func (w *workerView) placeTasks(s shape, n int, allow acceleratorFilter) []ledger.Assignment {
	set := allow(w)
	var tasks []ledger.Assignment
	for range n {
		chosen, length := adjacency.BestFit(set, s.accelerators)
		if length == 0 {
			return tasks
		}
		set &^= chosen
		tasks = append(tasks, ledger.Assignment{Worker: w.id, Accelerators: chosen})
	}
	return tasks
}

// subtract takes a planned gang out of the view.
func (v *view) subtract(s shape, gang []ledger.Assignment) {
	for _, a := range gang {
		w := v.byID[a.Worker]
		w.free &^= a.Accelerators
		w.reserved &^= a.Accelerators
		w.cores -= min(w.cores, s.cores)
		w.memory -= min(w.memory, s.memory)
		w.firmCores -= min(w.firmCores, s.cores)
		w.firmMemory -= min(w.firmMemory, s.memory)
	}
}

// setAsideFor sets accelerators aside for the head of the queue.
func (v *view) setAsideFor(gang []ledger.Assignment) {
	for _, a := range gang {
		if w := v.byID[a.Worker]; w != nil {
			w.setAside |= a.Accelerators
		}
	}
}

// unreserved is the room that belongs to no slot.
func unreserved(w *workerView) platform.AcceleratorSet { return w.free &^ w.reserved }

// freeAccelerators is the room that belongs to nobody at the moment.
func freeAccelerators(w *workerView) platform.AcceleratorSet { return w.free }
