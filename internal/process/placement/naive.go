package placement

import (
	"sort"
	"time"

	"corianderpass/internal/process/adjacency"
	"corianderpass/internal/process/ledger"
)

// Naive is a first-come, first-served policy: it goes through the waiting jobs in the
// order of their submission and places each on the first accelerators that fit.
// Experiments use it as the baseline for Policy.
type Naive struct{}

// Decide returns placements for waiting jobs, but no moves and no yields. Jobs for which
// skip returns true are left out. The decision is empty if the state has no bundle.
func (Naive) Decide(s *ledger.State, now time.Time, skip Skip) Decision {
	waiting := waitingJobs(s, skip)
	if len(waiting) == 0 || s.Bundle() == nil {
		return Decision{}
	}
	sort.SliceStable(waiting, func(a, b int) bool { return waiting[a].Submitted.Before(waiting[b].Submitted) })
	d := newPlan(Policy{}, s, now)
	for _, j := range waiting {
		if len(d.places) == maxPlaces {
			break
		}
		if d.fillSlotsInPlace(j) || d.overQuota(j) {
			continue
		}
		kind := ledger.KindBorrowed
		if !j.Preemptible {
			kind = ledger.KindFirm
		}
		if gang := d.view.firstFit(shapeOf(j.Spec)); gang != nil {
			d.addPlace(j, shapeOf(j.Spec), ledger.Place{Kind: kind, Assignments: gang})
		}
	}
	return Decision{Places: d.places}
}

// fillSlotsInPlace plans the job on the current places of its organisation's slots and
// reports whether enough slots were found.
func (d *plan) fillSlotsInPlace(j *ledger.Job) bool {
	name, slots := d.state.FillableSlots(j.Spec, d.filledSlots)
	if slots == nil {
		return false
	}
	d.fillSlots(j, name, slots, d.slotPlaces(slots))
	return true
}

// firstFit returns the first places that fit, in the order of workers and accelerators;
// nil if there are not enough for the whole gang.
func (v *view) firstFit(s shape) []ledger.Assignment {
	var gang []ledger.Assignment
	for _, w := range v.workers {
		set := w.free
		for range w.taskCapacity(s, set) {
			if len(gang) == s.tasks {
				return gang
			}
			for start := 0; start+s.accelerators <= w.size; start++ {
				span := adjacency.First(s.accelerators) << start
				if set&span == span {
					set &^= span
					gang = append(gang, ledger.Assignment{Worker: w.id, Accelerators: span})
					break
				}
			}
		}
	}
	if len(gang) < s.tasks {
		return nil
	}
	return gang
}
