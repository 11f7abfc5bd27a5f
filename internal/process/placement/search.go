package placement

import (
	"time"

	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

// find returns places for a job outside slots, and the jobs that must be moved away from
// there. It skips the search without moves if one for an equal or smaller gang has
// already failed in this plan, and the search with moves if one for an equal gang has.
// For a job that has failed on some worker it always searches, since the keys do not
// cover the workers that the job avoids.
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

// moveSearchKey is what the result of a search with moves depends on: the number of
// tasks limits which jobs may move.
type moveSearchKey struct {
	searchKey searchKey
	tasks     int
}

// searchKey is what the result of a search without moves depends on, apart from the
// number of tasks and the workers on which the job has failed.
type searchKey struct {
	accelerators                                  int
	cores                                         platform.Cores
	memory                                        platform.Megabytes
	preemptible, small, usesSetAside, splitsEmpty bool
}

func (d *plan) searchKeyOf(j *ledger.Job) searchKey {
	return searchKey{
		accelerators: j.Accelerators, cores: j.Cores, memory: j.Memory, preemptible: j.Preemptible,
		small: j.Small(), usesSetAside: d.mayUseSetAside(j), splitsEmpty: d.mayUseEmptyWorker(j),
	}
}

// search returns places for a job that fills no slots, without moves; nil if there are
// none. It prefers accelerators that belong to no unfilled slot.
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
	// restrict removes the workers on which the job has failed, the accelerators set
	// aside that the job may not use, and the empty workers on which it may not start.
	restrict := func(allow acceleratorFilter) acceleratorFilter {
		return func(w *workerView) platform.AcceleratorSet {
			if failed[w.id] {
				return 0
			}
			set := allow(w)
			if !usesSetAside {
				set &^= w.setAside
			}
			if set == allAccelerators(w) && !d.mayUseEmptyWorker(j) {
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

// allAccelerators returns all accelerators of a worker, free or not.
func allAccelerators(w *workerView) platform.AcceleratorSet {
	return platform.AcceleratorSet(1)<<w.size - 1
}

// mayUseSetAside reports whether the job may use the accelerators that are set aside for
// the blocked head of the queue.
func (d *plan) mayUseSetAside(j *ledger.Job) bool {
	if !d.headBlocked || j.Class == ledger.ClassUrgent {
		return true
	}
	return !d.now.Add(d.remainingRunTime(j)).After(d.shadowTime)
}

// maxHoleWaitShare limits how long a small job waits for a hole, which is capacity on a
// worker in use, before it may start on an empty worker. It is a share of the job's
// remaining run time.
const maxHoleWaitShare = 0.5

// mayUseEmptyWorker reports whether the job may start on an empty worker. While a job that is
// not small waits, a small job must first wait for a hole; the higher the weight of
// fragmentation relative to completion, the longer it must wait.
func (d *plan) mayUseEmptyWorker(j *ledger.Job) bool {
	if d.policy.NoSmallJobDelay || j.Class == ledger.ClassUrgent || !j.Small() || !d.largeGangWaits {
		return true
	}
	sharing := d.state.Bundle().Sharing
	weight := sharing.FragmentationWeight / (sharing.FragmentationWeight + sharing.CompletionWeight)
	holeWait := time.Duration(weight * maxHoleWaitShare * float64(d.remainingRunTime(j)))
	return d.now.Sub(j.Submitted) >= holeWait
}
