package scheduler

import "time"

// changeFilter selects what to log of a condition that decisions report again and again. An item is due when
// it is new or its value has changed, but not within minInterval of its last log line. The zero value
// is ready to use. It is not safe for concurrent use.
type changeFilter[K, V comparable] struct {
	// logged has what was last logged of each item. Items that are no longer reported are kept for
	// minInterval, so that one that comes and goes does not flood the log.
	logged map[K]loggedValue[V]
}

// loggedValue is a logged value, the time of its log line, and when the item was last reported.
type loggedValue[V comparable] struct {
	value                V
	loggedAt, reportedAt time.Duration
}

// isDue reports whether the item is to be logged with the value now. If so, it counts as logged.
func (f *changeFilter[K, V]) isDue(item K, value V, now, minInterval time.Duration) bool {
	if f.logged == nil {
		f.logged = map[K]loggedValue[V]{}
	}
	last, known := f.logged[item]
	if known && (last.value == value || now-last.loggedAt < minInterval) {
		last.reportedAt = now
		f.logged[item] = last
		return false
	}
	f.logged[item] = loggedValue[V]{value, now, now}
	return true
}

// prune forgets the items that were not reported at the time now and not logged for minInterval.
func (f *changeFilter[K, V]) prune(now, minInterval time.Duration) {
	for item, last := range f.logged {
		if last.reportedAt < now && now-last.loggedAt >= minInterval {
			delete(f.logged, item)
		}
	}
}
