package scheduler

import (
	"time"

	"corianderpass/internal/process/workload"
)

// minDelayLogInterval is the shortest time between two log lines on one occurrence that waits. It
// bounds the volume of the log while a forecast changes with each decision.
const minDelayLogInterval = 2 * time.Second

// delayKey identifies an occurrence of a job.
type delayKey struct {
	job        workload.JobID
	occurrence int
}

// logDelays logs the occurrences that the last decision newly expects to be late or missed.
func (s *Scheduler) logDelays() {
	now := s.clock()
	for _, d := range s.delays {
		if s.loggedDelays.isDue(delayKey{d.Job, d.Occurrence}, d.Missed, now, minDelayLogInterval) {
			s.logger.Info("delayed", "job", d.Job, "occurrence", d.Occurrence, "missed", d.Missed, "due_in_ms", d.DueIn.Milliseconds(),
				"last_due_in_ms", d.LastDueIn.Milliseconds(), "time_left_ms", d.TimeLeft.Milliseconds(), "capacity_seconds_left", d.Work)
		}
	}
	s.loggedDelays.prune(now, minDelayLogInterval)
}

// logHeldBack logs the occurrences that the last decision newly holds back.
func (s *Scheduler) logHeldBack() {
	now := s.clock()
	for _, h := range s.heldBack {
		if s.loggedHeldBack.isDue(delayKey{h.Job, h.Occurrence}, struct{}{}, now, minDelayLogInterval) {
			s.logger.Info("held back", "job", h.Job, "occurrence", h.Occurrence, "urgent_demand", h.Demand, "workers", h.Workers,
				"all_workers", h.AllWorkers, "slack_ms", h.Slack.Milliseconds())
		}
	}
	s.loggedHeldBack.prune(now, minDelayLogInterval)
}

// logFailureWaits logs the occurrences whose last attempt newly waits for workers on which it has not failed.
func (s *Scheduler) logFailureWaits() {
	now := s.clock()
	for _, w := range s.failureWaits {
		if s.loggedFailureWaits.isDue(delayKey{w.Job, w.Occurrence}, w.Failures, now, minDelayLogInterval) {
			s.logger.Info("last attempt waits", "job", w.Job, "occurrence", w.Occurrence, "failures", w.Failures, "attempts", w.Attempts,
				"failed_workers", w.FailedWorkers, "last_failure_ms", w.SinceFailure.Milliseconds())
		}
	}
	s.loggedFailureWaits.prune(now, minDelayLogInterval)
}

// maxQuarantineLines is the most log lines on one decision about placements in spite of quarantine.
const maxQuarantineLines = 8

// logQuarantineUses logs the placements of the last decision on workers in spite of their quarantine.
func (s *Scheduler) logQuarantineUses() {
	for _, u := range s.quarantineUses[:min(len(s.quarantineUses), maxQuarantineLines)] {
		s.logger.Info("place in spite of quarantine", "job", u.Job, "occurrence", u.Occurrence, "workers", u.Workers, "idle_ms", u.Idle.Milliseconds())
	}
}
