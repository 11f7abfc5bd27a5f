// Package entry is the process between callers and minions. It serves requests, jobs and
// bundle changes through package caller, and dispatches requests to agents through package
// gate. It folds the bundle stream and its region's ledger with package journal, proposes
// placements to the ledger and drives the gangs that the ledger assigns to it. Entries
// exchange heartbeats to learn which processes are alive. An entry stores nothing itself,
// so any entry can be replaced at any time. Package command creates and runs it.
package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"corianderpass/internal/connection/caller"
	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/gang"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/process/membership"
	"corianderpass/internal/process/placement"
	"corianderpass/internal/request/gate"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// BundleStream is the stream with the records of bundle drafts, approvals and rolls.
const BundleStream platform.Stream = "Bundle"

// LedgerStream returns the stream of the region's ledger.
func LedgerStream(region platform.Region) platform.Stream {
	return platform.Stream("Ledger/" + string(region))
}

// Entry is an entry process. Use New, then either Run or Start. After that the other methods
// are safe for concurrent use.
type Entry struct {
	settings Settings
	logger   hclog.Logger
	member   membership.Member
	workers  platform.Workers
	pool     *link.Pool
	metrics  *metrics.Set

	// register and state are the states of the journals bundles and ledger. state may
	// only be read inside the ledger's View.
	register  *bundle.Register
	bundles   *journal.Journal[bundle.Record]
	state     *ledger.State
	ledger    *journal.Journal[ledger.Record]
	directory membership.Directory
	// directAgents has the agents that send their heartbeats to this entry.
	directAgents membership.Directory
	sessions     sessions
	gate         *gate.Gate
	// gateGeneration is the directory's generation from which the gate's agents were
	// last set. gateMu protects it.
	gateMu         sync.Mutex
	gateGeneration any
	retryBudget    *gate.RetryBudget
	driver         *gang.Driver
	policy         placement.Policy
	scheduler      scheduler

	startedAt         time.Time
	heartbeatSequence atomic.Uint64
	dispatchCount     atomic.Uint64
	leaving           atomic.Bool
	// shortfall is the number of guaranteed slots without a place, as of the last call of
	// driveGangs.
	shortfall atomic.Int64

	// pending are the requests with IDs that are being served here. pendingMu protects
	// it and unsettled.
	pendingMu sync.Mutex
	pending   map[ledger.ClaimKey]*pendingRequest
	// unsettled are answers of claimed requests that are not in the ledger yet.
	unsettled map[ledger.ClaimKey]*ledger.Answer
	// background counts the goroutines of runInBackground.
	background sync.WaitGroup
	// mustExit is closed once the ledger has newer rules than this build. Run then returns an
	// error that wraps ledger.ErrOutdated.
	mustExit chan struct{}
	exitOnce sync.Once
	// processCtx is the context of Start. Work that must not end with its caller's
	// context uses it.
	processCtx context.Context
}

// New returns an entry with a new incarnation. It does nothing before Run or Start.
func New(s Settings, logger hclog.Logger, log platform.Log, workers platform.Workers, dial link.Dialer) *Entry {
	id := incarnation.New(s.Name, time.Now())
	e := &Entry{
		settings: s,
		logger:   logger.With("incarnation", string(id)),
		member: membership.Member{
			ID: id, Role: membership.RoleEntry, Address: s.LinkAddress,
			Region: s.Region, FailureDomain: s.FailureDomain,
		},
		workers:     workers,
		pool:        link.NewPool(dial),
		metrics:     metrics.NewSet(),
		register:    &bundle.Register{},
		state:       ledger.NewState(s.Region),
		retryBudget: gate.NewRetryBudget(),
		gate:        gate.New(s.Region, bundle.DefaultLimits().WaitingRequests, 0, uint64(time.Now().UnixNano())),
		startedAt:   time.Now(),
		mustExit:    make(chan struct{}),
		pending:     map[ledger.ClaimKey]*pendingRequest{}, unsettled: map[ledger.ClaimKey]*ledger.Answer{},
	}
	e.directory.HomeRegion = s.Region
	e.directAgents.HomeRegion = s.Region
	options := journal.Options{SnapshotAge: s.SnapshotAge.Std()}
	e.bundles = journal.New(log, BundleStream, id, journal.StateMachine[bundle.Record](e.register), options)
	e.ledger = journal.New(log, LedgerStream(s.Region), id, journal.StateMachine[ledger.Record](e.state), options)
	e.driver = gang.NewDriver(workers, e.propose, e.lookupJob)
	e.scheduler = newScheduler()
	e.registerMetrics()
	return e
}

