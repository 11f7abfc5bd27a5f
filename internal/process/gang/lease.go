package gang

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

// acquireAll takes every lease. It waits while others still hold the
// accelerators, for at most the reclaim bound.
func (g *gang) acquireAll(ctx context.Context) ([]platform.WorkerID, error) {
	ctx, cancel := context.WithTimeout(ctx, g.driver.reclaimBound())
	defer cancel()
	err := g.each(ctx, g.acquire)
	return g.awayOf(err), err
}

func (g *gang) acquire(ctx context.Context, task int, a ledger.Assignment) error {
	lease := platform.Lease{
		ID: g.job.LeaseID(task), Epoch: g.job.Epoch, Life: LeaseDuration,
		Claim: platform.Claim{Accelerators: a.Accelerators, Cores: g.job.Cores, Memory: g.job.Memory},
	}
	failures := 0
	for {
		if g.stopping() {
			return errors.New("gang: asked to stop")
		}
		asked := time.Now()
		g.mu.Lock()
		g.mayLast(task, asked.Add(callTimeout+LeaseDuration))
		g.mu.Unlock()
		err := g.call(ctx, func(ctx context.Context) error { return g.driver.workers.Acquire(ctx, a.Worker, lease) })
		switch {
		case err == nil:
			g.hold(task, a, asked)
			return nil
		case errors.Is(err, platform.ErrFenced):
			return fmt.Errorf("gang: acquire on %s: %w", a.Worker, err)
		case !errors.Is(err, platform.ErrTaken):
			failures++
		}
		if failures >= awayAfter {
			return &awayError{worker: a.Worker, cause: err}
		}
		if !pause(ctx, retryPause) {
			return fmt.Errorf("gang: acquire on %s: %w", a.Worker, err)
		}
	}
}

// awayError tells that a worker did not answer.
type awayError struct {
	worker platform.WorkerID
	cause  error
}

func (e *awayError) Error() string {
	return fmt.Sprintf("gang: worker %s is away: %v", e.worker, e.cause)
}

func (e *awayError) Unwrap() error { return e.cause }

func (g *gang) awayOf(err error) []platform.WorkerID {
	var away *awayError
	if errors.As(err, &away) {
		return []platform.WorkerID{away.worker}
	}
	return nil
}

// hold notes a taken lease and begins to renew it.
func (g *gang) hold(task int, a ledger.Assignment, asked time.Time) {
	g.mu.Lock()
	g.prolong(task, asked, LeaseDuration)
	g.mu.Unlock()
	g.driver.renewer.add(a.Worker, g.job.LeaseID(task), &renewal{
		epoch: g.job.Epoch,
		since: g.driver.began(g.job.ID, g.job.Epoch),
		asking: func(asked time.Time, life time.Duration) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.mayLast(task, asked.Add(renewTimeout+life))
			g.stopAt[task] = earlier(g.stopAt[task], stopAfter(asked, life))
		},
		report: func(asked time.Time, life time.Duration, r platform.TaskReport) {
			g.mu.Lock()
			defer g.mu.Unlock()
			if r.State != platform.TaskGone {
				g.prolong(task, asked, life)
			} else {
				// A worker that lost the lease still kept the checkpoint.
				r.Progress = g.reports[task].Progress
			}
			g.reports[task] = r
		},
	})
}

// mayLast notes that a call may make the lease last until the moment. The lock
// must be held.
func (g *gang) mayLast(task int, lapses time.Time) {
	if lapses.After(g.validUntil[task]) {
		g.validUntil[task] = lapses
	}
}

// prolong notes a lease that was taken or renewed at the moment. The lock must be held.
func (g *gang) prolong(task int, asked time.Time, life time.Duration) {
	g.mayLast(task, asked.Add(life))
	g.stopAt[task] = stopAfter(asked, life)
}

// stopAfter returns when a gang must be stopped whose lease was last prolonged at
// the moment.
func stopAfter(asked time.Time, life time.Duration) time.Time {
	return asked.Add(time.Duration(lapseShare * float64(life)))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// releaseAll stops every part. A worker that does not answer ends its part when
// the lease lapses, so the call returns only when every part is stopped or has
// lapsed by the own clock.
func (g *gang) releaseAll(ctx context.Context) {
	g.stopRenewing()
	_ = g.each(ctx, func(ctx context.Context, task int, a ledger.Assignment) error {
		for {
			err := g.call(ctx, func(ctx context.Context) error {
				return g.driver.workers.Release(ctx, a.Worker, g.job.LeaseID(task), g.job.Epoch)
			})
			if err == nil || errors.Is(err, platform.ErrFenced) || g.lapsed(task) {
				return nil
			}
			if !pause(ctx, retryPause) {
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

// lapsed tells whether the task's lease has ended on its worker for certain. One
// that this process never held may have been taken by a driver before it.
func (g *gang) lapsed(task int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	until := g.validUntil[task]
	if until.IsZero() {
		until = g.driver.began(g.job.ID, g.job.Epoch).Add(MaxLeaseDuration)
	}
	return time.Now().After(until)
}
