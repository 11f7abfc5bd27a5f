package experiment

import (
	"fmt"
	"io"
	"slices"
	"time"

	"corianderpass/internal/process/adjacency"
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/version/bundle"
)

// SizeClass groups jobs by the accelerators that they need.
type SizeClass string

// The size classes.
const (
	// SizeSmall jobs need less than a worker.
	SizeSmall SizeClass = "Small"
	// SizeMedium jobs need as many accelerators as a worker has.
	SizeMedium SizeClass = "Medium"
	// SizeLarge jobs need several workers.
	SizeLarge SizeClass = "Large"
	// SizeClaim jobs are urgent claims of guarantees with any number of accelerators.
	SizeClaim SizeClass = "Claim"
)

// SizeClasses lists the size classes in the order of a report.
var SizeClasses = []SizeClass{SizeSmall, SizeMedium, SizeLarge, SizeClaim}

// sizeOf returns the size class of a job.
func sizeOf(s ledger.Spec) SizeClass {
	switch {
	case s.Class == ledger.ClassUrgent:
		return SizeClaim
	case s.Small():
		return SizeSmall
	case s.TotalAccelerators() == acceleratorsPerWorker:
		return SizeMedium
	}
	return SizeLarge
}

// Report holds the measurements of one experiment.
type Report struct {
	// Completion has the times from submission to success, in minutes.
	Completion map[SizeClass]*Sample
	// ByOrganisation has the same times as Completion, by organisation.
	ByOrganisation map[bundle.OrganisationName]*Sample
	// Stretch has the time from submission to success divided by the true run time,
	// for jobs that succeeded.
	Stretch Sample
	// ClaimStart has the seconds from submission to the first start, for claims whose
	// guaranteed slots could be filled at submission: the slots had a place and were not
	// used by urgent or firm work of the same organisation. BlockedClaims counts the
	// claims whose slots could not be filled at submission.
	ClaimStart    Sample
	BlockedClaims int
	// Fragmentation has samples of the share of the free accelerators that the largest
	// guaranteed slot cannot use, 0 to 1. There is no sample while none are free.
	Fragmentation Sample
	// Unusable has samples of the number of free accelerators that the largest guaranteed
	// slot cannot use, and Free samples of the number of all free accelerators.
	Unusable, Free Sample
	// HeldShare has samples of the share of all accelerators that jobs hold, 0 to 1.
	HeldShare Sample
	// LostHours is the work that stopped jobs must repeat, in accelerator hours.
	LostHours float64
	// Preemptions counts how often the ended jobs were preempted or moved, Moves the
	// orders to move a gang to a better place, GuaranteedPlacements the placements under a
	// guarantee, RejectedPlacements the placements and moves that the ledger rejected,
	// RejectedJobs the jobs that the ledger rejected, and Records all records.
	Preemptions, Moves, GuaranteedPlacements, RejectedPlacements, RejectedJobs, Records int
	// Unfinished counts the jobs that had not ended when the experiment ended.
	Unfinished int
	// Outcomes counts the ended jobs by outcome.
	Outcomes map[ledger.Outcome]int
	// Violations has a description of each violation of an invariant of the ledger.
	Violations []string

	// started has the jobs that have started at least once.
	started map[ledger.JobID]bool
	// startable has the claims whose slots could be filled at submission.
	startable map[ledger.JobID]bool
	// largestSlot is the number of accelerators of the largest guaranteed slot.
	largestSlot int
}

func newReport(w Workload) *Report {
	r := &Report{
		Completion: map[SizeClass]*Sample{}, ByOrganisation: map[bundle.OrganisationName]*Sample{},
		Outcomes: map[ledger.Outcome]int{}, started: map[ledger.JobID]bool{}, startable: map[ledger.JobID]bool{},
	}
	for _, s := range SizeClasses {
		r.Completion[s] = &Sample{}
	}
	for _, o := range w.newBundle().Organisations {
		r.ByOrganisation[o.Name] = &Sample{}
		for _, g := range o.Guarantees {
			r.largestSlot = max(r.largestSlot, g.Accelerators)
		}
	}
	return r
}

