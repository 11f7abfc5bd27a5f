package workload

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/journal"
	"corianderpass/pkg/platform"
)

var (
	// ErrNotLeader is returned for a record that only the leader of the current term
	// may propose, and for a Lead of another term than the next.
	ErrNotLeader = errors.New("workload: not the leader of the current term")
	// ErrJobExists is returned if the same queue and organisation already submitted a
	// job of this ID.
	ErrJobExists = errors.New("workload: job already exists")
	// ErrJobIDTaken is returned if the ID belongs to a job of another queue or
	// organisation.
	ErrJobIDTaken = errors.New("workload: job ID is used by another queue or organisation")
	// ErrUnknownJob is returned if the job or task never existed or was forgotten.
	ErrUnknownJob = errors.New("workload: unknown job or task")
	// ErrUnknownWorker is returned if the life was never announced, or is gone or
	// forgotten.
	ErrUnknownWorker = errors.New("workload: unknown worker")
	// ErrFormerAgent is returned if another agent has been announced for the worker since the
	// record was proposed.
	ErrFormerAgent = errors.New("workload: not the agent of the worker")
	// ErrJobEnded is returned if the job has an outcome.
	ErrJobEnded = errors.New("workload: job has ended")
	// ErrPlacement is returned if the tasks may not start now or not on these workers.
	ErrPlacement = errors.New("workload: placement is not allowed")
	// ErrNotCurrentRun is returned if the run of the record is not the one that the
	// state requires: the next for a placement, the current one otherwise.
	ErrNotCurrentRun = errors.New("workload: not the current run")
	// ErrNoChange is returned if the record would change nothing.
	ErrNoChange = errors.New("workload: record changes nothing")
)

// Event is passed to the observer of a State. One record can cause several events or
// none. Exactly one of EndedJob, RunEnd with Worker and Job, Progress with Worker, and
// Refusal is set.
type Event struct {
	// EndedJob is a job that has ended; its Outcome is set.
	EndedJob *Job
	// RunEnd is the end of a run that took effect. Job is the job of its task.
	RunEnd End
	// Worker is the worker of the run in RunEnd or Progress.
	Worker *Worker
	Job    *Job
	// Progress is a forecast for a current run; its Run is 0 in other events. The
	// state doesn't store it, as it is outdated within seconds.
	Progress Progress
	// Refusal is a run that its agent refused to start.
	Refusal *Refuse
}

// State is the whole workload. It implements journal.StateMachine. It is not safe for
// concurrent use: all methods must be called under the journal's lock. Use NewState.
type State struct {
	// term is 0 before the first Lead.
	term Term
	// leader is empty before the first Lead and after a Resign.
	leader incarnation.ID
	// successor is the entry that the last leader named when it resigned; empty while there is a leader.
	successor incarnation.ID
	// leaderRecordCount is not replicated: each process counts from its own start.
	leaderRecordCount uint64
	jobs              map[JobID]*Job
	// openJobs is the subset of jobs that have not ended.
	openJobs map[JobID]*Job
	workers  map[LifeID]*Worker
	// entries are in the order in which they joined, the newest last.
	entries []Entry
	// evacuations has the newest request concerning each failure domain.
	evacuations map[platform.FailureDomain]Evacuation
	// earlyCancels are in the order in which they were recorded, at most maxEarlyCancels.
	earlyCancels []EarlyCancel
	// observer is not replicated; it may be nil.
	observer func(Event)
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		jobs: map[JobID]*Job{}, openJobs: map[JobID]*Job{}, workers: map[LifeID]*Worker{},
		evacuations: map[platform.FailureDomain]Evacuation{},
	}
}

// SetObserver sets the function that is called with every event, under the journal's
// lock. Call SetObserver before the first record.
func (s *State) SetObserver(f func(Event)) { s.observer = f }

func (s *State) emit(e Event) {
	if s.observer != nil {
		s.observer(e)
	}
}

// Leader returns the leader of the scheduler, which is empty if there is none, and the
// current term, which is 0 before the first leader.
func (s *State) Leader() (incarnation.ID, Term) { return s.leader, s.term }

// Successor returns the entry that the last leader named when it resigned. It is empty while there is a
// leader, and if none was named.
func (s *State) Successor() incarnation.ID { return s.successor }

// LeaderRecordCount returns a number that rises when a record that only a leader
// proposes takes effect, or a snapshot is restored. It differs between processes.
func (s *State) LeaderRecordCount() uint64 { return s.leaderRecordCount }

// Job returns the job, or nil if it never existed or was forgotten. The job must not be
// changed.
func (s *State) Job(id JobID) *Job { return s.jobs[id] }

// Jobs returns all jobs. The map must not be changed.
func (s *State) Jobs() map[JobID]*Job { return s.jobs }

// OpenJobs returns the jobs that have not ended. The map must not be changed.
func (s *State) OpenJobs() map[JobID]*Job { return s.openJobs }

// Worker returns the life, or nil if it was never announced or was forgotten. It must
// not be changed.
func (s *State) Worker(id LifeID) *Worker { return s.workers[id] }

