package gang

import (
	"context"
	"fmt"

	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

// memoryTolerance is the multiple of its claimed memory that a task may use. It is above
// 1 because usage reports lag and are rounded.
const memoryTolerance = 1.1

// EnforceUsage compares the region's usage reports with the cores and memory that the
// gangs driven here have claimed, since workers don't enforce claims. A task that uses
// more cores than claimed is throttled. A gang with a task that uses too much memory fails
// and is not retried, before it harms other tasks on the worker. A claim of 0 is not
// enforced.
func (d *Driver) EnforceUsage(ctx context.Context, usage []platform.Usage) {
	byLease := make(map[platform.LeaseID]platform.Usage, len(usage))
	for _, u := range usage {
		byLease[u.ID] = u
	}
	for _, g := range d.activeGangs() {
		g.enforceUsage(ctx, byLease)
	}
}

// activeGangs returns the gangs that are driven now.
func (d *Driver) activeGangs() []*gang {
	d.mu.Lock()
	defer d.mu.Unlock()
	gangs := make([]*gang, 0, len(d.gangs))
	for _, a := range d.gangs {
		gangs = append(gangs, a.gang)
	}
	return gangs
}

func (g *gang) enforceUsage(ctx context.Context, usage map[platform.LeaseID]platform.Usage) {
	for task, a := range g.job.Assignments {
		id := g.job.LeaseID(task)
		u, reported := usage[id]
		if !reported {
			continue
		}
		if g.job.Memory > 0 && float64(u.Memory) > memoryTolerance*float64(g.job.Memory) {
			g.setMemoryExcess(fmt.Sprintf("task %d uses %d MB of memory, claimed %d", task, u.Memory, g.job.Memory))
			return
		}
		if g.job.Cores > 0 && u.Cores > g.job.Cores {
			fraction := float64(g.job.Cores) / float64(u.Cores)
			_ = g.callWorker(ctx, func(ctx context.Context) error {
				return g.driver.workers.Throttle(ctx, a.Worker, id, g.job.Epoch, fraction)
			})
		}
	}
}

// setMemoryExcess makes watch end the gang because of its memory use.
func (g *gang) setMemoryExcess(reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.memoryExcess = reason
}

// memoryExcessReason returns which task uses too much memory, empty if none does.
func (g *gang) memoryExcessReason() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.memoryExcess
}

// finishOversized ends a gang with a failure that is not retried, because the gang would
// exceed its memory on any other worker too.
func (g *gang) finishOversized(ctx context.Context, reason string) {
	g.finish(ctx, ledger.Finish{Failed: true, Final: true, Error: reason})
}
