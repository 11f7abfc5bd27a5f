package allocation

import (
	"slices"
	"time"

	"corianderpass/internal/process/workload"
)

// QuarantineUse is an occurrence with a unit that was placed on workers in spite of their quarantine.
type QuarantineUse struct {
	Job        workload.JobID
	Occurrence int
	// Workers is the number of workers of the placement.
	Workers int
	// Idle is the time for which the job has had nothing running, or the task if it is long-running.
	Idle time.Duration
}

// placeInQuarantine places an idle unit that fits nowhere else on workers under test after quarantine, whatever runs
// there and with any number of members, and on those that are still quarantined if the unit is overdue. Otherwise it might
// wait for ever: only a success on such a worker ends the quarantine.
func (p *plan) placeInQuarantine(u *unit) bool {
	if !p.hasQuarantine || !p.isIdle(u) || pack(u, p.hosts, capacityNow) != nil {
		return false
	}
	u.ignoresQuarantine = true
	assignments := pack(u, p.hostsInQuarantine(u), capacityNow)
	u.ignoresQuarantine = false
	if assignments == nil {
		return false
	}
	use := QuarantineUse{Job: u.job.ID, Occurrence: u.members[0].Occurrence, Workers: len(assignments)}
	use.Idle = p.History.JobIdle(u.job.ID, p.Now)
	if u.step.LongRunning {
		use.Idle = p.History.TaskIdle(u.members[0], p.Now)
	}
	p.decision.QuarantineUses = append(p.decision.QuarantineUses, use)
	p.place(u, assignments)
	return true
}

// hostsInQuarantine returns the hosts that an idle unit may use, with those that quarantine excludes for others.
func (p *plan) hostsInQuarantine(u *unit) []*host {
	hosts := slices.Clone(p.hosts)
	for _, h := range p.excludedHosts {
		if !h.quarantined || p.isOverdue(u) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