// Workers returns all lives, including those that are gone. The map must not be changed.
func (s *State) Workers() map[LifeID]*Worker { return s.workers }

// Task returns the task with its job and step, and false if it does not exist.
func (s *State) Task(r TaskRef) (*Job, *Step, *Task, bool) {
	j := s.jobs[r.Job]
	if j == nil || r.Occurrence < 0 || r.Occurrence >= len(j.Occurrences) {
		return nil, nil, nil, false
	}
	steps := j.Occurrences[r.Occurrence].Steps
	if r.Step < 0 || r.Step >= len(steps) || r.Index < 0 || r.Index >= len(steps[r.Step].Tasks) {
		return nil, nil, nil, false
	}
	return j, &steps[r.Step], &steps[r.Step].Tasks[r.Index], true
}

// Apply implements journal.StateMachine. An invalid record returns an error and changes
// nothing.
func (s *State) Apply(at journal.Position, r Record) error {
	err := s.apply(at, r)
	if err == nil && r.leaderOnly() {
		s.leaderRecordCount++
	}
	return err
}

// leaderOnly reports whether records of this kind are proposed only by the leader or, in
// the case of Lead, by the entry that becomes the leader.
func (r Record) leaderOnly() bool {
	return r.Lead != nil || r.Resign != nil || r.Forget != nil || r.Place != nil || r.Stop != nil || r.Suspect != nil || r.Lapse != nil
}

func (s *State) apply(at journal.Position, r Record) error {
	switch {
	case r.Lead != nil:
		return s.lead(at, *r.Lead)
	case r.Resign != nil:
		return s.resign(at, *r.Resign)
	case r.Submit != nil:
		return s.submit(at, *r.Submit)
	case r.Cancel != nil:
		return s.cancel(at, *r.Cancel)
	case r.Forget != nil:
		return s.forget(at, *r.Forget)
	case r.Place != nil:
		return s.place(at, *r.Place)
	case r.Stop != nil:
		return s.stop(at, *r.Stop)
	}
	return s.applyWorker(at, r)
}

func (s *State) applyWorker(at journal.Position, r Record) error {
	switch {
	case r.Join != nil:
		return s.join(*r.Join)
	case r.Announce != nil:
		return s.announce(at, *r.Announce)
	case r.Report != nil:
		return s.report(*r.Report)
	case r.Depart != nil:
		return s.depart(*r.Depart)
	case r.Ends != nil:
		return s.ends(*r.Ends)
	case r.Refuse != nil:
		return s.refuse(*r.Refuse)
	case r.Suspect != nil:
		return s.suspect(at, *r.Suspect)
	case r.Resume != nil:
		return s.resume(*r.Resume)
	case r.Lapse != nil:
		return s.lapse(at, *r.Lapse)
	case r.Evacuate != nil:
		return s.evacuate(at, *r.Evacuate)
	case r.ReserveTokens != nil:
		return nil
	}
	return errors.New("workload: empty record")
}

func (s *State) lead(at journal.Position, l Lead) error {
	if l.Term != s.term+1 {
		return fmt.Errorf("%w: term %d does not follow term %d", ErrNotLeader, l.Term, s.term)
	}
	s.term = l.Term
	s.leader = at.Writer
	s.successor = ""
	return nil
}

func (s *State) resign(at journal.Position, r Resign) error {
	if err := s.checkLeader(at, r.Term); err != nil {
		return err
	}
	s.leader = ""
	s.successor = r.Successor
	return nil
}

// checkLeader returns nil if term is the current one and the writer is its leader.
func (s *State) checkLeader(at journal.Position, term Term) error {
	if term != s.term || at.Writer != s.leader {
		return fmt.Errorf("%w: writer %s, term %d; leader is %s, term %d", ErrNotLeader, at.Writer, term, s.leader, s.term)
	}
	return nil
}

func (s *State) submit(at journal.Position, r Submit) error {
	if existing := s.jobs[r.Spec.ID]; existing != nil {
		if existing.Queue != r.Spec.Queue || existing.Organisation != r.Spec.Organisation {
			return fmt.Errorf("%w: %s", ErrJobIDTaken, r.Spec.ID)
		}
		return fmt.Errorf("%w: %s", ErrJobExists, r.Spec.ID)
	}
	if err := r.Spec.Check(); err != nil {
		return err
	}
	j := newJob(r.Spec, at.Time)
	s.jobs[j.ID] = j
	s.openJobs[j.ID] = j
	if s.takeEarlyCancel(at, r.Spec) {
		s.endJob(j, OutcomeCancelled)
	}
	return nil
}

func (s *State) cancel(at journal.Position, r Cancel) error {
	j := s.jobs[r.Job]
	if j == nil && r.Queue != "" {
		s.cancelEarly(at, r)
		return nil
	}
	if j == nil || r.Queue != "" && (j.Queue != r.Queue || j.Organisation != r.Organisation) {
		return fmt.Errorf("%w: %s", ErrUnknownJob, r.Job)
	}
	if !j.Open() {
		return fmt.Errorf("%w: job %s is %s", ErrJobEnded, r.Job, j.Outcome)
	}
	s.endJob(j, OutcomeCancelled)
	return nil
}

