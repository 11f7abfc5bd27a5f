// Package simulation plays the allocation policy against generated loads and
// faults in virtual time, without processes, log or network, so that policies can
// be compared over many seeds within seconds.
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

// Scenario describes an installation and its load.
type Scenario struct {
	Name string
	// Length is how long jobs arrive, and Finish how long they may take after that.
	Length, Finish bundle.Duration
	Workers        int
	// PerRack is the number of workers in a rack.
	PerRack int
	Room    Capacity
	// Speeds are how many times as long work takes on the workers, in turn.
	Speeds []float64
	// FarFactor is how many times as long a gang of one rack takes on several.
	FarFactor float64
	// Organisations share the load evenly; GuaranteedAccelerators belong to each.
	Organisations          int
	GuaranteedAccelerators int
	Delays                 Delays
	Classes                []Class
	Bursts                 []Burst
	Faults                 []Fault
}

// Capacity is a worker's room or a task's need.
type Capacity struct {
	Cores        platform.Millicores
	Memory       platform.Megabytes
	Accelerators int
}

func (r Capacity) resources() workload.Resources {
	return workload.Resources{Cores: r.Cores, Memory: r.Memory, Accelerators: r.Accelerators}
}

// Delays are the times that the installation takes.
type Delays struct {
	// Decide lies between a change and the placement that follows, Start between a
	// placement and the start, Stop between an order to stop and the end, Record
	// between an end and its record.
	Decide, Start, Stop, Record bundle.Duration
}

// Class is a kind of job.
type Class struct {
	Name     string
	PerS     float64
	Priority int
	Attempts int
	Stretch  float64
	Target   bundle.Duration
	// Worth is what a job of mean work earns in time, and LateWorth the share of it
	// up to three times the objective.
	Worth, LateWorth float64
	// Steps is the mean number of steps, each after the one before.
	Steps float64
	// Width is the mean number of tasks of a step, at most WidthMost.
	Width     float64
	WidthMost int
	// Work is the mean duration of a task, and Spread the deviation of its logarithm
	// between jobs.
	Work   bundle.Duration
	Spread float64
	// Uneven is the deviation between the tasks of a job, Off that of the estimate.
	Uneven, Off  float64
	Cores        platform.Millicores
	Memory       platform.Megabytes
	Accelerators []int
	// Gang, OneRack, Checkpointing, Cancelled, Failing and Hopeless are shares; of
	// the gangs for OneRack, of the runs for Failing.
	Gang, OneRack, Checkpointing, Cancelled, Failing, Hopeless float64
}

// Burst multiplies the arrivals of a class; of all if Class is empty.
type Burst struct {
	Class   string
	At, For bundle.Duration
	Times   float64
}

// Fault is a trouble of some workers.
type Fault struct {
	// Kind is Lose (the worker ends, and another comes after For), Slow (work takes
	// Times as long), Errors (all runs fail), Hang (tasks stand still) or Idle (no
	// decisions are taken).
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

// Load reads a scenario strictly from a TOML file.
func Load(path string) (Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("simulation: read scenario: %w", err)
	}
	return Parse(string(text))
}

// Parse reads a scenario strictly.
func Parse(text string) (Scenario, error) {
	var s Scenario
	meta, err := toml.Decode(text, &s)
	if err != nil {
		return s, fmt.Errorf("simulation: decode scenario: %w", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return s, errors.Errorf("simulation: scenario has the unknown key %s", unknown[0])
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
			return errors.Errorf("simulation: class %q has a figure out of range", c.Name)
		}
	}
	return nil
}
