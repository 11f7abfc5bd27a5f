package command

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/connection/relay"
	"corianderpass/internal/process/evacuation"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/intake"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/permit"
	"corianderpass/internal/process/presence"
	"corianderpass/internal/process/scheduler"
	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
	adapter "corianderpass/platform"
)

// platformEntry is the entry process on the users' platform.
type platformEntry struct {
	settings      adapter.Settings
	journal       *journal.Journal[workload.Record]
	scheduler     *scheduler.Scheduler
	listener      *presence.Listener
	permits       *permit.Cache
	operatorWatch *adapter.OperatorWatcher
	evacuations   *evacuation.Recorder
	callers       *adapter.CallerServer
	path          *relay.Path
	pool          *link.Pool
	handlers      link.Handlers
	state         *workload.State
	self          incarnation.ID
	metrics       *metrics.Set
	logger        hclog.Logger
}

func provideIntakeSettings(s adapter.Settings) intake.Settings {
	return intake.Settings{MaxAcceptAge: s.Bounds.RevocationTime - acceptAgeMargin, MaxRefuseAge: time.Duration(refuseAgeShare * float64(s.Bounds.VisibilityTime))}
}

func newPlatformEntry(s adapter.Settings, j *journal.Journal[workload.Record], state *workload.State, sch *scheduler.Scheduler,
	listener *presence.Listener, permits *permit.Cache, operatorWatch *adapter.OperatorWatcher, evacuations *evacuation.Recorder, callers *adapter.CallerServer, metricSet *metrics.Set, logger hclog.Logger, status *leaderStatus,
	self incarnation.ID, path *relay.Path, pool *link.Pool, handlers link.Handlers, entries *entryList,
) *platformEntry {
	status.leads = sch.Leads
	entries.readFrom(j, state)
	maps.Copy(handlers, sch.Handlers())
	e := &platformEntry{
		settings: s, journal: j, scheduler: sch, listener: listener, permits: permits, operatorWatch: operatorWatch, evacuations: evacuations, callers: callers, metrics: metricSet, logger: logger,
		path: path, pool: pool, handlers: handlers, state: state, self: self,
	}
	state.SetObserver(func(event workload.Event) {
		sch.Observe(event)
		leader, _ := state.Leader()
		e.countJobEnd(event, leader == self)
	})
	notifySlow(s.Node, path, pool, entries, e.otherProcesses, logger)
	metricSet.NewGauge("corianderpass_evacuated_domains", func() float64 { return e.sumEvacuated(func(platform.FailureDomain) int { return 1 }) })
	metricSet.NewGauge("corianderpass_evacuated_domain_runs", func() float64 { return e.sumEvacuated(state.RunsIn) })
	return e
}

// otherProcesses returns the link addresses of all other entries and of the agents of all present workers.
func (e *platformEntry) otherProcesses() []link.Address {
	own := link.Address(e.settings.LinkAddress)
	var addresses []link.Address
	e.journal.View(func(time.Time) {
		for _, entry := range e.state.Entries() {
			addresses = append(addresses, entry.Address)
		}
		for _, w := range e.state.Workers() {
			if !w.Gone {
				addresses = append(addresses, w.Address)
			}
		}
	})
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(a link.Address) bool { return a == own || a == "" })
}

// sumEvacuated returns the sum of count over the failure domains that are evacuated.
func (e *platformEntry) sumEvacuated(count func(platform.FailureDomain) int) float64 {
	sum := 0
	e.journal.View(func(time.Time) {
		for d, evacuation := range e.state.Evacuations() {
			if evacuation.Active {
				sum += count(d)
			}
		}
	})
	return float64(sum)
}

// countJobEnd counts the job that the event ended, if any, by organisation, queue and outcome.
// Every entry receives the same events, so only the leader logs the end of the job.
func (e *platformEntry) countJobEnd(event workload.Event, leading bool) {
	if j := event.EndedJob; j != nil {
		e.metrics.GetOrCreateCounter(fmt.Sprintf(`corianderpass_jobs_ended_total{organisation=%q,queue=%q,outcome=%q}`, j.Organisation, j.Queue, j.Outcome)).Inc()
		if !leading {
			return
		}
		e.logger.Info("job ended", "job", j.ID, "queue", j.Queue, "organisation", j.Organisation, "outcome", j.Outcome, "failure", j.Failure)
	}
}

