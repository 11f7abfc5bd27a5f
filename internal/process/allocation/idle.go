package allocation

import "time"

// By the platform's rules, no job may have nothing running for three seconds while there is room for it and less than half of
// its service's capacity is in use. The rule begins Rules.FinishTime after the last submission. For a long-running task it
// holds at any time, however much is in use, and whether other tasks of its job run or not. What keeps a unit from a worker
// that has room for it, because another one would be better, therefore ends in time.

// maxIdleTime is how long a unit waits for a better worker in the situations of the rule. The rest of the three seconds is for
// recording the end of the previous run and the placement.
const maxIdleTime = 2 * time.Second

// idlesBesideRoom reports whether the unit has had nothing running for maxIdleTime in a situation of the rule, but for
// FinishTime.
func (p *plan) idlesBesideRoom(u *unit) bool {
	if u.step.LongRunning {
		return p.History.TaskIdle(u.members[0], p.Now) > maxIdleTime
	}
	return p.History.JobIdle(u.job.ID, p.Now) > maxIdleTime && p.usedShare(u.job.Service) < minUsedShare
}

// hasIdled reports whether the unit has had nothing running for maxIdleTime in a situation of the rule.
func (p *plan) hasIdled(u *unit) bool {
	old := u.step.LongRunning || p.Rules.FinishTime > 0 && p.History.JobAge(u.job.ID, p.Now) > p.Rules.FinishTime
	return old && p.idlesBesideRoom(u)
}