// Start starts everything but the listeners: the journals, the exchange with other entries,
// the scheduler and the periodic checks. After ctx has ended and all of it has stopped, the
// channel receives the first error, or nil.
func (e *Entry) Start(ctx context.Context) <-chan error {
	e.processCtx = ctx
	parts := []<-chan error{
		e.bundles.Start(ctx),
		e.ledger.Start(ctx),
		runEvery(ctx, exchangeInterval, e.exchange),
		runEvery(ctx, seedInterval, e.seedJournals),
		e.startScheduling(ctx),
		runEvery(ctx, observeInterval, e.observeWorkers),
		runEvery(ctx, sweepInterval, e.sweepClaims),
		runEvery(ctx, usageCheckInterval, e.enforceUsage),
	}
	partsEnded := make(chan error, 1)
	go func() {
		var firstErr error
		for _, p := range parts {
			if err := <-p; err != nil && firstErr == nil {
				firstErr = err
			}
		}
		e.background.Wait()
		e.pool.Close()
		partsEnded <- firstErr
	}()
	return partsEnded
}

// runEvery calls f at once and then at the interval until ctx ends. The channel then
// receives nil.
func runEvery(ctx context.Context, interval time.Duration, f func(context.Context)) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			f(ctx)
			select {
			case <-ctx.Done():
				ended <- nil
				return
			case <-ticker.C:
			}
		}
	}()
	return ended
}

// Run opens the listeners of the settings and serves until ctx ends. It then drains: it
// serves for another NoticeTime and waits for running requests for at most DrainTime. It
// returns an error that wraps ledger.ErrOutdated if the ledger has newer rules than this build.
func (e *Entry) Run(ctx context.Context) error {
	linkListener, err := net.Listen("tcp", string(e.settings.LinkAddress))
	if err != nil {
		return fmt.Errorf("entry: listen on the link address: %w", err)
	}
	callerListener, err := net.Listen("tcp", e.settings.CallerAddress)
	if err != nil {
		return fmt.Errorf("entry: listen on the caller address: %w", err)
	}
	adminListener, err := net.Listen("tcp", e.settings.AdminAddress)
	if err != nil {
		return fmt.Errorf("entry: listen on the admin address: %w", err)
	}
	servingCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	partsEnded := e.Start(servingCtx)
	linkServer := link.NewServer(e.Handlers())
	linkEnded := linkServer.Serve(servingCtx, linkListener)
	callerServer := &http.Server{Handler: caller.NewHandler(e, e.logger, e.metrics), ReadHeaderTimeout: 5 * time.Second}
	adminServer := &http.Server{Handler: e.adminHandler(), ReadHeaderTimeout: 5 * time.Second}
	serversEnded := make(chan error, 2)
	go func() { serversEnded <- callerServer.Serve(callerListener) }()
	go func() { serversEnded <- adminServer.Serve(adminListener) }()
	e.logger.Info("entry started", "callers", e.settings.CallerAddress, "link", e.settings.LinkAddress)
	select {
	case <-ctx.Done():
	case err := <-linkEnded:
		return fmt.Errorf("entry: link server ended: %w", err)
	case err := <-serversEnded:
		return fmt.Errorf("entry: HTTP server ended: %w", err)
	case <-e.mustExit:
		return fmt.Errorf("entry: the build is too old: %w", ledger.ErrOutdated)
	}
	e.drain(servingCtx, callerServer, linkServer)
	_ = adminServer.Close()
	stop()
	<-linkEnded
	err = <-partsEnded
	e.logger.Info("entry stopped")
	return err
}

// drain announces that the entry is leaving and serves requests for another NoticeTime, in
// which the balancer and the other processes stop sending them. It then waits for running
// requests for at most DrainTime, and for the background goroutines without a limit.
func (e *Entry) drain(ctx context.Context, callerServer *http.Server, linkServer *link.Server) {
	e.AnnounceLeaving(ctx)
	noticeTimer := time.NewTimer(e.settings.NoticeTime.Std())
	defer noticeTimer.Stop()
	select {
	case <-noticeTimer.C:
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(ctx, e.settings.DrainTime.Std())
	defer cancel()
	if err := callerServer.Shutdown(drainCtx); err != nil {
		e.logger.Warn("drain time expired before all calls ended", "error", err)
	}
	e.background.Wait()
	linkServer.Drain(drainCtx)
}

// AnnounceLeaving makes Ready return false and informs the other entries at once. Requests are
// still served.
func (e *Entry) AnnounceLeaving(ctx context.Context) {
	e.leaving.Store(true)
	e.exchange(ctx)
}

// lookupJob returns a copy of the job in the ledger, and false if there is none.
func (e *Entry) lookupJob(id ledger.JobID) (ledger.Job, bool) {
	var job ledger.Job
	found := false
	e.ledger.View(func(time.Time) {
		if j := e.state.Job(id); j != nil {
			job, found = *j, true
		}
	})
	return job, found
}

// Ready reports whether the balancer should send callers to the entry. If it should not, the
// text is the reason.
func (e *Entry) Ready() (bool, string) {
	switch {
	case e.leaving.Load():
		return false, "leaving"
	case e.outdated():
		return false, "the build is too old for the ledger"
	case e.register.Current() == nil:
		return false, "no bundle is in force"
	case !e.ledger.HasState():
		return false, "the ledger is not loaded yet"
	}
	return true, ""
}

// newDispatchID returns an ID that no other dispatch has.
func (e *Entry) newDispatchID() ledger.DispatchID {
	return ledger.DispatchID(fmt.Sprintf("%s/%d", e.member.ID, e.dispatchCount.Add(1)))
}
