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

// SizeClass groups jobs by the size of the gang.
type SizeClass string

// The size classes.
const (
	// SizeSmall gangs need less than a worker.
	SizeSmall SizeClass = "Small"
	// SizeMedium gangs need one worker.
	SizeMedium SizeClass = "Medium"
	// SizeLarge gangs need several.
	SizeLarge SizeClass = "Large"
	// SizeClaim are urgent claims of guaranteed shapes.
	SizeClaim SizeClass = "Claim"
)

// SizeClasses are the size classes in order.
var SizeClasses = []SizeClass{SizeSmall, SizeMedium, SizeLarge, SizeClaim}

func sizeOf(s ledger.Spec) SizeClass {
	switch {
	case s.Class == ledger.ClassUrgent:
		return SizeClaim
	case s.Small():
		return SizeSmall
	case s.TotalAccelerators() == acceleratorsPer:
		return SizeMedium
	}
	return SizeLarge
}

// Report is what one run measured.
type Report struct {
	// Completion has the times from submission to success.
	Completion map[SizeClass]*Sample
	// ByOrganisation has the same by organisation.
	ByOrganisation map[bundle.OrganisationName]*Sample
	// Stretch is completion over need for jobs that succeeded.
	Stretch Sample
	// ClaimStart has the times from a claim of a guarantee to its start, for
	// claims whose slots were not in use by urgent or firm work of their own
	// organisation and had a place. Busy counts the others.
	ClaimStart    Sample
	BlockedClaims int
	// Fragmentation is the share of free accelerators that the largest
	// guaranteed slot cannot use, over time.
	Fragmentation Sample
	// Unusable is the mean number of such accelerators, Free that of free ones.
	Unusable, Free Sample
	// HeldShare is the share of accelerators held, over time.
	HeldShare Sample
	// LostHours are accelerator hours of work that must be done again.
	LostHours float64
	// Preemptions, GuaranteedPlacements, RejectedPlacements and RejectedJobs count what their names say; RejectedPlacements
	// are placements that the ledger refused.
	Preemptions, Moves, GuaranteedPlacements, RejectedPlacements, RejectedJobs, Records int
	// Unfinished jobs had not ended when the run did.
	Unfinished int
	// Outcomes counts the ends.
	Outcomes map[ledger.Outcome]int
	// Violations are broken invariants.
	Violations []string

	seen map[ledger.JobID]bool
	// open are the claims that could start at once.
	open map[ledger.JobID]bool
	slot int
}

func newReport(w Workload) *Report {
	r := &Report{
		Completion: map[SizeClass]*Sample{}, ByOrganisation: map[bundle.OrganisationName]*Sample{},
		Outcomes: map[ledger.Outcome]int{}, seen: map[ledger.JobID]bool{}, open: map[ledger.JobID]bool{},
	}
	for _, s := range SizeClasses {
		r.Completion[s] = &Sample{}
	}
	for _, o := range w.rules().Organisations {
		r.ByOrganisation[o.Name] = &Sample{}
		for _, g := range o.Guarantees {
			r.slot = max(r.slot, g.Accelerators)
		}
	}
	return r
}

// claimed notes whether a new claim could start at once.
func (r *Report) claimed(s *ledger.State, spec ledger.Spec) {
	if _, slots := s.FillableSlots(spec, nil); slots == nil {
		r.BlockedClaims++
		return
	}
	r.open[spec.ID] = true
}

func (r *Report) started(j *ledger.Job) {
	if r.open[j.ID] && !r.seen[j.ID] {
		r.ClaimStart.Add(j.Started.Sub(j.Submitted).Seconds())
	}
	r.seen[j.ID] = true
}

func (r *Report) ended(j *ledger.Job, a arrival) {
	r.Outcomes[j.Outcome]++
	r.Preemptions += j.Preemptions
	if j.Outcome != ledger.OutcomeSucceeded {
		return
	}
	took := j.Ended.Sub(j.Submitted)
	r.Completion[sizeOf(j.Spec)].Add(took.Minutes())
	r.ByOrganisation[j.ID.Organisation()].Add(took.Minutes())
	r.Stretch.Add(took.Seconds() / max(time.Second, a.needs).Seconds())
}

func (r *Report) sample(s *ledger.State) {
	free, usable, all := 0, 0, 0
	for _, id := range s.Workers() {
		w := s.Worker(id)
		all += w.Accelerators
		set := w.Free()
		free += set.Count()
		usable += adjacency.CountGroups(set, r.slot) * r.slot
	}
	if free > 0 {
		r.Fragmentation.Add(1 - float64(usable)/float64(free))
	}
	r.Unusable.Add(float64(free - usable))
	r.Free.Add(float64(free))
	r.HeldShare.Add(1 - float64(free)/float64(all))
}

func (r *Report) finish(s *ledger.State, open int) {
	r.Unfinished = open
	if err := s.Check(); err != nil {
		r.Violations = append(r.Violations, err.Error())
	}
}

// Sample is a set of measured values. The zero value is empty.
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

// Mean returns the mean, 0 of an empty sample.
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

// Quantile returns the value below which the share q lies, 0 of an empty sample.
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

// Print writes the report as rows of a Markdown table, one for each size class,
// and a line of totals.
func (r *Report) Print(out io.Writer, name string) {
	for _, size := range SizeClasses {
		c := r.Completion[size]
		_, _ = fmt.Fprintf(out, "| %s | %s | %d | %.1f | %.1f | %.1f | %.1f |\n", name, size, c.Count(), c.Mean(), c.Quantile(0.5), c.Quantile(0.95), c.Quantile(0.99))
	}
}

// TotalsRow returns the row of totals of a Markdown table.
func (r *Report) TotalsRow(name string) string {
	return fmt.Sprintf("| %s | %.3f | %.2f of %.2f | %.3f | %.1f | %.1f | %.2f | %d | %d | %d | %.1f | %d | %d | %d |", name, r.Fragmentation.Mean(), r.Unusable.Mean(), r.Free.Mean(), r.HeldShare.Mean(),
		r.Stretch.Mean(), r.Stretch.Quantile(1), r.ClaimStart.Quantile(1), r.BlockedClaims, r.Preemptions, r.Moves, r.LostHours, r.RejectedPlacements, r.Unfinished, len(r.Violations))
}