// endJob sets the outcome and marks the running tasks for stopping. They reserve their
// resources until the ends of their runs are recorded.
func (s *State) endJob(j *Job, outcome Outcome) {
	j.Outcome = outcome
	delete(s.openJobs, j.ID)
	for o := range j.Occurrences {
		for i := range j.Occurrences[o].Steps {
			markStopping(j.Occurrences[o].Steps[i].Tasks)
		}
	}
	s.emit(Event{EndedJob: j})
}

// failJob ends the job with OutcomeFailed.
func (s *State) failJob(j *Job, f Failure) {
	j.Failure = f
	s.endJob(j, OutcomeFailed)
}

func markStopping(tasks []Task) {
	for i := range tasks {
		if tasks[i].Phase == PhaseRunning {
			tasks[i].Phase = PhaseStopping
		}
	}
}

func (s *State) forget(at journal.Position, r Forget) error {
	if err := s.checkLeader(at, r.Term); err != nil {
		return err
	}
	for _, id := range r.Jobs {
		if j := s.jobs[id]; j != nil && !j.Open() && !j.hasReservations() {
			delete(s.jobs, id)
		}
	}
	for _, id := range r.Lives {
		if w := s.workers[id]; w != nil && w.Gone {
			delete(s.workers, id)
		}
	}
	return nil
}

// hasReservations reports whether any task of the job still reserves resources.
func (j *Job) hasReservations() bool {
	for _, o := range j.Occurrences {
		for _, step := range o.Steps {
			if slices.ContainsFunc(step.Tasks, func(t Task) bool { return t.Worker != "" }) {
				return true
			}
		}
	}
	return false
}

// snapshotData is the JSON form of a state.
type snapshotData struct {
	Term   Term
	Leader incarnation.ID
	// Successor is missing in snapshots of older builds.
	Successor incarnation.ID `json:",omitempty"`
	Jobs      map[JobID]*Job
	Workers   map[LifeID]*Worker
	Entries   []Entry
	// Evacuations is missing in snapshots of older builds.
	Evacuations map[platform.FailureDomain]Evacuation `json:",omitempty"`
	// EarlyCancels is missing in snapshots of older builds.
	EarlyCancels []EarlyCancel `json:",omitempty"`
}

// MarshalSnapshot implements journal.StateMachine.
func (s *State) MarshalSnapshot() ([]byte, error) {
	data, err := json.Marshal(snapshotData{Term: s.term, Leader: s.leader, Successor: s.successor, Jobs: s.jobs, Workers: s.workers, Entries: s.entries, Evacuations: s.evacuations, EarlyCancels: s.earlyCancels})
	if err != nil {
		return nil, fmt.Errorf("workload: encode snapshot: %w", err)
	}
	return data, nil
}

// RestoreSnapshot implements journal.StateMachine. It returns an error and changes nothing
// if the snapshot breaks an invariant.
func (s *State) RestoreSnapshot(data []byte) error {
	var d snapshotData
	if err := json.Unmarshal(data, &d); err != nil {
		return fmt.Errorf("workload: decode snapshot: %w", err)
	}
	restored := NewState()
	restored.term, restored.leader, restored.successor = d.Term, d.Leader, d.Successor
	restored.entries = d.Entries
	maps.Copy(restored.evacuations, d.Evacuations)
	restored.earlyCancels = d.EarlyCancels
	for id, w := range d.Workers {
		// Snapshots of older builds lack LargestRoom.
		w.setRoom(w.Room)
		restored.workers[id] = w
	}
	for id, j := range d.Jobs {
		restored.jobs[id] = j
		if j.Open() {
			restored.openJobs[id] = j
		}
		if err := restored.restoreReservations(j); err != nil {
			return fmt.Errorf("workload: restore snapshot: %w", err)
		}
	}
	if err := restored.Check(); err != nil {
		return fmt.Errorf("workload: restore snapshot: %w", err)
	}
	restored.leaderRecordCount = s.leaderRecordCount + 1
	restored.observer = s.observer
	*s = *restored
	return nil
}

// restoreReservations adds the tasks of the job to the Runs and Used of their workers.
func (s *State) restoreReservations(j *Job) error {
	for o := range j.Occurrences {
		for i, step := range j.Occurrences[o].Steps {
			for k, t := range step.Tasks {
				if t.Worker == "" {
					continue
				}
				w := s.workers[t.Worker]
				if w == nil {
					return errors.Errorf("workload: task %s is on unknown worker %s", j.Ref(o, i, k), t.Worker)
				}
				w.reserve(j.Ref(o, i, k), t.Run, j.Steps[i].Reservation())
			}
		}
	}
	return nil
}

var _ journal.StateMachine[Record] = (*State)(nil)
