package agent

import (
	"github.com/pkg/errors"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/settings"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// Settings are what an agent is told at its start.
type Settings struct {
	// Name identifies the process in logs and incarnations.
	Name          string
	Region        platform.Region
	FailureDomain platform.FailureDomain
	// LinkAddress is where entries reach the agent.
	LinkAddress link.Address
	// LocalAddress serves the minion's announcements, metrics and health.
	LocalAddress string
	// Entries are the link addresses of some entries of the region.
	Entries []string
	// NoticeTime is how long a leaving agent goes on to refuse requests, so that
	// every entry hears of it before the agent is gone.
	NoticeTime bundle.Duration
	// DrainTime is how long a leaving agent then waits for running requests.
	DrainTime bundle.Duration
	// LogLevel is one of Trace, Debug, Info, Warn and Error.
	LogLevel string
}

// Check implements settings.Checker.
func (s *Settings) Check() error {
	checks := []error{
		settings.CheckName("Name", s.Name),
		settings.CheckName("Region", string(s.Region)),
		settings.CheckName("FailureDomain", string(s.FailureDomain)),
		settings.CheckAddress("LinkAddress", string(s.LinkAddress)),
		settings.CheckAddress("LocalAddress", s.LocalAddress),
		settings.CheckAddresses("Entries", s.Entries),
		settings.CheckApart([]string{"LinkAddress", "LocalAddress"}, []string{string(s.LinkAddress), s.LocalAddress}),
		settings.CheckLevel("LogLevel", s.LogLevel),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	if len(s.Entries) == 0 {
		return errors.New("Entries is empty: the agent could announce itself to nobody")
	}
	if s.NoticeTime < 0 || s.DrainTime < 0 {
		return errors.New("NoticeTime or DrainTime is negative")
	}
	return nil
}
