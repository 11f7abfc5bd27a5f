package standin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/runner"
	"corianderpass/internal/process/workload"
)

// TaskMinion simulates a minion that runs tasks under leases. Its exported fields must
// be set and StartLife be called before other methods. It is safe for concurrent use.
type TaskMinion struct {
	ID       runner.MinionID
	Capacity workload.Resources
	// Need returns what a task reserves, and RunDuration how long a run takes.
	Need        func(workload.TaskRef) workload.Resources
	RunDuration func(workload.TaskRef, workload.Run) time.Duration
	// Fails reports whether a run fails at its end; nil means that no run fails.
	Fails func(runner.Start) bool
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
	// StopTime is the time from an order to stop until the run ends.
	StopTime time.Duration
	// OnViolation is called with a description of each broken invariant.
	OnViolation func(text string)
	// RunLog records every start and end; nil records nothing.
	RunLog *RunLog

	mu sync.Mutex
	// startedAt is the start of the current life.
	startedAt time.Time
	// unresponsive is true while every call fails with ErrUnresponsive.
	unresponsive bool
	// unreachable is true while no order reaches the minion.
	unreachable bool
	// delayedStarts is how many of the next calls of Start take effect late.
	delayedStarts int
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
	m.advance()
	m.logEnds()
	m.active = map[workload.TaskRef]*activeRun{}
	m.unreachable = true
}

// callError returns the error of every call while the minion is unreachable or unresponsive,
// otherwise nil. The lock must be held.
func (m *TaskMinion) callError() error {
	switch {
	case m.unreachable:
		return runner.ErrNotSent
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
	return m.unresponsive
}

// logEnds records in RunLog that all active runs end without success. The lock must be
// held.
func (m *TaskMinion) logEnds() {
	for ref, a := range m.active {
		m.RunLog.end(ref, a.run, false)
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

// Start implements runner.Minion.
func (m *TaskMinion) Start(ctx context.Context, o runner.Start) error {
	m.mu.Lock()
	if m.delayedStarts > 0 && m.callError() == nil {
		m.delayedStarts--
		m.mu.Unlock()
		time.AfterFunc(3*time.Second, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			_ = m.start(o)
		})
		<-ctx.Done()
		return ErrUnresponsive
	}
	defer m.mu.Unlock()
	if err := m.callError(); err != nil {
		return err
	}
	return m.start(o)
}

// start starts the run. The lock must be held.
func (m *TaskMinion) start(o runner.Start) error {
	m.advance()
	switch {
	case o.ID != m.ID:
		return &runner.RefusedError{Reason: runner.ReasonOtherLife}
	case o.Token < m.token:
		return &runner.RefusedError{Reason: runner.ReasonFenced}
	case o.Lease <= m.clock():
		return &runner.RefusedError{Reason: runner.ReasonLeaseExpired}
	}
	m.token = o.Token
	m.extendLease(o.Lease)
	if a := m.active[o.Task]; a != nil && a.run == o.Run {
		return nil
	}
	if o.Run <= m.newestRun[o.Task] {
		return &runner.RefusedError{Reason: runner.ReasonOutdated}
	}
	if m.Permitted != nil && !m.Permitted(o) {
		return &runner.RefusedError{Reason: runner.ReasonNoPermit}
	}
	m.checkCapacity(o.Task)
	m.newestRun[o.Task] = o.Run
	a := &activeRun{run: o.Run, startedAt: time.Now(), endsAt: time.Now().Add(m.RunDuration(o.Task, o.Run)), how: workload.RunDone, percent: 100}
	if m.Fails != nil && m.Fails(o) {
		a.how = workload.RunFailed
	}
	m.active[o.Task] = a
	m.advanceAt(a.endsAt)
	m.RunLog.start(o.Task, o.Run, m.OnViolation)
	return nil
}

// checkCapacity calls OnViolation if the active runs and the next one exceed the
// capacity. The lock must be held.
func (m *TaskMinion) checkCapacity(next workload.TaskRef) {
	used := m.Need(next)
	for ref := range m.active {
		used = used.Plus(m.Need(ref))
	}
	if !used.FitsIn(m.Capacity) {
		m.OnViolation(fmt.Sprintf("minion %s exceeds its capacity with task %s", m.ID, next))
	}
}

// checkOrder returns an error if the minion is unresponsive or has seen a higher token.
// Otherwise it stores the token. The lock must be held.
func (m *TaskMinion) checkOrder(token runner.Token) error {
	if err := m.callError(); err != nil {
		return err
	}
	m.advance()
	if token < m.token {
		return &runner.RefusedError{Reason: runner.ReasonFenced}
	}
	m.token = token
	return nil
}

// Stop implements runner.Minion.
func (m *TaskMinion) Stop(_ context.Context, o runner.Stop) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkOrder(o.Token); err != nil {
		return err
	}
	m.newestRun[o.Task] = max(m.newestRun[o.Task], o.Run)
	if a := m.active[o.Task]; a != nil && a.run == o.Run && a.how != workload.RunStopped {
		a.endsAt, a.how = time.Now().Add(m.StopTime), workload.RunStopped
		m.advanceAt(a.endsAt)
	}
	return nil
}

// Pace implements runner.Minion. The pace of a run does not change the time of its end.
func (m *TaskMinion) Pace(_ context.Context, o runner.Pace) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkOrder(o.Token); err != nil {
		return err
	}
	if a := m.active[o.Task]; a != nil && a.run == o.Run {
		a.percent = o.Percent
	}
	return nil
}

