package standin

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/runner"
	"corianderpass/internal/process/workload"
)

// TaskMinion simulates a minion that runs tasks under leases. Its exported fields must
// be set and StartLife be called before other methods. It is safe for concurrent use.
type TaskMinion struct {
	ID runner.MinionID
	// Capacity is the room of the minion until the first call of Resize.
	Capacity workload.Resources
	// RoomGrace is for how long after a call of Resize the larger of both rooms counts.
	RoomGrace time.Duration
	// Need returns what a task reserves, and RunDuration how long a run takes.
	Need        func(workload.TaskRef) workload.Resources
	RunDuration func(workload.TaskRef, workload.Run) time.Duration
	// Fails reports whether a run fails at its end; nil means that no run fails.
	Fails func(runner.Start) bool
	// Crashes returns whether and how a start crashes the minion, which is back after
	// DownTime; nil means that none does.
	Crashes  func(runner.Start) CrashMode
	DownTime time.Duration
	// Permitted reports whether a start has a valid permit; nil means that starts need
	// none.
	Permitted func(runner.Start) bool
	// TailLatency returns the tail latency of a task beside fillers whose paces add up
	// to fillerPercent; nil means that no task reports one.
	TailLatency func(ref workload.TaskRef, fillerPercent int) time.Duration
	// IsFiller reports whether a task is a filler; nil means that none is.
	IsFiller func(workload.TaskRef) bool
	// MaxLease is the longest lease that the minion accepts; it shortens longer ones. 0 means that
	// there is no limit.
	MaxLease time.Duration
	// MaxListedEnds is how many ends one answer to a poll lists at most; 0 means that there is no limit.
	MaxListedEnds int
	// IgnoresOthers is true if orders for another minion get no answer instead of a refusal.
	IgnoresOthers bool
	// StopTime is the time from an order to stop until the run ends.
	StopTime time.Duration
	// OnPoll is called with each poll that the minion answers; it may be nil.
	OnPoll func(runner.Poll)
	// OnViolation is called with a description of each broken invariant.
	OnViolation func(text string)
	// RunLog records every start and end; nil records nothing.
	RunLog *RunLog

	mu sync.Mutex
	// startedAt is the start of the current life.
	startedAt time.Time
	// unresponsive is true while every call fails with ErrUnresponsive.
	unresponsive bool
	// unreachable is true while no order reaches the minion. closesConnections is true if connections are
	// then accepted and closed, as by a proxy, instead of refused.
	unreachable       bool
	closesConnections bool
	// unhealthy is true while every start is refused; refusedStarts counts these refusals.
	unhealthy     bool
	refusedStarts int
	// delayedStarts is how many of the next calls of Start take effect late.
	delayedStarts int
	// lostStartAnswers is how many of the next starts are carried out without an answer.
	lostStartAnswers int
	// formerRoom counts as room too until formerUntil.
	formerRoom  workload.Resources
	formerUntil time.Time
	// token is the highest fencing token seen.
	token runner.Token
	// leaseEnd is the time on the minion's clock at which the lease expires; 0 means that
	// there was no lease in this life.
	leaseEnd runner.MinionClock
	// lastEnd is the number of the newest end. The ends of a life are numbered from 1.
	lastEnd uint64
	// active has the runs in progress, by task.
	active map[workload.TaskRef]*activeRun
	// newestRun has the highest run started or stopped, by task.
	newestRun map[workload.TaskRef]workload.Run
	// ended has the ends that the agent has not acknowledged yet.
	ended []workload.End
	// endedAt has the times of the ends in ended, by number.
	endedAt map[uint64]time.Time
	// expiredAt is when the lease last expired.
	expiredAt time.Time
}

// CrashMode is whether and how a start crashes a TaskMinion.
type CrashMode int

// The modes. The zero value means that the minion does not crash.
const (
	NoCrash CrashMode = iota
	// CrashAfterAnswer means that the minion crashes some milliseconds after its answer.
	CrashAfterAnswer
	// CrashBeforeAnswer means that the minion begins the run and crashes before it answers.
	CrashBeforeAnswer
	// CrashSilently is CrashAfterAnswer with the whole host: connections that wait are closed, and
	// further orders get no answer.
	CrashSilently
	// RestartBeforeStart means that the minion restarts just before the start arrives, and begins the run
	// in its next life.
	RestartBeforeStart
)

// crashDelay is the time from the answer to a start until the minion crashes under it.
const crashDelay = 7 * time.Millisecond

// activeRun is a run in progress.
type activeRun struct {
	run       workload.Run
	startedAt time.Time
	// endsAt and how are the time and the outcome with which the run ends, unless the
	// lease expires earlier.
	endsAt time.Time
	how    workload.RunOutcome
	// percent is the pace of the run, 100 at full pace.
	percent int
}

// ErrUnresponsive is the error of every call while the minion does not answer.
var ErrUnresponsive = errors.New("standin: minion does not answer")

// StartLife starts a new life of the minion: the clock starts again, the minion answers
// calls, and all runs, ends, the lease and the token of the old life are dropped.
func (m *TaskMinion) StartLife() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startLife()
}

// startLife implements StartLife. The lock must be held.
func (m *TaskMinion) startLife() {
	m.logEnds()
	m.startedAt = time.Now()
	m.token, m.leaseEnd, m.lastEnd = 0, 0, 0
	m.active = map[workload.TaskRef]*activeRun{}
	m.newestRun = map[workload.TaskRef]workload.Run{}
	m.ended, m.endedAt = nil, map[uint64]time.Time{}
	m.expiredAt = time.Time{}
	m.unresponsive, m.unreachable = false, false
}

