package allocation

import (
	"time"

	"corianderpass/internal/process/workload"
)

// When a worker crashes, every task on it is a suspect: one of them may have crashed it. Suspects of
// different jobs start on different workers, so that a task that crashes each worker does so beside as
// few others as possible, and the same tasks are not beside it each time.

// probationTime is how long after the placement of a suspect its worker takes no suspect of another
// job. A task that crashes its workers usually does so as it starts.
const probationTime = time.Second

// probationCost is added to the placement cost of a worker with a suspect on probation, and subtracted if
// the suspect is of the same job. It is as high as the highest cost of unused capacity.
const probationCost = 3.0

// isSuspect reports whether a worker has crashed under one of the tasks of the unit.
func isSuspect(j *workload.Job, members []workload.TaskRef) bool {
	for _, r := range members {
		if j.Occurrences[r.Occurrence].Steps[r.Step].Tasks[r.Index].CrashScore > 0 {
			return true
		}
	}
	return false
}

// setProbation sets the job on probation if the run is that of a suspect and has been placed recently.
func (h *host) setProbation(p *plan, r workload.TaskRef) {
	if h.probation == "" && p.History.Elapsed(r, p.Now) < probationTime && isSuspect(p.State.Job(r.Job), []workload.TaskRef{r}) {
		h.probation = r.Job
	}
}

// excludes reports whether the unit may not start on the host because a suspect of another job is on
// probation there.
func (h *host) excludes(u *unit) bool {
	return u.suspect && h.probation != "" && h.probation != u.job.ID
}
