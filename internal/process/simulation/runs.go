package simulation

import (
	"maps"
	"slices"
	"time"

	"corianderpass/internal/process/allocation"
	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

// order starts the members of a placement after the way to their workers.
func (d *day) order(p workload.Place) {
	d.starts += len(p.Members)
	d.after(d.scenario.Delays.Start.Std(), func() {
		for _, m := range p.Members {
			if _, _, t, known := d.state.Task(m.Task); !known || t.Worker != m.Worker || t.Run != p.Run {
				return
			}
		}
		longest := time.Duration(0)
		works := make([]time.Duration, len(p.Members))
		for i, m := range p.Members {
			works[i] = d.duration(m, p)
			longest = max(longest, works[i])
		}
		gang := d.state.Job(p.Members[0].Task.Job).Steps[p.Members[0].Task.Step].Gang
		for i, m := range p.Members {
			work := works[i]
			if gang {
				work = longest
			}
			d.begin(m, p.Run, work)
		}
	})
}

// duration returns how long the member takes on its worker.
func (d *day) duration(m workload.Member, p workload.Place) time.Duration {
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
	factor := d.speed(m.Worker)
	if step.SameRack && d.racks(p) > 1 {
		factor *= d.scenario.FarFactor
	}
	return time.Duration(float64(work) * factor)
}

func (d *day) racks(p workload.Place) int {
	seen := map[platform.RackID]bool{}
	for _, m := range p.Members {
		seen[d.state.Worker(m.Worker).Rack] = true
	}
	return len(seen)
}

func (d *day) index(life workload.LifeID) int { return slices.Index(d.lives, life) }

// speed returns how many times as long work takes on the worker.
func (d *day) speed(life workload.LifeID) float64 {
	i := d.index(life)
	speed := 1.0
	if n := len(d.scenario.Speeds); n > 0 && i >= 0 {
		speed = d.scenario.Speeds[i%n]
	}
	if d.troubled(FaultSlow, i) {
		speed *= d.faultTimes(FaultSlow)
	}
	return speed
}

// troubled tells whether a fault of the kind holds on the worker now. Faults take
// the workers in turn, beginning with the second.
func (d *day) troubled(kind FaultKind, worker int) bool {
	for _, f := range d.scenario.Faults {
		if f.Kind == kind && d.now-start >= f.At.Std() && d.now-start < f.At.Std()+f.For.Std() && worker >= 1 && worker <= f.Workers {
			return true
		}
	}
	return false
}

func (d *day) faultTimes(kind FaultKind) float64 {
	for _, f := range d.scenario.Faults {
		if f.Kind == kind {
			return max(f.Times, 1)
		}
	}
	return 1
}

// begin lets a run work until its end.
func (d *day) begin(m workload.Member, run workload.Run, work time.Duration) {
	a := d.arrivals[m.Task.Job]
	r := &running{run: run, life: m.Worker, began: d.now}
	d.runs[m.Task] = r
	how := workload.RunDone
	worker := d.index(m.Worker)
	switch part, fails := d.failure(m.Task); {
	case a.hopeless || d.troubled(FaultErrors, worker):
		how = workload.RunFailed
		work = time.Duration(float64(work) * d.random.Float64())
	case fails:
		how = workload.RunFailed
		work = time.Duration(float64(work) * part)
	case d.troubled(FaultHang, worker):
		r.hangs = true
		work += hangTime
	}
	r.ends = d.now + work
	d.after(work+d.scenario.Delays.Record.Std(), func() {
		if d.runs[m.Task] == r && !r.stopped {
			d.end(m.Task, r, how)
		}
	})
}

// hangTime is how much longer a task takes that stands still.
const hangTime = 8 * time.Second

// failure tells whether the next run of a task fails by itself, and after which
// part of its work. A gang fails when a member does.
func (d *day) failure(ref workload.TaskRef) (float64, bool) {
	a := d.arrivals[ref.Job]
	failed := d.state.Job(ref.Job).Failures(ref)
	if !a.spec.Steps[ref.Step].Gang {
		return nth(a.fails[ref.Step][ref.Index], failed)
	}
	for _, fails := range a.fails[ref.Step] {
		if part, fails := nth(fails, failed); fails {
			return part, true
		}
	}
	return 0, false
}

func nth(parts []float64, n int) (float64, bool) {
	if n >= len(parts) {
		return 0, false
	}
	return parts[n], true
}

// progressAfter is the age of a run at which its agent can tell when it ends.
const progressAfter = time.Second

// project tells the policy what agents see of the progress of runs.
func (d *day) project() {
	refs := slices.SortedFunc(maps.Keys(d.runs), workload.TaskRef.Compare)
	for _, ref := range refs {
		r := d.runs[ref]
		if d.now-r.began < progressAfter || r.stopped {
			continue
		}
		left := r.ends - d.now
		if r.hangs {
			left = allocation.NoProgress
		}
		d.memory.SetRemaining(ref, r.run, left, d.now)
	}
}

// end records the end of a run.
func (d *day) end(ref workload.TaskRef, r *running, how workload.RunOutcome) {
	delete(d.runs, ref)
	a := d.arrivals[ref.Job]
	spec := a.spec.Steps[ref.Step]
	ran := d.now - r.began
	e := workload.End{Task: ref, Run: r.run, How: how, Ran: ran}
	if how != workload.RunDone {
		if spec.Checkpointing {
			e.Saved = workload.Checkpoint((d.savedBefore(ref) + ran).String())
		} else if how == workload.RunStopped {
			d.waste += weight(spec.Need, ran)
		}
	}
	d.numbers[r.life]++
	e.Number = d.numbers[r.life]
	d.apply(workload.Record{Ends: &workload.Ends{Life: r.life, Ends: []workload.End{e}}})
	d.stopOrdered()
}

func (d *day) savedBefore(ref workload.TaskRef) time.Duration {
	_, _, t, _ := d.state.Task(ref)
	done, err := time.ParseDuration(string(t.Saved))
	if err != nil {
		return 0
	}
	return done
}

// stopOrdered stops what the state wants to be stopped.
func (d *day) stopOrdered() {
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
				// It has not begun: the agent refuses it.
				refusal := workload.Refuse{Life: life, Task: ref, Run: run}
				d.after(d.scenario.Delays.Record.Std(), func() { d.refuse(refusal) })
				continue
			}
			if r.stopped {
				continue
			}
			r.stopped = true
			d.stops++
			d.after(d.scenario.Delays.Start.Std()+d.scenario.Delays.Stop.Std(), func() {
				if d.runs[ref] == r {
					d.end(ref, r, workload.RunStopped)
				}
			})
		}
	}
}

func (d *day) refuse(r workload.Refuse) {
	if _, _, t, known := d.state.Task(r.Task); known && t.Worker == r.Life && t.Run == r.Run && d.runs[r.Task] == nil {
		d.apply(workload.Record{Refuse: &r})
	}
}

// planFault plans what does not follow from the time alone.
func (d *day) planFault(f Fault) {
	if f.Kind != FaultLose {
		return
	}
	d.after(f.At.Std(), func() {
		for i := 1; i <= f.Workers && i < len(d.lives); i++ {
			life := d.lives[i]
			for ref, r := range d.runs {
				if r.life == life {
					d.waste += weight(d.arrivals[ref.Job].spec.Steps[ref.Step].Need, d.now-r.began)
					delete(d.runs, ref)
				}
			}
			d.apply(workload.Record{Depart: &workload.Depart{Life: life}})
			d.after(f.For.Std(), func() { d.bear(i) })
		}
		d.stopOrdered()
	})
}
