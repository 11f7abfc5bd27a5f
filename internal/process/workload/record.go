package workload

import (
	"reflect"
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// Term is the number of a leadership of the scheduler, counted from 1. It rises by one
// with each Lead record.
type Term uint64

// Record is one proposal. Exactly one of the pointers must be set.
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
	Evacuate *Evacuate `json:",omitempty"`
	// ReserveTokens is rejected by older builds as an empty record, which changes nothing either.
	ReserveTokens *ReserveTokens `json:",omitempty"`
}

// Kind returns the name of the field that is set, empty if none is.
func (r Record) Kind() string {
	v := reflect.ValueOf(r)
	for i := range v.NumField() {
		if !v.Field(i).IsNil() {
			return v.Type().Field(i).Name
		}
	}
	return ""
}

// Urgency implements journal.Ranked.
func (r Record) Urgency() platform.Urgency {
	switch {
	case r.Submit != nil || r.Cancel != nil:
		return platform.UrgencyDemanded
	case r.Ends != nil || r.Depart != nil || r.Refuse != nil:
		return platform.UrgencyEnded
	case r.Report != nil && !r.Report.Draining && !r.Report.Unresponsive && r.Report.Room == nil && len(r.Report.Crashes) == 0:
		return platform.UrgencyReported
	}
	return platform.UrgencyDecided
}

// Lead makes its writer the leader of the scheduler. Term must be the current term
// plus 1.
type Lead struct{ Term Term }

// Resign ends a leadership. Another entry can then take over leadership without waiting until
// the decisions of the leader are overdue.
type Resign struct {
	Term Term
	// Successor is the entry that should lead next; empty if the leader names none. It only decides
	// which entry proposes first: a Lead record of any other entry is as valid as its own.
	Successor incarnation.ID `json:",omitempty"`
}

// Submit adds a job.
type Submit struct{ Spec JobSpec }

// Cancel ends a job at the request of its organisation. If the state has no such job, its submission may still be on
// the way to the log, and the job ends as soon as it is recorded.
type Cancel struct {
	Job JobID
	// Queue and Organisation are those of the request; a job of others is not cancelled. Records of older builds lack
	// them, and cancel only jobs that the state has.
	Queue        bundle.QueueName        `json:",omitempty"`
	Organisation bundle.OrganisationName `json:",omitempty"`
}

// Forget removes jobs that have ended and lives that are gone, once their retention time
// has passed. It skips jobs whose runs still reserve resources.
type Forget struct {
	Term  Term
	Jobs  []JobID  `json:",omitempty"`
	Lives []LifeID `json:",omitempty"`
}

// Join adds an entry or replaces the earlier one of its node.
type Join struct{ Entry Entry }

// Announce adds a life of a worker or replaces its properties, and ends all other lives on
// the machine. Before it proposes the record, the writer must make sure that the machine
// executes no runs of other lives and no runs that the state does not contain.
type Announce struct {
	Life    LifeID
	Machine platform.WorkerID
	Agent   incarnation.ID
	// NextOffset is the first offset of the stream that the writer's copy of the state lacked. The record is
	// rejected if another agent was announced on the machine there or later. Records of older builds lack it.
	NextOffset    platform.Offset     `json:",omitempty"`
	Address       incarnation.Address `json:",omitempty"`
	Service       bundle.ServiceName
	FailureDomain platform.FailureDomain
	Rack          platform.RackID `json:",omitempty"`
	Labels        []string        `json:",omitempty"`
	// Room is the worker's total resources.
	Room Resources
	// Ends are all ends that the life lists. They must be recorded before the other lives on
	// the machine end, since a minion may carry out an order of its earlier life in the new
	// one: what has ended there must not be placed again.
	Ends []End `json:",omitempty"`
	// Partial is true if the life has more ends. The record then only makes the life known, as one that
	// is gone, so that its other ends can be recorded before a further announcement.
	Partial bool `json:",omitempty"`
	// Crashes are the crashes of earlier lives on the machine, as far as the agent has observed them.
	Crashes []Crash `json:",omitempty"`
}

// Report updates the condition of a worker and the progress of its runs.
type Report struct {
	Life LifeID
	// Agent is as in Depart.
	Agent incarnation.ID `json:",omitempty"`
	// Draining is true once the worker is about to leave. A later false has no effect.
	Draining bool `json:",omitempty"`
	// Remaining is the minimum time for which a draining worker still executes runs,
	// counted from the report; 0 if unknown.
	Remaining time.Duration `json:",omitempty"`
	// Unresponsive is true while the worker does not answer its agent.
	Unresponsive bool `json:",omitempty"`
	// Room is the worker's total resources if they have changed; nil if not.
	Room *Resources `json:",omitempty"`
	// Crashes are the crashes of the life if it has ended, of which its agent is not certain. They replace
	// those of the report before.
	Crashes []Crash `json:",omitempty"`
	// Saved holds new checkpoints of running tasks.
	Saved []SavedCheckpoint `json:",omitempty"`
	// Progress holds new forecasts for running tasks.
	Progress []Progress `json:",omitempty"`
}

