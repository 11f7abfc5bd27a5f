package simulation

import (
	"slices"
	"time"

	"corianderpass/internal/process/workload"
)

// Result holds the measurements of one day. Cancelled jobs do not count.
type Result struct {
	// EarnedShare is the share of the total worth of all jobs that was earned, 0 to 1.
	EarnedShare float64
	// WorstWindows is the mean of the shares earned in the two worst windows of 2 s. A job
	// belongs to the window in which it was submitted.
	WorstWindows float64
	// EarnedByClass has the share earned by the jobs of each class, by class name.
	EarnedByClass map[string]float64
	// Jobs counts all jobs, Late the jobs that earned a part of their worth, and Missed
	// the jobs that earned nothing.
	Jobs, Late, Missed int
	// Waste is the work that was lost, in core-seconds, divided by the total worth. Work
	// is lost when a run is stopped without a checkpoint or its worker is lost.
	Waste float64
	// Starts and Stops count the orders to start and stop runs.
	Starts, Stops int
}

// windowLength is the length of the windows for Result.WorstWindows.
const windowLength = 2 * time.Second

// lateLimit is the factor on a job's objective after which the job earns nothing.
const lateLimit = 3

// result returns the measurements of the day.
func (d *day) result() Result {
	r := Result{EarnedByClass: map[string]float64{}, Starts: d.starts, Stops: d.stops}
	total, earned := 0.0, 0.0
	classTotal := map[string]float64{}
	windows := map[time.Duration][2]float64{}
	for _, a := range d.sortedArrivals {
		if a.cancelAt > 0 {
			continue
		}
		r.Jobs++
		share := a.earnedShare()
		switch {
		case share == 0:
			r.Missed++
		case share < 1:
			r.Late++
		}
		total += a.worth
		earned += a.worth * share
		classTotal[a.class.Name] += a.worth
		r.EarnedByClass[a.class.Name] += a.worth * share
		w := windows[a.at/windowLength]
		windows[a.at/windowLength] = [2]float64{w[0] + a.worth, w[1] + a.worth*share}
	}
	if total == 0 {
		return Result{EarnedShare: 1, WorstWindows: 1}
	}
	for name := range r.EarnedByClass {
		r.EarnedByClass[name] /= classTotal[name]
	}
	r.EarnedShare = earned / total
	r.Waste = d.wastedWork / total
	var shares []float64
	for _, w := range windows {
		shares = append(shares, w[1]/w[0])
	}
	slices.Sort(shares)
	r.WorstWindows = shares[0]
	if len(shares) > 1 {
		r.WorstWindows = (shares[0] + shares[1]) / 2
	}
	return r
}

// earnedShare returns the share of its worth that the job has earned, 0 to 1. A job
// whose runs all fail earns its worth if it fails in time, since no policy can complete it.
func (a *arrival) earnedShare() float64 {
	took := a.endedAt - a.at
	ended := a.outcome == workload.OutcomeCompleted || a.outcome == workload.OutcomeFailed && a.alwaysFails
	switch {
	case !ended || took > lateLimit*a.objective:
		return 0
	case took > a.objective:
		return a.class.LateWorth
	}
	return 1
}
