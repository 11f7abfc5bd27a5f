package placement

import (
	"sort"
	"time"

	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

// unknownStartDelay is the forecast of a job for which no end of running jobs makes room.
const unknownStartDelay = 365 * 24 * time.Hour

// reserveForHead makes the job the head of the queue: what is free now and what frees
// first is kept for it, and others may use it only if they end before.
func (d *plan) reserveForHead(j *ledger.Job) {
	d.headBlocked = true
	gang, at := d.forecast(j)
	d.shadowTime = at
	d.view.setAsideFor(gang)
}

// forecast tells where and when the job could start if running jobs ended as
// expected. The gang is nil if they never make room.
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

// endCounts returns the numbers of ended jobs after which room is looked for: each
// of the first few, then ever rarer ones, so that a long queue stays cheap.
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

// expectedEnd is when a running job is expected to end; one that is overdue is
// expected to take as long again as it has run.
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

// projectedView is a copy of a view in which running jobs end one by one.
type projectedView struct {
	view
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

// endFirst ends the first n jobs.
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
