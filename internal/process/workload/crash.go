package workload

import (
	"cmp"
	"slices"
	"time"
)

// Crash reports that a worker crashed under a run: while it executed the run, or while it may have
// begun to.
type Crash struct {
	Task TaskRef
	Run  Run
	// Early is true if the run was among the newest on the worker, which crashed shortly after its start.
	Early bool `json:",omitempty"`
	// Unconfirmed is true if the worker crashed before it confirmed the start. It may have crashed before it
	// began the run.
	Unconfirmed bool `json:",omitempty"`
	// Ran is for how long the run is known to have been executed; 0 if unknown.
	Ran time.Duration `json:",omitempty"`
}

// A task that crashes its workers usually does so as it starts, and workers crash for other reasons at
// any time. So two early crashes count as much as four others, and a single certain crash with one under an
// unconfirmed start is not enough.
const (
	earlyCrashScore       = 4
	unconfirmedCrashScore = 3
	lateCrashScore        = 2
	// maxCrashScore is the sum of the scores at which the job of a task fails.
	maxCrashScore = 8
	// provenTime is how long a run of a long-running task must have been executed so that its crash
	// is counted as the first. Otherwise the crashes of months would add up.
	provenTime = time.Minute
)

// Implicated reports whether the task is likely to have caused a crash: a single late crash does not show
// that, since workers also crash for other reasons.
func (t Task) Implicated() bool { return t.CrashScore > lateCrashScore }

// recordCrashes counts the crashes of all other lives on the machine of w: those that the agent has passed
// with the announcement of w, and those of the reports of these lives. An earlier agent may have made them.
func (s *State) recordCrashes(w *Worker, announced []Crash) {
	w.Crashes = nil
	var lives []*Worker
	for _, other := range s.workers {
		if other.Machine == w.Machine && len(other.Crashes) > 0 {
			lives = append(lives, other)
		}
	}
	// The order of the lives must be the same in all replicas.
	slices.SortFunc(lives, func(a, b *Worker) int { return cmp.Compare(a.Life, b.Life) })
	for _, other := range lives {
		announced = append(announced, other.Crashes...)
		other.Crashes = nil
	}
	for _, c := range announced {
		s.recordCrash(c)
	}
}

// recordCrash counts the crash, once for each run, and fails the job when its task has reached
// maxCrashScore.
func (s *State) recordCrash(c Crash) {
	j, _, t, ok := s.Task(c.Task)
	if !ok || !j.Open() || t.Phase == PhaseDone || c.Run > t.Run || c.Run <= t.CrashedRun {
		return
	}
	t.CrashedRun = c.Run
	if j.Steps[c.Task.Step].LongRunning && c.Ran >= provenTime {
		t.CrashScore = 0
	}
	switch {
	case c.Early && c.Unconfirmed:
		t.CrashScore += unconfirmedCrashScore
	case c.Early:
		t.CrashScore += earlyCrashScore
	default:
		t.CrashScore += lateCrashScore
	}
	if t.CrashScore >= maxCrashScore {
		s.failJob(j, FailureCrashes)
	}
}
