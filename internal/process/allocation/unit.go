package allocation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
)

// unit is what starts together: one task, or a whole gang.
type unit struct {
	job     *workload.Job
	step    workload.StepSpec
	members []workload.TaskRef
	// run is the highest run number among the members. The unit's next run gets the number
	// after it.
	run  workload.Run
	rank rank
	// duration is how long a run on the rack of its data is expected to take.
	duration time.Duration
	// permits has the permit of each worker that may run the unit; nil if the unit needs no
	// permits.
	permits map[workload.LifeID]workload.Permit
	// failedOn are the workers on which the unit has failed, with the time of the latest failure there. If
	// excludesFailed is true, the unit is not placed on them.
	failedOn       map[workload.LifeID]time.Duration
	excludesFailed bool
	// ignoresQuarantine is true if the unit may use workers that are under test after quarantine like others.
	ignoresQuarantine bool
	// implicated is true if a member is implicated in a crash.
	implicated bool
}

// rank is the importance of a unit, see compareRank.
type rank struct {
	tier tier
	// noBenefit is true if the occurrence has missed its objective by so much that it no longer
	// yields any benefit.
	noBenefit bool
	// outlook is that of the occurrence; outlookOnTime if there is no forecast.
	outlook outlook
	// density is the benefit that finishing the occurrence still yields for each unit of work that
	// is left; infinite if there is no forecast.
	density float64
	// slack is the time from now until the unit must start so that its job can end within the
	// objective or, unless the outlook is outlookOnTime, while it yields benefit; negative if
	// that time has passed.
	slack time.Duration
	// first is the unit's first task. It breaks ties, so that the order is total.
	first workload.TaskRef
}

// tier is the class of importance of a unit or a run; lower is more important.
type tier int

// The tiers. Units of the first two may preempt runs of later ones.
const (
	// tierGuaranteed units have priority 0 and are within their organisation's guarantee.
	tierGuaranteed tier = iota
	// tierUrgent units have priority 0 beyond the guarantee.
	tierUrgent
	// tierOrdinary units have priority 1; each higher priority number has the next tier.
	tierOrdinary
)

// mayPreempt reports whether the unit may preempt runs of lower tiers. A unit without benefit
// may not: the stopped runs rank before it and would start again on the capacity that they freed.
// Nor may an urgent unit that is late anyway: it gains less than its victims lose.
func (u *unit) mayPreempt() bool {
	if u.rank.noBenefit {
		return false
	}
	return u.rank.tier == tierGuaranteed || u.rank.tier == tierUrgent && u.rank.outlook == outlookOnTime
}

// total returns the sum of the reservations of count members.
func (u *unit) total(count int) workload.Resources {
	reservation := u.step.Reservation()
	n := int64(count)
	return workload.Resources{
		Cores:        reservation.Cores * millicores(n),
		Memory:       reservation.Memory * megabytes(n),
		Accelerators: reservation.Accelerators * count,
	}
}

// work returns the expected work of the unit's next run in core-seconds.
func (u *unit) work() float64 { return coreSeconds(u.total(len(u.members)), u.duration) }

// rankedUnits returns all waiting units that may start, the most important first.
func (p *plan) rankedUnits() []*unit {
	var units []*unit
	for _, j := range p.State.OpenJobs() {
		for occurrence := range j.Occurrences {
			if p.mayStart(j, occurrence) {
				units = p.appendUnits(units, j, occurrence)
			}
		}
	}
	slices.SortFunc(units, func(a, b *unit) int { return compareRank(a.rank, b.rank) })
	return units
}

// compareRank orders units by importance: those without benefit last, before them those that are
// expected to be missed, then by tier, density, slack and first task. Units within a guarantee are
// never put off and are ordered by slack.
func compareRank(a, b rank) int {
	if a.noBenefit != b.noBenefit {
		if a.noBenefit {
			return 1
		}
		return -1
	}
	if a.isPutOff() != b.isPutOff() {
		if a.isPutOff() {
			return 1
		}
		return -1
	}
	if a.tier != b.tier {
		return cmp.Compare(a.tier, b.tier)
	}
	if a.tier != tierGuaranteed && a.density != b.density {
		return cmp.Compare(b.density, a.density)
	}
	return cmp.Or(cmp.Compare(a.slack, b.slack), a.first.Compare(b.first))
}

// isPutOff reports whether the unit waits for all units that are not expected to be missed.
func (r rank) isPutOff() bool { return r.outlook == outlookMissed && r.tier != tierGuaranteed }

// mayStart reports whether the due time of an occurrence allows it to start.
func (p *plan) mayStart(j *workload.Job, occurrence int) bool {
	due := j.DueUnixMilli(occurrence)
	return due == 0 || p.WallTime.UnixMilli() >= due-p.Rules.EarlyStart.Milliseconds()
}

// appendUnits appends the waiting units of those steps of an occurrence that are ready.
func (p *plan) appendUnits(units []*unit, j *workload.Job, occurrence int) []*unit {
	for i, spec := range j.Steps {
		step := &j.Occurrences[occurrence].Steps[i]
		if step.Left == 0 || !j.Ready(occurrence, i) {
			continue
		}
		if spec.Gang {
			if u := p.gangUnit(j, occurrence, i, step); u != nil {
				units = append(units, u)
			}
			continue
		}
		for k, t := range step.Tasks {
			if t.Phase == workload.PhaseWaiting && t.Worker == "" {
				units = append(units, p.newUnit(j, i, occurrence, []workload.TaskRef{j.Ref(occurrence, i, k)}, t.Run))
			}
		}
	}
	return units
}