// Progress is a forecast for a run.
type Progress struct {
	Task TaskRef
	Run  Run
	// Left is the expected time until the run ends, counted from the report.
	Left time.Duration `json:",omitempty"`
	// Stalled is true if the run makes no progress; Left is ignored then.
	Stalled bool `json:",omitempty"`
}

// SavedCheckpoint is a checkpoint that a run has saved.
type SavedCheckpoint struct {
	Task       TaskRef
	Run        Run
	Checkpoint Checkpoint
}

// ReserveTokens changes nothing. An agent derives its fencing tokens from the offset of the newest record, and appends
// this one if the minion refuses them.
type ReserveTokens struct{ Agent incarnation.ID }

// Depart ends a worker's life. The writer must make sure that all its runs have ended.
type Depart struct {
	Life LifeID
	// Agent is the worker's agent in the writer's copy of the state. The record is rejected if another
	// agent has been announced since, which may have started runs. Records of older builds lack it.
	Agent incarnation.ID `json:",omitempty"`
	// Saved holds the last checkpoints of its runs.
	Saved []SavedCheckpoint `json:",omitempty"`
}

// Place orders a run of one task, or of all tasks of a gang. Run must be the newest run
// of the members plus 1.
type Place struct {
	Term    Term
	Run     Run
	Members []Member
}

// Member assigns one task to a worker.
type Member struct {
	Task   TaskRef
	Worker LifeID
	// Permit is passed to the worker with the start; empty if the queue requires none.
	Permit Permit `json:",omitempty"`
}

// StopReason is why the leader stops a run.
type StopReason string

// The reasons for stops.
const (
	// StopPreempted means that other tasks need the resources.
	StopPreempted StopReason = "Preempted"
	// StopEvacuated means that the worker is draining.
	StopEvacuated StopReason = "Evacuated"
	// StopStalled means that the run makes no progress.
	StopStalled StopReason = "Stalled"
)

// Stop orders the agent to stop a run. If Task is a member of a gang, all members are
// stopped.
type Stop struct {
	Term   Term
	Task   TaskRef
	Run    Run
	Reason StopReason
}

// RunOutcome is how a run ended.
type RunOutcome string

// The outcomes of runs.
const (
	// RunDone means that the run finished its task. A long-running task is not done
	// then: it runs again.
	RunDone RunOutcome = "Done"
	// RunFailed means that the task itself failed, rather than its worker or its gang.
	RunFailed RunOutcome = "Failed"
	// RunStopped means that the agent stopped the run as ordered.
	RunStopped RunOutcome = "Stopped"
	// RunLapsed means that the lease of the run expired, or that the worker's life ended.
	RunLapsed RunOutcome = "Lapsed"
	// RunGangBroken means that another member of the gang ended without success.
	RunGangBroken RunOutcome = "Broken"
	// RunGangIncomplete means that the other members of the gang did not start in time.
	RunGangIncomplete RunOutcome = "Alone"
)

// End is the end of one run.
type End struct {
	// Number orders the ends of one life; the first is at least 1. Ends whose number is
	// not above Worker.SeenEnds are ignored as repeats.
	Number uint64
	Task   TaskRef
	Run    Run
	How    RunOutcome
	// Saved is the last checkpoint; empty if there is no new one.
	Saved Checkpoint `json:",omitempty"`
	// Ran is the duration of a run that started at the beginning of the task; 0 if it
	// resumed from a checkpoint or the duration is unknown.
	Ran time.Duration `json:",omitempty"`
}

// Ends records ends that a worker reported, in ascending order of their numbers.
type Ends struct {
	Life LifeID
	Ends []End
}

// Refuse reports that a placed run has not started and never will.
type Refuse struct {
	Life LifeID
	// Agent is as in Depart.
	Agent  incarnation.ID `json:",omitempty"`
	Task   TaskRef
	Run    Run
	Reason string
}

// RefusalNoPermit is the Refuse.Reason for a run whose permit the worker did not accept.
const RefusalNoPermit = "NoPermit"

// Suspect forbids the agent of a worker to renew leases, because no heartbeats of the
// worker have arrived for some time.
type Suspect struct {
	Term Term
	Life LifeID
}

// Resume withdraws the suspicion of a worker. Only the worker's agent proposes it.
type Resume struct {
	Life LifeID
	// Agent is as in Depart.
	Agent incarnation.ID `json:",omitempty"`
}

// Lapse ends the life of a suspected worker. The writer must make sure that all leases of
// the worker have expired.
type Lapse struct {
	Term Term
	Life LifeID
}
