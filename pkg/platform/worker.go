package platform

import (
	"context"
	"math/bits"
	"time"

	"github.com/pkg/errors"
)

// WorkerID names a worker, a machine with accelerators.
type WorkerID string

// RackID names a rack of workers.
type RackID string

// Region names a region.
type Region string

// FailureDomain names a failure domain inside a region.
type FailureDomain string

// Epoch is the fencing token of a lease. A worker refuses a call for a lease with a lower epoch
// than the highest that it has seen for the lease.
type Epoch uint64

// Cores is a number of processor cores.
type Cores uint32

// Millicores is a number of thousandths of a processor core.
type Millicores int64

// Megabytes is an amount of memory in units of 2^20 bytes.
type Megabytes uint64

// AcceleratorSet is a set of accelerators of one worker. Bit i is set if the set contains the
// accelerator with index i. Accelerators with consecutive indices are adjacent. The zero value is
// the empty set.
type AcceleratorSet uint64

// Count returns the number of accelerators in the set.
func (s AcceleratorSet) Count() int { return bits.OnesCount64(uint64(s)) }

// Worker describes a worker and its capacity.
type Worker struct {
	ID            WorkerID
	Rack          RackID
	Region        Region
	FailureDomain FailureDomain
	// Accelerators is the number of accelerators, at most 64.
	Accelerators int
	// Cores and Memory are what all tasks on the worker can use together.
	Cores  Cores
	Memory Megabytes
}

// LeaseID names the lease of one task of one job.
type LeaseID string

// TaskState is the state of a lease and its task as the worker reports it.
type TaskState string

// The states of a lease and its task.
const (
	// TaskHeld means that the lease is held and its task has not started.
	TaskHeld TaskState = "Held"
	// TaskRunning means that the task has started and not ended.
	TaskRunning TaskState = "Running"
	// TaskSucceeded means that the task ended by itself without an error.
	TaskSucceeded TaskState = "Succeeded"
	// TaskFailed means that the task ended with an error.
	TaskFailed TaskState = "Failed"
	// TaskGone means that the worker does not hold the lease: it expired, was released or was
	// never acquired.
	TaskGone TaskState = "Gone"
)

// Claim is the capacity of a worker that a lease reserves.
type Claim struct {
	Accelerators AcceleratorSet
	Cores        Cores
	Memory       Megabytes
}

// Lease is a request to a worker to reserve capacity for one task.
type Lease struct {
	ID    LeaseID
	Epoch Epoch
	Claim Claim
	// Life is the lease duration, counted from the moment at which the worker grants the lease.
	Life time.Duration
}

// Renewal is a request to renew one lease.
type Renewal struct {
	ID    LeaseID
	Epoch Epoch
	// Life is the new lease duration, counted from the renewal.
	Life time.Duration
}

// TaskReport is a worker's report on one lease and its task.
type TaskReport struct {
	ID    LeaseID
	State TaskState
	// Progress is the work that the last checkpoint covers, expressed as the run time that it
	// takes without throttling.
	Progress time.Duration
	// Error is the error text of a task in the state TaskFailed, otherwise empty.
	Error string
}

// Task describes the work that is started under a lease.
type Task struct {
	// Command is the command of the job, unchanged.
	Command string
	// Resume is the checkpointed progress from which the task continues. 0 starts it from the
	// beginning.
	Resume time.Duration
}

// Usage is the measured resource usage of a task. It is reported with a delay.
type Usage struct {
	ID     LeaseID
	Cores  Cores
	Memory Megabytes
}

var (
	// ErrFenced means that the worker has seen a higher epoch for the lease.
	ErrFenced = errors.New("platform: epoch is fenced")
	// ErrTaken means that the claim overlaps another lease that has not expired.
	ErrTaken = errors.New("platform: accelerators are leased")
	// ErrNoLease means that the lease expired, was released or was never acquired.
	ErrNoLease = errors.New("platform: no such lease")
	// ErrWorkerAway means that the worker did not answer. The call may have taken effect.
	ErrWorkerAway = errors.New("platform: worker does not answer")
)

// Workers gives access to the workers of the platform. Implementations are safe for concurrent use.
// Repeating a call with the same lease and epoch has no further effect.
type Workers interface {
	// List returns the workers of a region.
	List(ctx context.Context, region Region) ([]Worker, error)
	// Acquire acquires a lease. If the worker already holds a lease with the same ID, that lease
	// and its task continue under the new epoch, which must not be lower than the old one.
	Acquire(ctx context.Context, worker WorkerID, lease Lease) error
	// Start starts the task of a lease in the state TaskHeld. Another call with the same epoch
	// has no effect.
	Start(ctx context.Context, worker WorkerID, lease LeaseID, epoch Epoch, task Task) error
	// Renew renews leases of one worker and returns a report on each of them.
	Renew(ctx context.Context, worker WorkerID, renewals []Renewal) ([]TaskReport, error)
	// Checkpoint makes a running task save a checkpoint and returns the progress that it covers.
	Checkpoint(ctx context.Context, worker WorkerID, lease LeaseID, epoch Epoch) (time.Duration, error)
	// Throttle limits a running task to a share of its cores, from 0 to 1.
	Throttle(ctx context.Context, worker WorkerID, lease LeaseID, epoch Epoch, share float64) error
	// Release stops the task, if it is running, and ends the lease.
	Release(ctx context.Context, worker WorkerID, lease LeaseID, epoch Epoch) error
	// Usage returns the usage reports of the tasks in a region. The reports arrive with a delay.
	Usage(ctx context.Context, region Region) ([]Usage, error)
}
