package simulation

import (
	"slices"
	"time"

	"corianderpass/internal/process/workload"
)

// Result is what a day was worth.
type Result struct {
	// EarnedShare is the share of the worth owed that was earned.
	EarnedShare float64
	// WorstWindows is the mean of the two worst windows.
	WorstWindows float64
	// EarnedByClass are the shares by class.
	EarnedByClass map[string]float64
	// Jobs, Late and Missed count jobs that were owed.
	Jobs, Late, Missed int
	// Waste is work in core-seconds that was stopped and not saved, by the worth owed.
	Waste float64
	// Starts and Stops count orders.
	Starts, Stops int
}

// window is the length of the windows of which the worst count.
const window = 2 * time.Second

// lateUntil is how many times its objective a job may take to earn anything.
const lateUntil = 3

func (d *day) result() Result {
	r := Result{EarnedByClass: map[string]float64{}, Starts: d.starts, Stops: d.stops}
	owed, earned := 0.0, 0.0
	classOwed := map[string]float64{}
	windows := map[time.Duration][2]float64{}
	for _, a := range d.ordered {
		if a.cancelAt > 0 {
			continue
		}
		r.Jobs++
		share := a.share()
		switch {
		case share == 0:
			r.Missed++
		case share < 1:
			r.Late++
		}
		owed += a.worth
		earned += a.worth * share
		classOwed[a.class.Name] += a.worth
		r.EarnedByClass[a.class.Name] += a.worth * share
		w := windows[a.at/window]
		windows[a.at/window] = [2]float64{w[0] + a.worth, w[1] + a.worth*share}
	}
	if owed == 0 {
		return Result{EarnedShare: 1, WorstWindows: 1}
	}
	for name := range r.EarnedByClass {
		r.EarnedByClass[name] /= classOwed[name]
	}
	r.EarnedShare = earned / owed
	r.Waste = d.waste / owed
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

// share returns the part of its worth that a job has earned.
func (a *arrival) share() float64 {
	took := a.done - a.at
	ended := a.outcome == workload.OutcomeCompleted || a.outcome == workload.OutcomeFailed && a.hopeless
	switch {
	case !ended || took > lateUntil*a.objective:
		return 0
	case took > a.objective:
		return a.class.LateWorth
	}
	return 1
}