// fillerPercent returns the sum of the paces of all fillers. The lock must be held.
func (m *TaskMinion) fillerPercent() int {
	sum := 0
	for ref, a := range m.active {
		if m.IsFiller != nil && m.IsFiller(ref) {
			sum += a.percent
		}
	}
	return sum
}

// FillerPercent returns the sum of the paces, in percent, of all fillers that run now.
func (m *TaskMinion) FillerPercent() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	return m.fillerPercent()
}

// Poll implements runner.Minion. A new life breaks the polls that wait.
func (m *TaskMinion) Poll(ctx context.Context, o runner.Poll) (runner.Status, error) {
	deadline := time.Now().Add(o.Wait)
	born := m.Born()
	for {
		if m.Born() != born {
			return runner.Status{}, ErrUnresponsive
		}
		s, err := m.status(o)
		if err != nil || len(s.Ended) > 0 || !time.Now().Before(deadline) {
			return s, err
		}
		if err := sleep(ctx, 20*time.Millisecond); err != nil {
			return s, err
		}
	}
}

// status returns the status without waiting.
func (m *TaskMinion) status(o runner.Poll) (runner.Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.callError(); err != nil {
		return runner.Status{}, err
	}
	m.advance()
	if o.ID != m.ID {
		return runner.Status{}, &runner.RefusedError{Reason: runner.ReasonOtherLife}
	}
	if o.Token < m.token {
		return runner.Status{}, &runner.RefusedError{Reason: runner.ReasonFenced}
	}
	m.token = o.Token
	m.extendLease(o.Lease)
	m.dropEnds(o.SeenEnds)
	s := runner.Status{Clock: m.clock(), Born: m.startedAt.UnixMilli()}
	for ref, a := range m.active {
		done := float64(time.Since(a.startedAt)) / float64(a.endsAt.Sub(a.startedAt))
		status := runner.RunStatus{Task: ref, Run: a.run, Percent: int(100 * done)}
		if m.TailLatency != nil {
			status.TailLatency = m.TailLatency(ref, m.fillerPercent())
		}
		s.Running = append(s.Running, status)
	}
	s.Ended = slices.Clone(m.ended)
	return s, nil
}

// dropEnds drops the ends with numbers up to upTo, which the agent has seen. It records
// a successful end as acknowledged unless the lease expired after that end. The lock
// must be held.
func (m *TaskMinion) dropEnds(upTo uint64) {
	m.ended = slices.DeleteFunc(m.ended, func(e workload.End) bool {
		if e.Number > upTo {
			return false
		}
		if e.How == workload.RunDone && m.expiredAt.Before(m.endedAt[e.Number]) {
			m.RunLog.acknowledge(e.Task, e.Run, m.OnViolation)
		}
		delete(m.endedAt, e.Number)
		return true
	})
}

var _ runner.Minion = (*TaskMinion)(nil)

// RunLog records every start and end at all minions of a test, and reports a task that
// runs twice at the same time or again after an acknowledged end. The zero value is
// ready to use; a nil RunLog records nothing.
type RunLog struct {
	mu     sync.Mutex
	tasks  map[workload.TaskRef]*taskLog
	starts int
}

// taskLog is what was recorded about one task.
type taskLog struct {
	// running is the number of active runs, starts the number of starts so far.
	running, starts int
	// startsAtEnd has the value of starts when a run succeeded, by run.
	startsAtEnd map[workload.Run]int
	// acknowledged is true once an agent has acknowledged a successful end.
	acknowledged bool
}

// get returns the log of a task and creates it at first use. The lock must be held.
func (l *RunLog) get(ref workload.TaskRef) *taskLog {
	if l.tasks == nil {
		l.tasks = map[workload.TaskRef]*taskLog{}
	}
	t := l.tasks[ref]
	if t == nil {
		t = &taskLog{startsAtEnd: map[workload.Run]int{}}
		l.tasks[ref] = t
	}
	return t
}

// start records the start of a run. It reports a violation if another run of the task
// is active or a successful end was acknowledged before.
func (l *RunLog) start(ref workload.TaskRef, run workload.Run, onViolation func(string)) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	t := l.get(ref)
	t.starts++
	t.running++
	if t.running > 1 {
		onViolation(fmt.Sprintf("task %s has two active runs after the start of run %d", ref, run))
	}
	if t.acknowledged {
		onViolation(fmt.Sprintf("task %s was started after its end was acknowledged, run %d", ref, run))
	}
}

// end records the end of a run and whether it succeeded.
func (l *RunLog) end(ref workload.TaskRef, run workload.Run, succeeded bool) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(ref)
	t.running--
	if succeeded {
		t.startsAtEnd[run] = t.starts
	}
}

// acknowledge records that an agent has acknowledged the successful end of a run. It
// reports a violation if the task was started again since that end.
func (l *RunLog) acknowledge(ref workload.TaskRef, run workload.Run, onViolation func(string)) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(ref)
	t.acknowledged = true
	if t.starts > t.startsAtEnd[run] {
		onViolation(fmt.Sprintf("task %s was started again after the end of run %d, which is now acknowledged", ref, run))
	}
}

// Starts returns the number of all starts.
func (l *RunLog) Starts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts
}

// Counts returns how often a task was started at any minion and how many of its runs
// succeeded.
func (l *RunLog) Counts(ref workload.TaskRef) (starts, done int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(ref)
	return t.starts, len(t.startsAtEnd)
}
