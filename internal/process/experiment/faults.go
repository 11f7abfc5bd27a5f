package experiment

import (
	"slices"
	"time"

	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

const (
	// Every cancelInterval, each open job other than claims is cancelled with the
	// probability cancelShare.
	cancelInterval = 8 * time.Hour
	cancelShare    = 0.1
	// workerLossInterval is the time between two losses of a single random worker, and
	// rackLossInterval the time between two losses of all workers of a random rack.
	workerLossInterval = 12 * time.Hour
	rackLossInterval   = 30 * time.Hour
	// lossDuration is the time after which a lost worker joins again.
	lossDuration = time.Hour
	// Every failureInterval, a random worker begins to fail: all jobs that start on it
	// within failureDuration fail.
	failureInterval = 10 * time.Hour
	failureDuration = 90 * time.Minute
)

// scheduleFaults schedules cancellations, losses and failing workers for the whole
// experiment.
func (e *experiment[P]) scheduleFaults() {
	w := e.workload
	for at := cancelInterval; at < w.Length; at += cancelInterval {
		e.schedule(at, e.cancelJobs)
	}
	for at := workerLossInterval; at < w.Length; at += workerLossInterval {
		i := e.random.IntN(w.Workers)
		e.schedule(at, func() { e.loseWorkers(i, i+1) })
	}
	for at := rackLossInterval; at < w.Length; at += rackLossInterval {
		rack := e.random.IntN((w.Workers + workersPerRack - 1) / workersPerRack)
		e.schedule(at, func() { e.loseWorkers(rack*workersPerRack, min(w.Workers, (rack+1)*workersPerRack)) })
	}
	for at := failureInterval; at < w.Length; at += failureInterval {
		id := w.newWorkers()[e.random.IntN(w.Workers)].ID
		e.schedule(at, func() { e.failingWorkers[id] = true })
		e.schedule(at+failureDuration, func() { delete(e.failingWorkers, id) })
	}
}

// cancelJobs cancels each job that has not ended with the probability cancelShare, except
// urgent claims of guarantees.
func (e *experiment[P]) cancelJobs() {
	for _, j := range e.state.Active(func(j *ledger.Job) bool { return !j.Cancelled && j.Class != ledger.ClassUrgent }) {
		if e.random.Float64() >= cancelShare {
			continue
		}
		id, epoch := j.ID, j.Epoch
		if e.apply(ledger.Record{Cancel: &ledger.Cancel{Job: id}}) != nil {
			continue
		}
		if j.HoldsAccelerators() {
			e.schedule(stopDelay, func() { e.stop(id, epoch, true, nil) })
		}
		e.recordEnd(id)
	}
}

// loseWorkers removes the workers with the indices first to end-1 for lossDuration.
// Gangs on them stop without a checkpoint.
func (e *experiment[P]) loseWorkers(first, end int) {
	lost := e.workload.newWorkers()[first:end]
	var ids []platform.WorkerID
	for _, w := range lost {
		ids = append(ids, w.ID)
	}
	_ = e.apply(ledger.Record{Observe: &ledger.Observe{Lost: ids}})
	for _, j := range e.state.Active(func(j *ledger.Job) bool { return j.HoldsAccelerators() && usesAny(j, ids) }) {
		e.stop(j.ID, j.Epoch, false, nil)
	}
	e.schedule(lossDuration, func() { _ = e.apply(ledger.Record{Observe: &ledger.Observe{Joined: lost}}) })
}

// usesAny reports whether the job has an assignment on one of the workers.
func usesAny(j *ledger.Job, ids []platform.WorkerID) bool {
	return slices.ContainsFunc(j.Assignments, func(a ledger.Assignment) bool { return slices.Contains(ids, a.Worker) })
}
