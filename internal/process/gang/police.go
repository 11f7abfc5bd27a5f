package gang

import (
	"context"
	"fmt"

	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

// memoryMargin is the share by which a task may exceed its memory: reports lag
// and round.
const memoryMargin = 1.1

// EnforceUsage looks at the lagging usage reports of the region. Workers have no guards
// of their own: a task that uses more cores than it claimed is throttled, and a
// gang of which a task outgrew its memory is stopped for good, before it takes
// its neighbours down. Tasks that claimed none are not looked at.
func (d *Driver) EnforceUsage(ctx context.Context, usage []platform.Usage) {
	byLease := make(map[platform.LeaseID]platform.Usage, len(usage))
	for _, u := range usage {
		byLease[u.ID] = u
	}
	for _, g := range d.underWay() {
		g.police(ctx, byLease)
	}
}

// underWay returns the gangs that are driven here.
func (d *Driver) underWay() []*gang {
	d.mu.Lock()
	defer d.mu.Unlock()
	gangs := make([]*gang, 0, len(d.gangs))
	for _, a := range d.gangs {
		gangs = append(gangs, a.gang)
	}
	return gangs
}

func (g *gang) police(ctx context.Context, usage map[platform.LeaseID]platform.Usage) {
	for task, a := range g.job.Assignments {
		id := g.job.LeaseID(task)
		u, reported := usage[id]
		if !reported {
			continue
		}
		if g.job.Memory > 0 && float64(u.Memory) > memoryMargin*float64(g.job.Memory) {
			g.outgrow(fmt.Sprintf("task %d uses %d MB and claimed %d", task, u.Memory, g.job.Memory))
			return
		}
		if g.job.Cores > 0 && u.Cores > g.job.Cores {
			share := float64(g.job.Cores) / float64(u.Cores)
			_ = g.call(ctx, func(ctx context.Context) error {
				return g.driver.workers.Throttle(ctx, a.Worker, id, g.job.Epoch, share)
			})
		}
	}
}

// outgrow makes the gang end because of its own size.
func (g *gang) outgrow(reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outgrown = reason
}

// tooLarge returns why the gang must end because of its size, empty if it need not.
func (g *gang) tooLarge() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.outgrown
}

// finishOutgrown ends a gang that no other worker could hold either.
func (g *gang) finishOutgrown(ctx context.Context, reason string) {
	g.finish(ctx, ledger.Finish{Failed: true, Final: true, Error: reason})
}
