package standin

import (
	"fmt"
	"sync"

	"corianderpass/internal/process/workload"
)

// RunLog records every start and end at all minions of a test, and reports a task that
// runs twice at the same time or again after an acknowledged end. The zero value is
// ready to use; a nil RunLog records nothing.
type RunLog struct {
	mu     sync.Mutex
	tasks  map[workload.TaskRef]*taskLog
	starts int
}

// taskLog is what was recorded about one task.
type taskLog struct {
	// running is the number of active runs, starts the number of starts so far.
	running, starts int
	// startsAtEnd has the value of starts when a run succeeded, by run.
	startsAtEnd map[workload.Run]int
	// lost counts the runs that ended with the life of their minion.
	lost int
	// acknowledged is true once an agent has acknowledged a successful end.
	acknowledged bool
}

// get returns the log of a task and creates it at first use. The lock must be held.
func (l *RunLog) get(ref workload.TaskRef) *taskLog {
	if l.tasks == nil {
		l.tasks = map[workload.TaskRef]*taskLog{}
	}
	t := l.tasks[ref]
	if t == nil {
		t = &taskLog{startsAtEnd: map[workload.Run]int{}}
		l.tasks[ref] = t
	}
	return t
}

// start records the start of a run. It reports a violation if another run of the task
// is active or a successful end was acknowledged before.
func (l *RunLog) start(ref workload.TaskRef, run workload.Run, onViolation func(string)) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts++
	t := l.get(ref)
	t.starts++
	t.running++
	if t.running > 1 {
		onViolation(fmt.Sprintf("task %s has two active runs after the start of run %d", ref, run))
	}
	if t.acknowledged {
		onViolation(fmt.Sprintf("task %s was started after its end was acknowledged, run %d", ref, run))
	}
}

// end records the end of a run and whether it succeeded.
func (l *RunLog) end(ref workload.TaskRef, run workload.Run, succeeded bool) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(ref)
	t.running--
	if succeeded {
		t.startsAtEnd[run] = t.starts
	}
}

// lose records that a run ended with the life of its minion.
func (l *RunLog) lose(ref workload.TaskRef, run workload.Run) {
	if l == nil {
		return
	}
	l.end(ref, run, false)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(ref).lost++
}

// acknowledge records that an agent has acknowledged the successful end of a run. It
// reports a violation if the task was started again since that end.
func (l *RunLog) acknowledge(ref workload.TaskRef, run workload.Run, onViolation func(string)) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(ref)
	t.acknowledged = true
	if t.starts > t.startsAtEnd[run] {
		onViolation(fmt.Sprintf("task %s was started again after the end of run %d, which is now acknowledged", ref, run))
	}
}

// Starts returns the number of all starts.
func (l *RunLog) Starts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts
}

// Counts returns how often a task was started at any minion and how many of its runs
// succeeded.
func (l *RunLog) Counts(ref workload.TaskRef) (starts, done int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(ref)
	return t.starts, len(t.startsAtEnd)
}

// Lost returns how many runs of a task ended with the life of their minion.
func (l *RunLog) Lost(ref workload.TaskRef) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.get(ref).lost
}
