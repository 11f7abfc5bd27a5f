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

// host is a worker that can take tasks, as seen during one round of decisions.
type host struct {
	worker *workload.Worker
	// free is the capacity that neither runs nor reservations of this round take up.
	free workload.Resources
	// afterStops is the free capacity once every run that is being stopped has ended, less the
	// reservations of this round. It is never below free in any dimension.
	afterStops workload.Resources
	// trialOnly hosts accept a single task, as a test after quarantine.
	trialOnly bool
	// quarantined hosts accept no task yet.
	quarantined bool
	// maxPriority is the highest priority number of the runs on the host, -1 without runs.
	// Long-running tasks are not counted.
	maxPriority int
	// hasLatencySensitive is true if a task with a TailTarget runs on the host, hasFiller if a
	// filler does. idleCores are the free cores less those that the fillers on the host need;
	// free includes the cores of fillers, since fillers reserve none.
	hasLatencySensitive, hasFiller bool
	idleCores                      millicores
	// lasting are the long-running tasks on the host that are not being stopped.
	lasting []lastingRun
	// probation is a job of which an implicated task was placed here recently; empty if there is none.
	probation workload.JobID
	// starting are jobs of which a run was placed here within settlingTime, isolated the one of them whose
	// task is implicated; empty if there is none.
	starting []workload.JobID
	isolated workload.JobID
	// placed counts the tasks that this round placed on the host, by step.
	placed map[workload.StepRef]int
}

// lastingRun is a long-running task on a host. Without a stop, its capacity does not become free.
type lastingRun struct {
	task        workload.TaskRef
	reservation workload.Resources
	tier        tier
	priority    int
}

// rackKey identifies a rack of one service's workers.
type rackKey struct {
	service bundle.ServiceName
	rack    platform.RackID
}

// newPlan returns the plan of a round.
func newPlan(in Input) *plan {
	p := &plan{
		Input:             in,
		hostsByLife:       map[workload.LifeID]*host{},
		racks:             map[rackKey][]*host{},
		stopping:          map[workload.TaskRef]bool{},
		withinGuarantee:   organisationsWithinGuarantee(in.State, in.Bundle),
		serviceCapacities: map[bundle.ServiceName]workload.Resources{},
		usedElsewhere:     map[bundle.ServiceName]workload.Resources{},
	}
	for _, r := range in.UndecidedStops {
		if j, step, _, known := in.State.Task(r); known {
			for _, member := range membersOf(j, r, step) {
				p.stopping[member] = true
			}
		}
	}
	for _, w := range in.State.Workers() {
		p.addWorker(w)
	}
	for _, hosts := range [][]*host{p.hosts, p.excludedHosts} {
		slices.SortFunc(hosts, func(a, b *host) int { return cmp.Compare(a.worker.Life, b.worker.Life) })
	}
	for _, h := range p.hosts {
		key := rackKey{h.worker.Service, h.worker.Rack}
		p.racks[key] = append(p.racks[key], h)
	}
	return p
}

// addWorker adds the worker to the capacity of its service, and to hosts or excludedHosts if it accepts tasks.
func (p *plan) addWorker(w *workload.Worker) {
	counts := !w.Gone && !p.State.IsEvacuated(w)
	if counts {
		p.serviceCapacities[w.Service] = p.serviceCapacities[w.Service].Plus(w.Room)
	}
	h := p.newHost(w)
	switch {
	case h == nil:
	case h.quarantined || h.trialOnly && len(w.Runs) > 0:
		p.excludedHosts = append(p.excludedHosts, h)
		p.hasQuarantine = true
	default:
		p.hosts = append(p.hosts, h)
		p.hostsByLife[w.Life] = h
		p.hasQuarantine = p.hasQuarantine || h.trialOnly
		return
	}
	if counts {
		p.usedElsewhere[w.Service] = p.usedElsewhere[w.Service].Plus(w.Used)
	}
}

// newHost returns the worker as a host, nil if the worker accepts no tasks because it is
// unusable or slow, or its failure domain is evacuated.
func (p *plan) newHost(w *workload.Worker) *host {
	if !w.Usable() || p.State.IsEvacuated(w) {
		return nil
	}
	accepting, trialOnly := p.History.acceptance(w, p.Now)
	if p.History.isSlow(w) {
		return nil
	}
	h := &host{worker: w, free: w.Free(), trialOnly: trialOnly, quarantined: !accepting, maxPriority: -1, placed: map[workload.StepRef]int{}}
	h.afterStops = h.free
	h.idleCores = h.free.Cores
	for r := range w.Runs {
		j := p.State.Job(r.Job)
		step := j.Steps[r.Step]
		if !step.LongRunning {
			h.maxPriority = max(h.maxPriority, j.Priority)
		}
		h.addTasks(step, 1)
		h.noteRun(p, r)
		if _, _, t, known := p.State.Task(r); known && (t.Phase != workload.PhaseRunning || p.stopping[r]) {
			h.afterStops = h.afterStops.Plus(p.reservation(r))
			p.stopping[r] = true
		}
		if step.LongRunning && !p.stopping[r] {
			h.lasting = append(h.lasting, lastingRun{r, p.reservation(r), p.tierOf(j), j.Priority})
		}
	}
	return h
}

