// Package runner brings the runs on one minion in line with the workload. It is part of
// the agent beside the minion; no other process sends orders to the minion. The runner
// reads the workload from the journal, polls the minion, starts and stops runs, renews the
// lease only while its copy of the workload is known to be up to date, and records
// announcements, reports and ends in the log. Package platform implements Minion and
// passes the minion's status reports to Runner.Announce.
package runner

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/monotonic"
	"corianderpass/internal/process/presence"
	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

const (
	// tickInterval is the time between two reconciliations without an event.
	tickInterval = 100 * time.Millisecond
	// callTimeout is the timeout of one order; a minion on the same machine answers
	// within milliseconds.
	callTimeout = 500 * time.Millisecond
	// pollWait is how long the minion delays the answer to a poll until a run ends. Since
	// each poll renews the lease, it is also the usual time between two renewals.
	pollWait = time.Second
	// stopRetryAfter is the time after which a stop order is repeated.
	stopRetryAfter = 400 * time.Millisecond
	// unresponsiveAfter is the time without an answer after which a minion is reported
	// as unresponsive, so that no more runs are placed on it.
	unresponsiveAfter = 1500 * time.Millisecond
	// leaveDelay is the time from the deregistration of a minion, which then shuts down,
	// until its departure is recorded.
	leaveDelay = 300 * time.Millisecond
	// leaseMargin is the time after the end of a lease at which its runs count as ended.
	leaseMargin = 300 * time.Millisecond
	// minLeaseLeft is the minimum remaining time of a lease that is sent to the minion.
	minLeaseLeft = 500 * time.Millisecond
	// maxClockSlowdown is the fraction by which a minion's clock may run slow according
	// to the platform's rules.
	maxClockSlowdown = 0.02
	// checkpointReportInterval is the minimum time between two reports of checkpoints.
	checkpointReportInterval = 2 * time.Second
)

// Settings configure a Runner.
type Settings struct {
	FailureDomain platform.FailureDomain
	// Address is where the process serves MethodNotify.
	Address incarnation.Address
	// Lease is how long runs may continue after the last time at which the runner's copy
	// of the workload was known to be complete.
	Lease time.Duration
	// MaxLease is the longest lease that a minion accepts. The minion shortens longer ones.
	MaxLease time.Duration
	// EvacuationTime is the time after the request to evacuate a failure domain from which no run
	// may start there; 0 if failure domains are not evacuated.
	EvacuationTime time.Duration
}

// Runner sends orders to one minion and records its runs. Use New. Its exported methods
// are safe for concurrent use after Start.
type Runner struct {
	settings Settings
	self     incarnation.ID
	journal  *journal.Journal[workload.Record]
	state    *workload.State
	log      platform.Log
	minion   Minion
	clock    monotonic.Clock
	logger   hclog.Logger
	metrics  *metrics.Set

	// events are functions that the loop runs one at a time.
	events chan func()
	// wake makes the loop reconcile immediately. Nothing sends to it at present.
	wake chan struct{}

	// Only the loop uses the fields below.
	ctx context.Context
	// baseToken is the lowest token of this process; 0 until the workload has been read.
	baseToken Token
	// generation counts the calls of fence. The current token is baseToken+generation.
	generation Token
	// recorded is set once a record of this process is known to be in the log. Later agents have a higher base token then.
	recorded bool
	// tokensPending is set while a reservation of tokens has no result yet. tokensRenewedAt is when another base
	// token was last needed; 0 if none was.
	tokensPending   bool
	tokensRenewedAt time.Duration
	// candidate is the announcement of a life that no poll has confirmed yet.
	candidate *Announcement
	// candidateFailed is set if the newest poll of the candidate got no answer. The next poll is then one
	// of the current life, if there is one: nothing may ever answer for the candidate.
	candidateFailed bool
	// life is the current life; nil while there is none.
	life *minionLife
	// pendingCalls counts the calls of async whose result function has not run yet.
	pendingCalls int
}

// New returns a Runner. It is idle until Start is called.
func New(s Settings, self incarnation.ID, j *journal.Journal[workload.Record], state *workload.State,
	log platform.Log, minion Minion, clock monotonic.Clock, logger hclog.Logger, metricSet *metrics.Set,
) *Runner {
	return &Runner{
		settings: s, self: self, journal: j, state: state, log: log, minion: minion, clock: clock,
		logger: logger.Named("runner"), metrics: metricSet,
		events: make(chan func(), 64), wake: make(chan struct{}, 1),
	}
}

// Start starts the runner's goroutines, which run until the context ends. The returned
// channel then receives their first error, or nil.
func (r *Runner) Start(ctx context.Context) <-chan error {
	r.ctx = ctx
	ended := make(chan error, 1)
	loops := make(chan error, 3)
	go func() { loops <- r.loop(ctx) }()
	go func() { loops <- r.pollLoop(ctx) }()
	go func() { loops <- r.sendHeartbeats(ctx) }()
	go func() {
		var firstErr error
		for range cap(loops) {
			if err := <-loops; firstErr == nil {
				firstErr = err
			}
		}
		ended <- firstErr
	}()
	return ended
}

// loop runs the events and reconciles after each batch of them.
func (r *Runner) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		changed := r.journal.Changed()
		r.reconcile()
		select {
		case <-ctx.Done():
			r.awaitCalls()
			return nil
		case f := <-r.events:
			f()
			r.handleQueued()
		case <-changed:
		case <-r.wake:
		case <-ticker.C:
		}
	}
}

// handleQueued runs the events that are already queued.
func (r *Runner) handleQueued() {
	for {
		select {
		case f := <-r.events:
			f()
		default:
			return
		}
	}
}

// awaitCalls runs events until those of all pending calls have run.
func (r *Runner) awaitCalls() {
	for r.pendingCalls > 0 {
		f := <-r.events
		f()
	}
}

// async runs call in a goroutine and the function that it returns in the loop. It must
// be called in the loop.
func (r *Runner) async(call func(ctx context.Context) func()) {
	r.pendingCalls++
	go func() {
		finish := call(r.ctx)
		r.events <- func() {
			r.pendingCalls--
			finish()
		}
	}()
}

// post queues f for the loop, unless the context ends first.
func (r *Runner) post(ctx context.Context, f func()) {
	select {
	case r.events <- f:
	case <-ctx.Done():
	}
}

// postAndWait runs f in the loop and waits until f has returned. It returns false if the
// context ended first.
func (r *Runner) postAndWait(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	r.post(ctx, func() {
		f()
		close(done)
	})
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendHeartbeats sends a heartbeat every presence.HeartbeatInterval while the worker is
// announced.
func (r *Runner) sendHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(presence.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		var life workload.LifeID
		if !r.postAndWait(ctx, func() {
			if r.life != nil && r.life.announced {
				life = r.life.id
			}
		}) || life == "" {
			continue
		}
		if err := presence.Send(ctx, r.log, presence.Heartbeat{Life: life}); err != nil {
			r.logger.Debug("heartbeat was not recorded", "error", err)
		}
	}
}
