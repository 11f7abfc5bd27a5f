package allocation

import (
	"math"
	"time"

	"corianderpass/internal/process/workload"
)

const (
	// ratioBuckets is the number of buckets of a ratioHistogram, bucketsPerOctave the number of
	// buckets for each factor of two, and firstOctave the base-2 logarithm of the upper limit of
	// the first bucket. The upper limit of the last one is about 19.
	ratioBuckets     = 26
	bucketsPerOctave = 4
	firstOctave      = -2
	// tailPriorRuns is the weight, as a number of runs, of the initial assumption that runs last
	// exactly as long as expected.
	tailPriorRuns = 10
	// maxTailRuns limits the weight of past runs. It is larger than maxSamples because a few in a
	// hundred runs make up the tail.
	maxTailRuns = 300
)

// ratioHistogram is the distribution of the ratio of actual to expected durations of one queue's
// runs. The zero value has no runs.
type ratioHistogram struct {
	// weights has the weight of the runs in each bucket, total their sum.
	weights [ratioBuckets]float64
	total   float64
}

// bucketLimits has the upper limits of the buckets. The last bucket has all larger ratios too.
var bucketLimits = func() (limits [ratioBuckets]float64) {
	for i := range limits {
		limits[i] = math.Exp2(firstOctave + float64(i)/bucketsPerOctave)
	}
	return limits
}()

// add adds the ratio of one run.
func (h *ratioHistogram) add(ratio float64) {
	if h.total >= maxTailRuns {
		for i := range h.weights {
			h.weights[i] *= 1 - 1.0/maxTailRuns
		}
		h.total *= 1 - 1.0/maxTailRuns
	}
	bucket := 0
	for bucket < ratioBuckets-1 && ratio > bucketLimits[bucket] {
		bucket++
	}
	h.weights[bucket]++
	h.total++
}

// meanAbove returns the mean ratio of the runs that last longer than the given ratio, the prior
// included, and false if there are none. Ratios are assumed to be uniform within a bucket.
func (h *ratioHistogram) meanAbove(ratio float64) (float64, bool) {
	weight, sum := 0.0, 0.0
	if ratio < 1 {
		weight, sum = tailPriorRuns, tailPriorRuns
	}
	for i := ratioBuckets - 1; i >= 0 && bucketLimits[i] > ratio; i-- {
		low := 0.0
		if i > 0 {
			low = bucketLimits[i-1]
		}
		from := max(low, ratio)
		share := h.weights[i] * (bucketLimits[i] - from) / (bucketLimits[i] - low)
		weight += share
		sum += share * (from + bucketLimits[i]) / 2
	}
	if weight == 0 {
		return 0, false
	}
	return sum / weight, true
}

// recordRatio adds the duration of a successful run to the distribution of its queue. It adds all
// runs of a step, since each may be in the tail, except for resumed runs and runs on slow workers,
// whose durations do not depend on the task alone.
func (h *History) recordRatio(model *durationModel, expected, duration time.Duration, r workload.TaskRef) {
	observed := h.runs[r]
	if expected <= 0 || observed.resumed {
		return
	}
	if w := h.workers[observed.worker]; w != nil && w.slow {
		return
	}
	model.ratios.add(duration.Seconds() / expected.Seconds())
}

// expectedRemaining returns how long the current run of a task is expected to take from now on,
// without regard to its progress: the mean of the queue's distribution, given that the run has
// lasted this long. A run that has lasted longer than all observed ones is expected to exceed the
// expected duration by as much again, or to end now if too few runs were observed.
func (h *History) expectedRemaining(j *workload.Job, r workload.TaskRef, now time.Duration) time.Duration {
	expected, elapsed := h.ExpectedDuration(j, r.Step), h.Elapsed(r, now)
	model := h.durationModels[j.Queue]
	if model == nil || model.ratios.total == 0 || expected <= 0 || h.runs[r].resumed {
		return max(expected-elapsed, 0)
	}
	mean, known := model.ratios.meanAbove(elapsed.Seconds() / expected.Seconds())
	if !known {
		if model.ratios.total < tailPriorRuns {
			return 0
		}
		return elapsed - expected
	}
	return max(seconds(mean*expected.Seconds())-elapsed, 0)
}
