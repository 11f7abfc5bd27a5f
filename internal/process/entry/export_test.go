package entry

import (
	"time"

	"corianderpass/internal/process/ledger"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// Drives reports whether this entry is driving the job under its current epoch.
func (e *Entry) Drives(organisation, id string) bool {
	key := ledger.NewJobID(bundle.OrganisationName(organisation), id)
	epoch := platform.Epoch(0)
	e.ledger.View(func(time.Time) {
		if j := e.state.Job(key); j != nil {
			epoch = j.Epoch
		}
	})
	return e.driver.Drives(key, epoch)
}
