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
	// callTimeout bounds one call to a worker.
	callTimeout = 2 * time.Second
	// parallelCalls bounds the calls of one gang to workers at a time.
	parallelCalls = 32
	// retryPause is the pause between two tries to acquire a lease that is taken.
	retryPause = 50 * time.Millisecond
	// lapseShare is the share of a lease's life after which a gang that was not
	// renewed is stopped, so that all parts end before one of them is ended by its
	// worker.
	lapseShare = 2.0 / 3
	// watchEvery is the pause between two looks at a running gang.
	watchEvery = 100 * time.Millisecond
	// awayAfter is how many failed calls in a row make a worker count as away.
	awayAfter = 3
	// releaseTimeout bounds the release of leases of a gang whose end is recorded;
	// what is left lapses.
	releaseTimeout = 10 * time.Second
	// proposeTimeout bounds the wait for a verdict.
	proposeTimeout = 5 * time.Second
)

// gang drives one job under one epoch, from its leases to its end.
type gang struct {
	driver *Driver
	job    ledger.Job
	// adopted gangs were started by another driver: a lease under which nothing
	// runs has lapsed in between.
	adopted bool

	mu sync.Mutex
	// reports has the newest word on each task.
	reports []platform.TaskReport
	// validUntil is when each lease has lapsed for certain, answered or not, and
	// stopAt when the gang must be stopped if it is not renewed.
	validUntil, stopAt []time.Time
	// outgrown says why the gang must end because of its own size.
	outgrown string
	// stop is closed when the ledger wants the gang to stop.
	stop     chan struct{}
	stopOnce sync.Once
}

func newGang(d *Driver, j ledger.Job) *gang {
	return &gang{
		driver:     d,
		job:        j,
		reports:    make([]platform.TaskReport, len(j.Assignments)),
		validUntil: make([]time.Time, len(j.Assignments)),
		stopAt:     make([]time.Time, len(j.Assignments)),
		stop:       make(chan struct{}),
	}
}

// askStop makes the gang stop. It may be called many times.
func (g *gang) askStop() { g.stopOnce.Do(func() { close(g.stop) }) }

func (g *gang) stopping() bool {
	select {
	case <-g.stop:
		return true
	default:
		return false
	}
}

// run drives the gang until it holds nothing any more or the context ends.
func (g *gang) run(ctx context.Context) {
	switch g.job.Phase {
	case ledger.PhaseReserved:
		g.begin(ctx)
	case ledger.PhaseRunning:
		g.adopt(ctx)
	case ledger.PhaseStopping:
		g.finishStopping(ctx)
	}
}

// begin takes every lease, commits, and starts the tasks.
func (g *gang) begin(ctx context.Context) {
	away, err := g.acquireAll(ctx)
	if err != nil {
		g.abort(ctx, err, away)
		return
	}
	if err := g.commit(ctx); err != nil {
		g.abort(ctx, err, nil)
		return
	}
	err = g.each(ctx, func(ctx context.Context, task int, a ledger.Assignment) error {
		t := platform.Task{Command: g.job.Command, Resume: g.job.Progress}
		return g.driver.workers.Start(ctx, a.Worker, g.job.LeaseID(task), g.job.Epoch, t)
	})
	if err != nil {
		g.halt(ctx, fmt.Sprintf("start: %v", err), g.awayOf(err))
		return
	}
	g.watch(ctx)
}

// commit records that every lease is held. While the fate of the record is
// unknown it is repeated, since tasks that started without it, or a record
// without tasks, would leave the gang in two states.
func (g *gang) commit(ctx context.Context) error {
	for {
		err := g.propose(ctx, ledger.Record{Commit: &ledger.Commit{Job: g.job.ID, Epoch: g.job.Epoch}})
		if err == nil || g.committed(err) {
			g.job.Phase = ledger.PhaseRunning
			g.job.Ran = true
			return nil
		}
		if isVoid(err) || !pause(ctx, retryPause) {
			return err
		}
	}
}

// committed tells whether a repeated commit is void because an earlier one of
// unknown fate took effect.
func (g *gang) committed(err error) bool {
	j, known := g.driver.lookup(g.job.ID)
	return isVoid(err) && known && j.Epoch == g.job.Epoch && j.Phase == ledger.PhaseRunning
}

// superseded tells whether the ledger gave the gang to another driver.
func (g *gang) superseded() bool {
	j, known := g.driver.lookup(g.job.ID)
	return known && j.Epoch > g.job.Epoch
}

// adopt takes the running leases over under the own epoch.
func (g *gang) adopt(ctx context.Context) {
	away, err := g.acquireAll(ctx)
	if err != nil {
		g.halt(ctx, fmt.Sprintf("take over: %v", err), away)
		return
	}
	g.adopted = true
	g.watch(ctx)
}

// verdict is what the reports say of the gang.
type verdict struct {
	succeeded, failed, gone, lapsing bool
	task                             int
	text                             string
}

