package placement

import (
	"sort"
	"time"

	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

// unknownStartDelay is the forecast delay of a job that does not fit even after all
// running jobs have ended.
const unknownStartDelay = 365 * 24 * time.Hour

// reserveForHead makes the job the blocked head of the queue. The accelerators on which
// the head is expected to start are set aside; a job that is not urgent may use them only
// if it is expected to end before that start.
func (d *plan) reserveForHead(j *ledger.Job) {
	d.headBlocked = true
	gang, start := d.forecast(j)
	d.shadowTime = start
	d.view.setAsideFor(gang)
}

// forecast returns where and when the job could start if all running jobs ended at their
// expected times. The assignments are nil if the job does not fit even after all of them
// have ended.
func (d *plan) forecast(j *ledger.Job) ([]ledger.Assignment, time.Time) {
	running := d.state.Active(func(r *ledger.Job) bool { return r.HoldsAccelerators() })
	ends := make(map[ledger.JobID]time.Time, len(running))
	for _, r := range running {
		ends[r.ID] = d.expectedEnd(r)
	}
	sort.SliceStable(running, func(a, b int) bool { return ends[running[a].ID].Before(ends[running[b].ID]) })
	projected := d.view.clone()
	s := shapeOf(j.Spec)
	for _, n := range endCounts(len(running)) {
		projected.endFirst(running, n)
		if gang := projected.findGang(s, freeAccelerators); gang != nil {
			return gang, ends[running[n-1].ID]
		}
	}
	return nil, d.now.Add(unknownStartDelay)
}

// endCounts returns the numbers of ended jobs, up to count, after which forecast searches
// for places: every number at first, then at growing distances, which limits the number
// of searches when many jobs run.
func endCounts(count int) []int {
	var counts []int
	for n := 1; n < count; n += max(1, n/4) {
		counts = append(counts, n)
	}
	if count > 0 {
		counts = append(counts, count)
	}
	return counts
}

// expectedEnd returns when a placed job is expected to end. An overdue job is expected
// to run for as long again as it has run so far.
func (d *plan) expectedEnd(r *ledger.Job) time.Time {
	since := r.Started
	if r.Phase == ledger.PhaseReserved || since.Before(r.Placed) {
		since = r.Placed
	}
	end := since.Add(d.remainingRunTime(r))
	if end.Before(d.now) {
		end = d.now.Add(d.now.Sub(since))
	}
	return end
}

// projectedView is a copy of a view in which the capacity of running jobs becomes free,
// one job after the other.
type projectedView struct {
	view
	// ended is the number of jobs whose capacity is free so far.
	ended int
}

func (v *view) clone() *projectedView {
	c := &projectedView{view: view{byID: make(map[platform.WorkerID]*workerView, len(v.workers))}}
	for _, w := range v.workers {
		copied := *w
		c.workers = append(c.workers, &copied)
		c.byID[w.id] = &copied
	}
	return c
}

// endFirst makes the capacity of the first n running jobs free. Every call must pass the
// same running jobs and at least the n of the previous call.
func (c *projectedView) endFirst(running []*ledger.Job, n int) {
	for ; c.ended < n; c.ended++ {
		r := running[c.ended]
		for _, a := range r.Assignments {
			if w := c.byID[a.Worker]; w != nil {
				w.free |= a.Accelerators
				w.cores += r.Cores
				w.memory += r.Memory
			}
		}
	}
}
