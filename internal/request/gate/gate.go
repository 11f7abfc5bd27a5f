// Package gate is the admission control and load balancer of an entry. A Gate
// queues the requests of all organisations, bounded in number, and serves them
// by weighted fair queueing. Each agent has a window that limits its requests in
// flight; it grows with answers and shrinks with refusals. The package sends
// nothing itself: the entry calls Gate.Admit before it sends a request, and
// Gate.Done when the request has ended.
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
	// ErrQueueFull reports that the organisation may not queue another request for the
	// service.
	ErrQueueFull = errors.New("gate: the organisation's part of the queue is full")
	// ErrNoAgent reports that no agent with slots serves the service, apart from
	// those that the request avoids.
	ErrNoAgent = errors.New("gate: no agent serves this service")
	// ErrTooLate reports that the request's deadline passed in the queue, or would
	// pass before an answer could arrive.
	ErrTooLate = errors.New("gate: no answer is expected before the request's deadline")
)

// Request describes a request to be admitted.
type Request struct {
	Organisation bundle.OrganisationName
	Service      bundle.ServiceName
	// Share is the organisation's weight in the queue; at least 1.
	Share int
	// Bytes is the size of the request. It counts against the transfer budget if
	// the agent is in another region.
	Bytes int
	// Timeout is the time from the arrival of the request to its deadline. At 0 the
	// gate doesn't compare the remaining time with the latency of an agent.
	Timeout time.Duration
	// Avoid lists agents that refused this request or failed it. They are chosen
	// only if no other agent serves the service.
	Avoid []incarnation.ID
}

// Admission permits sending one request to Agent. The request counts as in flight at
// the agent until the admission is given to Gate.Done.
type Admission struct {
	Agent     Agent
	startedAt time.Time
	// crossRegion reports whether the agent is in another region than the gate.
	crossRegion bool
}

// Gate admits the requests of one process. Create it with New. It is safe for
// concurrent use.
type Gate struct {
	region platform.Region

	mu         sync.Mutex
	maxWaiting int
	transfer   transferBudget
	agents     map[incarnation.ID]*backend
	queues     map[bundle.ServiceName]*serviceQueue
	// waiting is the number of requests in all queues.
	waiting int
	random  *rand.Rand
}

// New returns a gate without agents. It queues at most maxWaiting requests, except
// that an organisation without a queued request for a service may always queue one.
// It sends at most transferRate bytes per second to other regions than its own. The
// seed is for the random choice between agents.
func New(region platform.Region, maxWaiting int, transferRate float64, seed uint64) *Gate {
	return &Gate{
		region:     region,
		maxWaiting: maxWaiting,
		transfer:   transferBudget{bytesPerSecond: transferRate},
		agents:     map[incarnation.ID]*backend{},
		queues:     map[bundle.ServiceName]*serviceQueue{},
		random:     rand.New(rand.NewPCG(seed, 2)),
	}
}

// SetLimits replaces the limits given to New.
func (g *Gate) SetLimits(maxWaiting int, transferRate float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maxWaiting = maxWaiting
	g.transfer.bytesPerSecond = transferRate
}

// Waiting returns the number of queued requests.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting
}

// Admit waits until an agent can take the request. It fails at once with
// ErrQueueFull, ErrNoAgent or, if the expected wait exceeds the deadline of the
// context, ErrTooLate. It fails later with ErrTooLate if the context ends, or if
// the remaining time is too short for an answer when an agent is free.
func (g *Gate) Admit(ctx context.Context, r Request) (Admission, error) {
	w, admission, err := g.admitOrQueue(ctx, r)
	if err != nil || w == nil {
		return admission, err
	}
	select {
	case admission, open := <-w.admitted:
		if !open {
			return Admission{}, ErrTooLate
		}
		return admission, nil
	case <-ctx.Done():
	}
	return g.cancel(w)
}

// admitOrQueue returns an admission if an agent is free, a waiter if the request
// was queued, or an error if it was refused.
func (g *Gate) admitOrQueue(ctx context.Context, r Request) (*waiter, Admission, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	q := g.queueOf(r.Service)
	if q.waiters.Len() == 0 {
		if admission, ok := g.chooseAgent(now, r); ok {
			return nil, admission, nil
		}
	}
	if !g.hasAgent(r) {
		return nil, Admission{}, ErrNoAgent
	}
	if q.waiters.LenOf(r.Organisation) >= g.queueLimit(q, r) {
		return nil, Admission{}, ErrQueueFull
	}
	if deadline, bounded := ctx.Deadline(); bounded && now.Add(g.expectedWait(q, r)).After(deadline) {
		return nil, Admission{}, ErrTooLate
	}
	w := &waiter{request: r, admitted: make(chan Admission, 1)}
	w.deadline, _ = ctx.Deadline()
	q.waiters.Push(r.Organisation, r.Share, w)
	g.waiting++
	return w, Admission{}, nil
}

// queueLimit returns how many requests the organisation may have in the queue of
// the service: maxWaiting if no other organisation has any there, its weighted share
// of maxWaiting otherwise, but at least 1. It is 0 if the gate is full and the
// organisation already has a request in this queue.
func (g *Gate) queueLimit(q *serviceQueue, r Request) int {
	if g.waiting >= g.maxWaiting && q.waiters.LenOf(r.Organisation) > 0 {
		return 0
	}
	return max(1, g.maxWaiting*r.Share/q.waiters.TotalWeight(r.Organisation, r.Share))
}

