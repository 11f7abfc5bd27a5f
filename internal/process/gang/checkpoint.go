package gang

import (
	"context"
	"slices"
	"time"

	"corianderpass/internal/process/ledger"
)

// checkpoint asks every task to keep its progress within the grace and returns
// what all of them have kept. A worker that does not answer counts with what it
// last reported.
func (g *gang) checkpoint(ctx context.Context) time.Duration {
	grace, cancel := context.WithTimeout(ctx, g.driver.inForce().Grace)
	defer cancel()
	kept := g.reported()
	_ = g.each(grace, func(ctx context.Context, task int, a ledger.Assignment) error {
		progress, err := g.driver.workers.Checkpoint(ctx, a.Worker, g.job.LeaseID(task), g.job.Epoch)
		if err == nil {
			kept[task] = progress
		}
		return err
	})
	return max(g.job.Progress, slices.Min(kept))
}

// reported returns the progress of each task that its worker last told of.
func (g *gang) reported() []time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	kept := make([]time.Duration, len(g.reports))
	for task, r := range g.reports {
		kept[task] = r.Progress
	}
	return kept
}
