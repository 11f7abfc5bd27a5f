package timeline

import (
	"cmp"
	"slices"
	"time"
)

// Cause is why a stage of a job took as long as it did.
type Cause string

// The causes. Runs that end without success have the cause of that end instead, such as "Failed" or "Evacuated".
const (
	// CauseWork means that the run did the work that counts.
	CauseWork Cause = "work"
	// CauseLog means that the log took long to accept or return a record.
	CauseLog Cause = "log"
	// CauseOutage means that an entry found the log unavailable meanwhile.
	CauseOutage Cause = "log unavailable"
	// CauseRefusals means that calls of the caller were refused before one was accepted.
	CauseRefusals Cause = "calls refused"
	// CauseLeader means that there was no leader meanwhile.
	CauseLeader Cause = "no leader"
	// CauseRoom means that the leader expected the job to be late: all workers were busy.
	CauseRoom Cause = "no room"
	// CauseHeldBack means that room was kept for more urgent jobs.
	CauseHeldBack Cause = "held back"
	// CauseFailures means that the last attempt waited for workers on which the task had not failed.
	CauseFailures Cause = "failed before"
	// CauseDecision means that a decision was due, and none of the other causes is known.
	CauseDecision Cause = "decision"
	// CauseOrder means that the agents took that long to start the run.
	CauseOrder Cause = "order"
)

// Stage is a part of the time of a job.
type Stage struct {
	Name     string
	From, To time.Time
	Cause    Cause
}

// Length returns the duration of the stage.
func (s Stage) Length() time.Duration { return s.To.Sub(s.From) }

// overlaps reports whether any of the intervals overlaps the time. One that has not ended lasts for ever.
func overlaps(all []interval, from, to time.Time) bool {
	return slices.ContainsFunc(all, func(i interval) bool { return i.from.Before(to) && (i.to.IsZero() || i.to.After(from)) })
}

// Stages returns the stages of a job on the way to its end, nil if the job is unknown. Where several tasks run at
// the same time, they are those of the task that ended its step.
func (a *Account) Stages(id string) []Stage {
	j := a.jobs[id]
	if j == nil {
		return nil
	}
	return a.stages(j)
}

func (a *Account) stages(j *job) []Stage {
	var all []Stage
	at := j.calledAt
	add := func(name string, to time.Time, cause Cause) {
		if at.IsZero() || to.IsZero() {
			return
		}
		if to.After(at) {
			all = append(all, Stage{Name: name, From: at, To: to, Cause: cause})
			at = to
		}
	}
	add("accepted", j.acceptedAt, a.acceptCause(j))
	for step := range max(len(j.steps), j.lastStep()+1) {
		for _, r := range j.criticalRuns(step) {
			add("decided", r.placedAt, a.waitCause(j, at, r.placedAt))
			add("started", r.startedAt, orderCause(r))
			end := r.endedAt
			if r.ran > 0 && !r.startedAt.IsZero() && r.startedAt.Add(r.ran).Before(end) {
				end = r.startedAt.Add(r.ran)
			}
			add("run", end, r.endCause())
			add("end recorded", r.endedAt, a.logCause(end, r.endedAt))
		}
	}
	add("shown", j.endedAt, a.logCause(at, j.endedAt))
	return all
}

// lastStep returns the number of the last step with a run, -1 if there is none.
func (j *job) lastStep() int {
	last := -1
	for key := range j.runs {
		last = max(last, key.step)
	}
	return last
}

func (a *Account) acceptCause(j *job) Cause {
	switch {
	case overlaps(a.outages, j.calledAt, j.acceptedAt):
		return CauseOutage
	case j.refusals > 0:
		return CauseRefusals
	}
	return CauseLog
}

func (a *Account) logCause(from, to time.Time) Cause {
	if overlaps(a.outages, from, to) {
		return CauseOutage
	}
	return CauseLog
}

// waitCause returns why the job waited for a placement.
func (a *Account) waitCause(j *job, from, to time.Time) Cause {
	within := func(at time.Time) bool { return !at.IsZero() && !at.Before(from) && at.Before(to) }
	switch {
	case overlaps(a.leaderless, from, to):
		return CauseLeader
	case overlaps(a.outages, from, to):
		return CauseOutage
	case within(j.heldBackAt):
		return CauseHeldBack
	case within(j.failureWaitAt):
		return CauseFailures
	case within(j.delayedAt):
		return CauseRoom
	}
	return CauseDecision
}

