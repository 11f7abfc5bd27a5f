package scheduler

import (
	"sync"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/workload"
)

// undecidedStops has the proposed stops whose results are not known. The zero value is ready to use. It is safe
// for concurrent use.
type undecidedStops struct {
	mu    sync.Mutex
	stops map[workload.TaskRef]*journal.Pending
}

// add adds the stop of a task.
func (u *undecidedStops) add(r workload.TaskRef, p *journal.Pending) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stops == nil {
		u.stops = map[workload.TaskRef]*journal.Pending{}
	}
	u.stops[r] = p
}

// tasks returns the tasks whose stops are still undecided, and forgets the others.
func (u *undecidedStops) tasks() []workload.TaskRef {
	u.mu.Lock()
	defer u.mu.Unlock()
	var undecided []workload.TaskRef
	for r, p := range u.stops {
		if len(p.Done()) > 0 {
			delete(u.stops, r)
			continue
		}
		undecided = append(undecided, r)
	}
	return undecided
}
