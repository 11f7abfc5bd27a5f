// Package simulation runs an allocation policy against generated jobs and faults in
// virtual time, without processes, log or network, so that policies can be compared
// over many seeds within seconds. It applies records to a real workload.State and
// models only the workers, the progress of runs and the delays between records. The
// command corianderpass-experiment and the tests of this package call it.
package simulation

import (
	"fmt"
	"os"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"

	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// Scenario describes an installation, the jobs that arrive there and the faults.
type Scenario struct {
	Name string
	// Length is the time during which jobs arrive, and Finish how long the simulation
	// goes on after the end of Length. A job that has not ended when the simulation ends
	// counts as missed.
	Length, Finish bundle.Duration
	Workers        int
	// PerRack is the number of workers in a rack.
	PerRack int
	// Room is the capacity of each worker.
	Room Capacity
	// Speeds are factors on the duration of work. Worker i has Speeds[i%len(Speeds)];
	// without Speeds every worker has 1.
	Speeds []float64
	// FarFactor is the factor by which a gang that asks for one rack takes longer on
	// several.
	FarFactor float64
	// Organisations is the number of organisations. Each job belongs to a random one, and
	// each organisation has a guarantee of GuaranteedAccelerators.
	Organisations          int
	GuaranteedAccelerators int
	Delays                 Delays
	Classes                []Class
	Bursts                 []Burst
	Faults                 []Fault
}

// Capacity is what one worker offers.
type Capacity struct {
	Cores        platform.Millicores
	Memory       platform.Megabytes
	Accelerators int
}

func (c Capacity) resources() workload.Resources {
	return workload.Resources{Cores: c.Cores, Memory: c.Memory, Accelerators: c.Accelerators}
}

// Delays are the delays within the installation.
type Delays struct {
	// Decide is the time from a change of the state to the decision that takes it into
	// account, Start the time from a decision until its order arrives at the worker,
	// Stop the time that a run takes to stop once the order has arrived, and Record the
	// time from the end or refusal of a run to its record.
	Decide, Start, Stop, Record bundle.Duration
}

// Class describes one class of jobs. In the comments of its fields, "deviation" means
// the standard deviation of the logarithm of a log-normal factor with median 1.
type Class struct {
	// Name is also the name of the queue of the class.
	Name string
	// PerS is the mean number of jobs that arrive per second outside of bursts.
	PerS     float64
	Priority int
	Attempts int
	// Stretch and Target set the objective of a job: Stretch times its ideal duration
	// plus Target. A job that ends within its objective is on time. The ideal duration
	// is how long the job takes if it can always use a quarter of the installation.
	Stretch float64
	Target  bundle.Duration
	// Worth is the value of a job of average size that ends on time; larger jobs have
	// more. A job that takes longer than its objective, but at most three times as long,
	// earns the share LateWorth of its value. A job that takes longer than that earns
	// nothing.
	Worth, LateWorth float64
	// Steps is the mean number of steps of a job before the number is limited to 4. Each
	// step depends on the step before it.
	Steps float64
	// Width is the median number of tasks of a step before the number is limited to the
	// range from 1 to WidthMost.
	Width     float64
	WidthMost int
	// Work is the median duration of a task. Each job draws a base duration from it with
	// the deviation Spread.
	Work   bundle.Duration
	Spread float64
	// Uneven is the deviation of the durations of a job's tasks from the job's base
	// duration, and Off the deviation of the job's estimate from it.
	Uneven, Off float64
	Cores       platform.Millicores
	Memory      platform.Megabytes
	// Accelerators lists the numbers of accelerators that a task can need. Each job draws
	// one of them for all its tasks.
	Accelerators []int
	// Gang is the share of gangs among the steps that can be one: steps of several tasks
	// that each need fewer accelerators than a worker has, and together at most as many
	// as two workers have. OneRack is the share of the gangs that ask for one rack,
	// Checkpointing the share of the steps that save checkpoints, Cancelled the share of
	// the jobs that are cancelled, Failing the share of the runs that fail, and Hopeless
	// the share of the jobs whose runs all fail. All are from 0 to 1.
	Gang, OneRack, Checkpointing, Cancelled, Failing, Hopeless float64
	// Tail is the share of the tasks that take TailTimes as long as drawn from Uneven.
	Tail, TailTimes float64
	// NoProgress is true if agents report no remaining times of the tasks.
	NoProgress bool
	// GangWorkers, if above 0, replaces the limits on the size of gangs: a step can be a gang if its
	// tasks together need at most as many accelerators as GangWorkers workers have.
	GangWorkers int
}

// Burst multiplies the arrival rate of a class by Times during For, starting at At. An
// empty Class means all classes.
type Burst struct {
	Class   string
	At, For bundle.Duration
	Times   float64
}

// Fault describes a fault that starts at At and lasts For. It affects the workers with
// the indices 1 to Workers; worker 0 is never affected.
type Fault struct {
	// Kind is Lose (each worker departs and starts a new life after For), Slow (runs that
	// start meanwhile take Times as long), Errors (runs that start meanwhile fail), Hang
	// (runs that start meanwhile take 8 s longer and report no progress) or Idle (no
	// decisions are made, and Workers has no meaning).
	Kind    FaultKind
	At, For bundle.Duration
	Times   float64
	Workers int
}

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	FaultLose   FaultKind = "Lose"
	FaultSlow   FaultKind = "Slow"
	FaultErrors FaultKind = "Errors"
	FaultHang   FaultKind = "Hang"
	FaultIdle   FaultKind = "Idle"
)

// Load reads a scenario from a TOML file. An unknown key is an error.
func Load(path string) (Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("simulation: read scenario: %w", err)
	}
	return Parse(string(text))
}

// Parse reads a scenario from TOML text. An unknown key is an error.
func Parse(text string) (Scenario, error) {
	var s Scenario
	meta, err := toml.Decode(text, &s)
	if err != nil {
		return s, fmt.Errorf("simulation: decode scenario: %w", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return s, errors.Errorf("simulation: scenario has unknown key %s", unknown[0])
	}
	return s, s.check()
}

func (s Scenario) check() error {
	switch {
	case s.Workers < 1 || s.PerRack < 1 || s.Organisations < 1 || s.Length.Std() <= 0:
		return errors.New("simulation: Workers, PerRack, Organisations and Length must be above 0")
	case len(s.Classes) == 0:
		return errors.New("simulation: Classes is empty")
	}
	for _, c := range s.Classes {
		if c.PerS < 0 || c.Attempts < 1 || c.Width < 1 || c.Steps < 1 || c.Work.Std() < time.Millisecond || len(c.Accelerators) == 0 {
			return errors.Errorf("simulation: class %q needs PerS of at least 0, Attempts, Width and Steps of at least 1, Work of at least 1ms, and Accelerators", c.Name)
		}
	}
	return nil
}
