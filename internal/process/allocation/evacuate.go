package allocation

import (
	"cmp"
	"slices"
	"time"

	"corianderpass/internal/process/workload"
)

const (
	// evacuationMargin is how long before a draining worker leaves its runs are stopped, so
	// that their ends and checkpoints are still recorded.
	evacuationMargin = 700 * time.Millisecond
)

// evacuate stops the runs on draining workers that are not expected to end before the worker
// leaves.
func (p *plan) evacuate() {
	var draining []*workload.Worker
	for _, w := range p.State.Workers() {
		if w.Draining && !w.Gone {
			draining = append(draining, w)
		}
	}
	slices.SortFunc(draining, func(a, b *workload.Worker) int { return cmp.Compare(a.Life, b.Life) })
	for _, w := range draining {
		timeLeft, known := p.History.DrainTimeLeft(w, p.Now)
		if known {
			p.evacuateWorker(w, timeLeft)
		}
	}
}

// evacuateWorker stops the runs on w that are not expected to end at least evacuationMargin
// before w leaves. timeLeft is the minimum time until w leaves.
func (p *plan) evacuateWorker(w *workload.Worker, timeLeft time.Duration) {
	for _, r := range w.SortedRuns() {
		j, _, t, known := p.State.Task(r)
		if !known || t.Phase != workload.PhaseRunning || p.stopping[r] {
			continue
		}
		remaining := p.History.Remaining(j, r, p.Now)
		if remaining+evacuationMargin > timeLeft {
			p.stop(r, t.Run, workload.StopEvacuated)
		}
	}
}
