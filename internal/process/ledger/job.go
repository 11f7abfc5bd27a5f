package ledger

import (
	"strings"
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// JobID names a job across all organisations: the organisation, a slash and the
// caller's own ID.
type JobID string

// NewJobID returns the ID of an organisation's job.
func NewJobID(organisation bundle.OrganisationName, id string) JobID {
	return JobID(string(organisation) + "/" + id)
}

// Organisation returns the organisation that the job belongs to.
func (id JobID) Organisation() bundle.OrganisationName {
	name, _, _ := strings.Cut(string(id), "/")
	return bundle.OrganisationName(name)
}

// Class says how soon a job is wanted.
type Class string

// The classes of jobs.
const (
	// ClassUrgent is placed before everything else.
	ClassUrgent Class = "Urgent"
	// ClassBatch is the ordinary class.
	ClassBatch Class = "Batch"
)

// Spec is what a caller asks for. It never changes after submission.
type Spec struct {
	ID    JobID
	Class Class
	// Tasks is the size of the gang; at least 1.
	Tasks int
	// Accelerators are adjacent, on one worker, for each task; at least 1.
	Accelerators int
	// Cores and Memory belong to each task.
	Cores  platform.Cores
	Memory platform.Megabytes
	// RunTime is the submitter's estimate; 0 means unknown.
	RunTime time.Duration
	// RunOnce forbids to start the job a second time.
	RunOnce bool
	// Preemptible lets the job run on accelerators that others may reclaim.
	Preemptible bool
	// Command is handed to the workers.
	Command string
}

// TotalAccelerators returns the accelerators of the whole gang.
func (s Spec) TotalAccelerators() int { return s.Tasks * s.Accelerators }

// smallLimit is the number of accelerators from which on a gang's demand is
// no longer small.
const smallLimit = 8

// Small tells whether the whole gang needs less than one worker.
func (s Spec) Small() bool { return s.TotalAccelerators() < smallLimit }

// Phase is where a job stands.
type Phase string

// The phases of a job.
const (
	// PhaseWaiting jobs hold nothing.
	PhaseWaiting Phase = "Waiting"
	// PhaseReserved jobs hold accelerators, and their driver acquires leases; nothing runs.
	PhaseReserved Phase = "Reserved"
	// PhaseRunning jobs were committed: every lease was held, and tasks start.
	PhaseRunning Phase = "Running"
	// PhaseStopping jobs must be stopped by their driver.
	PhaseStopping Phase = "Stopping"
	// PhaseEnded jobs have an outcome.
	PhaseEnded Phase = "Ended"
)

// Outcome is how a job ended.
type Outcome string

// The outcomes of jobs.
const (
	OutcomeSucceeded Outcome = "Succeeded"
	// OutcomeFailed jobs failed and may not be tried again.
	OutcomeFailed Outcome = "Failed"
	// OutcomeCancelled jobs were cancelled by their organisation.
	OutcomeCancelled Outcome = "Cancelled"
	// OutcomeDeadLettered jobs failed on too many different workers.
	OutcomeDeadLettered Outcome = "DeadLettered"
)

// Kind says by what right a job holds accelerators.
type Kind string

// The kinds of placement.
const (
	// KindGuaranteed placements fill slots of the organisation's own guarantee.
	KindGuaranteed Kind = "Guaranteed"
	// KindFirm placements cannot be preempted and leave room for every guarantee.
	KindFirm Kind = "Firm"
	// KindBorrowed placements yield to guarantees.
	KindBorrowed Kind = "Borrowed"
)

// Assignment gives one task its accelerators.
type Assignment struct {
	Worker       platform.WorkerID
	Accelerators platform.AcceleratorSet
	// Slot is the guarantee's slot that a guaranteed task fills.
	Slot int `json:",omitempty"`
}

// Job is a job's state in the ledger.
type Job struct {
	Spec
	Phase Phase
	// Epoch rises with every placement and every change of driver.
	Epoch  platform.Epoch
	Driver incarnation.ID `json:",omitempty"`
	Kind   Kind           `json:",omitempty"`
	// Guarantee is the filled guarantee of a guaranteed placement.
	Guarantee bundle.GuaranteeName `json:",omitempty"`
	// Assignments has one entry for each task from PhaseReserved to PhaseStopping.
	Assignments []Assignment `json:",omitempty"`
	Submitted   time.Time
	Placed      time.Time
	Started     time.Time
	Ended       time.Time
	// Progress is what checkpoints have kept.
	Progress time.Duration
	// Ran is true once a task may have started.
	Ran bool
	// FailedOn are the different workers on which it failed.
	FailedOn []platform.WorkerID `json:",omitempty"`
	// Cancelled is set when a cancellation was recorded before the end.
	Cancelled   bool    `json:",omitempty"`
	Outcome     Outcome `json:",omitempty"`
	Error       string  `json:",omitempty"`
	Preemptions int     `json:",omitempty"`
	// Moved is when it was last sent elsewhere to make room.
	Moved time.Time
}

// LeaseID returns the lease of one task.
func (j *Job) LeaseID(task int) platform.LeaseID { return LeaseID(j.ID, task) }

// LeaseID returns the lease of one task of a job.
func LeaseID(id JobID, task int) platform.LeaseID {
	return platform.LeaseID(string(id) + "#" + itoa(task))
}

// HoldsAccelerators tells whether the job holds accelerators.
func (j *Job) HoldsAccelerators() bool {
	return j.Phase == PhaseReserved || j.Phase == PhaseRunning || j.Phase == PhaseStopping
}
