package runner

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// MinionID identifies a minion. A minion may keep its ID when it restarts, which begins a
// new life.
type MinionID string

// Token is a fencing token. A minion refuses every order whose token is lower than the
// highest that it has received.
type Token uint64

// MinionClock is a time in milliseconds on a minion's monotonic clock, which restarts
// with each life.
type MinionClock int64

// Start is the order to start a run.
type Start struct {
	ID      MinionID
	Task    workload.TaskRef
	Run     workload.Run
	Payload string
	// Resume is the checkpoint to continue from; empty to start from the beginning.
	Resume workload.Checkpoint
	// Lease is when the minion kills all its runs unless the lease is renewed before.
	Lease MinionClock
	Token Token
	// Permit is empty for queues that need none.
	Permit workload.Permit
}

// Stop is the order to stop a run.
type Stop struct {
	ID    MinionID
	Task  workload.TaskRef
	Run   workload.Run
	Token Token
}

// Pace is the order to limit a run to a percentage of its full speed.
type Pace struct {
	ID   MinionID
	Task workload.TaskRef
	Run  workload.Run
	// Percent is from 0 (paused) to 100 (unlimited).
	Percent int
	Token   Token
}

// Poll asks a minion for its running and ended runs, and may renew the lease.
type Poll struct {
	ID    MinionID
	Token Token
	// SeenEnds is the number of the last recorded end; the minion lists only later ones.
	SeenEnds uint64
	// Lease is the new end of the lease, 0 to leave it as it is.
	Lease MinionClock
	// Wait is how long the minion may delay the answer until a run ends; 0 for an
	// answer immediately.
	Wait time.Duration
}

// Status is the answer to a poll.
type Status struct {
	// Clock is the minion's time at its answer.
	Clock MinionClock
	// Born distinguishes the lives of one ID; a later life has a greater value.
	Born    int64
	Running []RunStatus
	// Ended are the ends with a number above Poll.SeenEnds, in ascending order of their numbers.
	Ended []workload.End
	// Partial is set if the lists may lack runs or ends: there are more ends, with higher numbers, than the
	// minion lists at a time, or Unreadable is set. A run that is in neither list may be running or have ended.
	Partial bool
	// Unreadable is the error of the first row that could not be decoded; nil if all could.
	Unreadable error

	// running and ended have the runs of Running and Ended. Only index sets them.
	running, ended map[runKey]bool
}

// runKey identifies a run.
type runKey struct {
	task workload.TaskRef
	run  workload.Run
}

// index makes it possible to look up runs. Each run of a life is looked up in each round.
func (s *Status) index() {
	s.running = make(map[runKey]bool, len(s.Running))
	for _, r := range s.Running {
		s.running[runKey{r.Task, r.Run}] = true
	}
	s.ended = make(map[runKey]bool, len(s.Ended))
	for _, e := range s.Ended {
		s.ended[runKey{e.Task, e.Run}] = true
	}
}

// listsRunning reports whether the run is listed as running.
func (s Status) listsRunning(ref workload.TaskRef, n workload.Run) bool {
	return s.running[runKey{ref, n}]
}

// listsEnded reports whether the run is listed as ended.
func (s Status) listsEnded(ref workload.TaskRef, n workload.Run) bool { return s.ended[runKey{ref, n}] }

// lacks reports whether the minion certainly has no run of that number, neither running nor ended.
func (s Status) lacks(ref workload.TaskRef, n workload.Run) bool {
	return !s.Partial && !s.listsRunning(ref, n) && !s.listsEnded(ref, n)
}

// RunStatus is the state of a run that a minion lists as running.
type RunStatus struct {
	Task       workload.TaskRef
	Run        workload.Run
	Checkpoint workload.Checkpoint
	// Percent is from 0 to 100: the progress of the task or, if it is long-running, the pace
	// at which it may work.
	Percent int
	// TailLatency is the recent tail latency of a latency-sensitive task, one whose step has a
	// TailTarget. It has no meaning for other tasks.
	TailLatency time.Duration
}

// Minion sends orders to the minion on the agent's machine. Implementations are safe
// for concurrent use. A *RefusedError means that the minion did not carry the order
// out, ErrNotSent that it never got it; after any other error it may have carried it out,
// or may do so later.
type Minion interface {
	Start(ctx context.Context, order Start) error
	Stop(ctx context.Context, order Stop) error
	Poll(ctx context.Context, order Poll) (Status, error)
	Pace(ctx context.Context, order Pace) error
}

// ErrNotSent is returned for an order that was certainly not sent, since no connection to the
// minion could be opened.
var ErrNotSent = errors.New("runner: order was not sent")

// Reason is why a minion refused an order.
type Reason string

// The reasons for which a minion refuses an order.
const (
	// ReasonFenced means that the order's token is lower than one that the minion has
	// received.
	ReasonFenced Reason = "Fenced"
	// ReasonOutdated means that a run of the task with this or a later number was stopped
	// or has ended.
	ReasonOutdated Reason = "Outdated"
	// ReasonLeaseExpired means that the lease in the order had expired when it arrived.
	ReasonLeaseExpired Reason = "Late"
	// ReasonNoRoom means that the minion lacks the resources for the run.
	ReasonNoRoom Reason = "NoRoom"
	// ReasonNoPermit means that the order has no valid permit.
	ReasonNoPermit Reason = workload.RefusalNoPermit
	// ReasonInvalid means that the minion refused the order as malformed.
	ReasonInvalid Reason = "Invalid"
	// ReasonUnhealthy means that the minion is unhealthy and accepts no orders.
	ReasonUnhealthy Reason = "Unhealthy"
	// ReasonOtherLife means that the order is addressed to another minion or life.
	ReasonOtherLife Reason = "OtherLife"
)

// RefusedError is returned when a minion refused an order and did nothing.
type RefusedError struct{ Reason Reason }

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("runner: minion refused: %s", e.Reason) }

// Announcement is the status report that a minion sends to its agent.
type Announcement struct {
	ID MinionID
	// Born is as in Status, 0 if the report does not contain it.
	Born    int64
	Machine platform.WorkerID
	Service bundle.ServiceName
	Rack    platform.RackID
	Labels  []string
	// Room is the resources that all runs on the minion may use together.
	Room     workload.Resources
	Draining bool
	// Remaining is the minimum time for which a draining minion still executes runs.
	Remaining time.Duration
	// Sequence increases with each report of a life; an older report is ignored.
	Sequence uint64
}

// LifeID returns the identifier of a life of the minion.
func LifeID(id MinionID, born int64) workload.LifeID {
	return workload.LifeID(fmt.Sprintf("%s/%d", id, born))
}

// MinionOf returns the minion that the life belongs to.
func MinionOf(life workload.LifeID) MinionID {
	return MinionID(life[:max(strings.LastIndex(string(life), "/"), 0)])
}
