// Package runner makes a minion do what the workload says. It runs in the agent
// beside the minion, the only process that gives it orders: it judges whether a
// run may still start, prolongs leases while it can prove that it is up to date,
// and records what ended.
package runner

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/presence"
	"corianderpass/internal/process/steady"
	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

const (
	// tick is the time between two looks at what is due while nothing happens.
	tick = 100 * time.Millisecond
	// callTimeout bounds one order; a minion on the same machine answers within milliseconds.
	callTimeout = 500 * time.Millisecond
	// lookWait is how long a look waits for an end, and so how often leases are prolonged.
	lookWait = time.Second
	// stopAgain is the time after which an order to stop is repeated.
	stopAgain = 400 * time.Millisecond
	// unresponsiveAfter is the time without an answer after which nothing more is
	// given to a minion.
	unresponsiveAfter = 1500 * time.Millisecond
	// leaveDelay is how long a minion that said goodbye may take to end.
	leaveDelay = 300 * time.Millisecond
	// leaseMargin is added to the end of a lease before its tasks count as ended.
	leaseMargin = 300 * time.Millisecond
	// shortestLease is the least time that a lease must have left for a start.
	shortestLease = 500 * time.Millisecond
	// clockSlack is the part by which a minion's clock may run slow, from the
	// platform's rules.
	clockSlack = 0.02
	// proposeTimeout bounds the wait for the verdict on a proposal.
	proposeTimeout = 2 * time.Second
	// proposePause is the pause after a proposal that the log did not take.
	proposePause = 150 * time.Millisecond
	// tokenGenerations is the number of tokens between those of two agents.
	tokenGenerations = 1 << 20
	// reportSavedEvery is the time between two reports of new checkpoints.
	reportSavedEvery = 2 * time.Second
)

// Settings are the figures that the runner depends on.
type Settings struct {
	FailureDomain platform.FailureDomain
	// Address is where the process answers MethodNotify.
	Address incarnation.Address
	// Lease is how long after the last proof of being up to date tasks may run.
	Lease time.Duration
}

// Runner is the process's part that gives orders. Use New.
type Runner struct {
	settings Settings
	self     incarnation.ID
	journal  *journal.Journal[workload.Record]
	state    *workload.State
	log      platform.Log
	minion   Minion
	clock    steady.Clock
	logger   hclog.Logger
	metrics  *metrics.Set

	// events are run by the loop, one at a time.
	events chan func()
	// poke makes the loop look at what is due.
	poke chan struct{}

	// The fields below belong to the loop.
	ctx context.Context
	// base is the first token of this process; 0 before the workload is known.
	base Token
	// generation is added to base.
	generation Token
	// candidate is an announcement of a life that was not looked at yet.
	candidate *Announcement
	life      *life
	// calls counts goroutines that the loop started and whose events it awaits.
	calls int
}

// New returns a runner that does nothing before Start.
func New(s Settings, self incarnation.ID, j *journal.Journal[workload.Record], state *workload.State,
	log platform.Log, minion Minion, clock steady.Clock, logger hclog.Logger, set *metrics.Set,
) *Runner {
	return &Runner{
		settings: s, self: self, journal: j, state: state, log: log, minion: minion, clock: clock,
		logger: logger.Named("runner"), metrics: set,
		events: make(chan func(), 64), poke: make(chan struct{}, 1),
	}
}

// Start runs until the context ends.
func (r *Runner) Start(ctx context.Context) <-chan error {
	r.ctx = ctx
	ended := make(chan error, 1)
	parts := make(chan error, 3)
	go func() { parts <- r.loop(ctx) }()
	go func() { parts <- r.watch(ctx) }()
	go func() { parts <- r.beat(ctx) }()
	go func() {
		var first error
		for range cap(parts) {
			if err := <-parts; first == nil {
				first = err
			}
		}
		ended <- first
	}()
	return ended
}

// loop runs events and reconciles after each.
func (r *Runner) loop(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		changed := r.journal.Changed()
		r.reconcile()
		select {
		case <-ctx.Done():
			r.await()
			return nil
		case f := <-r.events:
			f()
			r.runPending()
		case <-changed:
		case <-r.poke:
		case <-ticker.C:
		}
	}
}

// runPending runs the events that are there already.
func (r *Runner) runPending() {
	for {
		select {
		case f := <-r.events:
			f()
		default:
			return
		}
	}
}

// await takes the events of all calls that are under way.
func (r *Runner) await() {
	for r.calls > 0 {
		f := <-r.events
		f()
	}
}

// aside runs a call outside the loop and what it returns inside. Only the loop
// may call it.
func (r *Runner) aside(call func(ctx context.Context) func()) {
	r.calls++
	go func() {
		then := call(r.ctx)
		r.events <- func() {
			r.calls--
			then()
		}
	}()
}

// post runs f in the loop; it does nothing after the end.
func (r *Runner) post(ctx context.Context, f func()) {
	select {
	case r.events <- f:
	case <-ctx.Done():
	}
}

// ask runs f in the loop and waits for it; false after the end.
func (r *Runner) ask(ctx context.Context, f func()) bool {
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

// token returns the present token.
func (r *Runner) token() Token { return r.base + r.generation }

// fence makes every order that is still under way void once the minion has seen
// the new token.
func (r *Runner) fence() { r.generation++ }

// beat tells that the worker is there.
func (r *Runner) beat(ctx context.Context) error {
	ticker := time.NewTicker(presence.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		var life workload.LifeID
		if !r.ask(ctx, func() {
			if r.life != nil && r.life.ready {
				life = r.life.id
			}
		}) || life == "" {
			continue
		}
		if err := presence.Send(ctx, r.log, presence.Heartbeat{Life: life}); err != nil {
			r.logger.Debug("presence was not recorded", "error", err)
		}
	}
}

// propose proposes a record aside and runs then in the loop.
func (r *Runner) propose(record workload.Record, then func(error)) {
	r.aside(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		err := r.journal.Propose(ctx, record)
		if errors.Is(err, journal.ErrNotAppended) {
			// What is due is proposed again at once; a log that is down refuses at once.
			sleep(ctx, proposePause)
		}
		return func() { then(err) }
	})
}
