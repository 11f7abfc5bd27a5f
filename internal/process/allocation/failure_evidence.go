package allocation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
)

const (
	// faultyFailureRate is the assumed share of failed runs on a faulty worker. It is below 1 so
	// that a single success is not taken as proof that the worker is healthy.
	faultyFailureRate = 0.9
	// failureRatePrior is the failure rate that is assumed for a queue before there are runs, with
	// the weight of failureRatePriorRuns. It is so low that without history two failures in a row
	// suffice for quarantine.
	failureRatePrior     = 0.01
	failureRatePriorRuns = 10
	// maxFailureRateRuns limits the weight of past runs in a queue's failure rate.
	maxFailureRateRuns = 300
	// quarantineEvidence is the evidence above which a worker is quarantined. For a worker without
	// known successes, two failures reach it in queues in which up to 18 of 100 runs fail.
	quarantineEvidence = 3.2
	// healthyEvidence is the lowest evidence, which successes lead to. From there, two failures
	// reach quarantineEvidence in queues in which up to 3.6 of 100 runs fail, three in queues in
	// which up to 10 do.
	healthyEvidence = -quarantineEvidence
	// maxEvidence limits the evidence, so that three successes outweigh any number of failures.
	maxEvidence = 2 * quarantineEvidence
)

// failureRate is the share of failed runs of one queue. The zero value has no runs.
type failureRate struct{ runs, failures float64 }

// add adds the end of a run.
func (f *failureRate) add(failed bool) {
	if f.runs >= maxFailureRateRuns {
		f.runs *= 1 - 1.0/maxFailureRateRuns
		f.failures *= 1 - 1.0/maxFailureRateRuns
	}
	f.runs++
	if failed {
		f.failures++
	}
}

// value returns the failure rate, the prior included.
func (f failureRate) value() float64 {
	return (f.failures + failureRatePrior*failureRatePriorRuns) / (f.runs + failureRatePriorRuns)
}

// failureEvidence is the evidence that the failures of runs are caused by their worker: the
// logarithm of the ratio of the probabilities of the observed ends on a faulty and on a healthy
// worker. It stays between healthyEvidence and maxEvidence, so that only recent ends count.
type failureEvidence struct {
	value float64
	// lastFailed is the job of the last failure, empty after a success. Consecutive failures of one
	// job count once.
	lastFailed workload.JobID
	// rate is the failure rate of the queue of the last counted failure.
	rate float64
}

// addEnd adds the end of a run of a queue with the failure rate.
func (e *failureEvidence) addEnd(failed bool, rate float64) {
	ratio := (1 - faultyFailureRate) / (1 - rate)
	if failed {
		ratio = faultyFailureRate / rate
	}
	e.value = min(max(e.value+math.Log(ratio), healthyEvidence), maxEvidence)
}

// recordEvidence adds the end of a run to the failure rate of its queue and to the evidence against
// its worker; the worker is empty if it is not known.
func (h *History) recordEvidence(j *workload.Job, worker workload.LifeID, failed bool) {
	if h.failureRates == nil {
		h.failureRates = map[bundle.QueueName]*failureRate{}
		h.evidence = map[workload.LifeID]*failureEvidence{}
	}
	rate := h.failureRates[j.Queue]
	if rate == nil {
		rate = &failureRate{}
		h.failureRates[j.Queue] = rate
	}
	evidence := h.evidence[worker]
	if evidence == nil {
		evidence = &failureEvidence{}
		if worker != "" {
			h.evidence[worker] = evidence
		}
	}
	before := rate.value()
	// Further failures in a row on one worker do not count in the rate of the queue. A faulty worker
	// would otherwise raise the rate that its failures are compared with.
	if !failed || evidence.lastFailed == "" {
		rate.add(failed)
	}
	if !failed {
		evidence.lastFailed = ""
		evidence.addEnd(false, before)
		return
	}
	if evidence.lastFailed != j.ID {
		evidence.lastFailed, evidence.rate = j.ID, before
		evidence.addEnd(true, before)
	}
}

// explainsFailures reports whether the failure rates of the queues explain the failures on the
// worker. Failures that this process has not observed are not explained.
func (h *History) explainsFailures(id workload.LifeID) bool {
	evidence := h.evidence[id]
	return evidence != nil && evidence.rate > 0 && evidence.value < quarantineEvidence
}

// pruneEvidence removes the evidence on workers that the state no longer contains.
func (h *History) pruneEvidence(s *workload.State) {
	for id := range h.evidence {
		if s.Worker(id) == nil {
			delete(h.evidence, id)
		}
	}
}

// Quarantine is the decision on a worker on which runs of several jobs have failed in a row, with its
// inputs.
type Quarantine struct {
	Worker workload.LifeID
	// Active is false if the failures are explained by the failure rates of the queues.
	Active bool
	// Left is the time until the quarantine allows a test task; 0 or less if it does already.
	Left time.Duration
	// Failures is the number of failures in a row, consecutive failures of one job counted once.
	Failures int
	// QueueRate is the failure rate of the queue of the last failure, and Evidence the logarithm of
	// the ratio of the probabilities of the ends on a faulty and on a healthy worker. Both are 0 if
	// this process has observed no end on the worker.
	QueueRate, Evidence float64
}

// addQuarantines adds the workers with several failures in a row to the decision.
func (p *plan) addQuarantines() {
	for id, observed := range p.History.workers {
		w := p.State.Worker(id)
		if w == nil || w.Gone || w.FailureStreak < quarantineFailures {
			continue
		}
		q := Quarantine{Worker: id, Active: observed.quarantined, Failures: w.FailureStreak}
		if q.Active {
			q.Left = observed.quarantinedUntil - p.Now
		}
		if e := p.History.evidence[id]; e != nil {
			q.QueueRate, q.Evidence = e.rate, e.value
		}
		p.decision.Quarantines = append(p.decision.Quarantines, q)
	}
	slices.SortFunc(p.decision.Quarantines, func(a, b Quarantine) int { return cmp.Compare(a.Worker, b.Worker) })
}
