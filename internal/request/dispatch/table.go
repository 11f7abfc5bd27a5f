package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/version/bundle"
)

// RunFunc sends an order to the minion and returns the reply. The context ends when
// Order.Within has passed since the order arrived.
type RunFunc func(ctx context.Context, o Order) Reply

// Table decides which orders an agent runs, at most as many at a time as its
// minion has slots, and keeps their replies for shortRetention or longRetention.
// Create it with NewTable. It is safe for concurrent use.
type Table struct {
	agent incarnation.ID
	run   RunFunc

	mu sync.Mutex
	// slots is the minion's number of slots, 0 without a minion.
	slots int
	// busy counts started orders that have not ended. It exceeds slots only if the
	// number of slots was reduced while they ran.
	busy int
	// leaving is the last value given to SetLeaving; if true, new orders are refused.
	leaving bool
	// service is the service of the minion; orders for another one are refused.
	service bundle.ServiceName
	// orders has every order that waits, started or was revoked, until it expires.
	orders map[ledger.DispatchID]*order
	// meanRunTime is the moving average of the run time of orders.
	meanRunTime time.Duration
	// waiting has the orders that wait for a slot, in order of arrival. At most as
	// many as slots may wait.
	waiting []*order
	// shortLived has the ended orders that expire after shortRetention, longLived those
	// that expire after longRetention.
	shortLived, longLived endedList
	// idle is the channel that Idle returned, closed when no order is running; nil if
	// Idle was not called while orders ran.
	idle chan struct{}
}

// order is an Order with its state. A revocation that arrives before its Order is
// stored as an order without one, a tombstone.
type order struct {
	Order
	// deadline is the caller's deadline, zero in a tombstone.
	deadline time.Time
	// slotAssigned is closed when the order gets a slot.
	slotAssigned chan struct{}
	startedAt    time.Time
	// done is closed when reply is final. reply must not be read before that.
	done  chan struct{}
	reply Reply
}

const (
	// shortRetention is how long the reply of an order without a claim is kept.
	shortRetention = 15 * time.Second
	// longRetention is how long revocations, refusals and the replies of orders with
	// a claim are kept. It is far longer than an order can be in transit, so that no
	// revoked order arrives after its tombstone has expired.
	longRetention = 10 * time.Minute
	// maxLongLivedBytes bounds the total size of the answers that are kept for
	// longRetention.
	maxLongLivedBytes = 32 << 20
)

// NewTable returns a table of the agent with that incarnation. It refuses all
// orders until SetMinion is called.
func NewTable(agent incarnation.ID, run RunFunc) *Table {
	return &Table{agent: agent, run: run, orders: map[ledger.DispatchID]*order{}}
}

// SetMinion sets the service of the minion and its number of slots. With 0 slots
// there is no minion: all waiting and new orders are refused.
func (t *Table) SetMinion(service bundle.ServiceName, slots int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service = service
	t.slots = slots
	if slots == 0 {
		t.refuseWaiting(RefusedUnreachable)
	}
	t.startWaiting()
}

// SetLeaving makes the table refuse all waiting and new orders, or accept new
// orders again. Running orders continue.
func (t *Table) SetLeaving(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = leaving
	if leaving {
		t.refuseWaiting(RefusedLeaving)
	}
}

// Load returns the number of slots, the number in use, and the last value given to
// SetLeaving.
func (t *Table) Load() (slots, busy int, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slots, t.busy, t.leaving
}

// Run runs the order or refuses it, and returns when the reply is final. A repeated
// order gets the reply of the first one with its ID. The end of the context doesn't
// stop the order, as a request can't be recalled from the minion; the reply is kept
// for a later revocation or repeated order.
func (t *Table) Run(ctx context.Context, o Order) Reply {
	pending, isNew := t.register(o)
	if isNew {
		go t.execute(context.WithoutCancel(ctx), pending)
	}
	<-pending.done
	return pending.reply
}

