package placement

import (
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/version/bundle"
)

// justifiesSlots reports whether a batch job may fill slots of a guarantee. The job must
// use at least half of the accelerators of each slot, so that no jobs are preempted for
// accelerators that stay idle. A job that must not be preempted may fit nowhere else, so
// it may also fill larger slots once it has waited for the ageing time.
func (d *plan) justifiesSlots(j *ledger.Job) bool {
	_, slots := d.state.FillableSlots(j.Spec, d.filledSlots)
	if slots == nil {
		return false
	}
	aged := d.now.Sub(j.Submitted) >= d.state.Bundle().Sharing.AgeingTime.Std()
	return 2*j.Accelerators >= d.state.Slots()[slots[0]].Size || !j.Preemptible && aged
}

// placeInSlots places the job in slots of its organisation's guarantee and reports
// whether enough slots were found. It uses the slots' current places if these are free.
// If they are not, and no job fills any of the slots, it looks for free accelerators
// elsewhere. Only then it uses the current places by preempting the jobs there.
func (d *plan) placeInSlots(j *ledger.Job) bool {
	name, slots := d.state.FillableSlots(j.Spec, d.filledSlots)
	if slots == nil {
		return false
	}
	gang := d.freeSlotPlaces(slots)
	if gang == nil && d.allUnfilled(slots) {
		first := d.state.Slots()[slots[0]]
		s := shape{tasks: j.Tasks, accelerators: first.Size, cores: first.Cores, memory: first.Memory, firm: true}
		gang = d.view.findGang(s, unreserved)
	}
	if gang == nil {
		gang = d.slotPlaces(slots)
	}
	d.fillSlots(j, name, slots, gang)
	return true
}

// fillSlots plans the placement of a job in slots of the named guarantee. slots are
// indexes in State.Slots; the task with index i fills slots[i] on the accelerators
// gang[i].
func (d *plan) fillSlots(j *ledger.Job, name bundle.GuaranteeName, slots []int, gang []ledger.Assignment) {
	for task, i := range slots {
		gang[task].Slot = d.state.Slots()[i].Index
		d.filledSlots[i] = true
	}
	first := d.state.Slots()[slots[0]]
	s := shape{tasks: j.Tasks, accelerators: first.Size, cores: first.Cores, memory: first.Memory}
	d.addPlace(j, s, ledger.Place{Kind: ledger.KindGuaranteed, Guarantee: name, Assignments: gang})
}

// allUnfilled reports whether none of the slots is filled by a job.
func (d *plan) allUnfilled(slots []int) bool {
	for _, i := range slots {
		if d.state.Slots()[i].Job != "" {
			return false
		}
	}
	return true
}

// slotPlaces returns the current places of the slots.
func (d *plan) slotPlaces(slots []int) []ledger.Assignment {
	var gang []ledger.Assignment
	for _, i := range slots {
		slot := d.state.Slots()[i]
		gang = append(gang, ledger.Assignment{Worker: slot.Worker, Accelerators: slot.Accelerators})
	}
	return gang
}

// freeSlotPlaces returns the current places of the slots, nil if a job holds part of them.
func (d *plan) freeSlotPlaces(slots []int) []ledger.Assignment {
	gang := d.slotPlaces(slots)
	for _, a := range gang {
		w := d.view.byID[a.Worker]
		if w == nil || w.free&a.Accelerators != a.Accelerators {
			return nil
		}
	}
	return gang
}
