package allocation

import (
	"math"
	"time"

	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
)

const (
	// quarantineFailures is the number of different jobs that must fail in a row on a worker
	// before it is quarantined.
	quarantineFailures = 2
	// quarantineTime is how long a quarantined worker gets no tasks. After that it gets one
	// task as a test.
	quarantineTime = 4 * time.Second
)

// History is what one process has observed of jobs, runs and workers. All its times are on the
// process's monotonic clock. Every entry keeps a History, since every entry may become the
// leader. It is not stored: a new process starts with an empty one and decides less well for a
// while. The zero value is ready to use. It is not safe for concurrent use.
type History struct {
	// jobs has the time at which Update first found each open job. For a job that the first
	// Update found, it is the time of submission instead.
	jobs map[workload.JobID]time.Duration
	// busyAt has the time of the last Update that found a run of each open job that has had one.
	busyAt map[workload.JobID]time.Duration
	// idleSince has the time of the Update that found that the run of a long-running task had ended, for the tasks of
	// open jobs that have no run since.
	idleSince map[workload.TaskRef]time.Duration
	// arrivals are the jobs submitted within the last demandWindow.
	arrivals []arrival
	// runs has the current run of each task that has one, workers all workers in the state, and
	// durationModels the model of each queue.
	runs           map[workload.TaskRef]runHistory
	workers        map[workload.LifeID]*workerHistory
	durationModels map[bundle.QueueName]*durationModel
	// steps has the durations observed for each step of an open job.
	steps map[stepRef]*stepDurations
	// failures has the workers on which each task or gang has failed, with the time of the latest failure
	// there, by failureKey.
	failures map[workload.TaskRef]map[workload.LifeID]time.Duration
}

// runHistory is what was observed of the current run of a task.
type runHistory struct {
	run    workload.Run
	worker workload.LifeID
	// startedAt is the time at which Update first found the run. For a run that the first
	// Update found, it is the time at which the run was ordered instead.
	startedAt time.Duration
	// endsAt is when the run is expected to end by its progress. It is valid only if projected
	// is true.
	endsAt    time.Duration
	projected bool
	// stalled is true while the run makes no progress.
	stalled bool
	// resumed is true if the run started from a checkpoint, so that it takes less time than a
	// whole run.
	resumed bool
}

// NoProgress is the remaining time to pass to SetRemaining for a run that makes no progress.
const NoProgress = time.Duration(math.MaxInt64)

// SetRemaining records how long the run is expected to take from now on, or NoProgress. It has
// no effect if the run is not the current one of the task.
func (h *History) SetRemaining(r workload.TaskRef, run workload.Run, remaining, now time.Duration) {
	observed, known := h.runs[r]
	if !known || observed.run != run {
		return
	}
	observed.stalled = remaining == NoProgress
	observed.projected = !observed.stalled
	if observed.projected {
		observed.endsAt = now + remaining
		if !observed.resumed && observed.endsAt > observed.startedAt {
			h.recordDuration(r, observed.worker, observed.endsAt-observed.startedAt)
		}
	}
	h.runs[r] = observed
}

// longRunningRemaining is the remaining time of tasks that run until their job is cancelled.
const longRunningRemaining = 1000 * time.Hour

// Remaining returns how long the current run of a task is expected to take from now on; at
// least 0.
func (h *History) Remaining(j *workload.Job, r workload.TaskRef, now time.Duration) time.Duration {
	if j.Steps[r.Step].LongRunning {
		return longRunningRemaining
	}
	observed := h.runs[r]
	if observed.projected {
		return max(observed.endsAt-now, 0)
	}
	if observed.stalled {
		return h.expectedRemaining(j, r, now) + stallDuration
	}
	return h.expectedRemaining(j, r, now)
}

// workerHistory is what was observed of one worker.
type workerHistory struct {
	// drainingSince is when Update first found the worker draining. It is valid only if draining
	// is true.
	drainingSince time.Duration
	draining      bool
	// quarantinedUntil is when the quarantine allows a test task. It is valid only if
	// quarantined is true.
	quarantinedUntil time.Duration
	quarantined      bool
	// failureStreak is the worker's FailureStreak at the previous Update. Quarantine starts only
	// when the streak grows.
	failureStreak int
	// lastSlowAt is the time of the last Update at which the worker met the condition for being
	// slow. It is valid only if slow is true.
	lastSlowAt time.Duration
	slow       bool
}

