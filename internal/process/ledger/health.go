package ledger

import (
	"fmt"
	"math"
	"slices"
	"time"

	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// observe takes over what the platform says of the workers.
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

// rejoinDelay is how long a lost worker stays out, so that one that is listed but
// does not answer is not tried without end.
const rejoinDelay = 15 * time.Second

// joinWorker enters a worker, or brings a lost one back. A worker that changed its
// size while tasks hold it keeps the old description until they have ended.
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
		// The slots must not be seated anew before the worker has its new size.
		s.unplaceUnfilledSlots(d.ID)
		w.Worker = d
		changed = true
	}
	return changed
}

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

// moveUnfilledSlots moves the unfilled slots of a worker to others, as far as there is room.
func (s *State) moveUnfilledSlots(id platform.WorkerID) {
	s.unplaceUnfilledSlots(id)
	s.placeUnplacedSlots()
}

// unplaceUnfilledSlots takes the places of the unfilled slots on a worker away.
func (s *State) unplaceUnfilledSlots(id platform.WorkerID) {
	for _, i := range s.slotsOn(id) {
		if s.slots.list[i].Job == "" {
			s.unplaceSlot(i)
		}
	}
}

// maxQuarantineDoublings bounds the growth of a worker's quarantine.
const maxQuarantineDoublings = 4

// recordFailure notes that a job failed on a worker. Enough different jobs, or one
// failed test after a quarantine, put the worker into quarantine.
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
		// The task was there before the quarantine and says nothing new.
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

// recordSuccess clears the record of workers on which a gang succeeded.
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

// removeFailure takes a job that fails everywhere out of the workers' records.
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

// CorrectionKey names an organisation's class.
type CorrectionKey string

// NewCorrectionKey returns the key of an organisation's class.
func NewCorrectionKey(organisation bundle.OrganisationName, class Class) CorrectionKey {
	return CorrectionKey(fmt.Sprintf("%s/%s", organisation, class))
}

// Correction is what was learned of declared run times.
type Correction struct {
	// LogRatio is the moving mean of ln(actual/declared).
	LogRatio float64
	Count    int
}

const (
	// correctionWeight is the weight of a new observation.
	correctionWeight = 0.2
	// maxLogRatio bounds one observation to a factor of about 150.
	maxLogRatio = 5.0
)

// updateCorrection compares a job's declared and actual run time.
func (s *State) updateCorrection(j *Job, ran time.Duration) {
	if j.RunTime <= 0 || ran <= 0 {
		return
	}
	key := NewCorrectionKey(j.ID.Organisation(), j.Class)
	c := s.corrections[key]
	ratio := math.Log(float64(ran) / float64(j.RunTime))
	ratio = min(maxLogRatio, max(-maxLogRatio, ratio))
	// The first observations count as a plain mean.
	weight := max(correctionWeight, 1/float64(c.Count+1))
	c.LogRatio += weight * (ratio - c.LogRatio)
	c.Count++
	s.corrections[key] = c
}

// defaultRunTime is assumed of jobs that declare none.
const defaultRunTime = time.Hour

// ExpectedRemaining returns the corrected run time of a job, less its progress.
func (s *State) ExpectedRemaining(j *Job) time.Duration {
	declared := j.RunTime
	if declared <= 0 {
		declared = defaultRunTime
	}
	c := s.corrections[NewCorrectionKey(j.ID.Organisation(), j.Class)]
	expected := time.Duration(float64(declared) * math.Exp(c.LogRatio))
	return max(0, expected-j.Progress)
}
