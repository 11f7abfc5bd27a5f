package ledger

import (
	"time"

	"corianderpass/internal/process/adjacency"
	"corianderpass/pkg/platform"
)

// Holding is what one task holds on a worker.
type Holding struct {
	Job          JobID
	Task         int
	Accelerators platform.AcceleratorSet
	Cores        platform.Cores
	Memory       platform.Megabytes
	// Firm is true under a guaranteed or firm placement. Firm holdings cannot be
	// preempted.
	Firm bool
}

// Worker is a worker's state in the ledger.
type Worker struct {
	platform.Worker
	// Lost is true while the platform does not list the worker or the worker does not
	// answer. A lost worker gets no new tasks.
	Lost bool
	// LostAt is when the worker was last lost; zero if never.
	LostAt time.Time
	// Holdings are in the order in which they were added. Their accelerators never
	// overlap.
	Holdings []Holding `json:",omitempty"`
	// FailedJobs are the different jobs that failed here since the last success.
	FailedJobs []JobID `json:",omitempty"`
	// QuarantinedUntil is when a worker in quarantine begins to accept probes, zero for
	// a worker that is not in quarantine. The quarantine goes on after this time until a
	// job succeeds on the worker.
	QuarantinedUntil time.Time
	// Quarantines is the number of quarantines since the last success.
	Quarantines int `json:",omitempty"`

	// The fields below are computed from the rest of the state.

	// firm and borrowed are the accelerators of the firm and the other holdings;
	// reserved are those of all slots on the worker, filled or not.
	firm, borrowed, reserved platform.AcceleratorSet
	firmCores, heldCores     platform.Cores
	firmMemory, heldMemory   platform.Megabytes
	// unfilledCores and unfilledMemory are the sums of the unfilled slots on the worker.
	unfilledCores  platform.Cores
	unfilledMemory platform.Megabytes
}

// All returns the worker's accelerators, held or not.
func (w *Worker) All() platform.AcceleratorSet { return adjacency.First(w.Accelerators) }

// Free returns the accelerators that no task holds, including those of unfilled slots. A
// lost worker has none.
func (w *Worker) Free() platform.AcceleratorSet {
	if w.Lost {
		return 0
	}
	return w.All() &^ w.firm &^ w.borrowed
}

// Reserved returns the accelerators of all slots on the worker, filled or not.
func (w *Worker) Reserved() platform.AcceleratorSet { return w.reserved }

// Borrowed returns the accelerators held by borrowed placements.
func (w *Worker) Borrowed() platform.AcceleratorSet { return w.borrowed }

// Usable reports whether the worker may get any task: it is neither lost nor in quarantine.
func (w *Worker) Usable(_ time.Time) bool { return !w.Lost && w.QuarantinedUntil.IsZero() }

// AcceptsProbe reports whether the worker may get one borrowed job of a single task, whose
// success ends the quarantine: its quarantine time has passed and it has no holdings.
func (w *Worker) AcceptsProbe(now time.Time) bool {
	return !w.Lost && !w.QuarantinedUntil.IsZero() && !now.Before(w.QuarantinedUntil) && len(w.Holdings) == 0
}

// HasCapacity reports whether the worker has the cores and memory free, ignoring
// unfilled slots.
func (w *Worker) HasCapacity(cores platform.Cores, memory platform.Megabytes) bool {
	return w.heldCores+cores <= w.Cores && w.heldMemory+memory <= w.Memory
}

// hasFirmCapacity reports whether a firm holding or a slot could get the cores and memory:
// whether other firm holdings and the unfilled slots leave that much. Borrowed holdings do
// not count, since they can be preempted.
func (w *Worker) hasFirmCapacity(cores platform.Cores, memory platform.Megabytes) bool {
	return w.firmCores+w.unfilledCores+cores <= w.Cores && w.firmMemory+w.unfilledMemory+memory <= w.Memory
}

func (w *Worker) addHolding(h Holding) {
	w.Holdings = append(w.Holdings, h)
	w.addToTotals(h)
}

// addToTotals adds a holding to the worker's sums and sets.
func (w *Worker) addToTotals(h Holding) {
	w.heldCores += h.Cores
	w.heldMemory += h.Memory
	if !h.Firm {
		w.borrowed |= h.Accelerators
		return
	}
	w.firm |= h.Accelerators
	w.firmCores += h.Cores
	w.firmMemory += h.Memory
}

// removeHolding removes the holding with the index i.
func (w *Worker) removeHolding(i int) {
	h := w.Holdings[i]
	w.Holdings = append(w.Holdings[:i:i], w.Holdings[i+1:]...)
	w.heldCores -= h.Cores
	w.heldMemory -= h.Memory
	if !h.Firm {
		w.borrowed &^= h.Accelerators
		return
	}
	w.firm &^= h.Accelerators
	w.firmCores -= h.Cores
	w.firmMemory -= h.Memory
}

// removeTask removes the holding of a task if there is one.
func (w *Worker) removeTask(id JobID, task int) {
	for i, h := range w.Holdings {
		if h.Job == id && h.Task == task {
			w.removeHolding(i)
			return
		}
	}
}

// ReservedUnfilled returns the accelerators of the unfilled slots on the worker.
func (w *Worker) ReservedUnfilled() platform.AcceleratorSet { return w.reserved &^ w.firm }

// FreeCapacity returns the cores and memory that no task holds, including those of
// unfilled slots.
func (w *Worker) FreeCapacity() (platform.Cores, platform.Megabytes) {
	return w.Cores - min(w.Cores, w.heldCores), w.Memory - min(w.Memory, w.heldMemory)
}

// WouldChange reports whether observing the platform's description d may change the
// worker's state. It may be called on a nil Worker, which stands for an unknown one.
func (w *Worker) WouldChange(d platform.Worker) bool {
	return w == nil || w.Lost || w.Worker != d && len(w.Holdings) == 0
}

// FirmCapacity returns the cores and memory of the worker less those of firm holdings and
// unfilled slots. Borrowed holdings do not count, since they can be preempted.
func (w *Worker) FirmCapacity() (platform.Cores, platform.Megabytes) {
	cores := min(w.Cores, w.firmCores+w.unfilledCores)
	memory := min(w.Memory, w.firmMemory+w.unfilledMemory)
	return w.Cores - cores, w.Memory - memory
}
