package experiment

import (
	"slices"
	"time"

	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

const (
	// waveEvery is the time between two waves of cancellations, waveShare the
	// share of jobs that each cancels.
	waveEvery = 8 * time.Hour
	waveShare = 0.1
	// lossEvery is the time between two losses of a worker, rackLossEvery of a rack.
	lossEvery     = 12 * time.Hour
	rackLossEvery = 30 * time.Hour
	// lossLength is how long a loss lasts.
	lossLength = time.Hour
	// failEvery is the time between two spells in which a worker fails every
	// task, failLength how long a spell lasts.
	failEvery  = 10 * time.Hour
	failLength = 90 * time.Minute
)

// planFaults plans waves, losses and failing workers for the whole run.
func (r *runner) planFaults() {
	w := r.workload
	for at := waveEvery; at < w.Length; at += waveEvery {
		r.after(at, r.cancelWave)
	}
	for at := lossEvery; at < w.Length; at += lossEvery {
		i := r.random.IntN(w.Workers)
		r.after(at, func() { r.lose(i, i+1) })
	}
	for at := rackLossEvery; at < w.Length; at += rackLossEvery {
		rack := r.random.IntN((w.Workers + workersPerRack - 1) / workersPerRack)
		r.after(at, func() { r.lose(rack*workersPerRack, min(w.Workers, (rack+1)*workersPerRack)) })
	}
	for at := failEvery; at < w.Length; at += failEvery {
		id := w.describe()[r.random.IntN(w.Workers)].ID
		r.after(at, func() { r.failing[id] = true })
		r.after(at+failLength, func() { delete(r.failing, id) })
	}
}

// cancelWave cancels a share of all jobs that have not ended.
func (r *runner) cancelWave() {
	for _, j := range r.state.Active(func(j *ledger.Job) bool { return !j.Cancelled && j.Class != ledger.ClassUrgent }) {
		if r.random.Float64() >= waveShare {
			continue
		}
		id, epoch := j.ID, j.Epoch
		if r.apply(ledger.Record{Cancel: &ledger.Cancel{Job: id}}) != nil {
			continue
		}
		if j.HoldsAccelerators() {
			r.after(yieldDelay, func() { r.stop(id, epoch, true, nil) })
		}
		r.noteEnd(id)
	}
}

// lose takes workers away for a while; what ran there starts anew.
func (r *runner) lose(from, to int) {
	lost := r.workload.describe()[from:to]
	var ids []platform.WorkerID
	for _, w := range lost {
		ids = append(ids, w.ID)
	}
	_ = r.apply(ledger.Record{Observe: &ledger.Observe{Lost: ids}})
	for _, j := range r.state.Active(func(j *ledger.Job) bool { return j.HoldsAccelerators() && touches(j, ids) }) {
		r.stop(j.ID, j.Epoch, false, nil)
	}
	r.after(lossLength, func() { _ = r.apply(ledger.Record{Observe: &ledger.Observe{Joined: lost}}) })
}

func touches(j *ledger.Job, ids []platform.WorkerID) bool {
	return slices.ContainsFunc(j.Assignments, func(a ledger.Assignment) bool { return slices.Contains(ids, a.Worker) })
}
