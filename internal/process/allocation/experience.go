package allocation

import (
	"slices"
	"time"

	"corianderpass/internal/process/workload"
)

// stepSamples is the number of workers on which runs of one step were seen from
// which their median is believed more than the estimate. The tasks of a step
// resemble each other, and estimates of whole steps are off by ten times now and then.
const stepSamples = 3

// stepRef names a step of a job; its occurrences resemble each other.
type stepRef struct {
	job  workload.JobID
	step int
}

// experience is how long whole runs of one step took, or will by their progress, on
// each worker: one slow worker with many of them must not look usual.
type experience struct {
	totals map[workload.LifeID]time.Duration
	// median is 0 when it must be computed anew.
	median time.Duration
	// learned steps have counted for their queue.
	learned bool
}

// experienced notes a duration of a task of the step on a worker.
func (m *History) experienced(r workload.TaskRef, on workload.LifeID, total time.Duration) *experience {
	if m.steps == nil {
		m.steps = map[stepRef]*experience{}
	}
	key := stepRef{r.Job, r.Step}
	e := m.steps[key]
	if e == nil {
		e = &experience{totals: map[workload.LifeID]time.Duration{}}
		m.steps[key] = e
	}
	e.totals[on], e.median = total, 0
	return e
}

// usual returns the median duration of the step's runs over the workers, false if
// they were seen on too few.
func (m *History) usual(j workload.JobID, step int) (time.Duration, bool) {
	e := m.steps[stepRef{j, step}]
	if e == nil || len(e.totals) < stepSamples {
		return 0, false
	}
	if e.median == 0 {
		totals := make([]time.Duration, 0, len(e.totals))
		for _, t := range e.totals {
			totals = append(totals, t)
		}
		slices.Sort(totals)
		e.median = totals[(len(totals)-1)/2]
	}
	return e.median, true
}

// forgetSteps drops what is known of jobs that are over.
func (m *History) forgetSteps(s *workload.State) {
	for key := range m.steps {
		if j := s.Job(key.job); j == nil || !j.Open() {
			delete(m.steps, key)
		}
	}
}
