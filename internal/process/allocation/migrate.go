package allocation

import (
	"cmp"
	"slices"
	"time"

	"corianderpass/internal/process/workload"
)

const (
	// migrationGain is how many times as long as elsewhere a run must take where it
	// is before it is moved.
	migrationGain = 1.6
	// migrationCost is the time from the order to stop to the start elsewhere.
	migrationCost = 600 * time.Millisecond
	// migrations is how often a task may be moved: where tasks seem to stand still
	// everywhere, moving them about would end none.
	migrations = 1
)

// migrate stops runs on slow workers that end sooner if they start anew elsewhere.
func (p *plan) migrate() {
	var slow []*workload.Worker
	for _, w := range p.State.Workers() {
		if !w.Gone && p.History.slow(w) {
			slow = append(slow, w)
		}
	}
	slices.SortFunc(slow, func(a, b *workload.Worker) int { return cmp.Compare(a.Life, b.Life) })
	for _, w := range slow {
		p.migrateFrom(w)
	}
}

func (p *plan) migrateFrom(w *workload.Worker) {
	for _, r := range w.SortedRuns() {
		j, step, t, known := p.State.Task(r)
		if !known || t.Phase != workload.PhaseRunning || p.stopping[r] || !j.Open() || t.Moved >= migrations || j.Steps[r.Step].LongRunning {
			continue
		}
		if !p.endsSoonerElsewhere(j, r) {
			continue
		}
		u := p.newUnit(j, r.Step, r.Occurrence, membersOf(j, r, step), t.Run)
		if sites := p.find(u, freeNow); sites != nil {
			p.stop(r, t.Run, workload.StopStalled)
			p.reserve(u, sites)
		}
	}
}

// endsSoonerElsewhere compares what is left here with a new start.
func (p *plan) endsSoonerElsewhere(j *workload.Job, r workload.TaskRef) bool {
	here := p.History.Remaining(j, r, p.Now)
	anew := p.History.ExpectedDuration(j, r.Step) + migrationCost
	return float64(here) > migrationGain*float64(anew)
}

// membersOf returns the tasks that run together with the given one.
func membersOf(j *workload.Job, r workload.TaskRef, step *workload.Step) []workload.TaskRef {
	if !j.Steps[r.Step].Gang {
		return []workload.TaskRef{r}
	}
	members := make([]workload.TaskRef, 0, len(step.Tasks))
	for k := range step.Tasks {
		members = append(members, j.Ref(r.Occurrence, r.Step, k))
	}
	return members
}
