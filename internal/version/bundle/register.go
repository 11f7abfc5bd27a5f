package bundle

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/journal"
)

const (
	// maxOpenDrafts is the maximum number of open drafts, and of digests in
	// registerState.Beaten. The oldest one is dropped for a new one.
	maxOpenDrafts = 64
	// historyLength is the maximum number of releases in the history.
	historyLength = 32
)

var (
	// ErrSuperseded means that the base version of the draft is not the one in force,
	// since another draft was rolled in the meantime.
	ErrSuperseded = errors.New("bundle: another version came into force first")
	// ErrUnknownDraft means that no open draft has the digest.
	ErrUnknownDraft = errors.New("bundle: no such draft")
	// ErrNotOperator means that the bundle whose operators decide on the draft has no
	// operator of this name.
	ErrNotOperator = errors.New("bundle: unknown operator")
	// ErrSelfApproval means that the author of a draft tried to approve it.
	ErrSelfApproval = errors.New("bundle: authors cannot approve their own draft")
	// ErrNotApproved means that a draft has fewer approvals than ApprovalsNeeded.
	ErrNotApproved = errors.New("bundle: draft has too few approvals")
	// ErrDraftExists means that a draft with the same base and document is open.
	ErrDraftExists = errors.New("bundle: draft is already open")
)

// Record is a record of the bundle stream. Exactly one field is set.
type Record struct {
	Draft   *Draft    `json:",omitempty"`
	Approve *Approval `json:",omitempty"`
	Roll    *Roll     `json:",omitempty"`
}

// Draft proposes a document as the successor of a version.
type Draft struct {
	Author OperatorName
	// Base is the version in force that the document is to replace; 0 for the first.
	Base Version
	// Document is in TOML, as Parse reads it.
	Document string
	// Signature is the author's signature of ActionDraft.
	Signature []byte
}

// Approval is the approval of an open draft by an operator other than its author.
type Approval struct {
	Operator OperatorName
	Digest   Digest
	// Signature is the operator's signature of ActionApprove.
	Signature []byte
}

// Roll brings an approved draft into force.
type Roll struct {
	Operator OperatorName
	Digest   Digest
	// Signature is the operator's signature of ActionRoll.
	Signature []byte
}

// OpenDraft is a draft that was recorded and neither rolled nor dropped.
type OpenDraft struct {
	Author   OperatorName
	Base     Version
	Digest   Digest
	Document string
	// Approvals are the operators who approved the draft, in the order of their
	// approvals.
	Approvals []OperatorName
	// Drafted is when the draft was recorded, in UTC by the stream's time.
	Drafted time.Time
}

// Release is a version that came into force.
type Release struct {
	Version  Version
	Digest   Digest
	Author   OperatorName
	RolledBy OperatorName
	// Rolled is when the roll was recorded, in UTC by the stream's time.
	Rolled time.Time
}

// InForce is the bundle in force. It must not be changed.
type InForce struct {
	Release
	// Document is the source of Bundle; empty after Adopt.
	Document string
	Bundle   *Bundle
}

// registerState is the state of a Register, which a snapshot encodes.
type registerState struct {
	// Drafts are the open drafts, oldest first.
	Drafts []OpenDraft
	// Current is the bundle in force; its version is 0 if there is none.
	Current InForce
	// Beaten are the digests of drafts that were dropped because another one was rolled,
	// oldest first.
	Beaten []Digest `json:",omitempty"`
	// History has the rolled releases, oldest first.
	History []Release
}

// Register is the state machine that folds the bundle stream. A journal calls its
// journal.StateMachine methods; Current is safe for concurrent use with them. The zero
// value is ready to use.
type Register struct {
	state registerState
	// current is the copy of state.Current that Current returns; nil while no bundle is
	// in force.
	current atomic.Pointer[InForce]
}

// Current returns the bundle in force, or nil if there is none.
func (g *Register) Current() *InForce { return g.current.Load() }

// Drafts returns the open drafts. Call it in a View of the journal.
func (g *Register) Drafts() []OpenDraft { return append([]OpenDraft(nil), g.state.Drafts...) }

// History returns the newest releases, oldest first. Call it in a View of the journal.
func (g *Register) History() []Release { return append([]Release(nil), g.state.History...) }

// Apply implements journal.StateMachine.
func (g *Register) Apply(at journal.Position, r Record) error {
	switch {
	case r.Draft != nil:
		return g.applyDraft(at, *r.Draft)
	case r.Approve != nil:
		return g.applyApproval(*r.Approve)
	case r.Roll != nil:
		return g.applyRoll(at, *r.Roll)
	}
	return errors.New("bundle: empty record")
}

// approvingBundle returns the bundle whose operators decide on the draft: the one in
// force or, before there is one, the draft itself. Entries accept a first draft only
// from the operators named in their settings.
func (g *Register) approvingBundle(document string) (*Bundle, error) {
	if g.state.Current.Bundle != nil {
		return g.state.Current.Bundle, nil
	}
	return Parse(document)
}