const (
	// slowFactor is the ratio of projected to expected durations of a worker's runs above which
	// the worker counts as slow. Estimates are often wrong by a factor of two.
	slowFactor = 3
	// speedPriorRuns is the number of runs of normal speed that are added to the average speed
	// of each worker's runs, since a single estimate is often wrong.
	speedPriorRuns = 0.5
	// estimatedRunWeight is the weight in that average of a run whose expected duration is
	// derived from an estimate. A run of a step with a known median duration has weight 1.
	estimatedRunWeight = 0.5
	// slowHold is how long a worker gets no new tasks after it was last slow.
	slowHold = 3 * time.Second
	// stallDuration is how much longer a stalled run is expected to make no progress.
	stallDuration = 5 * time.Second
)

// updateSpeeds marks workers as slow or not. A worker is slow if one of its runs is stalled, or
// if the weighted geometric mean of the ratios of projected to expected durations of its runs is
// above slowFactor. It stays marked as slow for slowHold.
func (h *History) updateSpeeds(s *workload.State, now time.Duration) {
	for id, w := range s.Workers() {
		sum, n := 0.0, 0.0
		stalled := false
		for _, r := range w.SortedRuns() {
			observed := h.runs[r]
			j := s.Job(r.Job)
			if j.Steps[r.Step].LongRunning || spansWorkers(j, r) {
				// A gang is as fast as its slowest member, which may run on another worker.
				continue
			}
			stalled = stalled || observed.stalled
			if observed.projected {
				weight := estimatedRunWeight
				if _, known := h.medianDuration(j.ID, r.Step); known {
					weight = 1
				}
				if expected := h.ExpectedDuration(j, r.Step); expected > 0 {
					sum += weight * math.Log(float64(observed.endsAt-observed.startedAt)/float64(expected))
					n += weight
				}
			}
		}
		observed := h.workers[id]
		if stalled || n > 0 && sum/(n+speedPriorRuns) > math.Log(slowFactor) {
			observed.slow, observed.lastSlowAt = true, now
		} else if observed.slow && now-observed.lastSlowAt > slowHold {
			observed.slow = false
		}
	}
}

// spansWorkers reports whether the task belongs to a gang that runs on several workers.
func spansWorkers(j *workload.Job, r workload.TaskRef) bool {
	step := j.Occurrences[r.Occurrence].Steps[r.Step]
	if !j.Steps[r.Step].Gang {
		return false
	}
	for _, t := range step.Tasks {
		if t.Worker != step.Tasks[r.Index].Worker {
			return true
		}
	}
	return false
}

// isSlow reports whether the worker was slow at any Update within the last slowHold.
func (h *History) isSlow(w *workload.Worker) bool {
	observed := h.workers[w.Life]
	return observed != nil && observed.slow
}

// Update records what has changed in the state since the previous call. It must be called
// before Decide, with the time now on the monotonic clock. The wall clock is used only on the
// first call, to compute the ages of the jobs and runs that exist already, so later jumps of the
// wall clock have no effect.
func (h *History) Update(s *workload.State, now time.Duration, wallTime time.Time) {
	// maxAge limits the ages computed from the wall clock, since the wall clock may be wrong.
	const maxAge = 5 * time.Minute
	first := h.jobs == nil
	age := func(unix int64) time.Duration {
		if !first {
			return 0
		}
		return min(max(wallTime.Sub(time.UnixMilli(unix)), 0), maxAge)
	}
	if first {
		h.jobs = map[workload.JobID]time.Duration{}
		h.busyAt = map[workload.JobID]time.Duration{}
		h.idleSince = map[workload.TaskRef]time.Duration{}
		h.runs = map[workload.TaskRef]runHistory{}
		h.workers = map[workload.LifeID]*workerHistory{}
		h.durationModels = map[bundle.QueueName]*durationModel{}
	}
	h.updateJobs(s, now, age)
	h.updateRuns(s, now, age)
	h.updateWorkers(s, now)
	h.updateSpeeds(s, now)
}

// updateJobs adds the jobs that are new in the state, and removes the records of jobs that have
// ended.
func (h *History) updateJobs(s *workload.State, now time.Duration, age func(int64) time.Duration) {
	for id, j := range s.OpenJobs() {
		if _, known := h.jobs[id]; !known {
			h.jobs[id] = now - age(j.Submitted)
			h.addEstimates(j)
			h.addArrival(j, h.jobs[id])
		}
	}
	for id := range h.jobs {
		if j := s.Job(id); j == nil || !j.Open() {
			delete(h.jobs, id)
			delete(h.busyAt, id)
		}
	}
	h.pruneArrivals(now)
	h.pruneSteps(s)
	h.pruneFailures(s)
}

