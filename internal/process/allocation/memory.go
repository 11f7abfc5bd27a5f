package allocation

import (
	"math"
	"time"

	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
)

const (
	// quarantineStreak is the number of different jobs that fail in a row on a
	// worker before it is kept from more.
	quarantineStreak = 2
	// quarantineTime is how long a worker is kept from tasks before one is tried.
	quarantineTime = 4 * time.Second
)

// History is what one process has observed of the workload on its own steady
// clock. Every process that may decide keeps one. It is lost with the process,
// and costs only the quality of decisions. The zero value is ready to use.
type History struct {
	jobs    map[workload.JobID]time.Duration
	runs    map[workload.TaskRef]began
	workers map[workload.LifeID]*workerMemory
	habits  map[bundle.QueueName]*habit
	steps   map[stepRef]*experience
	// failures are the workers on which a task, or a gang, has failed.
	failures map[workload.TaskRef]map[workload.LifeID]bool
}

// began is what was observed of a run.
type began struct {
	run workload.Run
	on  workload.LifeID
	// at is when it was first seen.
	at time.Duration
	// ends is when it will probably end; it means nothing before projected.
	ends      time.Duration
	projected bool
	// stalled runs make no progress.
	stalled bool
	// resumed runs did not begin at the beginning.
	resumed bool
}

// NoProgress is the time left of a run that makes no progress.
const NoProgress = time.Duration(math.MaxInt64)

// SetRemaining takes in how long a run will probably take from now on.
func (m *History) SetRemaining(r workload.TaskRef, run workload.Run, left, now time.Duration) {
	b, known := m.runs[r]
	if !known || b.run != run {
		return
	}
	b.stalled = left == NoProgress
	b.projected = !b.stalled
	if b.projected {
		b.ends = now + left
		if !b.resumed && b.ends > b.at {
			m.experienced(r, b.on, b.ends-b.at)
		}
	}
	m.runs[r] = b
}

// forever is the time left of tasks that run until their job is cancelled.
const forever = 1000 * time.Hour

// Remaining returns how long the present run of a task will probably take from now on.
func (m *History) Remaining(j *workload.Job, r workload.TaskRef, now time.Duration) time.Duration {
	if j.Steps[r.Step].LongRunning {
		return forever
	}
	b := m.runs[r]
	if b.projected {
		return max(b.ends-now, 0)
	}
	if b.stalled {
		return max(m.ExpectedDuration(j, r.Step)-m.Elapsed(r, now), 0) + stallTime
	}
	return max(m.ExpectedDuration(j, r.Step)-m.Elapsed(r, now), 0)
}

// workerMemory is what was observed of one worker.
type workerMemory struct {
	drainingSince time.Duration
	draining      bool
	// quarantinedUntil means nothing before quarantined.
	quarantinedUntil time.Duration
	quarantined      bool
	streak           int
	// slowSeen is when the worker was last seen to be slow; it means nothing before
	// slow.
	slowSeen time.Duration
	slow     bool
}

const (
	// slowFactor is how many times as long as expected the runs of a worker take
	// when it counts as slow. Estimates are off by a factor of two quite often.
	slowFactor = 3
	// speedPrior is the number of runs of ordinary speed that the judgement on a
	// worker begins with, since one estimate alone is often wrong.
	speedPrior = 0.5
	// estimateWeight is what a run counts in that judgement whose usual duration is
	// only estimated.
	estimateWeight = 0.5
	// slowMemory is how long a worker that was seen to be slow gets nothing new.
	slowMemory = 3 * time.Second
	// stallTime is how long a stalled run is expected to stand still.
	stallTime = 5 * time.Second
)

// noteSpeeds judges the workers by the progress of their runs.
func (m *History) noteSpeeds(s *workload.State, now time.Duration) {
	for id, w := range s.Workers() {
		sum, n := 0.0, 0.0
		stalled := false
		for _, r := range w.SortedRuns() {
			b := m.runs[r]
			j := s.Job(r.Job)
			if j.Steps[r.Step].LongRunning || spansWorkers(j, r) {
				// A gang is as fast as its slowest member, wherever that is.
				continue
			}
			stalled = stalled || b.stalled
			if b.projected {
				weight := estimateWeight
				if _, known := m.usual(j.ID, r.Step); known {
					weight = 1
				}
				if expected := m.ExpectedDuration(j, r.Step); expected > 0 {
					sum += weight * math.Log(float64(b.ends-b.at)/float64(expected))
					n += weight
				}
			}
		}
		o := m.workers[id]
		if stalled || n > 0 && sum/(n+speedPrior) > math.Log(slowFactor) {
			o.slow, o.slowSeen = true, now
		} else if o.slow && now-o.slowSeen > slowMemory {
			o.slow = false
		}
	}
}

// spansWorkers tells whether the task belongs to a gang on several workers.
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

// slow tells whether the worker was seen to be slow lately.
func (m *History) slow(w *workload.Worker) bool {
	o := m.workers[w.Life]
	return o != nil && o.slow
}

