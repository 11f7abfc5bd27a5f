// Package gang drives the gangs that the ledger gave to this process: it takes
// the leases of all tasks, starts them together, renews the leases, and stops
// all parts when one of them ends early. The ledger decides; a driver only
// carries out and reports, under the epoch that it was given.
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

// Propose appends a record and returns its verdict, as journal.Journal.Propose.
type Propose func(ctx context.Context, r ledger.Record) error

// Lookup returns a copy of a job as the ledger has it.
type Lookup func(id ledger.JobID) (ledger.Job, bool)

// Rules are what the bundle says of checkpoints.
type Rules struct {
	// Grace is how long a gang that must yield may take to keep its progress.
	Grace time.Duration
	// CheckpointEvery is the time between two checkpoints of a running gang.
	CheckpointEvery time.Duration
}

// Driver drives the gangs of one process. Tick must be called by one goroutine.
type Driver struct {
	workers platform.Workers
	propose Propose
	lookup  Lookup
	renewer *renewer

	mu sync.Mutex
	// gangs under way, by job.
	gangs map[ledger.JobID]*active
	// rules are the bundle's.
	rules Rules
	// ended receives one value for each gang that is done.
	ended chan ledger.JobID
}

// active is a gang with its epoch and the moment at which it began here.
type active struct {
	gang  *gang
	epoch platform.Epoch
	began time.Time
	// abandon ends the gang's goroutine without touching its leases.
	abandon context.CancelFunc
}

// NewDriver returns a driver without gangs.
func NewDriver(workers platform.Workers, propose Propose, lookup Lookup) *Driver {
	return &Driver{
		workers: workers,
		propose: propose,
		lookup:  lookup,
		renewer: newRenewer(workers),
		gangs:   map[ledger.JobID]*active{},
		ended:   make(chan ledger.JobID, 64),
	}
}

// Tick begins to drive new gangs, passes on the wish to stop, and renews
// leases. The jobs are copies of those whose driver is this process.
func (d *Driver) Tick(ctx context.Context, now time.Time, rules Rules, jobs []ledger.Job) {
	d.mu.Lock()
	d.rules = rules
	d.mu.Unlock()
	d.collect()
	d.abandonOthers(jobs)
	for _, j := range jobs {
		d.attend(ctx, now, j)
	}
	d.renewer.tick(ctx, now)
}

// ActiveGangs returns the number of gangs under way.
func (d *Driver) ActiveGangs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.gangs)
}

// Drives tells whether the job is driven here under the epoch.
func (d *Driver) Drives(id ledger.JobID, epoch platform.Epoch) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.gangs[id]
	return a != nil && a.epoch == epoch
}

// collect drops the gangs that are done.
func (d *Driver) collect() {
	for {
		select {
		case id := <-d.ended:
			d.mu.Lock()
			delete(d.gangs, id)
			d.mu.Unlock()
		default:
			return
		}
	}
}

// abandonOthers lets go of gangs that the ledger gave to another driver or epoch.
// Their leases are left as they are: the new driver takes them over.
func (d *Driver) abandonOthers(jobs []ledger.Job) {
	own := make(map[ledger.JobID]platform.Epoch, len(jobs))
	for _, j := range jobs {
		own[j.ID] = j.Epoch
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, a := range d.gangs {
		if own[id] != a.epoch {
			a.abandon()
		}
	}
}

func (d *Driver) attend(ctx context.Context, now time.Time, j ledger.Job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.gangs[j.ID]
	if known != nil {
		if known.epoch == j.Epoch && j.Phase == ledger.PhaseStopping {
			known.gang.askStop()
		}
		return
	}
	g := newGang(d, j)
	own, abandon := context.WithCancel(ctx)
	d.gangs[j.ID] = &active{gang: g, epoch: j.Epoch, began: now, abandon: abandon}
	go func() {
		defer abandon()
		g.run(own)
		g.stopRenewing()
		select {
		case d.ended <- j.ID:
		case <-ctx.Done():
		}
	}()
}

// began returns when the gang was first driven here under the epoch.
func (d *Driver) began(id ledger.JobID, epoch platform.Epoch) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.gangs[id]
	if a == nil || a.epoch != epoch {
		return time.Time{}
	}
	return a.began
}

func (d *Driver) inForce() Rules {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rules
}

// reclaimBound is the longest time until a preempted gang has left its
// accelerators: the grace, the last lease, and a margin for the calls.
func (d *Driver) reclaimBound() time.Duration {
	return d.inForce().Grace + MaxLeaseDuration + callTimeout
}

func isVoid(err error) bool {
	var void *journal.VoidError
	return errors.As(err, &void)
}
