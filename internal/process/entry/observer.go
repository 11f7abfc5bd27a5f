package entry

import (
	"context"
	"time"

	"corianderpass/internal/process/ledger"
	"corianderpass/internal/process/membership"
	"corianderpass/pkg/platform"
)

// observeInterval is the time between two looks at the platform's workers.
const observeInterval = time.Second

// observeWorkers records what changed among the region's workers. The first ranked
// entry does it.
func (e *Entry) observeWorkers(ctx context.Context) {
	rank := membership.RankOf("observe", e.directory.Entries(e.settings.Region), e.member.ID)
	if rank > 0 || !e.ledger.CaughtUp() || e.ledger.Down() || e.register.Current() == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	listed, err := e.workers.List(callCtx, e.settings.Region)
	if err != nil {
		e.logger.Debug("workers cannot be listed", "error", err)
		return
	}
	var changes ledger.Observe
	e.ledger.View(func(time.Time) { changes = e.workerChanges(listed) })
	if len(changes.Joined)+len(changes.Lost) > 0 {
		_ = e.proposeAndLog(ctx, ledger.Record{Observe: &changes})
	}
}

// workerChanges returns what the ledger does not know yet.
func (e *Entry) workerChanges(workers []platform.Worker) ledger.Observe {
	var changes ledger.Observe
	isListed := make(map[platform.WorkerID]bool, len(workers))
	for _, d := range workers {
		isListed[d.ID] = true
		if e.state.Worker(d.ID).WouldChange(d) {
			changes.Joined = append(changes.Joined, d)
		}
	}
	for _, id := range e.state.Workers() {
		if !isListed[id] && !e.state.Worker(id).Lost {
			changes.Lost = append(changes.Lost, id)
		}
	}
	return changes
}

// usageCheckInterval is the time between two looks at usage reports, which cover the
// whole region and lag anyway, so that they stay a small part of an entry's bytes.
const usageCheckInterval = 2 * time.Minute

// enforceUsage lets the driver keep its tasks to what they claimed.
func (e *Entry) enforceUsage(ctx context.Context) {
	if e.driver.ActiveGangs() == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	usage, err := e.workers.Usage(call, e.settings.Region)
	if err != nil {
		e.logger.Debug("usage cannot be read", "error", err)
		return
	}
	e.driver.EnforceUsage(ctx, usage)
}
