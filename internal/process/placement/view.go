package placement

import (
	"sort"
	"time"

	"corianderpass/internal/process/adjacency"
	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

// workerView is the capacity of one worker that is left for further placements of a plan.
type workerView struct {
	id   platform.WorkerID
	rack platform.RackID
	// size is the number of accelerators.
	size int
	// free are the accelerators that no job holds, reserved those of unfilled slots. A
	// preemptible job may hold reserved accelerators.
	free, reserved platform.AcceleratorSet
	// setAside are the accelerators on which the blocked head of the queue is expected
	// to start.
	setAside platform.AcceleratorSet
	// cores and memory are the capacity that no job holds.
	cores  platform.Cores
	memory platform.Megabytes
	// firmCores and firmMemory are the capacity that neither firm holdings nor unfilled
	// slots take up.
	firmCores  platform.Cores
	firmMemory platform.Megabytes
	// probeOnly is true if the quarantine time of the worker has passed. Such a worker
	// accepts only one job of a single task, whose success ends the quarantine.
	probeOnly bool
}

// view is the capacity of a region that is left for further placements of a plan. Planned
// placements are subtracted, so that no capacity is used twice.
type view struct {
	workers []*workerView
	byID    map[platform.WorkerID]*workerView
}

// newView returns the view of the workers that accept tasks, in the order of their IDs.
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

// shape is the number of tasks of a gang and what each of them needs.
type shape struct {
	tasks        int
	accelerators int
	cores        platform.Cores
	memory       platform.Megabytes
	// firm gangs may use only cores and memory that neither firm holdings nor unfilled
	// slots take up.
	firm bool
}

func shapeOf(spec ledger.Spec) shape {
	return shape{tasks: spec.Tasks, accelerators: spec.Accelerators, cores: spec.Cores, memory: spec.Memory}
}

// taskCapacity returns how many tasks of the shape fit on the given accelerators of the
// worker.
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

// acceleratorFilter returns the accelerators of a worker that a search may use.
type acceleratorFilter func(w *workerView) platform.AcceleratorSet

// rackCapacity is the capacity of a rack for the tasks of a gang.
type rackCapacity struct {
	rack    platform.RackID
	workers []*workerView
	// capacities has the number of tasks that fit on each of the workers, total their
	// sum.
	capacities []int
	total      int
}

// findGang returns places for a whole gang, nil if it does not fit. It prefers few racks
// and short spans of accelerators. It does not change the view.
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

// rackCapacities returns the capacities of the racks that can hold at least one task.
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

// chooseRacks returns the racks to fill, in order. If the whole gang fits into one rack,
// it returns only the rack with the smallest sufficient capacity, otherwise all racks,
// those with the most capacity first.
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

// fill returns places for at most count tasks in the rack. It uses the fewest workers on
// which the tasks fit, which are those with the most capacity, and fills the one with the
// least capacity among them first.
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
	// Filling few workers completely leaves fewer holes than using many workers in part.
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

// shortestSuffix returns the last position in the order such that count tasks fit on the
// workers from there to the end, -1 if they do not fit on all workers together.
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

// placeTasks returns places for at most n tasks on the worker. It does not change the
// worker.
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

// subtract subtracts the capacity of a planned gang from the view.
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

// setAsideFor sets the accelerators of a gang aside for the blocked head of the queue.
func (v *view) setAsideFor(gang []ledger.Assignment) {
	for _, a := range gang {
		if w := v.byID[a.Worker]; w != nil {
			w.setAside |= a.Accelerators
		}
	}
}

// unreserved returns the free accelerators that belong to no unfilled slot.
func unreserved(w *workerView) platform.AcceleratorSet { return w.free &^ w.reserved }

// freeAccelerators returns all free accelerators, including those of unfilled slots.
func freeAccelerators(w *workerView) platform.AcceleratorSet { return w.free }
