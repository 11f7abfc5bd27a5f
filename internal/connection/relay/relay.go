// Package relay lets a process reach the platform's log through another process, a
// peer, while its direct path to the log is broken. Log and KeyedLog wrap the log of
// the platform and choose between both; Handlers serves the calls of peers, which
// package link carries. The guarantees of the log hold on either path: an answer is
// that of the log itself, as of a moment after the call was sent. While the log is
// slow, one process appends for all: it groups their appends as package backlog decides.
package relay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/backlog"
	"corianderpass/internal/process/monotonic"
	"corianderpass/pkg/platform"
)

const (
	// probeInterval is the time between two probes of a broken direct path.
	probeInterval = 100 * time.Millisecond
	// probeTimeout bounds one probe. It is above the 250 ms that a slow log takes.
	probeTimeout = 350 * time.Millisecond
	// peerTimeout bounds a call to a peer, in addition to the time that the call waits
	// for records.
	peerTimeout = 900 * time.Millisecond
	// peerRetryDelay is how long a peer that failed is tried only after the others.
	peerRetryDelay = 2 * time.Second
	// maxTriedPeers is the number of peers that one call tries at most.
	maxTriedPeers = 2
)

// The methods that Handlers serves.
const (
	methodAppend link.Method = "Relay.Append"
	methodRead   link.Method = "Relay.Read"
	methodSlow   link.Method = "Relay.Slow"
)

// Peers returns the addresses of the other processes that serve Handlers. It must not
// call the Path that it is given to, which holds its lock while it calls Peers.
type Peers func() []link.Address

// Path tracks whether the direct path of this process to the log works, and which
// peers failed lately. All logs of a process share one. Create it with NewPath. It is
// safe for concurrent use.
type Path struct {
	pool   *link.Pool
	peers  Peers
	clock  monotonic.Clock
	logger hclog.Logger
	// probe makes a call on the direct path.
	probe func(ctx context.Context) error
	// collectorAddress returns the address of the process that appends for this one while the log is slow,
	// empty if this process always appends itself.
	collectorAddress func() link.Address

	// onSlow is called when the log becomes slow; nil for none.
	onSlow func(ctx context.Context, latency time.Duration)

	// calls counts the calls of collectors that have not returned.
	calls sync.WaitGroup

	mu sync.Mutex
	// ctx ends when the process stops; then no more calls are added to calls.
	ctx context.Context
	// latency is how long an append takes on the direct path of this process, or on that of the process
	// that appends for it.
	latency time.Duration
	// broken reports whether the direct path failed and no probe has succeeded since.
	broken bool
	// recovered is closed when broken becomes false; nil while broken is false.
	recovered chan struct{}
	// failedAt has the time of the last failure of each peer, by clock.
	failedAt map[link.Address]time.Duration
	// wake has one element after the direct path broke, until the probes start.
	wake chan struct{}
}

// NewPath returns a path that is not broken. probe makes a call on the direct path. collector returns the
// address of the process to which this one passes its appends while the log is slow, so that few calls append for
// many processes; empty if it appends itself. Like Peers, it must not call the Path.
func NewPath(pool *link.Pool, peers Peers, probe func(context.Context) error, collector func() link.Address, clock monotonic.Clock, logger hclog.Logger) *Path {
	return &Path{
		pool: pool, peers: peers, probe: probe, collectorAddress: collector, clock: clock, logger: logger.Named("relay"), ctx: context.Background(),
		failedAt: map[link.Address]time.Duration{}, wake: make(chan struct{}, 1),
	}
}

// Start probes the direct path in the background whenever it is broken, until the
// context ends. The channel yields nil once all appends have ended, too.
func (p *Path) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	go func() {
		for {
			select {
			case <-ctx.Done():
				p.awaitCalls()
				done <- nil
				return
			case <-p.wake:
				p.probeUntilRecovered(ctx)
			}
		}
	}()
	return done
}

// goCall runs the call in a goroutine of its own, with a context that ends when the process stops. It returns
// false if the process has stopped.
func (p *Path) goCall(call func(ctx context.Context)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return false
	}
	ctx := p.ctx
	p.calls.Go(func() { call(ctx) })
	return true
}

// awaitCalls waits for the calls of goCall, after the context has ended.
func (p *Path) awaitCalls() {
	// A goCall that found the context alive has added its call once the lock is free.
	p.mu.Lock()
	p.mu.Unlock() //nolint:staticcheck // see above
	p.calls.Wait()
}

