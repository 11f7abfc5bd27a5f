package placement

import (
	"slices"

	"corianderpass/internal/process/adjacency"
	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

// movable describes a run on a site that becomes free if some jobs go elsewhere.
type movable struct {
	site *site
	set  platform.AcceleratorSet
	// victims hold a part of the set; cost is the number of accelerators of all
	// their tasks.
	victims []ledger.JobID
	cost    int
}

// searchWithMoves finds room for a gang that needs whole workers by sending small
// preemptible jobs elsewhere. They lose a checkpoint's time, the gang its wait.
// What is moved must fit into the room that is left.
func (d *plan) searchWithMoves(j *ledger.Job) ([]ledger.Assignment, []ledger.JobID) {
	if d.policy.NoMoves || j.Small() || !d.mayPass(j) {
		return nil, nil
	}
	choices := d.movables(j)
	slices.SortStableFunc(choices, func(a, b movable) int { return a.cost - b.cost })
	var gang []ledger.Assignment
	var moves []ledger.JobID
	moved := 0
	for _, c := range choices {
		if len(gang) == j.Tasks {
			break
		}
		gang = append(gang, ledger.Assignment{Worker: c.site.id, Accelerators: c.set})
		for _, id := range c.victims {
			if !slices.Contains(moves, id) {
				moves = append(moves, id)
				moved += d.state.Job(id).TotalAccelerators()
			}
		}
	}
	if len(gang) < j.Tasks || moved > d.roomBeside(gang) {
		return nil, nil
	}
	return gang, moves
}

// movables returns the cheapest run of each site.
func (d *plan) movables(j *ledger.Job) []movable {
	var choices []movable
	for _, t := range d.view.sites {
		if t.testable || slices.Contains(j.FailedOn, t.id) {
			continue
		}
		if c, ok := d.cheapestRun(t, j); ok {
			choices = append(choices, c)
		}
	}
	return choices
}

// cheapestRun returns the run of the job's accelerators on a site that costs the
// fewest moves.
func (d *plan) cheapestRun(t *site, j *ledger.Job) (movable, bool) {
	held := d.movableOn(t, j)
	best := movable{cost: -1}
	for start := 0; start+j.Accelerators <= t.size; start++ {
		set := adjacency.First(j.Accelerators) << start
		c, ok := d.costOf(t, j, set, held)
		if ok && (best.cost < 0 || c.cost < best.cost) {
			best = c
		}
	}
	return best, best.cost >= 0
}

// movableOn returns the holdings on a site whose jobs may be sent elsewhere.
func (d *plan) movableOn(t *site, j *ledger.Job) []ledger.Holding {
	var held []ledger.Holding
	for _, h := range d.state.Worker(t.id).Holdings {
		if !h.Firm && d.state.MovableFor(d.state.Job(h.Job), j, d.now) && !d.sentAway(h.Job) {
			held = append(held, h)
		}
	}
	return held
}

// sentAway tells whether an earlier placement of this plan moves the job.
func (d *plan) sentAway(id ledger.JobID) bool {
	return slices.ContainsFunc(d.places, func(p ledger.Place) bool { return slices.Contains(p.Moves, id) })
}

func (d *plan) costOf(t *site, j *ledger.Job, set platform.AcceleratorSet, held []ledger.Holding) (movable, bool) {
	c := movable{site: t, set: set}
	room := t.free
	cores, memory := t.cores, t.memory
	for _, h := range held {
		if h.Accelerators&set == 0 {
			continue
		}
		room |= h.Accelerators
		cores += h.Cores
		memory += h.Memory
		if !slices.Contains(c.victims, h.Job) {
			c.victims = append(c.victims, h.Job)
			c.cost += d.state.Job(h.Job).TotalAccelerators()
		}
	}
	return c, room&set == set && cores >= j.Cores && memory >= j.Memory
}

// roomBeside returns the free accelerators outside the gang's places.
func (d *plan) roomBeside(gang []ledger.Assignment) int {
	room := 0
	for _, t := range d.view.sites {
		free := t.free
		for _, a := range gang {
			if a.Worker == t.id {
				free &^= a.Accelerators
			}
		}
		room += free.Count()
	}
	return room
}
