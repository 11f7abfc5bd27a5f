package gang

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

const (
	// callTimeout is the timeout of one call to a worker.
	callTimeout = 2 * time.Second
	// parallelCalls is the maximum number of concurrent calls to workers for one gang.
	parallelCalls = 32
	// retryDelay is the pause before a call to a worker or a proposal is repeated.
	retryDelay = 50 * time.Millisecond
	// stopLeaseFraction is the fraction of a lease's duration after which the whole gang
	// is stopped if the lease was not renewed. The rest of the duration is for stopping
	// the other tasks before the lease lapses and the worker ends its task.
	stopLeaseFraction = 2.0 / 3
	// watchInterval is the time between two checks of a running gang.
	watchInterval = 100 * time.Millisecond
	// maxCallFailures is the number of failed calls after which a worker counts as
	// unreachable.
	maxCallFailures = 3
	// releaseTimeout is the longest time spent on releasing the leases of a gang that
	// succeeded. Leases that are not released by then lapse.
	releaseTimeout = 10 * time.Second
	// proposeTimeout is the longest wait for the verdict on one proposal.
	proposeTimeout = 5 * time.Second
)

// gang drives one job under one epoch, from the acquisition of its leases to its end.
type gang struct {
	driver *Driver
	job    ledger.Job
	// takenOver is set for a gang that another driver started. If no task runs under one
	// of its leases, that lease had lapsed before it was taken over.
	takenOver bool

	mu sync.Mutex
	// reports are the newest reports, by task.
	reports []platform.TaskReport
	// lapsedBy is, for each task, the time after which its lease has certainly lapsed. A
	// renewal call without an answer counts as if it had renewed the lease. stopAt is,
	// for each task, when the gang must be stopped unless the lease is renewed before.
	lapsedBy, stopAt []time.Time
	// memoryExcess says which task uses too much memory; empty if none does. If it is
	// set, watch ends the gang.
	memoryExcess string
	// stop is closed when the ledger is stopping the gang.
	stop     chan struct{}
	stopOnce sync.Once
}

func newGang(d *Driver, j ledger.Job) *gang {
	return &gang{
		driver:   d,
		job:      j,
		reports:  make([]platform.TaskReport, len(j.Assignments)),
		lapsedBy: make([]time.Time, len(j.Assignments)),
		stopAt:   make([]time.Time, len(j.Assignments)),
		stop:     make(chan struct{}),
	}
}

// requestStop makes the gang stop. Further calls have no effect.
func (g *gang) requestStop() { g.stopOnce.Do(func() { close(g.stop) }) }

func (g *gang) stopping() bool {
	select {
	case <-g.stop:
		return true
	default:
		return false
	}
}

// run drives the gang until it holds no lease or the context ends.
func (g *gang) run(ctx context.Context) {
	switch g.job.Phase {
	case ledger.PhaseReserved:
		g.acquireAndStart(ctx)
	case ledger.PhaseRunning:
		g.takeOver(ctx)
	case ledger.PhaseStopping:
		g.stopOnRequest(ctx)
	}
}

// acquireAndStart acquires every lease, commits, starts the tasks and watches them.
func (g *gang) acquireAndStart(ctx context.Context) {
	unreachable, err := g.acquireAll(ctx)
	if err != nil {
		g.abort(ctx, err, unreachable)
		return
	}
	if err := g.commit(ctx); err != nil {
		g.abort(ctx, err, nil)
		return
	}
	err = g.forEachTask(ctx, func(ctx context.Context, task int, a ledger.Assignment) error {
		t := platform.Task{Command: g.job.Command, Resume: g.job.Progress}
		return g.driver.workers.Start(ctx, a.Worker, g.job.LeaseID(task), g.job.Epoch, t)
	})
	if err != nil {
		g.stopWithCheckpoint(ctx, ledger.Stopped{Reason: fmt.Sprintf("start: %v", err), Away: g.unreachableWorkers(err)})
		return
	}
	g.watch(ctx)
}

