package workload

import (
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// Term numbers the leaderships of the scheduler.
type Term uint64

// Record is one proposal. Exactly one of the pointers is set.
type Record struct {
	Lead     *Lead     `json:",omitempty"`
	Resign   *Resign   `json:",omitempty"`
	Submit   *Submit   `json:",omitempty"`
	Cancel   *Cancel   `json:",omitempty"`
	Forget   *Forget   `json:",omitempty"`
	Join     *Join     `json:",omitempty"`
	Announce *Announce `json:",omitempty"`
	Report   *Report   `json:",omitempty"`
	Depart   *Depart   `json:",omitempty"`
	Place    *Place    `json:",omitempty"`
	Stop     *Stop     `json:",omitempty"`
	Ends     *Ends     `json:",omitempty"`
	Refuse   *Refuse   `json:",omitempty"`
	Suspect  *Suspect  `json:",omitempty"`
	Resume   *Resume   `json:",omitempty"`
	Lapse    *Lapse    `json:",omitempty"`
}

// Lead makes its writer the scheduler's leader, in the term after the present one.
type Lead struct{ Term Term }

// Resign ends a leadership, so that another process need not wait to take it.
type Resign struct{ Term Term }

// Submit enters a job.
type Submit struct{ Spec JobSpec }

// Cancel ends a job at its organisation's wish.
type Cancel struct{ Job JobID }

// Forget removes jobs that ended and lives that are gone, when their memory is over.
type Forget struct {
	Term  Term
	Jobs  []JobID  `json:",omitempty"`
	Lives []LifeID `json:",omitempty"`
}

// Join tells where the other processes reach an entry.
type Join struct{ Entry Entry }

// Announce tells of a worker's life. Its writer has made sure that nothing of an
// earlier life on the machine runs, and nothing that the state does not know of.
type Announce struct {
	Life          LifeID
	Machine       platform.WorkerID
	Agent         incarnation.ID
	Address       incarnation.Address `json:",omitempty"`
	Service       bundle.ServiceName
	FailureDomain platform.FailureDomain
	Rack          platform.RackID `json:",omitempty"`
	Labels        []string        `json:",omitempty"`
	Room          Resources
}

// Report tells what changed about a worker.
type Report struct {
	Life LifeID
	// Draining is never taken back.
	Draining bool `json:",omitempty"`
	// Remaining is how long a draining worker stays at least; 0 if unknown.
	Remaining time.Duration `json:",omitempty"`
	// Unresponsive is the present state.
	Unresponsive bool `json:",omitempty"`
	// Saved are new checkpoints of running tasks.
	Saved []SavedCheckpoint `json:",omitempty"`
	// Progress is news of how far running tasks have come.
	Progress []Progress `json:",omitempty"`
}

// Progress tells how long a run will probably take from now on.
type Progress struct {
	Task TaskRef
	Run  Run
	Left time.Duration `json:",omitempty"`
	// Stalled runs stand still; Left means nothing then.
	Stalled bool `json:",omitempty"`
}

// SavedCheckpoint is a checkpoint of a running task.
type SavedCheckpoint struct {
	Task       TaskRef
	Run        Run
	Checkpoint Checkpoint
}

// Depart tells that a worker's life is over: all that it ran has ended.
type Depart struct {
	Life  LifeID
	Saved []SavedCheckpoint `json:",omitempty"`
}

// Place orders a run of one task, or of all tasks of a gang.
type Place struct {
	Term    Term
	Run     Run
	Members []Member
}

// Member gives one task a worker.
type Member struct {
	Task   TaskRef
	Worker LifeID
	// Permit goes with the start where the queue needs one.
	Permit Permit `json:",omitempty"`
}

// StopReason says why a run is stopped before its end.
type StopReason string

// The reasons for stops.
const (
	// StopPreempted runs make room for others.
	StopPreempted StopReason = "Preempted"
	// StopEvacuated runs leave a worker that goes away.
	StopEvacuated StopReason = "Evacuated"
	// StopStalled runs make no progress.
	StopStalled StopReason = "Stalled"
)

// Stop orders the end of runs. Of a gang all members are stopped.
type Stop struct {
	Term   Term
	Task   TaskRef
	Run    Run
	Reason StopReason
}

// RunOutcome is the way in which a run ended.
type RunOutcome string

// The ways in which runs end.
const (
	RunDone   RunOutcome = "Done"
	RunFailed RunOutcome = "Failed"
	// RunStopped runs were told to stop.
	RunStopped RunOutcome = "Stopped"
	// RunLapsed runs outlived their lease.
	RunLapsed RunOutcome = "Lapsed"
	// RunGangBroken runs lost another member of their gang.
	RunGangBroken RunOutcome = "Broken"
	// RunGangIncomplete runs waited in vain for the other members of their gang.
	RunGangIncomplete RunOutcome = "Alone"
)

// End is the end of one run.
type End struct {
	// Number rises with the ends of one life.
	Number uint64
	Task   TaskRef
	Run    Run
	How    RunOutcome
	Saved  Checkpoint `json:",omitempty"`
	// Ran is how long it ran from the beginning of the task, 0 if that is not known.
	Ran time.Duration `json:",omitempty"`
}

// Ends records ends that a worker listed.
type Ends struct {
	Life LifeID
	Ends []End
}

// Refuse tells that an ordered run did not start and never will.
type Refuse struct {
	Life   LifeID
	Task   TaskRef
	Run    Run
	Reason string
}

// RefusalNoPermit is the reason of workers that did not accept the permit.
const RefusalNoPermit = "NoPermit"

// Suspect forbids the agent of a worker to prolong leases, as nobody hears of it.
type Suspect struct {
	Term Term
	Life LifeID
}

// Resume withdraws a suspicion. Only the worker's agent proposes it.
type Resume struct{ Life LifeID }

// Lapse tells that every lease of a suspected worker has run out.
type Lapse struct {
	Term Term
	Life LifeID
}
