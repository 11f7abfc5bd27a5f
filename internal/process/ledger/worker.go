package ledger

import (
	"time"

	"corianderpass/internal/process/adjacency"
	"corianderpass/pkg/platform"
)

// Holding is one task's hold on a worker.
type Holding struct {
	Job          JobID
	Task         int
	Accelerators platform.AcceleratorSet
	Cores        platform.Cores
	Memory       platform.Megabytes
	// Firm holdings cannot be preempted.
	Firm bool
}

// Worker is a worker's state in the ledger.
type Worker struct {
	platform.Worker
	// Lost workers get nothing new.
	Lost bool
	// LostAt is when it was lost last.
	LostAt time.Time
	// Holdings never overlap in accelerators.
	Holdings []Holding `json:",omitempty"`
	// FailedJobs are the different jobs that failed here since the last success.
	FailedJobs []JobID `json:",omitempty"`
	// QuarantinedUntil is zero for a trusted worker.
	QuarantinedUntil time.Time
	// Quarantines counts quarantines since the last success.
	Quarantines int `json:",omitempty"`

	// The fields below follow from the rest of the state.

	// firm and borrowed are the accelerators of the holdings; reserved are
	// those of all guarantee slots on the worker, filled or not.
	firm, borrowed, reserved platform.AcceleratorSet
	firmCores, heldCores     platform.Cores
	firmMemory, heldMemory   platform.Megabytes
	// unfilledCores and openMemory belong to unfilled slots on the worker.
	unfilledCores  platform.Cores
	unfilledMemory platform.Megabytes
}

// All returns the worker's accelerators.
func (w *Worker) All() platform.AcceleratorSet { return adjacency.First(w.Accelerators) }

// Free returns the accelerators that nobody holds, reserved or not; none on a
// lost worker.
func (w *Worker) Free() platform.AcceleratorSet {
	if w.Lost {
		return 0
	}
	return w.All() &^ w.firm &^ w.borrowed
}

// Reserved returns the accelerators of guarantee slots on the worker.
func (w *Worker) Reserved() platform.AcceleratorSet { return w.reserved }

// Borrowed returns the accelerators held by preemptible tasks.
func (w *Worker) Borrowed() platform.AcceleratorSet { return w.borrowed }

// Usable tells whether the worker may get any task at the time.
func (w *Worker) Usable(_ time.Time) bool { return !w.Lost && w.QuarantinedUntil.IsZero() }

// AcceptsProbe tells whether the worker may get one small task to prove itself.
func (w *Worker) AcceptsProbe(now time.Time) bool {
	return !w.Lost && !w.QuarantinedUntil.IsZero() && !now.Before(w.QuarantinedUntil) && len(w.Holdings) == 0
}

// HasCapacity tells whether a task's cores and memory are unheld.
func (w *Worker) HasCapacity(cores platform.Cores, memory platform.Megabytes) bool {
	return w.heldCores+cores <= w.Cores && w.heldMemory+memory <= w.Memory
}

// hasFirmCapacity tells whether cores and memory are free of firm holdings and
// unfilled slots.
func (w *Worker) hasFirmCapacity(cores platform.Cores, memory platform.Megabytes) bool {
	return w.firmCores+w.unfilledCores+cores <= w.Cores && w.firmMemory+w.unfilledMemory+memory <= w.Memory
}

// addHolding adds a holding.
func (w *Worker) addHolding(h Holding) {
	w.Holdings = append(w.Holdings, h)
	w.addToTotals(h)
}

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

// removeHolding removes the holding with the index.
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

// removeTask removes the holding of a task, if it is still there.
func (w *Worker) removeTask(id JobID, task int) {
	for i, h := range w.Holdings {
		if h.Job == id && h.Task == task {
			w.removeHolding(i)
			return
		}
	}
}

// ReservedUnfilled returns the accelerators of unfilled slots on the worker.
func (w *Worker) ReservedUnfilled() platform.AcceleratorSet { return w.reserved &^ w.firm }

// FreeCapacity returns the cores and memory that nobody holds.
func (w *Worker) FreeCapacity() (platform.Cores, platform.Megabytes) {
	return w.Cores - min(w.Cores, w.heldCores), w.Memory - min(w.Memory, w.heldMemory)
}

// WouldChange tells whether a platform's description would change what is recorded.
// It may be called on a nil Worker, one that is not known.
func (w *Worker) WouldChange(d platform.Worker) bool {
	return w == nil || w.Lost || w.Worker != d && len(w.Holdings) == 0
}

// FirmCapacity returns the cores and memory beside firm holdings and unfilled slots.
func (w *Worker) FirmCapacity() (platform.Cores, platform.Megabytes) {
	cores := min(w.Cores, w.firmCores+w.unfilledCores)
	memory := min(w.Memory, w.firmMemory+w.unfilledMemory)
	return w.Cores - cores, w.Memory - memory
}
