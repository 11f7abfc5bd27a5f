package allocation

import (
	"time"

	"corianderpass/internal/process/workload"
)

// A task is implicated in the crash of a worker if it may have caused it. Implicated tasks of different
// jobs start on different workers, so that a task that crashes each worker does so beside as few others
// as possible, and not beside the same ones each time.

// probationTime is how long after the placement of an implicated task its worker takes no implicated
// task of another job. A task that crashes its workers usually does so as it starts.
const probationTime = time.Second

// probationCost is added to the placement cost of a worker with an implicated task on probation, and
// subtracted if that task is of the same job. It is as high as the highest cost of unused capacity.
const probationCost = 3.0

// isImplicated reports whether a worker has crashed under one of the tasks of the unit.
func isImplicated(j *workload.Job, members []workload.TaskRef) bool {
	for _, r := range members {
		if j.Occurrences[r.Occurrence].Steps[r.Step].Tasks[r.Index].CrashScore > 0 {
			return true
		}
	}
	return false
}

// setProbation sets the job on probation if the run is that of an implicated task and was placed recently.
func (h *host) setProbation(p *plan, r workload.TaskRef) {
	if h.probation == "" && p.History.Elapsed(r, p.Now) < probationTime && isImplicated(p.State.Job(r.Job), []workload.TaskRef{r}) {
		h.probation = r.Job
	}
}

// excludes reports whether the unit may not start on the host because an implicated task of another job
// is on probation there.
func (h *host) excludes(u *unit) bool {
	return u.implicated && h.probation != "" && h.probation != u.job.ID
}
