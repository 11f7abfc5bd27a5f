package entry

import (
	"context"
	"fmt"
	"time"

	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/client"
)

// DraftBundle records a draft after review: what could never be in force is
// refused before it is recorded.
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

// ApproveBundle records an approval.
func (e *Entry) ApproveBundle(ctx context.Context, c client.Consent) (client.BundleStatus, error) {
	if err := e.checkConsent(c); err != nil {
		return client.BundleStatus{}, err
	}
	return e.proposeToBundles(ctx, bundle.Record{Approve: &bundle.Approval{
		Operator: bundle.OperatorName(c.Operator), Digest: bundle.Digest(c.Digest), Signature: c.Signature,
	}})
}

// RollBundle brings a draft into force.
func (e *Entry) RollBundle(ctx context.Context, c client.Consent) (client.BundleStatus, error) {
	if err := e.checkConsent(c); err != nil {
		return client.BundleStatus{}, err
	}
	return e.proposeToBundles(ctx, bundle.Record{Roll: &bundle.Roll{
		Operator: bundle.OperatorName(c.Operator), Digest: bundle.Digest(c.Digest), Signature: c.Signature,
	}})
}

// proposeToBundles records one step. A step that is repeated because its first answer
// was lost finds its effect and is no error.
func (e *Entry) proposeToBundles(ctx context.Context, r bundle.Record) (client.BundleStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if !e.bundles.HasState() {
		return client.BundleStatus{}, notRunError(client.CodeNotReady, notReadyRetryAfter, "the bundles are not known here yet")
	}
	if err := e.bundles.Propose(ctx, r); err != nil {
		return client.BundleStatus{}, clientError(err)
	}
	return e.Bundle(), nil
}

// checkFirstBundle lets only the operators of the settings begin: while no bundle is
// in force, the first one must name them with their keys.
func (e *Entry) checkFirstBundle(next *bundle.Bundle, author bundle.OperatorName) error {
	if e.register.Current() != nil {
		return nil
	}
	for _, root := range e.settings.RootOperators {
		if o, named := next.Operator(root.Name); !named || o.PublicKey != root.PublicKey {
			return notRunError(client.CodeInvalid, 0, fmt.Sprintf("the first bundle must name root operator %s with the key of the settings", root.Name))
		}
	}
	return e.checkRootOperator(author)
}

// checkConsent keeps operators that only a draft names from its first approval.
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
	return notRunError(client.CodeUnauthorised, 0, fmt.Sprintf("%q is no root operator of the settings", name))
}

// checkGuarantees refuses guarantees that do not pack together on the workers
// of this region.
func (e *Entry) checkGuarantees(next *bundle.Bundle) error {
	var err error
	e.ledger.View(func(time.Time) { err = e.state.CheckGuarantees(next) })
	if err != nil {
		return notRunError(client.CodeConflict, 0, err.Error())
	}
	return nil
}

// Bundle returns the bundle in force and the open drafts.
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
