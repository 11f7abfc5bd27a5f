// Package gate decides which request goes to which agent, and when. Requests of
// all organisations wait in one bounded place, served by their shares; each
// agent gets as many at a time as it has shown it can take.
package gate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

var (
	// ErrQueueFull tells that the request was refused because too many wait.
	ErrQueueFull = errors.New("gate: too many requests wait")
	// ErrNoAgent tells that no agent serves the service.
	ErrNoAgent = errors.New("gate: no agent serves this service")
	// ErrTooLate tells that the wait would outlast the request's time.
	ErrTooLate = errors.New("gate: the request's time ended while it waited")
)

// Request describes a request that wants to pass.
type Request struct {
	Organisation bundle.OrganisationName
	Service      bundle.ServiceName
	// Share is the organisation's weight; at least 1.
	Share int
	// Bytes is what the request would send.
	Bytes int
	// Timeout is the time that the request had in all; 0 means no bound.
	Timeout time.Duration
	// Avoid are agents that refused this request already.
	Avoid []incarnation.ID
}

// Admission is the permission to send one request to one agent.
type Admission struct {
	Agent Agent
	begun time.Time
	// remote is true if the agent is in another region.
	remote bool
}

// Gate is the one place through which requests leave a process. It is safe for
// concurrent use.
type Gate struct {
	region platform.Region

	mu     sync.Mutex
	limit  int
	paid   paidBudget
	agents map[incarnation.ID]*backend
	lines  map[bundle.ServiceName]*line
	// waiting is the number of requests in all lines.
	waiting int
	random  *rand.Rand
}

// New returns a gate without agents that holds at most limit waiting requests
// and sends at most paidBytes a second to other regions.
func New(region platform.Region, limit int, paidBytes float64, seed uint64) *Gate {
	return &Gate{
		region: region,
		limit:  limit,
		paid:   paidBudget{rate: paidBytes},
		agents: map[incarnation.ID]*backend{},
		lines:  map[bundle.ServiceName]*line{},
		random: rand.New(rand.NewPCG(seed, 2)),
	}
}

// SetLimits replaces the bounds.
func (g *Gate) SetLimits(limit int, paidBytes float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
	g.paid.rate = paidBytes
}

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting
}

// Admit waits for a pass. It refuses at once if the organisation's part of the
// room is full, if nobody serves the service, or if the wait would outlast the
// context's deadline.
func (g *Gate) Admit(ctx context.Context, a Request) (Admission, error) {
	w, pass, err := g.join(ctx, a)
	if err != nil || w == nil {
		return pass, err
	}
	select {
	case pass, open := <-w.passed:
		if !open {
			return Admission{}, ErrTooLate
		}
		return pass, nil
	case <-ctx.Done():
	}
	return g.leave(w)
}

// join returns a pass at once, a place in the line, or a refusal.
func (g *Gate) join(ctx context.Context, a Request) (*waiter, Admission, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	l := g.line(a.Service)
	if l.queue.Len() == 0 {
		if pass, ok := g.choose(now, a); ok {
			return nil, pass, nil
		}
	}
	if !g.served(a) {
		return nil, Admission{}, ErrNoAgent
	}
	if l.queue.LenOf(a.Organisation) >= g.room(l, a) {
		return nil, Admission{}, ErrQueueFull
	}
	if deadline, bounded := ctx.Deadline(); bounded && now.Add(g.expectedWait(l, a)).After(deadline) {
		return nil, Admission{}, ErrTooLate
	}
	w := &waiter{ask: a, passed: make(chan Admission, 1)}
	w.deadline, _ = ctx.Deadline()
	l.queue.Push(a.Organisation, a.Share, w)
	g.waiting++
	return w, Admission{}, nil
}

// room is how many requests of the organisation may wait: the whole room if it
// is alone, its share of it otherwise, and never less than one.
func (g *Gate) room(l *line, a Request) int {
	if g.waiting >= g.limit && l.queue.LenOf(a.Organisation) > 0 {
		return 0
	}
	return max(1, g.limit*a.Share/l.queue.TotalWeight(a.Organisation, a.Share))
}