// commit records that every lease is held. It repeats the record while its fate is
// unknown: tasks started without the record, or a record without tasks, would make the
// ledger and the workers disagree on whether the gang runs.
func (g *gang) commit(ctx context.Context) error {
	for {
		err := g.propose(ctx, ledger.Record{Commit: &ledger.Commit{Job: g.job.ID, Epoch: g.job.Epoch}})
		if err == nil || g.commitTookEffect(err) {
			g.job.Phase = ledger.PhaseRunning
			g.job.Ran = true
			return nil
		}
		if isRejected(err) || !sleep(ctx, retryDelay) {
			return err
		}
	}
}

// commitTookEffect reports whether the ledger rejected a repeated commit because an
// earlier one, whose fate was unknown, had taken effect.
func (g *gang) commitTookEffect(err error) bool {
	j, known := g.driver.lookup(g.job.ID)
	return isRejected(err) && known && j.Epoch == g.job.Epoch && j.Phase == ledger.PhaseRunning
}

// superseded reports whether the ledger has assigned the gang to a newer epoch.
func (g *gang) superseded() bool {
	j, known := g.driver.lookup(g.job.ID)
	return known && j.Epoch > g.job.Epoch
}

// takeOver acquires the leases of a running gang under this driver's epoch.
func (g *gang) takeOver(ctx context.Context) {
	unreachable, err := g.acquireAll(ctx)
	if err != nil {
		g.stopWithCheckpoint(ctx, ledger.Stopped{Reason: fmt.Sprintf("take over: %v", err), Away: unreachable})
		return
	}
	g.takenOver = true
	g.watch(ctx)
}

// gangStatus is the state of a gang as a whole. At most one of the flags is set; task is
// the task that failed or whose lease was lost or is expiring.
type gangStatus struct {
	succeeded, failed, leaseLost, leaseExpiring bool
	task                                        int
	errorText                                   string
}

// status returns the state of the gang by the newest reports of its tasks.
func (g *gang) status(now time.Time) gangStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	done := 0
	for task, r := range g.reports {
		switch {
		case r.State == platform.TaskFailed:
			return gangStatus{failed: true, task: task, errorText: r.Error}
		case r.State == platform.TaskGone, r.State == platform.TaskHeld && g.takenOver:
			return gangStatus{leaseLost: true, task: task}
		case now.After(g.stopAt[task]):
			return gangStatus{leaseExpiring: true, task: task}
		case r.State == platform.TaskSucceeded:
			done++
		}
	}
	return gangStatus{succeeded: done == len(g.reports)}
}

// watch checks a running gang, and makes its regular checkpoints, until it ends or must
// be stopped.
func (g *gang) watch(ctx context.Context) {
	started := time.Now()
	checkpointedAt := started
	for {
		status := g.status(time.Now())
		worker := g.job.Assignments[status.task].Worker
		switch {
		case status.succeeded:
			g.finish(ctx, ledger.Finish{RanTime: g.totalRunTime(started)})
			return
		case status.failed:
			g.finish(ctx, ledger.Finish{Failed: true, Error: status.errorText, Worker: worker})
			return
		case status.leaseLost:
			g.stopWithCheckpoint(ctx, ledger.Stopped{Reason: fmt.Sprintf("lease on %s was lost", worker), Crashed: g.hasCrashed(status.task, time.Now())})
			return
		case status.leaseExpiring:
			g.stopWithCheckpoint(ctx, ledger.Stopped{Reason: fmt.Sprintf("worker %s does not answer", worker), Away: []platform.WorkerID{worker}})
			return
		case g.stopping():
			g.stopOnRequest(ctx)
			return
		case g.memoryExcessReason() != "":
			g.finishOversized(ctx, g.memoryExcessReason())
			return
		}
		if every := g.driver.currentRules().CheckpointEvery; every > 0 && time.Since(checkpointedAt) >= every {
			checkpointedAt = time.Now()
			_ = g.checkpoint(ctx)
		}
		if !sleep(ctx, watchInterval) {
			return
		}
	}
}

