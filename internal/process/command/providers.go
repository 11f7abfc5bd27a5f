package command

import (
	"corianderpass/internal/connection/link"
	"corianderpass/internal/connection/remote"
	"corianderpass/internal/process/agent"
	"corianderpass/internal/process/entry"
)

func providePlatformClient(s entry.Settings) *remote.Client {
	return remote.NewClient(s.PlatformAddress)
}

func provideDialer() link.Dialer { return link.DialTCP }

func provideMinionDialer() agent.MinionDialer { return agent.DialMinion }
