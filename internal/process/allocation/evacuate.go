package allocation

import (
	"cmp"
	"slices"
	"time"

	"corianderpass/internal/process/workload"
)

const (
	// leaveMargin is how long before the end of a draining worker its tasks are
	// stopped, so that their ends and checkpoints are still recorded.
	leaveMargin = 700 * time.Millisecond
)

// evacuate stops runs on draining workers that would not end before the worker
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
		left, known := p.History.DrainTimeLeft(w, p.Now)
		if known {
			p.evacuateWorker(w, left)
		}
	}
}

func (p *plan) evacuateWorker(w *workload.Worker, left time.Duration) {
	for _, r := range w.SortedRuns() {
		j, _, t, known := p.State.Task(r)
		if !known || t.Phase != workload.PhaseRunning || p.stopping[r] {
			continue
		}
		rest := p.History.Remaining(j, r, p.Now)
		if rest+leaveMargin > left {
			p.stop(r, t.Run, workload.StopEvacuated)
		}
	}
}
