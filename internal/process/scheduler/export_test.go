package scheduler

import "time"

// ChangeFilter exports changeFilter.
type ChangeFilter struct{ filter changeFilter[string, bool] }

// IsDue exports changeFilter.isDue.
func (f *ChangeFilter) IsDue(item string, value bool, now, minInterval time.Duration) bool {
	return f.filter.isDue(item, value, now, minInterval)
}

// Prune exports changeFilter.prune.
func (f *ChangeFilter) Prune(now, minInterval time.Duration) { f.filter.prune(now, minInterval) }

// Len returns the number of items that are kept.
func (f *ChangeFilter) Len() int { return len(f.filter.logged) }
