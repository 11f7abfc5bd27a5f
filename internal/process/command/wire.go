//go:build wireinject

package command

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/google/wire"
	"github.com/hashicorp/go-hclog"

	"corianderpass/internal/connection/relay"
	"corianderpass/internal/connection/remote"
	"corianderpass/internal/process/agent"
	"corianderpass/internal/process/entry"
	"corianderpass/internal/process/intake"
	"corianderpass/internal/process/permit"
	"corianderpass/internal/process/presence"
	"corianderpass/internal/process/runner"
	"corianderpass/internal/process/scheduler"
	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
	adapter "corianderpass/platform"
)

// initializeEntry builds an entry that reaches the platform over HTTP.
func initializeEntry(s entry.Settings, logger hclog.Logger) *entry.Entry {
	wire.Build(
		providePlatform, provideDialer, entry.New,
		wire.Bind(new(platform.Log), new(*remote.Client)),
		wire.Bind(new(platform.Workers), new(*remote.Client)),
	)
	return nil
}

// initializeAgent builds an agent.
func initializeAgent(s agent.Settings, logger hclog.Logger) *agent.Agent {
	wire.Build(provideDialer, provideMinionDial, agent.New)
	return nil
}

// deployed are the parts of every process on the users' platform.
var deployed = wire.NewSet(
	provideIncarnation, provideStore, provideKeyedStore, provideClock, workload.NewState, metrics.NewSet,
	providePool, providePath, provideKeyedLog, providePlainLog, wire.Struct(new(members)),
	wire.Bind(new(platform.Log), new(*relay.Log)),
)

// initializeDeployedEntry builds an entry on the users' platform.
func initializeDeployedEntry(s adapter.Settings, logger hclog.Logger) *deployedEntry {
	wire.Build(
		deployed, provideEntryJournal, provideSchedulerSettings, provideIntakeSettings,
		wire.Struct(new(leadership)), wire.Struct(new(bundle.Register)), provideRelayTable, provideNotify,
		wire.Bind(new(platform.KeyedLog), new(*relay.KeyedLog)),
		presence.NewListener, scheduler.New, intake.New, adapter.NewBundleWatcher, adapter.NewCallerServer, newDeployedEntry,
		wire.Bind(new(intake.BundleFreshness), new(*adapter.BundleWatcher)),
		permit.New, adapter.NewAdviserClient, wire.Bind(new(permit.Adviser), new(*adapter.AdviserClient)),
	)
	return nil
}

// initializeDeployedAgent builds an agent on the users' platform.
func initializeDeployedAgent(s adapter.Settings, logger hclog.Logger) *deployedAgent {
	wire.Build(
		deployed, provideAgentJournal, provideRunnerSettings,
		adapter.NewMinionClient, wire.Bind(new(runner.Minion), new(*adapter.MinionClient)),
		runner.New, adapter.NewRegistrationServer, newDeployedAgent,
	)
	return nil
}
