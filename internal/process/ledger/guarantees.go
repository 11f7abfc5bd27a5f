package ledger

import (
	"github.com/pkg/errors"

	"corianderpass/internal/version/bundle"
)

// ErrGuaranteesDoNotFit means that the guarantees of a bundle do not fit together on the
// region's workers.
var ErrGuaranteesDoNotFit = errors.New("ledger: guarantees do not fit together on the region's workers")

// CheckGuarantees checks that all guarantees of the bundle for this region would fit on
// the region's workers together if no jobs ran. If not, it returns ErrGuaranteesDoNotFit
// with the first slot that would have no place. It returns nil while the region has no
// workers. It does not change the state.
func (s *State) CheckGuarantees(b *bundle.Bundle) error {
	if len(s.workerIDs) == 0 {
		return nil
	}
	trial := NewState(s.region)
	for _, id := range s.workerIDs {
		w := s.workers[id]
		trial.workers[id] = &Worker{Worker: w.Worker}
		trial.workerIDs = append(trial.workerIDs, id)
	}
	trial.adoptSlots(b)
	if trial.Shortfall() == 0 {
		return nil
	}
	for _, l := range trial.slots.list {
		if l.Unplaced() {
			return errors.WithMessagef(ErrGuaranteesDoNotFit, "%d of %d slots have no place, first slot %d of %s/%s with %d accelerators",
				trial.Shortfall(), len(trial.slots.list), l.Index, l.Organisation, l.Guarantee, l.Size)
		}
	}
	return nil
}