// totalRunTime returns how long the job has run, including the progress of earlier runs.
func (g *gang) totalRunTime(started time.Time) time.Duration {
	start := started
	if g.job.Phase == ledger.PhaseRunning && !g.job.Started.IsZero() {
		start = g.job.Started
	}
	return g.job.Progress + time.Since(start)
}

// finish ends a gang whose tasks have all succeeded or one of whose tasks has failed. A
// success is recorded before the leases are released: if the driver released them and
// crashed before the record, the next driver would find no leases and start the gang
// again. A failed gang may be placed again as soon as its end is recorded, so its tasks
// are stopped before that.
func (g *gang) finish(ctx context.Context, f ledger.Finish) {
	f.Job = g.job.ID
	f.Epoch = g.job.Epoch
	if f.Failed {
		g.releaseAll(ctx)
		g.recordEnd(ctx, ledger.Record{Finish: &f})
		return
	}
	g.recordEnd(ctx, ledger.Record{Finish: &f})
	if ctx.Err() != nil && !g.ended() || g.superseded() {
		return
	}
	// Tick cancels the gang once its end is recorded, but its leases are still held and
	// must be released.
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	g.releaseAll(releaseCtx)
}

// ended reports whether the ledger has recorded the end of the gang under this epoch.
func (g *gang) ended() bool {
	j, known := g.driver.lookup(g.job.ID)
	return known && j.Epoch == g.job.Epoch && j.Phase == ledger.PhaseEnded
}

// stopOnRequest stops the gang because the ledger requests it. A gang that has run saves
// a checkpoint first.
func (g *gang) stopOnRequest(ctx context.Context) {
	if !g.job.Ran && g.job.Phase != ledger.PhaseRunning {
		g.abort(ctx, errors.New("gang: stop requested"), nil)
		return
	}
	g.stopWithCheckpoint(ctx, ledger.Stopped{Reason: "stop requested"})
}

// stopWithCheckpoint saves a checkpoint, stops every task and proposes the record, with the job, epoch and
// progress filled in.
func (g *gang) stopWithCheckpoint(ctx context.Context, s ledger.Stopped) {
	s.Job, s.Epoch = g.job.ID, g.job.Epoch
	s.Progress = g.checkpoint(ctx)
	g.releaseAll(ctx)
	g.recordEnd(ctx, ledger.Record{Stopped: &s})
}

// hasCrashed reports whether the worker of the task has crashed: it does not know the lease, although that
// must still be held.
func (g *gang) hasCrashed(task int, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reports[task].State == platform.TaskGone && now.Before(g.stopAt[task])
}

// abort releases the leases of a gang that never ran and records why.
func (g *gang) abort(ctx context.Context, cause error, unreachable []platform.WorkerID) {
	g.releaseAll(ctx)
	g.recordEnd(ctx, ledger.Record{Abort: &ledger.Abort{
		Job: g.job.ID, Epoch: g.job.Epoch, Reason: cause.Error(), Away: unreachable,
	}})
}

// recordEnd records the end of the gang under this epoch. It retries as long as the log
// is down, since the ledger reserves the gang's accelerators until then.
func (g *gang) recordEnd(ctx context.Context, r ledger.Record) {
	for ctx.Err() == nil {
		err := g.propose(ctx, r)
		if err == nil {
			return
		}
		if isRejected(err) {
			return
		}
		sleep(ctx, retryDelay)
	}
}

func (g *gang) propose(ctx context.Context, r ledger.Record) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return g.driver.propose(ctx, r)
}

// forEachTask calls f concurrently for every task, at most parallelCalls at a time, waits
// for all calls and returns the first error.
func (g *gang) forEachTask(ctx context.Context, f func(ctx context.Context, task int, a ledger.Assignment) error) error {
	semaphore := make(chan struct{}, parallelCalls)
	results := make(chan error, len(g.job.Assignments))
	for task, a := range g.job.Assignments {
		semaphore <- struct{}{}
		go func() {
			results <- f(ctx, task, a)
			<-semaphore
		}()
	}
	var firstErr error
	for range g.job.Assignments {
		if err := <-results; err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

func (g *gang) callWorker(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f(ctx)
}

// sleep waits for the duration. It returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
