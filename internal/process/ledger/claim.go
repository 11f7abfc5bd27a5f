package ledger

import (
	"fmt"
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// ClaimKey identifies a claimed request: the organisation's name, a slash and the
// request ID that the caller chose.
type ClaimKey string

// NewClaimKey returns the key of an organisation's request with the caller's ID.
func NewClaimKey(organisation bundle.OrganisationName, id string) ClaimKey {
	return ClaimKey(string(organisation) + "/" + id)
}

// DispatchID identifies one attempt to run a request at one agent.
type DispatchID string

// Target is the agent to which a request is sent.
type Target struct {
	Agent   incarnation.ID
	Address incarnation.Address
}

// Fate is whether a request ran.
type Fate string

// The fates of a request.
const (
	// FateRan requests ran; the minion's answer is known.
	FateRan Fate = "Ran"
	// FateNotRun requests did not run and never will under the same dispatch.
	FateNotRun Fate = "NotRun"
	// FateUnknown requests may have run.
	FateUnknown Fate = "Unknown"
)

// Answer is the final answer to a request.
type Answer struct {
	Fate Fate
	// Status is the minion's HTTP status if the request ran, otherwise 0.
	Status int    `json:",omitempty"`
	Body   []byte `json:",omitempty"`
	// Error is the reason why there is no body; empty if there is one.
	Error string `json:",omitempty"`
}

// ClaimState is the state of a claimed request. It is replaced, never changed in place.
type ClaimState struct {
	// Epoch is 1 at first and rises by 1 with every change of owner or target.
	Epoch platform.Epoch
	// Owner is the entry that dispatches the request and settles the claim.
	Owner incarnation.ID
	// OwnerAddress is the address of the owner's link.
	OwnerAddress incarnation.Address
	Service      bundle.ServiceName
	// BodyDigest is the SHA-256 of the body in hexadecimal.
	BodyDigest string
	// Dispatch identifies the current attempt, and Target is the agent to which it is
	// sent.
	Dispatch DispatchID
	Target   Target
	// Claimed is when the ID was first claimed.
	Claimed time.Time
	// Answer is nil until the claim is settled.
	Answer *Answer `json:",omitempty"`
}

// Claim reserves a request ID for its first owner. It is rejected if the ID is claimed.
type Claim struct {
	Key          ClaimKey
	Owner        incarnation.ID
	OwnerAddress incarnation.Address
	Service      bundle.ServiceName
	BodyDigest   string
	Dispatch     DispatchID
	Target       Target
}

// Reclaim gives an unsettled claim a new owner or target. Epoch is the claim's next
// epoch. It must be proposed only once the dispatch under the old epoch can no longer
// start.
type Reclaim struct {
	Key          ClaimKey
	Epoch        platform.Epoch
	Owner        incarnation.ID
	OwnerAddress incarnation.Address
	Dispatch     DispatchID
	Target       Target
}

// Settle records the final answer to a claimed request.
type Settle struct {
	Key    ClaimKey
	Epoch  platform.Epoch
	Answer Answer
}

// Unclaim removes an unsettled claim whose request did not run and never will, so that
// its ID can be claimed again.
type Unclaim struct {
	Key   ClaimKey
	Epoch platform.Epoch
}

// Claim returns the state of a claimed request, nil if there is none. It must not be
// changed.
func (s *State) Claim(key ClaimKey) *ClaimState { return s.claims[key] }

// UnsettledClaims returns the keys, in no particular order, of the unsettled claims that
// at the time now are at least as old as age.
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
		return fmt.Errorf("%w: %s, owned by %s", ErrClaimed, c.Key, existing.Owner)
	}
	s.claims[c.Key] = &ClaimState{
		Epoch: 1, Owner: c.Owner, OwnerAddress: c.OwnerAddress, Service: c.Service, BodyDigest: c.BodyDigest,
		Dispatch: c.Dispatch, Target: c.Target, Claimed: s.now,
	}
	return nil
}

// unsettledClaim returns the unsettled claim if epoch is the claim's epoch plus increment.
func (s *State) unsettledClaim(key ClaimKey, epoch platform.Epoch, increment platform.Epoch) (*ClaimState, error) {
	c := s.claims[key]
	if c == nil || c.Answer != nil {
		return nil, fmt.Errorf("%w: %s", ErrUnknownClaim, key)
	}
	if epoch != c.Epoch+increment {
		return nil, fmt.Errorf("%w: claim %s has epoch %d", ErrWrongEpoch, key, c.Epoch)
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
