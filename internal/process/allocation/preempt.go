package allocation

import (
	"cmp"
	"slices"
	"time"

	"corianderpass/internal/process/workload"
)

// acceleratorCores is what one accelerator counts in processor cores when work is
// weighed, from the platform's prices.
const acceleratorCores = 8

// victim is a run, with all members of its gang, that could be stopped.
type victim struct {
	task workload.TaskRef
	run  workload.Run
	// cost is the work in core-seconds that would be lost.
	cost float64
	// step is the victim's, and spare how many more tasks of it may yield; a negative
	// number means all.
	step  workload.StepRef
	spare int
	// members are the tasks that end with it: itself, or its whole gang.
	members []workload.TaskRef
}

// name is the same for all members of a gang.
func (v victim) name() workload.TaskRef { return v.members[0] }

// preempt stops the cheapest runs that make room for the unit and returns where,
// nil if nothing of lower rank stands in its way.
func (p *plan) preempt(u *unit) []site {
	var best *eviction
	for _, hosts := range p.groups(u) {
		e := p.evict(u, hosts)
		if e != nil && (best == nil || e.cost < best.cost) {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	for _, v := range best.victims {
		p.stop(v.task, v.run, workload.StopPreempted)
	}
	return best.sites
}

// groups returns the sets of hosts on which the unit may be placed whole.
func (p *plan) groups(u *unit) [][]*host {
	if u.step.Rack != "" {
		if near := p.racks[rackKey{u.job.Service, u.step.Rack}]; pack(u, near, wholeRoom) != nil {
			return [][]*host{near}
		}
	}
	if u.step.SameRack && len(u.members) > 1 {
		var groups [][]*host
		for _, key := range p.rackKeys(u) {
			if pack(u, p.racks[key], wholeRoom) != nil {
				groups = append(groups, p.racks[key])
			}
		}
		if len(groups) > 0 {
			return groups
		}
	}
	return [][]*host{p.hosts}
}

// candidates returns the runs on the host that must yield to the unit, those that
// lose the least work first.
func (p *plan) candidates(u *unit, h *host) []victim {
	var found []victim
	for r, run := range h.worker.Runs {
		j, _, t, known := p.State.Task(r)
		if !known || t.Phase != workload.PhaseRunning || p.stopping[r] || p.tierOf(j) <= u.rank.tier {
			continue
		}
		if j.Priority == 0 && u.rank.tier != tierAssured {
			continue
		}
		found = append(found, p.newVictim(j, r, run))
	}
	slices.SortFunc(found, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), a.task.Compare(b.task))
	})
	return found
}

func (p *plan) newVictim(j *workload.Job, r workload.TaskRef, run workload.Run) victim {
	spec := j.Steps[r.Step]
	lost := p.History.Elapsed(r, p.Now)
	if spec.Checkpointing {
		lost = 0
	}
	members := []workload.TaskRef{r}
	if spec.Gang {
		members = membersOf(j, r, &j.Occurrences[r.Occurrence].Steps[r.Step])
	}
	return victim{
		task: r, run: run, members: members, step: r.StepRef(), spare: p.spare(j, r),
		cost: coreSeconds(spec.Need, lost+restartLoss) * float64(len(members)),
	}
}

// atWorkAfter is how long a long-running task takes from its order until it is at work.
const atWorkAfter = 3 * time.Second

// spare returns how many tasks of the step may be ended by decisions of ours, beside
// those that are away already; negative if all may.
func (p *plan) spare(j *workload.Job, r workload.TaskRef) int {
	spec := j.Steps[r.Step]
	if !spec.LongRunning || spec.MayMiss == 0 {
		return -1
	}
	away := 0
	for k, t := range j.Occurrences[r.Occurrence].Steps[r.Step].Tasks {
		ref := j.Ref(r.Occurrence, r.Step, k)
		if t.Phase != workload.PhaseRunning || p.stopping[ref] || p.History.Elapsed(ref, p.Now) < atWorkAfter {
			away++
		}
	}
	return max(spec.MayMiss-away, 0)
}

// restartLoss is what every stop costs at least: the order, the end and a new start.
const restartLoss = 300 * time.Millisecond

// coreSeconds weighs work.
func coreSeconds(need workload.Resources, d time.Duration) float64 {
	return (float64(need.Cores)/1000 + acceleratorCores*float64(need.Accelerators)) * d.Seconds()
}

// stop orders the end of a run, and counts its room as free soon.
func (p *plan) stop(task workload.TaskRef, run workload.Run, reason workload.StopReason) {
	p.decision.Stops = append(p.decision.Stops, workload.Stop{Task: task, Run: run, Reason: reason})
	p.stopping[task] = true
	j, step, _, _ := p.State.Task(task)
	for _, r := range membersOf(j, task, step) {
		p.stopping[r] = true
		w := step.Tasks[r.Index].Worker
		for _, h := range p.hosts {
			if h.worker.Life == w && step.Tasks[r.Index].Phase == workload.PhaseRunning {
				h.soon = h.soon.Plus(p.claim(r))
			}
		}
	}
}