// SetUnresponsive sets whether calls to the minion fail. If crash is true, all its runs
// end at once, and the minion never reports their ends.
func (m *TaskMinion) SetUnresponsive(unresponsive, crash bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	m.unresponsive = unresponsive
	if crash {
		m.logEnds()
		m.active = map[workload.TaskRef]*activeRun{}
	}
}

// Crash ends all runs of the minion without a report. Until the next life, no order reaches it.
func (m *TaskMinion) Crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crash()
}

// crash implements Crash. The lock must be held.
func (m *TaskMinion) crash() {
	m.advance()
	m.logEnds()
	m.active = map[workload.TaskRef]*activeRun{}
	m.unreachable = true
}

// SetRefusing sets whether no order reaches the minion although its runs go on.
func (m *TaskMinion) SetRefusing(refusing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unreachable = refusing
}

// SetUnhealthy sets whether the minion refuses every start, with ReasonUnhealthy.
func (m *TaskMinion) SetUnhealthy(unhealthy bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unhealthy = unhealthy
}

// RefusedStarts returns how many starts were refused because the minion was unhealthy.
func (m *TaskMinion) RefusedStarts() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refusedStarts
}

// CloseConnections makes connections to the minion be accepted and closed, instead of refused, while no
// order reaches it.
func (m *TaskMinion) CloseConnections() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closesConnections = true
}

// crashAndRestart crashes the minion, which is back after DownTime.
func (m *TaskMinion) crashAndRestart(mode CrashMode) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crash()
	m.unresponsive = mode == CrashSilently
	m.unreachable = !m.unresponsive
	time.AfterFunc(m.DownTime, m.StartLife)
}

// Resize changes the room of the minion. Its runs go on, even if they exceed the new room.
func (m *TaskMinion) Resize(room workload.Resources) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Now().After(m.formerUntil) {
		m.formerRoom = workload.Resources{}
	}
	m.formerRoom, m.formerUntil = m.formerRoom.Largest(m.Capacity), time.Now().Add(m.RoomGrace)
	m.Capacity = room
}

// Room returns the current room of the minion.
func (m *TaskMinion) Room() workload.Resources {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Capacity
}

// callError returns the error of every call while the minion is unreachable or unresponsive,
// otherwise nil. The lock must be held.
func (m *TaskMinion) callError() error {
	switch {
	case m.unreachable && m.closesConnections:
		return io.EOF
	case m.unreachable:
		return fmt.Errorf("%w: %w", runner.ErrNotSent, syscall.ECONNREFUSED)
	case m.unresponsive:
		return ErrUnresponsive
	}
	return nil
}

// DelayStarts makes the next n starts take effect 3 s late; their callers get no
// answer.
func (m *TaskMinion) DelayStarts(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delayedStarts = n
}

// LoseStartAnswers makes the next n starts be carried out without an answer.
func (m *TaskMinion) LoseStartAnswers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lostStartAnswers = n
}

// DelayedStarts returns how many of the next starts will take effect late.
func (m *TaskMinion) DelayedStarts() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.delayedStarts
}

// Born returns the start of the life in Unix milliseconds.
func (m *TaskMinion) Born() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startedAt.UnixMilli()
}

// Clock returns the time on the minion's clock: the milliseconds since the start of the
// life, plus 1.
func (m *TaskMinion) Clock() runner.MinionClock {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock()
}

// IsUnresponsive reports whether calls to the minion fail.
func (m *TaskMinion) IsUnresponsive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.callError() != nil
}

// logEnds records in RunLog that all active runs end with the life. The lock must be
// held.
func (m *TaskMinion) logEnds() {
	for ref, a := range m.active {
		m.RunLog.lose(ref, a.run)
	}
}

// clock returns the result of Clock. The lock must be held.
func (m *TaskMinion) clock() runner.MinionClock {
	return runner.MinionClock(time.Since(m.startedAt).Milliseconds() + 1)
}

// advanceAt calls advance at the given time, so that ends are recorded in time even if
// nothing calls the minion. The lock must be held.
func (m *TaskMinion) advanceAt(at time.Time) {
	time.AfterFunc(time.Until(at), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.advance()
	})
}

// extendLease makes the lease expire at the given time on the minion's clock, or MaxLease from now
// if that is earlier, unless it expires later already. The lock must be held.
func (m *TaskMinion) extendLease(lease runner.MinionClock) {
	if m.MaxLease > 0 {
		lease = min(lease, m.clock()+runner.MinionClock(m.MaxLease.Milliseconds()))
	}
	if lease > m.leaseEnd {
		m.leaseEnd = lease
		m.advanceAt(m.startedAt.Add(time.Duration(lease) * time.Millisecond))
	}
}

// advance ends the runs whose end or lease expiry has passed. The lock must be held.
func (m *TaskMinion) advance() {
	now := time.Now()
	expiry := m.startedAt.Add(time.Duration(m.leaseEnd) * time.Millisecond)
	if m.leaseEnd > 0 && expiry.Before(now) {
		m.expiredAt = expiry
	}
	for ref, a := range m.active {
		endsAt, how := a.endsAt, a.how
		if expiry.Before(endsAt) {
			endsAt, how = expiry, workload.RunLapsed
		}
		if endsAt.After(now) {
			continue
		}
		delete(m.active, ref)
		m.lastEnd++
		m.ended = append(m.ended, workload.End{Number: m.lastEnd, Task: ref, Run: a.run, How: how})
		m.endedAt[m.lastEnd] = endsAt
		m.RunLog.end(ref, a.run, how == workload.RunDone)
	}
	slices.SortFunc(m.ended, func(a, b workload.End) int { return int(a.Number) - int(b.Number) })
}
