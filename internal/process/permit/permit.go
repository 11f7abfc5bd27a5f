// Package permit caches which workers may run the steps of restricted queues. An adviser
// outside the installation decides this: the Cache sends queries to it, keeps each answer while
// the answer is valid, and serves look-ups. The scheduler of the leading entry sets the open
// queries and reads the permits. A Cache belongs to one process and is not stored; a new process
// sends its queries again.
package permit

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"corianderpass/internal/process/monotonic"
	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
)

const (
	// MaxWorkersPerQuery is the largest number of workers in one query. The adviser takes time
	// for each worker, and the objectives of jobs assume one query on thirty workers.
	MaxWorkersPerQuery = 30
	// expiryMargin is how long before its expiry the use of a permit ends, since the start of a
	// run takes an order, a record and a call to the worker.
	expiryMargin = time.Second
	// minUsableShare is the share of its validity for which every permit is used at least.
	// Otherwise permits valid for expiryMargin or less could never be used.
	minUsableShare = 0.5
	// callTimeout is added to the time that the permit rules of the queue state for the query.
	// The sum limits the call.
	callTimeout = 2 * time.Second
	// retryDelay is the time between a failed query and the next query.
	retryDelay = 200 * time.Millisecond
)

// Query asks the adviser which of the workers may run the step.
type Query struct {
	Step    workload.StepRef
	Workers []workload.LifeID
	// Rules are the permit rules of the step's queue.
	Rules bundle.PermitRules
}

// Adviser answers queries. Implementations must be safe for concurrent use.
type Adviser interface {
	// Advise returns the permits of those workers that may run the step; the others have no
	// entry in the map. An error means that there was no answer.
	Advise(ctx context.Context, step workload.StepRef, workers []workload.LifeID) (map[workload.LifeID]workload.Permit, error)
}

// answer is the adviser's answer for one worker and one step.
type answer struct {
	// permit is empty if the worker may not run the step. Such a negative answer never expires.
	permit workload.Permit
	// usableUntil is the time on the cache's clock from which the permit is no longer used.
	usableUntil time.Duration
}

// Cache keeps the permits that one process has received. It is safe for concurrent use. It must
// be created with New.
type Cache struct {
	adviser Adviser
	clock   monotonic.Clock
	logger  hclog.Logger

	mu sync.Mutex
	// steps has the answers by step and worker.
	steps map[workload.StepRef]map[workload.LifeID]answer
	// queries are the open queries, the most urgent first.
	queries []Query
	// pending is the step of the query being sent, the zero value if there is none.
	pending workload.StepRef
	// queriesReady has an element if there may be open queries. It wakes the goroutine that
	// sends them.
	queriesReady chan struct{}
	// changed has an element if answers have arrived since it was last read.
	changed chan struct{}
}

// New returns an empty cache. It sends no queries before Start.
func New(adviser Adviser, clock monotonic.Clock, logger hclog.Logger) *Cache {
	return &Cache{
		adviser: adviser, clock: clock, logger: logger.Named("permits"),
		steps:        map[workload.StepRef]map[workload.LifeID]answer{},
		queriesReady: make(chan struct{}, 1), changed: make(chan struct{}, 1),
	}
}

// Changed returns a channel that has an element if answers have arrived since it was last read.
func (c *Cache) Changed() <-chan struct{} { return c.changed }

// Lookup returns the permit of a worker for a step, and false if there is none that may still be
// used.
func (c *Cache) Lookup(step workload.StepRef, life workload.LifeID) (workload.Permit, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, known := c.steps[step][life]
	return a.permit, known && a.permit != "" && c.clock() < a.usableUntil
}

// Answered reports whether the adviser's answer for the worker, positive or negative, is known
// and still valid, so that there is no need for another query.
func (c *Cache) Answered(step workload.StepRef, life workload.LifeID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, known := c.steps[step][life]
	return known && (a.permit == "" || c.clock() < a.usableUntil)
}

// Drop removes the answer for a worker. It is called when the worker has refused the permit.
func (c *Cache) Drop(step workload.StepRef, life workload.LifeID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.steps[step], life)
}

// SetQueries replaces the open queries; the most urgent must come first. It ignores a query on
// the step whose query is being sent; that query can be set again after the answer.
func (c *Cache) SetQueries(queries []Query) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queries = slices.DeleteFunc(slices.Clone(queries), func(q Query) bool { return q.Step == c.pending })
	queries = c.queries
	if len(queries) > 0 {
		notify(c.queriesReady)
	}
}

// Retain removes the answers of all steps for which the filter returns false.
func (c *Cache) Retain(filter func(workload.StepRef) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for step := range c.steps {
		if !filter(step) {
			delete(c.steps, step)
		}
	}
}

// notify adds an element to the channel unless it is full.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Start sends the open queries, one at a time, until the context ends. The returned channel
// then receives nil.
func (c *Cache) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-c.queriesReady:
				if q, open := c.next(); open {
					c.send(ctx, q)
					c.clearPending()
				}
			}
		}
		done <- nil
	}()
	return done
}

// next removes the most urgent query, marks its step as pending and returns the query. It
// returns false if there is none.
func (c *Cache) next() (Query, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queries) == 0 {
		return Query{}, false
	}
	q := c.queries[0]
	c.queries, c.pending = c.queries[1:], q.Step
	if len(c.queries) > 0 {
		notify(c.queriesReady)
	}
	return q, true
}

// clearPending records that no query is being sent.
func (c *Cache) clearPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = workload.StepRef{}
}

// send sends one query, with at most MaxWorkersPerQuery workers, and stores the answer. If there
// is no answer, it waits for retryDelay.
func (c *Cache) send(ctx context.Context, q Query) {
	q.Workers = q.Workers[:min(len(q.Workers), MaxWorkersPerQuery)]
	sentAt := c.clock()
	limit := q.Rules.Decide.Std() + time.Duration(len(q.Workers))*q.Rules.Each.Std() + callTimeout
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	permits, err := c.adviser.Advise(callCtx, q.Step, q.Workers)
	c.logger.Info("ask for permits", "step", q.Step.String(), "workers", len(q.Workers), "good", len(permits),
		"ms", (c.clock() - sentAt).Milliseconds(), "error", err)
	if err != nil {
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
		// send does not repeat the query: the scheduler sets it again if it is still needed.
		return
	}
	c.store(q, permits, sentAt)
}

// store stores the answer to a query. sentAt is the time before the call, from which the
// validity of the permits counts.
func (c *Cache) store(q Query, permits map[workload.LifeID]workload.Permit, sentAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	valid := q.Rules.Valid.Std()
	usableUntil := sentAt + max(valid-expiryMargin, time.Duration(minUsableShare*float64(valid)))
	answers := c.steps[q.Step]
	if answers == nil {
		answers = map[workload.LifeID]answer{}
		c.steps[q.Step] = answers
	}
	for _, life := range q.Workers {
		answers[life] = answer{permit: permits[life], usableUntil: usableUntil}
	}
	notify(c.changed)
}
