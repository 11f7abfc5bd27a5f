package entry

import (
	"context"
	"time"

	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/client"
)

// Status returns the status of the region and of all processes known to this entry. It
// exchanges heartbeats with its peers first, since those received last may be seconds old.
func (e *Entry) Status(ctx context.Context) client.Status {
	e.exchangeAll(ctx, e.exchangePeers())
	s := client.Status{Entry: string(e.member.ID), Region: string(e.settings.Region), LogDown: e.ledger.Down() || e.bundles.Down()}
	s.Version = uint64(e.version())
	e.ledger.View(func(now time.Time) { e.addLedgerStatus(&s, now) })
	for _, b := range e.directory.Alive() {
		s.Processes = append(s.Processes, client.Process{
			ID: string(b.ID), Role: string(b.Role), Address: string(b.Address), Region: string(b.Region),
			FailureDomain: string(b.FailureDomain), Service: string(b.Service), Version: uint64(b.Version),
			Leaving: b.Leaving, Slots: b.Slots, Busy: b.Busy,
		})
	}
	return s
}

// addLedgerStatus adds the figures of the ledger. It must be called under the ledger's lock.
func (e *Entry) addLedgerStatus(s *client.Status, now time.Time) {
	s.LedgerVersion = uint64(e.state.Version())
	s.Shortfall = e.state.Shortfall()
	s.Workers = len(e.state.Workers())
	for _, id := range e.state.Workers() {
		w := e.state.Worker(id)
		if !w.Usable(now) {
			s.Away++
			continue
		}
		s.Accelerators += w.Accelerators
		s.Held += w.Accelerators - w.Free().Count()
	}
	for _, j := range e.state.Active(func(*ledger.Job) bool { return true }) {
		if j.HoldsAccelerators() {
			s.RunningJobs++
		} else {
			s.WaitingJobs++
		}
	}
}
