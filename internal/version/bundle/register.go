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
	// openDrafts bounds the drafts that wait for approval or roll.
	openDrafts = 64
	// historyLength is the number of past versions that are remembered.
	historyLength = 32
)

var (
	// ErrSuperseded tells that another bundle was rolled since the draft was begun.
	ErrSuperseded = errors.New("bundle: another version came into force first")
	// ErrUnknownDraft tells that no open draft has the digest.
	ErrUnknownDraft = errors.New("bundle: no such draft")
	// ErrNotOperator tells that the name is no operator of the bundle in force.
	ErrNotOperator = errors.New("bundle: not an operator")
	// ErrSelfApproval tells that an author tried to approve the own draft.
	ErrSelfApproval = errors.New("bundle: an author cannot approve the own draft")
	// ErrNotApproved tells that approvals are missing.
	ErrNotApproved = errors.New("bundle: approvals are missing")
	// ErrDraftExists tells that the same draft is open already.
	ErrDraftExists = errors.New("bundle: draft exists")
)

// Record is one step in the life of a bundle. Exactly one field is set.
type Record struct {
	Draft   *Draft    `json:",omitempty"`
	Approve *Approval `json:",omitempty"`
	Roll    *Roll     `json:",omitempty"`
}

// Draft proposes a document on top of a version.
type Draft struct {
	Author    OperatorName
	Base      Version
	Document  string
	Signature []byte
}

// Approval is an operator's consent to a draft.
type Approval struct {
	Operator  OperatorName
	Digest    Digest
	Signature []byte
}

// Roll brings an approved draft into force.
type Roll struct {
	Operator  OperatorName
	Digest    Digest
	Signature []byte
}

// OpenDraft is a draft that is not in force.
type OpenDraft struct {
	Author    OperatorName
	Base      Version
	Digest    Digest
	Document  string
	Approvals []OperatorName
	// Drafted is when the draft was recorded.
	Drafted time.Time
}

// Release is a version that came into force.
type Release struct {
	Version  Version
	Digest   Digest
	Author   OperatorName
	RolledBy OperatorName
	Rolled   time.Time
}

// InForce is the bundle in force. It must not be changed.
type InForce struct {
	Release
	Document string
	Bundle   *Bundle
}

// registerState is what a snapshot holds.
type registerState struct {
	// Drafts are in the order of their records.
	Drafts  []OpenDraft
	Current InForce
	// Beaten are drafts that were dropped because another one was rolled, newest last.
	Beaten []Digest `json:",omitempty"`
	// History has the newest release last.
	History []Release
}

// Register folds the bundle stream. Its StateMachine methods are called by a
// journal; Current is safe at any time. The zero value is ready to use.
type Register struct {
	state   registerState
	current atomic.Pointer[InForce]
}

// Current returns the bundle in force, nil before the first roll.
func (g *Register) Current() *InForce { return g.current.Load() }

// Drafts returns the open drafts. Call it in a View of the journal.
func (g *Register) Drafts() []OpenDraft { return append([]OpenDraft(nil), g.state.Drafts...) }

// History returns the newest releases, oldest first. Call it in a View of the journal.
func (g *Register) History() []Release { return append([]Release(nil), g.state.History...) }

// Apply judges one step.
func (g *Register) Apply(at journal.Position, r Record) error {
	switch {
	case r.Draft != nil:
		return g.draft(at, *r.Draft)
	case r.Approve != nil:
		return g.approve(*r.Approve)
	case r.Roll != nil:
		return g.roll(at, *r.Roll)
	}
	return errors.New("bundle: empty record")
}

// authority is the bundle whose operators decide on the draft: the one in
// force, or the first bundle itself, which the entries admit only from the
// operators named in their settings.
func (g *Register) authority(document string) (*Bundle, error) {
	if g.state.Current.Bundle != nil {
		return g.state.Current.Bundle, nil
	}
	return Parse(document)
}