// updateRuns adds the runs that are new in the state, and removes those that have ended.
func (h *History) updateRuns(s *workload.State, now time.Duration, age func(int64) time.Duration) {
	for id, w := range s.Workers() {
		for r, run := range w.Runs {
			if _, open := h.jobs[r.Job]; open {
				h.busyAt[r.Job] = now
			}
			delete(h.idleSince, r)
			if h.runs[r].run != run {
				_, _, t, _ := s.Task(r)
				h.runs[r] = runHistory{run: run, worker: id, startedAt: now - age(t.Since), resumed: t.Saved != ""}
			}
		}
	}
	for r, observed := range h.runs {
		j, _, t, known := s.Task(r)
		if known && t.Worker != "" && t.Run == observed.run {
			continue
		}
		delete(h.runs, r)
		if known && t.Worker == "" && j.Steps[r.Step].LongRunning {
			h.idleSince[r] = now
		}
	}
	for r := range h.idleSince {
		if j := s.Job(r.Job); j == nil || !j.Open() {
			delete(h.idleSince, r)
		}
	}
}

// updateWorkers records which workers drain, and starts and ends quarantines.
func (h *History) updateWorkers(s *workload.State, now time.Duration) {
	for id, w := range s.Workers() {
		observed := h.workers[id]
		if observed == nil {
			observed = &workerHistory{}
			h.workers[id] = observed
		}
		if w.Draining && !observed.draining {
			observed.draining, observed.drainingSince = true, now
		}
		if w.FailureStreak >= quarantineFailures && w.FailureStreak > observed.failureStreak {
			observed.quarantined, observed.quarantinedUntil = true, now+quarantineTime
		}
		if w.FailureStreak == 0 {
			observed.quarantined = false
		}
		observed.failureStreak = w.FailureStreak
	}
	for id := range h.workers {
		if s.Worker(id) == nil {
			delete(h.workers, id)
		}
	}
}

// RecordSuccess records the duration of a successful run; 0 means that it is not known. Only the
// first duration of each step is added to the model of the queue, since the tasks of one step
// have similar durations.
func (h *History) RecordSuccess(j *workload.Job, r workload.TaskRef, duration time.Duration) {
	if duration <= 0 {
		return
	}
	if h.durationModels == nil {
		h.durationModels = map[bundle.QueueName]*durationModel{}
	}
	model := h.durationModels[j.Queue]
	if model == nil {
		model = &durationModel{}
		h.durationModels[j.Queue] = model
	}
	h.recordRatio(model, h.ExpectedDuration(j, r.Step), duration, r)
	observed := h.recordDuration(r, h.runs[r].worker, duration)
	if observed.counted {
		return
	}
	observed.counted = true
	model.addDuration(j.Steps[r.Step].Estimate, duration)
}

// ExpectedDuration returns how long a whole run of a task of the step is expected to take on
// the rack of its data.
func (h *History) ExpectedDuration(j *workload.Job, step int) time.Duration {
	if median, known := h.medianDuration(j.ID, step); known {
		return median
	}
	return h.durationModels[j.Queue].predict(j.Steps[step].Estimate)
}

// JobAge returns the time since Update first found the job, or since its submission if the
// first Update found it. It returns 0 for a job that is not known or has ended.
func (h *History) JobAge(id workload.JobID, now time.Duration) time.Duration {
	if at, known := h.jobs[id]; known {
		return now - at
	}
	return 0
}

// JobIdle returns the time since an Update last found a run of the job, or its age if none did. It returns 0 for a job that
// is not known or has ended.
func (h *History) JobIdle(id workload.JobID, now time.Duration) time.Duration {
	if at, known := h.busyAt[id]; known {
		return now - at
	}
	return h.JobAge(id, now)
}

// TaskIdle returns the time since an Update found that the run of a long-running task had ended. For a task that has not run
// since its job became known, it is the age of the job.
func (h *History) TaskIdle(r workload.TaskRef, now time.Duration) time.Duration {
	if at, known := h.idleSince[r]; known {
		return now - at
	}
	return h.JobAge(r.Job, now)
}

// Elapsed returns how long the current run of a task has been running, 0 if the task has no
// known run.
func (h *History) Elapsed(r workload.TaskRef, now time.Duration) time.Duration {
	if observed, known := h.runs[r]; known {
		return now - observed.startedAt
	}
	return 0
}

// acceptance reports whether quarantine allows the worker to accept tasks, and whether it allows
// only a single task, as a test.
func (h *History) acceptance(w *workload.Worker, now time.Duration) (accepting, trialOnly bool) {
	observed := h.workers[w.Life]
	if observed == nil || !observed.quarantined {
		return true, false
	}
	return now >= observed.quarantinedUntil, true
}

// DrainTimeLeft returns the minimum time from now until a draining worker leaves, and false if
// the worker is not draining. The result is negative once that time has passed.
func (h *History) DrainTimeLeft(w *workload.Worker, now time.Duration) (time.Duration, bool) {
	observed := h.workers[w.Life]
	if observed == nil || !observed.draining {
		return 0, false
	}
	return observed.drainingSince + w.Remaining - now, true
}
