package workload

import "github.com/pkg/errors"

// Check recomputes all derived values and returns an error for an invariant that does
// not hold, nil if all hold. It is meant for restored snapshots and tests.
func (s *State) Check() error {
	used := map[LifeID]Resources{}
	runs := map[LifeID]int{}
	for _, j := range s.jobs {
		if err := s.checkJob(j, used, runs); err != nil {
			return err
		}
	}
	for id, w := range s.workers {
		switch {
		case used[id] != w.Used || runs[id] != len(w.Runs):
			return errors.Errorf("workload: worker %s: used resources or runs differ from its tasks", id)
		case !w.Used.FitsIn(w.LargestRoom) || !w.Room.FitsIn(w.LargestRoom):
			return errors.Errorf("workload: worker %s: tasks use more resources than it has had", id)
		case w.Gone && len(w.Runs) > 0:
			return errors.Errorf("workload: worker %s is gone but has runs", id)
		}
	}
	return nil
}

func (s *State) checkJob(j *Job, used map[LifeID]Resources, runs map[LifeID]int) error {
	left := 0
	for o := range j.Occurrences {
		for i, step := range j.Occurrences[o].Steps {
			done := 0
			for k, t := range step.Tasks {
				if t.Phase == PhaseDone {
					done++
				}
				if t.Worker == "" {
					if t.Phase == PhaseRunning || t.Phase == PhaseStopping {
						return errors.Errorf("workload: task %s is %s without a worker", j.Ref(o, i, k), t.Phase)
					}
					continue
				}
				if t.Phase == PhaseWaiting || t.Run == 0 {
					return errors.Errorf("workload: task %s has a worker but is waiting or has no run", j.Ref(o, i, k))
				}
				used[t.Worker] = used[t.Worker].Plus(j.Steps[i].Reservation())
				runs[t.Worker]++
			}
			if step.Left != len(step.Tasks)-done {
				return errors.Errorf("workload: step %d of job %s: Left differs from the number of tasks that are not done", i, j.ID)
			}
			left += step.Left
		}
	}
	if left != j.Left || (j.Outcome == OutcomeCompleted) != (left == 0) {
		return errors.Errorf("workload: job %s has outcome %q, %d tasks are left, Left is %d", j.ID, j.Outcome, left, j.Left)
	}
	return nil
}
