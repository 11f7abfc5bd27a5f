package workload

import (
	"slices"
	"time"

	"corianderpass/internal/process/journal"
)

const (
	// earlyCancelRetention is how long a job may be recorded after its cancellation and still be cancelled, in the
	// stream's time. It covers an outage of the log of the length for which the design is tested.
	earlyCancelRetention = 10 * time.Minute
	// maxEarlyCancels bounds the size of the state if many jobs are cancelled that never come.
	maxEarlyCancels = 4096
)

// EarlyCancel is the cancellation of a job that the state did not have.
type EarlyCancel struct {
	Cancel
	// At is the stream's time of the cancellation in Unix milliseconds.
	At int64
}

// EarlyCancels returns the cancellations of jobs that the state does not have, the newest last. The slice must not be
// changed.
func (s *State) EarlyCancels() []EarlyCancel { return s.earlyCancels }

// cancelEarly records the cancellation of a job that the state does not have, and forgets the oldest ones.
func (s *State) cancelEarly(at journal.Position, r Cancel) {
	oldest := at.Time.Add(-earlyCancelRetention).UnixMilli()
	kept := slices.DeleteFunc(slices.Clone(s.earlyCancels), func(c EarlyCancel) bool { return c.At < oldest || c.Cancel == r })
	kept = append(kept, EarlyCancel{Cancel: r, At: at.Time.UnixMilli()})
	s.earlyCancels = kept[max(0, len(kept)-maxEarlyCancels):]
}

// takeEarlyCancel removes the cancellation of the job and reports whether there was one that still counts.
func (s *State) takeEarlyCancel(at journal.Position, spec JobSpec) bool {
	i := slices.IndexFunc(s.earlyCancels, func(c EarlyCancel) bool {
		return c.Job == spec.ID && c.Queue == spec.Queue && c.Organisation == spec.Organisation
	})
	if i < 0 {
		return false
	}
	recent := s.earlyCancels[i].At >= at.Time.Add(-earlyCancelRetention).UnixMilli()
	s.earlyCancels = slices.Delete(slices.Clone(s.earlyCancels), i, i+1)
	return recent
}
