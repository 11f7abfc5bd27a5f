package allocation

import "corianderpass/internal/process/workload"

// wholeGangIndex is the task index in the failure key of a gang. All tasks of a gang fail
// together and share one key.
const wholeGangIndex = -1

// failureKey returns the key under which failures of the task are stored.
func failureKey(j *workload.Job, r workload.TaskRef) workload.TaskRef {
	if j.Steps[r.Step].Gang {
		r.Index = wholeGangIndex
	}
	return r
}

// RecordFailure records that a run of the task failed on the worker.
func (h *History) RecordFailure(j *workload.Job, r workload.TaskRef, worker workload.LifeID) {
	if h.failures == nil {
		h.failures = map[workload.TaskRef]map[workload.LifeID]bool{}
	}
	key := failureKey(j, r)
	if h.failures[key] == nil {
		h.failures[key] = map[workload.LifeID]bool{}
	}
	h.failures[key][worker] = true
}

// pruneFailures removes the failures of jobs that have ended.
func (h *History) pruneFailures(s *workload.State) {
	for key := range h.failures {
		if j := s.Job(key.Job); j == nil || !j.Open() {
			delete(h.failures, key)
		}
	}
}

// failedWorkerCost is added to the placement cost of workers on which the unit has failed. It
// exceeds the sum of all other costs, so that such workers are chosen last.
const failedWorkerCost = 10.0

// setFailedWorkers sets failedOn and excludesFailed of the unit. A faulty worker fails every
// task that it gets, so the workers on which the unit has failed are excluded for its last
// attempt, unless the unit would not fit on the other workers even if these were empty.
func (p *plan) setFailedWorkers(u *unit) {
	u.failedOn = p.History.failures[failureKey(u.job, u.members[0])]
	if len(u.failedOn) == 0 || u.job.Failures(u.members[0])+1 < u.job.Attempts {
		return
	}
	u.excludesFailed = true
	if pack(u, p.hosts, capacityWhenEmpty) == nil {
		u.excludesFailed = false
	}
}
