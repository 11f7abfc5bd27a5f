package workload

import (
	"fmt"

	"corianderpass/internal/process/journal"
)

// place validates and applies the placement of one task or of a whole gang.
func (s *State) place(at journal.Position, p Place) error {
	if err := s.checkLeader(at, p.Term); err != nil {
		return err
	}
	if len(p.Members) == 0 {
		return fmt.Errorf("%w: record has no members", ErrPlacement)
	}
	first := p.Members[0].Task
	j, step, _, ok := s.Task(first)
	if !ok {
		return fmt.Errorf("%w: task %s", ErrUnknownJob, first)
	}
	if err := j.checkStart(first, step, p); err != nil {
		return err
	}
	if err := s.checkWorkers(j, p); err != nil {
		return err
	}
	reservation := j.Steps[first.Step].Reservation()
	for _, m := range p.Members {
		t := &step.Tasks[m.Task.Index]
		t.Phase, t.Worker, t.Run, t.Since = PhaseRunning, m.Worker, p.Run, at.Time.UnixMilli()
		t.Permit = m.Permit
		s.workers[m.Worker].reserve(m.Task, p.Run, reservation)
	}
	j.Begun = true
	return nil
}

// checkStart returns nil if the members may start now, regardless of their workers: the
// job is open, the steps that theirs depends on are done, the members are one
// waiting task or all tasks of a waiting gang, and p.Run is the next run number.
func (j *Job) checkStart(first TaskRef, step *Step, p Place) error {
	spec := j.Steps[first.Step]
	switch {
	case !j.Open():
		return fmt.Errorf("%w: job %s", ErrJobEnded, j.ID)
	case !j.Ready(first.Occurrence, first.Step):
		return fmt.Errorf("%w: task %s depends on a step that is not done", ErrPlacement, first)
	case spec.Gang && len(p.Members) != spec.Tasks || !spec.Gang && len(p.Members) != 1:
		return fmt.Errorf("%w: %d members do not match the step of task %s, which takes one task or a whole gang", ErrPlacement, len(p.Members), first)
	}
	listed := make([]bool, spec.Tasks)
	newest := Run(0)
	for _, m := range p.Members {
		r := m.Task
		if r.Job != first.Job || r.Occurrence != first.Occurrence || r.Step != first.Step || r.Index < 0 || r.Index >= spec.Tasks || listed[r.Index] {
			return fmt.Errorf("%w: task %s is listed twice or not in the step", ErrPlacement, r)
		}
		listed[r.Index] = true
		t := step.Tasks[r.Index]
		if t.Phase != PhaseWaiting || t.Worker != "" {
			return fmt.Errorf("%w: task %s is not waiting or still has a worker, its phase is %s", ErrPlacement, r, t.Phase)
		}
		newest = max(newest, t.Run)
	}
	if p.Run != newest+1 {
		return fmt.Errorf("%w: run %d of task %s does not follow run %d", ErrNotCurrentRun, p.Run, first, newest)
	}
	return nil
}

// checkWorkers returns nil if every worker of the placement is usable, may run the step,
// has enough free resources for its members and stays within the step's PerWorker limit.
func (s *State) checkWorkers(j *Job, p Place) error {
	first := p.Members[0].Task
	spec := j.Steps[first.Step]
	reservation := spec.Reservation()
	members := map[LifeID]int{}
	for _, m := range p.Members {
		members[m.Worker]++
	}
	for life, n := range members {
		w := s.workers[life]
		if w == nil {
			return fmt.Errorf("%w: %s", ErrUnknownWorker, life)
		}
		need := Resources{}
		for range n {
			need = need.Plus(reservation)
		}
		switch {
		case !w.Usable():
			return fmt.Errorf("%w: worker %s is not usable", ErrPlacement, life)
		case !w.Allows(j.Service, spec):
			return fmt.Errorf("%w: worker %s has another service or lacks the label of task %s", ErrPlacement, life, first)
		case !need.FitsIn(w.Free()):
			return fmt.Errorf("%w: worker %s has too few free resources for task %s", ErrPlacement, life, first)
		case spec.PerWorker > 0 && n+w.CountRuns(j.ID, first.Occurrence, first.Step) > spec.PerWorker:
			return fmt.Errorf("%w: too many tasks of the step of %s on worker %s", ErrPlacement, first, life)
		}
	}
	return nil
}

