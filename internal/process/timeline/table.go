package timeline

import (
	"cmp"
	"maps"
	"slices"
)

// Queue is the account of the jobs of one queue.
type Queue struct {
	Name string
	// Jobs counts the jobs that were submitted, the other fields those that had that end. Open ones have none
	// in the logs.
	Jobs, InTime, Late, Failed, Cancelled, Refused, Open int
	// LateBy counts the late jobs by the cause that took the most of their time.
	LateBy map[Cause]int
}

// Waste is work that was thrown away.
type Waste struct {
	Cause Cause
	Runs  int
	// CoreSeconds and AcceleratorSeconds are those reserved while the runs went on. Work that a checkpoint has
	// saved is included.
	CoreSeconds, AcceleratorSeconds float64
}

// Queues returns the accounts of all queues by name.
func (a *Account) Queues() []Queue {
	byName := map[string]*Queue{}
	for _, j := range a.jobs {
		if j.calledAt.IsZero() && j.endedAt.IsZero() {
			continue
		}
		q := byName[j.queue]
		if q == nil {
			q = &Queue{Name: j.queue, LateBy: map[Cause]int{}}
			byName[j.queue] = q
		}
		q.Jobs++
		switch {
		case j.outcome == "Completed" && j.isLate():
			q.Late++
			q.LateBy[a.mainCause(j)]++
		case j.outcome == "Completed":
			q.InTime++
		case j.outcome == "Failed":
			q.Failed++
		case j.outcome == "Cancelled":
			q.Cancelled++
		case j.acceptedAt.IsZero():
			q.Refused++
		default:
			q.Open++
		}
	}
	var all []Queue
	for _, q := range slices.SortedFunc(maps.Values(byName), func(x, y *Queue) int { return cmp.Compare(x.Name, y.Name) }) {
		all = append(all, *q)
	}
	return all
}

// Wasted returns the work that was thrown away by cause, the largest first.
func (a *Account) Wasted() []Waste {
	byCause := map[Cause]*Waste{}
	for _, j := range a.jobs {
		for key, r := range j.runs {
			cause := r.endCause()
			if cause == CauseWork || r.endedAt.IsZero() || r.startedAt.IsZero() || key.step >= len(j.steps) {
				continue
			}
			w := byCause[cause]
			if w == nil {
				w = &Waste{Cause: cause}
				byCause[cause] = w
			}
			shape := j.steps[key.step]
			w.Runs++
			w.CoreSeconds += shape.cores * r.length().Seconds()
			w.AcceleratorSeconds += float64(shape.accelerators) * r.length().Seconds()
		}
	}
	var all []Waste
	for _, w := range byCause {
		all = append(all, *w)
	}
	slices.SortFunc(all, func(x, y Waste) int {
		return cmp.Or(cmp.Compare(y.CoreSeconds, x.CoreSeconds), cmp.Compare(x.Cause, y.Cause))
	})
	return all
}
