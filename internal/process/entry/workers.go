package entry

import (
	"context"
	"time"

	"corianderpass/internal/process/ledger"
	"corianderpass/internal/process/membership"
	"corianderpass/pkg/platform"
)

// observeInterval is the time between two listings of the platform's workers.
const observeInterval = time.Second

// observeWorkers lists the region's workers and records in the ledger which of them are new,
// changed or lost. Only the entry that ranks first does this.
func (e *Entry) observeWorkers(ctx context.Context) {
	rank := membership.RankOf("observe", e.directory.Entries(e.settings.Region), e.member.ID)
	if rank > 0 || !e.ledger.CaughtUp() || e.ledger.Down() || e.register.Current() == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	listed, err := e.workers.List(callCtx, e.settings.Region)
	if err != nil {
		e.logger.Debug("failed to list workers", "error", err)
		return
	}
	var changes ledger.Observe
	e.ledger.View(func(time.Time) { changes = e.workerChanges(listed) })
	if len(changes.Joined)+len(changes.Lost) > 0 {
		_ = e.proposeAndLog(ctx, ledger.Record{Observe: &changes})
	}
}

// workerChanges compares the platform's list with the ledger and returns the changes. It
// must be called under the ledger's lock.
func (e *Entry) workerChanges(workers []platform.Worker) ledger.Observe {
	var changes ledger.Observe
	isListed := make(map[platform.WorkerID]bool, len(workers))
	for _, w := range workers {
		isListed[w.ID] = true
		if e.state.Worker(w.ID).WouldChange(w) {
			changes.Joined = append(changes.Joined, w)
		}
	}
	for _, id := range e.state.Workers() {
		if !isListed[id] && !e.state.Worker(id).Lost {
			changes.Lost = append(changes.Lost, id)
		}
	}
	return changes
}

// usageCheckInterval is the time between two reads of the usage reports. The reports cover the
// whole region and lag behind the usage anyway; a long interval keeps their share of an entry's
// traffic small.
const usageCheckInterval = 2 * time.Minute

// enforceUsage reads the usage reports if this entry drives gangs. Its driver then throttles or
// stops tasks that use more than their resource claims.
func (e *Entry) enforceUsage(ctx context.Context) {
	if e.driver.ActiveGangs() == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	usage, err := e.workers.Usage(callCtx, e.settings.Region)
	if err != nil {
		e.logger.Debug("failed to read usage reports", "error", err)
		return
	}
	e.driver.EnforceUsage(ctx, usage)
}
