package workload

import (
	"cmp"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// JobID is the caller's own name of a job. It is unique in the installation.
type JobID string

// Run numbers the starts of a task, from 1. The members of a gang share it.
type Run uint64

// Checkpoint is an opaque position from which a task can resume; empty means
// the beginning.
type Checkpoint string

// Permit is an adviser's opaque leave to run the tasks of a step on a worker; empty
// means none.
type Permit string

// StepRef names one occurrence of a step.
type StepRef struct {
	Job              JobID
	Occurrence, Step int
}

// String returns JOB.OCCURRENCE.STEP.
func (r StepRef) String() string { return fmt.Sprintf("%s.%d.%d", r.Job, r.Occurrence, r.Step) }

// StepRef returns the step of the task.
func (r TaskRef) StepRef() StepRef { return StepRef{r.Job, r.Occurrence, r.Step} }

// Resources is what a task needs or a worker has.
type Resources struct {
	Cores        platform.Millicores `json:",omitempty"`
	Memory       platform.Megabytes  `json:",omitempty"`
	Accelerators int                 `json:",omitempty"`
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.Cores + o.Cores, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Minus returns the difference. No dimension of o may exceed that of r.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.Cores - o.Cores, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// FitsIn tells whether r is within o in every dimension.
func (r Resources) FitsIn(o Resources) bool {
	return r.Cores <= o.Cores && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}

// StepSpec describes the tasks of one step, which are all alike.
type StepSpec struct {
	// Tasks is at least 1.
	Tasks int
	// Need belongs to each task.
	Need Resources
	// Estimate is the submitter's rough guess of a task's duration; 0 means none.
	Estimate time.Duration `json:",omitempty"`
	// After are earlier steps of which every task must have succeeded first.
	After []int `json:",omitempty"`
	// Gang tasks work only while all of them are present, and end together.
	Gang bool `json:",omitempty"`
	// SameRack gangs take several times as long on more than one rack.
	SameRack bool `json:",omitempty"`
	// Checkpointing tasks can resume from a checkpoint.
	Checkpointing bool `json:",omitempty"`
	// Speculative tasks may run in several copies.
	Speculative bool `json:",omitempty"`
	// LongRunning tasks run until their job is cancelled.
	LongRunning bool `json:",omitempty"`
	// Filler tasks use processor time that others leave; their cores count nothing.
	Filler bool `json:",omitempty"`
	// Label is what a worker must have; empty means nothing.
	Label string `json:",omitempty"`
	// Rack holds the task's data; elsewhere it takes several times as long.
	Rack platform.RackID `json:",omitempty"`
	// PerWorker bounds the tasks of one occurrence of the step on one worker; 0 means no bound.
	PerWorker int `json:",omitempty"`
	// Image names the program; tasks of one image behave alike.
	Image string `json:",omitempty"`
	// TailTarget bounds the response times of a long-running task; 0 means none.
	TailTarget time.Duration `json:",omitempty"`
	// MayMiss is how many long-running tasks may be away at once by decisions of ours.
	MayMiss int `json:",omitempty"`
}

// Reservation is what a task takes of its worker's room.
func (s StepSpec) Reservation() Resources {
	if s.Filler {
		return Resources{Memory: s.Need.Memory, Accelerators: s.Need.Accelerators}
	}
	return s.Need
}

// JobSpec is what a caller asked for, and the rules of its queue at that time. It
// never changes.
type JobSpec struct {
	ID           JobID
	Queue        bundle.QueueName
	Organisation bundle.OrganisationName `json:",omitempty"`
	Service      bundle.ServiceName
	// Priority 0 comes first and may preempt others.
	Priority int `json:",omitempty"`
	// Attempts is how often a task may fail; at least 1.
	Attempts int
	// Stretch and Target tell when the job is late: Stretch times its longest
	// chain of work, and Target more.
	Stretch float64         `json:",omitempty"`
	Target  bundle.Duration `json:",omitempty"`
	// Payload is handed to every task as it was submitted.
	Payload string `json:",omitempty"`
	Steps   []StepSpec
	// Times is how often the steps run; 0 and 1 both mean once.
	Times int `json:",omitempty"`
	// FirstDue is the Unix time in milliseconds at which occurrence 0 is due; 0
	// means at once.
	FirstDue int64 `json:",omitempty"`
	// Interval lies between two occurrences.
	Interval time.Duration `json:",omitempty"`
	// Permits are the rules of a queue whose steps may run on some workers only.
	Permits bundle.PermitRules `json:",omitzero"`
}

// maxTasks bounds the tasks of one job over all steps and occurrences, so that
// one job cannot outgrow a record.
const maxTasks = 20000

// ErrInvalidJob tells that a job contradicts itself.
var ErrInvalidJob = errors.New("workload: invalid job")

// OccurrenceCount returns how often the steps run; at least 1.
func (s JobSpec) OccurrenceCount() int { return max(1, s.Times) }

// DueUnixMilli returns the Unix time in milliseconds at which an occurrence may start.
func (s JobSpec) DueUnixMilli(occurrence int) int64 {
	return s.FirstDue + int64(occurrence)*s.Interval.Milliseconds()
}

// Check returns the first contradiction.
func (s JobSpec) Check() error {
	if s.ID == "" || len(s.Steps) == 0 {
		return fmt.Errorf("%w: no ID or no steps", ErrInvalidJob)
	}
	if s.Attempts < 1 || s.Times < 0 || s.Interval < 0 {
		return fmt.Errorf("%w: attempts, times or interval out of range", ErrInvalidJob)
	}
	tasks := 0
	for i, step := range s.Steps {
		if err := step.check(i); err != nil {
			return err
		}
		tasks += step.Tasks
	}
	if tasks > maxTasks || tasks*s.OccurrenceCount() > maxTasks {
		return fmt.Errorf("%w: more than %d tasks", ErrInvalidJob, maxTasks)
	}
	return nil
}

func (s StepSpec) check(i int) error {
	if s.Tasks < 1 || s.Need.Cores < 0 || s.Need.Accelerators < 0 || s.PerWorker < 0 || s.Estimate < 0 {
		return fmt.Errorf("%w: step %d has a figure out of range", ErrInvalidJob, i)
	}
	for _, before := range s.After {
		if before < 0 || before >= i {
			return fmt.Errorf("%w: step %d depends on step %d, which is no earlier one", ErrInvalidJob, i, before)
		}
	}
	return nil
}

// String describes the step for logs.
func (s StepSpec) String() string {
	text := fmt.Sprintf("%d x %dm/%dMB/%dacc %v", s.Tasks, s.Need.Cores, s.Need.Memory, s.Need.Accelerators, s.Estimate)
	for _, mark := range []struct {
		set  bool
		text string
	}{
		{len(s.After) > 0, fmt.Sprint("after", s.After)},
		{s.Gang, "gang"},
		{s.SameRack, "one-rack"},
		{s.Checkpointing, "checkpoints"},
		{s.Speculative, "speculative"},
		{s.LongRunning, "long-running"},
		{s.Filler, "filler"},
		{s.Label != "", "label=" + s.Label},
		{s.Rack != "", "rack=" + string(s.Rack)},
		{s.PerWorker > 0, fmt.Sprint("per-worker=", s.PerWorker)},
	} {
		if mark.set {
			text += " " + mark.text
		}
	}
	return text
}

// Outcome is how a job ended.
type Outcome string

// The outcomes of jobs.
const (
	// OutcomeOpen jobs have not ended.
	OutcomeOpen      Outcome = ""
	OutcomeCompleted Outcome = "Completed"
	// OutcomeFailed jobs had a task or gang that failed too often.
	OutcomeFailed    Outcome = "Failed"
	OutcomeCancelled Outcome = "Cancelled"
)

// Phase is where a task stands.
type Phase string

// The phases of tasks.
const (
	// PhaseWaiting tasks have no run.
	PhaseWaiting Phase = ""
	// PhaseRunning tasks have a run that was ordered from a worker.
	PhaseRunning Phase = "Running"
	// PhaseStopping tasks have a run that must be stopped.
	PhaseStopping Phase = "Stopping"
	// PhaseDone tasks have succeeded.
	PhaseDone Phase = "Done"
)

// Task is the state of one task.
type Task struct {
	Phase Phase `json:",omitempty"`
	// Worker holds room for the newest run until its end is recorded; empty if none.
	Worker LifeID `json:",omitempty"`
	// Run is the newest run; 0 before the first.
	Run Run `json:",omitempty"`
	// Since is the stream's time at which the present run was ordered, as Unix
	// milliseconds; 0 if there is none.
	Since int64 `json:",omitempty"`
	// Saved is the newest checkpoint.
	Saved Checkpoint `json:",omitempty"`
	// Permit goes with the start of the present run; empty if none is needed.
	Permit Permit `json:",omitempty"`
	// Moved counts the runs that were stopped because they made no progress.
	Moved int `json:",omitempty"`
}

// Step is the state of one step of one occurrence.
type Step struct {
	Tasks []Task
	// Left is the number of tasks that are not done.
	Left int
	// Failures has one entry for each task, for a gang only the first counts.
	Failures []int `json:",omitempty"`
	// FailedRun is the newest run of a gang that was counted as a failure.
	FailedRun Run `json:",omitempty"`
}

// Occurrence is the state of one run through all steps.
type Occurrence struct{ Steps []Step }

// Job is a job's state.
type Job struct {
	JobSpec
	Outcome Outcome `json:",omitempty"`
	// Submitted is the stream's time of the submission, as Unix milliseconds.
	Submitted   int64
	Occurrences []Occurrence
	// Left is the number of tasks of all occurrences that are not done.
	Left int
	// Begun is true once a run of any task was ordered.
	Begun bool `json:",omitempty"`
}

func newJob(spec JobSpec, submitted time.Time) *Job {
	j := &Job{JobSpec: spec, Submitted: submitted.UnixMilli()}
	for range spec.OccurrenceCount() {
		o := Occurrence{Steps: make([]Step, len(spec.Steps))}
		for i, s := range spec.Steps {
			o.Steps[i] = Step{Tasks: make([]Task, s.Tasks), Left: s.Tasks}
			j.Left += s.Tasks
		}
		j.Occurrences = append(j.Occurrences, o)
	}
	return j
}

// Open tells whether the job has not ended.
func (j *Job) Open() bool { return j.Outcome == OutcomeOpen }

// Ready tells whether every step that the given one depends on has succeeded.
func (j *Job) Ready(occurrence, step int) bool {
	for _, before := range j.Steps[step].After {
		if j.Occurrences[occurrence].Steps[before].Left > 0 {
			return false
		}
	}
	return true
}

// Ref returns the name of a task.
func (j *Job) Ref(occurrence, step, index int) TaskRef {
	return TaskRef{Job: j.ID, Occurrence: occurrence, Step: step, Index: index}
}

// TaskRef names one task.
type TaskRef struct {
	Job        JobID
	Occurrence int `json:",omitempty"`
	Step       int `json:",omitempty"`
	Index      int `json:",omitempty"`
}

// Compare orders tasks by job, occurrence, step and index.
func (r TaskRef) Compare(o TaskRef) int {
	return cmp.Or(cmp.Compare(r.Job, o.Job), cmp.Compare(r.Occurrence, o.Occurrence), cmp.Compare(r.Step, o.Step), cmp.Compare(r.Index, o.Index))
}

// String is for logs.
func (r TaskRef) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Occurrence, r.Step, r.Index)
}
