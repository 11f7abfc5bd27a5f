package simulation

import (
	"maps"
	"slices"
	"time"

	"corianderpass/internal/process/allocation"
	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

// orderStarts orders the start of all members of a placement. They start after
// Delays.Start, unless the state has changed the placement of one of them by then. The
// members of a gang all take as long as the slowest one.
func (d *day) orderStarts(p workload.Place) {
	d.starts += len(p.Members)
	d.schedule(d.scenario.Delays.Start.Std(), func() {
		for _, m := range p.Members {
			if _, _, t, known := d.state.Task(m.Task); !known || t.Worker != m.Worker || t.Run != p.Run {
				return
			}
		}
		longest := time.Duration(0)
		durations := make([]time.Duration, len(p.Members))
		for i, m := range p.Members {
			durations[i] = d.runDuration(m, p)
			longest = max(longest, durations[i])
		}
		gang := d.state.Job(p.Members[0].Task.Job).Steps[p.Members[0].Task.Step].Gang
		for i, m := range p.Members {
			duration := durations[i]
			if gang {
				duration = longest
			}
			d.startRun(m, p.Run, duration)
		}
	})
}

// runDuration returns how long the member takes on its worker. A run that resumes from
// a checkpoint does the remaining work and takes 100 ms more.
func (d *day) runDuration(m workload.Member, p workload.Place) time.Duration {
	a := d.arrivals[m.Task.Job]
	step := a.spec.Steps[m.Task.Step]
	work := a.work[m.Task.Step][m.Task.Index]
	if step.Checkpointing {
		if _, _, t, _ := d.state.Task(m.Task); t.Saved != "" {
			if done, err := time.ParseDuration(string(t.Saved)); err == nil {
				work = max(work-done, 0) + 100*time.Millisecond
			}
		}
	}
	factor := d.slowdown(m.Worker)
	if step.SameRack && d.countRacks(p) > 1 {
		factor *= d.scenario.FarFactor
	}
	return time.Duration(float64(work) * factor)
}

// countRacks returns the number of racks that the placement spans.
func (d *day) countRacks(p workload.Place) int {
	racks := map[platform.RackID]bool{}
	for _, m := range p.Members {
		racks[d.state.Worker(m.Worker).Rack] = true
	}
	return len(racks)
}

// workerIndex returns the index of the worker whose latest life has the ID, or -1.
func (d *day) workerIndex(life workload.LifeID) int { return slices.Index(d.lives, life) }

// slowdown returns the factor by which work takes longer on the worker now.
func (d *day) slowdown(life workload.LifeID) float64 {
	i := d.workerIndex(life)
	factor := 1.0
	if n := len(d.scenario.Speeds); n > 0 && i >= 0 {
		factor = d.scenario.Speeds[i%n]
	}
	if d.faultActive(FaultSlow, i) {
		factor *= d.faultFactor(FaultSlow)
	}
	return factor
}

// faultActive reports whether a fault of the kind affects the worker with this index
// now. Faults affect the workers from index 1 on.
func (d *day) faultActive(kind FaultKind, worker int) bool {
	for _, f := range d.scenario.Faults {
		if f.Kind == kind && d.now-clockStart >= f.At.Std() && d.now-clockStart < f.At.Std()+f.For.Std() && worker >= 1 && worker <= f.Workers {
			return true
		}
	}
	return false
}

// faultFactor returns Times of the first fault of the kind, but at least 1. It returns 1
// if there is no such fault.
func (d *day) faultFactor(kind FaultKind) float64 {
	for _, f := range d.scenario.Faults {
		if f.Kind == kind {
			return max(f.Times, 1)
		}
	}
	return 1
}

// startRun starts a run and schedules its end. A fault of kind Errors or Hang, or the
// job itself, may make the run fail or hang.
func (d *day) startRun(m workload.Member, run workload.Run, work time.Duration) {
	a := d.arrivals[m.Task.Job]
	r := &activeRun{run: run, life: m.Worker, startedAt: d.now}
	d.runs[m.Task] = r
	how := workload.RunDone
	worker := d.workerIndex(m.Worker)
	switch part, fails := d.nextFailure(m.Task); {
	case a.alwaysFails || d.faultActive(FaultErrors, worker):
		how = workload.RunFailed
		work = time.Duration(float64(work) * d.random.Float64())
	case fails:
		how = workload.RunFailed
		work = time.Duration(float64(work) * part)
	case d.faultActive(FaultHang, worker):
		r.hanging = true
		work += hangDuration
	}
	r.endsAt = d.now + work
	d.schedule(work+d.scenario.Delays.Record.Std(), func() {
		if d.runs[m.Task] == r && !r.stopping {
			d.endRun(m.Task, r, how)
		}
	})
}

// hangDuration is the time by which a run takes longer if it hangs.
const hangDuration = 8 * time.Second

// nextFailure reports whether the task's next run fails because of its failure points,
// whatever its worker, and returns the part of its work, from 0 to 1, after which it
// fails. All members of a gang fail if one of them does.
func (d *day) nextFailure(ref workload.TaskRef) (float64, bool) {
	a := d.arrivals[ref.Job]
	failures := d.state.Job(ref.Job).Failures(ref)
	if !a.spec.Steps[ref.Step].Gang {
		return failureAt(a.failurePoints[ref.Step][ref.Index], failures)
	}
	for _, points := range a.failurePoints[ref.Step] {
		if part, found := failureAt(points, failures); found {
			return part, true
		}
	}
	return 0, false
}

// failureAt returns the element n of parts and reports whether there is one.
func failureAt(parts []float64, n int) (float64, bool) {
	if n >= len(parts) {
		return 0, false
	}
	return parts[n], true
}

// minProgressAge is the time that a run must have run before an agent can estimate its
// remaining time.
const minProgressAge = time.Second

// reportProgress sets the remaining times of runs in the history, as agents would
// report them.
func (d *day) reportProgress() {
	refs := slices.SortedFunc(maps.Keys(d.runs), workload.TaskRef.Compare)
	for _, ref := range refs {
		r := d.runs[ref]
		if d.now-r.startedAt < minProgressAge || r.stopping || d.arrivals[ref.Job].class.NoProgress {
			continue
		}
		remaining := r.endsAt - d.now
		if r.hanging {
			remaining = allocation.NoProgress
		}
		d.history.SetRemaining(ref, r.run, remaining, d.now)
	}
}

// endRun records the end of a run and counts work that was lost.
func (d *day) endRun(ref workload.TaskRef, r *activeRun, how workload.RunOutcome) {
	delete(d.runs, ref)
	a := d.arrivals[ref.Job]
	spec := a.spec.Steps[ref.Step]
	ran := d.now - r.startedAt
	e := workload.End{Task: ref, Run: r.run, How: how, Ran: ran}
	if how != workload.RunDone {
		if spec.Checkpointing {
			e.Saved = workload.Checkpoint((d.savedProgress(ref) + ran).String())
		} else if how == workload.RunStopped {
			d.wastedWork += coreSeconds(spec.Need, ran)
		}
	}
	d.endNumbers[r.life]++
	e.Number = d.endNumbers[r.life]
	d.apply(workload.Record{Ends: &workload.Ends{Life: r.life, Ends: []workload.End{e}}})
	d.orderStops()
}

// savedProgress returns the progress in the task's checkpoint, 0 without one.
func (d *day) savedProgress(ref workload.TaskRef) time.Duration {
	_, _, t, _ := d.state.Task(ref)
	done, err := time.ParseDuration(string(t.Saved))
	if err != nil {
		return 0
	}
	return done
}

// orderStops orders a stop for every run on a worker whose task is no longer in
// PhaseRunning or whose job is no longer open. A run that has not started yet is refused
// instead.
func (d *day) orderStops() {
	for _, life := range d.lives {
		w := d.state.Worker(life)
		for _, ref := range w.SortedRuns() {
			run := w.Runs[ref]
			j, _, t, _ := d.state.Task(ref)
			if t.Phase == workload.PhaseRunning && j.Open() {
				continue
			}
			r := d.runs[ref]
			if r == nil {
				refusal := workload.Refuse{Life: life, Task: ref, Run: run}
				d.schedule(d.scenario.Delays.Record.Std(), func() { d.recordRefusal(refusal) })
				continue
			}
			if r.stopping {
				continue
			}
			r.stopping = true
			d.stops++
			d.schedule(d.scenario.Delays.Start.Std()+d.scenario.Delays.Stop.Std(), func() {
				if d.runs[ref] == r {
					d.endRun(ref, r, workload.RunStopped)
				}
			})
		}
	}
}

// recordRefusal records a refusal, unless the run has started or was replaced meanwhile.
func (d *day) recordRefusal(r workload.Refuse) {
	if _, _, t, known := d.state.Task(r.Task); known && t.Worker == r.Life && t.Run == r.Run && d.runs[r.Task] == nil {
		d.apply(workload.Record{Refuse: &r})
	}
}

// scheduleLoss schedules a fault of kind Lose. The other kinds need no events: they
// are checked when a run starts or a decision is due.
func (d *day) scheduleLoss(f Fault) {
	if f.Kind != FaultLose {
		return
	}
	d.schedule(f.At.Std(), func() {
		for i := 1; i <= f.Workers && i < len(d.lives); i++ {
			life := d.lives[i]
			for ref, r := range d.runs {
				if r.life == life {
					d.wastedWork += coreSeconds(d.arrivals[ref.Job].spec.Steps[ref.Step].Need, d.now-r.startedAt)
					delete(d.runs, ref)
				}
			}
			d.apply(workload.Record{Depart: &workload.Depart{Life: life}})
			d.schedule(f.For.Std(), func() { d.startLife(i) })
		}
		d.orderStops()
	})
}
