package allocation

import (
	"time"

	"corianderpass/internal/process/workload"
)

// longRunningStartup is how long a long-running task takes from its start order until it is
// ready.
const longRunningStartup = 3 * time.Second

// isAvailable reports whether a long-running task is at work as far as is known, and stays so: it started
// long enough ago on a worker that answers its agent, whose agent is heard of, and that does not drain, and
// its run is not being stopped.
func (p *plan) isAvailable(r workload.TaskRef) bool {
	_, _, t, known := p.State.Task(r)
	if !known || t.Phase != workload.PhaseRunning || p.stopping[r] {
		return false
	}
	w := p.State.Worker(t.Worker)
	return w != nil && w.Usable() && p.History.Elapsed(r, p.Now) >= longRunningStartup
}

// disruptionBudget returns how many more tasks of the victim's step decisions may stop: the step's
// MayMiss less the tasks that are not available now. It is negative if unlimited.
func (p *plan) disruptionBudget(v *victim) int {
	if !v.longRunning {
		return -1
	}
	r := v.task
	j := p.State.Job(r.Job)
	spec := j.Steps[r.Step]
	if spec.MayMiss == 0 {
		return -1
	}
	unavailable := 0
	for k := range j.Occurrences[r.Occurrence].Steps[r.Step].Tasks {
		if !p.isAvailable(j.Ref(r.Occurrence, r.Step, k)) {
			unavailable++
		}
	}
	return max(spec.MayMiss-unavailable, 0)
}
