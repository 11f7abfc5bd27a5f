package workload

import (
	"fmt"

	"corianderpass/internal/process/journal"
)

// place judges and takes an order of one task or of a whole gang.
func (s *State) place(at journal.Position, p Place) error {
	if err := s.leads(at, p.Term); err != nil {
		return err
	}
	if len(p.Members) == 0 {
		return fmt.Errorf("%w: nothing to place", ErrPlacement)
	}
	first := p.Members[0].Task
	j, step, _, known := s.Task(first)
	if !known {
		return fmt.Errorf("%w: %s", ErrUnknownJob, first)
	}
	if err := j.mayStart(first, step, p); err != nil {
		return err
	}
	if err := s.checkRoom(j, p); err != nil {
		return err
	}
	claim := j.Steps[first.Step].Reservation()
	for _, m := range p.Members {
		t := &step.Tasks[m.Task.Index]
		t.Phase, t.Worker, t.Run, t.Since = PhaseRunning, m.Worker, p.Run, at.Time.UnixMilli()
		t.Permit = m.Permit
		s.workers[m.Worker].hold(m.Task, p.Run, claim)
	}
	j.Begun = true
	return nil
}

// mayStart tells whether the members may run now, wherever that is.
func (j *Job) mayStart(first TaskRef, step *Step, p Place) error {
	spec := j.Steps[first.Step]
	switch {
	case !j.Open():
		return fmt.Errorf("%w: %s", ErrJobEnded, j.ID)
	case !j.Ready(first.Occurrence, first.Step):
		return fmt.Errorf("%w: %s waits for an earlier step", ErrPlacement, first)
	case spec.Gang && len(p.Members) != spec.Tasks || !spec.Gang && len(p.Members) != 1:
		return fmt.Errorf("%w: %d members of %s", ErrPlacement, len(p.Members), first)
	}
	seen := make([]bool, spec.Tasks)
	newest := Run(0)
	for _, m := range p.Members {
		r := m.Task
		if r.Job != first.Job || r.Occurrence != first.Occurrence || r.Step != first.Step || r.Index < 0 || r.Index >= spec.Tasks || seen[r.Index] {
			return fmt.Errorf("%w: %s is no member", ErrPlacement, r)
		}
		seen[r.Index] = true
		t := step.Tasks[r.Index]
		if t.Phase != PhaseWaiting || t.Worker != "" {
			return fmt.Errorf("%w: %s is %s", ErrPlacement, r, t.Phase)
		}
		newest = max(newest, t.Run)
	}
	if p.Run != newest+1 {
		return fmt.Errorf("%w: run %d of %s after %d", ErrNotCurrentRun, p.Run, first, newest)
	}
	return nil
}

// checkRoom tells whether the workers may and can take the members.
func (s *State) checkRoom(j *Job, p Place) error {
	first := p.Members[0].Task
	spec := j.Steps[first.Step]
	claim := spec.Reservation()
	count := map[LifeID]int{}
	for _, m := range p.Members {
		count[m.Worker]++
	}
	for life, n := range count {
		w := s.workers[life]
		if w == nil {
			return fmt.Errorf("%w: %s", ErrUnknownWorker, life)
		}
		need := Resources{}
		for range n {
			need = need.Plus(claim)
		}
		switch {
		case !w.Usable():
			return fmt.Errorf("%w: %s takes no tasks", ErrPlacement, life)
		case !w.Allows(j.Service, spec):
			return fmt.Errorf("%w: %s may not run %s", ErrPlacement, life, first)
		case !need.FitsIn(w.Free()):
			return fmt.Errorf("%w: %s has no room for %s", ErrPlacement, life, first)
		case spec.PerWorker > 0 && n+w.CountRuns(j.ID, first.Occurrence, first.Step) > spec.PerWorker:
			return fmt.Errorf("%w: too many of %s on %s", ErrPlacement, first, life)
		}
	}
	return nil
}

