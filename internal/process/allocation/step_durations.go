package allocation

import (
	"slices"
	"time"

	"corianderpass/internal/process/workload"
)

// minMedianWorkers is the number of workers on which runs of a step must have been observed
// before their median duration replaces the estimate. The tasks of one step have similar
// durations, while the estimate for a whole step is sometimes wrong by a factor of ten.
const minMedianWorkers = 3

// stepRef identifies a step of a job. It covers all occurrences of the job, since the durations
// of a step are similar in all of them.
type stepRef struct {
	job  workload.JobID
	step int
}

// stepDurations are the observed durations of one step's runs.
type stepDurations struct {
	// byWorker has the latest duration of a whole run on each worker, measured or projected
	// from the run's progress. There is only one per worker, so that a slow worker with many
	// runs does not shift the median.
	byWorker map[workload.LifeID]time.Duration
	// median caches the median of byWorker; 0 if it must be recomputed.
	median time.Duration
	// counted is true once a duration of this step was added to the model of its queue.
	counted bool
}

// recordDuration records the duration of a whole run on a worker, replacing the previous one
// there, and returns the durations of the task's step.
func (h *History) recordDuration(r workload.TaskRef, worker workload.LifeID, duration time.Duration) *stepDurations {
	if h.steps == nil {
		h.steps = map[stepRef]*stepDurations{}
	}
	key := stepRef{r.Job, r.Step}
	observed := h.steps[key]
	if observed == nil {
		observed = &stepDurations{byWorker: map[workload.LifeID]time.Duration{}}
		h.steps[key] = observed
	}
	observed.byWorker[worker], observed.median = duration, 0
	return observed
}

// medianDuration returns the median of the latest durations of the step on each worker, and
// false if there are durations on fewer than minMedianWorkers workers.
func (h *History) medianDuration(j workload.JobID, step int) (time.Duration, bool) {
	observed := h.steps[stepRef{j, step}]
	if observed == nil || len(observed.byWorker) < minMedianWorkers {
		return 0, false
	}
	if observed.median == 0 {
		durations := make([]time.Duration, 0, len(observed.byWorker))
		for _, t := range observed.byWorker {
			durations = append(durations, t)
		}
		slices.Sort(durations)
		observed.median = durations[(len(durations)-1)/2]
	}
	return observed.median, true
}

// pruneSteps removes the step durations of jobs that have ended.
func (h *History) pruneSteps(s *workload.State) {
	for key := range h.steps {
		if j := s.Job(key.job); j == nil || !j.Open() {
			delete(h.steps, key)
		}
	}
}
