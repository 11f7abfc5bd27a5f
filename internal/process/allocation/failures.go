package allocation

import (
	"math"
	"time"

	"corianderpass/internal/process/workload"
)

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

// RecordFailure records that a run of the task has failed on the worker, at the time now on the monotonic clock.
func (h *History) RecordFailure(j *workload.Job, r workload.TaskRef, worker workload.LifeID, now time.Duration) {
	if h.failures == nil {
		h.failures = map[workload.TaskRef]map[workload.LifeID]time.Duration{}
	}
	key := failureKey(j, r)
	if h.failures[key] == nil {
		h.failures[key] = map[workload.LifeID]time.Duration{}
	}
	h.failures[key][worker] = now
}

// pruneFailures removes the failures of jobs that have ended.
func (h *History) pruneFailures(s *workload.State) {
	for key := range h.failures {
		if j := s.Job(key.Job); j == nil || !j.Open() {
			delete(h.failures, key)
		}
	}
}

// hasFailedOn reports whether the unit has failed on the host.
func (u *unit) hasFailedOn(h *host) bool {
	_, failed := u.failedOn[h.worker.Life]
	return failed
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

// FailureWait is an occurrence with a unit whose last attempt waits, although it would fit on workers on
// which the unit has failed.
type FailureWait struct {
	Job        workload.JobID
	Occurrence int
	// Failures is the number of attempts that have failed, of Attempts.
	Failures, Attempts int
	// FailedWorkers is the number of workers on which the unit has failed.
	FailedWorkers int
	// SinceFailure is the time since the latest of these failures.
	SinceFailure time.Duration
}

// noteFailureWait adds the unit's occurrence to the decision's FailureWaits if the unit, which was not placed,
// would fit on workers on which it has failed. It looks at one unit of each step only.
func (p *plan) noteFailureWait(u *unit) {
	step := u.members[0].StepRef()
	if !u.excludesFailed || p.failureWaitNoted[step] {
		return
	}
	if p.failureWaitNoted == nil {
		p.failureWaitNoted = map[workload.StepRef]bool{}
	}
	p.failureWaitNoted[step] = true
	anywhere := *u
	anywhere.excludesFailed = false
	if p.findAssignments(&anywhere, capacityNow) == nil {
		return
	}
	sinceFailure := time.Duration(math.MaxInt64)
	for _, failedAt := range u.failedOn {
		sinceFailure = min(sinceFailure, p.Now-failedAt)
	}
	p.decision.FailureWaits = append(p.decision.FailureWaits, FailureWait{
		Job: u.job.ID, Occurrence: step.Occurrence, Failures: u.job.Failures(u.members[0]), Attempts: u.job.Attempts,
		FailedWorkers: len(u.failedOn), SinceFailure: sinceFailure,
	})
}
