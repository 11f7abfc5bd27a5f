package dispatch

import (
	"time"

	"corianderpass/internal/process/ledger"
)

// endedOrder is an order whose reply is final.
type endedOrder struct {
	id      ledger.DispatchID
	endedAt time.Time
	// bytes is the size of the answer's body.
	bytes int
}

// endedList is a list of ended orders, oldest first.
type endedList struct {
	orders []endedOrder
	// bytes is the total size of the bodies.
	bytes int
}

func (l *endedList) add(o endedOrder) {
	l.orders = append(l.orders, o)
	l.bytes += o.bytes
}

// expired reports whether the oldest order ended at least the retention time ago.
func (l *endedList) expired(now time.Time, retention time.Duration) bool {
	return len(l.orders) > 0 && now.Sub(l.orders[0].endedAt) >= retention
}

// removeOldest removes the oldest order and returns its ID. The list must not be
// empty.
func (l *endedList) removeOldest() ledger.DispatchID {
	oldest := l.orders[0]
	l.orders = l.orders[1:]
	l.bytes -= oldest.bytes
	return oldest.id
}
