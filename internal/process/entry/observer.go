package entry

import (
	"context"
	"time"

	"corianderpass/internal/process/ledger"
	"corianderpass/internal/process/membership"
	"corianderpass/pkg/platform"
)

// observeEvery is the time between two looks at the platform's workers.
const observeEvery = time.Second

// observe records what changed among the region's workers. The first ranked
// entry does it.
func (e *Entry) observe(ctx context.Context) {
	rank := membership.RankOf("observe", e.directory.Entries(e.settings.Region), e.member.ID)
	if rank > 0 || !e.ledger.CaughtUp() || e.ledger.Down() || e.register.Current() == nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	listed, err := e.workers.List(call, e.settings.Region)
	if err != nil {
		e.logger.Debug("workers cannot be listed", "error", err)
		return
	}
	var news ledger.Observe
	e.ledger.View(func(time.Time) { news = e.compare(listed) })
	if len(news.Joined)+len(news.Lost) > 0 {
		_ = e.proposeQuietly(ctx, ledger.Record{Observe: &news})
	}
}

// compare returns what the ledger does not know yet.
func (e *Entry) compare(listed []platform.Worker) ledger.Observe {
	var news ledger.Observe
	there := make(map[platform.WorkerID]bool, len(listed))
	for _, d := range listed {
		there[d.ID] = true
		if e.state.Worker(d.ID).WouldChange(d) {
			news.Joined = append(news.Joined, d)
		}
	}
	for _, id := range e.state.Workers() {
		if !there[id] && !e.state.Worker(id).Lost {
			news.Lost = append(news.Lost, id)
		}
	}
	return news
}

// policeEvery is the time between two looks at usage reports, which cover the
// whole region and lag anyway, so that they stay a small part of an entry's bytes.
const policeEvery = 2 * time.Minute

// police lets the driver keep its tasks to what they claimed.
func (e *Entry) police(ctx context.Context) {
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
