// Package gang drives the gangs that the ledger has assigned to this process. It acquires
// the leases of all tasks, starts the tasks together, renews the leases, and stops all
// tasks when one of them ends early. The ledger decides which gangs run where; the driver
// carries this out through platform.Workers, under the epoch of the assignment, and
// proposes the results to the ledger. The entry calls Tick with the jobs that it drives.
package gang

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

// Propose proposes a record to the ledger and waits for the verdict. It returns nil if the
// ledger accepted the record, otherwise the errors of journal.Journal.Propose.
type Propose func(ctx context.Context, r ledger.Record) error

// Lookup returns a copy of a job in the ledger, and false if the ledger has no such job.
type Lookup func(id ledger.JobID) (ledger.Job, bool)

// Rules are the bundle's rules on checkpoints.
type Rules struct {
	// Grace is how long a gang that is being stopped may take to save its checkpoints.
	Grace time.Duration
	// CheckpointEvery is the time between two checkpoints of a running gang; 0 for none.
	CheckpointEvery time.Duration
}

// Driver drives the gangs of one process. Use NewDriver. Tick must not be called
// concurrently; the other methods are safe for concurrent use.
type Driver struct {
	workers platform.Workers
	propose Propose
	lookup  Lookup
	renewer *renewer

	mu sync.Mutex
	// gangs are the gangs that are driven now.
	gangs map[ledger.JobID]*activeGang
	// rules are those of the last Tick.
	rules Rules
	// finished receives the job of each gang whose goroutine has ended.
	finished chan ledger.JobID
}

// activeGang is a gang that this process drives. startedAt is when it began to drive it
// under the epoch.
type activeGang struct {
	gang      *gang
	epoch     platform.Epoch
	startedAt time.Time
	// cancel ends the gang's goroutine without releasing its leases.
	cancel context.CancelFunc
}

// NewDriver returns a Driver without gangs.
func NewDriver(workers platform.Workers, propose Propose, lookup Lookup) *Driver {
	return &Driver{
		workers:  workers,
		propose:  propose,
		lookup:   lookup,
		renewer:  newRenewer(workers),
		gangs:    map[ledger.JobID]*activeGang{},
		finished: make(chan ledger.JobID, 64),
	}
}

// Tick starts to drive new gangs, stops those that the ledger is stopping, and begins
// the renewals that are due. jobs are copies of all jobs that the ledger has assigned to
// this process. Gangs of other jobs are no longer driven.
func (d *Driver) Tick(ctx context.Context, now time.Time, rules Rules, jobs []ledger.Job) {
	d.mu.Lock()
	d.rules = rules
	d.mu.Unlock()
	d.removeFinished()
	d.cancelOthers(jobs)
	for _, j := range jobs {
		d.drive(ctx, now, j)
	}
	d.renewer.tick(ctx, now)
}

// ActiveGangs returns the number of gangs that are driven now.
func (d *Driver) ActiveGangs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.gangs)
}

// Drives reports whether the job is driven here under the epoch.
func (d *Driver) Drives(id ledger.JobID, epoch platform.Epoch) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.gangs[id]
	return a != nil && a.epoch == epoch
}

// removeFinished removes the gangs whose goroutines have ended.
func (d *Driver) removeFinished() {
	for {
		select {
		case id := <-d.finished:
			d.mu.Lock()
			delete(d.gangs, id)
			d.mu.Unlock()
		default:
			return
		}
	}
}

// cancelOthers stops driving gangs that the ledger has assigned to another driver or
// epoch. Their leases aren't released, since the new driver takes them over.
func (d *Driver) cancelOthers(jobs []ledger.Job) {
	epochs := make(map[ledger.JobID]platform.Epoch, len(jobs))
	for _, j := range jobs {
		epochs[j.ID] = j.Epoch
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, a := range d.gangs {
		if epochs[id] != a.epoch {
			a.cancel()
		}
	}
}

func (d *Driver) drive(ctx context.Context, now time.Time, j ledger.Job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	existing := d.gangs[j.ID]
	if existing != nil {
		if existing.epoch == j.Epoch && j.Phase == ledger.PhaseStopping {
			existing.gang.requestStop()
		}
		return
	}
	g := newGang(d, j)
	gangCtx, cancel := context.WithCancel(ctx)
	d.gangs[j.ID] = &activeGang{gang: g, epoch: j.Epoch, startedAt: now, cancel: cancel}
	go func() {
		defer cancel()
		g.run(gangCtx)
		g.stopRenewing()
		select {
		case d.finished <- j.ID:
		case <-ctx.Done():
		}
	}()
}

// startTime returns when this process began to drive the job under the epoch, zero if
// it doesn't.
func (d *Driver) startTime(id ledger.JobID, epoch platform.Epoch) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.gangs[id]
	if a == nil || a.epoch != epoch {
		return time.Time{}
	}
	return a.startedAt
}

func (d *Driver) currentRules() Rules {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rules
}

// maxReclaimTime returns the longest time in which a preempted gang frees its
// accelerators: the grace period, the longest lease, and the timeout of a call.
func (d *Driver) maxReclaimTime() time.Duration {
	return d.currentRules().Grace + MaxLeaseDuration + callTimeout
}

// isRejected reports whether the ledger rejected a proposed record. After any other error
// it is unknown whether the record takes effect.
func isRejected(err error) bool {
	var rejected *journal.RejectedError
	return errors.As(err, &rejected)
}
