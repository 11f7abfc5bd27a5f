package placement

import (
	"time"

	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

// find searches unless a search that is no harder has failed before.
func (d *plan) find(j *ledger.Job) ([]ledger.Assignment, []ledger.JobID) {
	n := d.needOf(j)
	alike := len(j.FailedOn) == 0
	if least, known := d.hopeless[n]; !known || j.Tasks < least || !alike {
		if gang := d.search(j); gang != nil {
			return gang, nil
		}
		if alike {
			d.hopeless[n] = j.Tasks
		}
	}
	same := sized{n, j.Tasks}
	if !j.Preemptible || d.unmovable[same] && alike {
		return nil, nil
	}
	gang, moves := d.searchWithMoves(j)
	if gang == nil && alike {
		d.unmovable[same] = true
	}
	return gang, moves
}

// sized is a need with the size of the gang, on which depends what may be moved.
type sized struct {
	need  need
	tasks int
}

// need is all that a search without moves depends on besides the number of tasks.
type need struct {
	accelerators                       int
	cores                              platform.Cores
	memory                             platform.Megabytes
	preemptible, small, passes, breaks bool
}

func (d *plan) needOf(j *ledger.Job) need {
	return need{
		accelerators: j.Accelerators, cores: j.Cores, memory: j.Memory, preemptible: j.Preemptible,
		small: j.Small(), passes: d.mayPass(j), breaks: d.mayBreak(j),
	}
}

// search finds room for a job that fills no slot.
func (d *plan) search(j *ledger.Job) []ledger.Assignment {
	s := shapeOf(j.Spec)
	passes := d.mayPass(j)
	if d.blocked && d.policy.NoBackfill && j.Class != ledger.ClassUrgent {
		return nil
	}
	failed := map[platform.WorkerID]bool{}
	for _, id := range j.FailedOn {
		failed[id] = true
	}
	narrow := func(allow usable) usable {
		return func(t *site) platform.AcceleratorSet {
			if failed[t.id] {
				return 0
			}
			set := allow(t)
			if !passes {
				set &^= t.kept
			}
			if set == allWhole(t) && !d.mayBreak(j) {
				return 0
			}
			return set
		}
	}
	if gang := d.view.pick(s, narrow(open)); gang != nil {
		return gang
	}
	return d.view.pick(s, narrow(loose))
}

// allWhole returns all accelerators of a worker.
func allWhole(t *site) platform.AcceleratorSet {
	return platform.AcceleratorSet(1)<<t.size - 1
}

// mayPass tells whether the job may use what is kept for the head of the queue.
func (d *plan) mayPass(j *ledger.Job) bool {
	if !d.blocked || j.Class == ledger.ClassUrgent {
		return true
	}
	return !d.now.Add(d.runTime(j)).After(d.shadow)
}

// maxPatience bounds how long a small job waits for a hole before it breaks
// into an empty worker, as a share of its own run time.
const maxPatience = 0.5

// mayBreak tells whether the job may break into an empty worker. While a gang
// that needs whole workers waits, a small job first waits for a hole, longer the
// more fragmentation weighs against completion.
func (d *plan) mayBreak(j *ledger.Job) bool {
	if d.policy.NoSmallJobDelay || j.Class == ledger.ClassUrgent || !j.Small() || !d.large {
		return true
	}
	sharing := d.state.Bundle().Sharing
	weight := sharing.FragmentationWeight / (sharing.FragmentationWeight + sharing.CompletionWeight)
	patience := time.Duration(weight * maxPatience * float64(d.runTime(j)))
	return d.now.Sub(j.Submitted) >= patience
}
