package runner

import (
	"context"
	"fmt"
	"strings"
	"time"

	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// MinionID is the minion's own name. It may live again under the same name.
type MinionID string

// Token is a fencing token: a minion does nothing for a lower one than it has seen.
type Token uint64

// MinionClock is a time in milliseconds on a minion's own steady clock. It begins
// anew with each life.
type MinionClock int64

// Start orders a run.
type Start struct {
	ID      MinionID
	Task    workload.TaskRef
	Run     workload.Run
	Payload string
	// Resume is empty for a start from the beginning.
	Resume workload.Checkpoint
	// Lease is when everything on the minion is killed unless it is prolonged.
	Lease MinionClock
	Token Token
	// Permit is empty for queues that need none.
	Permit workload.Permit
}

// Stop ends a run.
type Stop struct {
	ID    MinionID
	Task  workload.TaskRef
	Run   workload.Run
	Token Token
}

// Pace lets a run work at a part of what it could.
type Pace struct {
	ID   MinionID
	Task workload.TaskRef
	Run  workload.Run
	// Percent is 100 for a run that is not held back.
	Percent int
	Token   Token
}

// Poll asks what runs and what has ended, and may prolong the lease.
type Poll struct {
	ID    MinionID
	Token Token
	// SeenEnds is the number up to which ends need not be listed any more.
	SeenEnds uint64
	// Lease is 0 if it is not to be prolonged.
	Lease MinionClock
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// Status is the answer to a look.
type Status struct {
	Clock MinionClock
	// Born tells lives of one ID apart.
	Born    int64
	Running []RunStatus
	Ended   []workload.End
}

// RunStatus is a run that a minion lists.
type RunStatus struct {
	Task       workload.TaskRef
	Run        workload.Run
	Checkpoint workload.Checkpoint
	// Percent is how far a task has come, or how much of itself a long-running one
	// may use.
	Percent int
	// TailLatency is the tail latency lately of a task that serves.
	TailLatency time.Duration
}

// Minion is the way to the minion on the agent's machine. Implementations are safe
// for concurrent use. A *RefusedError means that nothing was done; after any other
// error the order may have been carried out, or may be later.
type Minion interface {
	Start(ctx context.Context, order Start) error
	Stop(ctx context.Context, order Stop) error
	Poll(ctx context.Context, order Poll) (Status, error)
	Pace(ctx context.Context, order Pace) error
}

// Reason is why a minion refused an order.
type Reason string

// The reasons of minions.
const (
	// ReasonFenced orders carried a lower token than one that was seen.
	ReasonFenced Reason = "Fenced"
	// ReasonOutdated runs are not newer than one that was stopped or ended.
	ReasonOutdated Reason = "Outdated"
	// ReasonLeaseExpired leases had run out.
	ReasonLeaseExpired Reason = "Late"
	// ReasonNoRoom orders did not fit.
	ReasonNoRoom Reason = "NoRoom"
	// ReasonNoPermit orders lacked a valid permit.
	ReasonNoPermit Reason = workload.RefusalNoPermit
	// ReasonInvalid orders were not understood.
	ReasonInvalid Reason = "Invalid"
	// ReasonUnhealthy minions take no orders.
	ReasonUnhealthy Reason = "Unhealthy"
	// ReasonOtherLife orders were meant for another minion or life.
	ReasonOtherLife Reason = "OtherLife"
)

// RefusedError tells that a minion did nothing.
type RefusedError struct{ Reason Reason }

// Error returns the reason.
func (e *RefusedError) Error() string { return fmt.Sprintf("runner: minion refused: %s", e.Reason) }

// Announcement is what a minion says of itself.
type Announcement struct {
	ID MinionID
	// Born is 0 if the minion does not say it.
	Born      int64
	Machine   platform.WorkerID
	Service   bundle.ServiceName
	Rack      platform.RackID
	Labels    []string
	Room      workload.Resources
	Draining  bool
	Remaining time.Duration
	Sequence  uint64
}

// LifeID names a life of a minion.
func LifeID(id MinionID, born int64) workload.LifeID {
	return workload.LifeID(fmt.Sprintf("%s/%d", id, born))
}

// MinionOf returns the minion of a life.
func MinionOf(life workload.LifeID) MinionID {
	return MinionID(life[:max(strings.LastIndex(string(life), "/"), 0)])
}
