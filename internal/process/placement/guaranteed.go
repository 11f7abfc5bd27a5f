package placement

import (
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/version/bundle"
)

// worthSlot tells whether the job uses at least half of the slots that it would
// fill, so that it does not preempt others for accelerators that lie idle. A job
// that must not be preempted may have no other way; it fills slots once it is aged.
func (d *plan) worthSlot(j *ledger.Job) bool {
	_, slots := d.state.FillableSlots(j.Spec, d.filled)
	if slots == nil {
		return false
	}
	aged := d.now.Sub(j.Submitted) >= d.state.Bundle().Sharing.AgeingTime.Std()
	return 2*j.Accelerators >= d.state.Slots()[slots[0]].Size || !j.Preemptible && aged
}

// guaranteed fills slots of the organisation's guarantee if one takes the gang.
// Free accelerators are preferred to the slots' own places, where somebody may
// have to be preempted.
func (d *plan) guaranteed(j *ledger.Job) bool {
	name, slots := d.state.FillableSlots(j.Spec, d.filled)
	if slots == nil {
		return false
	}
	gang := d.ownPlaces(slots)
	if gang == nil && d.unfilled(slots) {
		first := d.state.Slots()[slots[0]]
		s := shape{tasks: j.Tasks, accelerators: first.Size, cores: first.Cores, memory: first.Memory, firm: true}
		gang = d.view.pick(s, open)
	}
	if gang == nil {
		gang = d.seats(slots)
	}
	d.fill(j, name, slots, gang)
	return true
}

// fill gives a job the slots, at the places of the gang.
func (d *plan) fill(j *ledger.Job, name bundle.GuaranteeName, slots []int, gang []ledger.Assignment) {
	for task, i := range slots {
		gang[task].Slot = d.state.Slots()[i].Index
		d.filled[i] = true
	}
	first := d.state.Slots()[slots[0]]
	s := shape{tasks: j.Tasks, accelerators: first.Size, cores: first.Cores, memory: first.Memory}
	d.add(j, s, ledger.Place{Kind: ledger.KindGuaranteed, Guarantee: name, Assignments: gang})
}

// unfilled tells whether nobody fills any of the slots.
func (d *plan) unfilled(slots []int) bool {
	for _, i := range slots {
		if d.state.Slots()[i].Job != "" {
			return false
		}
	}
	return true
}

// seats returns the slots' own places.
func (d *plan) seats(slots []int) []ledger.Assignment {
	var gang []ledger.Assignment
	for _, i := range slots {
		l := d.state.Slots()[i]
		gang = append(gang, ledger.Assignment{Worker: l.Worker, Accelerators: l.Accelerators})
	}
	return gang
}

// ownPlaces returns the slots' own places if nobody holds them.
func (d *plan) ownPlaces(slots []int) []ledger.Assignment {
	gang := d.seats(slots)
	for _, a := range gang {
		t := d.view.byID[a.Worker]
		if t == nil || t.free&a.Accelerators != a.Accelerators {
			return nil
		}
	}
	return gang
}