// reservation returns the resources that the task reserves on its worker.
func (p *plan) reservation(r workload.TaskRef) workload.Resources {
	return p.State.Job(r.Job).Steps[r.Step].Reservation()
}

// addTasks adds count tasks of a step to hasLatencySensitive, hasFiller and idleCores.
func (h *host) addTasks(step workload.StepSpec, count int) {
	h.hasLatencySensitive = h.hasLatencySensitive || step.TailTarget > 0
	if step.Filler {
		h.hasFiller = true
		h.idleCores -= step.Need.Cores * millicores(count)
	}
}

// assign subtracts the reservations of count members of the unit from the capacity of the host. A
// trialOnly host then has no capacity left.
func (h *host) assign(u *unit, count int) {
	if !u.step.LongRunning {
		h.maxPriority = max(h.maxPriority, u.job.Priority)
	}
	h.free = h.free.Minus(u.total(count))
	h.afterStops = h.afterStops.Minus(u.total(count))
	first := u.members[0]
	h.placed[first.StepRef()] += count
	h.idleCores -= u.total(count).Cores
	if u.step.LongRunning {
		h.lasting = append(h.lasting, lastingRun{first, u.total(count), u.rank.tier, u.job.Priority})
	}
	h.addTasks(u.step, count)
	h.starting = append(h.starting, u.job.ID)
	if u.implicated {
		h.probation, h.isolated = cmp.Or(h.probation, u.job.ID), u.job.ID
	}
	if h.trialOnly {
		h.free, h.afterStops = workload.Resources{}, workload.Resources{}
	}
}

// capFree limits the free capacity to afterStops in each dimension.
func (h *host) capFree() {
	h.free.Cores = min(h.free.Cores, h.afterStops.Cores)
	h.free.Memory = min(h.free.Memory, h.afterStops.Memory)
	h.free.Accelerators = min(h.free.Accelerators, h.afterStops.Accelerators)
}

// capacityFunc returns the capacity of a host that a search may use.
type capacityFunc func(h *host) workload.Resources

// capacityNow returns the capacity that is free now, capacityAfterStops the capacity that is
// free once all stopping runs have ended.
func capacityNow(h *host) workload.Resources        { return h.free }
func capacityAfterStops(h *host) workload.Resources { return h.afterStops }

// capacityWhenEmpty returns the capacity that the worker has without any tasks.
func capacityWhenEmpty(h *host) workload.Resources { return h.worker.Room }

// attainableCapacity returns the capacity that a host has for the unit once all other runs have ended that do not last
// for ever or that the unit may preempt.
func (p *plan) attainableCapacity(u *unit) capacityFunc {
	return func(h *host) workload.Resources {
		capacity := h.worker.Room
		for _, l := range h.lasting {
			if !p.stopping[l.task] && !(u.mayPreempt() && u.outranks(l.tier, l.priority)) {
				capacity = capacity.Minus(l.reservation)
			}
		}
		return capacity
	}
}

// maxMembers returns how many members of the unit, at most all of them, may start on the free
// capacity of the host. It returns 0 if the unit may not run on the host.
func (h *host) maxMembers(u *unit, capacity capacityFunc) int {
	if !h.worker.Allows(u.job.Service, u.step) || !u.permitted(h) || u.excludesFailed && u.hasFailedOn(h) || h.excludes(u) {
		return 0
	}
	n := countFitting(u.step.Reservation(), capacity(h), len(u.members))
	if u.step.PerWorker > 0 {
		first := u.members[0]
		running := h.worker.CountRuns(first.Job, first.Occurrence, first.Step) + h.placed[first.StepRef()]
		n = min(n, u.step.PerWorker-running)
	}
	if h.trialOnly && !u.ignoresQuarantine {
		n = min(n, 1)
	}
	return max(n, 0)
}

// countFitting returns how many times the reservation fits into the capacity, at most limit. Nothing fits
// into a worker whose runs exceed its room in any dimension.
func countFitting(reservation, capacity workload.Resources, limit int) int {
	if capacity.Cores < 0 || capacity.Memory < 0 || capacity.Accelerators < 0 {
		return 0
	}
	n := limit
	if reservation.Cores > 0 {
		n = min(n, int(capacity.Cores/reservation.Cores))
	}
	if reservation.Memory > 0 {
		n = min(n, int(capacity.Memory/reservation.Memory))
	}
	if reservation.Accelerators > 0 {
		n = min(n, capacity.Accelerators/reservation.Accelerators)
	}
	return n
}
