package allocation

import (
	"math"
	"time"

	"corianderpass/internal/process/workload"
)

const (
	// habitMost is the number of jobs that habits go back.
	habitMost = 30
	// offPrior is the number of jobs with which estimates are first believed to be
	// right in the mean, and usualPrior that for which the estimates of a queue stand
	// in as what is usual there.
	offPrior   = 6
	usualPrior = 4
	// spreadPrior is the variance of the logarithms that is assumed at first, of
	// durations and of estimates alike: a factor of two either way.
	spreadPrior = 0.5
	// offMost bounds what one job counts for, as a slow worker's tells little.
	offMost = 4
)

// moments are a running mean and variance.
type moments struct{ n, mean, variance float64 }

func (m *moments) add(x float64) {
	m.n = min(m.n+1, habitMost)
	w := 1 / m.n
	d := x - m.mean
	m.mean += w * d
	m.variance = (1 - w) * (m.variance + w*d*d)
}

// spread returns the variance with the prior counted in.
func (m moments) spread() float64 {
	return (m.variance*m.n + spreadPrior*usualPrior) / (m.n + usualPrior)
}

// habit is what is known of the durations of one queue's tasks, as logarithms of
// seconds. Estimates are rough: where they miss by more than the queue's durations
// differ, what is usual tells more.
type habit struct {
	// guessed are the estimates, ran the durations, off how far the latter exceed them.
	guessed, ran, off moments
}

// guess takes in the estimate of a job's step.
func (h *habit) guess(estimate time.Duration) {
	if estimate > 0 {
		h.guessed.add(math.Log(estimate.Seconds()))
	}
}

// learn takes in how long a task of a step took.
func (h *habit) learn(estimate, ran time.Duration) {
	if estimate <= 0 {
		h.ran.add(math.Log(ran.Seconds()))
		return
	}
	if h.off.n == 0 {
		h.off = moments{n: offPrior, variance: spreadPrior}
	}
	off := math.Log(min(max(ran.Seconds()/estimate.Seconds(), 1.0/offMost), offMost))
	h.off.add(off)
	h.ran.add(math.Log(estimate.Seconds()) + off)
}

// expect returns how long a task of the estimate probably takes.
func (h *habit) expect(estimate time.Duration) time.Duration {
	if h == nil || h.guessed.n+h.ran.n == 0 {
		return estimate
	}
	usual := h.guessed.mean + h.off.mean
	if h.guessed.n == 0 && estimate > 0 {
		usual = math.Log(estimate.Seconds()) + h.off.mean
	}
	usual = (usual*usualPrior + h.ran.mean*h.ran.n) / (usualPrior + h.ran.n)
	if estimate <= 0 {
		return seconds(math.Exp(usual))
	}
	guess := math.Log(estimate.Seconds()) + h.off.mean
	usualWeight, guessWeight := 1/h.ran.spread(), 1/h.off.spread()
	return seconds(math.Exp((usual*usualWeight + guess*guessWeight) / (usualWeight + guessWeight)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// noteEstimates takes in the estimates of a job that was not known before.
func (m *History) noteEstimates(j *workload.Job) {
	h := m.habits[j.Queue]
	if h == nil {
		h = &habit{}
		m.habits[j.Queue] = h
	}
	for _, s := range j.Steps {
		h.guess(s.Estimate)
	}
}
