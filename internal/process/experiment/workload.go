// Package experiment measures policies for the placement of gangs in virtual time. From
// a seed it generates faults, and jobs as the users describe them. It applies a policy's
// decisions to a real ledger.State and reports completion times, fragmentation and the
// cost of guarantees. It models neither the network nor processes. The command
// corianderpass-experiment calls Run.
package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"corianderpass/internal/process/ledger"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// Workload describes the jobs, workers and faults of one experiment.
type Workload struct {
	// Seed determines the jobs and faults.
	Seed uint64
	// Workers is the number of workers. Each has 8 accelerators, and 3 make a rack.
	Workers int
	// Load is the mean demand of the batch jobs as a share of all accelerators; at 1 they
	// need all of them. Urgent claims of guarantees add to this demand.
	Load float64
	// Length is the time during which jobs arrive.
	Length time.Duration
	// User selects the weights of completion time and fragmentation in the bundle.
	User User
	// NoFaults leaves out losses of workers, failing workers, cancellations, and jobs that
	// always fail or never fit.
	NoFaults bool
	// NoQuarantine switches off the quarantine of workers on which jobs fail.
	NoQuarantine bool
}

// User selects the sharing weights by the name of a user. Any value other than
// UserTimber means UserAudit.
type User string

// The users.
const (
	// UserAudit weighs fragmentation 3 times as much as completion time.
	UserAudit User = "Audit"
	// UserTimber weighs completion time 3 times as much as fragmentation.
	UserTimber User = "Timber"
)

const (
	region                = platform.Region("Experiment")
	acceleratorsPerWorker = 8
	workersPerRack        = 3
	organisationCount     = 4
)

// arrival is a generated job, with facts that the policy cannot see.
type arrival struct {
	// at is the time of submission since the start of the experiment.
	at   time.Duration
	spec ledger.Spec
	// trueRunTime is how long the job runs if it is not stopped.
	trueRunTime time.Duration
	// alwaysFails is true for a job that fails on every worker.
	alwaysFails bool
}

// newBundle returns the bundle of the experiment. It has four organisations with
// shares 4 to 1. The first two have guarantees, which together are about a third of
// the accelerators.
func (w Workload) newBundle() *bundle.Bundle {
	b := &bundle.Bundle{
		Sharing: bundle.Sharing{
			CompletionWeight: 1, FragmentationWeight: 3, CheckpointGrace: bundle.Duration(10 * time.Second), CheckpointEvery: bundle.Duration(10 * time.Minute),
			AgeingTime: bundle.Duration(4 * time.Hour), DeadLetterAfter: 3, QuarantineAfter: 3,
			QuarantineTime: bundle.Duration(10 * time.Minute), JobMemory: bundle.Duration(24 * time.Hour),
		},
		Limits: bundle.DefaultLimits(),
	}
	if w.NoQuarantine {
		b.Sharing.QuarantineAfter = math.MaxInt
	}
	if w.User == UserTimber {
		b.Sharing.CompletionWeight, b.Sharing.FragmentationWeight = 3, 1
	}
	for i := range organisationCount {
		o := bundle.Organisation{
			Name: bundle.OrganisationName(fmt.Sprintf("o%d", i)), HomeRegion: region,
			Share: []int{4, 3, 2, 1}[i], WaitingJobs: math.MaxInt,
		}
		if i < 2 {
			tasks := max(1, w.Workers/[]int{5, 10}[i])
			o.Guarantees = []bundle.Guarantee{{Name: "large", Region: region, Tasks: tasks, Accelerators: 8, Cores: 8, Memory: 8}}
		}
		b.Organisations = append(b.Organisations, o)
	}
	return b
}

// newWorkers returns the descriptions of the workers.
func (w Workload) newWorkers() []platform.Worker {
	var list []platform.Worker
	for i := range w.Workers {
		list = append(list, platform.Worker{
			ID: platform.WorkerID(fmt.Sprintf("w%04d", i)), Rack: platform.RackID(fmt.Sprintf("r%04d", i/workersPerRack)),
			Region: region, Accelerators: acceleratorsPerWorker, Cores: 64, Memory: 256 << 10,
		})
	}
	return list
}

// jobShape is a kind of batch job. Its weight is its share of all batch jobs, and
// accelerators is the number that each of its tasks needs.
type jobShape struct {
	weight              float64
	tasks, accelerators int
	medianRunTime       time.Duration
}

// jobMix has many small jobs and few large gangs. The gangs use about half of the
// accelerator time.
var jobMix = []jobShape{
	{weight: 0.38, tasks: 1, accelerators: 1, medianRunTime: 25 * time.Minute},
	{weight: 0.20, tasks: 1, accelerators: 2, medianRunTime: 40 * time.Minute},
	{weight: 0.12, tasks: 2, accelerators: 2, medianRunTime: 45 * time.Minute},
	{weight: 0.12, tasks: 1, accelerators: 4, medianRunTime: 60 * time.Minute},
	{weight: 0.08, tasks: 1, accelerators: 8, medianRunTime: 75 * time.Minute},
	{weight: 0.06, tasks: 2, accelerators: 8, medianRunTime: 90 * time.Minute},
	{weight: 0.04, tasks: 4, accelerators: 8, medianRunTime: 90 * time.Minute},
}

