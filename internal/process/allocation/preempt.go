package allocation

import (
	"cmp"
	"slices"
	"time"

	"corianderpass/internal/process/workload"
)

// coresPerAccelerator is the number of cores that one accelerator counts as in core-seconds of
// work, from the platform's prices.
const coresPerAccelerator = 8

// victim is a run that could be stopped, with all members of its gang if it belongs to one.
type victim struct {
	task workload.TaskRef
	run  workload.Run
	// lostWork is the work in core-seconds that stopping the run loses.
	lostWork float64
	// step is the victim's step.
	step workload.StepRef
	// longRunning is true for a run whose work does not count towards an end.
	longRunning bool
	// tier and priority are those of the victim's job.
	tier     tier
	priority int
	// members are the tasks that end when the run is stopped: its own task, or the whole gang.
	members []workload.TaskRef
}

// key identifies the victim; it is the same for all members of a gang.
func (v victim) key() workload.TaskRef { return v.members[0] }

// maxLossFactor is the most work that a unit outside its organisation's guarantee may make others
// lose, as a multiple of its own work. The victims need the lost time again, so that beyond it a
// preemption delays more work than it brings forward.
const maxLossFactor = 2

// preempt stops runs so that the unit fits, on the set of hosts where this loses the least work.
// It returns the hosts on which the unit then fits. If stopping runs of lower rank does not free
// enough capacity on any set, or would lose more than maxLossFactor allows, it stops none and
// returns nil.
func (p *plan) preempt(u *unit) []assignment {
	var best *eviction
	for _, hosts := range p.hostGroups(u) {
		e := p.findEviction(u, hosts)
		if e != nil && (best == nil || e.cost < best.cost) {
			best = e
		}
	}
	if best == nil || u.rank.tier != tierGuaranteed && best.discardedWork() > maxLossFactor*u.work() {
		return nil
	}
	for _, v := range best.victims {
		p.stop(v.task, v.run, workload.StopPreempted)
	}
	return best.assignments
}

// hostGroups returns the sets of hosts on which the whole unit may be placed: the rack of its
// data, each single rack for a gang that wants one rack, or all hosts. It leaves out a rack if
// the unit would not fit there even once all runs that it may wait for or preempt have ended; if no rack remains,
// it returns all hosts.
func (p *plan) hostGroups(u *unit) [][]*host {
	if u.step.Rack != "" {
		if near := p.racks[rackKey{u.job.Service, u.step.Rack}]; pack(u, near, p.attainableCapacity(u)) != nil {
			return [][]*host{near}
		}
	}
	if u.step.SameRack && len(u.members) > 1 {
		var groups [][]*host
		for _, key := range p.serviceRacks(u) {
			if pack(u, p.racks[key], p.attainableCapacity(u)) != nil {
				groups = append(groups, p.racks[key])
			}
		}
		if len(groups) > 0 {
			return groups
		}
	}
	return [][]*host{p.hosts}
}

// mayStop reports whether the unit may preempt the run.
func (p *plan) mayStop(u *unit, v *victim) bool {
	return !p.stopping[v.task] && u.outranks(v.tier, v.priority)
}

// outranks reports whether the unit, if it may preempt at all, may preempt runs of the tier and priority.
func (u *unit) outranks(other tier, priority int) bool {
	return other > u.rank.tier && (priority > 0 || u.rank.tier == tierGuaranteed)
}

// runsByLoss returns the runs on the host that were not being stopped when it was first called, the
// cheapest first.
func (p *plan) runsByLoss(h *host) []*victim {
	if found, known := p.victims[h]; known {
		return found
	}
	var found []*victim
	for r, run := range h.worker.Runs {
		j, _, t, known := p.State.Task(r)
		if known && t.Phase == workload.PhaseRunning && !p.stopping[r] {
			found = append(found, p.newVictim(j, r, run))
		}
	}
	slices.SortFunc(found, func(a, b *victim) int {
		return cmp.Or(cmp.Compare(a.lostWork, b.lostWork), a.task.Compare(b.task))
	})
	if p.victims == nil {
		p.victims = map[*host][]*victim{}
	}
	p.victims[h] = found
	return found
}

// newVictim returns a run as a victim. Its lost work is its run time so far plus
// restartCost; for a checkpointing task it is restartCost only.
func (p *plan) newVictim(j *workload.Job, r workload.TaskRef, run workload.Run) *victim {
	spec := j.Steps[r.Step]
	lostTime := p.History.Elapsed(r, p.Now)
	if spec.Checkpointing {
		lostTime = 0
	}
	members := []workload.TaskRef{r}
	if spec.Gang {
		members = membersOf(j, r, &j.Occurrences[r.Occurrence].Steps[r.Step])
	}
	return &victim{
		task: r, run: run, members: members, step: r.StepRef(), longRunning: spec.LongRunning, tier: p.tierOf(j), priority: j.Priority,
		lostWork: coreSeconds(spec.Need, lostTime+restartCost) * float64(len(members)),
	}
}

// restartCost is the run time that every stop loses at least: the time for the stop order,
// the end of the run and the start of the next run.
const restartCost = 300 * time.Millisecond

// coreSeconds returns the work in core-seconds of a run that uses the resources for d.
func coreSeconds(need workload.Resources, d time.Duration) float64 {
	return (float64(need.Cores)/1000 + coresPerAccelerator*float64(need.Accelerators)) * d.Seconds()
}

// stop adds a stop of the run to the decision and adds the capacity of the run, or of its whole
// gang, to afterStops of the hosts.
func (p *plan) stop(task workload.TaskRef, run workload.Run, reason workload.StopReason) {
	p.decision.Stops = append(p.decision.Stops, workload.Stop{Task: task, Run: run, Reason: reason})
	p.stopping[task] = true
	j, step, _, _ := p.State.Task(task)
	for _, r := range membersOf(j, task, step) {
		p.stopping[r] = true
		t := step.Tasks[r.Index]
		if h := p.hostsByLife[t.Worker]; h != nil && t.Phase == workload.PhaseRunning {
			h.afterStops = h.afterStops.Plus(p.reservation(r))
		}
	}
}
