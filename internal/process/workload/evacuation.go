package workload

import (
	"fmt"
	"time"

	"corianderpass/internal/process/journal"
	"corianderpass/pkg/platform"
)

// EvacuationVersion orders the requests of operators to evacuate failure domains and their
// withdrawals. It is an offset in the operators' stream; 0 means that there was no request yet.
type EvacuationVersion uint64

// Evacuation is the newest request of operators concerning one failure domain.
type Evacuation struct {
	Version EvacuationVersion
	// Active is true while no runs may start in the domain. Runs that have started go on.
	Active bool
	// Since is the stream's time in Unix milliseconds at which Active was set to its value.
	Since int64
}

// SinceTime returns Since as a time.
func (e Evacuation) SinceTime() time.Time { return time.UnixMilli(e.Since) }

// Evacuate records the request to evacuate a failure domain, or its withdrawal if Active is false.
// Any entry may propose it: the version decides which of several requests is the newest.
type Evacuate struct {
	Domain  platform.FailureDomain
	Version EvacuationVersion
	Active  bool
}

// Evacuation returns the newest request concerning the failure domain. It is the zero value if there
// was none.
func (s *State) Evacuation(d platform.FailureDomain) Evacuation { return s.evacuations[d] }

// Evacuations returns the newest request concerning each failure domain. The map must not be changed.
func (s *State) Evacuations() map[platform.FailureDomain]Evacuation { return s.evacuations }

// IsEvacuated reports whether no runs may start on the worker because its failure domain is being
// evacuated.
//
// Apply does not check it for Place records: a process of a build without evacuations would judge
// such a record differently, and the states would diverge. The agent refuses the run instead.
func (s *State) IsEvacuated(w *Worker) bool { return s.evacuations[w.FailureDomain].Active }

// RunsIn returns the number of runs that reserve resources in the failure domain.
func (s *State) RunsIn(d platform.FailureDomain) int {
	n := 0
	for _, w := range s.workers {
		if w.FailureDomain == d {
			n += len(w.Runs)
		}
	}
	return n
}

func (s *State) evacuate(at journal.Position, r Evacuate) error {
	current := s.evacuations[r.Domain]
	if r.Version <= current.Version || !r.Active && !current.Active {
		return fmt.Errorf("%w: evacuation of %s, active %t, version %d; the state has %t, version %d", ErrNoChange, r.Domain, r.Active, r.Version,
			current.Active, current.Version)
	}
	next := Evacuation{Version: r.Version, Active: r.Active, Since: at.Time.UnixMilli()}
	if current.Active && r.Active {
		// A repeated request only raises the version, so that a withdrawal of the earlier request, proposed
		// by an entry that is behind, does not end it.
		next.Since = current.Since
	}
	s.evacuations[r.Domain] = next
	return nil
}
