package placement

import (
	"sort"
	"time"

	"corianderpass/internal/process/adjacency"
	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

// site is a worker as placement sees it while it plans.
type site struct {
	id   platform.WorkerID
	rack platform.RackID
	// size is the number of accelerators.
	size int
	// free accelerators are held by nobody; reserved ones belong to unfilled slots.
	free, reserved platform.AcceleratorSet
	// kept accelerators are set aside for the blocked head of the queue.
	kept platform.AcceleratorSet
	// cores and memory are held by nobody.
	cores  platform.Cores
	memory platform.Megabytes
	// firmCores and firmMemory are free of firm holdings and unfilled slots.
	firmCores  platform.Cores
	firmMemory platform.Megabytes
	// testable sites take one single task to prove themselves.
	testable bool
}

// view is the region as placement sees it while it plans. Planned placements
// are taken out, so that one plan never gives anything twice.
type view struct {
	sites []*site
	byID  map[platform.WorkerID]*site
}

// newView describes the usable workers.
func newView(s *ledger.State, now time.Time) *view {
	v := &view{byID: make(map[platform.WorkerID]*site, len(s.Workers()))}
	for _, id := range s.Workers() {
		w := s.Worker(id)
		testable := w.AcceptsProbe(now)
		if !w.Usable(now) && !testable {
			continue
		}
		t := &site{id: id, rack: w.Rack, size: w.Accelerators, free: w.Free(), reserved: w.ReservedUnfilled(), testable: testable}
		t.cores, t.memory = w.FreeCapacity()
		t.firmCores, t.firmMemory = w.FirmCapacity()
		v.sites = append(v.sites, t)
		v.byID[id] = t
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

// fits returns how many tasks the site can hold on the accelerators.
func (t *site) fits(s shape, set platform.AcceleratorSet) int {
	if t.testable && s.tasks > 1 {
		return 0
	}
	cores, memory := t.cores, t.memory
	if s.firm {
		cores, memory = min(cores, t.firmCores), min(memory, t.firmMemory)
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

// usable returns the accelerators of a site that a search may use.
type usable func(t *site) platform.AcceleratorSet

// rackRoom is the room that a rack has for a gang.
type rackRoom struct {
	rack  platform.RackID
	sites []*site
	// fits has the room of each site, total their sum.
	fits  []int
	total int
}

// pick finds places for a whole gang on as few racks as can be had, in the
// tightest holes. It returns nil if the gang does not fit, and takes nothing.
func (v *view) pick(s shape, allow usable) []ledger.Assignment {
	racks := v.rooms(s, allow)
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

func (v *view) rooms(s shape, allow usable) []*rackRoom {
	byRack := map[platform.RackID]*rackRoom{}
	var racks []*rackRoom
	for _, t := range v.sites {
		n := t.fits(s, allow(t))
		if n == 0 {
			continue
		}
		r := byRack[t.rack]
		if r == nil {
			r = &rackRoom{rack: t.rack}
			byRack[t.rack] = r
			racks = append(racks, r)
		}
		r.sites = append(r.sites, t)
		r.fits = append(r.fits, n)
		r.total += n
	}
	return racks
}

// chooseRacks orders the racks: the tightest one that takes the whole gang, or
// else the roomiest ones first.
func chooseRacks(racks []*rackRoom, tasks int) []*rackRoom {
	var best *rackRoom
	for _, r := range racks {
		if r.total >= tasks && (best == nil || r.total < best.total) {
			best = r
		}
	}
	if best != nil {
		return []*rackRoom{best}
	}
	sort.SliceStable(racks, func(a, b int) bool { return racks[a].total > racks[b].total })
	return racks
}

// fill places at most count tasks in the rack, on the fullest workers first.
func (r *rackRoom) fill(s shape, count int, allow usable) []ledger.Assignment {
	order := make([]int, len(r.sites))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool {
		x, y := order[a], order[b]
		if r.fits[x] != r.fits[y] {
			return r.fits[x] < r.fits[y]
		}
		return r.sites[x].free.Count() < r.sites[y].free.Count()
	})
	// A whole number of full workers leaves fewer holes than many half-used ones.
	if wide := r.lastWide(order, count); wide >= 0 {
		order = order[wide:]
	}
	var gang []ledger.Assignment
	for _, i := range order {
		gang = append(gang, r.sites[i].place(s, min(r.fits[i], count-len(gang)), allow)...)
		if len(gang) == count {
			break
		}
	}
	return gang
}

// lastWide returns the first position in the order from which on the remaining
// sites still hold count tasks on the fewest workers, -1 if there is none.
func (r *rackRoom) lastWide(order []int, count int) int {
	sum := 0
	for p := len(order) - 1; p >= 0; p-- {
		sum += r.fits[order[p]]
		if sum >= count {
			return p
		}
	}
	return -1
}

// place returns places for n tasks without taking them.
func (t *site) place(s shape, n int, allow usable) []ledger.Assignment {
	set := allow(t)
	var tasks []ledger.Assignment
	for range n {
		chosen, length := adjacency.BestFit(set, s.accelerators)
		if length == 0 {
			return tasks
		}
		set &^= chosen
		tasks = append(tasks, ledger.Assignment{Worker: t.id, Accelerators: chosen})
	}
	return tasks
}

// take takes a planned gang out of the view.
func (v *view) take(s shape, gang []ledger.Assignment) {
	for _, a := range gang {
		t := v.byID[a.Worker]
		t.free &^= a.Accelerators
		t.reserved &^= a.Accelerators
		t.cores -= min(t.cores, s.cores)
		t.memory -= min(t.memory, s.memory)
		t.firmCores -= min(t.firmCores, s.cores)
		t.firmMemory -= min(t.firmMemory, s.memory)
	}
}

// keep sets accelerators aside for the head of the queue.
func (v *view) keep(gang []ledger.Assignment) {
	for _, a := range gang {
		if t := v.byID[a.Worker]; t != nil {
			t.kept |= a.Accelerators
		}
	}
}

// open is the room that belongs to no slot.
func open(t *site) platform.AcceleratorSet { return t.free &^ t.reserved }

// loose is the room that belongs to nobody at the moment.
func loose(t *site) platform.AcceleratorSet { return t.free }
