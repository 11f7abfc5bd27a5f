package ledger

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/version/bundle"
)

var (
	// ErrRulesMismatch tells that a record was written for other rules than those in force.
	ErrRulesMismatch = errors.New("ledger: record is for other rules")
	// ErrOutdated tells that this build is too old to judge the stream.
	ErrOutdated = errors.New("ledger: rules are in force that this build does not know")
	// ErrNoBundle tells that no bundle was adopted yet.
	ErrNoBundle = errors.New("ledger: no bundle is in force")
	// ErrStaleVersion tells that the bundle is not newer than the adopted one.
	ErrStaleVersion = errors.New("ledger: bundle version is not newer")
	// ErrUnknownJob tells that the job is not known, or no longer.
	ErrUnknownJob = errors.New("ledger: no such job")
	// ErrJobExists tells that the job was submitted before.
	ErrJobExists = errors.New("ledger: job exists")
	// ErrJobConflict tells that the ID belongs to a job with another specification.
	ErrJobConflict = errors.New("ledger: job ID is taken by another specification")
	// ErrInvalidJob tells that a specification contradicts itself.
	ErrInvalidJob = errors.New("ledger: invalid job")
	// ErrNeverFits tells that the region could not run the job even if it were empty.
	ErrNeverFits = errors.New("ledger: job can never run here")
	// ErrTooManyJobs tells that the organisation has too many jobs that have not ended.
	ErrTooManyJobs = errors.New("ledger: too many waiting jobs")
	// ErrUnknownOrganisation tells that the bundle has no such organisation.
	ErrUnknownOrganisation = errors.New("ledger: no such organisation")
	// ErrNoWorkers tells that no workers were recorded yet.
	ErrNoWorkers = errors.New("ledger: no workers are known yet")
	// ErrWrongEpoch tells that the record's epoch is not the one that is due.
	ErrWrongEpoch = errors.New("ledger: epoch has passed")
	// ErrWrongPhase tells that the job is in another phase.
	ErrWrongPhase = errors.New("ledger: job is in another phase")
	// ErrInvalidPlacement tells that a placement does not fit the state.
	ErrInvalidPlacement = errors.New("ledger: placement does not fit")
	// ErrGuaranteeBroken tells that a placement would leave a guarantee without its shape.
	ErrGuaranteeBroken = errors.New("ledger: placement breaks a guarantee")
	// ErrQuota tells that a placement exceeds the organisation's quota.
	ErrQuota = errors.New("ledger: quota exceeded")
	// ErrClaimed tells that the request's ID is claimed.
	ErrClaimed = errors.New("ledger: request is claimed")
	// ErrRequestConflict tells that the ID belongs to a request with another body.
	ErrRequestConflict = errors.New("ledger: request ID is taken by another body")
	// ErrUnknownClaim tells that no such claim is open.
	ErrUnknownClaim = errors.New("ledger: no such claim")
	// ErrNoChange tells that a record would change nothing.
	ErrNoChange = errors.New("ledger: nothing new")
)

// Apply implements journal.Machine.
func (s *State) Apply(at journal.Position, r Record) error {
	s.revision++
	s.now = at.Time.UTC()
	s.removeExpired()
	if s.Outdated() {
		return ErrOutdated
	}
	if r.Raise != nil {
		return s.raise(*r.Raise)
	}
	if r.Rules != s.rules {
		return fmt.Errorf("%w: for %d, in force %d", ErrRulesMismatch, r.Rules, s.rules)
	}
	switch {
	case r.Adopt != nil:
		return s.adopt(*r.Adopt)
	case r.Observe != nil:
		return s.observe(*r.Observe)
	case r.Claim != nil:
		return s.claim(*r.Claim)
	case r.Reclaim != nil:
		return s.reclaim(*r.Reclaim)
	case r.Settle != nil:
		return s.settle(*r.Settle)
	case r.Unclaim != nil:
		return s.unclaim(*r.Unclaim)
	}
	return s.applyJob(r)
}

func (s *State) applyJob(r Record) error {
	switch {
	case r.Submit != nil:
		return s.submit(*r.Submit)
	case r.Place != nil:
		return s.place(*r.Place)
	case r.Commit != nil:
		return s.commit(*r.Commit)
	case r.Abort != nil:
		return s.abort(*r.Abort)
	case r.Stopped != nil:
		return s.stopped(*r.Stopped)
	case r.Finish != nil:
		return s.finish(*r.Finish)
	case r.Cancel != nil:
		return s.cancel(*r.Cancel)
	case r.Takeover != nil:
		return s.takeover(*r.Takeover)
	case r.Yield != nil:
		return s.yield(*r.Yield)
	}
	return errors.New("ledger: empty record")
}

// raise brings newer rules into force. A build that does not know them judges
// nothing from there on and gives nobody its state; its process must end.
func (s *State) raise(r Raise) error {
	if r.To <= s.rules {
		return fmt.Errorf("%w: %d is in force", ErrNoChange, s.rules)
	}
	s.rules = r.To
	return nil
}

// Outdated tells whether rules are in force that this build does not know.
func (s *State) Outdated() bool { return s.rules > CurrentRulesVersion }

// RulesVersion returns the rules in force.
func (s *State) RulesVersion() RulesVersion { return s.rules }

func (s *State) adopt(a Adopt) error {
	if a.Bundle == nil {
		return ErrNoBundle
	}
	if a.Version <= s.version {
		return fmt.Errorf("%w: %d, adopted is %d", ErrStaleVersion, a.Version, s.version)
	}
	s.version = a.Version
	s.bundle = a.Bundle
	s.adoptSlots(a.Bundle)
	return nil
}

// expiry remembers when an ended job or a settled claim may be forgotten.
type expiry struct {
	At    time.Time
	Job   JobID    `json:",omitempty"`
	Claim ClaimKey `json:",omitempty"`
}

// addExpiry notes an end. Ends are recorded in the order of time, and the two
// kinds have different memories, so each waits for its own.
func (s *State) addExpiry(e expiry) {
	e.At = s.now
	s.expiries = append(s.expiries, e)
}

// removeExpired forgets what ended longer ago than the bundle tells to remember.
func (s *State) removeExpired() {
	if s.bundle == nil {
		return
	}
	remaining := s.expiries[:0]
	for i, e := range s.expiries {
		retention := s.bundle.Sharing.JobMemory
		if e.Claim != "" {
			retention = s.bundle.Limits.RequestMemory
		}
		if s.now.Sub(e.At) < min(s.bundle.Sharing.JobMemory, s.bundle.Limits.RequestMemory).Std() {
			remaining = append(remaining, s.expiries[i:]...)
			break
		}
		if s.now.Sub(e.At) < retention.Std() {
			remaining = append(remaining, e)
			continue
		}
		delete(s.jobs, e.Job)
		delete(s.claims, e.Claim)
	}
	s.expiries = remaining
}

// organisation returns the organisation of the adopted bundle.
func (s *State) organisation(name bundle.OrganisationName) (bundle.Organisation, error) {
	if s.bundle == nil {
		return bundle.Organisation{}, ErrNoBundle
	}
	o, known := s.bundle.Organisation(name)
	if !known {
		return o, fmt.Errorf("%w: %q", ErrUnknownOrganisation, name)
	}
	return o, nil
}