// execute waits until the order has a slot and runs it, unless it is refused or
// its time ends first.
func (t *Table) execute(ctx context.Context, o *order) {
	ctx, cancel := context.WithTimeout(ctx, o.Within)
	defer cancel()
	select {
	case <-o.slotAssigned:
	case <-o.done:
		return
	case <-ctx.Done():
		if t.timeOut(o) {
			return
		}
	}
	t.complete(o, t.run(ctx, o.Order))
}

// register returns the state of the order. If isNew is true, the caller must
// execute the order. Otherwise the order was refused, or the state is that of the
// earlier order with the same ID.
func (t *Table) register(o Order) (pending *order, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	if existing := t.orders[o.ID]; existing != nil {
		return existing, false
	}
	if reason := t.refusalReason(o); reason != "" {
		return &order{done: closedChannel(), reply: t.refusedReply(reason)}, false
	}
	pending = &order{Order: o, deadline: time.Now().Add(o.Within), slotAssigned: make(chan struct{}), done: make(chan struct{})}
	t.orders[o.ID] = pending
	t.waiting = append(t.waiting, pending)
	t.startWaiting()
	return pending, true
}

// startWaiting assigns free slots to waiting orders. An order whose answer would
// probably come after the deadline is refused instead, as it is better for the
// caller to learn that it did not run. The lock must be held.
func (t *Table) startWaiting() {
	for len(t.waiting) > 0 && t.busy < t.slots {
		o := t.waiting[0]
		t.waiting = t.waiting[1:]
		now := time.Now()
		if t.missesDeadline(o, now) {
			t.setReply(o, t.refusedReply(RefusedLate))
			continue
		}
		t.busy++
		o.startedAt = now
		close(o.slotAssigned)
	}
}

// missesDeadline reports whether the remaining time of an order is shorter than the
// mean run time with its margin. It is false for an order whose request has a timeout
// of at most twice that time: if such orders were refused, no new run could correct
// a mean that is too high.
func (t *Table) missesDeadline(o *order, now time.Time) bool {
	needed := t.meanRunTime + t.meanRunTime/runTimeMarginDivisor
	return 2*needed < o.Whole && o.deadline.Sub(now) < needed
}

// runTimeMarginDivisor is what the mean run time is divided by to get the safety margin.
const runTimeMarginDivisor = 4

// runTimeWeight is the inverse weight of a new sample in the moving average.
const runTimeWeight = 8

// observeRunTime adds a sample to the moving average of the run time. The lock must be
// held.
func (t *Table) observeRunTime(took time.Duration) {
	if t.meanRunTime == 0 {
		t.meanRunTime = took
		return
	}
	t.meanRunTime += (took - t.meanRunTime) / runTimeWeight
}

// refuseWaiting refuses all orders that wait. The lock must be held.
func (t *Table) refuseWaiting(reason Refusal) {
	for _, o := range t.waiting {
		t.setReply(o, t.refusedReply(reason))
	}
	t.waiting = nil
}

// timeOut refuses an order whose time ended before it got a slot. It returns false
// if the order has started.
func (t *Table) timeOut(o *order) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.removeWaiting(o) {
		return false
	}
	t.setReply(o, t.refusedReply(RefusedFull))
	return true
}

// removeWaiting removes the order from the waiting ones and reports whether it was
// there. The lock must be held.
func (t *Table) removeWaiting(o *order) bool {
	i := slices.Index(t.waiting, o)
	if i < 0 {
		return false
	}
	t.waiting = slices.Delete(t.waiting, i, i+1)
	return true
}

// refusalReason returns why a new order must be refused, empty if it may run or wait.
// The lock must be held.
func (t *Table) refusalReason(o Order) Refusal {
	switch {
	case o.Agent != t.agent:
		return RefusedIncarnation
	case t.leaving:
		return RefusedLeaving
	case t.slots > 0 && o.Service != t.service:
		return RefusedService
	case t.slots == 0:
		return RefusedUnreachable
	case t.busy >= t.slots && len(t.waiting) >= t.slots:
		return RefusedFull
	}
	return ""
}

