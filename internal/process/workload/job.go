package workload

import (
	"cmp"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// JobID is the name that the caller chose for a job. It is unique in the installation.
type JobID string

// Run is the number of a run of a task, counted from 1. All members of a gang have the
// same number.
type Run uint64

// Checkpoint is an opaque position from which a task can resume; empty means the
// beginning of the task.
type Checkpoint string

// Permit is an adviser's opaque permission to run the tasks of a step on a worker;
// empty means none.
type Permit string

// StepRef identifies a step in one occurrence of a job. Both numbers count from 0.
type StepRef struct {
	Job              JobID
	Occurrence, Step int
}

// String returns JOB.OCCURRENCE.STEP.
func (r StepRef) String() string { return fmt.Sprintf("%s.%d.%d", r.Job, r.Occurrence, r.Step) }

// StepRef returns the step to which the task belongs.
func (r TaskRef) StepRef() StepRef { return StepRef{r.Job, r.Occurrence, r.Step} }

// Resources is what a task needs or a worker has.
type Resources struct {
	Cores        platform.Millicores `json:",omitempty"`
	Memory       platform.Megabytes  `json:",omitempty"`
	Accelerators int                 `json:",omitempty"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.Cores + o.Cores, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Minus returns r less o. Amounts of the result are negative where that of o exceeds that of r.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.Cores - o.Cores, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Largest returns the larger one of each amount of r and o.
func (r Resources) Largest(o Resources) Resources {
	return Resources{max(r.Cores, o.Cores), max(r.Memory, o.Memory), max(r.Accelerators, o.Accelerators)}
}

// IsValidRoom reports whether no amount is negative or larger than the largest that a task may require.
func (r Resources) IsValidRoom() bool {
	return r.Cores >= 0 && r.Accelerators >= 0 && r.FitsIn(maxNeed)
}

// FitsIn reports whether no amount of r exceeds that of o.
func (r Resources) FitsIn(o Resources) bool {
	return r.Cores <= o.Cores && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}

// StepSpec describes one step of a job. All its tasks have the same requirements.
type StepSpec struct {
	// Tasks is the number of tasks; at least 1.
	Tasks int
	// Need is what each task requires.
	Need Resources
	// Estimate is the caller's rough estimate of a task's duration; 0 means none.
	Estimate time.Duration `json:",omitempty"`
	// After lists the indexes of earlier steps whose tasks must all succeed before this
	// step starts.
	After []int `json:",omitempty"`
	// Gang is true if the tasks form a gang: they make progress only while all of them
	// run, and they succeed or fail together.
	Gang bool `json:",omitempty"`
	// SameRack is true for a gang that takes several times as long on more than one
	// rack.
	SameRack bool `json:",omitempty"`
	// Checkpointing is true if the tasks can resume from a checkpoint.
	Checkpointing bool `json:",omitempty"`
	// Speculative is true if several copies of a task may run.
	Speculative bool `json:",omitempty"`
	// LongRunning is true if the tasks run until the job is cancelled.
	LongRunning bool `json:",omitempty"`
	// Filler is true if the tasks use only processor time that other tasks leave idle.
	// They reserve no cores.
	Filler bool `json:",omitempty"`
	// Label is a label that the worker must have; empty means none.
	Label string `json:",omitempty"`
	// Rack is the rack with the tasks' data, empty if there is none. On other racks the
	// tasks take several times as long.
	Rack platform.RackID `json:",omitempty"`
	// PerWorker is the maximum number of tasks of one occurrence of the step on one
	// worker; 0 means no limit.
	PerWorker int `json:",omitempty"`
	// Image is the name of the program. Tasks of the same image are expected to behave
	// alike.
	Image string `json:",omitempty"`
	// TailTarget is the limit for the tail latency of a long-running task; 0 means
	// none.
	TailTarget time.Duration `json:",omitempty"`
	// MayMiss is how many tasks of a long-running step may be down at the same time
	// because the scheduler stopped them; 0 means no limit.
	MayMiss int `json:",omitempty"`
}

// Reservation returns the resources that each task reserves on its worker: Need,
// without the cores for a filler.
func (s StepSpec) Reservation() Resources {
	if s.Filler {
		return Resources{Memory: s.Need.Memory, Accelerators: s.Need.Accelerators}
	}
	return s.Need
}

// JobSpec is a job as the caller submitted it, with the rules that its queue had at the
// time of submission. It never changes.
type JobSpec struct {
	ID           JobID
	Queue        bundle.QueueName
	Organisation bundle.OrganisationName `json:",omitempty"`
	Service      bundle.ServiceName
	// Priority is 0 for the most urgent jobs, whose tasks may preempt those of other
	// jobs. Jobs with greater values are less urgent.
	Priority int `json:",omitempty"`
	// Attempts is the number of failures of a task or gang at which the job fails; at
	// least 1.
	Attempts int
	// Stretch and Target set the time from submission, or from the due time of an
	// occurrence, after which the job is late: Stretch times the duration of its longest
	// chain of dependent steps, plus Target.
	Stretch float64         `json:",omitempty"`
	Target  bundle.Duration `json:",omitempty"`
	// Payload is passed unchanged to every task.
	Payload string `json:",omitempty"`
	Steps   []StepSpec
	// Times is the number of occurrences; 0 and 1 both mean one.
	Times int `json:",omitempty"`
	// FirstDue is when occurrence 0 is due, in Unix milliseconds; 0 means immediately.
	FirstDue int64 `json:",omitempty"`
	// Interval is the time between the due times of consecutive occurrences.
	Interval time.Duration `json:",omitempty"`
	// Permits are the permit rules of the queue; zero if the steps need no permits.
	Permits bundle.PermitRules `json:",omitzero"`
}

// maxTasks bounds the tasks of one job over all steps and occurrences, so that one
// job fits in a record.
const maxTasks = 20000

// maxNeed is the most that one task may require. It is far above any worker and keeps sums over
// maxTasks tasks from overflowing.
var maxNeed = Resources{Cores: 1 << 40, Memory: 1 << 40, Accelerators: 1 << 20}

// ErrInvalidJob is returned for a JobSpec with missing or contradictory values.
var ErrInvalidJob = errors.New("workload: invalid job")

// OccurrenceCount returns how many times the steps run; at least 1.
func (s JobSpec) OccurrenceCount() int { return max(1, s.Times) }

// DueUnixMilli returns when an occurrence is due, in Unix milliseconds. For occurrence 0
// of a job without a due time it is 0.
func (s JobSpec) DueUnixMilli(occurrence int) int64 {
	return s.FirstDue + int64(occurrence)*s.Interval.Milliseconds()
}

// Check returns an ErrInvalidJob that names the first invalid value, or nil.
func (s JobSpec) Check() error {
	if s.ID == "" || len(s.Steps) == 0 {
		return fmt.Errorf("%w: ID or steps are missing", ErrInvalidJob)
	}
	if s.Attempts < 1 || s.Times < 0 || s.Interval < 0 || s.FirstDue < 0 {
		return fmt.Errorf("%w: attempts, times, interval or first due time is out of range", ErrInvalidJob)
	}
	if s.FirstDue == 0 && s.OccurrenceCount() > 1 {
		// Due times are Unix times, so later occurrences would be due in 1970.
		return fmt.Errorf("%w: several occurrences without a first due time", ErrInvalidJob)
	}
	tasks := 0
	for i, step := range s.Steps {
		if err := step.check(i); err != nil {
			return err
		}
		// Each term is limited, so that the sum and the product cannot overflow.
		if tasks += min(step.Tasks, maxTasks+1); tasks > maxTasks {
			return fmt.Errorf("%w: job has more than %d tasks", ErrInvalidJob, maxTasks)
		}
	}
	if s.OccurrenceCount() > maxTasks/tasks {
		return fmt.Errorf("%w: job has more than %d tasks in all occurrences", ErrInvalidJob, maxTasks)
	}
	return nil
}

func (s StepSpec) check(i int) error {
	if s.Tasks < 1 || s.Need.Cores < 0 || s.Need.Accelerators < 0 || !s.Need.FitsIn(maxNeed) ||
		s.PerWorker < 0 || s.Estimate < 0 || s.TailTarget < 0 || s.MayMiss < 0 {
		return fmt.Errorf("%w: step %d has a value out of range", ErrInvalidJob, i)
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= i {
			return fmt.Errorf("%w: step %d depends on step %d, which is not an earlier step", ErrInvalidJob, i, earlier)
		}
	}
	return nil
}

// String returns a summary of the step for logs.
func (s StepSpec) String() string {
	text := fmt.Sprintf("%d x %dm/%dMB/%dacc %v", s.Tasks, s.Need.Cores, s.Need.Memory, s.Need.Accelerators, s.Estimate)
	for _, option := range []struct {
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
		if option.set {
			text += " " + option.text
		}
	}
	return text
}

// Outcome is how a job ended, or OutcomeOpen before its end.
type Outcome string

// The outcomes of jobs.
const (
	// OutcomeOpen means that the job has not ended.
	OutcomeOpen Outcome = ""
	// OutcomeCompleted means that all tasks succeeded.
	OutcomeCompleted Outcome = "Completed"
	// OutcomeFailed means that a task or gang failed JobSpec.Attempts times, or that workers crashed
	// under a task; Job.Failure says which.
	OutcomeFailed    Outcome = "Failed"
	OutcomeCancelled Outcome = "Cancelled"
)

// Failure is why a job has failed; empty for other outcomes.
type Failure string

// The reasons for which jobs fail.
const (
	// FailureAttempts means that a task or gang used up its attempts.
	FailureAttempts Failure = "Attempts"
	// FailureCrashes means that too many workers crashed under a task.
	FailureCrashes Failure = "Crashes"
)

// Phase says whether a task is done and, if it is not, what its current run is doing.
type Phase string

// The phases of tasks.
const (
	// PhaseWaiting means that the task is not done and has no current run.
	PhaseWaiting Phase = ""
	// PhaseRunning means that a run was placed on a worker, whether it has started or
	// not.
	PhaseRunning Phase = "Running"
	// PhaseStopping means that the agent must stop the current run.
	PhaseStopping Phase = "Stopping"
	// PhaseDone means that the task succeeded.
	PhaseDone Phase = "Done"
)

// Task is the state of one task.
type Task struct {
	Phase Phase `json:",omitempty"`
	// Worker is the life on which the newest run reserves resources; empty before the
	// first run and once the end or the refusal of the newest run is recorded.
	Worker LifeID `json:",omitempty"`
	// Run is the number of the newest run; 0 before the first.
	Run Run `json:",omitempty"`
	// Since is when the current run was placed, in Unix milliseconds of the stream's
	// time; 0 if there is none.
	Since int64 `json:",omitempty"`
	// Saved is the newest checkpoint; empty if there is none.
	Saved Checkpoint `json:",omitempty"`
	// Permit is passed with the start of the newest run; empty if none is needed.
	Permit Permit `json:",omitempty"`
	// Moved is the number of runs that were stopped because they made no progress.
	Moved int `json:",omitempty"`
	// CrashScore is the sum of the scores of the crashes under the task, and CrashedRun the newest run
	// with a crash; both are 0 if there was none. See Crash.
	CrashScore int `json:",omitempty"`
	CrashedRun Run `json:",omitempty"`
}

// Step is the state of one step in one occurrence.
type Step struct {
	Tasks []Task
	// Left is the number of tasks that are not done.
	Left int
	// Failures counts the failures of each task; nil before the first. For a gang only
	// index 0 is used.
	Failures []int `json:",omitempty"`
	// FailedRun is the number of the newest run that was counted in Failures. It makes a
	// failed run of a gang count once, however many members report the failure.
	FailedRun Run `json:",omitempty"`
}

// Occurrence is the state of one execution of all steps.
type Occurrence struct{ Steps []Step }

// Job is the state of a job.
type Job struct {
	JobSpec
	Outcome Outcome `json:",omitempty"`
	// Failure is set if Outcome is OutcomeFailed. Snapshots of older builds lack it.
	Failure Failure `json:",omitempty"`
	// Submitted is when the job was recorded, in Unix milliseconds of the stream's time.
	Submitted   int64
	Occurrences []Occurrence
	// Left is the number of tasks of all occurrences that are not done.
	Left int
	// Begun is true once a run of any task has been placed.
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

// Open reports whether the job has not ended.
func (j *Job) Open() bool { return j.Outcome == OutcomeOpen }

// Ready reports whether all steps that the given step depends on are done.
func (j *Job) Ready(occurrence, step int) bool {
	for _, earlier := range j.Steps[step].After {
		if j.Occurrences[occurrence].Steps[earlier].Left > 0 {
			return false
		}
	}
	return true
}

// Ref returns the reference of a task. All numbers count from 0.
func (j *Job) Ref(occurrence, step, index int) TaskRef {
	return TaskRef{Job: j.ID, Occurrence: occurrence, Step: step, Index: index}
}

// TaskRef identifies a task. The numbers count from 0.
type TaskRef struct {
	Job        JobID
	Occurrence int `json:",omitempty"`
	Step       int `json:",omitempty"`
	Index      int `json:",omitempty"`
}

// Compare returns -1 if r precedes o, 0 if they are equal and 1 if r follows o. Tasks are
// ordered by job, occurrence, step and index.
func (r TaskRef) Compare(o TaskRef) int {
	return cmp.Or(cmp.Compare(r.Job, o.Job), cmp.Compare(r.Occurrence, o.Occurrence), cmp.Compare(r.Step, o.Step), cmp.Compare(r.Index, o.Index))
}

// String returns JOB.OCCURRENCE.STEP.INDEX.
func (r TaskRef) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Occurrence, r.Step, r.Index)
}
