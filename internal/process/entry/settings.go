package entry

import (
	"fmt"

	"github.com/pkg/errors"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/settings"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// Settings are what an entry is told at its start.
type Settings struct {
	// Name identifies the process in logs and incarnations.
	Name          string
	Region        platform.Region
	FailureDomain platform.FailureDomain
	// CallerAddress serves callers and operators, behind the balancer.
	CallerAddress string
	// LinkAddress is where agents and other entries reach this one.
	LinkAddress link.Address
	// AdminAddress serves metrics and health.
	AdminAddress string
	// PlatformAddress is where the platform is reached.
	PlatformAddress string
	// Peers are the link addresses of some other entries, of any region.
	Peers []string
	// RootOperators may draft, approve and roll the very first bundle.
	RootOperators []bundle.Operator
	// NoticeTime is how long a leaving entry goes on to serve, so that the
	// balancer sees that it is no longer ready.
	NoticeTime bundle.Duration
	// DrainTime is how long it then waits for requests under way.
	DrainTime bundle.Duration
	// SnapshotAge is the longest time between two snapshots of a stream. It must
	// be well below the log's retention.
	SnapshotAge bundle.Duration
	// LogLevel is one of Trace, Debug, Info, Warn and Error.
	LogLevel string
}

// Check implements settings.Checker.
func (s *Settings) Check() error {
	addresses := []string{s.CallerAddress, string(s.LinkAddress), s.AdminAddress}
	checks := []error{
		settings.CheckName("Name", s.Name),
		settings.CheckName("Region", string(s.Region)),
		settings.CheckName("FailureDomain", string(s.FailureDomain)),
		settings.CheckAddress("CallerAddress", s.CallerAddress),
		settings.CheckAddress("LinkAddress", string(s.LinkAddress)),
		settings.CheckAddress("AdminAddress", s.AdminAddress),
		settings.CheckAddress("PlatformAddress", s.PlatformAddress),
		settings.CheckAddresses("Peers", s.Peers),
		settings.CheckDistinct([]string{"CallerAddress", "LinkAddress", "AdminAddress"}, addresses),
		settings.CheckLogLevel("LogLevel", s.LogLevel),
		s.checkRootOperators(),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	switch {
	case s.NoticeTime < 0:
		return errors.New("NoticeTime is negative")
	case s.DrainTime < 0:
		return errors.New("DrainTime is negative")
	case s.SnapshotAge < 0:
		return errors.New("SnapshotAge is negative")
	}
	return nil
}

// checkRootOperators tells whether the root operators could bring a first bundle into force.
func (s *Settings) checkRootOperators() error {
	if len(s.RootOperators) < 2 {
		return errors.New("RootOperators must name at least two operators: an author and one who approves")
	}
	roots := bundle.Bundle{ApprovalsNeeded: 1, Operators: s.RootOperators}
	if err := roots.CheckOperators(); err != nil {
		return fmt.Errorf("RootOperators: %w", err)
	}
	return nil
}
