// Package permit caches on which workers the steps of restricted queues may run. An adviser
// outside the installation decides that: the Cache asks it, keeps each answer while it is
// valid, and serves look-ups. The scheduler of the leading entry sets the open queries and
// reads the permits. A Cache belongs to one process and is not stored; a new process asks
// again.
package permit

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"corianderpass/internal/process/steady"
	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
)

const (
	// MaxWorkersPerQuery is the largest number of workers in one query: the adviser takes time
	// for each of them, and the objectives assume one query on thirty workers.
	MaxWorkersPerQuery = 30
	// expiryMargin is how long before its expiry a permit is no longer used, since a start
	// takes an order, a record and the call to the worker.
	expiryMargin = time.Second
	// minUsableShare is the least share of its validity that a permit is used, so that
	// short-lived permits are of use in spite of expiryMargin.
	minUsableShare = 0.5
	// callTimeout limits a call beyond the time that the adviser's rules allow for the query.
	callTimeout = 2 * time.Second
	// retryDelay is the time between a failed query and the next one.
	retryDelay = 200 * time.Millisecond
)

// Query asks the adviser which of these workers may run the step.
type Query struct {
	Step    workload.StepRef
	Workers []workload.LifeID
	// Rules are the permit rules of the step's queue.
	Rules bundle.PermitRules
}

// Adviser answers queries. Implementations must be safe for concurrent use.
type Adviser interface {
	// Advise returns the permits of those workers that may run the step. An error means that
	// there was no answer.
	Advise(ctx context.Context, step workload.StepRef, workers []workload.LifeID) (map[workload.LifeID]workload.Permit, error)
}

// answer is the adviser's answer for one worker and one step.
type answer struct {
	// permit is empty if the worker may not run the step. Such an answer never expires.
	permit workload.Permit
	// usableUntil is the time on the cache's clock from which the permit is no longer used.
	usableUntil time.Duration
}

// Cache keeps the permits that one process has received. It is safe for concurrent use. It must
// be created with New.
type Cache struct {
	adviser Adviser
	clock   steady.Clock
	logger  hclog.Logger

	mu    sync.Mutex
	steps map[workload.StepRef]map[workload.LifeID]answer
	// queries are the open queries, the most urgent first.
	queries []Query
	// pending is the step of the query being sent, the zero value if there is none.
	pending workload.StepRef
	// queriesReady has an element if queries may be non-empty.
	queriesReady chan struct{}
	changed      chan struct{}
}

// New returns an empty cache. It sends no queries before Start.
func New(adviser Adviser, clock steady.Clock, logger hclog.Logger) *Cache {
	return &Cache{
		adviser: adviser, clock: clock, logger: logger.Named("permits"),
		steps:        map[workload.StepRef]map[workload.LifeID]answer{},
		queriesReady: make(chan struct{}, 1), changed: make(chan struct{}, 1),
	}
}

// Changed returns a channel that has an element if answers have arrived since it was last read.
func (c *Cache) Changed() <-chan struct{} { return c.changed }

// Lookup returns the permit of a worker for a step, and false if none is in force.
func (c *Cache) Lookup(step workload.StepRef, life workload.LifeID) (workload.Permit, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, known := c.steps[step][life]
	return a.permit, known && a.permit != "" && c.clock() < a.usableUntil
}

// Answered reports whether the adviser's answer for the worker is known and still valid, so
// that asking again is useless.
func (c *Cache) Answered(step workload.StepRef, life workload.LifeID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, known := c.steps[step][life]
	return known && (a.permit == "" || c.clock() < a.usableUntil)
}

// Drop removes a permit that the worker rejected.
func (c *Cache) Drop(step workload.StepRef, life workload.LifeID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.steps[step], life)
}

// SetQueries replaces the open queries. A query on the step that is being asked about is
// ignored; it can be set again after the answer.
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
					c.ask(ctx, q)
					c.clearPending()
				}
			}
		}
		done <- nil
	}()
	return done
}

// next removes the most urgent query, marks its step as pending and returns it, false if there
// is none.
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

// ask sends one query and stores its answer. It sends at most MaxWorkersPerQuery workers.
func (c *Cache) ask(ctx context.Context, q Query) {
	q.Workers = q.Workers[:min(len(q.Workers), MaxWorkersPerQuery)]
	sent := c.clock()
	limit := q.Rules.Decide.Std() + time.Duration(len(q.Workers))*q.Rules.Each.Std() + callTimeout
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	permits, err := c.adviser.Advise(callCtx, q.Step, q.Workers)
	c.logger.Info("ask for permits", "step", q.Step.String(), "workers", len(q.Workers), "good", len(permits),
		"ms", (c.clock() - sent).Milliseconds(), "error", err)
	if err != nil {
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
		// The query is not repeated here: a caller that still needs it sets it again.
		return
	}
	c.store(q, permits, sent)
}

// store stores the answer to a query. Its validity counts from sent, the time before the call.
func (c *Cache) store(q Query, permits map[workload.LifeID]workload.Permit, sent time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	valid := q.Rules.Valid.Std()
	usableUntil := sent + max(valid-expiryMargin, time.Duration(minUsableShare*float64(valid)))
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
