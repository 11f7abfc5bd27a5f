package dispatch

import (
	"time"

	"corianderpass/internal/process/ledger"
)

// endedOrder is an order whose reply is final.
type endedOrder struct {
	id    ledger.DispatchID
	at    time.Time
	bytes int
}

// endedList has ended orders, oldest first.
type endedList struct {
	orders []endedOrder
	// bytes is the sum over the orders.
	bytes int
}

func (l *endedList) add(o endedOrder) {
	l.orders = append(l.orders, o)
	l.bytes += o.bytes
}

// due tells whether the oldest order is older than the memory.
func (l *endedList) due(now time.Time, memory time.Duration) bool {
	return len(l.orders) > 0 && now.Sub(l.orders[0].at) >= memory
}

// remove takes the oldest order out.
func (l *endedList) remove() ledger.DispatchID {
	oldest := l.orders[0]
	l.orders = l.orders[1:]
	l.bytes -= oldest.bytes
	return oldest.id
}
