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
	"corianderpass/internal/process/evacuation"
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

// initializeEntry returns an entry that calls the platform of pkg/platform over HTTP.
func initializeEntry(s entry.Settings, logger hclog.Logger) *entry.Entry {
	wire.Build(
		providePlatformClient, provideDialer, entry.New,
		wire.Bind(new(platform.Log), new(*remote.Client)),
		wire.Bind(new(platform.Workers), new(*remote.Client)),
	)
	return nil
}

// initializeAgent returns an agent for the entries that initializeEntry returns.
func initializeAgent(s agent.Settings, logger hclog.Logger) *agent.Agent {
	wire.Build(provideDialer, provideMinionDialer, agent.New)
	return nil
}

// commonProviders provides the parts that entries and agents on the users' platform have in common.
var commonProviders = wire.NewSet(
	provideIncarnation, provideStore, provideKeyedStore, provideClock, workload.NewState, metrics.NewSet,
	providePool, providePath, provideKeyedLog, providePlainLog, wire.Struct(new(entryList)),
	wire.Bind(new(platform.Log), new(*relay.Log)),
)

// initializePlatformEntry returns an entry for the users' platform.
func initializePlatformEntry(s adapter.Settings, logger hclog.Logger) *platformEntry {
	wire.Build(
		commonProviders, provideEntryJournal, provideSchedulerSettings, provideIntakeSettings,
		wire.Struct(new(leaderStatus)), wire.Struct(new(bundle.Register)), wire.Struct(new(evacuation.Requests)), provideRelayHandlers, provideNotify, provideCallEntry,
		wire.Bind(new(platform.KeyedLog), new(*relay.KeyedLog)),
		presence.NewListener, scheduler.New, intake.New, adapter.NewOperatorWatcher, adapter.NewCallerServer, newPlatformEntry,
		wire.Bind(new(intake.BundleFreshness), new(*adapter.OperatorWatcher)),
		provideEvacuationRank, evacuation.New,
		permit.New, adapter.NewAdviserClient, wire.Bind(new(permit.Adviser), new(*adapter.AdviserClient)),
	)
	return nil
}

// initializePlatformAgent returns an agent for the users' platform.
func initializePlatformAgent(s adapter.Settings, logger hclog.Logger) *platformAgent {
	wire.Build(
		commonProviders, provideAgentJournal, provideRunnerSettings,
		adapter.NewMinionClient, wire.Bind(new(runner.Minion), new(*adapter.MinionClient)),
		runner.New, adapter.NewRegistrationServer, newPlatformAgent,
	)
	return nil
}
