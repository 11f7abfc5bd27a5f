package placement

import (
	"sort"
	"time"

	"corianderpass/internal/process/ledger"
)

// order sorts the waiting jobs: urgent jobs first, then jobs that have waited for the
// ageing time or longer, then all others. Aged jobs are sorted by submission, the oldest
// first, and jobs that are not aged by score, the highest first.
func (d *plan) order(waiting []*ledger.Job) {
	type rank struct {
		urgent, aged bool
		score        float64
	}
	ranks := make(map[ledger.JobID]rank, len(waiting))
	ageing := d.state.Bundle().Sharing.AgeingTime.Std()
	for _, j := range waiting {
		wait := d.now.Sub(j.Submitted)
		ranks[j.ID] = rank{
			urgent: j.Class == ledger.ClassUrgent,
			aged:   !d.policy.NoAgeing && wait >= ageing,
			score:  d.score(j, wait),
		}
	}
	sort.SliceStable(waiting, func(a, b int) bool {
		first, second := ranks[waiting[a].ID], ranks[waiting[b].ID]
		switch {
		case first.urgent != second.urgent:
			return first.urgent
		case first.aged != second.aged:
			return first.aged
		case first.aged:
			return waiting[a].Submitted.Before(waiting[b].Submitted)
		}
		return first.score > second.score
	})
}

// score returns the response ratio of the job, (wait + run time) / run time, times the
// share of its organisation, divided by the number of accelerators that the organisation
// would hold with the job. Jobs of unknown organisations have score 0.
func (d *plan) score(j *ledger.Job, wait time.Duration) float64 {
	runTime := max(time.Second, d.remainingRunTime(j))
	ratio := 1.0
	if !d.policy.NoAgeing {
		ratio += float64(wait) / float64(runTime)
	}
	o, known := d.state.Bundle().Organisation(j.ID.Organisation())
	if !known {
		return 0
	}
	return ratio * float64(o.Share) / float64(d.state.HeldAccelerators(o.Name)+j.TotalAccelerators())
}

// remainingRunTime returns how long the job is expected to run from its next start on; at
// least 0.
func (d *plan) remainingRunTime(j *ledger.Job) time.Duration {
	if d.policy.NoCorrection {
		return max(0, j.RunTime-j.Progress)
	}
	return d.state.ExpectedRemaining(j)
}
