package placement

import (
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/version/bundle"
)

// justifiesSlots tells whether the job uses at least half of the slots that it would
// fill, so that it does not preempt others for accelerators that lie idle. A job
// that must not be preempted may have no other way; it fills slots once it is aged.
func (d *plan) justifiesSlots(j *ledger.Job) bool {
	_, slots := d.state.FillableSlots(j.Spec, d.filledSlots)
	if slots == nil {
		return false
	}
	aged := d.now.Sub(j.Submitted) >= d.state.Bundle().Sharing.AgeingTime.Std()
	return 2*j.Accelerators >= d.state.Slots()[slots[0]].Size || !j.Preemptible && aged
}

// placeInSlots fills slots of the organisation's guarantee if one takes the gang.
// Free accelerators are preferred to the slots' own places, where somebody may
// have to be preempted.
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

// fillSlots gives a job the slots, at the places of the gang.
func (d *plan) fillSlots(j *ledger.Job, name bundle.GuaranteeName, slots []int, gang []ledger.Assignment) {
	for task, i := range slots {
		gang[task].Slot = d.state.Slots()[i].Index
		d.filledSlots[i] = true
	}
	first := d.state.Slots()[slots[0]]
	s := shape{tasks: j.Tasks, accelerators: first.Size, cores: first.Cores, memory: first.Memory}
	d.addPlace(j, s, ledger.Place{Kind: ledger.KindGuaranteed, Guarantee: name, Assignments: gang})
}

// allUnfilled tells whether nobody fills any of the slots.
func (d *plan) allUnfilled(slots []int) bool {
	for _, i := range slots {
		if d.state.Slots()[i].Job != "" {
			return false
		}
	}
	return true
}

// slotPlaces returns the slots' own places.
func (d *plan) slotPlaces(slots []int) []ledger.Assignment {
	var gang []ledger.Assignment
	for _, i := range slots {
		slot := d.state.Slots()[i]
		gang = append(gang, ledger.Assignment{Worker: slot.Worker, Accelerators: slot.Accelerators})
	}
	return gang
}

// freeSlotPlaces returns the slots' own places if nobody holds them.
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
