// Package caller serves callers and operators over HTTP. It reads and writes the
// API, authenticates who asks, and leaves the work to a Service.
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
	// RequestID is the caller's own; empty if it gave none.
	RequestID  string
	Repeatable bool
	Body       []byte
}

// Service does what callers and operators ask for. Its errors are *client.Error.
// It must be safe for concurrent use.
type Service interface {
	// InForce returns the bundle in force, nil before the first.
	InForce() *bundle.InForce
	// Leaving tells whether callers should turn to another entry.
	Leaving() bool
	// RootOperators returns the operators that may read while no bundle is in force.
	RootOperators() []bundle.Operator
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
