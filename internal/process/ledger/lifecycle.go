package ledger

import (
	"fmt"
	"slices"

	"corianderpass/internal/process/adjacency"
	"corianderpass/pkg/platform"
)

// submit enters a job, or refuses it with the reason.
func (s *State) submit(r Submit) error {
	spec := r.Spec
	if before := s.jobs[spec.ID]; before != nil {
		if before.Spec != spec {
			return fmt.Errorf("%w: %s", ErrJobConflict, spec.ID)
		}
		return fmt.Errorf("%w: %s", ErrJobExists, spec.ID)
	}
	o, err := s.organisation(spec.ID.Organisation())
	if err != nil {
		return err
	}
	if err := spec.check(); err != nil {
		return err
	}
	if s.open[o.Name] >= o.WaitingJobs {
		return fmt.Errorf("%w: %s has %d", ErrTooManyJobs, o.Name, s.open[o.Name])
	}
	if room := o.QuotaBesideGuarantees(); o.AcceleratorQuota > 0 && spec.TotalAccelerators() > room && !s.guaranteeTakes(spec) {
		return fmt.Errorf("%w: %d accelerators are over the quota of %d beside the guarantees", ErrNeverFits, spec.TotalAccelerators(), room)
	}
	if err := s.checkFits(spec); err != nil {
		return err
	}
	j := &Job{Spec: spec, Phase: PhaseWaiting, Submitted: s.now}
	s.jobs[spec.ID] = j
	s.countJob(j, 1)
	return nil
}

// maxTasks bounds a gang.
const maxTasks = 4096

func (s Spec) check() error {
	switch {
	case s.Class != ClassUrgent && s.Class != ClassBatch:
		return fmt.Errorf("%w: Class %q is neither Urgent nor Batch", ErrInvalidJob, s.Class)
	case s.Tasks < 1 || s.Tasks > maxTasks:
		return fmt.Errorf("%w: Tasks must be from 1 to %d", ErrInvalidJob, maxTasks)
	case s.Accelerators < 1 || s.Accelerators > 64:
		return fmt.Errorf("%w: Accelerators must be from 1 to 64", ErrInvalidJob)
	case s.RunTime < 0:
		return fmt.Errorf("%w: RunTime is negative", ErrInvalidJob)
	}
	return nil
}

// checkFits tells whether the region's workers could hold the gang if they were
// empty, beside the guarantees if it must not be preempted.
func (s *State) checkFits(spec Spec) error {
	if len(s.order) == 0 {
		return ErrNoWorkers
	}
	room, total := 0, 0
	for _, id := range s.order {
		w := s.workers[id]
		room += tasksOn(w, spec)
		total += w.Accelerators
	}
	if room < spec.Tasks {
		return fmt.Errorf("%w: the workers of %s have room for %d of %d tasks", ErrNeverFits, s.region, room, spec.Tasks)
	}
	if spec.Preemptible || s.guaranteeTakes(spec) {
		return nil
	}
	guaranteed := 0
	for _, l := range s.slots.list {
		guaranteed += l.Size
	}
	if total-guaranteed < spec.TotalAccelerators() {
		return fmt.Errorf("%w: beside the guarantees there are %d accelerators, and the job must not be preempted", ErrNeverFits, total-guaranteed)
	}
	return nil
}

func tasksOn(w *Worker, spec Spec) int {
	n := adjacency.CountGroups(w.All(), spec.Accelerators)
	if spec.Cores > 0 {
		n = min(n, int(w.Cores/spec.Cores))
	}
	if spec.Memory > 0 {
		n = min(n, int(w.Memory/spec.Memory))
	}
	return n
}

// guaranteeTakes tells whether a guarantee of the organisation could hold the
// whole gang, filled or not.
func (s *State) guaranteeTakes(spec Spec) bool {
	o, err := s.organisation(spec.ID.Organisation())
	if err != nil {
		return false
	}
	for _, g := range o.Guarantees {
		slot := Slot{Size: g.Accelerators, Cores: g.Cores, Memory: g.Memory}
		if g.Region == s.region && g.Tasks >= spec.Tasks && slot.takes(spec) {
			return true
		}
	}
	return false
}

// current returns the job if the epoch is its own and the phase is one of those given.
func (s *State) current(id JobID, epoch platform.Epoch, phases ...Phase) (*Job, error) {
	j := s.jobs[id]
	if j == nil {
		return nil, fmt.Errorf("%w: %s", ErrUnknownJob, id)
	}
	if epoch != j.Epoch {
		return nil, fmt.Errorf("%w: %s is at %d, not %d", ErrWrongEpoch, id, j.Epoch, epoch)
	}
	if !slices.Contains(phases, j.Phase) {
		return nil, fmt.Errorf("%w: %s is %s", ErrWrongPhase, id, j.Phase)
	}
	return j, nil
}

func (s *State) commit(r Commit) error {
	j, err := s.current(r.Job, r.Epoch, PhaseReserved)
	if err != nil {
		return err
	}
	j.Phase = PhaseRunning
	j.Started = s.now
	j.Ran = true
	return nil
}

// abort returns a gang that never ran to the queue, or ends it if it was
// cancelled. A preempted gang that was still reserved comes this way too.
func (s *State) abort(r Abort) error {
	j, err := s.current(r.Job, r.Epoch, PhaseReserved, PhaseStopping)
	if err != nil {
		return err
	}
	if j.Phase == PhaseStopping && j.Ran && j.RunOnce {
		return fmt.Errorf("%w: %s may have run", ErrWrongPhase, r.Job)
	}
	s.loseAll(r.Away)
	s.release(j)
	s.requeue(j)
	return nil
}

