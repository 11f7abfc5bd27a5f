// Package caller serves the HTTP API for callers and operators. It decodes and
// authenticates the requests, passes them to a Service, and encodes its answers and
// errors as package client expects them. The entry implements Service and serves the
// handler.
package caller

import (
	"context"

	"corianderpass/internal/process/ledger"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/client"
)

// Call is an authenticated request to a service.
type Call struct {
	Organisation bundle.Organisation
	Service      bundle.ServiceName
	// RequestID is the ID that the caller gave; empty if it gave none.
	RequestID string
	// Repeatable reports whether the caller allows the request to run more than once.
	Repeatable bool
	Body       []byte
}

// Service carries out what callers and operators request. Its errors are
// *client.Error; any other error is reported as internal with an unknown fate. It
// must be safe for concurrent use.
type Service interface {
	// InForce returns the bundle in force, nil before the first.
	InForce() *bundle.InForce
	// Leaving reports whether the process is shutting down, so that callers should
	// use another entry.
	Leaving() bool
	// RootOperators returns the operators that may read while no bundle is in force.
	RootOperators() []bundle.Operator
	// Serve runs the request and returns the answer of the minion, also one with an
	// HTTP error status.
	Serve(ctx context.Context, c Call) (ledger.Answer, error)
	SubmitJob(ctx context.Context, o bundle.Organisation, j client.Job) (client.JobStatus, error)
	Job(ctx context.Context, o bundle.Organisation, id string) (client.JobStatus, error)
	Jobs(ctx context.Context, o bundle.Organisation) ([]client.JobStatus, error)
	CancelJob(ctx context.Context, o bundle.Organisation, id string) (client.JobStatus, error)
	DraftBundle(ctx context.Context, d client.Draft) (client.BundleStatus, error)
	ApproveBundle(ctx context.Context, c client.Consent) (client.BundleStatus, error)
	RollBundle(ctx context.Context, c client.Consent) (client.BundleStatus, error)
	Bundle() client.BundleStatus
	Status(ctx context.Context) client.Status
}
