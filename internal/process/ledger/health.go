package ledger

import (
	"fmt"
	"math"
	"slices"
	"time"

	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// observe records which workers joined, changed or were lost, and places slots on the
// capacity that this adds.
func (s *State) observe(r Observe) error {
	changed := false
	for _, d := range r.Joined {
		changed = s.joinWorker(d) || changed
	}
	for _, id := range r.Lost {
		changed = s.loseWorker(id) || changed
	}
	if !changed {
		return ErrNoChange
	}
	s.placeUnplacedSlots()
	return nil
}

// rejoinDelay is the least time that a lost worker stays lost. Without it, a worker that
// the platform lists but that does not answer would be lost and joined again in a loop.
const rejoinDelay = 15 * time.Second

// joinWorker adds a worker, makes a lost one usable again or updates its description, and
// reports whether anything changed. A worker whose description changes while it has
// holdings keeps the old one until they are gone.
func (s *State) joinWorker(d platform.Worker) bool {
	w := s.workers[d.ID]
	if w == nil {
		s.workers[d.ID] = &Worker{Worker: d}
		index, _ := slices.BinarySearch(s.workerIDs, d.ID)
		s.workerIDs = slices.Insert(s.workerIDs, index, d.ID)
		return true
	}
	changed := w.Lost && s.now.Sub(w.LostAt) >= rejoinDelay
	if w.Lost && !changed {
		return false
	}
	w.Lost = false
	if w.Worker != d && len(w.Holdings) == 0 {
		// The places are removed before the size of the worker changes, since the slots
		// may not fit the new size.
		s.unplaceUnfilledSlots(d.ID)
		w.Worker = d
		changed = true
	}
	return changed
}

// loseWorker marks a worker as lost and moves its unfilled slots to other workers. It
// returns false if the worker is unknown or lost already.
func (s *State) loseWorker(id platform.WorkerID) bool {
	w := s.workers[id]
	if w == nil || w.Lost {
		return false
	}
	w.Lost = true
	w.LostAt = s.now
	s.moveUnfilledSlots(id)
	return true
}

func (s *State) loseWorkers(ids []platform.WorkerID) {
	for _, id := range ids {
		s.loseWorker(id)
	}
}

// moveUnfilledSlots moves the unfilled slots of an unusable worker to other workers. Slots
// that fit nowhere remain without a place.
func (s *State) moveUnfilledSlots(id platform.WorkerID) {
	s.unplaceUnfilledSlots(id)
	s.placeUnplacedSlots()
}

// unplaceUnfilledSlots removes the places of the unfilled slots on a worker.
func (s *State) unplaceUnfilledSlots(id platform.WorkerID) {
	for _, i := range s.slotsOn(id) {
		if s.slots.list[i].Job == "" {
			s.unplaceSlot(i)
		}
	}
}

// maxQuarantineDoublings limits how often a worker's quarantine time doubles, so that a
// quarantine lasts at most 16 times Sharing.QuarantineTime.
const maxQuarantineDoublings = 4

// recordFailure records that a job failed on a worker. The worker enters quarantine after
// failures of QuarantineAfter different jobs, or of one job after its last quarantine has
// run out. Each further quarantine without a success in between takes twice as long, up
// to maxQuarantineDoublings times.
func (s *State) recordFailure(id platform.WorkerID, job JobID) {
	w := s.workers[id]
	if w == nil {
		return
	}
	if !slices.Contains(w.FailedJobs, job) {
		w.FailedJobs = append(w.FailedJobs, job)
	}
	quarantined := !w.QuarantinedUntil.IsZero()
	probed := quarantined && !s.now.Before(w.QuarantinedUntil)
	if quarantined && !probed {
		// The task started before the quarantine. Its failure probably has the cause for
		// which the worker is in quarantine already.
		return
	}
	if !probed && len(w.FailedJobs) < s.bundle.Sharing.QuarantineAfter {
		return
	}
	doublings := min(w.Quarantines, maxQuarantineDoublings)
	w.QuarantinedUntil = s.now.Add(s.bundle.Sharing.QuarantineTime.Std() << doublings)
	w.Quarantines++
	s.moveUnfilledSlots(id)
}

// recordSuccess clears the failures and the quarantine of the workers on which a gang
// succeeded.
func (s *State) recordSuccess(assignments []Assignment) {
	for _, a := range assignments {
		w := s.workers[a.Worker]
		w.FailedJobs = nil
		w.Quarantines = 0
		if !w.QuarantinedUntil.IsZero() {
			w.QuarantinedUntil = time.Time{}
		}
	}
	s.placeUnplacedSlots()
}

// removeFailure removes a job that failed on too many different workers from the failures
// of all workers, since it is the job that is at fault. It ends a worker's first
// quarantine if too few failures remain for it.
func (s *State) removeFailure(job JobID) {
	for _, id := range s.workerIDs {
		w := s.workers[id]
		index := slices.Index(w.FailedJobs, job)
		if index < 0 {
			continue
		}
		w.FailedJobs = slices.Delete(w.FailedJobs, index, index+1)
		if len(w.FailedJobs) < s.bundle.Sharing.QuarantineAfter && w.Quarantines == 1 {
			w.QuarantinedUntil = time.Time{}
			w.Quarantines = 0
		}
	}
	s.placeUnplacedSlots()
}

// CorrectionKey identifies the jobs that share a correction: an organisation's name, a
// slash and a class.
type CorrectionKey string

// NewCorrectionKey returns the key of an organisation's jobs of a class.
func NewCorrectionKey(organisation bundle.OrganisationName, class Class) CorrectionKey {
	return CorrectionKey(fmt.Sprintf("%s/%s", organisation, class))
}

// Correction relates the declared run times of succeeded jobs to their actual ones.
type Correction struct {
	// LogRatio is the moving mean of ln(actual/declared).
	LogRatio float64
	// Count is the number of observations.
	Count int
}

const (
	// correctionWeight is the weight of a new observation in the moving mean.
	correctionWeight = 0.2
	// maxLogRatio limits one observation to a factor of about 150 either way.
	maxLogRatio = 5.0
)

// updateCorrection adds a succeeded job's declared and actual run time to its correction.
func (s *State) updateCorrection(j *Job, ran time.Duration) {
	if j.RunTime <= 0 || ran <= 0 {
		return
	}
	key := NewCorrectionKey(j.ID.Organisation(), j.Class)
	c := s.corrections[key]
	ratio := math.Log(float64(ran) / float64(j.RunTime))
	ratio = min(maxLogRatio, max(-maxLogRatio, ratio))
	// The first observations have equal weights, so that the mean does not depend on
	// the initial value 0.
	weight := max(correctionWeight, 1/float64(c.Count+1))
	c.LogRatio += weight * (ratio - c.LogRatio)
	c.Count++
	s.corrections[key] = c
}

// defaultRunTime is assumed for jobs that declare no run time.
const defaultRunTime = time.Hour

// ExpectedRemaining returns how long a job is expected to run from its next start on: its
// declared run time, corrected by earlier jobs of the same organisation and class, less its
// progress. It is at least 0.
func (s *State) ExpectedRemaining(j *Job) time.Duration {
	declared := j.RunTime
	if declared <= 0 {
		declared = defaultRunTime
	}
	c := s.corrections[NewCorrectionKey(j.ID.Organisation(), j.Class)]
	expected := time.Duration(float64(declared) * math.Exp(c.LogRatio))
	return max(0, expected-j.Progress)
}
