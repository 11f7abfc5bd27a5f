package allocation

import (
	"cmp"
	"slices"
	"time"

	"corianderpass/internal/process/workload"
)

const (
	// minMigrationGain is the ratio of a run's remaining time to the time of a new run on
	// another worker, migrationDelay included, above which the run is moved.
	minMigrationGain = 1.6
	// migrationDelay is the expected time from the stop order to the start on another worker.
	migrationDelay = 600 * time.Millisecond
	// maxMigrations is how often a task may be moved. Tasks that seem stalled on every worker
	// would otherwise be moved again and again without ever ending.
	maxMigrations = 1
)

// migrate stops runs on slow workers if a new run on another worker is expected to end sooner.
func (p *plan) migrate() {
	var slow []*workload.Worker
	for _, w := range p.State.Workers() {
		if !w.Gone && p.History.isSlow(w) {
			slow = append(slow, w)
		}
	}
	slices.SortFunc(slow, func(a, b *workload.Worker) int { return cmp.Compare(a.Life, b.Life) })
	for _, w := range slow {
		p.migrateFrom(w)
	}
}

// migrateFrom stops the runs on w that would end sooner on other workers that have capacity
// now, and reserves that capacity for the new runs. It does not move long-running tasks, nor
// tasks that were moved maxMigrations times.
func (p *plan) migrateFrom(w *workload.Worker) {
	for _, r := range w.SortedRuns() {
		j, step, t, known := p.State.Task(r)
		if !known || t.Phase != workload.PhaseRunning || p.stopping[r] || !j.Open() || t.Moved >= maxMigrations || j.Steps[r.Step].LongRunning {
			continue
		}
		if !p.endsSoonerElsewhere(j, r) {
			continue
		}
		u := p.newUnit(j, r.Step, r.Occurrence, membersOf(j, r, step), t.Run)
		if assignments := p.findAssignments(u, capacityNow); assignments != nil {
			p.stop(r, t.Run, workload.StopStalled)
			p.reserve(u, assignments)
		}
	}
}

// endsSoonerElsewhere reports whether the remaining time of the run is more than
// minMigrationGain times the time of a new run on another worker.
func (p *plan) endsSoonerElsewhere(j *workload.Job, r workload.TaskRef) bool {
	remaining := p.History.Remaining(j, r, p.Now)
	newRunTime := p.History.ExpectedDuration(j, r.Step) + migrationDelay
	return float64(remaining) > minMigrationGain*float64(newRunTime)
}

// membersOf returns the tasks that run together with the given one: its gang, or only itself.
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
