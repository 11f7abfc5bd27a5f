package allocation

import "time"

// By the platform's rules, no job may have nothing running for three seconds while there is room for it and less than half of
// its service's capacity is in use, from Rules.FinishTime after the last submission on. For a long-running task this holds at
// any time, however much is in use. Whatever keeps a unit from a worker with room, because another worker would be better,
// therefore ends once the unit is idle or overdue.

// maxIdleTime is how long a unit has nothing running before it is idle. The rest of the three seconds is for recording the end
// of the previous run and the placement.
const maxIdleTime = 2 * time.Second

// isIdle reports whether the unit's job, or the task if it is long-running, has had nothing running for maxIdleTime. Jobs are
// not idle while minUsedShare or more of the capacity is in use.
func (p *plan) isIdle(u *unit) bool {
	if u.step.LongRunning {
		return p.History.TaskIdle(u.members[0], p.Now) > maxIdleTime
	}
	return p.History.JobIdle(u.job.ID, p.Now) > maxIdleTime && p.usedShare(u.job.Service) < minUsedShare
}

// isOverdue reports whether the unit is idle and its job is older than Rules.FinishTime or the task is long-running.
func (p *plan) isOverdue(u *unit) bool {
	old := u.step.LongRunning || p.Rules.FinishTime > 0 && p.History.JobAge(u.job.ID, p.Now) > p.Rules.FinishTime
	return old && p.isIdle(u)
}
