package simulation_test

import (
	"path/filepath"
	"reflect"
	"testing"

	"corianderpass/internal/process/allocation"
	"corianderpass/internal/process/simulation"
)

func load(t *testing.T, name string) simulation.Scenario {
	t.Helper()
	s, err := simulation.Load(filepath.Join("..", "..", "..", "examples", "scenarios", name))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestADayRepeats(t *testing.T) {
	s := load(t, "troubled.toml")
	first, err := simulation.SimulateDay(&s, 3, allocation.Decide)
	if err != nil {
		t.Fatal(err)
	}
	second, err := simulation.SimulateDay(&s, 3, allocation.Decide)
	if err != nil || !reflect.DeepEqual(first, second) {
		t.Fatalf("%+v\n%+v, %v", first, second, err)
	}
}

// naive places what fits, in the order of arrival, and stops nobody.
func naive(in allocation.Input) allocation.Decision {
	d := allocation.Decide(in)
	d.Stops = nil
	return d
}

// The load: urgent jobs, bursts of them, slow, hanging and lost workers. Without
// stops urgent jobs wait for long ones, and tasks stay on slow workers.
func TestStopsAreWorthTheirWaste(t *testing.T) {
	for _, name := range []string{"mixed.toml", "troubled.toml"} {
		s := load(t, name)
		const days = 8
		full, err := simulation.SimulateDays(&s, days, func() simulation.Policy { return allocation.Decide })
		if err != nil {
			t.Fatal(err)
		}
		without, err := simulation.SimulateDays(&s, days, func() simulation.Policy { return naive })
		if err != nil {
			t.Fatal(err)
		}
		if full.EarnedByClass["urgent"] <= without.EarnedByClass["urgent"] || full.EarnedShare <= without.EarnedShare {
			t.Errorf("%s: whole %.3f, urgent %.3f; without stops %.3f, %.3f", name,
				full.EarnedShare, full.EarnedByClass["urgent"], without.EarnedShare, without.EarnedByClass["urgent"])
		}
	}
}

func TestScenariosAreCheckedStrictly(t *testing.T) {
	for name, text := range map[string]string{
		"unknown key": "Colour = 1",
		"no workers":  "Length = \"1s\"\nPerRack = 1\nOrganisations = 1",
		"no classes":  "Length = \"1s\"\nWorkers = 1\nPerRack = 1\nOrganisations = 1",
		"no TOML":     "=",
	} {
		if _, err := simulation.Parse(text); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
