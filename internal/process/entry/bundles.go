package entry

import (
	"context"
	"fmt"
	"time"

	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/client"
)

// DraftBundle checks a draft and records it. A document that could never come into force
// is refused before it is recorded.
func (e *Entry) DraftBundle(ctx context.Context, d client.Draft) (client.BundleStatus, error) {
	next, err := bundle.Parse(d.Document)
	if err != nil {
		return client.BundleStatus{}, clientError(err)
	}
	if err := e.checkFirstBundle(next, bundle.OperatorName(d.Author)); err != nil {
		return client.BundleStatus{}, err
	}
	if err := e.checkGuarantees(next); err != nil {
		return client.BundleStatus{}, err
	}
	return e.proposeToBundles(ctx, bundle.Record{Draft: &bundle.Draft{
		Author: bundle.OperatorName(d.Author), Base: bundle.Version(d.Base), Document: d.Document, Signature: d.Signature,
	}})
}

// ApproveBundle records an operator's approval of a draft.
func (e *Entry) ApproveBundle(ctx context.Context, c client.Consent) (client.BundleStatus, error) {
	if err := e.checkConsent(c); err != nil {
		return client.BundleStatus{}, err
	}
	return e.proposeToBundles(ctx, bundle.Record{Approve: &bundle.Approval{
		Operator: bundle.OperatorName(c.Operator), Digest: bundle.Digest(c.Digest), Signature: c.Signature,
	}})
}

// RollBundle records the roll of an approved draft, which brings it into force.
func (e *Entry) RollBundle(ctx context.Context, c client.Consent) (client.BundleStatus, error) {
	if err := e.checkConsent(c); err != nil {
		return client.BundleStatus{}, err
	}
	return e.proposeToBundles(ctx, bundle.Record{Roll: &bundle.Roll{
		Operator: bundle.OperatorName(c.Operator), Digest: bundle.Digest(c.Digest), Signature: c.Signature,
	}})
}

// proposeToBundles proposes the record to the bundle stream and returns the new status. A
// step that is repeated because its first answer was lost is no error.
func (e *Entry) proposeToBundles(ctx context.Context, r bundle.Record) (client.BundleStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if !e.bundles.HasState() {
		return client.BundleStatus{}, notRunError(client.CodeNotReady, notReadyRetryAfter, "this entry has not loaded the bundles yet")
	}
	if err := e.bundles.Propose(ctx, r); err != nil {
		return client.BundleStatus{}, clientError(err)
	}
	return e.Bundle(), nil
}

// checkFirstBundle applies while no bundle is in force: the author must be a root operator
// of the settings, and the draft must name all root operators with their keys.
func (e *Entry) checkFirstBundle(next *bundle.Bundle, author bundle.OperatorName) error {
	if e.register.Current() != nil {
		return nil
	}
	for _, root := range e.settings.RootOperators {
		if o, named := next.Operator(root.Name); !named || o.PublicKey != root.PublicKey {
			return notRunError(client.CodeInvalid, 0, fmt.Sprintf("the first bundle must name root operator %s with the key from the settings", root.Name))
		}
	}
	return e.checkRootOperator(author)
}

// checkConsent applies while no bundle is in force: only root operators of the settings may
// approve or roll, not operators whom only the draft names.
func (e *Entry) checkConsent(c client.Consent) error {
	if e.register.Current() != nil {
		return nil
	}
	return e.checkRootOperator(bundle.OperatorName(c.Operator))
}

func (e *Entry) checkRootOperator(name bundle.OperatorName) error {
	for _, root := range e.settings.RootOperators {
		if root.Name == name {
			return nil
		}
	}
	return notRunError(client.CodeUnauthorised, 0, fmt.Sprintf("%q is not a root operator in the settings", name))
}

// checkGuarantees refuses a bundle whose guarantees in this region can't all be placed at
// once on its workers.
func (e *Entry) checkGuarantees(next *bundle.Bundle) error {
	var err error
	e.ledger.View(func(time.Time) { err = e.state.CheckGuarantees(next) })
	if err != nil {
		return notRunError(client.CodeConflict, 0, err.Error())
	}
	return nil
}

// Bundle returns the bundle in force, with version 0 before the first, and the open drafts.
func (e *Entry) Bundle() client.BundleStatus {
	var s client.BundleStatus
	if current := e.register.Current(); current != nil {
		s = client.BundleStatus{
			Version: uint64(current.Version), Digest: string(current.Digest), Author: string(current.Author),
			RolledBy: string(current.RolledBy), Rolled: current.Rolled, Document: current.Document,
		}
	}
	e.bundles.View(func(time.Time) {
		for _, d := range e.register.Drafts() {
			status := client.DraftStatus{Digest: string(d.Digest), Author: string(d.Author), Base: uint64(d.Base), Document: d.Document}
			for _, o := range d.Approvals {
				status.Approvals = append(status.Approvals, string(o))
			}
			s.Drafts = append(s.Drafts, status)
		}
	})
	return s
}
