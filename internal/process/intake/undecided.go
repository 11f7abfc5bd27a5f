package intake

import (
	"slices"
	"sync"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/workload"
)

// undecidedLimit is the number of jobs from which undecided drops those whose results have become known
// since. It exceeds the length of the journal's queue.
const undecidedLimit = 2048

// undecided has the proposed submissions whose results are not known, also those whose calls have been
// answered. The zero value is ready to use. It is safe for concurrent use.
type undecided struct {
	mu   sync.Mutex
	jobs map[workload.JobID][]*journal.Pending
}

// add adds a submission of the job.
func (u *undecided) add(id workload.JobID, p *journal.Pending) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.jobs == nil {
		u.jobs = map[workload.JobID][]*journal.Pending{}
	}
	if len(u.jobs) >= undecidedLimit {
		for other := range u.jobs {
			u.update(other, isDecided)
		}
	}
	u.jobs[id] = append(u.jobs[id], p)
}

// remove removes a submission whose result is known or that was withdrawn.
func (u *undecided) remove(id workload.JobID, p *journal.Pending) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.update(id, func(other *journal.Pending) bool { return other == p })
}

// has reports whether a submission of the job is undecided.
func (u *undecided) has(id workload.JobID) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.update(id, isDecided)
	return len(u.jobs[id]) > 0
}

// update removes the submissions of the job for which decided returns true. The lock must be held.
func (u *undecided) update(id workload.JobID, decided func(*journal.Pending) bool) {
	left := slices.DeleteFunc(u.jobs[id], decided)
	if len(left) == 0 {
		delete(u.jobs, id)
		return
	}
	u.jobs[id] = left
}

// isDecided reports whether the journal has sent the result of a submission whose call no longer waits
// for it.
func isDecided(p *journal.Pending) bool { return len(p.Done()) > 0 }
