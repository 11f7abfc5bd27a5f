package placement

import (
	"slices"
	"time"

	"corianderpass/internal/process/adjacency"
	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

const (
	// maxCompactedShare is the largest share of a worker's accelerators in use at which
	// compaction may empty the worker.
	maxCompactedShare = 0.5
	// minRemainingForMove is the least remaining run time at which a job is moved, if
	// completion and fragmentation have equal weights.
	minRemainingForMove = 5 * time.Minute
)

// compact returns yields that empty one worker, so that a gang that needs whole workers
// may fit there later. All jobs of that worker must fit into holes, which are the free
// accelerators of other workers in use. It returns nil if there is no such worker, or
// while an earlier move is not finished. It empties one worker at a time, so that the
// next decision sees where the jobs were placed.
func (d *plan) compact() []ledger.Yield {
	if d.policy.NoCompaction || d.moveInProgress() {
		return nil
	}
	workers := slices.Clone(d.view.workers)
	slices.SortStableFunc(workers, func(a, b *workerView) int { return b.free.Count() - a.free.Count() })
	for _, w := range workers {
		if yields := d.emptyWorker(w); yields != nil {
			return yields
		}
	}
	return nil
}

// moveInProgress reports whether a job is stopping, or was moved and waits for its
// new placement.
func (d *plan) moveInProgress() bool {
	return len(d.state.Active(func(j *ledger.Job) bool {
		return j.Phase == ledger.PhaseStopping || j.Phase == ledger.PhaseWaiting && j.Moved.After(j.Placed)
	})) > 0
}

// emptyWorker returns yields of all jobs on a worker. It returns nil if the worker has no
// jobs or too many accelerators in use, if this plan has used its capacity, or if one of
// its jobs must not be moved, ends too soon or fits into no hole.
func (d *plan) emptyWorker(w *workerView) []ledger.Yield {
	inUse := w.size - w.free.Count()
	if w.probeOnly || inUse == 0 || float64(inUse) > maxCompactedShare*float64(w.size) || w.free != d.state.Worker(w.id).Free() {
		return nil
	}
	var yields []ledger.Yield
	holes := d.holes(w)
	for _, h := range d.state.Worker(w.id).Holdings {
		j := d.state.Job(h.Job)
		if h.Firm || j.Tasks > 1 || !d.state.Movable(j, d.now) || !d.worthMoving(j) || !takeFromTightest(holes, h.Accelerators.Count()) {
			return nil
		}
		yields = append(yields, ledger.Yield{Job: j.ID, Epoch: j.Epoch})
	}
	return yields
}

// worthMoving reports whether the job's remaining run time, weighted with the importance
// of fragmentation relative to completion, justifies a move.
func (d *plan) worthMoving(j *ledger.Job) bool {
	sharing := d.state.Bundle().Sharing
	remaining := d.expectedEnd(j).Sub(d.now)
	return sharing.FragmentationWeight*remaining.Seconds() >= sharing.CompletionWeight*minRemainingForMove.Seconds()
}

// holes returns, for each other worker in use, the free accelerators that belong to no
// slot and are not set aside.
func (d *plan) holes(except *workerView) []platform.AcceleratorSet {
	var holes []platform.AcceleratorSet
	for _, w := range d.view.workers {
		if w == except || w.probeOnly || w.free == allAccelerators(w) {
			continue
		}
		if hole := unreserved(w) &^ w.setAside; hole != 0 {
			holes = append(holes, hole)
		}
	}
	return holes
}

// takeFromTightest removes n adjacent accelerators from the hole that has the shortest
// span of at least n. It returns false if no hole has one.
func takeFromTightest(holes []platform.AcceleratorSet, n int) bool {
	best, bestLength := -1, 0
	for i, hole := range holes {
		if _, length := adjacency.BestFit(hole, n); length > 0 && (best < 0 || length < bestLength) {
			best, bestLength = i, length
		}
	}
	if best < 0 {
		return false
	}
	set, _ := adjacency.BestFit(holes[best], n)
	holes[best] &^= set
	return true
}