// requeue lets a job without accelerators wait, or ends a cancelled one.
func (s *State) requeue(j *Job) {
	if j.Cancelled {
		s.end(j, OutcomeCancelled, "")
		return
	}
	s.setPhase(j, PhaseWaiting)
}

func (s *State) setPhase(j *Job, phase Phase) {
	s.countJob(j, -1)
	j.Phase = phase
	s.countJob(j, 1)
}

func (s *State) stopped(r Stopped) error {
	j, err := s.current(r.Job, r.Epoch, PhaseRunning, PhaseStopping)
	if err != nil {
		return err
	}
	s.loseAll(r.Away)
	s.release(j)
	j.Progress = max(j.Progress, r.Progress)
	if j.Ran && j.RunOnce && !j.Cancelled {
		s.end(j, OutcomeFailed, "stopped, and may run only once: "+r.Reason)
		return nil
	}
	s.requeue(j)
	return nil
}

// release frees what a job holds and lets slots without a place use it.
func (s *State) release(j *Job) {
	s.countJob(j, -1)
	for task, a := range j.Assignments {
		s.workers[a.Worker].dropTask(j.ID, task)
	}
	if j.Kind == KindGuaranteed {
		s.emptySlots(j)
	}
	j.Assignments = nil
	j.Kind = ""
	j.Guarantee = ""
	j.Driver = ""
	s.countJob(j, 1)
	s.seatShort()
}

// emptySlots takes the job out of its slots. A slot on an unusable worker
// loses its place.
func (s *State) emptySlots(j *Job) {
	for _, a := range j.Assignments {
		for _, i := range s.slotsOn(a.Worker) {
			l := s.slots.list[i]
			if l.Job != j.ID {
				continue
			}
			s.setSlot(i, l.Worker, l.Accelerators, "")
			if !s.workers[a.Worker].Usable(s.now) {
				s.unseat(i)
			}
		}
	}
}

func (s *State) end(j *Job, outcome Outcome, text string) {
	s.countJob(j, -1)
	j.Phase = PhaseEnded
	j.Outcome = outcome
	j.Error = text
	j.Ended = s.now
	s.countJob(j, 1)
	s.remember(expiry{Job: j.ID})
	if s.onEnd != nil {
		s.onEnd(j)
	}
}

func (s *State) finish(r Finish) error {
	j, err := s.current(r.Job, r.Epoch, PhaseRunning, PhaseStopping)
	if err != nil {
		return err
	}
	workers := j.Assignments
	s.release(j)
	if !r.Failed {
		s.learn(j, r.RanTime)
		s.praise(workers)
		s.end(j, OutcomeSucceeded, "")
		return nil
	}
	if s.workers[r.Worker] != nil && !slices.Contains(j.FailedOn, r.Worker) {
		j.FailedOn = append(j.FailedOn, r.Worker)
	}
	switch {
	case j.RunOnce, r.Final:
		s.end(j, OutcomeFailed, r.Error)
	case len(j.FailedOn) >= s.rulebook.Sharing.DeadLetterAfter:
		s.acquit(j.ID)
		s.end(j, OutcomeDeadLettered, r.Error)
	default:
		s.requeue(j)
	}
	if j.Outcome != OutcomeDeadLettered && !r.Final {
		s.blame(r.Worker, j.ID)
	}
	return nil
}

func (s *State) cancel(r Cancel) error {
	j := s.jobs[r.Job]
	if j == nil {
		return fmt.Errorf("%w: %s", ErrUnknownJob, r.Job)
	}
	if j.Phase == PhaseEnded || j.Cancelled {
		return fmt.Errorf("%w: %s", ErrNoChange, r.Job)
	}
	j.Cancelled = true
	if j.Phase == PhaseWaiting {
		s.end(j, OutcomeCancelled, "")
		return nil
	}
	s.setPhase(j, PhaseStopping)
	return nil
}

// takeover gives a gang a new driver. One that was still reserved cannot know
// which leases are held, so it must be given back.
func (s *State) takeover(r Takeover) error {
	j := s.jobs[r.Job]
	if j == nil {
		return fmt.Errorf("%w: %s", ErrUnknownJob, r.Job)
	}
	if !j.HoldsAccelerators() {
		return fmt.Errorf("%w: %s is %s", ErrWrongPhase, r.Job, j.Phase)
	}
	if r.Epoch != j.Epoch+1 {
		return fmt.Errorf("%w: %s is at %d", ErrWrongEpoch, r.Job, j.Epoch)
	}
	j.Epoch = r.Epoch
	j.Driver = r.Driver
	if j.Phase == PhaseReserved {
		s.setPhase(j, PhaseStopping)
	}
	return nil
}

// yield stops a job that can be moved.
func (s *State) yield(r Yield) error {
	j, err := s.current(r.Job, r.Epoch, PhaseRunning)
	if err != nil {
		return err
	}
	if !s.Movable(j, s.now) {
		return fmt.Errorf("%w: %s cannot be moved", ErrWrongPhase, r.Job)
	}
	j.Moved = s.now
	j.Preemptions++
	s.setPhase(j, PhaseStopping)
	return nil
}