func (t *Table) refusedReply(reason Refusal) Reply {
	return Reply{
		Answer:  ledger.Answer{Fate: ledger.FateNotRun, Error: "dispatch: refused: " + string(reason)},
		Refusal: reason, Slots: t.slots, Busy: t.busy,
	}
}

// complete frees the slot of an order that ran, sets its reply, and starts the next
// waiting order.
func (t *Table) complete(o *order, reply Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy--
	t.observeRunTime(time.Since(o.startedAt))
	t.startWaiting()
	reply.Slots = t.slots
	reply.Busy = t.busy
	t.setReply(o, reply)
	if t.busy == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// setReply makes a reply final and adds the order to the list by which it expires.
// A refused order is kept as long as a revoked one. The lock must be held.
func (t *Table) setReply(o *order, reply Reply) {
	o.reply = reply
	close(o.done)
	list := &t.shortLived
	if o.Keep || reply.Fate == ledger.FateNotRun {
		list = &t.longLived
	}
	list.add(endedOrder{id: o.ID, endedAt: time.Now(), bytes: len(reply.Body)})
}

// expire removes the orders whose retention time has passed, and the bodies of the
// oldest replies in longLived while they exceed maxLongLivedBytes. The lock must be held.
func (t *Table) expire(now time.Time) {
	for t.shortLived.expired(now, shortRetention) {
		delete(t.orders, t.shortLived.removeOldest())
	}
	for t.longLived.expired(now, longRetention) {
		delete(t.orders, t.longLived.removeOldest())
	}
	for t.longLived.bytes > maxLongLivedBytes {
		t.dropBody(t.longLived.removeOldest())
	}
}

// dropBody removes the body of a reply in longLived. The order stays in the table for
// longRetention from now on, so that it doesn't run again.
func (t *Table) dropBody(id ledger.DispatchID) {
	trimmed := *t.orders[id]
	trimmed.reply.Body = nil
	trimmed.reply.Error = "dispatch: the body of the answer is no longer kept"
	t.orders[id] = &trimmed
	t.longLived.add(endedOrder{id: id, endedAt: time.Now()})
}

// Revoke makes sure that the order never starts. If the order has started, Revoke
// waits for its reply, for Revocation.Wait at most. The fate Unknown means that the
// order is still running or was addressed to another incarnation.
func (t *Table) Revoke(ctx context.Context, r Revocation) Reply {
	o := t.revoke(r)
	wait := time.NewTimer(r.Wait)
	defer wait.Stop()
	select {
	case <-o.done:
		return o.reply
	case <-wait.C:
	case <-ctx.Done():
	}
	return Reply{Answer: ledger.Answer{Fate: ledger.FateUnknown, Error: "dispatch: the order is still running"}}
}

// revoke returns the order if it has started or ended. Otherwise it revokes the
// order, and stores a tombstone if the order has not arrived.
func (t *Table) revoke(r Revocation) *order {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	if existing := t.orders[r.ID]; existing != nil {
		if t.removeWaiting(existing) {
			t.setReply(existing, t.refusedReply(RefusedRevoked))
		}
		return existing
	}
	if r.Agent != t.agent {
		// This table doesn't have the orders of another incarnation.
		return &order{done: closedChannel(), reply: Reply{Answer: ledger.Answer{
			Fate: ledger.FateUnknown, Error: "dispatch: the order was sent to another incarnation of the agent",
		}}}
	}
	tombstone := &order{done: closedChannel(), reply: t.refusedReply(RefusedRevoked)}
	t.orders[r.ID] = tombstone
	t.longLived.add(endedOrder{id: r.ID, endedAt: time.Now()})
	return tombstone
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Idle returns a channel that is closed when no order is running.
func (t *Table) Idle() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy == 0 {
		return closedChannel()
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	return t.idle
}