// WorkersOf returns the workers that run a task, or the members of its gang.
func (s *State) WorkersOf(r TaskRef) []LifeID {
	j, step, t, known := s.Task(r)
	if !known {
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

// Failures returns how often the task, or its gang, has failed.
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

func (s *State) stop(at journal.Position, r Stop) error {
	if err := s.leads(at, r.Term); err != nil {
		return err
	}
	j, step, t, known := s.Task(r.Task)
	if !known {
		return fmt.Errorf("%w: %s", ErrUnknownJob, r.Task)
	}
	if t.Phase != PhaseRunning || t.Run != r.Run {
		return fmt.Errorf("%w: %s run %d", ErrNotCurrentRun, r.Task, r.Run)
	}
	if r.Reason == StopStalled {
		t.Moved++
	}
	if j.Steps[r.Task.Step].Gang {
		stopRunning(step.Tasks)
		return nil
	}
	t.Phase = PhaseStopping
	return nil
}

func (s *State) ends(r Ends) error {
	w := s.workers[r.Life]
	if w == nil {
		return fmt.Errorf("%w: %s", ErrUnknownWorker, r.Life)
	}
	for _, e := range r.Ends {
		if e.Number <= w.SeenEnds {
			continue
		}
		w.SeenEnds = e.Number
		s.end(w, e)
	}
	return nil
}

// end takes the end of one run. An end that nobody waits for changes nothing,
// but for a success: the task need not run again.
func (s *State) end(w *Worker, e End) {
	j, step, t, known := s.Task(e.Task)
	if !known || t.Run != e.Run {
		return
	}
	held := t.Worker == w.Life
	if !held && (t.Worker != "" || t.Phase != PhaseWaiting || e.How != RunDone) {
		return
	}
	if held {
		s.letGo(w, j, e.Task, t)
	}
	if e.Saved != "" {
		j.save(e.Task, step, e.Saved)
	}
	if j.Open() && t.Phase != PhaseDone {
		s.conclude(w, j, step, t, e)
	}
	s.tell(Event{RunEnd: e, Worker: w, Job: j})
}

// letGo gives the room of a run back.
func (s *State) letGo(w *Worker, j *Job, r TaskRef, t *Task) {
	w.release(r, j.Steps[r.Step].Reservation())
	t.Worker, t.Since = "", 0
	if t.Phase != PhaseDone {
		t.Phase = PhaseWaiting
	}
}

// save keeps a checkpoint; one member's is that of the whole gang.
func (j *Job) save(r TaskRef, step *Step, saved Checkpoint) {
	if !j.Steps[r.Step].Gang {
		step.Tasks[r.Index].Saved = saved
		return
	}
	for i := range step.Tasks {
		step.Tasks[i].Saved = saved
	}
}

// conclude draws the consequences of an end for the task and its job.
func (s *State) conclude(w *Worker, j *Job, step *Step, t *Task, e End) {
	spec := j.Steps[e.Task.Step]
	switch {
	case e.How == RunDone && !spec.LongRunning:
		w.FailureStreak, w.LastFailed = 0, ""
		s.succeed(j, step, t, spec)
		return
	case e.How == RunFailed:
		w.countFailure(j.ID)
		s.fail(j, step, spec, e)
	}
	if spec.Gang {
		stopRunning(step.Tasks)
	}
}

func (w *Worker) countFailure(id JobID) {
	if w.LastFailed != id {
		w.FailureStreak++
		w.LastFailed = id
	}
}

func (s *State) succeed(j *Job, step *Step, t *Task, spec StepSpec) {
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
		s.finish(j, OutcomeCompleted)
	}
}

func (s *State) fail(j *Job, step *Step, spec StepSpec, e End) {
	if spec.LongRunning || spec.Gang && step.FailedRun == e.Run {
		return
	}
	step.FailedRun = e.Run
	step.countFailure(spec, e.Task.Index)
	if step.failures(spec, e.Task.Index) >= j.Attempts {
		s.finish(j, OutcomeFailed)
	}
}

func (s *State) refuse(r Refuse) error {
	w := s.workers[r.Life]
	j, step, t, known := s.Task(r.Task)
	if w == nil || !known {
		return fmt.Errorf("%w: %s on %s", ErrUnknownJob, r.Task, r.Life)
	}
	if t.Worker != r.Life || t.Run != r.Run {
		return fmt.Errorf("%w: %s run %d", ErrNotCurrentRun, r.Task, r.Run)
	}
	s.letGo(w, j, r.Task, t)
	if j.Steps[r.Task.Step].Gang && t.Phase != PhaseDone {
		stopRunning(step.Tasks)
	}
	s.tell(Event{Refusal: &r})
	return nil
}
