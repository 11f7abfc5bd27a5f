package scheduler

import (
	"maps"
	"time"

	"corianderpass/internal/process/workload"
)

// minDelayLogInterval is the shortest time between two log lines on one delayed occurrence. It
// bounds the volume of the log while a forecast changes with each decision.
const minDelayLogInterval = 2 * time.Second

// delayKey identifies an occurrence of a job.
type delayKey struct {
	job        workload.JobID
	occurrence int
}

// loggedDelay is what was last logged of a delayed occurrence.
type loggedDelay struct {
	missed bool
	at     time.Duration
}

// logDelays logs the occurrences that the last decision newly expects to be late or missed. It
// forgets those that are not delayed any more after minDelayLogInterval.
func (s *Scheduler) logDelays() {
	now := s.clock()
	logged := make(map[delayKey]loggedDelay, len(s.delays))
	for key, last := range s.loggedDelays {
		if now-last.at < minDelayLogInterval {
			logged[key] = last
		}
	}
	for _, d := range s.delays {
		key := delayKey{d.Job, d.Occurrence}
		last, known := s.loggedDelays[key]
		if known && (last.missed == d.Missed || now-last.at < minDelayLogInterval) {
			logged[key] = last
			continue
		}
		logged[key] = loggedDelay{d.Missed, now}
		s.logger.Info("delayed", "job", d.Job, "occurrence", d.Occurrence, "missed", d.Missed, "due_in_ms", d.DueIn.Milliseconds(),
			"last_due_in_ms", d.LastDueIn.Milliseconds(), "time_left_ms", d.TimeLeft.Milliseconds(), "capacity_seconds_left", d.Work)
	}
	s.loggedDelays = logged
}

// logHeldBack logs the occurrences that the last decision newly holds back, and again those that are
// still held back after minDelayLogInterval.
func (s *Scheduler) logHeldBack() {
	now := s.clock()
	maps.DeleteFunc(s.loggedHeldBack, func(_ delayKey, at time.Duration) bool { return now-at >= minDelayLogInterval })
	for _, h := range s.heldBack {
		key := delayKey{h.Job, h.Occurrence}
		if _, logged := s.loggedHeldBack[key]; logged {
			continue
		}
		s.loggedHeldBack[key] = now
		s.logger.Info("held back", "job", h.Job, "occurrence", h.Occurrence, "urgent_demand", h.Demand, "workers", h.Workers,
			"all_workers", h.AllWorkers, "slack_ms", h.Slack.Milliseconds())
	}
}
