package entry

import (
	"fmt"

	"github.com/pkg/errors"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/settings"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// Settings is the configuration of an entry, read at its start.
type Settings struct {
	// Name is the process's name in logs; incarnation IDs begin with it.
	Name          string
	Region        platform.Region
	FailureDomain platform.FailureDomain
	// CallerAddress is where callers and operators are served, behind the balancer.
	CallerAddress string
	// LinkAddress is where agents and other entries reach this one.
	LinkAddress link.Address
	// AdminAddress is where metrics, liveness and readiness are served.
	AdminAddress string
	// PlatformAddress is the address of the platform.
	PlatformAddress string
	// Peers are the link addresses of some other entries, of any region. From them the entry
	// gets the addresses of all others.
	Peers []string
	// RootOperators may draft, approve and roll the first bundle, which must name them.
	RootOperators []bundle.Operator
	// NoticeTime is how long a leaving entry still accepts requests, so that the balancer
	// has time to see that it is no longer ready.
	NoticeTime bundle.Duration
	// DrainTime is how long, after NoticeTime, a leaving entry waits for running requests.
	DrainTime bundle.Duration
	// SnapshotAge is the longest time between two snapshots of a stream. It must be much
	// shorter than the log's retention.
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

// checkRootOperators returns an error if the root operators could not bring a first bundle
// into force: there must be two, with valid names and keys.
func (s *Settings) checkRootOperators() error {
	if len(s.RootOperators) < 2 {
		return errors.New("RootOperators must name at least two operators: one drafts the first bundle and another approves it")
	}
	roots := bundle.Bundle{ApprovalsNeeded: 1, Operators: s.RootOperators}
	if err := roots.CheckOperators(); err != nil {
		return fmt.Errorf("RootOperators: %w", err)
	}
	return nil
}
