package outage

import (
	"slices"
	"time"
)

// releaseInterval is the time between the release of calls of one priority and of the next one. The
// journal gathers the proposals of 3 ms in one append, so that the more urgent calls are in an earlier
// append or in the same one.
const releaseInterval = 5 * time.Millisecond

// Waiter is a call that waits for the log.
type Waiter struct {
	priority Priority
	released chan time.Duration
}

// Released returns the channel that receives the delay after which the call continues, once the log
// is back.
func (w *Waiter) Released() <-chan time.Duration { return w.released }

// Waiters are the calls that wait for the log. The zero value is ready to use. It is not safe for
// concurrent use, except that the channels of its waiters may be received from.
type Waiters struct {
	waiting map[*Waiter]struct{}
}

// Add adds a call.
func (w *Waiters) Add(p Priority) *Waiter {
	if w.waiting == nil {
		w.waiting = map[*Waiter]struct{}{}
	}
	added := &Waiter{priority: p, released: make(chan time.Duration, 1)}
	w.waiting[added] = struct{}{}
	return added
}

// Remove removes a call that no longer waits. It has no effect on a call that was released.
func (w *Waiters) Remove(waiter *Waiter) { delete(w.waiting, waiter) }

// Len returns the number of calls that wait.
func (w *Waiters) Len() int { return len(w.waiting) }

// Release releases all calls: those of the most urgent priority without delay, those of each further
// one releaseInterval later.
func (w *Waiters) Release() {
	var priorities []Priority
	for waiter := range w.waiting {
		priorities = append(priorities, waiter.priority)
	}
	slices.Sort(priorities)
	priorities = slices.Compact(priorities)
	for waiter := range w.waiting {
		position, _ := slices.BinarySearch(priorities, waiter.priority)
		waiter.released <- time.Duration(position) * releaseInterval
	}
	clear(w.waiting)
}
