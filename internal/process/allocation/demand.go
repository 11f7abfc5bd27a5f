package allocation

import (
	"slices"
	"time"

	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
)

// demandWindow is the time over which arrivals of jobs are averaged. It covers several runs of urgent
// jobs, so that one job weighs little, and follows bursts.
const demandWindow = 8 * time.Second

// demandMargin is the factor on the mean demand for which headroom is left, since arrivals vary. The
// result depends little on it (docs/design/herdlog.md).
const demandMargin = 1.3

// arrival is a job that was submitted within the last demandWindow.
type arrival struct {
	at       time.Duration
	service  bundle.ServiceName
	priority int
	steps    []expectedLoad
}

// expectedLoad is what the tasks of one step are expected to occupy while they run side by side.
type expectedLoad struct {
	// task is the reservation of each task.
	task     workload.Resources
	tasks    int
	duration time.Duration
}

// addArrival records the submission of a job. Jobs with due times are not counted: they do not
// arrive when they are submitted. Nor are long-running jobs, whose work has no end.
func (h *History) addArrival(j *workload.Job, at time.Duration) {
	if j.DueUnixMilli(0) > 0 {
		return
	}
	a := arrival{at: at, service: j.Service, priority: j.Priority}
	for i, s := range j.Steps {
		if s.LongRunning {
			return
		}
		a.steps = append(a.steps, expectedLoad{s.Reservation(), s.Tasks, h.ExpectedDuration(j, i)})
	}
	h.arrivals = append(h.arrivals, a)
}

// pruneArrivals drops the arrivals that are older than demandWindow.
func (h *History) pruneArrivals(now time.Duration) {
	h.arrivals = slices.DeleteFunc(h.arrivals, func(a arrival) bool { return now-a.at > demandWindow })
}

// demandBefore returns the share of the capacity that jobs of the service with a lower priority number
// than the given one are expected to occupy on average, if as many arrive as in the last demandWindow.
// It may exceed 1.
func (h *History) demandBefore(service bundle.ServiceName, priority int, capacity workload.Resources) float64 {
	work := 0.0
	for _, a := range h.arrivals {
		if a.service != service || a.priority >= priority {
			continue
		}
		for _, s := range a.steps {
			work += dominantShare(s.task, capacity) * float64(s.tasks) * s.duration.Seconds()
		}
	}
	return work / demandWindow.Seconds()
}
