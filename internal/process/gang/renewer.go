package gang

import (
	"context"
	"math"
	"sync"
	"time"

	"corianderpass/pkg/platform"
)

const (
	// LeaseDuration is how long the lease of a young gang lasts without renewal.
	LeaseDuration = 30 * time.Second
	// MaxLeaseDuration is how long that of an old one lasts.
	MaxLeaseDuration = maxRenewEvery + retryLife
	// retryLife is the life that is asked for again after a renewal without an
	// answer. Each try may prolong the lease unseen, so it must not be long.
	retryLife = time.Minute
	// livesPerRenewal is how many renewals are due in the life of a short lease.
	livesPerRenewal = 3
	// ageShare is the share of its age after which a gang is renewed again: old
	// gangs are renewed rarely, and their end is noticed late by less than this.
	ageShare = 1.0 / 60
	// renewalRate is the most renewal calls that one process makes in a second.
	renewalRate = 40
	// minRenewEvery and maxRenewEvery bound the time between two renewals of a worker.
	minRenewEvery = 500 * time.Millisecond
	maxRenewEvery = time.Minute
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
	// silent workers did not answer the last call.
	silent map[platform.WorkerID]bool
}

// renewal is one lease under renewal.
type renewal struct {
	epoch platform.Epoch
	// since is when the gang was first held here.
	since time.Time
	// asking is called before a call: from now on the lease may have the life from
	// this moment, or from as late as renewTimeout after it, or may be as before.
	asking func(asked time.Time, life time.Duration)
	// report is called with the moment before the call, the life that was asked
	// for, and the worker's word.
	report func(asked time.Time, life time.Duration, r platform.TaskReport)
}

func newRenewer(workers platform.Workers) *renewer {
	return &renewer{
		workers: workers,
		leases:  map[platform.WorkerID]map[platform.LeaseID]*renewal{},
		busy:    map[platform.WorkerID]bool{},
		due:     map[platform.WorkerID]time.Time{},
		silent:  map[platform.WorkerID]bool{},
	}
}

// add begins to renew a lease.
func (r *renewer) add(worker platform.WorkerID, id platform.LeaseID, n *renewal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leases[worker] == nil {
		r.leases[worker] = map[platform.LeaseID]*renewal{}
	}
	r.due[worker] = time.Now()
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
		delete(r.silent, worker)
	}
}

// every returns the time to the next renewal of a worker: a share of the age of
// its youngest gang, and with many workers more, so that the rate of calls stays
// bounded. A lease of the least life must not lapse before it.
func (r *renewer) every(now time.Time, worker platform.WorkerID) time.Duration {
	youngest := time.Duration(math.MaxInt64)
	for _, n := range r.leases[worker] {
		youngest = min(youngest, now.Sub(n.since))
	}
	byAge := time.Duration(ageShare * float64(youngest))
	byRate := min(LeaseDuration/livesPerRenewal, time.Duration(len(r.leases))*time.Second/renewalRate)
	return min(maxRenewEvery, max(minRenewEvery, byAge, byRate))
}

// lifeFor returns the life of leases that are renewed after the time: room for
// several renewals, or for one and the tries after it.
func lifeFor(every time.Duration) time.Duration {
	return max(LeaseDuration, min(livesPerRenewal*every, every+retryLife))
}

// tick begins a renewal of every worker that is due.
func (r *renewer) tick(ctx context.Context, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for worker, at := range r.due {
		if now.Before(at) || r.busy[worker] {
			continue
		}
		every := r.every(now, worker)
		r.due[worker] = now.Add(every)
		r.busy[worker] = true
		life := lifeFor(every)
		if r.silent[worker] {
			life = retryLife
		}
		go r.renew(ctx, worker, life, r.batch(worker))
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

func (r *renewer) renew(ctx context.Context, worker platform.WorkerID, life time.Duration, batch map[platform.LeaseID]*renewal) {
	defer r.done(worker)
	calls := make([]platform.Renewal, 0, len(batch))
	for id, n := range batch {
		calls = append(calls, platform.Renewal{ID: id, Epoch: n.epoch, Life: life})
	}
	asked := time.Now()
	for _, n := range batch {
		n.asking(asked, life)
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	reports, err := r.workers.Renew(ctx, worker, calls)
	r.answered(worker, err == nil)
	if err != nil {
		return
	}
	for _, report := range reports {
		if n := batch[report.ID]; n != nil {
			n.report(asked, life, report)
		}
	}
}

// answered notes whether a worker answered. One that did not is asked again after
// the least time.
func (r *renewer) answered(worker platform.WorkerID, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.silent, worker)
	if _, leased := r.due[worker]; leased && !answered {
		r.silent[worker] = true
		r.due[worker] = time.Now().Add(minRenewEvery)
	}
}

func (r *renewer) done(worker platform.WorkerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, worker)
}
