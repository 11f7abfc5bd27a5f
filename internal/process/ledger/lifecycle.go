package ledger

import (
	"fmt"
	"slices"
	"time"

	"corianderpass/internal/process/adjacency"
	"corianderpass/pkg/platform"
)

// submit adds a job in PhaseWaiting.
func (s *State) submit(r Submit) error {
	spec := r.Spec
	if existing := s.jobs[spec.ID]; existing != nil {
		if existing.Spec != spec {
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
	if s.unendedJobs[o.Name] >= o.WaitingJobs {
		return fmt.Errorf("%w: organisation %s has %d", ErrTooManyJobs, o.Name, s.unendedJobs[o.Name])
	}
	if quota := o.QuotaBeyondGuarantees(); o.AcceleratorQuota > 0 && spec.TotalAccelerators() > quota && !s.fitsGuarantee(spec) {
		return fmt.Errorf("%w: needs %d accelerators, quota without the guarantees is %d", ErrNeverFits, spec.TotalAccelerators(), quota)
	}
	if err := s.checkFits(spec); err != nil {
		return err
	}
	j := &Job{Spec: spec, Phase: PhaseWaiting, Submitted: s.now}
	s.jobs[spec.ID] = j
	s.updateTotals(j, 1)
	return nil
}

// maxTasks is the largest number of tasks in a gang.
const maxTasks = 4096

// check returns an error that names the first field that is out of range.
func (s Spec) check() error {
	switch {
	case s.Class != ClassUrgent && s.Class != ClassBatch:
		return fmt.Errorf("%w: Class is %q, want Urgent or Batch", ErrInvalidJob, s.Class)
	case s.Tasks < 1 || s.Tasks > maxTasks:
		return fmt.Errorf("%w: Tasks must be from 1 to %d", ErrInvalidJob, maxTasks)
	case s.Accelerators < 1 || s.Accelerators > 64:
		return fmt.Errorf("%w: Accelerators must be from 1 to 64", ErrInvalidJob)
	case s.RunTime < 0:
		return fmt.Errorf("%w: RunTime is negative", ErrInvalidJob)
	}
	return nil
}

// checkFits checks that the region's workers could hold the gang if they were empty. A
// gang that is not preemptible and fits no guarantee must leave enough accelerators for
// all guarantees.
func (s *State) checkFits(spec Spec) error {
	if len(s.workerIDs) == 0 {
		return ErrNoWorkers
	}
	capacity, total := 0, 0
	for _, id := range s.workerIDs {
		w := s.workers[id]
		capacity += taskCapacity(w, spec)
		total += w.Accelerators
	}
	if capacity < spec.Tasks {
		return fmt.Errorf("%w: the workers of region %s can hold %d of %d tasks", ErrNeverFits, s.region, capacity, spec.Tasks)
	}
	if spec.Preemptible || s.fitsGuarantee(spec) {
		return nil
	}
	guaranteed := 0
	for _, l := range s.slots.list {
		guaranteed += l.Size
	}
	if total-guaranteed < spec.TotalAccelerators() {
		return fmt.Errorf("%w: job is not preemptible and %d accelerators belong to no guarantee", ErrNeverFits, total-guaranteed)
	}
	return nil
}

// taskCapacity returns how many tasks of a specification an empty worker can hold.
func taskCapacity(w *Worker, spec Spec) int {
	n := adjacency.CountGroups(w.All(), spec.Accelerators)
	if spec.Cores > 0 {
		n = min(n, int(w.Cores/spec.Cores))
	}
	if spec.Memory > 0 {
		n = min(n, int(w.Memory/spec.Memory))
	}
	return n
}

// fitsGuarantee reports whether some guarantee of the organisation in this region has
// enough slots of sufficient size for the whole gang, filled or not.
func (s *State) fitsGuarantee(spec Spec) bool {
	o, err := s.organisation(spec.ID.Organisation())
	if err != nil {
		return false
	}
	for _, g := range o.Guarantees {
		slot := Slot{Size: g.Accelerators, Cores: g.Cores, Memory: g.Memory}
		if g.Region == s.region && g.Tasks >= spec.Tasks && slot.fitsTask(spec) {
			return true
		}
	}
	return false
}

// currentJob returns the job if epoch is its current epoch and its phase is one of those
// given.
func (s *State) currentJob(id JobID, epoch platform.Epoch, phases ...Phase) (*Job, error) {
	j := s.jobs[id]
	if j == nil {
		return nil, fmt.Errorf("%w: %s", ErrUnknownJob, id)
	}
	if epoch != j.Epoch {
		return nil, fmt.Errorf("%w: job %s has epoch %d, record has %d", ErrWrongEpoch, id, j.Epoch, epoch)
	}
	if !slices.Contains(phases, j.Phase) {
		return nil, fmt.Errorf("%w: job %s is %s", ErrWrongPhase, id, j.Phase)
	}
	return j, nil
}

// commit moves a reserved gang to PhaseRunning, so that its tasks may start.
func (s *State) commit(r Commit) error {
	j, err := s.currentJob(r.Job, r.Epoch, PhaseReserved)
	if err != nil {
		return err
	}
	j.Phase = PhaseRunning
	j.Started = s.now
	j.Ran = true
	return nil
}

// abort returns a reserved gang to the queue, or ends it if it was cancelled. It also
// accepts a stopping gang, such as one that was preempted while it was reserved.
func (s *State) abort(r Abort) error {
	j, err := s.currentJob(r.Job, r.Epoch, PhaseReserved, PhaseStopping)
	if err != nil {
		return err
	}
	if j.Phase == PhaseStopping && j.Ran && j.RunOnce {
		return fmt.Errorf("%w: job %s must run only once and may have run", ErrWrongPhase, r.Job)
	}
	s.loseWorkers(r.Away)
	s.release(j)
	s.requeue(j)
	return nil
}

// requeue returns a job that has released its accelerators to PhaseWaiting, or ends it if
// it was cancelled.
func (s *State) requeue(j *Job) {
	if j.Cancelled {
		s.endJob(j, OutcomeCancelled, "")
		return
	}
	s.setPhase(j, PhaseWaiting)
}

func (s *State) setPhase(j *Job, phase Phase) {
	s.updateTotals(j, -1)
	j.Phase = phase
	s.updateTotals(j, 1)
}

// stopped requeues a gang that has stopped. A job that must run only once fails instead,
// unless it was cancelled.
func (s *State) stopped(r Stopped) error {
	j, err := s.currentJob(r.Job, r.Epoch, PhaseRunning, PhaseStopping)
	if err != nil {
		return err
	}
	s.loseWorkers(r.Away)
	s.release(j)
	if r.Crashed {
		s.countCrash(j, r)
	}
	j.Progress = max(j.Progress, r.Progress)
	if j.Ran && j.RunOnce && !j.Cancelled {
		s.endJob(j, OutcomeFailed, "stopped, and may run only once: "+r.Reason)
		return nil
	}
	if j.Crashes >= s.bundle.Sharing.DeadLetterAfter && !j.Cancelled {
		s.endJob(j, OutcomeDeadLettered, fmt.Sprintf("workers crashed under %d runs: %s", j.Crashes, r.Reason))
		return nil
	}
	s.requeue(j)
	return nil
}

// provenTime is how long a gang must have run so that the crash of a worker is counted as its first.
// Otherwise the crashes of months would add up.
const provenTime = time.Minute

// countCrash counts a run that ended with the crash of a worker.
func (s *State) countCrash(j *Job, r Stopped) {
	if r.Progress > j.Progress || s.now.Sub(j.Started) >= provenTime {
		j.Crashes = 0
	}
	j.Crashes++
}

// release removes a job's holdings and its placement, and places slots on the freed
// capacity. It does not change the job's phase.
func (s *State) release(j *Job) {
	s.updateTotals(j, -1)
	for task, a := range j.Assignments {
		s.workers[a.Worker].removeTask(j.ID, task)
	}
	if j.Kind == KindGuaranteed {
		s.vacateSlots(j)
	}
	j.Assignments = nil
	j.Kind = ""
	j.Guarantee = ""
	j.Driver = ""
	s.updateTotals(j, 1)
	s.placeUnplacedSlots()
}

// vacateSlots makes the slots that the job fills unfilled. A slot on an unusable worker
// loses its place.
func (s *State) vacateSlots(j *Job) {
	for _, a := range j.Assignments {
		for _, i := range s.slotsOn(a.Worker) {
			l := s.slots.list[i]
			if l.Job != j.ID {
				continue
			}
			s.setSlot(i, l.Worker, l.Accelerators, "")
			if !s.workers[a.Worker].Usable(s.now) {
				s.unplaceSlot(i)
			}
		}
	}
}

// endJob ends a job that holds no accelerators.
func (s *State) endJob(j *Job, outcome Outcome, message string) {
	s.updateTotals(j, -1)
	j.Phase = PhaseEnded
	j.Outcome = outcome
	j.Error = message
	j.Ended = s.now
	s.updateTotals(j, 1)
	s.addExpiry(expiry{Job: j.ID})
	if s.onEnd != nil {
		s.onEnd(j)
	}
}

// finish ends a gang that succeeded, and ends or requeues one that failed. The failure
// counts against the worker unless it is final or the job has failed on too many workers.
func (s *State) finish(r Finish) error {
	j, err := s.currentJob(r.Job, r.Epoch, PhaseRunning, PhaseStopping)
	if err != nil {
		return err
	}
	assignments := j.Assignments
	s.release(j)
	if !r.Failed {
		s.updateCorrection(j, r.RanTime)
		s.recordSuccess(assignments)
		s.endJob(j, OutcomeSucceeded, "")
		return nil
	}
	if s.workers[r.Worker] != nil && !slices.Contains(j.FailedOn, r.Worker) {
		j.FailedOn = append(j.FailedOn, r.Worker)
	}
	switch {
	case j.RunOnce, r.Final:
		s.endJob(j, OutcomeFailed, r.Error)
	case len(j.FailedOn) >= s.bundle.Sharing.DeadLetterAfter:
		s.removeFailure(j.ID)
		s.endJob(j, OutcomeDeadLettered, r.Error)
	default:
		s.requeue(j)
	}
	if j.Outcome != OutcomeDeadLettered && !r.Final {
		s.recordFailure(r.Worker, j.ID)
	}
	return nil
}

// cancel ends a waiting job, and stops one that holds accelerators.
func (s *State) cancel(r Cancel) error {
	j := s.jobs[r.Job]
	if j == nil {
		return fmt.Errorf("%w: %s", ErrUnknownJob, r.Job)
	}
	if j.Phase == PhaseEnded || j.Cancelled {
		return fmt.Errorf("%w: job %s has ended or is cancelled", ErrNoChange, r.Job)
	}
	j.Cancelled = true
	if j.Phase == PhaseWaiting {
		s.endJob(j, OutcomeCancelled, "")
		return nil
	}
	s.setPhase(j, PhaseStopping)
	return nil
}

// takeover gives a gang a new driver. The new driver of a reserved gang cannot determine
// which leases are held, so a reserved gang must stop.
func (s *State) takeover(r Takeover) error {
	j := s.jobs[r.Job]
	if j == nil {
		return fmt.Errorf("%w: %s", ErrUnknownJob, r.Job)
	}
	if !j.HoldsAccelerators() {
		return fmt.Errorf("%w: job %s is %s", ErrWrongPhase, r.Job, j.Phase)
	}
	if r.Epoch != j.Epoch+1 {
		return fmt.Errorf("%w: job %s has epoch %d", ErrWrongEpoch, r.Job, j.Epoch)
	}
	j.Epoch = r.Epoch
	j.Driver = r.Driver
	if j.Phase == PhaseReserved {
		s.setPhase(j, PhaseStopping)
	}
	return nil
}

// yield stops a movable job, so that it is placed again.
func (s *State) yield(r Yield) error {
	j, err := s.currentJob(r.Job, r.Epoch, PhaseRunning)
	if err != nil {
		return err
	}
	if !s.Movable(j, s.now) {
		return fmt.Errorf("%w: job %s cannot be moved", ErrWrongPhase, r.Job)
	}
	j.Moved = s.now
	j.Preemptions++
	s.setPhase(j, PhaseStopping)
	return nil
}
