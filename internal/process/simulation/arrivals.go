package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
)

// arrival is a generated job, with facts that the policy cannot see.
type arrival struct {
	// at is the time of submission since the start of the day.
	at    time.Duration
	class *Class
	spec  workload.JobSpec
	// work has the true duration of each task of each step on a worker without faults.
	work [][]time.Duration
	// failurePoints has, for each task of each step, the parts of its work (0 to 1)
	// after which its first runs fail, one entry per failing run.
	failurePoints [][][]float64
	// alwaysFails is true if all runs of the job fail.
	alwaysFails bool
	// cancelAt is the time of the cancellation since the start of the day, 0 for a job
	// that is not cancelled.
	cancelAt time.Duration
	// objective is the longest time from submission to end with which the job is on time.
	objective time.Duration
	// worth is the value of the job if it ends on time.
	worth float64
	// endedAt is the time of the end since the start of the day, 0 before the end.
	endedAt time.Duration
	outcome workload.Outcome
}

// arrivals draws the jobs of a day, in the order of their submission.
func (s *Scenario) arrivals(r *rand.Rand) []*arrival {
	var all []*arrival
	for i := range s.Classes {
		c := &s.Classes[i]
		for at := drawGap(r, c.PerS); at < s.Length.Std(); at += drawGap(r, c.PerS*s.burstFactor(c, at)) {
			all = append(all, s.drawJob(r, c, at, len(all)))
		}
	}
	sort.Slice(all, func(a, b int) bool { return all[a].at < all[b].at })
	return all
}

// demandSamples is the number of jobs of each class that demand draws.
const demandSamples = 1000

// demand returns the mean demand of the jobs that arrive outside of bursts, as a share of the
// capacity of all workers, in the resource of which it takes the largest share.
func (s *Scenario) demand() float64 {
	r := rand.New(rand.NewPCG(1, 9))
	var cores, memory, accelerators float64
	for i := range s.Classes {
		c := &s.Classes[i]
		for range demandSamples {
			a := s.drawJob(r, c, 0, 0)
			for k, step := range a.spec.Steps {
				for _, work := range a.work[k] {
					seconds := work.Seconds() * c.PerS / demandSamples
					cores += seconds * float64(step.Need.Cores)
					memory += seconds * float64(step.Need.Memory)
					accelerators += seconds * float64(step.Need.Accelerators)
				}
			}
		}
	}
	workers := float64(s.Workers)
	return max(cores/workers/float64(s.Room.Cores), memory/workers/float64(s.Room.Memory),
		accelerators/workers/float64(max(s.Room.Accelerators, 1)))
}

// SetLoad scales the arrival rates of all classes so that the mean demand outside of bursts is
// the given multiple of the capacity of all workers.
func (s *Scenario) SetLoad(load float64) {
	factor := load / s.demand()
	for i := range s.Classes {
		s.Classes[i].PerS *= factor
	}
}

// drawGap draws the time to the next arrival at a mean rate of perS arrivals per second.
func drawGap(r *rand.Rand, perS float64) time.Duration {
	if perS <= 0 {
		return math.MaxInt64 / 4
	}
	return time.Duration(r.ExpFloat64() / perS * float64(time.Second))
}

// burstFactor returns the factor by which the bursts multiply the arrival rate of a class
// at the time.
func (s *Scenario) burstFactor(c *Class, at time.Duration) float64 {
	factor := 1.0
	for _, b := range s.Bursts {
		if (b.Class == "" || b.Class == c.Name) && at >= b.At.Std() && at < b.At.Std()+b.For.Std() {
			factor *= b.Times
		}
	}
	return factor
}

// logNormal draws a log-normal factor with median 1. deviation is the standard deviation of
// its natural logarithm.
func logNormal(r *rand.Rand, deviation float64) float64 { return math.Exp(deviation * r.NormFloat64()) }

