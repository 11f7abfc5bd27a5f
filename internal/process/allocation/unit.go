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
	// run is the newest run of the members.
	run  workload.Run
	rank rank
	// duration is how long a run near its data probably takes.
	duration time.Duration
	// permits are the workers that may run it; nil if all may.
	permits map[workload.LifeID]workload.Permit
	// avoid are the workers that failed it; a unit that shuns them does not go there.
	avoid map[workload.LifeID]bool
	shuns bool
}

// rank orders units; lower goes first in every field, in the order of the fields.
type rank struct {
	tier tier
	// hopeless units have missed their objective so far that they earn nothing.
	hopeless bool
	// late units can no longer be on time.
	late bool
	// slack is the time until the unit must start to be on time; negative if late.
	slack time.Duration
	// first is the unit's first task; it makes the order total.
	first workload.TaskRef
}

// tier is the class of importance of a unit or a run.
type tier int

// The tiers. Units of the first two may preempt runs of later ones.
const (
	// tierAssured units are within their organisation's guarantee.
	tierAssured tier = iota
	// tierUrgent units have priority 0.
	tierUrgent
	// tierOrdinary is the tier of priority 1; higher priorities follow.
	tierOrdinary
)

// mayPreempt tells whether others must yield to the unit. One that is hopeless
// ranks behind those that it would stop: they would take its room at once.
func (u *unit) mayPreempt() bool { return u.rank.tier <= tierUrgent && !u.rank.hopeless }

func (u *unit) total(count int) workload.Resources {
	claim := u.step.Reservation()
	n := int64(count)
	return workload.Resources{
		Cores:        claim.Cores * millicores(n),
		Memory:       claim.Memory * megabytes(n),
		Accelerators: claim.Accelerators * count,
	}
}

// rankedUnits returns everything that waits and may start, the most important first.
func (p *plan) rankedUnits() []*unit {
	var units []*unit
	for _, j := range p.State.OpenJobs() {
		for o := range j.Occurrences {
			if p.due(j, o) {
				units = p.unitsOf(units, j, o)
			}
		}
	}
	slices.SortFunc(units, func(a, b *unit) int { return compareRank(a.rank, b.rank) })
	return units
}

func compareRank(a, b rank) int {
	if a.hopeless != b.hopeless {
		if a.hopeless {
			return 1
		}
		return -1
	}
	if a.tier != b.tier {
		return cmp.Compare(a.tier, b.tier)
	}
	return cmp.Or(cmp.Compare(a.slack, b.slack), a.first.Compare(b.first))
}

// due tells whether an occurrence may start.
func (p *plan) due(j *workload.Job, occurrence int) bool {
	due := j.DueUnixMilli(occurrence)
	return due == 0 || p.WallTime.UnixMilli() >= due-p.Rules.EarlyStart.Milliseconds()
}

func (p *plan) unitsOf(units []*unit, j *workload.Job, occurrence int) []*unit {
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

// gangUnit returns the gang if all its members wait.
func (p *plan) gangUnit(j *workload.Job, occurrence, i int, step *workload.Step) *unit {
	members := make([]workload.TaskRef, 0, len(step.Tasks))
	newest := workload.Run(0)
	for k, t := range step.Tasks {
		if t.Phase != workload.PhaseWaiting || t.Worker != "" {
			return nil
		}
		members = append(members, j.Ref(occurrence, i, k))
		newest = max(newest, t.Run)
	}
	return p.newUnit(j, i, occurrence, members, newest)
}

func (p *plan) newUnit(j *workload.Job, step, occurrence int, members []workload.TaskRef, run workload.Run) *unit {
	u := &unit{job: j, step: j.Steps[step], members: members, run: run, duration: p.History.ExpectedDuration(j, step)}
	objective := p.objective(j)
	age := p.age(j, occurrence)
	u.rank = rank{
		tier:     p.tierOf(j),
		hopeless: objective > 0 && age > hopelessAfter*objective,
		slack:    objective - age - p.remaining(j, step),
		first:    members[0],
	}
	u.rank.late = objective > 0 && u.rank.slack < 0
	p.findPermits(u)
	p.findFailures(u)
	return u
}

// hopelessAfter is how many times its objective a job may take before it is worth
// nothing, from the platform's rules on benefit.
const hopelessAfter = 3

// age returns how long an occurrence could have run.
func (p *plan) age(j *workload.Job, occurrence int) time.Duration {
	if due := j.DueUnixMilli(occurrence); due > 0 {
		return p.WallTime.Sub(time.UnixMilli(due))
	}
	return p.History.JobAge(j.ID, p.Now)
}

// objective returns the time within which the job is on time.
func (p *plan) objective(j *workload.Job) time.Duration {
	return time.Duration(j.Stretch*float64(p.chain(j, 0))) + j.Target.Std()
}

// remaining returns the longest chain of work from a step on.
func (p *plan) remaining(j *workload.Job, step int) time.Duration { return p.chain(j, step) }

// chain returns the longest chain of work that begins at the step or later.
func (p *plan) chain(j *workload.Job, from int) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i := from; i < len(j.Steps); i++ {
		begin := time.Duration(0)
		for _, before := range j.Steps[i].After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + p.History.ExpectedDuration(j, i)*time.Duration(p.waves(j, i))
		longest = max(longest, ends[i])
	}
	return longest
}

// wideShare is the part of a service's room beyond which the tasks of a step count
// as running in waves, from the platform's rules on benefit.
const wideShare = 0.25

// waves returns in how many turns the tasks of a step run if they may use
// wideShare of the service's room.
func (p *plan) waves(j *workload.Job, step int) int {
	room := p.rooms[j.Service]
	spec := j.Steps[step]
	n := float64(spec.Tasks)
	share := 0.0
	if room.Cores > 0 {
		share = max(share, n*float64(spec.Reservation().Cores)/float64(room.Cores))
	}
	if room.Memory > 0 {
		share = max(share, n*float64(spec.Need.Memory)/float64(room.Memory))
	}
	if room.Accelerators > 0 {
		share = max(share, n*float64(spec.Need.Accelerators)/float64(room.Accelerators))
	}
	return max(1, int(math.Ceil(share/wideShare)))
}

func (p *plan) tierOf(j *workload.Job) tier {
	if j.Priority > 0 {
		return tierUrgent + tier(j.Priority)
	}
	if p.assured[j.Organisation] {
		return tierAssured
	}
	return tierUrgent
}

// findAssured returns the organisations whose jobs of priority 0 need no more
// accelerators than they are guaranteed.
func findAssured(s *workload.State, b *bundle.Bundle) map[bundle.OrganisationName]bool {
	if b == nil {
		return nil
	}
	needed := map[bundle.OrganisationName]int{}
	for _, j := range s.OpenJobs() {
		if j.Priority == 0 {
			needed[j.Organisation] += widest(j)
		}
	}
	assured := map[bundle.OrganisationName]bool{}
	for _, o := range b.Organisations {
		assured[o.Name] = needed[o.Name] <= o.GuaranteedAccelerators
	}
	return assured
}

// widest returns the accelerators that the job needs at once.
func widest(j *workload.Job) int {
	most := 0
	for _, s := range j.Steps {
		most = max(most, s.Tasks*s.Need.Accelerators)
	}
	return most
}