func (g *Register) applyDraft(at journal.Position, d Draft) error {
	next, err := Parse(d.Document)
	if err != nil {
		return err
	}
	if d.Base != g.state.Current.Version {
		return fmt.Errorf("%w: draft is based on %d, in force is %d", ErrSuperseded, d.Base, g.state.Current.Version)
	}
	if g.state.Current.Bundle != nil {
		if err := next.CheckSuccessor(g.state.Current.Bundle); err != nil {
			return err
		}
	}
	digest := DigestOf(d.Base, d.Document)
	if err := g.verify(d.Document, d.Author, ActionDraft, digest, d.Signature); err != nil {
		return err
	}
	if _, open := g.findDraft(digest); open {
		return fmt.Errorf("%w: %s", ErrDraftExists, digest)
	}
	if len(g.state.Drafts) >= maxOpenDrafts {
		g.state.Drafts = g.state.Drafts[1:]
	}
	g.state.Drafts = append(g.state.Drafts, OpenDraft{
		Author: d.Author, Base: d.Base, Digest: digest, Document: d.Document, Drafted: at.Time.UTC(),
	})
	return nil
}

// verify checks an operator's signature against the public key in the approving bundle.
func (g *Register) verify(document string, operator OperatorName, action Action, digest Digest, signature []byte) error {
	approving, err := g.approvingBundle(document)
	if err != nil {
		return err
	}
	o, found := approving.Operator(operator)
	if !found {
		return fmt.Errorf("%w: %q", ErrNotOperator, operator)
	}
	return o.Verify(action, digest, signature)
}

// findDraft returns the index of the open draft with the digest.
func (g *Register) findDraft(digest Digest) (int, bool) {
	for i, d := range g.state.Drafts {
		if d.Digest == digest {
			return i, true
		}
	}
	return 0, false
}

func (g *Register) applyApproval(a Approval) error {
	i, open := g.findDraft(a.Digest)
	if !open {
		return g.draftError(a.Digest)
	}
	d := &g.state.Drafts[i]
	if err := g.verify(d.Document, a.Operator, ActionApprove, a.Digest, a.Signature); err != nil {
		return err
	}
	if a.Operator == d.Author {
		return fmt.Errorf("%w: %s", ErrSelfApproval, a.Operator)
	}
	for _, o := range d.Approvals {
		if o == a.Operator {
			return nil
		}
	}
	// Append to a copy, since the slices that Drafts returned may share the array.
	d.Approvals = append(append([]OperatorName(nil), d.Approvals...), a.Operator)
	return nil
}

// draftError returns the reason why there is no open draft with the digest.
func (g *Register) draftError(digest Digest) error {
	if g.state.Current.Digest == digest {
		return fmt.Errorf("%w: %s is already in force as version %d", ErrUnknownDraft, digest, g.state.Current.Version)
	}
	if slices.Contains(g.state.Beaten, digest) {
		return fmt.Errorf("%w: draft %s was dropped when version %d came into force", ErrSuperseded, digest, g.state.Current.Version)
	}
	return fmt.Errorf("%w: %s", ErrUnknownDraft, digest)
}

func (g *Register) applyRoll(at journal.Position, r Roll) error {
	i, open := g.findDraft(r.Digest)
	if !open {
		return g.draftError(r.Digest)
	}
	d := g.state.Drafts[i]
	if err := g.verify(d.Document, r.Operator, ActionRoll, r.Digest, r.Signature); err != nil {
		return err
	}
	approving, err := g.approvingBundle(d.Document)
	if err != nil {
		return err
	}
	if len(d.Approvals) < approving.ApprovalsNeeded {
		return fmt.Errorf("%w: %d of %d", ErrNotApproved, len(d.Approvals), approving.ApprovalsNeeded)
	}
	return g.bringIntoForce(at, d, r.Operator)
}

// bringIntoForce makes the draft the bundle in force.
func (g *Register) bringIntoForce(at journal.Position, d OpenDraft, rolledBy OperatorName) error {
	b, err := Parse(d.Document)
	if err != nil {
		return err
	}
	release := Release{Version: d.Base + 1, Digest: d.Digest, Author: d.Author, RolledBy: rolledBy, Rolled: at.Time.UTC()}
	g.state.Current = InForce{Release: release, Document: d.Document, Bundle: b}
	g.state.History = append(g.state.History, release)
	if excess := len(g.state.History) - historyLength; excess > 0 {
		g.state.History = g.state.History[excess:]
	}
	// All other drafts are based on a version that is no longer in force.
	g.dropDrafts(d.Digest)
	g.publish()
	return nil
}

// dropDrafts removes all open drafts and adds those other than the rolled one to Beaten.
func (g *Register) dropDrafts(rolled Digest) {
	for _, d := range g.state.Drafts {
		if d.Digest != rolled {
			g.state.Beaten = append(g.state.Beaten, d.Digest)
		}
	}
	if excess := len(g.state.Beaten) - maxOpenDrafts; excess > 0 {
		g.state.Beaten = g.state.Beaten[excess:]
	}
	g.state.Drafts = nil
}

// publish makes Current return the bundle in force of the state.
func (g *Register) publish() {
	current := g.state.Current
	if current.Version == 0 {
		g.current.Store(nil)
		return
	}
	g.current.Store(&current)
}

// MarshalSnapshot implements journal.StateMachine.
func (g *Register) MarshalSnapshot() ([]byte, error) {
	data, err := json.Marshal(g.state)
	if err != nil {
		return nil, fmt.Errorf("bundle: marshal register: %w", err)
	}
	return data, nil
}

// RestoreSnapshot implements journal.StateMachine. It returns an error and changes nothing
// if the data is invalid, or if its version is older than the one in force, since the
// version in force must never decrease.
func (g *Register) RestoreSnapshot(data []byte) error {
	var s registerState
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("bundle: restore register: %w", err)
	}
	if s.Current.Version < g.state.Current.Version {
		return errors.Errorf("bundle: snapshot has version %d, in force is %d", s.Current.Version, g.state.Current.Version)
	}
	g.state = s
	g.publish()
	return nil
}