// WorkersOf returns the worker of a task, or those of all members of its gang in the
// order of their index. The ID is empty for a task without a worker. The result is
// nil if the task is unknown.
func (s *State) WorkersOf(r TaskRef) []LifeID {
	j, step, t, ok := s.Task(r)
	if !ok {
		return nil
	}
	if !j.Steps[r.Step].Gang {
		return []LifeID{t.Worker}
	}
	var lives []LifeID
	for _, member := range step.Tasks {
		lives = append(lives, member.Worker)
	}
	return lives
}

// Failures returns how many failed runs of the task count against the job's attempts.
// The members of a gang share one count.
func (j *Job) Failures(r TaskRef) int {
	return j.Occurrences[r.Occurrence].Steps[r.Step].failures(j.Steps[r.Step], r.Index)
}

func (s *Step) failures(spec StepSpec, index int) int {
	if spec.Gang {
		index = 0
	}
	if index >= len(s.Failures) {
		return 0
	}
	return s.Failures[index]
}

func (s *Step) countFailure(spec StepSpec, index int) {
	if spec.Gang {
		index = 0
	}
	if s.Failures == nil {
		s.Failures = make([]int, spec.Tasks)
	}
	s.Failures[index]++
}

// stop marks a running task, or its whole gang, for stopping.
func (s *State) stop(at journal.Position, r Stop) error {
	if err := s.checkLeader(at, r.Term); err != nil {
		return err
	}
	j, step, t, ok := s.Task(r.Task)
	if !ok {
		return fmt.Errorf("%w: task %s", ErrUnknownJob, r.Task)
	}
	if t.Phase != PhaseRunning || t.Run != r.Run {
		return fmt.Errorf("%w: task %s, run %d", ErrNotCurrentRun, r.Task, r.Run)
	}
	if r.Reason == StopStalled {
		t.Moved++
	}
	if j.Steps[r.Task.Step].Gang {
		markStopping(step.Tasks)
		return nil
	}
	t.Phase = PhaseStopping
	return nil
}

// ends applies the ends that are not recorded yet.
func (s *State) ends(r Ends) error {
	w := s.workers[r.Life]
	if w == nil {
		return fmt.Errorf("%w: %s", ErrUnknownWorker, r.Life)
	}
	s.recordEnds(w, r.Ends)
	return nil
}

// recordEnds applies the ends of the life that are not recorded yet.
func (s *State) recordEnds(w *Worker, ends []End) {
	for _, e := range ends {
		if e.Number <= w.SeenEnds {
			continue
		}
		w.SeenEnds = e.Number
		s.endRun(s.holderOf(e, w), e)
	}
}

// holderOf returns the life on w's machine on which the run reserves resources, or w if
// there is none. It is an earlier life than w if the minion has carried out an order in w
// that was sent to that life.
func (s *State) holderOf(e End, w *Worker) *Worker {
	_, _, t, ok := s.Task(e.Task)
	if !ok || t.Run != e.Run {
		return w
	}
	if holder := s.workers[t.Worker]; holder != nil && holder.Machine == w.Machine {
		return holder
	}
	return w
}

// endRun applies the end of one run. It ignores the end unless the run is the newest of its
// task. If the run no longer reserves resources on w, because its life has ended for
// example, it applies only a success, and only while the task is waiting: the task then
// need not run again.
func (s *State) endRun(w *Worker, e End) {
	j, step, t, ok := s.Task(e.Task)
	if !ok || t.Run != e.Run {
		return
	}
	reserved := t.Worker == w.Life
	if !reserved && (t.Worker != "" || t.Phase != PhaseWaiting || e.How != RunDone) {
		return
	}
	if reserved {
		s.release(w, j, e.Task, t)
	}
	if e.Saved != "" {
		j.saveCheckpoint(e.Task, step, e.Saved)
	}
	if j.Open() && t.Phase != PhaseDone {
		s.applyEnd(w, j, step, t, e)
	}
	s.emit(Event{RunEnd: e, Worker: w, Job: j})
}

