package simulation_test

import (
	"path/filepath"
	"reflect"
	"testing"

	"corianderpass/internal/process/allocation"
	"corianderpass/internal/process/simulation"
)

func loadScenario(t *testing.T, name string) simulation.Scenario {
	t.Helper()
	s, err := simulation.Load(filepath.Join("..", "..", "..", "examples", "scenarios", name))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// The same seed must give the same result; otherwise two policies cannot be compared.
// Iteration over a map in the policy or in the simulation would break this.
func TestSimulateDayIsDeterministic(t *testing.T) {
	s := loadScenario(t, "troubled.toml")
	first, err := simulation.SimulateDay(&s, 3, allocation.Decide)
	if err != nil {
		t.Fatal(err)
	}
	second, err := simulation.SimulateDay(&s, 3, allocation.Decide)
	if err != nil || !reflect.DeepEqual(first, second) {
		t.Fatalf("two simulations with seed 3 differ:\n%+v\n%+v, error %v", first, second, err)
	}
}

// decideWithoutStops drops the stops from the decisions of the policy.
func decideWithoutStops(in allocation.Input) allocation.Decision {
	d := allocation.Decide(in)
	d.Stops = nil
	return d
}

// Stopped runs lose work, so stops must earn more than they cost. Both scenarios have
// bursts of urgent jobs; in one, workers are slow, hang and are lost. Without stops,
// urgent jobs wait for long ones and tasks stay on slow workers.
func TestStopsIncreaseEarnedShare(t *testing.T) {
	for _, name := range []string{"mixed.toml", "troubled.toml"} {
		s := loadScenario(t, name)
		const days = 8
		withStops, err := simulation.SimulateDays(&s, days, func() simulation.Policy { return allocation.Decide })
		if err != nil {
			t.Fatal(err)
		}
		withoutStops, err := simulation.SimulateDays(&s, days, func() simulation.Policy { return decideWithoutStops })
		if err != nil {
			t.Fatal(err)
		}
		if withStops.EarnedByClass["urgent"] <= withoutStops.EarnedByClass["urgent"] || withStops.EarnedShare <= withoutStops.EarnedShare {
			t.Errorf("%s: earned %.3f, urgent %.3f; want more than without stops: %.3f, %.3f", name,
				withStops.EarnedShare, withStops.EarnedByClass["urgent"], withoutStops.EarnedShare, withoutStops.EarnedByClass["urgent"])
		}
	}
}

// A mistyped key or an impossible value must not silently change what a scenario measures.
func TestParseRejectsInvalidScenarios(t *testing.T) {
	for name, text := range map[string]string{
		"unknown key": "Colour = 1",
		"no workers":  "Length = \"1s\"\nPerRack = 1\nOrganisations = 1",
		"no classes":  "Length = \"1s\"\nWorkers = 1\nPerRack = 1\nOrganisations = 1",
		"not TOML":    "=",
	} {
		if _, err := simulation.Parse(text); err == nil {
			t.Errorf("%s: Parse accepted the scenario, want an error", name)
		}
	}
}

// A scenario with GangWorkers must contain gangs that need several whole workers, or it does not measure
// what placements leave to them.
func TestGangWorkersAllowsGangsOfWholeWorkers(t *testing.T) {
	s := loadScenario(t, "scarce-memory.toml")
	largest := 0
	_, err := simulation.SimulateDay(&s, 1, func(in allocation.Input) allocation.Decision {
		for _, j := range in.State.OpenJobs() {
			for _, step := range j.Steps {
				if step.Gang && step.Need.Accelerators == s.Room.Accelerators {
					largest = max(largest, step.Tasks)
				}
			}
		}
		return allocation.Decide(in)
	})
	if err != nil {
		t.Fatal(err)
	}
	if limit := s.Classes[1].GangWorkers; largest < 8 || largest > limit {
		t.Errorf("got a largest gang of %d whole workers, want 8 to %d", largest, limit)
	}
}
