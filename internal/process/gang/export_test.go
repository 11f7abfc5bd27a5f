package gang

import (
	"context"
	"time"

	"corianderpass/pkg/platform"
)

// Renewer exports renewer for tests.
type Renewer struct{ r *renewer }

// NewRenewer calls newRenewer.
func NewRenewer(workers platform.Workers) *Renewer { return &Renewer{newRenewer(workers)} }

// Add registers a lease of a gang that is driven since the given time. onReport is called with
// each report.
func (r *Renewer) Add(worker platform.WorkerID, id platform.LeaseID, heldSince time.Time, onReport func()) {
	r.r.add(worker, id, &renewal{
		heldSince: heldSince, onSend: func(time.Time, time.Duration) {},
		onReport: func(time.Time, time.Duration, platform.TaskReport) { onReport() },
	})
}

// Tick calls renewer.tick.
func (r *Renewer) Tick(ctx context.Context, now time.Time) { r.r.tick(ctx, now) }
