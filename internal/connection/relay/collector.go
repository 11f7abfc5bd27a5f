package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/backlog"
	"corianderpass/pkg/platform"
)

const (
	// minAppendTimeout and maxAppendTimeout bound the timeout of an append on the direct path: timeoutFactor
	// times its usual duration. The log normally answers within milliseconds; one that is slow lets appends
	// wait for 2 s.
	minAppendTimeout = 700 * time.Millisecond
	maxAppendTimeout = 2500 * time.Millisecond
	timeoutFactor    = 8
	// maxServeTime is how long an append of another process waits until it is sent. That process has no use
	// for it later.
	maxServeTime = 2 * time.Second
)

// errRefused means that the log refuses appends but answers reads, so that the call would be refused at
// other processes too. It had no effect.
var errRefused = fmt.Errorf("relay: log has too many appends waiting: %w", platform.ErrLogDown)

// collector groups the appends to one stream that this process makes, for itself and for others, into few
// calls on the direct path.
type collector struct {
	log    platform.BatchLog
	stream platform.Stream
	path   *Path
	// observe receives the records that were appended; nil for none.
	observe func([]platform.LogRecord)

	mu sync.Mutex
	// backlog has the appends that wait.
	backlog backlog.Backlog[*pendingAppend]
	// timer calls sendDue when the next call is due; nil before the first.
	timer *time.Timer
}

// pendingAppend is an append without a result.
type pendingAppend struct {
	payload []byte
	// result receives one result.
	result chan appendResult
}

type appendResult struct {
	offset platform.Offset
	err    error
}

// append appends the payload on the direct path and waits for the result. If the context ends before the call
// is sent, the append is withdrawn and the error wraps ErrLogDown.
func (c *collector) append(ctx context.Context, payload []byte, o platform.AppendOptions) (platform.Offset, error) {
	p := &pendingAppend{payload: payload, result: make(chan appendResult, 1)}
	c.mu.Lock()
	replaced, found := c.backlog.Add(c.path.clock(), backlog.Append[*pendingAppend]{Urgency: o.Urgency, Key: o.Key, Bytes: len(payload), Value: p})
	if found {
		replaced.Value.result <- appendResult{err: fmt.Errorf("relay: replaced by a newer append: %w", platform.ErrAnswerLost)}
	}
	c.sendDue()
	c.mu.Unlock()
	select {
	case r := <-p.result:
		return r.offset, r.err
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.backlog.Remove(func(other *pendingAppend) bool { return other == p }) {
		return 0, fmt.Errorf("relay: append was not sent in time: %w: %w", platform.ErrLogDown, ctx.Err())
	}
	return 0, fmt.Errorf("relay: append without a result: %w: %w", platform.ErrAnswerLost, ctx.Err())
}

// sendDue sends the calls that are due. The lock must be held.
func (c *collector) sendDue() {
	for {
		call, again := c.backlog.Next(c.path.clock())
		if call == nil {
			c.setTimer(again)
			return
		}
		if !c.path.goCall(func(ctx context.Context) { c.send(ctx, call) }) {
			c.end(call, nil, errors.WithMessage(platform.ErrLogDown, "relay: process stops"), backlog.Failed)
			return
		}
	}
}

// setTimer makes the timer call sendDue after the duration; 0 stops it. The lock must be held.
func (c *collector) setTimer(after time.Duration) {
	if c.timer != nil {
		c.timer.Stop()
	}
	if after <= 0 {
		return
	}
	c.timer = time.AfterFunc(after, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.sendDue()
	})
}

// send makes the call and passes the results on.
func (c *collector) send(ctx context.Context, call *backlog.Call[*pendingAppend]) {
	payloads := make([][]byte, 0, len(call.Appends))
	for _, a := range call.Appends {
		payloads = append(payloads, a.Value.payload)
	}
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.watch(callCtx, call, cancel)
	records, err := c.log.AppendAll(callCtx, c.stream, payloads)
	if err != nil && errors.Is(context.Cause(callCtx), context.DeadlineExceeded) {
		err = fmt.Errorf("relay: append has taken too long: %w", platform.ErrAnswerLost)
	}
	outcome := c.path.judge(ctx, err)
	if err == nil && c.observe != nil {
		c.observe(records)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end(call, records, err, outcome)
	c.sendDue()
}

// watch probes the log when the call is overdue, and cancels the call when its timeout has passed. It returns
// immediately, and goes on in the background until the context ends.
func (c *collector) watch(ctx context.Context, call *backlog.Call[*pendingAppend], cancel context.CancelCauseFunc) {
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout := min(max(timeoutFactor*c.backlog.Latency(), minAppendTimeout), maxAppendTimeout)
	age := call.Age(c.path.clock())
	if age >= timeout {
		cancel(context.DeadlineExceeded)
		return
	}
	if c.backlog.Probe(c.path.clock()) && !c.path.goCall(c.probe) {
		c.backlog.EndProbe(0, false)
	}
	time.AfterFunc(min(timeout-age, c.backlog.OverdueTime()), func() { c.watch(ctx, call, cancel) })
}

// probe measures how long the log takes to answer a read. If that is long, the log is slow.
func (c *collector) probe(ctx context.Context) {
	slow := time.AfterFunc(slowLatency, func() { c.path.noteSlow(slowLatency) })
	defer slow.Stop()
	d, err := c.path.measure(ctx, minAppendTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backlog.EndProbe(d, err == nil)
	c.sendDue()
}

// end passes the results of a call to its appends, unless they are sent again, and errors to those that the
// log will not get. The lock must be held.
func (c *collector) end(call *backlog.Call[*pendingAppend], records []platform.LogRecord, err error, outcome backlog.Outcome) {
	refused := c.backlog.Refused()
	dropped := c.backlog.End(c.path.clock(), call, outcome, rand.Float64())
	if outcome == backlog.Succeeded {
		c.path.setLatency(c.backlog.Latency())
	}
	if c.backlog.Refused() != refused {
		c.path.logger.Warn("log refuses appends or accepts them again", "stream", c.stream, "refuses", !refused, "waiting", c.backlog.Len(),
			"latency_ms", c.backlog.Latency().Milliseconds(), "error", err)
	}
	if outcome == backlog.Refused {
		for _, a := range dropped {
			a.Value.result <- appendResult{err: fmt.Errorf("%w: %w", errRefused, err)}
		}
		return
	}
	for i, a := range call.Appends {
		r := appendResult{err: err}
		if err == nil {
			r.offset = records[i].Offset
		}
		a.Value.result <- r
	}
	for _, a := range dropped {
		a.Value.result <- appendResult{err: fmt.Errorf("relay: not sent after another append has failed: %w: %w", platform.ErrLogDown, err)}
	}
}
