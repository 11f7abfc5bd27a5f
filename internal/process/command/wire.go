//go:build wireinject

package command

import (
	"github.com/google/wire"
	"github.com/hashicorp/go-hclog"

	"corianderpass/internal/connection/remote"
	"corianderpass/internal/process/agent"
	"corianderpass/internal/process/entry"
	"corianderpass/pkg/platform"
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
