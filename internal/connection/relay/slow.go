package relay

import (
	"context"
	"fmt"
	"time"

	"corianderpass/internal/connection/link"
)

const (
	// slowLatency is the duration of appends from which the log counts as slow, and processes pass their appends
	// on. The log normally takes some milliseconds, less than the way to another region and back.
	slowLatency = 50 * time.Millisecond
	// slowTimeout bounds the call that tells another process that the log is slow.
	slowTimeout = 300 * time.Millisecond
)

// slowNotice is the request and the answer of methodSlow.
type slowNotice struct {
	// Latency is how long an append takes at least.
	Latency time.Duration
}

// NotifySlow tells the process at the address that appends take the time or longer.
func NotifySlow(ctx context.Context, pool *link.Pool, a link.Address, latency time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, slowTimeout)
	defer cancel()
	if _, err := link.Call[slowNotice](ctx, pool, a, methodSlow, slowNotice{Latency: latency}); err != nil {
		return fmt.Errorf("relay: tell %s that the log is slow: %w", a, err)
	}
	return nil
}

// SlowHandlers returns the handlers with which a process learns from others that the log is slow.
func SlowHandlers(path *Path) link.Handlers {
	return link.Handlers{
		methodSlow: link.Handle(func(_ context.Context, n slowNotice) (slowNotice, error) {
			path.noteSlow(n.Latency)
			return slowNotice{}, nil
		}),
	}
}

// OnSlow makes the path call f in the background when it finds, or learns, that the log has become slow, with how
// long an append takes at least. It must be called before Start.
func (p *Path) OnSlow(f func(ctx context.Context, latency time.Duration)) { p.onSlow = f }

// noteSlow records that an append takes the time d or longer.
func (p *Path) noteSlow(d time.Duration) {
	p.mu.Lock()
	isNews := d >= slowLatency && p.latency < slowLatency
	if isNews {
		p.latency = d
	}
	p.mu.Unlock()
	if !isNews {
		return
	}
	p.logger.Info("log is slow", "latency_ms", d.Milliseconds())
	if p.onSlow != nil {
		p.goCall(func(ctx context.Context) { p.onSlow(ctx, d) })
	}
}

// isSlow reports whether the log is slow, as far as this process knows.
func (p *Path) isSlow() bool { return p.appendLatency() >= slowLatency }
