package allocation

import (
	"math"
	"time"

	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
)

const (
	// maxSamples limits the weight of past samples in the moments: the newest sample always
	// counts for at least 1/maxSamples.
	maxSamples = 30
	// overrunPriorJobs is the weight of the initial assumption that durations equal their
	// estimates: it counts as much as this number of observed jobs.
	overrunPriorJobs = 6
	// queuePriorJobs is the weight, as a number of observed jobs, of the queue's mean estimate
	// in its mean duration, and of priorVariance in each variance.
	queuePriorJobs = 4
	// priorVariance is the variance of the logarithms of durations and of overruns that is
	// assumed before there are samples. It corresponds to a factor of two in both directions.
	priorVariance = 0.5
	// maxOverrun limits the factor between duration and estimate that one job contributes, in
	// both directions, since one run on a slow worker says little about the queue.
	maxOverrun = 4
)

// moments are the mean and variance of a series of samples. n is their number, at most
// maxSamples; once n has reached maxSamples, the weight of older samples falls with each new one.
type moments struct{ n, mean, variance float64 }

// add adds a sample.
func (m *moments) add(x float64) {
	m.n = min(m.n+1, maxSamples)
	w := 1 / m.n
	d := x - m.mean
	m.mean += w * d
	m.variance = (1 - w) * (m.variance + w*d*d)
}

// varianceWithPrior returns the average of the variance, weighted with n, and priorVariance,
// weighted with queuePriorJobs.
func (m moments) varianceWithPrior() float64 {
	return (m.variance*m.n + priorVariance*queuePriorJobs) / (m.n + queuePriorJobs)
}

// durationModel predicts the durations of one queue's tasks. It works on natural logarithms of
// seconds. Estimates of callers are rough: if their errors vary more than the queue's durations,
// the prediction is closer to the queue's mean than to the estimate.
type durationModel struct {
	// estimates are the estimates of submitted steps, durations those of finished tasks, and
	// overruns the factors by which durations exceeded estimates.
	estimates, durations, overruns moments
	// work has the expected work of submitted jobs in core-seconds.
	work moments
	// ratios is the distribution of the durations of finished runs relative to the expected ones.
	ratios ratioHistogram
}

// addEstimate adds the estimate of a step. An estimate of 0 means that there is none.
func (d *durationModel) addEstimate(estimate time.Duration) {
	if estimate > 0 {
		d.estimates.add(math.Log(estimate.Seconds()))
	}
}

// addDuration adds the duration of a task. estimate is the estimate of its step, 0 if there is
// none.
func (d *durationModel) addDuration(estimate, duration time.Duration) {
	if estimate <= 0 {
		d.durations.add(math.Log(duration.Seconds()))
		return
	}
	if d.overruns.n == 0 {
		d.overruns = moments{n: overrunPriorJobs, variance: priorVariance}
	}
	overrun := math.Log(min(max(duration.Seconds()/estimate.Seconds(), 1.0/maxOverrun), maxOverrun))
	d.overruns.add(overrun)
	d.durations.add(math.Log(estimate.Seconds()) + overrun)
}

// predict returns the expected duration of a task whose step has the estimate; an estimate of 0
// means that there is none. The result is the average, on the logarithmic scale, of the queue's
// mean and of the estimate times the mean overrun, each weighted with the inverse of its
// variance. Without an estimate it is the queue's mean. Without any samples, or on a nil model,
// it is the estimate.
func (d *durationModel) predict(estimate time.Duration) time.Duration {
	if d == nil || d.estimates.n+d.durations.n == 0 {
		return estimate
	}
	queueMean := d.estimates.mean + d.overruns.mean
	if d.estimates.n == 0 && estimate > 0 {
		queueMean = math.Log(estimate.Seconds()) + d.overruns.mean
	}
	queueMean = (queueMean*queuePriorJobs + d.durations.mean*d.durations.n) / (queuePriorJobs + d.durations.n)
	if estimate <= 0 {
		return seconds(math.Exp(queueMean))
	}
	estimateMean := math.Log(estimate.Seconds()) + d.overruns.mean
	queuePrecision, estimatePrecision := 1/d.durations.varianceWithPrior(), 1/d.overruns.varianceWithPrior()
	return seconds(math.Exp((queueMean*queuePrecision + estimateMean*estimatePrecision) / (queuePrecision + estimatePrecision)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// addEstimates adds the estimates and the work of a new job to the model of its queue.
func (h *History) addEstimates(j *workload.Job) {
	model := h.durationModels[j.Queue]
	if model == nil {
		model = &durationModel{}
		h.durationModels[j.Queue] = model
	}
	work := 0.0
	for i, s := range j.Steps {
		model.addEstimate(s.Estimate)
		work += coreSeconds(s.Need, h.ExpectedDuration(j, i)) * float64(s.Tasks)
	}
	model.work.add(work)
}

// meanWork returns the mean work of the queue's jobs in core-seconds, 0 before the first one.
func (h *History) meanWork(queue bundle.QueueName) float64 {
	if model := h.durationModels[queue]; model != nil {
		return model.work.mean
	}
	return 0
}
