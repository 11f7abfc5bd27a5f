package gang

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

// acquireAll acquires every lease. While leases of other jobs still hold the accelerators,
// it retries for at most maxReclaimTime in all. If it fails because a worker is
// unreachable, it also returns that worker.
func (g *gang) acquireAll(ctx context.Context) ([]platform.WorkerID, error) {
	ctx, cancel := context.WithTimeout(ctx, g.driver.maxReclaimTime())
	defer cancel()
	err := g.forEachTask(ctx, g.acquire)
	return g.unreachableWorkers(err), err
}

// acquire acquires the lease of one task. It retries while another lease holds the
// accelerators, and after fewer than maxCallFailures other errors.
func (g *gang) acquire(ctx context.Context, task int, a ledger.Assignment) error {
	lease := platform.Lease{
		ID: g.job.LeaseID(task), Epoch: g.job.Epoch, Life: LeaseDuration,
		Claim: platform.Claim{Accelerators: a.Accelerators, Cores: g.job.Cores, Memory: g.job.Memory},
	}
	failures := 0
	for {
		if g.stopping() {
			return errors.New("gang: stop requested")
		}
		sentAt := time.Now()
		g.mu.Lock()
		g.extendLapse(task, sentAt.Add(callTimeout+LeaseDuration))
		g.mu.Unlock()
		err := g.callWorker(ctx, func(ctx context.Context) error { return g.driver.workers.Acquire(ctx, a.Worker, lease) })
		switch {
		case err == nil:
			g.trackLease(task, a, sentAt)
			return nil
		case errors.Is(err, platform.ErrFenced):
			return fmt.Errorf("gang: acquire on %s: %w", a.Worker, err)
		case !errors.Is(err, platform.ErrTaken):
			failures++
		}
		if failures >= maxCallFailures {
			return &unreachableError{worker: a.Worker, cause: err}
		}
		if !sleep(ctx, retryDelay) {
			return fmt.Errorf("gang: acquire on %s: %w", a.Worker, err)
		}
	}
}

// unreachableError is returned when a worker did not answer maxCallFailures calls.
type unreachableError struct {
	worker platform.WorkerID
	cause  error
}

func (e *unreachableError) Error() string {
	return fmt.Sprintf("gang: worker %s is unreachable: %v", e.worker, e.cause)
}

func (e *unreachableError) Unwrap() error { return e.cause }

func (g *gang) unreachableWorkers(err error) []platform.WorkerID {
	var unreachable *unreachableError
	if errors.As(err, &unreachable) {
		return []platform.WorkerID{unreachable.worker}
	}
	return nil
}

// trackLease records that the lease of a task was acquired by a call sent at sentAt, and
// registers it with the renewer.
func (g *gang) trackLease(task int, a ledger.Assignment, sentAt time.Time) {
	g.mu.Lock()
	g.recordRenewal(task, sentAt, LeaseDuration)
	g.mu.Unlock()
	g.driver.renewer.add(a.Worker, g.job.LeaseID(task), &renewal{
		epoch:     g.job.Epoch,
		heldSince: g.driver.startTime(g.job.ID, g.job.Epoch),
		onSend: func(sentAt time.Time, duration time.Duration) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.extendLapse(task, sentAt.Add(renewTimeout+duration))
			g.stopAt[task] = earlier(g.stopAt[task], stopTime(sentAt, duration))
		},
		onReport: func(sentAt time.Time, duration time.Duration, r platform.TaskReport) {
			g.mu.Lock()
			defer g.mu.Unlock()
			if r.State != platform.TaskGone {
				g.recordRenewal(task, sentAt, duration)
			} else {
				// The checkpoint is kept after the lease has ended, so the last reported
				// progress stays valid.
				r.Progress = g.reports[task].Progress
			}
			g.reports[task] = r
		},
	})
}

// extendLapse records that a call may extend the task's lease until the time lapse. The
// lock must be held.
func (g *gang) extendLapse(task int, lapse time.Time) {
	if lapse.After(g.lapsedBy[task]) {
		g.lapsedBy[task] = lapse
	}
}

// recordRenewal records that the task's lease was acquired or renewed for the duration by
// a call sent at sentAt. The lock must be held.
func (g *gang) recordRenewal(task int, sentAt time.Time, duration time.Duration) {
	g.extendLapse(task, sentAt.Add(duration))
	g.stopAt[task] = stopTime(sentAt, duration)
}

// stopTime returns when a gang must be stopped if its lease, renewed for the duration by
// a call sent at sentAt, is not renewed again.
func stopTime(sentAt time.Time, duration time.Duration) time.Time {
	return sentAt.Add(time.Duration(stopLeaseFraction * float64(duration)))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// releaseAll stops every task by releasing its lease. A worker that does not answer ends
// its task when the lease lapses. So releaseAll returns only when every lease is released
// or has lapsed by this process's clock, or when the context ends.
func (g *gang) releaseAll(ctx context.Context) {
	g.stopRenewing()
	_ = g.forEachTask(ctx, func(ctx context.Context, task int, a ledger.Assignment) error {
		for {
			err := g.callWorker(ctx, func(ctx context.Context) error {
				return g.driver.workers.Release(ctx, a.Worker, g.job.LeaseID(task), g.job.Epoch)
			})
			if err == nil || errors.Is(err, platform.ErrFenced) || g.hasLapsed(task) {
				return nil
			}
			if !sleep(ctx, retryDelay) {
				return nil
			}
		}
	})
}

func (g *gang) stopRenewing() {
	for task, a := range g.job.Assignments {
		g.driver.renewer.remove(a.Worker, g.job.LeaseID(task), g.job.Epoch)
	}
}

// hasLapsed reports whether the task's lease has certainly ended on its worker. If this
// process has not tried to acquire the lease, an earlier driver may have renewed it, for
// MaxLeaseDuration at most, until this process began to drive the gang.
func (g *gang) hasLapsed(task int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	lapse := g.lapsedBy[task]
	if lapse.IsZero() {
		lapse = g.driver.startTime(g.job.ID, g.job.Epoch).Add(MaxLeaseDuration)
	}
	return time.Now().After(lapse)
}
