// Package permit knows on which workers the steps of restricted queues may run. Only
// an adviser outside the installation decides that; what it says is kept here as long
// as it holds, and asked for again when a step needs it. Every process that decides
// keeps its own; it is lost with the process and asked for anew.
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
	// MaxWorkersPerQuery is the most workers that are asked for at once: an answer takes time for
	// each, and objectives count one question on thirty workers.
	MaxWorkersPerQuery = 30
	// margin is how long before its end a permit is no more used: a start takes an
	// order, a record and the way to the worker.
	margin = time.Second
	// leastShare is the part of its time that every permit is used, however short.
	leastShare = 0.5
	// callTimeout bounds a question beyond the time that the adviser says it takes.
	callTimeout = 2 * time.Second
	// pause is the time after a question without an answer.
	pause = 200 * time.Millisecond
)

// Query is a question: which of these workers may run the step.
type Query struct {
	Step    workload.StepRef
	Workers []workload.LifeID
	// Rules are those of the step's queue.
	Rules bundle.PermitRules
}

// Adviser answers questions. Implementations are safe for concurrent use. An error
// means that there was no answer.
type Adviser interface {
	// Advise returns the permits of those workers that may run the step.
	Advise(ctx context.Context, step workload.StepRef, workers []workload.LifeID) (map[workload.LifeID]workload.Permit, error)
}

// answer is what is known of one worker for one step.
type answer struct {
	permit workload.Permit
	// until is when the permit is used last; workers without one never get one.
	until time.Duration
}

// Cache keeps the permits of one process. Use New; it is safe for concurrent use.
type Cache struct {
	adviser Adviser
	clock   steady.Clock
	logger  hclog.Logger

	mu    sync.Mutex
	steps map[workload.StepRef]map[workload.LifeID]answer
	// wants are the open questions, the most urgent first.
	wants []Query
	// asking is the step of the question under way, the zero value if there is none.
	asking workload.StepRef
	// wanted has an element when there are wants.
	wanted  chan struct{}
	changed chan struct{}
}

// New returns a register that asks nothing before Start.
func New(adviser Adviser, clock steady.Clock, logger hclog.Logger) *Cache {
	return &Cache{
		adviser: adviser, clock: clock, logger: logger.Named("permits"),
		steps:  map[workload.StepRef]map[workload.LifeID]answer{},
		wanted: make(chan struct{}, 1), changed: make(chan struct{}, 1),
	}
}

// Changed has an element when permits have come.
func (r *Cache) Changed() <-chan struct{} { return r.changed }

// Lookup returns the permit of a worker for a step, false if there is none in force.
func (r *Cache) Lookup(step workload.StepRef, life workload.LifeID) (workload.Permit, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, known := r.steps[step][life]
	return a.permit, known && a.permit != "" && r.clock() < a.until
}

// Answered tells whether a question on the worker would bring nothing new.
func (r *Cache) Answered(step workload.StepRef, life workload.LifeID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, known := r.steps[step][life]
	return known && (a.permit == "" || r.clock() < a.until)
}

// Drop forgets a permit that a worker did not accept.
func (r *Cache) Drop(step workload.StepRef, life workload.LifeID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.steps[step], life)
}

// SetQueries replaces the open questions. A step of which a question is under way can be
// wanted again after its answer.
func (r *Cache) SetQueries(wants []Query) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wants = slices.DeleteFunc(slices.Clone(wants), func(w Query) bool { return w.Step == r.asking })
	wants = r.wants
	if len(wants) > 0 {
		notify(r.wanted)
	}
}

// Retain forgets all steps but those for which the filter is true.
func (r *Cache) Retain(filter func(workload.StepRef) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for step := range r.steps {
		if !filter(step) {
			delete(r.steps, step)
		}
	}
}

func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Start asks, one question at a time, until the context ends.
func (r *Cache) Start(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-r.wanted:
				if w, open := r.next(); open {
					r.ask(ctx, w)
					r.asked()
				}
			}
		}
		ended <- nil
	}()
	return ended
}

// next takes the most urgent question.
func (r *Cache) next() (Query, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.wants) == 0 {
		return Query{}, false
	}
	w := r.wants[0]
	r.wants, r.asking = r.wants[1:], w.Step
	if len(r.wants) > 0 {
		notify(r.wanted)
	}
	return w, true
}

func (r *Cache) asked() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asking = workload.StepRef{}
}

func (r *Cache) ask(ctx context.Context, w Query) {
	w.Workers = w.Workers[:min(len(w.Workers), MaxWorkersPerQuery)]
	sent := r.clock()
	limit := w.Rules.Decide.Std() + time.Duration(len(w.Workers))*w.Rules.Each.Std() + callTimeout
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	good, err := r.adviser.Advise(call, w.Step, w.Workers)
	r.logger.Info("ask for permits", "step", w.Step.String(), "workers", len(w.Workers), "good", len(good),
		"ms", (r.clock() - sent).Milliseconds(), "error", err)
	if err != nil {
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		// Whoever still wants it says so again.
		return
	}
	r.take(w, good, sent)
}

// take keeps an answer. Its time counts from when the question was sent.
func (r *Cache) take(w Query, good map[workload.LifeID]workload.Permit, sent time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	valid := w.Rules.Valid.Std()
	until := sent + max(valid-margin, time.Duration(leastShare*float64(valid)))
	answers := r.steps[w.Step]
	if answers == nil {
		answers = map[workload.LifeID]answer{}
		r.steps[w.Step] = answers
	}
	for _, life := range w.Workers {
		answers[life] = answer{permit: good[life], until: until}
	}
	notify(r.changed)
}
