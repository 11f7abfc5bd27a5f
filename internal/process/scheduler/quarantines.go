package scheduler

// quarantineValue is what must change for a new log line on a worker with several failures in a row.
type quarantineValue struct {
	active   bool
	failures int
}

// logQuarantines logs the workers on which several runs in a row have failed, and whether they are in
// quarantine, whenever that changes.
func (s *Scheduler) logQuarantines() {
	now := s.clock()
	for _, q := range s.quarantines {
		if !s.loggedQuarantines.isDue(q.Worker, quarantineValue{q.Active, q.Failures}, now, minDelayLogInterval) {
			continue
		}
		message := "quarantine"
		if !q.Active {
			message = "no quarantine"
		}
		s.logger.Info(message, "worker", q.Worker, "failures", q.Failures, "queue_failure_rate", q.QueueRate, "evidence", q.Evidence,
			"left_ms", q.Left.Milliseconds())
	}
	s.loggedQuarantines.prune(now, minDelayLogInterval)
}
