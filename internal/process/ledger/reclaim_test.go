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

// unfilledGuarantee is a guarantee of which all slots are unfilled and have a place.
type unfilledGuarantee struct {
	organisation bundle.OrganisationName
	guarantee    bundle.Guarantee
}

// unfilledGuarantees returns the guarantees of which all slots are unfilled and have a place.
func (m *ledgerMachine) unfilledGuarantees() []unfilledGuarantee {
	var guarantees []unfilledGuarantee
	for _, o := range m.state.Bundle().Organisations {
		for _, g := range o.Guarantees {
			unfilled := 0
			for _, l := range m.state.Slots() {
				if l.Organisation == o.Name && l.Guarantee == g.Name && l.Job == "" && !l.Unplaced() {
					unfilled++
				}
			}
			if unfilled == g.Tasks {
				guarantees = append(guarantees, unfilledGuarantee{organisation: o.Name, guarantee: g})
			}
		}
	}
	return guarantees
}

// reclaim submits an urgent job that needs a whole unfilled guarantee. Whatever else runs
// or waits, the next decision must place it.
func (m *ledgerMachine) reclaim(t *rapid.T) {
	choices := m.unfilledGuarantees()
	if len(choices) == 0 {
		return
	}
	chosen := rapid.SampledFrom(choices).Draw(t, "guarantee")
	m.jobs++
	id := ledger.NewJobID(chosen.organisation, fmt.Sprintf("reclaim%d", m.jobs))
	spec := ledger.Spec{
		ID: id, Class: ledger.ClassUrgent, Tasks: chosen.guarantee.Tasks, Accelerators: chosen.guarantee.Accelerators,
		Cores: chosen.guarantee.Cores, Memory: chosen.guarantee.Memory, RunTime: time.Hour, RunOnce: true,
	}
	if m.apply(t, ledger.Record{Submit: &ledger.Submit{Spec: spec}}) != nil {
		return // The organisation has too many jobs.
	}
	places := m.policy.Decide(m.state, m.now, func(other ledger.JobID) bool { return other != id }).Places
	if len(places) != 1 {
		t.Fatalf("guarantee %s/%s: got %d placements, want 1", chosen.organisation, chosen.guarantee.Name, len(places))
	}
	places[0].Driver = "driver"
	if err := m.apply(t, ledger.Record{Place: &places[0]}); err != nil {
		t.Fatalf("guarantee %s/%s cannot be reclaimed: %v", chosen.organisation, chosen.guarantee.Name, err)
	}
	if kind := m.state.Job(id).Kind; kind != ledger.KindGuaranteed {
		t.Fatalf("got kind %s, want Guaranteed", kind)
	}
}

// An organisation must get its guarantee at once, whichever jobs borrow its slots. This
// fails if a firm placement takes the place of a slot, or if firm holdings and unfilled
// slots together exceed a worker's cores or memory.
func TestUnfilledGuaranteeCanAlwaysBeReclaimed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"adopt":         m.adopt,
			"submit":        m.submit,
			"submit again":  m.submit,
			"place":         m.place,
			"step":          m.advanceJob,
			"step again":    m.advanceJob,
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

// A newer build may raise the rules version while this build still applies records. This
// build must then reject every record and write no snapshot, since its state no longer
// matches that of newer builds.
func TestOutdatedBuildRejectsRecordsAndSnapshots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		at := journal.Position{Offset: 100, Time: m.now}
		if err := m.state.Apply(at, ledger.Record{Raise: &ledger.Raise{To: ledger.CurrentRulesVersion + 1}}); err != nil {
			t.Fatal(err)
		}
		if !m.state.Outdated() {
			t.Fatal("state is not outdated after the rules version was raised, want it outdated")
		}
		for _, rules := range []ledger.RulesVersion{ledger.CurrentRulesVersion, ledger.CurrentRulesVersion + 1} {
			r := ledger.Record{Rules: rules, Cancel: &ledger.Cancel{Job: "o0/j1"}}
			if err := m.state.Apply(at, r); !errors.Is(err, ledger.ErrOutdated) {
				t.Fatalf("outdated build applied a record: got error %v, want ErrOutdated", err)
			}
		}
		if _, err := m.state.MarshalSnapshot(); !errors.Is(err, ledger.ErrOutdated) {
			t.Fatalf("MarshalSnapshot: got error %v, want ErrOutdated", err)
		}
	})
}