// expectedWait estimates how long the request would be queued, from the recent
// interval between admissions and the organisation's share.
func (g *Gate) expectedWait(q *serviceQueue, r Request) time.Duration {
	ahead := q.waiters.LenOf(r.Organisation) * q.waiters.TotalWeight(r.Organisation, r.Share) / r.Share
	return time.Duration(ahead) * q.interval
}

// RetryAfter returns how long a refused caller should wait before it retries:
// the expected time until all that is queued for the service is admitted, from
// 0.1 to 10 seconds.
func (g *Gate) RetryAfter(service bundle.ServiceName) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.queueOf(service)
	return min(maxRetryAfter, max(minRetryAfter, time.Duration(q.waiters.Len()+1)*q.interval))
}

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// cancel removes a waiter whose context has ended and returns ErrTooLate. If it was
// admitted in the meantime, it returns that admission.
func (g *Gate) cancel(w *waiter) (Admission, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case admission, open := <-w.admitted:
		if !open {
			return Admission{}, ErrTooLate
		}
		return admission, nil
	default:
	}
	if g.queueOf(w.request.Service).waiters.Remove(w.request.Organisation, w) {
		g.waiting--
	}
	return Admission{}, ErrTooLate
}

// Result is the outcome of an admitted request.
type Result int

// The results.
const (
	// ResultAnswered means that the minion answered.
	ResultAnswered Result = iota
	// ResultRefused means that the agent had no free slot.
	ResultRefused
	// ResultUnused says nothing about the agent: the request was not sent, or
	// arrived too late to be run.
	ResultUnused
	// ResultFailed means any other failure or refusal.
	ResultFailed
)

// Done ends an admission, adjusts the window of its agent by the result, and
// admits queued requests. bytes is what the request transferred. Call it exactly
// once for each admission.
func (g *Gate) Done(a Admission, result Result, bytes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if a.crossRegion {
		g.transfer.spend(now, bytes)
	}
	if b := g.agents[a.Agent.ID]; b != nil {
		b.finish(now, now.Sub(a.startedAt), result)
		if pause := b.pausedUntil.Sub(now); pause > 0 {
			time.AfterFunc(pause, g.admitAfterPause)
		}
	}
	g.admitWaiting(now)
}

// admitAfterPause admits queued requests when the pause of an agent has ended.
func (g *Gate) admitAfterPause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admitWaiting(time.Now())
}

// admitWaiting admits queued requests while agents can take them. The lock must
// be held.
func (g *Gate) admitWaiting(now time.Time) {
	for _, q := range g.queues {
		g.admitFrom(now, q)
	}
}

func (g *Gate) admitFrom(now time.Time, q *serviceQueue) {
	for q.waiters.Len() > 0 {
		w, _ := q.waiters.Peek()
		admission, ok := g.chooseAgent(now, w.request)
		if !ok {
			return
		}
		g.waiting--
		if g.missesDeadline(w, admission, now) {
			// The request is not served, so it must not use up a turn of its
			// organisation, as Pop would.
			q.waiters.Remove(w.request.Organisation, w)
			g.agents[admission.Agent.ID].inFlight--
			close(w.admitted)
			continue
		}
		q.waiters.Pop()
		q.observeAdmission(now)
		w.admitted <- admission
	}
	q.lastAdmission = time.Time{}
}

// missesDeadline reports whether the remaining time of a request is shorter than the
// agent's latency with its margin. It is false for a request whose timeout is at most
// twice that time: such a request never had enough time, and is sent anyway.
func (g *Gate) missesDeadline(w *waiter, a Admission, now time.Time) bool {
	needed := g.agents[a.Agent.ID].latency
	needed += needed / latencyMarginDivisor
	return !w.deadline.IsZero() && 2*needed < w.request.Timeout && w.deadline.Sub(now) < needed
}

// latencyMarginDivisor is what the latency is divided by to get the safety margin. The
// margin is larger than that of the agents (in package dispatch), so that they
// needn't refuse as too late what was admitted here.
const latencyMarginDivisor = 2

// waiter is one queued request.
type waiter struct {
	request Request
	// deadline is that of the context given to Admit; zero if the context has none.
	deadline time.Time
	// admitted is buffered for the one admission. It is closed instead if the
	// request would miss its deadline.
	admitted chan Admission
}

// serviceQueue holds the queued requests of one service.
type serviceQueue struct {
	waiters FairQueue[bundle.OrganisationName, *waiter]
	// interval is the moving average of the time between two admissions, measured
	// while the queue is not empty.
	interval time.Duration
	// lastAdmission is when a request was last admitted from the queue; zero if the
	// queue has been empty since then.
	lastAdmission time.Time
}

func (g *Gate) queueOf(service bundle.ServiceName) *serviceQueue {
	q := g.queues[service]
	if q == nil {
		q = &serviceQueue{}
		g.queues[service] = q
	}
	return q
}

// intervalWeight is the inverse weight of a new sample in the moving average.
const intervalWeight = 8

func (q *serviceQueue) observeAdmission(now time.Time) {
	if !q.lastAdmission.IsZero() {
		q.interval += (now.Sub(q.lastAdmission) - q.interval) / intervalWeight
	}
	q.lastAdmission = now
}
