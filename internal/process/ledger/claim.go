package ledger

import (
	"fmt"
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// ClaimKey names a claimed request: the organisation, a slash and the caller's
// own request ID.
type ClaimKey string

// NewClaimKey returns the key of an organisation's request.
func NewClaimKey(organisation bundle.OrganisationName, id string) ClaimKey {
	return ClaimKey(string(organisation) + "/" + id)
}

// DispatchID names one try to run a request at one agent.
type DispatchID string

// Target is the agent to which a request goes.
type Target struct {
	Agent   incarnation.ID
	Address incarnation.Address
}

// Fate tells whether a request ran.
type Fate string

// The fates of a request.
const (
	// FateRan requests ran; there is an answer.
	FateRan Fate = "Ran"
	// FateNotRun requests did not run and never will under the same dispatch.
	FateNotRun Fate = "NotRun"
	// FateUnknown requests may have run.
	FateUnknown Fate = "Unknown"
)

// Answer is the whole answer to a request.
type Answer struct {
	Fate Fate
	// Status is the minion's HTTP status if it ran.
	Status int    `json:",omitempty"`
	Body   []byte `json:",omitempty"`
	// Error is set if there is no body.
	Error string `json:",omitempty"`
}

// ClaimState is a claimed request.
type ClaimState struct {
	// Epoch rises with every change of owner or target.
	Epoch platform.Epoch
	Owner incarnation.ID
	// OwnerAddress is where the owner's link is reached.
	OwnerAddress incarnation.Address
	Service      bundle.ServiceName
	// BodyDigest is the SHA-256 of the body in hexadecimal.
	BodyDigest string
	Dispatch   DispatchID
	Target     Target
	Claimed    time.Time
	// Answer is set when the claim is settled.
	Answer *Answer `json:",omitempty"`
}

// Claim takes a request ID for its first owner.
type Claim struct {
	Key          ClaimKey
	Owner        incarnation.ID
	OwnerAddress incarnation.Address
	Service      bundle.ServiceName
	BodyDigest   string
	Dispatch     DispatchID
	Target       Target
}

// Reclaim gives an unsettled claim a new owner or target. It may be recorded
// only once the dispatch under the old epoch can no longer start.
type Reclaim struct {
	Key          ClaimKey
	Epoch        platform.Epoch
	Owner        incarnation.ID
	OwnerAddress incarnation.Address
	Dispatch     DispatchID
	Target       Target
}

// Settle records the final answer of a claim.
type Settle struct {
	Key    ClaimKey
	Epoch  platform.Epoch
	Answer Answer
}

// Unclaim gives an ID free whose request did not run and will not.
type Unclaim struct {
	Key   ClaimKey
	Epoch platform.Epoch
}

// Claim returns a claimed request, nil if there is none. It must not be changed.
func (s *State) Claim(key ClaimKey) *ClaimState { return s.claims[key] }

// UnsettledClaims returns the keys of unsettled claims older than the age.
func (s *State) UnsettledClaims(now time.Time, age time.Duration) []ClaimKey {
	var keys []ClaimKey
	for k, c := range s.claims {
		if c.Answer == nil && now.Sub(c.Claimed) >= age {
			keys = append(keys, k)
		}
	}
	return keys
}

func (s *State) claim(c Claim) error {
	if s.bundle == nil {
		return ErrNoBundle
	}
	if existing := s.claims[c.Key]; existing != nil {
		if existing.BodyDigest != c.BodyDigest || existing.Service != c.Service {
			return fmt.Errorf("%w: %s", ErrRequestConflict, c.Key)
		}
		return fmt.Errorf("%w: %s by %s", ErrClaimed, c.Key, existing.Owner)
	}
	s.claims[c.Key] = &ClaimState{
		Epoch: 1, Owner: c.Owner, OwnerAddress: c.OwnerAddress, Service: c.Service, BodyDigest: c.BodyDigest,
		Dispatch: c.Dispatch, Target: c.Target, Claimed: s.now,
	}
	return nil
}

// unsettledClaim returns the open claim if the epoch is the expected one.
func (s *State) unsettledClaim(key ClaimKey, epoch platform.Epoch, increment platform.Epoch) (*ClaimState, error) {
	c := s.claims[key]
	if c == nil || c.Answer != nil {
		return nil, fmt.Errorf("%w: %s", ErrUnknownClaim, key)
	}
	if epoch != c.Epoch+increment {
		return nil, fmt.Errorf("%w: claim %s is at %d", ErrWrongEpoch, key, c.Epoch)
	}
	return c, nil
}

func (s *State) reclaim(r Reclaim) error {
	c, err := s.unsettledClaim(r.Key, r.Epoch, 1)
	if err != nil {
		return err
	}
	updated := *c
	updated.Epoch = r.Epoch
	updated.Owner = r.Owner
	updated.OwnerAddress = r.OwnerAddress
	updated.Dispatch = r.Dispatch
	updated.Target = r.Target
	s.claims[r.Key] = &updated
	return nil
}

func (s *State) settle(r Settle) error {
	c, err := s.unsettledClaim(r.Key, r.Epoch, 0)
	if err != nil {
		return err
	}
	updated := *c
	answer := r.Answer
	updated.Answer = &answer
	s.claims[r.Key] = &updated
	s.addExpiry(expiry{Claim: r.Key})
	return nil
}

func (s *State) unclaim(r Unclaim) error {
	if _, err := s.unsettledClaim(r.Key, r.Epoch, 0); err != nil {
		return err
	}
	delete(s.claims, r.Key)
	return nil
}
