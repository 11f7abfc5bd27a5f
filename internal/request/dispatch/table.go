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

// RunFunc hands an order to the minion and returns what came of it.
type RunFunc func(ctx context.Context, o Order) Reply

// Table judges the orders of one agent. It is safe for concurrent use.
type Table struct {
	self incarnation.ID
	run  RunFunc

	mu sync.Mutex
	// slots is the minion's number of slots, 0 without a minion.
	slots int
	// busy counts started orders that have not ended; never above slots at a start.
	busy    int
	leaving bool
	service bundle.ServiceName
	// orders has every order that waits, started or was revoked, until it is forgotten.
	orders map[ledger.DispatchID]*order
	// pace is the moving mean of how long orders run.
	pace time.Duration
	// waiting has the orders that wait for a slot, at most one for each slot.
	waiting []*order
	// recent and kept have the orders to be forgotten, oldest first.
	recent, kept endedList
	// idle is closed when nothing is running; nil while nobody waits for it.
	idle chan struct{}
}

// order is one order that waits, started or was revoked.
type order struct {
	Order
	// deadline is when the caller stops waiting.
	deadline time.Time
	// start is closed when the order has a slot.
	start   chan struct{}
	started time.Time
	// done is closed when the reply is final.
	done  chan struct{}
	reply Reply
}

const (
	// recentMemory is how long the reply of an ordinary order can be asked for.
	recentMemory = 15 * time.Second
	// keptMemory is how long revocations and the replies of claimed orders are
	// remembered. It is far above the time that an order can be under way.
	keptMemory = 10 * time.Minute
	// keptBytes bounds the kept answers of claimed orders.
	keptBytes = 32 << 20
)

// NewTable returns a table without a minion.
func NewTable(self incarnation.ID, run RunFunc) *Table {
	return &Table{self: self, run: run, orders: map[ledger.DispatchID]*order{}}
}

// SetMinion tells what the minion serves and how many slots it has. No slots
// mean that there is none.
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

// SetLeaving makes the table refuse all new orders and those that wait, or accept
// orders again.
func (t *Table) SetLeaving(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = leaving
	if leaving {
		t.refuseWaiting(RefusedLeaving)
	}
}

// Load returns the slots, the busy ones, and whether the table is leaving.
func (t *Table) Load() (slots, busy int, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.slots, t.busy, t.leaving
}

// Run runs the order, or refuses it. The order goes on if the context ends, as
// the minion cannot be made to forget it; its reply is kept then.
func (t *Table) Run(ctx context.Context, o Order) Reply {
	judged, fresh := t.begin(o)
	if fresh {
		go t.carryOut(context.WithoutCancel(ctx), judged)
	}
	<-judged.done
	return judged.reply
}

// carryOut waits for the order's slot and runs it.
func (t *Table) carryOut(ctx context.Context, o *order) {
	ctx, cancel := context.WithTimeout(ctx, o.Within)
	defer cancel()
	select {
	case <-o.start:
	case <-o.done:
		return
	case <-ctx.Done():
		if t.giveUp(o) {
			return
		}
	}
	t.end(o, t.run(ctx, o.Order))
}

// begin judges the order. A fresh one must be carried out; any other has its
// reply, or gets it from the first order with the same ID.
func (t *Table) begin(o Order) (judged *order, fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(time.Now())
	if before := t.orders[o.ID]; before != nil {
		return before, false
	}
	if reason := t.refuse(o); reason != "" {
		return &order{done: closed(), reply: t.refusal(reason)}, false
	}
	judged = &order{Order: o, deadline: time.Now().Add(o.Within), start: make(chan struct{}), done: make(chan struct{})}
	t.orders[o.ID] = judged
	t.waiting = append(t.waiting, judged)
	t.startWaiting()
	return judged, true
}

// startWaiting gives free slots to waiting orders. One that waited so long that
// its answer would come too late is refused instead, since a caller would rather
// know that it did not run. The lock must be held.
func (t *Table) startWaiting() {
	for len(t.waiting) > 0 && t.busy < t.slots {
		o := t.waiting[0]
		t.waiting = t.waiting[1:]
		now := time.Now()
		if t.tooLate(o, now) {
			t.finish(o, t.refusal(RefusedLate))
			continue
		}
		t.busy++
		o.started = now
		close(o.start)
	}
}

// tooLate tells whether the time left is shorter than orders take. A request that
// never had enough time is run all the same, or nothing would correct the mean.
func (t *Table) tooLate(o *order, now time.Time) bool {
	needed := t.pace + t.pace/paceMargin
	return 2*needed < o.Whole && o.deadline.Sub(now) < needed
}

