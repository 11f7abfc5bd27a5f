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

// lastAttemptDelay is how long after its latest failure the last attempt of a unit waits at most for other workers while
// less than minUsedShare is in use. By the platform's rules, a job may then have nothing running for three seconds; the
// rest is for recording the failure and the placement.
const lastAttemptDelay = 2 * time.Second

// setFailedWorkers sets failedOn and excludesFailed of the unit. A faulty worker fails every
// task that it gets, so the workers on which the unit has failed are excluded for its last
// attempt, as long as it should wait for others. Long-running tasks have no last attempt.
func (p *plan) setFailedWorkers(u *unit) {
	u.failedOn = p.History.failures[failureKey(u.job, u.members[0])]
	if len(u.failedOn) == 0 || u.step.LongRunning || u.job.Failures(u.members[0])+1 < u.job.Attempts {
		return
	}
	// While excludesFailed is true, pack looks at the other workers only.
	u.excludesFailed = true
	u.excludesFailed = p.awaitsOtherWorkers(u)
}

// awaitsOtherWorkers reports whether the last attempt of a unit that excludes the workers on which it has failed still waits
// for others that are large enough. It does so for lastAttemptDelay, since the fault may be over by then. Where many workers
// are busy, it waits for those that become free as long as that is worthwhile.
func (p *plan) awaitsOtherWorkers(u *unit) bool {
	if p.sinceFailure(u) < lastAttemptDelay {
		return pack(u, p.hosts, capacityWhenEmpty) != nil
	}
	return p.usedShare(u.job.Service) >= minUsedShare && p.worthWaiting(u) && pack(u, p.hosts, p.attainableCapacity(u)) != nil
}

// sinceFailure returns the time since the latest failure of the unit, which must have failed.
func (p *plan) sinceFailure(u *unit) time.Duration {
	latest := time.Duration(math.MinInt64)
	for _, failedAt := range u.failedOn {
		latest = max(latest, failedAt)
	}
	return p.Now - latest
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
	p.decision.FailureWaits = append(p.decision.FailureWaits, FailureWait{
		Job: u.job.ID, Occurrence: step.Occurrence, Failures: u.job.Failures(u.members[0]), Attempts: u.job.Attempts,
		FailedWorkers: len(u.failedOn), SinceFailure: p.sinceFailure(u),
	})
}