// judge returns what the result of an append on the direct path shows, and marks the path as broken if it is.
// A log that answers a read has too many appends waiting if it refuses one, and has lost the answer if there is none.
func (p *Path) judge(ctx context.Context, err error) backlog.Outcome {
	if err == nil {
		return backlog.Succeeded
	}
	if _, probeErr := p.measure(ctx, minAppendTimeout); probeErr != nil {
		p.recordResult(err)
		return backlog.Failed
	}
	if hasNoEffect(err) {
		return backlog.Refused
	}
	return backlog.Unanswered
}

// measure returns how long a probe of the direct path takes.
func (p *Path) measure(ctx context.Context, timeout time.Duration) (time.Duration, error) {
	if p.probe == nil {
		return 0, errors.New("relay: no probe")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := p.clock()
	err := p.probe(ctx)
	return p.clock() - start, err
}

func (p *Path) appendLatency() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latency
}

func (p *Path) setLatency(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency = d
}

// hasNoEffect reports whether the error of an append means that it had no effect.
func hasNoEffect(err error) bool {
	return errors.Is(err, platform.ErrLogDown) || errors.Is(err, platform.ErrThrottled)
}

// delegate returns the address of the process that appends for this one, empty if the log is not slow, and if there
// is none or it has failed within peerRetryDelay.
func (p *Path) delegate() link.Address {
	if p.collectorAddress == nil || !p.isSlow() {
		return ""
	}
	a := p.collectorAddress()
	p.mu.Lock()
	defer p.mu.Unlock()
	if failedAt, failed := p.failedAt[a]; failed && p.clock()-failedAt < peerRetryDelay {
		return ""
	}
	return a
}

func (p *Path) probeUntilRecovered(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(probeInterval):
		}
		if _, err := p.measure(ctx, probeTimeout); err == nil {
			p.mu.Lock()
			p.broken = false
			close(p.recovered)
			p.recovered = nil
			p.mu.Unlock()
			p.logger.Info("own way to the log is back")
			return
		}
	}
}

// Broken reports whether the direct path is broken.
func (p *Path) Broken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.broken
}

// recordResult marks the direct path as broken after a call on it that returned an
// error. ErrTrimmed and a cancelled context don't count, since they don't show that
// the path has failed.
func (p *Path) recordResult(err error) {
	if err == nil || errors.Is(err, platform.ErrTrimmed) || errors.Is(err, context.Canceled) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.broken {
		return
	}
	p.broken = true
	p.recovered = make(chan struct{})
	p.logger.Warn("own way to the log is broken", "error", err)
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// untilRecovered returns a context that also ends when the direct path recovers, so
// that no call waits at a peer for longer than needed.
func (p *Path) untilRecovered(ctx context.Context) (context.Context, context.CancelFunc) {
	p.mu.Lock()
	recovered := p.recovered
	p.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	if recovered == nil {
		return ctx, cancel
	}
	go func() {
		select {
		case <-recovered:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// orderedPeers returns all peers in the order in which to try them: those that
// failed within peerRetryDelay come last.
func (p *Path) orderedPeers() []link.Address {
	now := p.clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	var preferred, others []link.Address
	for _, a := range p.peers() {
		if failedAt, failed := p.failedAt[a]; failed && now-failedAt < peerRetryDelay {
			others = append(others, a)
			continue
		}
		preferred = append(preferred, a)
	}
	return append(preferred, others...)
}

// stopDelegating makes this process append itself for peerRetryDelay.
func (p *Path) stopDelegating(a link.Address, err error) {
	p.markFailed(a)
	p.logger.Warn("process that collects appends has failed", "address", a, "error", err)
}

func (p *Path) markFailed(a link.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedAt[a] = p.clock()
}

// callPeers calls peers until one answers, at most maxTriedPeers. It returns
// ErrAnswerLost after a call that was sent but not answered, since that call may have
// taken effect and must not be repeated, and ErrLogDown if no call could be sent.
func callPeers[A, Q any](ctx context.Context, p *Path, method link.Method, query Q, wait time.Duration) (A, error) {
	var zero A
	lastErr := errors.WithMessage(platform.ErrLogDown, "relay: no peer to call")
	ctx, cancel := p.untilRecovered(ctx)
	defer cancel()
	for i, a := range p.orderedPeers() {
		if i >= maxTriedPeers {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
		answer, err := link.Call[A](callCtx, p.pool, a, method, query)
		cancel()
		if err == nil {
			return answer, nil
		}
		if ctx.Err() == nil {
			p.markFailed(a)
		}
		if !errors.Is(err, link.ErrNotSent) {
			return zero, fmt.Errorf("relay: call %s at peer %s: %w: %w", method, a, platform.ErrAnswerLost, err)
		}
		lastErr = fmt.Errorf("relay: call %s at a peer: %w: %w", method, platform.ErrLogDown, err)
	}
	return zero, lastErr
}