// expectedWait is how long the request would wait at the rate at which the line
// moved lately.
func (g *Gate) expectedWait(l *line, a Request) time.Duration {
	ahead := l.queue.LenOf(a.Organisation) * l.queue.TotalWeight(a.Organisation, a.Share) / a.Share
	return time.Duration(ahead) * l.pace
}

// RetryAfter tells a refused caller when a place should be free.
func (g *Gate) RetryAfter(service bundle.ServiceName) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.line(service)
	return min(maxRetryAfter, max(minRetryAfter, time.Duration(l.queue.Len()+1)*l.pace))
}

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// leave takes a waiter out whose time has ended. A pass that came at the same
// moment is used.
func (g *Gate) leave(w *waiter) (Admission, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case pass, open := <-w.passed:
		if !open {
			return Admission{}, ErrTooLate
		}
		return pass, nil
	default:
	}
	if g.line(w.ask.Service).queue.Remove(w.ask.Organisation, w) {
		g.waiting--
	}
	return Admission{}, ErrTooLate
}

// Result is what became of a pass.
type Result int

// The results.
const (
	// ResultAnswered requests were answered by the minion.
	ResultAnswered Result = iota
	// ResultRefused requests were refused by the agent for want of room.
	ResultRefused
	// ResultUnused passes say nothing of the agent: nothing was sent, or it came too
	// late to be run.
	ResultUnused
	// ResultFailed requests failed or were refused for any other reason.
	ResultFailed
)

// Done gives the pass back and lets others through.
func (g *Gate) Done(p Admission, result Result, bytes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if p.remote {
		g.paid.spend(now, bytes)
	}
	if b := g.agents[p.Agent.ID]; b != nil {
		b.done(now, now.Sub(p.begun), result)
		if pause := b.fullUntil.Sub(now); pause > 0 {
			time.AfterFunc(pause, g.readmit)
		}
	}
	g.admitWaiting(now)
}

// readmit lets waiting requests through after a pause.
func (g *Gate) readmit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admitWaiting(time.Now())
}

// admitWaiting lets waiting requests through while there is room. The lock must be held.
func (g *Gate) admitWaiting(now time.Time) {
	for _, l := range g.lines {
		g.admitLine(now, l)
	}
}

func (g *Gate) admitLine(now time.Time, l *line) {
	for l.queue.Len() > 0 {
		w, _ := l.queue.Peek()
		pass, ok := g.choose(now, w.ask)
		if !ok {
			return
		}
		g.waiting--
		if g.tooLate(w, pass, now) {
			// It is not served, so its organisation keeps its turn.
			l.queue.Remove(w.ask.Organisation, w)
			g.agents[pass.Agent.ID].out--
			close(w.passed)
			continue
		}
		l.queue.Pop()
		l.moved(now)
		w.passed <- pass
	}
	l.movedAt = time.Time{}
}

// tooLate tells whether the time left is shorter than the agent's answers take.
// A request that never had enough time passes all the same.
func (g *Gate) tooLate(w *waiter, p Admission, now time.Time) bool {
	needed := g.agents[p.Agent.ID].latency
	needed += needed / latencyMargin
	return !w.deadline.IsZero() && 2*needed < w.ask.Timeout && w.deadline.Sub(now) < needed
}

// latencyMargin is the inverse share of the latency that is kept as a margin. It
// is more than what the agents keep, so that they need not refuse what passed.
const latencyMargin = 2

// waiter is one waiting request.
type waiter struct {
	ask Request
	// deadline is when its time ends, if ever.
	deadline time.Time
	// passed has room for the one pass; it is closed if there will be none.
	passed chan Admission
}

// line is where the requests of one service wait.
type line struct {
	queue FairQueue[bundle.OrganisationName, *waiter]
	// pace is the moving mean of the time between two passes.
	pace    time.Duration
	movedAt time.Time
}

func (g *Gate) line(service bundle.ServiceName) *line {
	l := g.lines[service]
	if l == nil {
		l = &line{}
		g.lines[service] = l
	}
	return l
}

// paceWeight is the inverse weight of a new observation of the pace.
const paceWeight = 8

func (l *line) moved(now time.Time) {
	if !l.movedAt.IsZero() {
		l.pace += (now.Sub(l.movedAt) - l.pace) / paceWeight
	}
	l.movedAt = now
}