// release frees the resources that the task reserves on w. The task waits again unless it
// is done.
func (s *State) release(w *Worker, j *Job, r TaskRef, t *Task) {
	w.release(r, j.Steps[r.Step].Reservation())
	t.Worker, t.Since = "", 0
	if t.Phase != PhaseDone {
		t.Phase = PhaseWaiting
	}
}

// saveCheckpoint stores the checkpoint of a task. The checkpoint of any member of a gang
// is stored for all members.
func (j *Job) saveCheckpoint(r TaskRef, step *Step, checkpoint Checkpoint) {
	if !j.Steps[r.Step].Gang {
		step.Tasks[r.Index].Saved = checkpoint
		return
	}
	for i := range step.Tasks {
		step.Tasks[i].Saved = checkpoint
	}
}

// applyEnd updates the task, its job and the worker's failure streak after a run of an
// open job has ended. Unless the run succeeded, the other members of a gang are
// stopped too. A long-running task cannot succeed.
func (s *State) applyEnd(w *Worker, j *Job, step *Step, t *Task, e End) {
	spec := j.Steps[e.Task.Step]
	switch {
	case e.How == RunDone && !spec.LongRunning:
		w.FailureStreak, w.LastFailed = 0, ""
		s.recordSuccess(j, step, t, spec)
		return
	case e.How == RunFailed:
		w.countFailure(j.ID)
		s.recordFailure(j, step, spec, e)
	}
	if spec.Gang {
		markStopping(step.Tasks)
	}
}

// countFailure adds a failed run of the job to the failure streak.
func (w *Worker) countFailure(id JobID) {
	if w.LastFailed != id {
		w.FailureStreak++
		w.LastFailed = id
	}
}

// recordSuccess marks the task, or its whole gang, as done, and completes the job after
// its last task.
func (s *State) recordSuccess(j *Job, step *Step, t *Task, spec StepSpec) {
	if spec.Gang {
		for i := range step.Tasks {
			step.Tasks[i].Phase = PhaseDone
		}
		j.Left -= step.Left
		step.Left = 0
	} else {
		t.Phase = PhaseDone
		j.Left--
		step.Left--
	}
	if j.Left == 0 {
		s.endJob(j, OutcomeCompleted)
	}
}

// recordFailure counts a failure against the job's attempts, once for each run of a gang,
// and fails the job when they are used up. Long-running tasks may fail any number of
// times.
func (s *State) recordFailure(j *Job, step *Step, spec StepSpec, e End) {
	if spec.LongRunning || spec.Gang && step.FailedRun == e.Run {
		return
	}
	step.FailedRun = e.Run
	step.countFailure(spec, e.Task.Index)
	if step.failures(spec, e.Task.Index) >= j.Attempts {
		s.failJob(j, FailureAttempts)
	}
}

// refuse releases a placed run that was not started. The other members of a gang are
// stopped.
func (s *State) refuse(r Refuse) error {
	w := s.workers[r.Life]
	j, step, t, ok := s.Task(r.Task)
	if w == nil || !ok {
		return fmt.Errorf("%w: task %s on worker %s", ErrUnknownJob, r.Task, r.Life)
	}
	if t.Worker != r.Life || t.Run != r.Run {
		return fmt.Errorf("%w: task %s, run %d", ErrNotCurrentRun, r.Task, r.Run)
	}
	if err := w.checkAgent(r.Agent); err != nil {
		return err
	}
	s.release(w, j, r.Task, t)
	if j.Steps[r.Task.Step].Gang && t.Phase != PhaseDone {
		markStopping(step.Tasks)
	}
	s.emit(Event{Refusal: &r})
	return nil
}