// gangUnit returns the gang of a step as a unit, nil unless all its members are waiting.
func (p *plan) gangUnit(j *workload.Job, occurrence, i int, step *workload.Step) *unit {
	members := make([]workload.TaskRef, 0, len(step.Tasks))
	run := workload.Run(0)
	for k, t := range step.Tasks {
		if t.Phase != workload.PhaseWaiting || t.Worker != "" {
			return nil
		}
		members = append(members, j.Ref(occurrence, i, k))
		run = max(run, t.Run)
	}
	return p.newUnit(j, i, occurrence, members, run)
}

// newUnit returns the members, which belong to one step, as a unit with its rank, permits and
// failed workers. run is the highest run number among the members.
func (p *plan) newUnit(j *workload.Job, step, occurrence int, members []workload.TaskRef, run workload.Run) *unit {
	u := &unit{job: j, step: j.Steps[step], members: members, run: run, implicated: isImplicated(j, members), duration: p.History.ExpectedDuration(j, step)}
	objective := p.objective(j)
	age := p.age(j, occurrence)
	u.rank = rank{
		tier:      p.tierOf(j),
		noBenefit: objective > 0 && age > benefitLimitFactor*objective,
		slack:     objective - age - p.remainingWork(j, step),
		density:   math.Inf(1),
		first:     members[0],
	}
	if f := p.forecasts[occurrenceKey{j.ID, occurrence}]; f != nil {
		u.rank.outlook, u.rank.density = f.outlook, f.density()
		if f.outlook != outlookOnTime {
			u.rank.slack += (benefitLimitFactor - 1) * objective
		}
	}
	p.setPermits(u)
	p.setFailedWorkers(u)
	return u
}

// benefitLimitFactor is how many times its objective a job may take before it yields no
// benefit, from the platform's rules on benefit.
const benefitLimitFactor = 3

// age returns the time since the occurrence was due, or since the submission of its job if the
// occurrence has no due time.
func (p *plan) age(j *workload.Job, occurrence int) time.Duration {
	if due := j.DueUnixMilli(occurrence); due > 0 {
		return p.WallTime.Sub(time.UnixMilli(due))
	}
	return p.History.JobAge(j.ID, p.Now)
}

// objective returns how long after its submission or due time the job must end to be on time.
func (p *plan) objective(j *workload.Job) time.Duration {
	return time.Duration(j.Stretch*float64(p.longestChain(j, 0, p.wavesOf(j)))) + j.Target.Std()
}

// remainingWork returns the expected time from the start of the step to the end of the job.
func (p *plan) remainingWork(j *workload.Job, step int) time.Duration {
	return p.longestChain(j, step, p.wavesOf(j))
}

// longestChain returns the expected duration of the longest dependency chain among the steps
// from the given one on, if the tasks of each step run in the given number of waves, one after the
// other.
func (p *plan) longestChain(j *workload.Job, from int, waves func(step int) int) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i := from; i < len(j.Steps); i++ {
		start := time.Duration(0)
		for _, dependency := range j.Steps[i].After {
			start = max(start, ends[dependency])
		}
		ends[i] = start + p.History.ExpectedDuration(j, i)*time.Duration(waves(i))
		longest = max(longest, ends[i])
	}
	return longest
}

// concurrentShare is the largest share of a service's capacity that the tasks of one step are
// assumed to occupy at the same time, from the platform's rules on benefit. The tasks of a step
// that needs more are assumed to run in several waves, one after the other.
const concurrentShare = 0.25

func (p *plan) wavesOf(j *workload.Job) func(step int) int {
	return func(step int) int { return p.waves(j, step) }
}

// waves returns in how many waves the tasks of a step run if each wave may use concurrentShare
// of the service's capacity; at least 1.
func (p *plan) waves(j *workload.Job, step int) int {
	spec := j.Steps[step]
	share := float64(spec.Tasks) * dominantShare(spec.Reservation(), p.serviceCapacities[j.Service])
	return max(1, int(math.Ceil(share/concurrentShare)))
}

// tierOf returns the tier of the job's units and runs.
func (p *plan) tierOf(j *workload.Job) tier {
	if j.Priority > 0 {
		return tierUrgent + tier(j.Priority)
	}
	if p.withinGuarantee[j.Organisation] {
		return tierGuaranteed
	}
	return tierUrgent
}

// organisationsWithinGuarantee returns the organisations whose open jobs of priority 0 need no
// more accelerators than they are guaranteed.
func organisationsWithinGuarantee(s *workload.State, b *bundle.Bundle) map[bundle.OrganisationName]bool {
	if b == nil {
		return nil
	}
	needed := map[bundle.OrganisationName]int{}
	for _, j := range s.OpenJobs() {
		if j.Priority == 0 {
			needed[j.Organisation] += peakAccelerators(j)
		}
	}
	withinGuarantee := map[bundle.OrganisationName]bool{}
	for _, o := range b.Organisations {
		withinGuarantee[o.Name] = needed[o.Name] <= o.GuaranteedAccelerators
	}
	return withinGuarantee
}

// peakAccelerators returns the most accelerators that any step of the job needs at the same time.
func peakAccelerators(j *workload.Job) int {
	peak := 0
	for _, s := range j.Steps {
		peak = max(peak, s.Tasks*s.Need.Accelerators)
	}
	return peak
}
