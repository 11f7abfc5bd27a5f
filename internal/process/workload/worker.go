package workload

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// LifeID identifies one life of a worker: one incarnation of a minion under its ID. A
// restarted minion begins a new life, which continues no run of the earlier life.
type LifeID string

// Worker is one life of a worker, as its agent announced it.
type Worker struct {
	Life LifeID
	// Machine is the same for all lives of one worker.
	Machine platform.WorkerID
	// Agent is the process that starts and stops runs on the worker.
	Agent incarnation.ID
	// Address is where the agent can be notified of new records; empty if it cannot be
	// notified.
	Address incarnation.Address `json:",omitempty"`
	// AnnouncedAt is the offset of the newest announcement. Snapshots of older builds lack it.
	AnnouncedAt   platform.Offset `json:",omitempty"`
	Service       bundle.ServiceName
	FailureDomain platform.FailureDomain
	Rack          platform.RackID `json:",omitempty"`
	// Labels include the rack.
	Labels []string `json:",omitempty"`
	// Room is the worker's total resources. It may change during a life.
	Room Resources
	// LargestRoom has the largest amount of each resource that Room has had in this life. Runs that were
	// placed before the room shrank may use more than Room, but never more than LargestRoom.
	LargestRoom Resources
	// Draining is true once the worker is about to leave. It gets no new tasks and
	// never stops draining.
	Draining bool `json:",omitempty"`
	// Remaining is the greatest Report.Remaining of this life; 0 if unknown.
	Remaining time.Duration `json:",omitempty"`
	// Unresponsive is true while the worker does not answer its agent.
	Unresponsive bool `json:",omitempty"`
	// Suspected is true from a Suspect record until a Resume or Announce record of the
	// life. The agent must not renew the leases of the worker's runs meanwhile.
	Suspected bool `json:",omitempty"`
	// Gone is true once the life has ended. Runs is empty then.
	Gone bool `json:",omitempty"`
	// SeenEnds is the End.Number of the newest end that was recorded; 0 before the
	// first.
	SeenEnds uint64 `json:",omitempty"`
	// FailureStreak counts the failed runs since the last success on this worker.
	// Consecutive failures of one job count once.
	FailureStreak int `json:",omitempty"`
	// LastFailed is the job that was last counted in FailureStreak; empty if none.
	LastFailed JobID `json:",omitempty"`

	// Crashes are those of the newest report. They are counted once another life is announced on the
	// machine, which shows that this one has ended, and removed if this one is announced again.
	Crashes []Crash `json:",omitempty"`

	// Runs maps the tasks that reserve resources here to their runs. It is derived
	// from the jobs.
	Runs map[TaskRef]Run `json:"-"`
	// Used is the sum of the reservations of Runs.
	Used Resources `json:"-"`
}

// Usable reports whether new tasks may be placed on the worker.
func (w *Worker) Usable() bool {
	return !w.Gone && !w.Draining && !w.Suspected && !w.Unresponsive
}

// checkAgent returns nil if the agent is that of the worker, or unknown.
func (w *Worker) checkAgent(agent incarnation.ID) error {
	if agent != "" && agent != w.Agent {
		return fmt.Errorf("%w: agent %s, agent of worker %s is %s", ErrFormerAgent, agent, w.Life, w.Agent)
	}
	return nil
}

// Free returns the resources that no run reserves. After the room has shrunk, an amount may be negative.
func (w *Worker) Free() Resources { return w.Room.Minus(w.Used) }

func (w *Worker) setRoom(room Resources) {
	w.Room = room
	w.LargestRoom = w.LargestRoom.Largest(room)
}

// Allows reports whether the worker belongs to the service and has the step's label.
func (w *Worker) Allows(service bundle.ServiceName, s StepSpec) bool {
	return w.Service == service && (s.Label == "" || slices.Contains(w.Labels, s.Label))
}

// SortedRuns returns the keys of Runs in the order of TaskRef.Compare.
func (w *Worker) SortedRuns() []TaskRef {
	refs := slices.Collect(maps.Keys(w.Runs))
	slices.SortFunc(refs, TaskRef.Compare)
	return refs
}

// CountRuns returns how many tasks of one occurrence of a step are in Runs.
func (w *Worker) CountRuns(job JobID, occurrence, step int) int {
	n := 0
	for r := range w.Runs {
		if r.Job == job && r.Occurrence == occurrence && r.Step == step {
			n++
		}
	}
	return n
}

func (w *Worker) reserve(r TaskRef, run Run, reservation Resources) {
	if w.Runs == nil {
		w.Runs = map[TaskRef]Run{}
	}
	w.Runs[r] = run
	w.Used = w.Used.Plus(reservation)
}

func (w *Worker) release(r TaskRef, reservation Resources) {
	delete(w.Runs, r)
	w.Used = w.Used.Minus(reservation)
}
