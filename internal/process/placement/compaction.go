package placement

import (
	"slices"
	"time"

	"corianderpass/internal/process/adjacency"
	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

const (
	// maxCompactedShare is the largest share of a worker that compaction empties.
	maxCompactedShare = 0.5
	// minRemainingForMove is the least time that a job must have left to be worth a move
	// at equal weights of completion and fragmentation.
	minRemainingForMove = 5 * time.Minute
)

// compact looks for a worker that is held by a few small jobs only, all of which
// fit into holes of workers in use, and lets them yield. One worker at a time:
// the next decision sees what came of it.
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

// moveInProgress tells whether a job is on its way from one place to another.
func (d *plan) moveInProgress() bool {
	return len(d.state.Active(func(j *ledger.Job) bool {
		return j.Phase == ledger.PhaseStopping || j.Phase == ledger.PhaseWaiting && j.Moved.After(j.Placed)
	})) > 0
}

// emptyWorker returns the yields that emptyWorker a site, nil if it is not worth it.
func (d *plan) emptyWorker(w *workerView) []ledger.Yield {
	held := w.size - w.free.Count()
	if w.probeOnly || held == 0 || float64(held) > maxCompactedShare*float64(w.size) || w.free != d.state.Worker(w.id).Free() {
		return nil
	}
	var yields []ledger.Yield
	holes := d.holes(w)
	for _, h := range d.state.Worker(w.id).Holdings {
		j := d.state.Job(h.Job)
		if h.Firm || j.Tasks > 1 || !d.state.Movable(j, d.now) || !d.worthMove(j) || !takeFromTightest(holes, h.Accelerators.Count()) {
			return nil
		}
		yields = append(yields, ledger.Yield{Job: j.ID, Epoch: j.Epoch})
	}
	return yields
}

// worthMove tells whether the job has so much time left that moving it pays.
func (d *plan) worthMove(j *ledger.Job) bool {
	sharing := d.state.Bundle().Sharing
	remaining := d.expectedEnd(j).Sub(d.now)
	return sharing.FragmentationWeight*remaining.Seconds() >= sharing.CompletionWeight*minRemainingForMove.Seconds()
}

// holes returns the free runs of the other workers in use.
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

// takeFromTightest takes n adjacent accelerators out of the tightest hole.
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
