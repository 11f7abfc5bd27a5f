package ledger

import (
	"github.com/pkg/errors"

	"corianderpass/internal/version/bundle"
)

// ErrGuaranteesDoNotFit tells that the guarantees of a bundle do not fit together on
// the region's workers.
var ErrGuaranteesDoNotFit = errors.New("ledger: guarantees do not pack together")

// CheckGuarantees tells whether the guarantees of a bundle for this region could all be
// kept on its workers, were they empty. It changes nothing. Before any worker
// is known it has nothing to say.
func (s *State) CheckGuarantees(b *bundle.Bundle) error {
	if len(s.order) == 0 {
		return nil
	}
	empty := NewState(s.region)
	for _, id := range s.order {
		w := s.workers[id]
		empty.workers[id] = &Worker{Worker: w.Worker}
		empty.order = append(empty.order, id)
	}
	empty.adoptSlots(b)
	if empty.Shortfall() == 0 {
		return nil
	}
	for _, l := range empty.slots.list {
		if l.Unplaced() {
			return errors.WithMessagef(ErrGuaranteesDoNotFit, "%d of %d slots find no place, first slot %d of %s/%s with %d accelerators",
				empty.Shortfall(), len(empty.slots.list), l.Index, l.Organisation, l.Guarantee, l.Size)
		}
	}
	return nil
}
