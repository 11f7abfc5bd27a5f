package ledger

import (
	"strings"
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// JobID identifies a job across all organisations: the organisation's name, a slash and
// the ID that the caller chose.
type JobID string

// NewJobID returns the ID of an organisation's job with the caller's ID.
func NewJobID(organisation bundle.OrganisationName, id string) JobID {
	return JobID(string(organisation) + "/" + id)
}

// Organisation returns the name of the organisation that the job belongs to.
func (id JobID) Organisation() bundle.OrganisationName {
	name, _, _ := strings.Cut(string(id), "/")
	return bundle.OrganisationName(name)
}

// Class is a job's urgency.
type Class string

// The classes of jobs.
const (
	// ClassUrgent jobs are placed before all others.
	ClassUrgent Class = "Urgent"
	// ClassBatch jobs are ordered by waiting time, run time and their organisation's share.
	ClassBatch Class = "Batch"
)

// Spec is a job's specification. It never changes after submission.
type Spec struct {
	ID    JobID
	Class Class
	// Tasks is the number of tasks of the gang, from 1 to 4096.
	Tasks int
	// Accelerators is the number of adjacent accelerators on one worker that each task
	// needs, from 1 to 64.
	Accelerators int
	// Cores and Memory are what each task needs.
	Cores  platform.Cores
	Memory platform.Megabytes
	// RunTime is the caller's estimate of the run time; 0 means unknown.
	RunTime time.Duration
	// RunOnce means that the job must not start a second time.
	RunOnce bool
	// Preemptible means that the job may be stopped to make room for others, and may
	// hold accelerators of unfilled slots.
	Preemptible bool
	// Command is passed to the workers unchanged.
	Command string
}

// TotalAccelerators returns the number of accelerators that the whole gang needs.
func (s Spec) TotalAccelerators() int { return s.Tasks * s.Accelerators }

// smallLimit is the number of accelerators of a usual worker. A gang that needs fewer is
// small.
const smallLimit = 8

// Small reports whether the whole gang needs fewer accelerators than a usual worker has.
func (s Spec) Small() bool { return s.TotalAccelerators() < smallLimit }

// Phase is a job's position in its lifecycle.
type Phase string

// The phases of a job.
const (
	// PhaseWaiting jobs hold no accelerators.
	PhaseWaiting Phase = "Waiting"
	// PhaseReserved jobs hold accelerators, and their driver acquires the leases. No
	// task of this placement has started.
	PhaseReserved Phase = "Reserved"
	// PhaseRunning jobs were committed: all leases were held, and tasks may start.
	PhaseRunning Phase = "Running"
	// PhaseStopping jobs still hold accelerators, except on workers where they were
	// preempted, and their driver must stop them.
	PhaseStopping Phase = "Stopping"
	// PhaseEnded jobs have an outcome.
	PhaseEnded Phase = "Ended"
)

// Outcome is how a job ended.
type Outcome string

// The outcomes of jobs.
const (
	OutcomeSucceeded Outcome = "Succeeded"
	// OutcomeFailed jobs failed or were stopped, and must not be retried.
	OutcomeFailed Outcome = "Failed"
	// OutcomeCancelled jobs were cancelled by their organisation before they ended.
	OutcomeCancelled Outcome = "Cancelled"
	// OutcomeDeadLettered jobs failed on too many different workers.
	OutcomeDeadLettered Outcome = "DeadLettered"
)

// Kind is the kind of a placement. It decides whether the job can be preempted.
type Kind string

// The kinds of placement.
const (
	// KindGuaranteed placements fill slots of a guarantee of the job's organisation. An
	// urgent job of the organisation may preempt a preemptible batch job in these slots.
	KindGuaranteed Kind = "Guaranteed"
	// KindFirm placements cannot be preempted. They are outside all slots, and every
	// unfilled slot keeps a place.
	KindFirm Kind = "Firm"
	// KindBorrowed placements may use accelerators of unfilled slots, and are preempted
	// when the slots are filled.
	KindBorrowed Kind = "Borrowed"
)

// Assignment is the accelerators of one task.
type Assignment struct {
	Worker       platform.WorkerID
	Accelerators platform.AcceleratorSet
	// Slot is the index, within the guarantee, of the slot that the task of a guaranteed
	// placement fills; 0 otherwise.
	Slot int `json:",omitempty"`
}

// Job is a job's state in the ledger.
type Job struct {
	Spec
	Phase Phase
	// Epoch is 0 at first and rises by 1 with every placement and every change of driver.
	Epoch platform.Epoch
	// Driver is the entry that drives the placement; empty if the job holds no
	// accelerators.
	Driver incarnation.ID `json:",omitempty"`
	// Kind is empty if the job holds no accelerators.
	Kind Kind `json:",omitempty"`
	// Guarantee is the guarantee whose slots a guaranteed placement fills.
	Guarantee bundle.GuaranteeName `json:",omitempty"`
	// Assignments has one element for each task in the phases Reserved, Running and
	// Stopping, and none in the others.
	Assignments []Assignment `json:",omitempty"`
	Submitted   time.Time
	// Placed is when the job was last placed and Started when a placement was last
	// committed; zero before the first.
	Placed  time.Time
	Started time.Time
	Ended   time.Time
	// Progress is the run time that the last checkpoint covers.
	Progress time.Duration
	// Ran is true once a task may have started in any placement.
	Ran bool
	// FailedOn are the different workers on which the job failed.
	FailedOn []platform.WorkerID `json:",omitempty"`
	// Crashes counts the runs that ended with the crash of a worker. It begins anew after a long run or
	// progress.
	Crashes int `json:",omitempty"`
	// Cancelled is true once a cancellation was recorded before the end.
	Cancelled bool    `json:",omitempty"`
	Outcome   Outcome `json:",omitempty"`
	// Error is why an ended job failed.
	Error string `json:",omitempty"`
	// Preemptions counts how often the job was preempted or moved.
	Preemptions int `json:",omitempty"`
	// Moved is when the job was last stopped to run elsewhere; zero if never.
	Moved time.Time
}

// LeaseID returns the ID of the lease of one task, counted from 0.
func (j *Job) LeaseID(task int) platform.LeaseID { return LeaseID(j.ID, task) }

// LeaseID returns the ID of the lease of one task, counted from 0, of a job.
func LeaseID(id JobID, task int) platform.LeaseID {
	return platform.LeaseID(string(id) + "#" + itoa(task))
}

// HoldsAccelerators reports whether the job is in a phase in which it has assignments.
func (j *Job) HoldsAccelerators() bool {
	return j.Phase == PhaseReserved || j.Phase == PhaseRunning || j.Phase == PhaseStopping
}
