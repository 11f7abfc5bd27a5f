package placement

import (
	"slices"

	"corianderpass/internal/process/adjacency"
	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

// moveOption is a span of accelerators on one worker that becomes free if the victims move.
type moveOption struct {
	worker *workerView
	set    platform.AcceleratorSet
	// victims are the jobs that hold part of the set. cost is the number of
	// accelerators that all their tasks hold, on any worker.
	victims []ledger.JobID
	cost    int
}

// searchWithMoves returns places for a gang that is not small, and the smaller preemptible
// jobs that must be moved away from there. The moved jobs lose the work since their last
// checkpoint, but the gang need not wait until they have finished. At least as many
// accelerators as the moved jobs need must be free outside the places. It returns nil if
// there are no such places.
func (d *plan) searchWithMoves(j *ledger.Job) ([]ledger.Assignment, []ledger.JobID) {
	if d.policy.NoMoves || j.Small() || !d.mayUseSetAside(j) {
		return nil, nil
	}
	options := d.moveOptions(j)
	slices.SortStableFunc(options, func(a, b moveOption) int { return a.cost - b.cost })
	var gang []ledger.Assignment
	var moves []ledger.JobID
	movedAccelerators := 0
	for _, option := range options {
		if len(gang) == j.Tasks {
			break
		}
		gang = append(gang, ledger.Assignment{Worker: option.worker.id, Accelerators: option.set})
		for _, id := range option.victims {
			if !slices.Contains(moves, id) {
				moves = append(moves, id)
				movedAccelerators += d.state.Job(id).TotalAccelerators()
			}
		}
	}
	if len(gang) < j.Tasks || movedAccelerators > d.freeOutside(gang) {
		return nil, nil
	}
	return gang, moves
}

// moveOptions returns the cheapest option for one task of the job on each worker that has
// one.
func (d *plan) moveOptions(j *ledger.Job) []moveOption {
	var options []moveOption
	for _, w := range d.view.workers {
		if w.probeOnly || slices.Contains(j.FailedOn, w.id) {
			continue
		}
		if option, ok := d.cheapestSpan(w, j); ok {
			options = append(options, option)
		}
	}
	return options
}

// cheapestSpan returns the option on a worker, for one task of the job, that moves
// the fewest accelerators. It returns false if there is none.
func (d *plan) cheapestSpan(w *workerView, j *ledger.Job) (moveOption, bool) {
	movable := d.movableHoldings(w, j)
	best := moveOption{cost: -1}
	for start := 0; start+j.Accelerators <= w.size; start++ {
		set := adjacency.First(j.Accelerators) << start
		option, ok := d.moveOptionFor(w, j, set, movable)
		if ok && (best.cost < 0 || option.cost < best.cost) {
			best = option
		}
	}
	return best, best.cost >= 0
}

// movableHoldings returns the holdings on a worker whose jobs may move to make room for
// the gang j.
func (d *plan) movableHoldings(w *workerView, j *ledger.Job) []ledger.Holding {
	var movable []ledger.Holding
	for _, h := range d.state.Worker(w.id).Holdings {
		if !h.Firm && d.state.MovableFor(d.state.Job(h.Job), j, d.now) && !d.isMoved(h.Job) {
			movable = append(movable, h)
		}
	}
	return movable
}

// isMoved reports whether an earlier placement of this plan moves the job.
func (d *plan) isMoved(id ledger.JobID) bool {
	return slices.ContainsFunc(d.places, func(p ledger.Place) bool { return slices.Contains(p.Moves, id) })
}

// moveOptionFor returns the option of placing one task of the job on a set of
// accelerators of a worker. movable are the holdings on the worker whose jobs may move.
// It returns false if the set is not free, or if cores or memory are insufficient, even
// after the moves.
func (d *plan) moveOptionFor(w *workerView, j *ledger.Job, set platform.AcceleratorSet, movable []ledger.Holding) (moveOption, bool) {
	option := moveOption{worker: w, set: set}
	free := w.free
	cores, memory := w.cores, w.memory
	for _, h := range movable {
		if h.Accelerators&set == 0 {
			continue
		}
		free |= h.Accelerators
		cores += h.Cores
		memory += h.Memory
		if !slices.Contains(option.victims, h.Job) {
			option.victims = append(option.victims, h.Job)
			option.cost += d.state.Job(h.Job).TotalAccelerators()
		}
	}
	return option, free&set == set && cores >= j.Cores && memory >= j.Memory
}

// freeOutside returns the number of free accelerators outside the gang's places.
func (d *plan) freeOutside(gang []ledger.Assignment) int {
	total := 0
	for _, w := range d.view.workers {
		free := w.free
		for _, a := range gang {
			if a.Worker == w.id {
				free &^= a.Accelerators
			}
		}
		total += free.Count()
	}
	return total
}
