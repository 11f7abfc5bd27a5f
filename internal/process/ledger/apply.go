package ledger

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/version/bundle"
)

var (
	// ErrRulesMismatch means that a record was written for a version of the rules that
	// is not in force.
	ErrRulesMismatch = errors.New("ledger: record is for another rules version")
	// ErrOutdated means that the rules in force are newer than this build.
	ErrOutdated = errors.New("ledger: rules version in force is newer than this build")
	// ErrNoBundle means that no bundle has been adopted.
	ErrNoBundle = errors.New("ledger: no bundle is in force")
	// ErrStaleVersion means that the bundle is not newer than the adopted one.
	ErrStaleVersion = errors.New("ledger: bundle version is not newer")
	// ErrUnknownJob means that there is no such job, or that it was removed after its
	// retention time.
	ErrUnknownJob = errors.New("ledger: no such job")
	// ErrJobExists means that a job with this ID and specification was submitted before.
	ErrJobExists = errors.New("ledger: job exists")
	// ErrJobConflict means that the ID belongs to a job with another specification.
	ErrJobConflict = errors.New("ledger: job ID belongs to a job with another specification")
	// ErrInvalidJob means that a field of a specification is out of range.
	ErrInvalidJob = errors.New("ledger: invalid job")
	// ErrNeverFits means that the region could not run the job even if it were empty.
	ErrNeverFits = errors.New("ledger: job can never run in this region")
	// ErrTooManyJobs means that the organisation has reached its limit of jobs that have
	// not ended.
	ErrTooManyJobs = errors.New("ledger: organisation has too many jobs that have not ended")
	// ErrUnknownOrganisation means that the bundle has no such organisation.
	ErrUnknownOrganisation = errors.New("ledger: no such organisation")
	// ErrNoWorkers means that the region has no workers yet.
	ErrNoWorkers = errors.New("ledger: region has no workers yet")
	// ErrWrongEpoch means that the record's epoch is not the one that the state requires.
	ErrWrongEpoch = errors.New("ledger: wrong epoch")
	// ErrWrongPhase means that the job's phase does not allow the record.
	ErrWrongPhase = errors.New("ledger: wrong job phase")
	// ErrInvalidPlacement means that a placement does not match the job, the workers or
	// the slots.
	ErrInvalidPlacement = errors.New("ledger: invalid placement")
	// ErrGuaranteeBroken means that a firm placement would leave a slot of a guarantee
	// without a place.
	ErrGuaranteeBroken = errors.New("ledger: placement breaks a guarantee")
	// ErrQuota means that a placement exceeds the organisation's quota.
	ErrQuota = errors.New("ledger: quota exceeded")
	// ErrClaimed means that the request ID is already claimed for the same request.
	ErrClaimed = errors.New("ledger: request is already claimed")
	// ErrRequestConflict means that the request ID is claimed for another service or body.
	ErrRequestConflict = errors.New("ledger: request ID is claimed for another service or body")
	// ErrUnknownClaim means that there is no such unsettled claim.
	ErrUnknownClaim = errors.New("ledger: no such unsettled claim")
	// ErrNoChange means that a record would change nothing.
	ErrNoChange = errors.New("ledger: no change")
)

// Apply implements journal.StateMachine. Every record, accepted or rejected, sets the
// state's time and removes the ended jobs and settled claims whose retention time has
// passed. An error means that the record is rejected and changes nothing else.
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
	if r.Rules != s.rulesVersion {
		return fmt.Errorf("%w: got %d, in force %d", ErrRulesMismatch, r.Rules, s.rulesVersion)
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
	return errors.New("ledger: record is empty")
}

// raise brings a newer version of the rules into force. A build that does not implement
// it rejects every later record and writes no snapshot; its process must end.
func (s *State) raise(r Raise) error {
	if r.To <= s.rulesVersion {
		return fmt.Errorf("%w: rules version %d is in force", ErrNoChange, s.rulesVersion)
	}
	s.rulesVersion = r.To
	return nil
}

// Outdated reports whether the rules in force are newer than this build.
func (s *State) Outdated() bool { return s.rulesVersion > CurrentRulesVersion }

// RulesVersion returns the version of the rules in force.
func (s *State) RulesVersion() RulesVersion { return s.rulesVersion }

func (s *State) adopt(a Adopt) error {
	if a.Bundle == nil {
		return ErrNoBundle
	}
	if a.Version <= s.version {
		return fmt.Errorf("%w: got %d, adopted %d", ErrStaleVersion, a.Version, s.version)
	}
	s.version = a.Version
	s.bundle = a.Bundle
	s.adoptSlots(a.Bundle)
	return nil
}

// expiry is an ended job or a settled claim that is removed after its retention time.
// Exactly one of Job and Claim is set.
type expiry struct {
	// At is when the job ended or the claim was settled. The retention time counts from
	// then on.
	At    time.Time
	Job   JobID    `json:",omitempty"`
	Claim ClaimKey `json:",omitempty"`
}

// addExpiry appends an ended job or a settled claim to expiries with the current time, so
// that the list is in the order of time.
func (s *State) addExpiry(e expiry) {
	e.At = s.now
	s.expiries = append(s.expiries, e)
}

// removeExpired removes the ended jobs and settled claims whose retention time in the
// bundle has passed. Jobs and claims have different retention times, so an element of
// expiries may stay while a later one is removed.
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

// organisation returns an organisation of the adopted bundle.
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
