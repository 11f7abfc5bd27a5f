package allocation

import "corianderpass/internal/process/workload"

// gangIndex stands for all tasks of a gang, which fail together.
const gangIndex = -1

// failureKey is what a failure is remembered by.
func failureKey(j *workload.Job, r workload.TaskRef) workload.TaskRef {
	if j.Steps[r.Step].Gang {
		r.Index = gangIndex
	}
	return r
}

// RecordFailure takes in that a run of a task failed on a worker.
func (m *History) RecordFailure(j *workload.Job, r workload.TaskRef, on workload.LifeID) {
	if m.failures == nil {
		m.failures = map[workload.TaskRef]map[workload.LifeID]bool{}
	}
	key := failureKey(j, r)
	if m.failures[key] == nil {
		m.failures[key] = map[workload.LifeID]bool{}
	}
	m.failures[key][on] = true
}

// forgetFailures drops what is known of jobs that are over.
func (m *History) forgetFailures(s *workload.State) {
	for key := range m.failures {
		if j := s.Job(key.Job); j == nil || !j.Open() {
			delete(m.failures, key)
		}
	}
}

// avoidCost ranks a worker that failed the unit behind all others.
const avoidCost = 10.0

// findFailures notes which hosts failed the unit. The last attempt is not made there
// while any other could ever take it: a worker that is ill fails whatever it gets.
func (p *plan) findFailures(u *unit) {
	u.avoid = p.History.failures[failureKey(u.job, u.members[0])]
	if len(u.avoid) == 0 || u.job.Failures(u.members[0])+1 < u.job.Attempts {
		return
	}
	u.shuns = true
	if pack(u, p.hosts, wholeRoom) == nil {
		u.shuns = false
	}
}
