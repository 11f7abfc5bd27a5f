package command

import (
	"context"
	"fmt"
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

// deployedAgent is an agent on the users' platform.
type deployedAgent struct {
	settings     adapter.Settings
	journal      *journal.Journal[workload.Record]
	runner       *runner.Runner
	registration *adapter.RegistrationServer
	path         *relay.Path
	pool         *link.Pool
	metrics      *metrics.Set
	logger       hclog.Logger
}

func newDeployedAgent(s adapter.Settings, j *journal.Journal[workload.Record], r *runner.Runner, g *adapter.RegistrationServer,
	set *metrics.Set, logger hclog.Logger, path *relay.Path, pool *link.Pool, state *workload.State, m *members,
) *deployedAgent {
	m.watch(j, state)
	return &deployedAgent{
		settings: s, journal: j, runner: r, registration: g, path: path, pool: pool, metrics: set, logger: logger,
	}
}

func runDeployedAgent(ctx context.Context, s adapter.Settings, port metricsPort, logger hclog.Logger) error {
	return initializeDeployedAgent(s, logger).run(ctx, port)
}

// run serves until the context ends. Tasks outlive the agent under their leases.
func (a *deployedAgent) run(ctx context.Context, port metricsPort) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var side servers
	defer side.close()
	if err := side.serve(a.settings.RegistrationAddress, a.registration.Handler()); err != nil {
		return err
	}
	if err := port.serve(&side, a.metrics); err != nil {
		return err
	}
	links, err := net.Listen("tcp", a.settings.LinkAddress)
	if err != nil {
		return fmt.Errorf("command: listen for processes: %w", err)
	}
	linksEnded := link.NewServer(a.runner.Table()).Serve(serving, links)
	defer a.pool.Close()
	pathEnded := a.path.Start(serving)
	journalEnded := a.journal.Start(serving)
	runnerEnded := a.runner.Start(ctx)
	a.logger.Info("agent started", "minion", a.settings.OrderAddress, "store", a.settings.StoreAddress)
	select {
	case <-ctx.Done():
	case err := <-side.ended:
		return fmt.Errorf("command: server ended: %w", err)
	}
	a.logger.Info("agent leaves")
	if err := <-runnerEnded; err != nil {
		return err
	}
	stop()
	<-pathEnded
	<-linksEnded
	return <-journalEnded
}
