package ledger_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/version/bundle"
)

// wanted is a guarantee whose slots are all unfilled and have a place.
type wanted struct {
	organisation bundle.OrganisationName
	guarantee    bundle.Guarantee
}

// unfilled returns the guarantees that nobody fills and that have a place.
func (m *machine) unfilled() []wanted {
	var list []wanted
	for _, o := range m.state.Bundle().Organisations {
		for _, g := range o.Guarantees {
			free := 0
			for _, l := range m.state.Slots() {
				if l.Organisation == o.Name && l.Guarantee == g.Name && l.Job == "" && !l.Unplaced() {
					free++
				}
			}
			if free == g.Tasks {
				list = append(list, wanted{organisation: o.Name, guarantee: g})
			}
		}
	}
	return list
}

// reclaim asks for a whole guaranteed shape. Whatever else runs or waits, it
// must be placed by the very next decision.
func (m *machine) reclaim(t *rapid.T) {
	choices := m.unfilled()
	if len(choices) == 0 {
		return
	}
	w := rapid.SampledFrom(choices).Draw(t, "guarantee")
	m.jobs++
	id := ledger.NewJobID(w.organisation, fmt.Sprintf("reclaim%d", m.jobs))
	spec := ledger.Spec{
		ID: id, Class: ledger.ClassUrgent, Tasks: w.guarantee.Tasks, Accelerators: w.guarantee.Accelerators,
		Cores: w.guarantee.Cores, Memory: w.guarantee.Memory, RunTime: time.Hour, RunOnce: true,
	}
	if m.apply(t, ledger.Record{Submit: &ledger.Submit{Spec: spec}}) != nil {
		return // The organisation has too many jobs.
	}
	places := m.policy.Decide(m.state, m.now, func(other ledger.JobID) bool { return other != id }).Places
	if len(places) != 1 {
		t.Fatalf("%s/%s: %d placements for a guaranteed shape", w.organisation, w.guarantee.Name, len(places))
	}
	places[0].Driver = "driver"
	if err := m.apply(t, ledger.Record{Place: &places[0]}); err != nil {
		t.Fatalf("%s/%s cannot be reclaimed: %v", w.organisation, w.guarantee.Name, err)
	}
	if kind := m.state.Job(id).Kind; kind != ledger.KindGuaranteed {
		t.Fatalf("placed as %s", kind)
	}
}

func TestAGuaranteedShapeCanAlwaysBeReclaimed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"adopt":         m.adopt,
			"submit":        m.submit,
			"submit again":  m.submit,
			"place":         m.place,
			"step":          m.step,
			"step again":    m.step,
			"changeWorkers": m.changeWorkers,
			"reclaim":       m.reclaim,
			"": func(t *rapid.T) {
				if err := m.state.Check(); err != nil {
					t.Fatal(err)
				}
			},
		})
	})
}

// The failure: a newer build raises the rules while this one still folds. It must
// judge nothing more and give its state to nobody.
func TestAnOutdatedBuildJudgesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		at := journal.Position{Offset: 100, Time: m.now}
		if err := m.state.Apply(at, ledger.Record{Raise: &ledger.Raise{To: ledger.CurrentRulesVersion + 1}}); err != nil {
			t.Fatal(err)
		}
		if !m.state.Outdated() {
			t.Fatal("not outdated")
		}
		for _, rules := range []ledger.RulesVersion{ledger.CurrentRulesVersion, ledger.CurrentRulesVersion + 1} {
			r := ledger.Record{Rules: rules, Cancel: &ledger.Cancel{Job: "o0/j1"}}
			if err := m.state.Apply(at, r); !errors.Is(err, ledger.ErrOutdated) {
				t.Fatalf("judged: %v", err)
			}
		}
		if _, err := m.state.MarshalSnapshot(); !errors.Is(err, ledger.ErrOutdated) {
			t.Fatalf("gave its state: %v", err)
		}
	})
}