// recordClaim records whether the slots of a new claim can be filled at once.
func (r *Report) recordClaim(s *ledger.State, spec ledger.Spec) {
	if _, slots := s.FillableSlots(spec, nil); slots == nil {
		r.BlockedClaims++
		return
	}
	r.startable[spec.ID] = true
}

// recordStart records that a job has started. For the first start of a claim in startable, it
// adds a value to ClaimStart.
func (r *Report) recordStart(j *ledger.Job) {
	if r.startable[j.ID] && !r.started[j.ID] {
		r.ClaimStart.Add(j.Started.Sub(j.Submitted).Seconds())
	}
	r.started[j.ID] = true
}

// recordEnd records the outcome and the preemptions of an ended job and, if it succeeded,
// its times.
func (r *Report) recordEnd(j *ledger.Job, a arrival) {
	r.Outcomes[j.Outcome]++
	r.Preemptions += j.Preemptions
	if j.Outcome != ledger.OutcomeSucceeded {
		return
	}
	took := j.Ended.Sub(j.Submitted)
	r.Completion[sizeOf(j.Spec)].Add(took.Minutes())
	r.ByOrganisation[j.ID.Organisation()].Add(took.Minutes())
	r.Stretch.Add(took.Seconds() / max(time.Second, a.trueRunTime).Seconds())
}

// recordState samples the use of accelerators.
func (r *Report) recordState(s *ledger.State) {
	free, usable, all := 0, 0, 0
	for _, id := range s.Workers() {
		w := s.Worker(id)
		all += w.Accelerators
		set := w.Free()
		free += set.Count()
		usable += adjacency.CountGroups(set, r.largestSlot) * r.largestSlot
	}
	if free > 0 {
		r.Fragmentation.Add(1 - float64(usable)/float64(free))
	}
	r.Unusable.Add(float64(free - usable))
	r.Free.Add(float64(free))
	r.HeldShare.Add(1 - float64(free)/float64(all))
}

// finish records the number of open jobs at the end and checks the invariants of the
// ledger.
func (r *Report) finish(s *ledger.State, open int) {
	r.Unfinished = open
	if err := s.Check(); err != nil {
		r.Violations = append(r.Violations, err.Error())
	}
}

// Sample is a set of measured values. The zero value is empty. It is not safe for
// concurrent use.
type Sample struct {
	values []float64
	sorted bool
}

// Add adds a value.
func (s *Sample) Add(v float64) {
	s.values = append(s.values, v)
	s.sorted = false
}

// Count returns the number of values.
func (s *Sample) Count() int { return len(s.values) }

// Mean returns the mean, or 0 if there are no values.
func (s *Sample) Mean() float64 {
	if len(s.values) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range s.values {
		sum += v
	}
	return sum / float64(len(s.values))
}

// Quantile returns the value below which the share q (0 to 1) of the values lies, or 0
// if there are no values.
func (s *Sample) Quantile(q float64) float64 {
	if len(s.values) == 0 {
		return 0
	}
	if !s.sorted {
		slices.Sort(s.values)
		s.sorted = true
	}
	return s.values[min(len(s.values)-1, int(q*float64(len(s.values))))]
}

// Print writes the completion times as rows of a Markdown table, one for each size
// class.
func (r *Report) Print(out io.Writer, name string) {
	for _, size := range SizeClasses {
		c := r.Completion[size]
		_, _ = fmt.Fprintf(out, "| %s | %s | %d | %.1f | %.1f | %.1f | %.1f |\n", name, size, c.Count(), c.Mean(), c.Quantile(0.5), c.Quantile(0.95), c.Quantile(0.99))
	}
}

// TotalsRow returns the measurements that Print does not write, over all size classes, as
// a row of a Markdown table.
func (r *Report) TotalsRow(name string) string {
	return fmt.Sprintf("| %s | %.3f | %.2f of %.2f | %.3f | %.1f | %.1f | %.2f | %d | %d | %d | %.1f | %d | %d | %d |", name, r.Fragmentation.Mean(), r.Unusable.Mean(), r.Free.Mean(), r.HeldShare.Mean(),
		r.Stretch.Mean(), r.Stretch.Quantile(1), r.ClaimStart.Quantile(1), r.BlockedClaims, r.Preemptions, r.Moves, r.LostHours, r.RejectedPlacements, r.Unfinished, len(r.Violations))
}
