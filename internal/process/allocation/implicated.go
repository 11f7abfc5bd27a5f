package allocation

import (
	"slices"
	"time"

	"corianderpass/internal/process/workload"
)

// Implicated tasks of different jobs start on different workers, so that a task that crashes each worker
// does so beside as few others as possible, and not beside the same ones each time.

// probationTime is how long after the placement of an implicated task its worker takes no implicated
// task of another job. A task that crashes its workers usually does so as it starts.
const probationTime = time.Second

// settlingTime is how long after the placement of an implicated task its worker takes no task of another job,
// and after that of any task no implicated one.
const settlingTime = 100 * time.Millisecond

// probationCost is added to the placement cost of a worker with an implicated task on probation, and
// subtracted if that task is of the same job. It is as high as the highest cost of unused capacity.
const probationCost = 3.0

// isImplicated reports whether one of the tasks is implicated in a crash.
func isImplicated(j *workload.Job, members []workload.TaskRef) bool {
	for _, r := range members {
		if j.Occurrences[r.Occurrence].Steps[r.Step].Tasks[r.Index].Implicated() {
			return true
		}
	}
	return false
}

// noteRun updates probation, starting and isolated with a run on the host.
func (h *host) noteRun(p *plan, r workload.TaskRef) {
	elapsed := p.History.Elapsed(r, p.Now)
	implicated := isImplicated(p.State.Job(r.Job), []workload.TaskRef{r})
	if elapsed < settlingTime {
		h.starting = append(h.starting, r.Job)
		if implicated {
			h.isolated = r.Job
		}
	}
	if h.probation == "" && elapsed < probationTime && implicated {
		h.probation = r.Job
	}
}

// excludes reports whether the unit may not start on the host now. An implicated unit may not if an
// implicated task of another job is on probation there, or any task of another job is just starting; no unit
// may while an implicated task of another job is just starting. If one of several tasks that start together
// crashes the worker, all seem to be at fault.
func (h *host) excludes(u *unit) bool {
	isOther := func(id workload.JobID) bool { return id != "" && id != u.job.ID }
	if !u.implicated {
		return isOther(h.isolated)
	}
	return isOther(h.probation) || slices.ContainsFunc(h.starting, isOther)
}
