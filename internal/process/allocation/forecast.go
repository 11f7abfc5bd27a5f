package allocation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
)

// outlook is how an occurrence is expected to end.
type outlook int

const (
	// outlookOnTime means that the occurrence is expected to end within its objective.
	outlookOnTime outlook = iota
	// outlookLate means that it is expected to end late, but while it still yields benefit.
	outlookLate
	// outlookMissed means that the capacity does not suffice to end it while it yields benefit.
	outlookMissed
)

const (
	// lateShare is the share of its benefit that a job is assumed to have when it is late. Callers
	// do not state it.
	lateShare = 0.2
	// minBenefit is the benefit of the smallest job as a share of that of a mean job of its queue,
	// and maxBenefit the limit for large jobs, from the platform's rules on benefit.
	minBenefit = 0.3
	maxBenefit = 4
)

// occurrenceKey identifies one occurrence of a job.
type occurrenceKey struct {
	job        workload.JobID
	occurrence int
}

// forecast is what is expected of one open occurrence.
type forecast struct {
	// deadline is the time from now until the occurrence is late, and lateDeadline that until it
	// yields no benefit. Both may be negative.
	deadline, lateDeadline time.Duration
	// timeToEnd is the time that the occurrence takes at least, with all capacity.
	timeToEnd time.Duration
	// work is the work that is left: the largest share of its service's capacity that it needs
	// of any resource, in seconds.
	work float64
	// benefit is what the occurrence yields on time, relative to a mean job of its queue.
	benefit float64
	// guaranteed is true for occurrences in tierGuaranteed, which are served in any case.
	guaranteed bool
	outlook    outlook
	// first is the first task of the occurrence. It breaks ties.
	first workload.TaskRef
}

// remainingBenefit returns what finishing the occurrence is expected to yield.
func (f *forecast) remainingBenefit() float64 {
	if f.outlook == outlookOnTime {
		return f.benefit
	}
	return lateShare * f.benefit
}

// density returns the remaining benefit for each unit of work that is left.
func (f *forecast) density() float64 {
	return f.remainingBenefit() / max(f.work, math.SmallestNonzeroFloat32)
}

// Delay is a forecast that an occurrence ends late, with the inputs of the forecast.
type Delay struct {
	Job        workload.JobID
	Occurrence int
	// Missed is true if the occurrence is not expected to yield any benefit. It then waits for all
	// occurrences that are.
	Missed bool
	// DueIn and LastDueIn are the times from now until the occurrence is late and until it yields
	// no benefit, negative if they have passed.
	DueIn, LastDueIn time.Duration
	// TimeLeft is the time that the occurrence takes at least.
	TimeLeft time.Duration
	// Work is the work that is left: a share of its service's capacity, in seconds.
	Work float64
}

// forecastAll sets p.forecasts to the forecasts of the open occurrences that may start. There is
// none for occurrences without an objective or with long-running tasks.
func (p *plan) forecastAll() {
	p.forecasts = map[occurrenceKey]*forecast{}
	byService := map[bundle.ServiceName][]*forecast{}
	for _, j := range p.State.OpenJobs() {
		for o := range j.Occurrences {
			if !p.mayStart(j, o) {
				continue
			}
			if f := p.newForecast(j, o); f != nil {
				p.forecasts[occurrenceKey{j.ID, o}] = f
				byService[j.Service] = append(byService[j.Service], f)
			}
		}
	}
	for _, forecasts := range byService {
		setOutlooks(forecasts)
		p.addDelays(forecasts)
	}
	slices.SortFunc(p.decision.Delays, func(a, b Delay) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence))
	})
}

// addDelays adds the occurrences to the decision's Delays that are not expected to end in time.
func (p *plan) addDelays(forecasts []*forecast) {
	for _, f := range forecasts {
		if f.outlook != outlookOnTime {
			p.decision.Delays = append(p.decision.Delays, Delay{
				Job: f.first.Job, Occurrence: f.first.Occurrence, Missed: f.outlook == outlookMissed,
				DueIn: f.deadline, LastDueIn: f.lateDeadline, TimeLeft: f.timeToEnd, Work: f.work,
			})
		}
	}
}

// newForecast returns the forecast of an occurrence, with outlookOnTime, or nil if it has ended or
// there is no forecast for it.
func (p *plan) newForecast(j *workload.Job, occurrence int) *forecast {
	objective := p.objective(j)
	if objective <= 0 {
		return nil
	}
	age := p.age(j, occurrence)
	f := &forecast{
		deadline: objective - age, lateDeadline: benefitLimitFactor*objective - age,
		guaranteed: p.tierOf(j) == tierGuaranteed, first: j.Ref(occurrence, 0, 0),
	}
	totalWork := 0.0
	open := false
	for i, spec := range j.Steps {
		if spec.LongRunning {
			return nil
		}
		duration := p.History.ExpectedDuration(j, i)
		totalWork += coreSeconds(spec.Need, duration) * float64(spec.Tasks)
		if j.Occurrences[occurrence].Steps[i].Left == 0 {
			continue
		}
		if !open {
			f.timeToEnd = p.timeToEnd(j, occurrence, i)
		}
		open = true
		share := dominantShare(spec.Reservation(), p.serviceCapacities[j.Service])
		for k, t := range j.Occurrences[occurrence].Steps[i].Tasks {
			f.work += share * p.timeLeft(j, j.Ref(occurrence, i, k), t, duration).Seconds()
		}
	}
	if !open {
		return nil
	}
	f.timeToEnd = max(f.timeToEnd, time.Duration(f.work*float64(time.Second)))
	f.benefit = minBenefit
	if mean := p.History.meanWork(j.Queue); mean > 0 {
		f.benefit = min(maxBenefit, minBenefit+(1-minBenefit)*totalWork/mean)
	}
	return f
}

// timeLeft returns how long the task still has to run, if a whole run takes the duration.
func (p *plan) timeLeft(j *workload.Job, r workload.TaskRef, t workload.Task, duration time.Duration) time.Duration {
	switch t.Phase {
	case workload.PhaseDone:
		return 0
	case workload.PhaseRunning:
		return p.History.Remaining(j, r, p.Now)
	}
	return duration
}

// timeToEnd returns how long the occurrence takes at least from now on if the given step is its
// first one with open tasks and all capacity is available to it.
func (p *plan) timeToEnd(j *workload.Job, occurrence, step int) time.Duration {
	duration := p.History.ExpectedDuration(j, step)
	longest := time.Duration(0)
	for k, t := range j.Occurrences[occurrence].Steps[step].Tasks {
		longest = max(longest, p.timeLeft(j, j.Ref(occurrence, step, k), t, duration))
	}
	chain := p.longestChain(j, step, func(int) int { return 1 })
	return max(chain-duration+longest, longest)
}

// dominantShare returns the largest share of the capacity that the need takes of any resource.
func dominantShare(need, capacity workload.Resources) float64 {
	share := 0.0
	if capacity.Cores > 0 {
		share = max(share, float64(need.Cores)/float64(capacity.Cores))
	}
	if capacity.Memory > 0 {
		share = max(share, float64(need.Memory)/float64(capacity.Memory))
	}
	if capacity.Accelerators > 0 {
		share = max(share, float64(need.Accelerators)/float64(capacity.Accelerators))
	}
	return share
}
