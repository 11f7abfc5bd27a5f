package placement

import (
	"time"

	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

// find searches unless a search that is no harder has failed before.
func (d *plan) find(j *ledger.Job) ([]ledger.Assignment, []ledger.JobID) {
	key := d.searchKeyOf(j)
	cacheable := len(j.FailedOn) == 0
	if smallest, known := d.unplaceable[key]; !known || j.Tasks < smallest || !cacheable {
		if gang := d.search(j); gang != nil {
			return gang, nil
		}
		if cacheable {
			d.unplaceable[key] = j.Tasks
		}
	}
	moveKey := moveSearchKey{key, j.Tasks}
	if !j.Preemptible || d.unplaceableWithMoves[moveKey] && cacheable {
		return nil, nil
	}
	gang, moves := d.searchWithMoves(j)
	if gang == nil && cacheable {
		d.unplaceableWithMoves[moveKey] = true
	}
	return gang, moves
}

// moveSearchKey is a need with the size of the gang, on which depends what may be moved.
type moveSearchKey struct {
	searchKey  searchKey
	tasks int
}

// searchKey is all that a search without moves depends on besides the number of tasks.
type searchKey struct {
	accelerators                       int
	cores                              platform.Cores
	memory                             platform.Megabytes
	preemptible, small, usesSetAside, splitsEmpty bool
}

func (d *plan) searchKeyOf(j *ledger.Job) searchKey {
	return searchKey{
		accelerators: j.Accelerators, cores: j.Cores, memory: j.Memory, preemptible: j.Preemptible,
		small: j.Small(), usesSetAside: d.mayUseSetAside(j), splitsEmpty: d.maySplitEmpty(j),
	}
}

// search finds room for a job that fills no slot.
func (d *plan) search(j *ledger.Job) []ledger.Assignment {
	s := shapeOf(j.Spec)
	usesSetAside := d.mayUseSetAside(j)
	if d.headBlocked && d.policy.NoBackfill && j.Class != ledger.ClassUrgent {
		return nil
	}
	failed := map[platform.WorkerID]bool{}
	for _, id := range j.FailedOn {
		failed[id] = true
	}
	restrict := func(allow acceleratorFilter) acceleratorFilter {
		return func(w *workerView) platform.AcceleratorSet {
			if failed[w.id] {
				return 0
			}
			set := allow(w)
			if !usesSetAside {
				set &^= w.setAside
			}
			if set == allAccelerators(w) && !d.maySplitEmpty(j) {
				return 0
			}
			return set
		}
	}
	if gang := d.view.findGang(s, restrict(unreserved)); gang != nil {
		return gang
	}
	return d.view.findGang(s, restrict(freeAccelerators))
}

// allAccelerators returns all accelerators of a worker.
func allAccelerators(w *workerView) platform.AcceleratorSet {
	return platform.AcceleratorSet(1)<<w.size - 1
}

// mayUseSetAside tells whether the job may use what is kept for the head of the queue.
func (d *plan) mayUseSetAside(j *ledger.Job) bool {
	if !d.headBlocked || j.Class == ledger.ClassUrgent {
		return true
	}
	return !d.now.Add(d.remainingRunTime(j)).After(d.shadowTime)
}

// maxHoleWaitShare bounds how long a small job waits for a hole before it breaks
// into an empty worker, as a share of its own run time.
const maxHoleWaitShare = 0.5

// maySplitEmpty tells whether the job may break into an empty worker. While a gang
// that needs whole workers waits, a small job first waits for a hole, longer the
// more fragmentation weighs against completion.
func (d *plan) maySplitEmpty(j *ledger.Job) bool {
	if d.policy.NoSmallJobDelay || j.Class == ledger.ClassUrgent || !j.Small() || !d.largeGangWaits {
		return true
	}
	sharing := d.state.Bundle().Sharing
	weight := sharing.FragmentationWeight / (sharing.FragmentationWeight + sharing.CompletionWeight)
	holeWait := time.Duration(weight * maxHoleWaitShare * float64(d.remainingRunTime(j)))
	return d.now.Sub(j.Submitted) >= holeWait
}
