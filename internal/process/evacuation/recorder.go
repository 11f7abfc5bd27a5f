package evacuation

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/monotonic"
	"corianderpass/internal/process/workload"
)

const (
	// checkInterval is the time between two comparisons while nothing changes.
	checkInterval = 100 * time.Millisecond
	// rankStep is multiplied by the rank of an entry to get the delay of its proposal. The first entry
	// has usually recorded the request within that time, so that the others need not.
	rankStep = 100 * time.Millisecond
	// proposeTimeout bounds the wait for the result of a proposal.
	proposeTimeout = time.Second
)

// Rank is the position of an entry in the order in which entries propose a missing record, from 0.
type Rank int

// Recorder proposes the operators' requests that the state lacks. Use New.
type Recorder struct {
	rank     Rank
	requests *Requests
	journal  *journal.Journal[workload.Record]
	state    *workload.State
	clock    monotonic.Clock
	logger   hclog.Logger

	// Only the goroutine of Start uses the fields below.

	// missingSince is when the state was first found to lack a request; 0 while it lacks none.
	missingSince time.Duration
	// failureLogged is true once a failed proposal was logged since missingSince, so that an outage of
	// the log causes one line.
	failureLogged bool
}

// New returns a Recorder that proposes nothing before Start.
func New(rank Rank, requests *Requests, j *journal.Journal[workload.Record], state *workload.State, clock monotonic.Clock, logger hclog.Logger) *Recorder {
	return &Recorder{rank: rank, requests: requests, journal: j, state: state, clock: clock, logger: logger.Named("evacuation")}
}

// Start compares the requests with the state, and proposes what is missing, until the context ends. The
// channel then receives nil.
func (r *Recorder) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(checkInterval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			changed := r.requests.Changed()
			r.recordMissing(ctx)
			select {
			case <-ctx.Done():
			case <-ticker.C:
			case <-changed:
			}
		}
		ended <- nil
	}()
	return ended
}

// recordMissing proposes the missing records once they have been missing for the delay of this entry's rank.
func (r *Recorder) recordMissing(ctx context.Context) {
	missing := r.findMissing()
	if len(missing) == 0 {
		r.missingSince, r.failureLogged = 0, false
		return
	}
	now := r.clock()
	if r.missingSince == 0 {
		r.missingSince = now
	}
	if now-r.missingSince < time.Duration(r.rank)*rankStep {
		return
	}
	for _, e := range missing {
		err := r.propose(ctx, e)
		if errors.Is(err, workload.ErrNoChange) || err != nil && r.failureLogged {
			continue
		}
		r.failureLogged = err != nil
		r.logger.Info("record evacuation", "domain", e.Domain, "active", e.Active, "version", e.Version, "runs", r.runsIn(e),
			"missing_ms", (r.clock() - r.missingSince).Milliseconds(), "error", err)
	}
}

func (r *Recorder) propose(ctx context.Context, e workload.Evacuate) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return r.journal.Propose(ctx, workload.Record{Evacuate: &e})
}

// findMissing returns the records that the state lacks, none while the state is not known.
func (r *Recorder) findMissing() []workload.Evacuate {
	if !r.journal.CaughtUp() {
		return nil
	}
	var missing []workload.Evacuate
	r.journal.View(func(time.Time) { missing = r.requests.Missing(r.state.Evacuations()) })
	return missing
}

func (r *Recorder) runsIn(e workload.Evacuate) int {
	runs := 0
	r.journal.View(func(time.Time) { runs = r.state.RunsIn(e.Domain) })
	return runs
}
