package placement

import (
	"slices"
	"time"

	"corianderpass/internal/process/adjacency"
	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

const (
	// compactBelow is the largest share of a worker that compaction empties.
	compactBelow = 0.5
	// compactRest is the least time that a job must have left to be worth a move
	// at equal weights of completion and fragmentation.
	compactRest = 5 * time.Minute
)

// compact looks for a worker that is held by a few small jobs only, all of which
// fit into holes of workers in use, and lets them yield. One worker at a time:
// the next decision sees what came of it.
func (d *plan) compact() []ledger.Yield {
	if d.policy.NoCompaction || d.moving() {
		return nil
	}
	sites := slices.Clone(d.view.sites)
	slices.SortStableFunc(sites, func(a, b *site) int { return b.free.Count() - a.free.Count() })
	for _, t := range sites {
		if yields := d.empty(t); yields != nil {
			return yields
		}
	}
	return nil
}

// moving tells whether a job is on its way from one place to another.
func (d *plan) moving() bool {
	return len(d.state.Active(func(j *ledger.Job) bool {
		return j.Phase == ledger.PhaseStopping || j.Phase == ledger.PhaseWaiting && j.Moved.After(j.Placed)
	})) > 0
}

// empty returns the yields that empty a site, nil if it is not worth it.
func (d *plan) empty(t *site) []ledger.Yield {
	held := t.size - t.free.Count()
	if t.testable || held == 0 || float64(held) > compactBelow*float64(t.size) || t.free != d.state.Worker(t.id).Free() {
		return nil
	}
	var yields []ledger.Yield
	holes := d.holes(t)
	for _, h := range d.state.Worker(t.id).Holdings {
		j := d.state.Job(h.Job)
		if h.Firm || j.Tasks > 1 || !d.state.Movable(j, d.now) || !d.worthMove(j) || !fitInto(holes, h.Accelerators.Count()) {
			return nil
		}
		yields = append(yields, ledger.Yield{Job: j.ID, Epoch: j.Epoch})
	}
	return yields
}

// worthMove tells whether the job has so much time left that moving it pays.
func (d *plan) worthMove(j *ledger.Job) bool {
	sharing := d.state.Bundle().Sharing
	left := d.expectedEnd(j).Sub(d.now)
	return sharing.FragmentationWeight*left.Seconds() >= sharing.CompletionWeight*compactRest.Seconds()
}

// holes returns the free runs of the other workers in use.
func (d *plan) holes(except *site) []platform.AcceleratorSet {
	var holes []platform.AcceleratorSet
	for _, t := range d.view.sites {
		if t == except || t.testable || t.free == allWhole(t) {
			continue
		}
		if hole := open(t) &^ t.kept; hole != 0 {
			holes = append(holes, hole)
		}
	}
	return holes
}

// fitInto takes n adjacent accelerators out of the tightest hole.
func fitInto(holes []platform.AcceleratorSet, n int) bool {
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
