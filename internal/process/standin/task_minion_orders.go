package standin

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"corianderpass/internal/process/runner"
	"corianderpass/internal/process/workload"
)

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
	if m.lostStartAnswers > 0 && m.callError() == nil {
		m.lostStartAnswers--
		_ = m.start(o)
		m.mu.Unlock()
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
	mode := NoCrash
	if m.Crashes != nil {
		mode = m.Crashes(o)
	}
	if mode == RestartBeforeStart {
		m.startLife()
	}
	m.advance()
	if m.unhealthy {
		m.refusedStarts++
		return &runner.RefusedError{Reason: runner.ReasonUnhealthy}
	}
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
	return m.crashUnder(mode)
}

// crashUnder crashes the minion under the run that it has begun if the mode says so, and returns the
// error of the start. The lock must be held.
func (m *TaskMinion) crashUnder(mode CrashMode) error {
	switch mode {
	case CrashAfterAnswer, CrashSilently:
		time.AfterFunc(crashDelay, func() { m.crashAndRestart(mode) })
	case CrashBeforeAnswer:
		m.crash()
		time.AfterFunc(m.DownTime, m.StartLife)
		return io.EOF
	}
	return nil
}

// checkCapacity calls OnViolation if the active runs and the next one exceed the
// capacity. The lock must be held.
func (m *TaskMinion) checkCapacity(next workload.TaskRef) {
	used := m.Need(next)
	for ref := range m.active {
		used = used.Plus(m.Need(ref))
	}
	room := m.Capacity
	if time.Now().Before(m.formerUntil) {
		room = room.Largest(m.formerRoom)
	}
	if !used.FitsIn(room) {
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

// Poll implements runner.Minion. A new life or a crash breaks the polls that wait.
func (m *TaskMinion) Poll(ctx context.Context, o runner.Poll) (runner.Status, error) {
	deadline := time.Now().Add(o.Wait)
	born := m.Born()
	for waiting := false; ; waiting = true {
		if m.Born() != born {
			return runner.Status{}, ErrUnresponsive
		}
		s, err := m.status(o)
		if err != nil && waiting {
			return s, io.EOF
		}
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
	if o.ID != m.ID && m.IgnoresOthers {
		return runner.Status{}, ErrUnresponsive
	}
	if o.ID != m.ID {
		return runner.Status{}, &runner.RefusedError{Reason: runner.ReasonOtherLife}
	}
	if o.Token < m.token {
		return runner.Status{}, &runner.RefusedError{Reason: runner.ReasonFenced}
	}
	m.token = o.Token
	if m.OnPoll != nil {
		m.OnPoll(o)
	}
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
	if n := m.MaxListedEnds; n > 0 && len(s.Ended) >= n {
		s.Ended, s.Partial = s.Ended[:n], true
	}
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
