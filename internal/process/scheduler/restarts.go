package scheduler

import "corianderpass/internal/process/workload"

// restartValue is what must change for a new log line on a failed gang.
type restartValue struct {
	run      workload.Run
	reserved bool
}

// logRestarts logs the failed gangs for whose restart the last decision newly reserves capacity, or
// newly does not.
func (s *Scheduler) logRestarts() {
	now := s.clock()
	for _, r := range s.restarts {
		if s.loggedRestarts.isDue(r.Step, restartValue{r.Run, r.Reserved}, now, minDelayLogInterval) {
			s.logger.Info("restart gang", "job", r.Step.Job, "occurrence", r.Step.Occurrence, "step", r.Step.Step, "failed_run", r.Run,
				"stopping", r.Stopping, "attempts_left", r.AttemptsLeft, "reserved", r.Reserved, "workers", r.Workers, "avoided_workers", r.Avoided)
		}
	}
	s.loggedRestarts.prune(now, minDelayLogInterval)
}