func (g *Register) draft(at journal.Position, d Draft) error {
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
	if _, open := g.find(digest); open {
		return fmt.Errorf("%w: %s", ErrDraftExists, digest)
	}
	if len(g.state.Drafts) >= openDrafts {
		g.state.Drafts = g.state.Drafts[1:]
	}
	g.state.Drafts = append(g.state.Drafts, OpenDraft{
		Author: d.Author, Base: d.Base, Digest: digest, Document: d.Document, Drafted: at.Time.UTC(),
	})
	return nil
}

func (g *Register) verify(document string, name OperatorName, action Action, digest Digest, signature []byte) error {
	authority, err := g.authority(document)
	if err != nil {
		return err
	}
	o, known := authority.Operator(name)
	if !known {
		return fmt.Errorf("%w: %q", ErrNotOperator, name)
	}
	return o.Verify(action, digest, signature)
}

func (g *Register) find(digest Digest) (int, bool) {
	for i, d := range g.state.Drafts {
		if d.Digest == digest {
			return i, true
		}
	}
	return 0, false
}

func (g *Register) approve(a Approval) error {
	i, open := g.find(a.Digest)
	if !open {
		return g.missing(a.Digest)
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
	// Snapshots taken earlier may share the old array.
	d.Approvals = append(append([]OperatorName(nil), d.Approvals...), a.Operator)
	return nil
}

// missing tells why a digest is not open.
func (g *Register) missing(digest Digest) error {
	if g.state.Current.Digest == digest {
		return fmt.Errorf("%w: %s is in force already as version %d", ErrUnknownDraft, digest, g.state.Current.Version)
	}
	if slices.Contains(g.state.Beaten, digest) {
		return fmt.Errorf("%w: draft %s was dropped when version %d came into force", ErrSuperseded, digest, g.state.Current.Version)
	}
	return fmt.Errorf("%w: %s", ErrUnknownDraft, digest)
}

func (g *Register) roll(at journal.Position, r Roll) error {
	i, open := g.find(r.Digest)
	if !open {
		return g.missing(r.Digest)
	}
	d := g.state.Drafts[i]
	if err := g.verify(d.Document, r.Operator, ActionRoll, r.Digest, r.Signature); err != nil {
		return err
	}
	authority, err := g.authority(d.Document)
	if err != nil {
		return err
	}
	if len(d.Approvals) < authority.ApprovalsNeeded {
		return fmt.Errorf("%w: %d of %d", ErrNotApproved, len(d.Approvals), authority.ApprovalsNeeded)
	}
	return g.enforce(at, d, r.Operator)
}

func (g *Register) enforce(at journal.Position, d OpenDraft, by OperatorName) error {
	b, err := Parse(d.Document)
	if err != nil {
		return err
	}
	release := Release{Version: d.Base + 1, Digest: d.Digest, Author: d.Author, RolledBy: by, Rolled: at.Time.UTC()}
	g.state.Current = InForce{Release: release, Document: d.Document, Bundle: b}
	g.state.History = append(g.state.History, release)
	if extra := len(g.state.History) - historyLength; extra > 0 {
		g.state.History = g.state.History[extra:]
	}
	// Every other draft is based on a version that is no longer in force.
	g.drop(d.Digest)
	g.publish()
	return nil
}

// drop forgets all open drafts and remembers those that lost to the winner.
func (g *Register) drop(winner Digest) {
	for _, d := range g.state.Drafts {
		if d.Digest != winner {
			g.state.Beaten = append(g.state.Beaten, d.Digest)
		}
	}
	if extra := len(g.state.Beaten) - openDrafts; extra > 0 {
		g.state.Beaten = g.state.Beaten[extra:]
	}
	g.state.Drafts = nil
}

func (g *Register) publish() {
	current := g.state.Current
	if current.Version == 0 {
		g.current.Store(nil)
		return
	}
	g.current.Store(&current)
}

// MarshalSnapshot returns the state.
func (g *Register) MarshalSnapshot() ([]byte, error) {
	data, err := json.Marshal(g.state)
	if err != nil {
		return nil, fmt.Errorf("bundle: marshal register: %w", err)
	}
	return data, nil
}

// RestoreSnapshot replaces the state. The version in force never goes back: an
// older snapshot is refused.
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