func (g *gang) judge(now time.Time) verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	done := 0
	for task, r := range g.reports {
		switch {
		case r.State == platform.TaskFailed:
			return verdict{failed: true, task: task, text: r.Error}
		case r.State == platform.TaskGone, r.State == platform.TaskHeld && g.adopted:
			return verdict{gone: true, task: task}
		case now.After(g.stopAt[task]):
			return verdict{lapsing: true, task: task}
		case r.State == platform.TaskSucceeded:
			done++
		}
	}
	return verdict{succeeded: done == len(g.reports)}
}

// watch follows a running gang until it ends or must be stopped.
func (g *gang) watch(ctx context.Context) {
	started := time.Now()
	kept := started
	for {
		v := g.judge(time.Now())
		worker := g.job.Assignments[v.task].Worker
		switch {
		case v.succeeded:
			g.finish(ctx, ledger.Finish{RanTime: g.ranTime(started)})
			return
		case v.failed:
			g.finish(ctx, ledger.Finish{Failed: true, Error: v.text, Worker: worker})
			return
		case v.gone:
			g.halt(ctx, fmt.Sprintf("lease on %s is gone", worker), nil)
			return
		case v.lapsing:
			g.halt(ctx, fmt.Sprintf("worker %s does not answer", worker), []platform.WorkerID{worker})
			return
		case g.stopping():
			g.finishStopping(ctx)
			return
		case g.tooLarge() != "":
			g.finishOutgrown(ctx, g.tooLarge())
			return
		}
		if every := g.driver.inForce().CheckpointEvery; every > 0 && time.Since(kept) >= every {
			kept = time.Now()
			_ = g.checkpoint(ctx)
		}
		if !pause(ctx, watchEvery) {
			return
		}
	}
}

// ranTime is how long the job ran in all.
func (g *gang) ranTime(started time.Time) time.Duration {
	begun := started
	if g.job.Phase == ledger.PhaseRunning && !g.job.Started.IsZero() {
		begun = g.job.Started
	}
	return g.job.Progress + time.Since(begun)
}

// finish ends a gang that ended by itself. A success is recorded while the leases
// still show it: were they given back first and the driver died, the next one
// would find nothing and start the gang again. A failed gang may be placed again
// as soon as that is recorded, so its parts are stopped before.
func (g *gang) finish(ctx context.Context, f ledger.Finish) {
	f.Job = g.job.ID
	f.Epoch = g.job.Epoch
	if f.Failed {
		g.releaseAll(ctx)
		g.settle(ctx, ledger.Record{Finish: &f})
		return
	}
	g.settle(ctx, ledger.Record{Finish: &f})
	if ctx.Err() != nil && !g.ended() || g.superseded() {
		return
	}
	// With the end recorded the gang is let go of, but its leases are still here.
	after, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	g.releaseAll(after)
}

// ended tells whether the ledger has the end of the gang under this epoch.
func (g *gang) ended() bool {
	j, known := g.driver.lookup(g.job.ID)
	return known && j.Epoch == g.job.Epoch && j.Phase == ledger.PhaseEnded
}

// finishStopping lets a running gang keep its progress, then stops it.
func (g *gang) finishStopping(ctx context.Context) {
	if !g.job.Ran && g.job.Phase != ledger.PhaseRunning {
		g.abort(ctx, errors.New("gang: asked to stop"), nil)
		return
	}
	g.halt(ctx, "asked to stop", nil)
}

// halt stops every part and records what was kept.
func (g *gang) halt(ctx context.Context, reason string, away []platform.WorkerID) {
	progress := g.checkpoint(ctx)
	g.releaseAll(ctx)
	g.settle(ctx, ledger.Record{Stopped: &ledger.Stopped{
		Job: g.job.ID, Epoch: g.job.Epoch, Progress: progress, Reason: reason, Away: away,
	}})
}

// abort gives back what a gang that never ran holds.
func (g *gang) abort(ctx context.Context, cause error, away []platform.WorkerID) {
	g.releaseAll(ctx)
	g.settle(ctx, ledger.Record{Abort: &ledger.Abort{
		Job: g.job.ID, Epoch: g.job.Epoch, Reason: cause.Error(), Away: away,
	}})
}

// settle records the end of the gang under this epoch, however long the log is
// down: until then the gang keeps its place in the ledger.
func (g *gang) settle(ctx context.Context, r ledger.Record) {
	for ctx.Err() == nil {
		err := g.propose(ctx, r)
		if err == nil {
			return
		}
		if isVoid(err) {
			return
		}
		pause(ctx, retryPause)
	}
}

func (g *gang) propose(ctx context.Context, r ledger.Record) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return g.driver.propose(ctx, r)
}

// each calls f for every task, a bounded number at a time, and returns the first error.
func (g *gang) each(ctx context.Context, f func(ctx context.Context, task int, a ledger.Assignment) error) error {
	room := make(chan struct{}, parallelCalls)
	ended := make(chan error, len(g.job.Assignments))
	for task, a := range g.job.Assignments {
		room <- struct{}{}
		go func() {
			ended <- f(ctx, task, a)
			<-room
		}()
	}
	var first error
	for range g.job.Assignments {
		if err := <-ended; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (g *gang) call(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f(ctx)
}

// pause waits; it returns false if the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