const (
	// runTimeDeviation is the standard deviation of ln(true run time) among jobs of the
	// same shape.
	runTimeDeviation = 0.7
	// estimateDeviation is the standard deviation of ln(declared/true run time) within
	// an organisation.
	estimateDeviation = 0.6
	// impossibleShare of the jobs need more accelerators than any worker has, and
	// alwaysFailingShare fail on every worker.
	impossibleShare    = 0.01
	alwaysFailingShare = 0.01
	// During the first burstDuration of every burstInterval, jobs arrive burstFactor
	// times as fast.
	burstDuration = 30 * time.Minute
	burstInterval = 6 * time.Hour
	burstFactor   = 5.0
	// runOnceShare of the jobs that need less than a worker may run only once.
	runOnceShare = 0.1
	// claimInterval is the time between two urgent claims of a guarantee.
	claimInterval = 5 * time.Hour
)

// arrivals draws all jobs, in the order of their submission.
func (w Workload) arrivals() []arrival {
	r := rand.New(rand.NewPCG(w.Seed, 1))
	demand := 0.0
	for _, s := range jobMix {
		mean := s.medianRunTime.Seconds() * math.Exp(runTimeDeviation*runTimeDeviation/2)
		demand += s.weight * float64(s.tasks*s.accelerators) * mean
	}
	// Bursts raise the mean rate by this factor, so the base rate is divided by it.
	inflation := 1 + (burstFactor-1)*burstDuration.Seconds()/burstInterval.Seconds()
	rate := w.Load * float64(w.Workers*acceleratorsPerWorker) / demand / inflation
	var list []arrival
	for at := time.Duration(0); at < w.Length; {
		currentRate := rate
		if at%burstInterval < burstDuration {
			currentRate *= burstFactor
		}
		at += time.Duration(r.ExpFloat64() / currentRate * float64(time.Second))
		list = append(list, w.drawJob(r, len(list), at))
	}
	return w.addClaims(r, list)
}

// drawJob draws one batch job.
func (w Workload) drawJob(r *rand.Rand, number int, at time.Duration) arrival {
	s := jobMix[len(jobMix)-1]
	for pick, i := r.Float64(), 0; i < len(jobMix); i++ {
		if pick -= jobMix[i].weight; pick < 0 {
			s = jobMix[i]
			break
		}
	}
	organisation := r.IntN(organisationCount)
	trueRunTime := time.Duration(float64(s.medianRunTime) * math.Exp(runTimeDeviation*r.NormFloat64()))
	// Each organisation declares run times with its own bias.
	bias := []float64{1, -1, 0.5, 0}[organisation]
	declared := time.Duration(float64(trueRunTime) * math.Exp(bias+estimateDeviation*r.NormFloat64()))
	a := arrival{at: at, trueRunTime: trueRunTime, spec: ledger.Spec{
		ID:    ledger.NewJobID(bundle.OrganisationName(fmt.Sprintf("o%d", organisation)), fmt.Sprintf("j%06d", number)),
		Class: ledger.ClassBatch, Tasks: s.tasks, Accelerators: s.accelerators, Cores: 4, Memory: 4, RunTime: declared,
	}}
	a.spec.RunOnce = s.tasks*s.accelerators < acceleratorsPerWorker && r.Float64() < runOnceShare
	a.spec.Preemptible = !a.spec.RunOnce
	if w.NoFaults {
		return a
	}
	a.alwaysFails = r.Float64() < alwaysFailingShare
	if r.Float64() < impossibleShare {
		a.spec.Accelerators = acceleratorsPerWorker + 1
	}
	return a
}

// addClaims adds an urgent claim of the full shape of a guarantee every claimInterval,
// for the two organisations with guarantees in turn, and sorts the list by time.
func (w Workload) addClaims(r *rand.Rand, list []arrival) []arrival {
	b := w.newBundle()
	number := 0
	for at := claimInterval; at < w.Length; at += claimInterval {
		o := b.Organisations[number%2]
		g := o.Guarantees[0]
		number++
		list = append(list, arrival{
			at: at, trueRunTime: time.Duration(float64(30*time.Minute) * math.Exp(runTimeDeviation*r.NormFloat64())),
			spec: ledger.Spec{
				ID: ledger.NewJobID(o.Name, fmt.Sprintf("claim%04d", number)), Class: ledger.ClassUrgent,
				Tasks: g.Tasks, Accelerators: g.Accelerators, Cores: 4, Memory: 4, RunTime: 30 * time.Minute,
			},
		})
	}
	slices.SortStableFunc(list, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return list
}
