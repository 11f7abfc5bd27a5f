package workload

import (
	"maps"
	"slices"
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// LifeID names one life of a worker: a worker that restarts is a new one, which
// runs nothing of what the earlier one ran.
type LifeID string

// Worker is one life of a worker, as its agent announced it.
type Worker struct {
	Life LifeID
	// Machine stays the same over the lives of one worker.
	Machine platform.WorkerID
	// Agent is the process that gives it orders.
	Agent incarnation.ID
	// Address is where the agent can be told of news; empty if it cannot.
	Address       incarnation.Address `json:",omitempty"`
	Service       bundle.ServiceName
	FailureDomain platform.FailureDomain
	Rack          platform.RackID `json:",omitempty"`
	// Labels include the rack.
	Labels []string `json:",omitempty"`
	Room   Resources
	// Draining workers start nothing.
	Draining bool `json:",omitempty"`
	// Remaining is how long a draining worker stays at least after the report of
	// it; 0 if unknown.
	Remaining time.Duration `json:",omitempty"`
	// Unresponsive workers do not answer their agent.
	Unresponsive bool `json:",omitempty"`
	// Suspected workers were not heard of; their leases are not prolonged.
	Suspected bool `json:",omitempty"`
	// Gone workers run nothing.
	Gone bool `json:",omitempty"`
	// SeenEnds is the number of the newest end that was recorded.
	SeenEnds uint64 `json:",omitempty"`
	// FailureStreak counts failed ends since the last task that succeeded, of
	// different jobs.
	FailureStreak int   `json:",omitempty"`
	LastFailed    JobID `json:",omitempty"`

	// Runs are the tasks that hold room here, with their runs. They follow from
	// the jobs.
	Runs map[TaskRef]Run `json:"-"`
	// Used is the room that they hold.
	Used Resources `json:"-"`
}

// Usable tells whether the worker may be given new tasks.
func (w *Worker) Usable() bool {
	return !w.Gone && !w.Draining && !w.Suspected && !w.Unresponsive
}

// Free returns the room that no run holds.
func (w *Worker) Free() Resources { return w.Room.Minus(w.Used) }

// Allows tells whether the worker may ever run tasks of the step.
func (w *Worker) Allows(service bundle.ServiceName, s StepSpec) bool {
	return w.Service == service && (s.Label == "" || slices.Contains(w.Labels, s.Label))
}

// SortedRuns returns the tasks that hold room here in a fixed order.
func (w *Worker) SortedRuns() []TaskRef {
	refs := slices.Collect(maps.Keys(w.Runs))
	slices.SortFunc(refs, TaskRef.Compare)
	return refs
}

// CountRuns returns the runs of one step here.
func (w *Worker) CountRuns(job JobID, occurrence, step int) int {
	n := 0
	for r := range w.Runs {
		if r.Job == job && r.Occurrence == occurrence && r.Step == step {
			n++
		}
	}
	return n
}

func (w *Worker) hold(r TaskRef, run Run, need Resources) {
	if w.Runs == nil {
		w.Runs = map[TaskRef]Run{}
	}
	w.Runs[r] = run
	w.Used = w.Used.Plus(need)
}

func (w *Worker) release(r TaskRef, need Resources) {
	delete(w.Runs, r)
	w.Used = w.Used.Minus(need)
}
