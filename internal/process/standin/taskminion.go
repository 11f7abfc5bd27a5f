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

// TaskMinion is an in-memory minion that runs tasks under leases. Set the exported
// fields before use; it is safe for concurrent use.
type TaskMinion struct {
	ID       runner.MinionID
	Capacity workload.Resources
	// Need tells what a task takes, and Work how long it runs.
	Need        func(workload.TaskRef) workload.Resources
	RunDuration func(workload.TaskRef, workload.Run) time.Duration
	// Fails tells whether a run fails at its end; nil means never.
	Fails func(runner.Start) bool
	// Permitted tells whether a start has a valid permit; nil means that none is needed.
	Permitted func(runner.Start) bool
	// TailLatency returns the tail latency of a task that serves beside fillers of so many
	// percent in all; nil means that nobody serves.
	TailLatency func(ref workload.TaskRef, fillers int) time.Duration
	// IsFiller tells whether a task is a filler; nil means that none is.
	IsFiller func(workload.TaskRef) bool
	// StopTime is how long a stop takes.
	StopTime time.Duration
	// OnViolation is called for everything that must never happen.
	OnViolation func(text string)
	// RunLog is told of every start and end; nil means nobody is.
	RunLog *RunLog

	mu     sync.Mutex
	born   time.Time
	dark   bool
	lose   int
	token  runner.Token
	lease  runner.MinionClock
	number uint64
	active map[workload.TaskRef]*activeRun
	newest map[workload.TaskRef]workload.Run
	ended  []workload.End
	// endedAt are when the listed ends came about, by number.
	endedAt map[uint64]time.Time
	// lapsed is when the lease ran out last.
	lapsed time.Time
}

type activeRun struct {
	run   workload.Run
	began time.Time
	ends  time.Time
	how   workload.RunOutcome
	pace  int
}

// ErrUnresponsive is what callers see of a minion that does not answer.
var ErrUnresponsive = errors.New("standin: minion does not answer")

// StartLife starts a life.
func (m *TaskMinion) StartLife() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopAll()
	m.born = time.Now()
	m.token, m.lease, m.number = 0, 0, 0
	m.active = map[workload.TaskRef]*activeRun{}
	m.newest = map[workload.TaskRef]workload.Run{}
	m.ended, m.endedAt = nil, map[uint64]time.Time{}
	m.lapsed = time.Time{}
	m.dark = false
}

// SetUnresponsive makes the minion silent; with crash everything that runs there ends.
func (m *TaskMinion) SetUnresponsive(dark, crash bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
	m.dark = dark
	if crash {
		m.stopAll()
		m.active = map[workload.TaskRef]*activeRun{}
	}
}

// DelayStarts lets the next starts be carried out late, without an answer.
func (m *TaskMinion) DelayStarts(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lose = n
}

// Born returns the Unix millisecond of the life's begin.
func (m *TaskMinion) Born() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.born.UnixMilli()
}

// Clock returns the minion's own time.
func (m *TaskMinion) Clock() runner.MinionClock {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock()
}

// IsUnresponsive tells whether the minion is silent.
func (m *TaskMinion) IsUnresponsive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dark
}

func (m *TaskMinion) stopAll() {
	for ref, a := range m.active {
		m.RunLog.end(ref, a.run, false)
	}
}

// clock returns the minion's own time. The lock must be held.
func (m *TaskMinion) clock() runner.MinionClock {
	return runner.MinionClock(time.Since(m.born).Milliseconds() + 1)
}

// settleAt settles at a time also if nobody asks. The lock must be held.
func (m *TaskMinion) settleAt(at time.Time) {
	time.AfterFunc(time.Until(at), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.settle()
	})
}

// prolong takes a lease in. The lock must be held.
func (m *TaskMinion) prolong(lease runner.MinionClock) {
	if lease > m.lease {
		m.lease = lease
		m.settleAt(m.born.Add(time.Duration(lease) * time.Millisecond))
	}
}