// drawJob draws the n-th job, of class c and submitted at the time at. The ideal
// duration of the job is the sum over its steps of the duration of the longest task,
// including the task's failed runs, times the result of waves for the step. The worth
// of the job grows with its work, from 0.3 to 4 times the worth of the class.
func (s *Scenario) drawJob(r *rand.Rand, c *Class, at time.Duration, n int) *arrival {
	base := float64(c.Work) * logNormal(r, c.Spread)
	a := &arrival{at: at, class: c, alwaysFails: r.Float64() < c.Hopeless}
	a.spec = workload.JobSpec{
		ID: workload.JobID(fmt.Sprintf("%s%d", c.Name, n)), Queue: bundle.QueueName(c.Name), Service: "service",
		Organisation: bundle.OrganisationName(fmt.Sprint("org", r.IntN(s.Organisations))),
		Priority:     c.Priority, Attempts: c.Attempts, Stretch: c.Stretch, Target: c.Target,
	}
	accelerators := c.Accelerators[r.IntN(len(c.Accelerators))]
	estimate := time.Duration(base * logNormal(r, c.Off)).Round(time.Millisecond)
	idealDuration, totalWork := time.Duration(0), 0.0
	steps := 1
	for float64(steps) < 4 && r.Float64() < 1-1/c.Steps {
		steps++
	}
	for i := range steps {
		width := min(max(1, int(c.Width*logNormal(r, 0.8))), c.WidthMost)
		step := workload.StepSpec{
			Tasks: width, Estimate: estimate, Checkpointing: r.Float64() < c.Checkpointing,
			Need: workload.Resources{Cores: c.Cores, Memory: c.Memory, Accelerators: accelerators},
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		step.Gang = s.canBeGang(c, width, accelerators) && r.Float64() < c.Gang
		step.SameRack = step.Gang && r.Float64() < c.OneRack
		work := make([]time.Duration, width)
		points := make([][]float64, width)
		longest := time.Duration(0)
		for k := range work {
			work[k] = time.Duration(base * logNormal(r, c.Uneven))
			// Without a tail nothing is drawn, so that the days of other scenarios stay the same.
			if c.Tail > 0 && r.Float64() < c.Tail {
				work[k] = time.Duration(float64(work[k]) * c.TailTimes)
			}
			withFailures := float64(work[k])
			for len(points[k]) < c.Attempts-1 && r.Float64() < c.Failing {
				part := r.Float64()
				points[k] = append(points[k], part)
				withFailures += part * float64(work[k])
			}
			longest = max(longest, time.Duration(withFailures))
			totalWork += coreSeconds(step.Need, work[k])
		}
		idealDuration += longest * time.Duration(s.waves(step))
		a.spec.Steps = append(a.spec.Steps, step)
		a.work = append(a.work, work)
		a.failurePoints = append(a.failurePoints, points)
	}
	a.objective = time.Duration(c.Stretch*float64(idealDuration)) + c.Target.Std()
	meanWork := coreSeconds(workload.Resources{Cores: c.Cores, Accelerators: accelerators}, c.Work.Std()) * c.Width * c.Steps
	a.worth = c.Worth * min(4, 0.3+0.7*totalWork/meanWork)
	if r.Float64() < c.Cancelled {
		a.cancelAt = at + time.Duration(r.Float64()*float64(idealDuration))
	}
	return a
}

// canBeGang reports whether a step of class c with width tasks that each need the given number of
// accelerators can be a gang.
func (s *Scenario) canBeGang(c *Class, width, accelerators int) bool {
	if c.GangWorkers > 0 {
		return width > 1 && width*accelerators <= c.GangWorkers*s.Room.Accelerators
	}
	return width > 1 && accelerators < s.Room.Accelerators && width*accelerators <= 2*s.Room.Accelerators
}

// waves returns the number of rounds, one after the other, in which the tasks of a step
// run if together they may use a quarter of all accelerators and memory.
func (s *Scenario) waves(step workload.StepSpec) int {
	share := float64(step.Tasks*step.Need.Accelerators) / float64(s.Workers*s.Room.Accelerators)
	share = max(share, float64(step.Tasks)*float64(step.Need.Memory)/float64(s.Workers*int(s.Room.Memory)))
	return max(1, int(math.Ceil(4*share)))
}

// coreSeconds returns the work of a task with this need that runs for the duration d, in
// core-seconds. An accelerator counts as eight cores.
func coreSeconds(need workload.Resources, d time.Duration) float64 {
	return (float64(need.Cores)/1000 + 8*float64(need.Accelerators)) * d.Seconds()
}