func runPlatformEntry(ctx context.Context, s adapter.Settings, port metricsPort, logger hclog.Logger) error {
	return initializePlatformEntry(s, logger).run(ctx, port)
}

// run serves until the context ends, then drains before it returns. It returns early if an
// HTTP server fails.
func (e *platformEntry) run(ctx context.Context, port metricsPort) error {
	servingCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var callerServers, internalServers servers
	defer callerServers.close()
	defer internalServers.close()
	if err := internalServers.listenAndServe(e.settings.ReadyAddress, e.callers.ReadyHandler()); err != nil {
		return err
	}
	if err := callerServers.listenAndServe(e.settings.CallerAddress, e.callers.Handler()); err != nil {
		return err
	}
	if err := port.listenAndServe(&internalServers, e.metrics); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", e.settings.LinkAddress)
	if err != nil {
		return fmt.Errorf("command: listen on link address: %w", err)
	}
	server := link.NewServer(e.handlers)
	defer e.pool.Close()
	ended := []<-chan error{server.Serve(servingCtx, listener), e.path.Start(servingCtx), e.join(servingCtx), e.operatorWatch.Start(servingCtx), e.evacuations.Start(servingCtx), e.journal.Start(servingCtx), e.listener.Start(servingCtx), e.permits.Start(servingCtx), e.scheduler.Start(servingCtx)}
	e.logger.Info("entry started", "callers", e.settings.CallerAddress, "store", e.settings.StoreAddress)
	select {
	case <-ctx.Done():
	case err := <-callerServers.ended:
		return fmt.Errorf("command: caller server ended: %w", err)
	case err := <-internalServers.ended:
		return fmt.Errorf("command: readiness or metrics server ended: %w", err)
	}
	e.leave(&callerServers)
	stop()
	for _, partEnded := range ended {
		if err := <-partEnded; err != nil {
			return err
		}
	}
	return nil
}

// joinInterval is the time between two checks whether the workload state lists this entry.
const joinInterval = time.Second

// join records the node and link address of this entry in the workload state, so that other
// processes can reach the log through this entry. Until the context ends, it checks at each
// joinInterval whether the state lists the entry and, if not, proposes the record again. The first check
// is as soon as the state is complete, since a leader that stops names the entry that joined last.
// The returned channel then receives nil.
func (e *platformEntry) join(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	self := workload.Entry{Node: e.settings.Node, ID: e.self, Address: link.Address(e.settings.LinkAddress)}
	go func() {
		for ctx.Err() == nil {
			listed := false
			changed := e.journal.Changed()
			e.journal.View(func(time.Time) { listed = slices.Contains(e.state.Entries(), self) })
			caughtUp := e.journal.CaughtUp()
			if caughtUp {
				changed = nil
			}
			if caughtUp && !listed {
				callCtx, cancel := context.WithTimeout(ctx, joinInterval)
				err := e.journal.Propose(callCtx, workload.Record{Join: &workload.Join{Entry: self}})
				cancel()
				e.logger.Info("join", "address", self.Address, "error", err)
			}
			select {
			case <-ctx.Done():
			case <-time.After(joinInterval):
			case <-changed:
			}
		}
		ended <- nil
	}()
	return ended
}

// leave reports the entry as not ready, resigns leadership and goes on serving for
// noticeTime, so that the load balancer stops sending calls. Then it closes the listeners
// and waits for running calls until drainShare of the grace time has passed.
func (e *platformEntry) leave(callerServers *servers) {
	e.logger.Info("entry is leaving")
	e.callers.SetLeaving()
	noticeTimer := time.NewTimer(noticeTime)
	resignCtx, cancelResign := context.WithTimeout(context.Background(), noticeTime)
	defer cancelResign()
	e.scheduler.Resign(resignCtx)
	<-noticeTimer.C
	drainCtx, cancel := context.WithTimeout(context.Background(), time.Duration(drainShare*float64(e.settings.Bounds.TerminationGrace))-noticeTime)
	defer cancel()
	for _, s := range callerServers.all {
		if err := s.Shutdown(drainCtx); err != nil {
			e.logger.Warn("drain time expired before all calls ended", "error", err)
		}
	}
}
