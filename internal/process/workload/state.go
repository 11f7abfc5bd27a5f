package workload

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/journal"
)

var (
	// ErrNotLeader tells that the proposer does not lead the scheduler.
	ErrNotLeader = errors.New("workload: another leader or term")
	// ErrJobExists tells that the job was submitted before.
	ErrJobExists = errors.New("workload: job exists")
	// ErrJobIDTaken tells that the ID belongs to a job of another queue or organisation.
	ErrJobIDTaken = errors.New("workload: job ID is taken")
	// ErrUnknownJob tells that the job is not known, or no longer.
	ErrUnknownJob = errors.New("workload: no such job")
	// ErrUnknownWorker tells that the life is not known, or no longer.
	ErrUnknownWorker = errors.New("workload: no such worker")
	// ErrJobEnded tells that the job has ended.
	ErrJobEnded = errors.New("workload: job has ended")
	// ErrPlacement tells that a run may not start there or not now.
	ErrPlacement = errors.New("workload: placement is not allowed")
	// ErrNotCurrentRun tells that the record is about a run that is not the present one.
	ErrNotCurrentRun = errors.New("workload: not the present run")
	// ErrNoChange tells that a record would change nothing.
	ErrNoChange = errors.New("workload: nothing new")
)

// Event tells an observer what a record changed. It is not part of the state.
type Event struct {
	// EndedJob is a job that ended, nil otherwise.
	EndedJob *Job
	// RunEnd is an end that was counted, with its worker; the zero value otherwise.
	RunEnd End
	Worker *Worker
	Job    *Job
	// Progress is news of a run; its Run is 0 otherwise. It is only told, not kept:
	// it ages within seconds.
	Progress Progress
	// Refusal is an order that was not carried out, nil otherwise.
	Refusal *Refuse
}

// State is the whole workload. It implements journal.Machine; all methods must be
// called one at a time, under the journal's lock. Use NewState.
type State struct {
	term   Term
	leader incarnation.ID
	// led is the number of the leader's records that took effect; it is not part of
	// the state.
	led  uint64
	jobs map[JobID]*Job
	// open are the jobs that have not ended.
	open    map[JobID]*Job
	workers map[LifeID]*Worker
	// entries are in the order in which they joined, the newest last.
	entries []Entry
	// observer is called for what happened; it is not part of the state.
	observer func(Event)
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{jobs: map[JobID]*Job{}, open: map[JobID]*Job{}, workers: map[LifeID]*Worker{}}
}

// SetObserver sets what is called for every event. Call it before the first record.
func (s *State) SetObserver(f func(Event)) { s.observer = f }

func (s *State) tell(e Event) {
	if s.observer != nil {
		s.observer(e)
	}
}

// Leader returns the leader of the scheduler and its term; 0 before the first.
func (s *State) Leader() (incarnation.ID, Term) { return s.leader, s.term }

// LeaderRecordCount returns a number that rises with every record of a leader that took effect.
func (s *State) LeaderRecordCount() uint64 { return s.led }

// Job returns a job, nil if unknown or forgotten. It must not be changed.
func (s *State) Job(id JobID) *Job { return s.jobs[id] }

// Jobs returns all jobs. The map must not be changed.
func (s *State) Jobs() map[JobID]*Job { return s.jobs }

// OpenJobs returns the jobs that have not ended. The map must not be changed.
func (s *State) OpenJobs() map[JobID]*Job { return s.open }

// Worker returns a life, nil if unknown. It must not be changed.
func (s *State) Worker(id LifeID) *Worker { return s.workers[id] }

// Workers returns all lives. The map must not be changed.
func (s *State) Workers() map[LifeID]*Worker { return s.workers }

// Task returns a task with its step and job, false if there is none.
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

// Apply implements journal.Machine.
func (s *State) Apply(at journal.Position, r Record) error {
	err := s.apply(at, r)
	if err == nil && r.leads() {
		s.led++
	}
	return err
}

// leads tells whether only a leader proposes such a record.
func (r Record) leads() bool {
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
		return s.cancel(*r.Cancel)
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
		return s.announce(*r.Announce)
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
	}
	return errors.New("workload: empty record")
}

func (s *State) lead(at journal.Position, l Lead) error {
	if l.Term != s.term+1 {
		return fmt.Errorf("%w: term %d, present is %d", ErrNotLeader, l.Term, s.term)
	}
	s.term = l.Term
	s.leader = at.Writer
	return nil
}

func (s *State) resign(at journal.Position, r Resign) error {
	if err := s.leads(at, r.Term); err != nil {
		return err
	}
	s.leader = ""
	return nil
}

