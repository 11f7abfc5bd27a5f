package allocation

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// usableShare is the share of the capacity that is assumed to do useful work. The rest is lost to
// fragmentation, stops and runs that fail.
const usableShare = 0.6

// setOutlooks sets the outlooks of all occurrences of one service. It keeps on time what fits,
// then fits the others beside these within their later deadlines.
//
// The pattern that this answers is overload: the work of all jobs cannot be done within their
// objectives. If the jobs with the least slack went first, then all capacity would go to jobs that
// are late already, and the others would become late in turn. Instead, as many jobs are kept on
// time as fit, and those with the least benefit for their work become late or are missed.
func setOutlooks(forecasts []*forecast) {
	var inTime []*forecast
	for _, f := range forecasts {
		f.outlook = outlookLate
		if f.timeToEnd <= f.deadline {
			f.outlook = outlookOnTime
			inTime = append(inTime, f)
		}
	}
	for _, f := range selectExcess(inTime, func(f *forecast) bool { return f.guaranteed }) {
		f.outlook = outlookLate
	}
	for _, f := range selectExcess(forecasts, func(f *forecast) bool { return f.guaranteed || f.outlook == outlookOnTime }) {
		f.outlook = outlookMissed
	}
}

// currentDeadline returns the deadline that the outlook refers to.
func (f *forecast) currentDeadline() time.Duration {
	if f.outlook == outlookOnTime {
		return f.deadline
	}
	return f.lateDeadline
}

// selectExcess returns the occurrences without which the others end by their current deadlines, on
// usableShare of the capacity. In the order of deadlines, whenever the work so far does not fit, it
// selects the occurrence of the lowest density among those so far. It selects none for which
// keep returns true.
func selectExcess(forecasts []*forecast, keep func(*forecast) bool) []*forecast {
	sorted := slices.Clone(forecasts)
	slices.SortFunc(sorted, func(a, b *forecast) int {
		return cmp.Or(cmp.Compare(a.currentDeadline(), b.currentDeadline()), a.first.Compare(b.first))
	})
	var excess []*forecast
	var candidates densityHeap
	work := 0.0
	for _, f := range sorted {
		work += f.work
		if !keep(f) {
			heap.Push(&candidates, f)
		}
		for work > usableShare*max(f.currentDeadline().Seconds(), 0) && len(candidates) > 0 {
			dropped := heap.Pop(&candidates).(*forecast)
			work -= dropped.work
			excess = append(excess, dropped)
		}
	}
	return excess
}

// densityHeap is a heap of occurrences; that of the lowest density is first.
type densityHeap []*forecast

func (h densityHeap) Len() int { return len(h) }
func (h densityHeap) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(h[a].density(), h[b].density()), h[b].first.Compare(h[a].first)) < 0
}
func (h densityHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *densityHeap) Push(x any)   { *h = append(*h, x.(*forecast)) }
func (h *densityHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
