package agent

import (
	"github.com/pkg/errors"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/settings"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// Settings configure an Agent.
type Settings struct {
	// Name identifies the process in logs and in its incarnation.
	Name          string
	Region        platform.Region
	FailureDomain platform.FailureDomain
	// LinkAddress is where the agent serves entries.
	LinkAddress link.Address
	// LocalAddress is where the agent serves the minion's announcements, metrics and
	// health over HTTP.
	LocalAddress string
	// Entries are the link addresses of some entries of the region.
	Entries []string
	// NoticeTime is how long a draining agent answers orders with refusals before it may
	// end. It must be long enough for every entry to learn of the drain.
	NoticeTime bundle.Duration
	// DrainTime is how long a draining agent waits, after NoticeTime, for running
	// requests to end.
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
		settings.CheckDistinct([]string{"LinkAddress", "LocalAddress"}, []string{string(s.LinkAddress), s.LocalAddress}),
		settings.CheckLogLevel("LogLevel", s.LogLevel),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	if len(s.Entries) == 0 {
		return errors.New("Entries is empty: the agent needs at least one entry to send heartbeats to")
	}
	if s.NoticeTime < 0 || s.DrainTime < 0 {
		return errors.New("NoticeTime or DrainTime is negative")
	}
	return nil
}
