package gang

import (
	"context"
	"sync"
	"time"

	"corianderpass/pkg/platform"
)

const (
	// LeaseLife is how long a lease lasts without renewal.
	LeaseLife = 30 * time.Second
	// renewalRate is the most renewal calls that one process makes in a second.
	renewalRate = 40
	// minRenewEvery and maxRenewEvery bound the time between two renewals of a worker.
	minRenewEvery = 500 * time.Millisecond
	maxRenewEvery = 10 * time.Second
	// renewTimeout bounds one renewal call.
	renewTimeout = 2 * time.Second
)

// renewer prolongs the leases of many gangs with one call for each worker. It is
// safe for concurrent use.
type renewer struct {
	workers platform.Workers

	mu sync.Mutex
	// leases has every lease to be renewed.
	leases map[platform.WorkerID]map[platform.LeaseID]*renewal
	// busy workers have a call under way.
	busy map[platform.WorkerID]bool
	due  map[platform.WorkerID]time.Time
}

// renewal is one lease under renewal.
type renewal struct {
	epoch platform.Epoch
	// report is called with the moment before the call and the worker's word.
	report func(asked time.Time, r platform.TaskReport)
}

func newRenewer(workers platform.Workers) *renewer {
	return &renewer{
		workers: workers,
		leases:  map[platform.WorkerID]map[platform.LeaseID]*renewal{},
		busy:    map[platform.WorkerID]bool{},
		due:     map[platform.WorkerID]time.Time{},
	}
}

// add begins to renew a lease.
func (r *renewer) add(worker platform.WorkerID, id platform.LeaseID, n *renewal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leases[worker] == nil {
		r.leases[worker] = map[platform.LeaseID]*renewal{}
		r.due[worker] = time.Now()
	}
	r.leases[worker][id] = n
}

// remove ends the renewal of a lease, unless a newer epoch has taken it over.
func (r *renewer) remove(worker platform.WorkerID, id platform.LeaseID, epoch platform.Epoch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.leases[worker][id]
	if n == nil || n.epoch > epoch {
		return
	}
	delete(r.leases[worker], id)
	if len(r.leases[worker]) == 0 {
		delete(r.leases, worker)
		delete(r.due, worker)
	}
}

// every returns the time between renewals of one worker: short with few
// workers, longer with many, so that the rate of calls stays bounded.
func (r *renewer) every() time.Duration {
	spread := time.Duration(len(r.leases)) * time.Second / renewalRate
	return min(maxRenewEvery, max(minRenewEvery, spread))
}

// tick begins a renewal of every worker that is due.
func (r *renewer) tick(ctx context.Context, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	every := r.every()
	for worker, at := range r.due {
		if now.Before(at) || r.busy[worker] {
			continue
		}
		r.due[worker] = now.Add(every)
		r.busy[worker] = true
		go r.renew(ctx, worker, r.batch(worker))
	}
}

// batch copies the leases of a worker. The lock must be held.
func (r *renewer) batch(worker platform.WorkerID) map[platform.LeaseID]*renewal {
	batch := make(map[platform.LeaseID]*renewal, len(r.leases[worker]))
	for id, n := range r.leases[worker] {
		batch[id] = n
	}
	return batch
}

func (r *renewer) renew(ctx context.Context, worker platform.WorkerID, batch map[platform.LeaseID]*renewal) {
	defer r.done(worker)
	calls := make([]platform.Renewal, 0, len(batch))
	for id, n := range batch {
		calls = append(calls, platform.Renewal{ID: id, Epoch: n.epoch, Life: LeaseLife})
	}
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	reports, err := r.workers.Renew(ctx, worker, calls)
	if err != nil {
		return
	}
	for _, report := range reports {
		if n := batch[report.ID]; n != nil {
			n.report(asked, report)
		}
	}
}

func (r *renewer) done(worker platform.WorkerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, worker)
}
