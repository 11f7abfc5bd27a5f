// Package entry is the thin process between callers and minions. It serves
// requests and jobs, folds its region's ledger and the bundle stream, proposes
// placements and drives the gangs that the ledger gives to it. Entries keep
// nothing: any of them can be replaced at any time.
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

// BundleStream is the stream in which bundles are drafted, approved and rolled.
const BundleStream platform.Stream = "Bundle"

// LedgerStream returns the stream of a region's ledger.
func LedgerStream(region platform.Region) platform.Stream {
	return platform.Stream("Ledger/" + string(region))
}

// Entry is the process. Use New.
type Entry struct {
	settings Settings
	logger   hclog.Logger
	member   membership.Member
	workers  platform.Workers
	pool     *link.Pool
	metrics  *metrics.Set

	// The parts below live as long as the process.
	register  *bundle.Register
	bundles   *journal.Journal[bundle.Record]
	state     *ledger.State
	ledger    *journal.Journal[ledger.Record]
	directory membership.Directory
	// directAgents has the agents whose heartbeats come here.
	directAgents  membership.Directory
	conversations conversations
	gate          *gate.Gate
	// gateGeneration is the directory's generation that the gate knows.
	gateMu         sync.Mutex
	gateGeneration any
	retries        *gate.RetryBudget
	driver         *gang.Driver
	policy         placement.Policy
	scheduler      scheduler

	startedAt         time.Time
	heartbeatSequence atomic.Uint64
	dispatchCount     atomic.Uint64
	leaving           atomic.Bool
	shortfall         atomic.Int64

	// flights are the claimed requests that this process runs.
	pendingMu sync.Mutex
	pending   map[ledger.ClaimKey]*pendingRequest
	// unsettled are answers of claimed requests that are not recorded yet.
	unsettled map[ledger.ClaimKey]*ledger.Answer
	// background counts goroutines that outlive their caller.
	background sync.WaitGroup
	// mustExit is closed when the process must end at once.
	mustExit chan struct{}
	exitOnce sync.Once
	// processCtx ends when the process does.
	processCtx context.Context
}

// New returns an entry that does nothing before Run or Start.
func New(s Settings, logger hclog.Logger, log platform.Log, workers platform.Workers, dial link.Dialer) *Entry {
	id := incarnation.New(s.Name, time.Now())
	e := &Entry{
		settings: s,
		logger:   logger.With("incarnation", string(id)),
		member: membership.Member{
			ID: id, Role: membership.RoleEntry, Address: s.LinkAddress,
			Region: s.Region, FailureDomain: s.FailureDomain,
		},
		workers:   workers,
		pool:      link.NewPool(dial),
		metrics:   metrics.NewSet(),
		register:  &bundle.Register{},
		state:     ledger.NewState(s.Region),
		retries:   gate.NewRetryBudget(),
		gate:      gate.New(s.Region, bundle.DefaultLimits().WaitingRequests, 0, uint64(time.Now().UnixNano())),
		startedAt: time.Now(),
		mustExit:  make(chan struct{}),
		pending:   map[ledger.ClaimKey]*pendingRequest{}, unsettled: map[ledger.ClaimKey]*ledger.Answer{},
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

// Start begins all that goes on without callers. The channel yields one error
// when all of it has ended after the context.
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

// runEvery calls f at once and then again and again until the context ends.
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

// Run serves until the context ends, then leaves without cutting a request.
func (e *Entry) Run(ctx context.Context) error {
	linkListener, err := net.Listen("tcp", string(e.settings.LinkAddress))
	if err != nil {
		return fmt.Errorf("entry: listen for processes: %w", err)
	}
	callerListener, err := net.Listen("tcp", e.settings.CallerAddress)
	if err != nil {
		return fmt.Errorf("entry: listen for callers: %w", err)
	}
	adminListener, err := net.Listen("tcp", e.settings.AdminAddress)
	if err != nil {
		return fmt.Errorf("entry: listen for the administrator: %w", err)
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
	e.logger.Info("entry is up", "callers", e.settings.CallerAddress, "link", e.settings.LinkAddress)
	select {
	case <-ctx.Done():
	case err := <-linkEnded:
		return fmt.Errorf("entry: link ended: %w", err)
	case err := <-serversEnded:
		return fmt.Errorf("entry: server ended: %w", err)
	case <-e.mustExit:
		return fmt.Errorf("entry: this build is too old: %w", ledger.ErrOutdated)
	}
	e.drain(servingCtx, callerServer, linkServer)
	_ = adminServer.Close()
	stop()
	<-linkEnded
	err = <-partsEnded
	e.logger.Info("entry has left")
	return err
}

// drain lets the balancer and the other processes see that the entry goes, and
// waits for the requests under way.
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
		e.logger.Warn("drain time is over while requests still run", "error", err)
	}
	e.background.Wait()
	linkServer.Drain(drainCtx)
}

// AnnounceLeaving makes the entry unready and tells the others at once; it goes on to serve.
func (e *Entry) AnnounceLeaving(ctx context.Context) {
	e.leaving.Store(true)
	e.exchange(ctx)
}

// lookupJob returns a copy of a job as the ledger has it.
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

// Ready tells whether the entry should get callers, and the reason if not.
func (e *Entry) Ready() (bool, string) {
	switch {
	case e.leaving.Load():
		return false, "leaving"
	case e.outdated():
		return false, "this build is too old for the ledger"
	case e.register.Current() == nil:
		return false, "no bundle is known"
	case !e.ledger.HasState():
		return false, "the ledger is not known yet"
	}
	return true, ""
}

// newDispatchID names a new try of a request.
func (e *Entry) newDispatchID() ledger.DispatchID {
	return ledger.DispatchID(fmt.Sprintf("%s/%d", e.member.ID, e.dispatchCount.Add(1)))
}