// leads tells whether the writer leads in the term.
func (s *State) leads(at journal.Position, term Term) error {
	if term != s.term || at.Writer != s.leader {
		return fmt.Errorf("%w: %s in %d, present is %s in %d", ErrNotLeader, at.Writer, term, s.leader, s.term)
	}
	return nil
}

func (s *State) submit(at journal.Position, r Submit) error {
	if before := s.jobs[r.Spec.ID]; before != nil {
		if before.Queue != r.Spec.Queue || before.Organisation != r.Spec.Organisation {
			return fmt.Errorf("%w: %s", ErrJobIDTaken, r.Spec.ID)
		}
		return fmt.Errorf("%w: %s", ErrJobExists, r.Spec.ID)
	}
	if err := r.Spec.Check(); err != nil {
		return err
	}
	j := newJob(r.Spec, at.Time)
	s.jobs[j.ID] = j
	s.open[j.ID] = j
	return nil
}

func (s *State) cancel(r Cancel) error {
	j := s.jobs[r.Job]
	if j == nil {
		return fmt.Errorf("%w: %s", ErrUnknownJob, r.Job)
	}
	if !j.Open() {
		return fmt.Errorf("%w: %s is %s", ErrJobEnded, r.Job, j.Outcome)
	}
	s.finish(j, OutcomeCancelled)
	return nil
}

// finish ends a job. What still runs of it keeps its room until its end.
func (s *State) finish(j *Job, outcome Outcome) {
	j.Outcome = outcome
	delete(s.open, j.ID)
	for o := range j.Occurrences {
		for i := range j.Occurrences[o].Steps {
			stopRunning(j.Occurrences[o].Steps[i].Tasks)
		}
	}
	s.tell(Event{EndedJob: j})
}

func stopRunning(tasks []Task) {
	for i := range tasks {
		if tasks[i].Phase == PhaseRunning {
			tasks[i].Phase = PhaseStopping
		}
	}
}

func (s *State) forget(at journal.Position, r Forget) error {
	if err := s.leads(at, r.Term); err != nil {
		return err
	}
	for _, id := range r.Jobs {
		if j := s.jobs[id]; j != nil && !j.Open() && !j.held() {
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

// held tells whether any task of the job still holds room.
func (j *Job) held() bool {
	for _, o := range j.Occurrences {
		for _, step := range o.Steps {
			if slices.ContainsFunc(step.Tasks, func(t Task) bool { return t.Worker != "" }) {
				return true
			}
		}
	}
	return false
}

// snapshotData is the stored form of a state.
type snapshotData struct {
	Term    Term
	Leader  incarnation.ID
	Jobs    map[JobID]*Job
	Workers map[LifeID]*Worker
	Entries []Entry
}

// MarshalSnapshot implements journal.Machine.
func (s *State) MarshalSnapshot() ([]byte, error) {
	data, err := json.Marshal(snapshotData{Term: s.term, Leader: s.leader, Jobs: s.jobs, Workers: s.workers, Entries: s.entries})
	if err != nil {
		return nil, fmt.Errorf("workload: marshal: %w", err)
	}
	return data, nil
}

// RestoreSnapshot implements journal.Machine. A snapshot that breaks an invariant
// is refused and changes nothing.
func (s *State) RestoreSnapshot(data []byte) error {
	var d snapshotData
	if err := json.Unmarshal(data, &d); err != nil {
		return fmt.Errorf("workload: restore: %w", err)
	}
	next := NewState()
	next.term, next.leader = d.Term, d.Leader
	next.entries = d.Entries
	for id, w := range d.Workers {
		next.workers[id] = w
	}
	for id, j := range d.Jobs {
		next.jobs[id] = j
		if j.Open() {
			next.open[id] = j
		}
		if err := next.bind(j); err != nil {
			return fmt.Errorf("workload: restore: %w", err)
		}
	}
	if err := next.Check(); err != nil {
		return fmt.Errorf("workload: restore: %w", err)
	}
	next.led = s.led + 1
	next.observer = s.observer
	*s = *next
	return nil
}

// bind notes the room that the job's tasks hold.
func (s *State) bind(j *Job) error {
	for o := range j.Occurrences {
		for i, step := range j.Occurrences[o].Steps {
			for k, t := range step.Tasks {
				if t.Worker == "" {
					continue
				}
				w := s.workers[t.Worker]
				if w == nil {
					return errors.Errorf("workload: %s is on unknown worker %s", j.Ref(o, i, k), t.Worker)
				}
				w.hold(j.Ref(o, i, k), t.Run, j.Steps[i].Reservation())
			}
		}
	}
	return nil
}

var _ journal.Machine[Record] = (*State)(nil)