// settle brings the minion up to the present. The lock must be held.
func (m *TaskMinion) settle() {
	now := time.Now()
	leaseEnd := m.born.Add(time.Duration(m.lease) * time.Millisecond)
	if m.lease > 0 && leaseEnd.Before(now) {
		m.lapsed = leaseEnd
	}
	for ref, a := range m.active {
		ends, how := a.ends, a.how
		if leaseEnd.Before(ends) {
			ends, how = leaseEnd, workload.RunLapsed
		}
		if ends.After(now) {
			continue
		}
		delete(m.active, ref)
		m.number++
		m.ended = append(m.ended, workload.End{Number: m.number, Task: ref, Run: a.run, How: how})
		m.endedAt[m.number] = ends
		m.RunLog.end(ref, a.run, how == workload.RunDone)
	}
	slices.SortFunc(m.ended, func(a, b workload.End) int { return int(a.Number) - int(b.Number) })
}

// Start implements runner.Minion.
func (m *TaskMinion) Start(ctx context.Context, o runner.Start) error {
	m.mu.Lock()
	if m.lose > 0 && !m.dark {
		m.lose--
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
	if m.dark {
		return ErrUnresponsive
	}
	return m.start(o)
}

// start carries out a start. The lock must be held.
func (m *TaskMinion) start(o runner.Start) error {
	m.settle()
	switch {
	case o.ID != m.ID:
		return &runner.RefusedError{Reason: runner.ReasonOtherLife}
	case o.Token < m.token:
		return &runner.RefusedError{Reason: runner.ReasonFenced}
	case o.Lease <= m.clock():
		return &runner.RefusedError{Reason: runner.ReasonLeaseExpired}
	}
	m.token = o.Token
	m.prolong(o.Lease)
	if a := m.active[o.Task]; a != nil && a.run == o.Run {
		return nil
	}
	if o.Run <= m.newest[o.Task] {
		return &runner.RefusedError{Reason: runner.ReasonOutdated}
	}
	if m.Permitted != nil && !m.Permitted(o) {
		return &runner.RefusedError{Reason: runner.ReasonNoPermit}
	}
	m.checkRoom(o.Task)
	m.newest[o.Task] = o.Run
	a := &activeRun{run: o.Run, began: time.Now(), ends: time.Now().Add(m.RunDuration(o.Task, o.Run)), how: workload.RunDone, pace: 100}
	if m.Fails != nil && m.Fails(o) {
		a.how = workload.RunFailed
	}
	m.active[o.Task] = a
	m.settleAt(a.ends)
	m.RunLog.start(o.Task, o.Run, m.OnViolation)
	return nil
}

func (m *TaskMinion) checkRoom(next workload.TaskRef) {
	used := m.Need(next)
	for ref := range m.active {
		used = used.Plus(m.Need(ref))
	}
	if !used.FitsIn(m.Capacity) {
		m.OnViolation(fmt.Sprintf("%s is over its room with %s", m.ID, next))
	}
}

// admit tells whether an order of the token may be carried out. The lock must be held.
func (m *TaskMinion) admit(token runner.Token) error {
	if m.dark {
		return ErrUnresponsive
	}
	m.settle()
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
	if err := m.admit(o.Token); err != nil {
		return err
	}
	m.newest[o.Task] = max(m.newest[o.Task], o.Run)
	if a := m.active[o.Task]; a != nil && a.run == o.Run && a.how != workload.RunStopped {
		a.ends, a.how = time.Now().Add(m.StopTime), workload.RunStopped
		m.settleAt(a.ends)
	}
	return nil
}

// Pace implements runner.Minion. A paced run still ends when it would have.
func (m *TaskMinion) Pace(_ context.Context, o runner.Pace) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.admit(o.Token); err != nil {
		return err
	}
	if a := m.active[o.Task]; a != nil && a.run == o.Run {
		a.pace = o.Percent
	}
	return nil
}

// fillers returns the percentages of all fillers. The lock must be held.
func (m *TaskMinion) fillers() int {
	sum := 0
	for ref, a := range m.active {
		if m.IsFiller != nil && m.IsFiller(ref) {
			sum += a.pace
		}
	}
	return sum
}

// FillerPercent returns the percentages of all fillers that run now, added up.
func (m *TaskMinion) FillerPercent() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
	return m.fillers()
}

