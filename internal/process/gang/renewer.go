package gang

import (
	"context"
	"math"
	"sync"
	"time"

	"corianderpass/pkg/platform"
)

const (
	// LeaseDuration is the shortest duration of a lease. The leases of a gang that began
	// lately have it.
	LeaseDuration = 30 * time.Second
	// MaxLeaseDuration is the longest duration of a lease: the longest interval between
	// two renewals plus the time for retries after it.
	MaxLeaseDuration = maxRenewInterval + retryLeaseDuration
	// retryLeaseDuration is the lease duration that is requested after a renewal without
	// an answer. Each retry may extend the lease although no answer arrives, and the
	// accelerators stay held until it lapses, so the duration must not be long.
	retryLeaseDuration = time.Minute
	// renewalsPerLease is the number of renewals that fall into the duration of a short
	// lease.
	renewalsPerLease = 3
	// renewAgeFraction is the time between two renewals as a fraction of the gang's age.
	// Renewals also report the end of tasks, so the end of a gang is noticed with a
	// delay of about this fraction of its age, and of maxEndDelay at most.
	renewAgeFraction = 1.0 / 60
	// maxRenewalsPerSecond bounds the renewal calls that one process makes in a second.
	maxRenewalsPerSecond = 40
	// minRenewInterval and maxRenewInterval bound the time between two renewals of a
	// worker. The end of a gang must be known within maxEndDelay, so the longest interval
	// leaves time for the tick that is due next, the renewal call and the record of the end.
	minRenewInterval = 500 * time.Millisecond
	maxRenewInterval = maxEndDelay - endRecordTime
	// maxEndDelay is the longest time from the end of a gang until its record.
	maxEndDelay = time.Minute
	// endRecordTime is the time from when a renewal is due until the end that it
	// reports is recorded: a tick of the scheduler, at most renewTimeout for the call, and
	// an append.
	endRecordTime = renewTimeout + time.Second
	// renewTimeout is the timeout of one renewal call.
	renewTimeout = 2 * time.Second
)

// renewer renews the leases of all gangs with one call per worker. It is safe for
// concurrent use.
type renewer struct {
	workers platform.Workers

	mu sync.Mutex
	// leases are the leases to be renewed, by worker.
	leases map[platform.WorkerID]map[platform.LeaseID]*renewal
	// inFlight is set for workers with a renewal call under way.
	inFlight map[platform.WorkerID]bool
	// nextRenewal is when the next renewal call to each worker is due.
	nextRenewal map[platform.WorkerID]time.Time
	// unresponsive is set for workers that did not answer the last renewal call.
	unresponsive map[platform.WorkerID]bool
}

// renewal is a lease that is renewed for a gang.
type renewal struct {
	epoch platform.Epoch
	// heldSince is when this process began to drive the gang.
	heldSince time.Time
	// onSend is called before each renewal call is sent. The call may have no effect, or
	// extend the lease by the duration from any time between sentAt and renewTimeout
	// later.
	onSend func(sentAt time.Time, duration time.Duration)
	// onReport is called when a renewal call was answered, with the time at which the
	// call was sent, the requested duration and the worker's report.
	onReport func(sentAt time.Time, duration time.Duration, r platform.TaskReport)
}

func newRenewer(workers platform.Workers) *renewer {
	return &renewer{
		workers:      workers,
		leases:       map[platform.WorkerID]map[platform.LeaseID]*renewal{},
		inFlight:     map[platform.WorkerID]bool{},
		nextRenewal:  map[platform.WorkerID]time.Time{},
		unresponsive: map[platform.WorkerID]bool{},
	}
}

// add registers a lease for renewal. The next tick renews the worker's leases.
func (r *renewer) add(worker platform.WorkerID, id platform.LeaseID, n *renewal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leases[worker] == nil {
		r.leases[worker] = map[platform.LeaseID]*renewal{}
	}
	r.nextRenewal[worker] = time.Now()
	r.leases[worker][id] = n
}

// remove ends the renewal of a lease, unless it was added again under a newer epoch.
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
		delete(r.nextRenewal, worker)
		delete(r.unresponsive, worker)
	}
}

// renewInterval returns the time until the next renewal of a worker's leases: a fraction
// of the age of its youngest gang, or more if the calls to all workers would exceed
// maxRenewalsPerSecond. The limit on the rate raises the interval to at most a third of
// LeaseDuration, so that a short lease is renewed in time. The lock must be held.
func (r *renewer) renewInterval(now time.Time, worker platform.WorkerID) time.Duration {
	youngest := time.Duration(math.MaxInt64)
	for _, n := range r.leases[worker] {
		youngest = min(youngest, now.Sub(n.heldSince))
	}
	byAge := time.Duration(renewAgeFraction * float64(youngest))
	byRate := min(LeaseDuration/renewalsPerLease, time.Duration(len(r.leases))*time.Second/maxRenewalsPerSecond)
	return min(maxRenewInterval, max(minRenewInterval, byAge, byRate))
}

// leaseDurationFor returns the duration of leases whose next renewal follows after the
// interval. It leaves time for renewalsPerLease renewals or, if the interval is long, for
// one renewal and its retries.
func leaseDurationFor(interval time.Duration) time.Duration {
	return max(LeaseDuration, min(renewalsPerLease*interval, interval+retryLeaseDuration))
}

// tick starts a renewal call to every worker that is due.
func (r *renewer) tick(ctx context.Context, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for worker, renewAt := range r.nextRenewal {
		if now.Before(renewAt) || r.inFlight[worker] {
			continue
		}
		interval := r.renewInterval(now, worker)
		r.nextRenewal[worker] = now.Add(interval)
		r.inFlight[worker] = true
		duration := leaseDurationFor(interval)
		if r.unresponsive[worker] {
			duration = retryLeaseDuration
		}
		go r.renew(ctx, worker, duration, r.batch(worker))
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

func (r *renewer) renew(ctx context.Context, worker platform.WorkerID, duration time.Duration, batch map[platform.LeaseID]*renewal) {
	defer r.markIdle(worker)
	renewals := make([]platform.Renewal, 0, len(batch))
	for id, n := range batch {
		renewals = append(renewals, platform.Renewal{ID: id, Epoch: n.epoch, Life: duration})
	}
	sentAt := time.Now()
	for _, n := range batch {
		n.onSend(sentAt, duration)
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	reports, err := r.workers.Renew(ctx, worker, renewals)
	r.recordAnswer(worker, err == nil)
	if err != nil {
		return
	}
	for _, report := range reports {
		if n := batch[report.ID]; n != nil {
			n.onReport(sentAt, duration, report)
		}
	}
}

// recordAnswer records whether a worker answered a renewal call. A worker that did not is
// called again after minRenewInterval.
func (r *renewer) recordAnswer(worker platform.WorkerID, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unresponsive, worker)
	if _, leased := r.nextRenewal[worker]; leased && !answered {
		r.unresponsive[worker] = true
		r.nextRenewal[worker] = time.Now().Add(minRenewInterval)
	}
}

func (r *renewer) markIdle(worker platform.WorkerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, worker)
}