// Update takes in what is new in the state. Call it before Decide. The time of day
// is used the first time only, to tell how old what is there already is; later it
// may jump.
func (m *History) Update(s *workload.State, now time.Duration, day time.Time) {
	// agoMost bounds what the time of day is believed.
	const agoMost = 5 * time.Minute
	first := m.jobs == nil
	ago := func(unix int64) time.Duration {
		if !first {
			return 0
		}
		return min(max(day.Sub(time.UnixMilli(unix)), 0), agoMost)
	}
	if first {
		m.jobs = map[workload.JobID]time.Duration{}
		m.runs = map[workload.TaskRef]began{}
		m.workers = map[workload.LifeID]*workerMemory{}
		m.habits = map[bundle.QueueName]*habit{}
	}
	m.noteJobs(s, now, ago)
	m.noteRuns(s, now, ago)
	m.noteWorkers(s, now)
	m.noteSpeeds(s, now)
}

func (m *History) noteJobs(s *workload.State, now time.Duration, ago func(int64) time.Duration) {
	for id, j := range s.OpenJobs() {
		if _, known := m.jobs[id]; !known {
			m.jobs[id] = now - ago(j.Submitted)
			m.noteEstimates(j)
		}
	}
	for id := range m.jobs {
		if j := s.Job(id); j == nil || !j.Open() {
			delete(m.jobs, id)
		}
	}
	m.forgetSteps(s)
	m.forgetFailures(s)
}

func (m *History) noteRuns(s *workload.State, now time.Duration, ago func(int64) time.Duration) {
	for id, w := range s.Workers() {
		for r, run := range w.Runs {
			if m.runs[r].run != run {
				_, _, t, _ := s.Task(r)
				m.runs[r] = began{run: run, on: id, at: now - ago(t.Since), resumed: t.Saved != ""}
			}
		}
	}
	for r, b := range m.runs {
		if _, _, t, known := s.Task(r); !known || t.Worker == "" || t.Run != b.run {
			delete(m.runs, r)
		}
	}
}

func (m *History) noteWorkers(s *workload.State, now time.Duration) {
	for id, w := range s.Workers() {
		o := m.workers[id]
		if o == nil {
			o = &workerMemory{}
			m.workers[id] = o
		}
		if w.Draining && !o.draining {
			o.draining, o.drainingSince = true, now
		}
		if w.FailureStreak >= quarantineStreak && w.FailureStreak > o.streak {
			o.quarantined, o.quarantinedUntil = true, now+quarantineTime
		}
		if w.FailureStreak == 0 {
			o.quarantined = false
		}
		o.streak = w.FailureStreak
	}
	for id := range m.workers {
		if s.Worker(id) == nil {
			delete(m.workers, id)
		}
	}
}

// RecordSuccess takes in how long a run took that succeeded; 0 if that is not known. Of the
// tasks of a step, which resemble each other, one counts for the queue.
func (m *History) RecordSuccess(j *workload.Job, r workload.TaskRef, ran time.Duration) {
	if ran <= 0 {
		return
	}
	e := m.experienced(r, m.runs[r].on, ran)
	if e.learned {
		return
	}
	e.learned = true
	if m.habits == nil {
		m.habits = map[bundle.QueueName]*habit{}
	}
	h := m.habits[j.Queue]
	if h == nil {
		h = &habit{}
		m.habits[j.Queue] = h
	}
	h.learn(j.Steps[r.Step].Estimate, ran)
}

// ExpectedDuration returns how long a task of the step probably takes near its data.
func (m *History) ExpectedDuration(j *workload.Job, step int) time.Duration {
	if usual, known := m.usual(j.ID, step); known {
		return usual
	}
	return m.habits[j.Queue].expect(j.Steps[step].Estimate)
}

// JobAge returns how long the job has been seen.
func (m *History) JobAge(id workload.JobID, now time.Duration) time.Duration {
	if at, known := m.jobs[id]; known {
		return now - at
	}
	return 0
}

// Elapsed returns how long the present run of a task has been seen.
func (m *History) Elapsed(r workload.TaskRef, now time.Duration) time.Duration {
	if b, known := m.runs[r]; known {
		return now - b.at
	}
	return 0
}

// trial tells whether the worker may get tasks, and whether only one as a test.
func (m *History) trial(w *workload.Worker, now time.Duration) (open, single bool) {
	o := m.workers[w.Life]
	if o == nil || !o.quarantined {
		return true, false
	}
	return now >= o.quarantinedUntil, true
}

// DrainTimeLeft returns how long a draining worker stays at least from now on, and
// false for one that does not drain.
func (m *History) DrainTimeLeft(w *workload.Worker, now time.Duration) (time.Duration, bool) {
	o := m.workers[w.Life]
	if o == nil || !o.draining {
		return 0, false
	}
	return o.drainingSince + w.Remaining - now, true
}
