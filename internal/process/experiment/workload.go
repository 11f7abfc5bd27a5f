// Package experiment measures placement policies on the real ledger in virtual
// time. It makes seeded arrivals as the users describe them, lets a policy
// decide, and reports completion, fragmentation and what guarantees cost. It
// models no network and no processes.
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

// Workload describes one run.
type Workload struct {
	// Seed makes the run repeatable.
	Seed uint64
	// Workers have 8 accelerators each, three to a rack.
	Workers int
	// Load is the demanded share of all accelerators, 1 for all.
	Load float64
	// Length is how long jobs arrive.
	Length time.Duration
	// User weighs completion against fragmentation.
	User User
	// NoFaults leaves out faults and cancellations.
	NoFaults bool
	// NoQuarantine lets workers that fail everything go on to get jobs.
	NoQuarantine bool
}

// User is one of the two users of the brief.
type User string

// The users.
const (
	// UserAudit weighs fragmentation most.
	UserAudit User = "Audit"
	// UserTimber weighs completion time most.
	UserTimber User = "Timber"
)

const (
	region          = platform.Region("Experiment")
	acceleratorsPer = 8
	workersPerRack  = 3
	organisations   = 4
)

// arrival is a job with what only the workload knows.
type arrival struct {
	at   time.Duration
	spec ledger.Spec
	// needs is how long it really runs.
	needs time.Duration
	// poisoned jobs fail wherever they run.
	poisoned bool
}

// rules returns the bundle of the run: four organisations, the first two large
// ones with guarantees of a third of the accelerators together.
func (w Workload) rules() *bundle.Bundle {
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
	for i := range organisations {
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

// describe returns the workers.
func (w Workload) describe() []platform.Worker {
	var list []platform.Worker
	for i := range w.Workers {
		list = append(list, platform.Worker{
			ID: platform.WorkerID(fmt.Sprintf("w%04d", i)), Rack: platform.RackID(fmt.Sprintf("r%04d", i/workersPerRack)),
			Region: region, Accelerators: acceleratorsPer, Cores: 64, Memory: 256 << 10,
		})
	}
	return list
}

// size is a kind of job in the mix.
type size struct {
	weight              float64
	tasks, accelerators int
	median              time.Duration
}

// mix has many small jobs and few large gangs; by accelerator time the gangs
// weigh about half.
var mix = []size{
	{weight: 0.38, tasks: 1, accelerators: 1, median: 25 * time.Minute},
	{weight: 0.20, tasks: 1, accelerators: 2, median: 40 * time.Minute},
	{weight: 0.12, tasks: 2, accelerators: 2, median: 45 * time.Minute},
	{weight: 0.12, tasks: 1, accelerators: 4, median: 60 * time.Minute},
	{weight: 0.08, tasks: 1, accelerators: 8, median: 75 * time.Minute},
	{weight: 0.06, tasks: 2, accelerators: 8, median: 90 * time.Minute},
	{weight: 0.04, tasks: 4, accelerators: 8, median: 90 * time.Minute},
}

const (
	// runSpread is the deviation of ln(run time).
	runSpread = 0.7
	// errorSpread is the deviation of ln(declared/true) within an organisation.
	errorSpread = 0.6
	// impossibleShare of the jobs can never run, poisonedShare fail everywhere.
	impossibleShare = 0.01
	poisonedShare   = 0.01
	// burstLength and burstFactor shape the bursts: one in six hours.
	burstLength = 30 * time.Minute
	burstEvery  = 6 * time.Hour
	burstFactor = 5.0
	// onceShare of the jobs may run only once.
	onceShare = 0.1
	// guaranteedEvery is the time between two urgent claims of a guaranteed shape.
	guaranteedEvery = 5 * time.Hour
)

// arrivals makes the jobs in the order of time.
func (w Workload) arrivals() []arrival {
	r := rand.New(rand.NewPCG(w.Seed, 1))
	demand := 0.0
	for _, s := range mix {
		mean := s.median.Seconds() * math.Exp(runSpread*runSpread/2)
		demand += s.weight * float64(s.tasks*s.accelerators) * mean
	}
	// Bursts add to the mean rate.
	inflation := 1 + (burstFactor-1)*burstLength.Seconds()/burstEvery.Seconds()
	rate := w.Load * float64(w.Workers*acceleratorsPer) / demand / inflation
	var list []arrival
	for at := time.Duration(0); at < w.Length; {
		now := rate
		if at%burstEvery < burstLength {
			now *= burstFactor
		}
		at += time.Duration(r.ExpFloat64() / now * float64(time.Second))
		list = append(list, w.draw(r, len(list), at))
	}
	return w.addClaims(r, list)
}

// draw makes one job.
func (w Workload) draw(r *rand.Rand, number int, at time.Duration) arrival {
	s := mix[len(mix)-1]
	for pick, i := r.Float64(), 0; i < len(mix); i++ {
		if pick -= mix[i].weight; pick < 0 {
			s = mix[i]
			break
		}
	}
	organisation := r.IntN(organisations)
	needs := time.Duration(float64(s.median) * math.Exp(runSpread*r.NormFloat64()))
	// Each organisation is wrong in its own way.
	bias := []float64{1, -1, 0.5, 0}[organisation]
	declared := time.Duration(float64(needs) * math.Exp(bias+errorSpread*r.NormFloat64()))
	a := arrival{at: at, needs: needs, spec: ledger.Spec{
		ID:    ledger.NewJobID(bundle.OrganisationName(fmt.Sprintf("o%d", organisation)), fmt.Sprintf("j%06d", number)),
		Class: ledger.ClassBatch, Tasks: s.tasks, Accelerators: s.accelerators, Cores: 4, Memory: 4, RunTime: declared,
	}}
	a.spec.RunOnce = s.tasks*s.accelerators < acceleratorsPer && r.Float64() < onceShare
	a.spec.Preemptible = !a.spec.RunOnce
	if w.NoFaults {
		return a
	}
	a.poisoned = r.Float64() < poisonedShare
	if r.Float64() < impossibleShare {
		a.spec.Accelerators = acceleratorsPer + 1
	}
	return a
}

// addClaims adds urgent claims of the guaranteed shapes.
func (w Workload) addClaims(r *rand.Rand, list []arrival) []arrival {
	b := w.rules()
	number := 0
	for at := guaranteedEvery; at < w.Length; at += guaranteedEvery {
		o := b.Organisations[number%2]
		g := o.Guarantees[0]
		number++
		list = append(list, arrival{
			at: at, needs: time.Duration(float64(30*time.Minute) * math.Exp(runSpread*r.NormFloat64())),
			spec: ledger.Spec{
				ID: ledger.NewJobID(o.Name, fmt.Sprintf("claim%04d", number)), Class: ledger.ClassUrgent,
				Tasks: g.Tasks, Accelerators: g.Accelerators, Cores: 4, Memory: 4, RunTime: 30 * time.Minute,
			},
		})
	}
	slices.SortStableFunc(list, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return list
}