// paceMargin is the inverse share of the pace that is kept as a margin.
const paceMargin = 4

// paceWeight is the inverse weight of a new observation of the pace.
const paceWeight = 8

func (t *Table) observe(took time.Duration) {
	if t.pace == 0 {
		t.pace = took
		return
	}
	t.pace += (took - t.pace) / paceWeight
}

// refuseWaiting refuses all orders that wait. The lock must be held.
func (t *Table) refuseWaiting(reason Refusal) {
	for _, o := range t.waiting {
		t.finish(o, t.refusal(reason))
	}
	t.waiting = nil
}

// giveUp takes a waiting order out. It returns false if the order has started.
func (t *Table) giveUp(o *order) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.unwait(o) {
		return false
	}
	t.finish(o, t.refusal(RefusedFull))
	return true
}

// unwait takes the order out of the waiting ones and tells whether it was there.
// The lock must be held.
func (t *Table) unwait(o *order) bool {
	i := slices.Index(t.waiting, o)
	if i < 0 {
		return false
	}
	t.waiting = slices.Delete(t.waiting, i, i+1)
	return true
}

func (t *Table) refuse(o Order) Refusal {
	switch {
	case o.Agent != t.self:
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

func (t *Table) refusal(reason Refusal) Reply {
	return Reply{
		Answer:  ledger.Answer{Fate: ledger.FateNotRun, Error: "dispatch: refused: " + string(reason)},
		Refusal: reason, Slots: t.slots, Busy: t.busy,
	}
}

// end makes the reply of an order that ran final and starts the next one.
func (t *Table) end(o *order, reply Reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy--
	t.observe(time.Since(o.started))
	t.startWaiting()
	reply.Slots = t.slots
	reply.Busy = t.busy
	t.finish(o, reply)
	if t.busy == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// finish makes a reply final and notes when it may be forgotten. A refused order
// is remembered like a revoked one. The lock must be held.
func (t *Table) finish(o *order, reply Reply) {
	o.reply = reply
	close(o.done)
	list := &t.recent
	if o.Keep || reply.Fate == ledger.FateNotRun {
		list = &t.kept
	}
	list.add(endedOrder{id: o.ID, at: time.Now(), bytes: len(reply.Body)})
}

// forget drops old orders. The lock must be held.
func (t *Table) forget(now time.Time) {
	for t.recent.due(now, recentMemory) {
		delete(t.orders, t.recent.remove())
	}
	for t.kept.due(now, keptMemory) {
		delete(t.orders, t.kept.remove())
	}
	for t.kept.bytes > keptBytes {
		t.shorten(t.kept.remove())
	}
}

// shorten drops the body of a kept reply, but not the knowledge that it ran.
func (t *Table) shorten(id ledger.DispatchID) {
	short := *t.orders[id]
	short.reply.Body = nil
	short.reply.Error = "dispatch: the answer is no longer kept"
	t.orders[id] = &short
	t.kept.add(endedOrder{id: id, at: time.Now()})
}

// Revoke makes sure that the order does not start later, or waits for the reply
// of one that has started. A fate of Unknown means that it still runs.
func (t *Table) Revoke(ctx context.Context, r Revocation) Reply {
	known := t.bury(r)
	wait := time.NewTimer(r.Wait)
	defer wait.Stop()
	select {
	case <-known.done:
		return known.reply
	case <-wait.C:
	case <-ctx.Done():
	}
	return Reply{Answer: ledger.Answer{Fate: ledger.FateUnknown, Error: "dispatch: still running"}}
}

// bury returns the started order, or a tombstone in its place.
func (t *Table) bury(r Revocation) *order {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(time.Now())
	if known := t.orders[r.ID]; known != nil {
		if t.unwait(known) {
			t.finish(known, t.refusal(RefusedRevoked))
		}
		return known
	}
	if r.Agent != t.self {
		// The order was for an earlier incarnation, whose deeds are not known here.
		return &order{done: closed(), reply: Reply{Answer: ledger.Answer{
			Fate: ledger.FateUnknown, Error: "dispatch: the agent was replaced",
		}}}
	}
	tomb := &order{done: closed(), reply: t.refusal(RefusedRevoked)}
	t.orders[r.ID] = tomb
	t.kept.add(endedOrder{id: r.ID, at: time.Now()})
	return tomb
}

func closed() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Idle returns a channel that is closed once nothing is running.
func (t *Table) Idle() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy == 0 {
		return closed()
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	return t.idle
}