func orderCause(r *run) Cause {
	if r.refused != "" {
		return Cause("refused: " + r.refused)
	}
	return CauseOrder
}

// endCause returns CauseWork for a run that has succeeded, otherwise why it ended.
func (r *run) endCause() Cause {
	switch {
	case r.how == "Done":
		return CauseWork
	case r.cause != "":
		return Cause(r.cause)
	case r.refused != "":
		return Cause("refused: " + r.refused)
	case r.how == "":
		return "unknown"
	}
	return Cause(r.how)
}

// candidate is a task of a step that may have ended it.
type candidate struct {
	index int
	// doneAt is when a run succeeded, zero before that; runs is the number of runs.
	doneAt time.Time
	runs   int
}

// endsStepRatherThan reports whether the task, and not the other one, has ended the step.
func (c candidate) endsStepRatherThan(other candidate, gang bool) bool {
	switch {
	case c.doneAt.IsZero() && other.doneAt.IsZero(), c.doneAt.Equal(other.doneAt):
		return c.runs > other.runs || c.runs == other.runs && c.index < other.index
	case c.doneAt.IsZero():
		return !gang
	case other.doneAt.IsZero():
		return gang
	}
	return c.doneAt.Before(other.doneAt) == gang
}

// criticalRuns returns the runs of the task that ended the step, in order: of a gang the first that succeeded, as
// its end is that of all; otherwise the last one. Before the step has ended, the task with the most runs counts.
func (j *job) criticalRuns(step int) []*run {
	gang := step < len(j.steps) && j.steps[step].gang
	byIndex := map[int]candidate{}
	for key, r := range j.runs {
		if key.step != step {
			continue
		}
		c := byIndex[key.index]
		c.index, c.runs = key.index, max(c.runs, key.number)
		if r.how == "Done" {
			c.doneAt = r.endedAt
		}
		byIndex[key.index] = c
	}
	var critical *candidate
	for _, c := range byIndex {
		if critical == nil || c.endsStepRatherThan(*critical, gang) {
			critical = &c
		}
	}
	if critical == nil {
		return nil
	}
	var numbers []int
	for key := range j.runs {
		if key.step == step && key.index == critical.index {
			numbers = append(numbers, key.number)
		}
	}
	slices.Sort(numbers)
	var runs []*run
	for _, n := range numbers {
		runs = append(runs, j.runs[runKey{step, critical.index, n}])
	}
	return runs
}

// total returns the time from the first call to the end of the job.
func (j *job) total() (time.Duration, bool) {
	if j.calledAt.IsZero() || j.endedAt.IsZero() {
		return 0, false
	}
	return j.endedAt.Sub(j.calledAt), true
}

// isLate reports whether a completed job took longer than its objective: stretch times the sum of the longest
// successful runs of its steps, and the target latency. For steps that run side by side, the sum is too high.
func (j *job) isLate() bool {
	total, ok := j.total()
	if !ok || j.stretch == 0 {
		return false
	}
	longest := map[int]time.Duration{}
	for key, r := range j.runs {
		if r.how == "Done" {
			longest[key.step] = max(longest[key.step], r.length())
		}
	}
	var chain time.Duration
	for _, d := range longest {
		chain += d
	}
	return total > time.Duration(j.stretch*float64(chain))+j.target
}

// length returns how long the run has worked, 0 if unknown.
func (r *run) length() time.Duration {
	if r.ran > 0 || r.startedAt.IsZero() || r.endedAt.IsZero() {
		return r.ran
	}
	return max(r.endedAt.Sub(r.startedAt), 0)
}

// mainCause returns the cause that took the most of the time, without that of the work itself.
func (a *Account) mainCause(j *job) Cause {
	sums := map[Cause]time.Duration{}
	for _, s := range a.stages(j) {
		if s.Cause != CauseWork {
			sums[s.Cause] += s.Length()
		}
	}
	return largest(sums)
}

// largest returns the key with the largest value, of equal ones the first in order; the zero value if there is none.
func largest[K cmp.Ordered, V cmp.Ordered](m map[K]V) K {
	var best K
	found := false
	for k, v := range m {
		if !found || v > m[best] || v == m[best] && k < best {
			best, found = k, true
		}
	}
	return best
}
