package command

import (
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/connection/relay"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/intake"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/permit"
	"corianderpass/internal/process/presence"
	"corianderpass/internal/process/scheduler"
	"corianderpass/internal/process/workload"
	adapter "corianderpass/platform"
)

// deployedEntry is an entry on the users' platform.
type deployedEntry struct {
	settings  adapter.Settings
	journal   *journal.Journal[workload.Record]
	scheduler *scheduler.Scheduler
	listener  *presence.Listener
	permits   *permit.Cache
	watch     *adapter.BundleWatcher
	callers   *adapter.CallerServer
	path      *relay.Path
	pool      *link.Pool
	table     link.Handlers
	state     *workload.State
	self      incarnation.ID
	metrics   *metrics.Set
	logger    hclog.Logger
}

func provideIntakeSettings(s adapter.Settings) intake.Settings {
	return intake.Settings{MaxAcceptAge: s.Bounds.RevocationTime - tokenMargin, MaxRefuseAge: time.Duration(refusalShare * float64(s.Bounds.VisibilityTime))}
}

func newDeployedEntry(s adapter.Settings, j *journal.Journal[workload.Record], state *workload.State, sch *scheduler.Scheduler,
	l *presence.Listener, permits *permit.Cache, w *adapter.BundleWatcher, c *adapter.CallerServer, set *metrics.Set, logger hclog.Logger, lead *leadership,
	self incarnation.ID, path *relay.Path, pool *link.Pool, table link.Handlers, m *members,
) *deployedEntry {
	lead.leads = sch.Leads
	m.watch(j, state)
	e := &deployedEntry{
		settings: s, journal: j, scheduler: sch, listener: l, permits: permits, watch: w, callers: c, metrics: set, logger: logger,
		path: path, pool: pool, table: table, state: state, self: self,
	}
	state.SetObserver(func(event workload.Event) {
		sch.Observe(event)
		leader, _ := state.Leader()
		e.countEnd(event, leader == self)
	})
	return e
}

// countEnd counts what ended, by queue and outcome. Only the leader logs it.
func (e *deployedEntry) countEnd(event workload.Event, leads bool) {
	if j := event.EndedJob; j != nil {
		e.metrics.GetOrCreateCounter(fmt.Sprintf(`corianderpass_jobs_ended_total{organisation=%q,queue=%q,outcome=%q}`, j.Organisation, j.Queue, j.Outcome)).Inc()
		if !leads {
			return
		}
		e.logger.Info("job ended", "job", j.ID, "queue", j.Queue, "organisation", j.Organisation, "outcome", j.Outcome)
	}
}

func runDeployedEntry(ctx context.Context, s adapter.Settings, port metricsPort, logger hclog.Logger) error {
	return initializeDeployedEntry(s, logger).run(ctx, port)
}

// run serves until the context ends, then leaves without cutting a call.
func (e *deployedEntry) run(ctx context.Context, port metricsPort) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var front, side servers
	defer front.close()
	defer side.close()
	if err := side.serve(e.settings.ReadyAddress, e.callers.ReadyHandler()); err != nil {
		return err
	}
	if err := front.serve(e.settings.CallerAddress, e.callers.Handler()); err != nil {
		return err
	}
	if err := port.serve(&side, e.metrics); err != nil {
		return err
	}
	links, err := net.Listen("tcp", e.settings.LinkAddress)
	if err != nil {
		return fmt.Errorf("command: listen for processes: %w", err)
	}
	server := link.NewServer(e.table)
	defer e.pool.Close()
	parts := []<-chan error{server.Serve(serving, links), e.path.Start(serving), e.join(serving), e.watch.Start(serving), e.journal.Start(serving), e.listener.Start(serving), e.permits.Start(serving), e.scheduler.Start(serving)}
	e.logger.Info("entry started", "callers", e.settings.CallerAddress, "store", e.settings.StoreAddress)
	select {
	case <-ctx.Done():
	case err := <-front.ended:
		return fmt.Errorf("command: callers' server ended: %w", err)
	case err := <-side.ended:
		return fmt.Errorf("command: server ended: %w", err)
	}
	e.leave(&front)
	stop()
	for _, p := range parts {
		if err := <-p; err != nil {
			return err
		}
	}
	return nil
}

// joinEvery is the time between two looks whether the others know this entry.
const joinEvery = time.Second

// join tells the other processes where this one is, until they know.
func (e *deployedEntry) join(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	self := workload.Entry{Node: e.settings.Node, ID: e.self, Address: link.Address(e.settings.LinkAddress)}
	go func() {
		for ctx.Err() == nil {
			known := false
			e.journal.View(func(time.Time) { known = slices.Contains(e.state.Entries(), self) })
			if _, caughtUp := e.journal.CompleteAsOf(); caughtUp && !known {
				call, cancel := context.WithTimeout(ctx, joinEvery)
				err := e.journal.Propose(call, workload.Record{Join: &workload.Join{Entry: self}})
				cancel()
				e.logger.Info("join", "address", self.Address, "error", err)
			}
			select {
			case <-ctx.Done():
			case <-time.After(joinEvery):
			}
		}
		ended <- nil
	}()
	return ended
}

// leave lets the balancer see that the entry goes, and answers what is under way.
func (e *deployedEntry) leave(front *servers) {
	e.logger.Info("entry leaves")
	e.callers.SetLeaving()
	notice := time.NewTimer(noticeTime)
	resigning, cancelResign := context.WithTimeout(context.Background(), noticeTime)
	defer cancelResign()
	e.scheduler.Resign(resigning)
	<-notice.C
	drain, cancel := context.WithTimeout(context.Background(), time.Duration(drainShare*float64(e.settings.Bounds.TerminationGrace))-noticeTime)
	defer cancel()
	for _, s := range front.list {
		if err := s.Shutdown(drain); err != nil {
			e.logger.Warn("drain time is over while calls are under way", "error", err)
		}
	}
}
