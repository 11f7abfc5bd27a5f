package placement

import (
	"sort"
	"time"

	"corianderpass/internal/process/ledger"
	"corianderpass/pkg/platform"
)

// farAway is the forecast of a job for which no end of running jobs makes room.
const farAway = 365 * 24 * time.Hour

// block makes the job the head of the queue: what is free now and what frees
// first is kept for it, and others may use it only if they end before.
func (d *plan) block(j *ledger.Job) {
	d.blocked = true
	gang, at := d.forecast(j)
	d.shadow = at
	d.view.keep(gang)
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
	trial := d.view.clone()
	s := shapeOf(j.Spec)
	for _, n := range probes(len(running)) {
		trial.freeUpTo(running, n)
		if gang := trial.pick(s, loose); gang != nil {
			return gang, ends[running[n-1].ID]
		}
	}
	return nil, d.now.Add(farAway)
}

// probes returns the numbers of ended jobs after which room is looked for: each
// of the first few, then ever rarer ones, so that a long queue stays cheap.
func probes(count int) []int {
	var at []int
	for n := 1; n < count; n += max(1, n/4) {
		at = append(at, n)
	}
	if count > 0 {
		at = append(at, count)
	}
	return at
}

// expectedEnd is when a running job is expected to end; one that is overdue is
// expected to take as long again as it has run.
func (d *plan) expectedEnd(r *ledger.Job) time.Time {
	since := r.Started
	if r.Phase == ledger.PhaseReserved || since.Before(r.Placed) {
		since = r.Placed
	}
	end := since.Add(d.runTime(r))
	if end.Before(d.now) {
		end = d.now.Add(d.now.Sub(since))
	}
	return end
}

// trialView is a copy of a view in which running jobs end one by one.
type trialView struct {
	view
	freed int
}

func (v *view) clone() *trialView {
	c := &trialView{view: view{byID: make(map[platform.WorkerID]*site, len(v.sites))}}
	for _, t := range v.sites {
		copied := *t
		c.sites = append(c.sites, &copied)
		c.byID[t.id] = &copied
	}
	return c
}

// freeUpTo ends the first n jobs.
func (c *trialView) freeUpTo(running []*ledger.Job, n int) {
	for ; c.freed < n; c.freed++ {
		r := running[c.freed]
		for _, a := range r.Assignments {
			if t := c.byID[a.Worker]; t != nil {
				t.free |= a.Accelerators
				t.cores += r.Cores
				t.memory += r.Memory
			}
		}
	}
}
