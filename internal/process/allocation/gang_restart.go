package allocation

import "corianderpass/internal/process/workload"

// fewAttempts is the number of attempts left from which on a gang avoids workers with recent
// failures.
const fewAttempts = 2

// recentFailureCost is added to the placement cost of workers with recent failures for gangs with
// few attempts left. It exceeds the sum of the costs of unused and shared capacity, so that such
// workers are chosen after all others, but before those on which the unit itself has failed.
const recentFailureCost = 5.0

// avoidedHostPenalty is the number of free accelerators that each avoided host counts as when a gang
// chooses its rack. It exceeds the accelerators of any rack.
const avoidedHostPenalty = 1 << 20

// hasRecentFailure reports whether a run has failed on the worker since the last one succeeded there.
// This is part of the state, so that a new leader knows it too.
func (h *host) hasRecentFailure() bool { return h.worker.FailureStreak > 0 }

// avoids reports whether the host is one of the last choices for the unit.
func (u *unit) avoids(h *host) bool { return u.avoidsFailures && h.hasRecentFailure() }

// countAvoided returns on how many of the hosts the unit is placed only as a last choice.
func (u *unit) countAvoided(assignments []assignment) int {
	n := 0
	for _, a := range assignments {
		if u.avoids(a.host) {
			n++
		}
	}
	return n
}

// restartingGang returns the gang of a step as a unit if it has failed and some of its members are
// still being stopped, nil otherwise. It also returns nil if a member is on a worker that does not
// answer, since its end may then take as long as a lease.
func (p *plan) restartingGang(j *workload.Job, occurrence, i int, step *workload.Step) *unit {
	members := make([]workload.TaskRef, 0, len(step.Tasks))
	run := workload.Run(0)
	for k, t := range step.Tasks {
		if t.Phase == workload.PhaseRunning || t.Phase == workload.PhaseDone {
			return nil
		}
		if w := p.State.Worker(t.Worker); t.Worker != "" && (w == nil || w.Gone || w.Suspected || w.Unresponsive) {
			return nil
		}
		members = append(members, j.Ref(occurrence, i, k))
		run = max(run, t.Run)
	}
	if run == 0 || step.FailedRun != run {
		return nil
	}
	u := p.newUnit(j, i, occurrence, members, run)
	u.restarting = true
	return u
}

// Restart is a gang that has failed and still has members that are being stopped, while no unit of
// higher rank waits.
type Restart struct {
	Step workload.StepRef
	// Run is the run that failed, Stopping the number of members that have not stopped yet.
	Run      workload.Run
	Stopping int
	// AttemptsLeft is how often the gang may still be started.
	AttemptsLeft int
	// Reserved is true if capacity that is free or that the gang uses is reserved on Workers, of which
	// Avoided have recent failures. Otherwise the gang needs the capacity of other runs.
	Reserved bool
	Workers  []workload.LifeID
	Avoided  int
}

// prepareRestart reserves capacity for a gang that starts again once its members have stopped: the
// capacity that is free now or that its own members use, or else any that becomes free as other
// runs stop. It stops runs for the gang if necessary. Otherwise units of lower rank would start on
// the capacity of the members that have stopped already, and runs would be stopped for the gang only
// after its last member.
func (p *plan) prepareRestart(u *unit) {
	own := map[workload.LifeID]workload.Resources{}
	stopping := 0
	for _, r := range u.members {
		if _, _, t, known := p.State.Task(r); known && t.Worker != "" {
			own[t.Worker] = own[t.Worker].Plus(p.reservation(r))
			stopping++
		}
	}
	capacity := func(h *host) workload.Resources {
		return clampToCapacity(h.free.Plus(own[h.worker.Life]), h.afterStops)
	}
	assignments := p.findAssignments(u, capacity)
	if assignments != nil {
		p.reserve(u, assignments)
	} else {
		p.tryPlace(u)
	}
	restart := Restart{
		Step: u.members[0].StepRef(), Run: u.run, Stopping: stopping, AttemptsLeft: u.job.Attempts - u.job.Failures(u.members[0]),
		Reserved: assignments != nil, Avoided: u.countAvoided(assignments),
	}
	for _, a := range assignments {
		restart.Workers = append(restart.Workers, a.host.worker.Life)
	}
	p.decision.Restarts = append(p.decision.Restarts, restart)
}
