package allocation

import (
	"cmp"
	"slices"

	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

type (
	millicores = platform.Millicores
	megabytes  = platform.Megabytes
)

// host is a worker during one round of decisions.
type host struct {
	worker *workload.Worker
	// free is the room that nothing holds and nothing reserves.
	free workload.Resources
	// soon is the room once everything that stops has ended, less what is
	// reserved; never below free in any dimension.
	soon workload.Resources
	// single hosts take one task as a test.
	single bool
	// serves tells that a task that serves its own users runs here, fills that a
	// filler does; idle are the cores that neither leave to one more filler.
	serves, fills bool
	idle          millicores
	// placed counts what this round put here, by step.
	placed map[workload.StepRef]int
}

// rackKey names a rack of one service's workers.
type rackKey struct {
	service bundle.ServiceName
	rack    platform.RackID
}

func newPlan(in Input) *plan {
	p := &plan{
		Input:    in,
		racks:    map[rackKey][]*host{},
		stopping: map[workload.TaskRef]bool{},
		assured:  findAssured(in.State, in.Bundle),
		rooms:    map[bundle.ServiceName]workload.Resources{},
	}
	for _, w := range in.State.Workers() {
		if !w.Gone {
			p.rooms[w.Service] = p.rooms[w.Service].Plus(w.Room)
		}
		if h := p.newHost(w); h != nil {
			p.hosts = append(p.hosts, h)
		}
	}
	slices.SortFunc(p.hosts, func(a, b *host) int { return cmp.Compare(a.worker.Life, b.worker.Life) })
	for _, h := range p.hosts {
		key := rackKey{h.worker.Service, h.worker.Rack}
		p.racks[key] = append(p.racks[key], h)
	}
	return p
}

// newHost returns the worker as a host, nil if it takes nothing.
func (p *plan) newHost(w *workload.Worker) *host {
	if !w.Usable() {
		return nil
	}
	open, single := p.History.trial(w, p.Now)
	if p.History.slow(w) || !open || single && len(w.Runs) > 0 {
		return nil
	}
	h := &host{worker: w, free: w.Free(), single: single, placed: map[workload.StepRef]int{}}
	h.soon = h.free
	h.idle = h.free.Cores
	for r := range w.Runs {
		step := p.State.Job(r.Job).Steps[r.Step]
		h.note(step, 1)
		if _, _, t, known := p.State.Task(r); known && t.Phase != workload.PhaseRunning {
			h.soon = h.soon.Plus(p.claim(r))
			p.stopping[r] = true
		}
	}
	return h
}

func (p *plan) claim(r workload.TaskRef) workload.Resources {
	return p.State.Job(r.Job).Steps[r.Step].Reservation()
}

// note counts tasks of a step that run here.
func (h *host) note(step workload.StepSpec, count int) {
	h.serves = h.serves || step.TailTarget > 0
	if step.Filler {
		h.fills = true
		h.idle -= step.Need.Cores * millicores(count)
	}
}

// take gives room to members of a unit.
func (h *host) take(u *unit, count int) {
	h.free = h.free.Minus(u.total(count))
	h.soon = h.soon.Minus(u.total(count))
	first := u.members[0]
	h.placed[first.StepRef()] += count
	h.idle -= u.total(count).Cores
	h.note(u.step, count)
	if h.single {
		h.free, h.soon = workload.Resources{}, workload.Resources{}
	}
}

// clip keeps the free room within what is left after reservations.
func (h *host) clip() {
	h.free.Cores = min(h.free.Cores, h.soon.Cores)
	h.free.Memory = min(h.free.Memory, h.soon.Memory)
	h.free.Accelerators = min(h.free.Accelerators, h.soon.Accelerators)
}

// horizon chooses which room counts.
type horizon func(h *host) workload.Resources

func freeNow(h *host) workload.Resources  { return h.free }
func freeSoon(h *host) workload.Resources { return h.soon }

// wholeRoom is the room of an empty worker.
func wholeRoom(h *host) workload.Resources { return h.worker.Room }

// capacity returns how many members of the unit the host can take.
func (h *host) capacity(u *unit, room horizon) int {
	if !h.worker.Allows(u.job.Service, u.step) || !u.permitted(h) || u.shuns && u.avoid[h.worker.Life] {
		return 0
	}
	n := fits(u.step.Reservation(), room(h), len(u.members))
	if u.step.PerWorker > 0 {
		first := u.members[0]
		there := h.worker.CountRuns(first.Job, first.Occurrence, first.Step) + h.placed[first.StepRef()]
		n = min(n, u.step.PerWorker-there)
	}
	if h.single {
		n = min(n, 1)
	}
	return max(n, 0)
}

// fits returns how many claims fit into the room, at most the limit.
func fits(claim, room workload.Resources, limit int) int {
	n := limit
	if claim.Cores > 0 {
		n = min(n, int(max(room.Cores, 0)/claim.Cores))
	}
	if claim.Memory > 0 {
		n = min(n, int(room.Memory/claim.Memory))
	}
	if claim.Accelerators > 0 {
		n = min(n, max(room.Accelerators, 0)/claim.Accelerators)
	}
	return n
}
