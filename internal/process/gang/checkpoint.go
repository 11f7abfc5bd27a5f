package gang

import (
	"context"
	"slices"
	"time"

	"corianderpass/internal/process/ledger"
)

// checkpoint makes every task save a checkpoint within the grace period. It returns the
// run time that the checkpoints of all tasks cover: the least of the tasks' values, but no
// less than the progress from which the gang was started. A task whose worker does not
// answer counts with its last reported progress.
func (g *gang) checkpoint(ctx context.Context) time.Duration {
	graceCtx, cancel := context.WithTimeout(ctx, g.driver.currentRules().Grace)
	defer cancel()
	saved := g.reportedProgress()
	_ = g.forEachTask(graceCtx, func(ctx context.Context, task int, a ledger.Assignment) error {
		progress, err := g.driver.workers.Checkpoint(ctx, a.Worker, g.job.LeaseID(task), g.job.Epoch)
		if err == nil {
			saved[task] = progress
		}
		return err
	})
	return max(g.job.Progress, slices.Min(saved))
}

// reportedProgress returns the progress that was last reported of each task.
func (g *gang) reportedProgress() []time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	progress := make([]time.Duration, len(g.reports))
	for task, r := range g.reports {
		progress[task] = r.Progress
	}
	return progress
}