// Poll implements runner.Minion.
func (m *TaskMinion) Poll(ctx context.Context, o runner.Poll) (runner.Status, error) {
	deadline := time.Now().Add(o.Wait)
	for {
		s, err := m.look(o)
		if err != nil || len(s.Ended) > 0 || !time.Now().Before(deadline) {
			return s, err
		}
		if err := sleep(ctx, 20*time.Millisecond); err != nil {
			return s, err
		}
	}
}

func (m *TaskMinion) look(o runner.Poll) (runner.Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dark {
		return runner.Status{}, ErrUnresponsive
	}
	m.settle()
	if o.ID != m.ID {
		return runner.Status{}, &runner.RefusedError{Reason: runner.ReasonOtherLife}
	}
	if o.Token < m.token {
		return runner.Status{}, &runner.RefusedError{Reason: runner.ReasonFenced}
	}
	m.token = o.Token
	m.prolong(o.Lease)
	m.forget(o.SeenEnds)
	s := runner.Status{Clock: m.clock(), Born: m.born.UnixMilli()}
	for ref, a := range m.active {
		done := float64(time.Since(a.began)) / float64(a.ends.Sub(a.began))
		x := runner.RunStatus{Task: ref, Run: a.run, Percent: int(100 * done)}
		if m.TailLatency != nil {
			x.TailLatency = m.TailLatency(ref, m.fillers())
		}
		s.Running = append(s.Running, x)
	}
	s.Ended = slices.Clone(m.ended)
	return s, nil
}

// forget drops the ends up to a number. They are thereby taken note of, but for
// those after which the lease has run out. The lock must be held.
func (m *TaskMinion) forget(upTo uint64) {
	m.ended = slices.DeleteFunc(m.ended, func(e workload.End) bool {
		if e.Number > upTo {
			return false
		}
		if e.How == workload.RunDone && m.lapsed.Before(m.endedAt[e.Number]) {
			m.RunLog.note(e.Task, e.Run, m.OnViolation)
		}
		delete(m.endedAt, e.Number)
		return true
	})
}

var _ runner.Minion = (*TaskMinion)(nil)

// RunLog sees every start and end of all minions of a test, and tells when a task
// runs twice. The zero value is ready to use; nil sees nothing.
type RunLog struct {
	mu     sync.Mutex
	tasks  map[workload.TaskRef]*taskLog
	starts int
}

// taskLog is what was seen of one task.
type taskLog struct {
	running, starts int
	// done holds how often the task had started when a run ended done.
	done map[workload.Run]int
	// noted tasks have an end that was taken note of.
	noted bool
}

// get returns what is known of a task. The lock must be held.
func (l *RunLog) get(ref workload.TaskRef) *taskLog {
	if l.tasks == nil {
		l.tasks = map[workload.TaskRef]*taskLog{}
	}
	t := l.tasks[ref]
	if t == nil {
		t = &taskLog{done: map[workload.Run]int{}}
		l.tasks[ref] = t
	}
	return t
}

func (l *RunLog) start(ref workload.TaskRef, run workload.Run, broken func(string)) {
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
		broken(fmt.Sprintf("%s runs twice, run %d", ref, run))
	}
	if t.noted {
		broken(fmt.Sprintf("%s starts after its end was taken note of, run %d", ref, run))
	}
}

func (l *RunLog) end(ref workload.TaskRef, run workload.Run, done bool) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(ref)
	t.running--
	if done {
		t.done[run] = t.starts
	}
}

// note tells that an end of a run that was done was taken note of.
func (l *RunLog) note(ref workload.TaskRef, run workload.Run, broken func(string)) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(ref)
	t.noted = true
	if t.starts > t.done[run] {
		broken(fmt.Sprintf("%s was started again after the end of run %d, which is now taken note of", ref, run))
	}
}

// Starts returns the number of all starts.
func (l *RunLog) Starts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts
}

// Counts returns how often a task has started and ended done.
func (l *RunLog) Counts(ref workload.TaskRef) (starts, done int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(ref)
	return t.starts, len(t.done)
}
