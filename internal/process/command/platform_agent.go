package command

import (
	"context"
	"fmt"
	"maps"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/connection/relay"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/runner"
	"corianderpass/internal/process/workload"
	adapter "corianderpass/platform"
)

// platformAgent is the agent process on the users' platform.
type platformAgent struct {
	settings     adapter.Settings
	journal      *journal.Journal[workload.Record]
	runner       *runner.Runner
	registration *adapter.RegistrationServer
	path         *relay.Path
	pool         *link.Pool
	metrics      *metrics.Set
	logger       hclog.Logger
}

func newPlatformAgent(s adapter.Settings, j *journal.Journal[workload.Record], r *runner.Runner, registration *adapter.RegistrationServer,
	metricSet *metrics.Set, logger hclog.Logger, path *relay.Path, pool *link.Pool, state *workload.State, entries *entryList,
) *platformAgent {
	entries.readFrom(j, state)
	notifySlow(s.Node, path, pool, entries, func() []link.Address { return nil }, logger)
	return &platformAgent{
		settings: s, journal: j, runner: r, registration: registration, path: path, pool: pool, metrics: metricSet, logger: logger,
	}
}

func runPlatformAgent(ctx context.Context, s adapter.Settings, port metricsPort, logger hclog.Logger) error {
	return initializePlatformAgent(s, logger).run(ctx, port)
}

// run serves until the context ends or an HTTP server fails. It does not stop the tasks on the
// minion: they go on under their leases.
func (a *platformAgent) run(ctx context.Context, port metricsPort) error {
	servingCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var internalServers servers
	defer internalServers.close()
	if err := internalServers.listenAndServe(a.settings.RegistrationAddress, a.registration.Handler()); err != nil {
		return err
	}
	if err := port.listenAndServe(&internalServers, a.metrics); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", a.settings.LinkAddress)
	if err != nil {
		return fmt.Errorf("command: listen on link address: %w", err)
	}
	handlers := a.runner.Handlers()
	maps.Copy(handlers, relay.SlowHandlers(a.path))
	linkServerEnded := link.NewServer(handlers).Serve(servingCtx, listener)
	defer a.pool.Close()
	pathEnded := a.path.Start(servingCtx)
	journalEnded := a.journal.Start(servingCtx)
	runnerEnded := a.runner.Start(ctx)
	a.logger.Info("agent started", "minion", a.settings.OrderAddress, "store", a.settings.StoreAddress)
	select {
	case <-ctx.Done():
	case err := <-internalServers.ended:
		return fmt.Errorf("command: registration or metrics server ended: %w", err)
	}
	a.logger.Info("agent is leaving")
	if err := <-runnerEnded; err != nil {
		return err
	}
	stop()
	<-pathEnded
	<-linkServerEnded
	return <-journalEnded
}
