package ledger_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/process/placement"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// machine drives a ledger with random records, most of them sensible, and
// checks the invariants after every one.
type machine struct {
	state   *ledger.State
	offset  platform.Offset
	now     time.Time
	version bundle.Version
	jobs    int
	policy  placement.Policy
	// last is the newest record.
	last *ledger.Record
}

const region = platform.Region("Mazowsze")

func newMachine(t *rapid.T) *machine {
	m := &machine{state: ledger.NewState(region), now: time.UnixMilli(1_700_000_000_000).UTC()}
	m.adopt(t)
	var joined []platform.Worker
	for i := range rapid.IntRange(2, 8).Draw(t, "workers") {
		joined = append(joined, platform.Worker{
			ID: platform.WorkerID(fmt.Sprintf("w%d", i)), Rack: platform.RackID(fmt.Sprintf("r%d", i/3)),
			Region: region, Accelerators: 8, Cores: 64, Memory: 1000,
		})
	}
	m.apply(t, ledger.Record{Observe: &ledger.Observe{Joined: joined}})
	return m
}

// apply applies the record and returns the verdict.
func (m *machine) apply(t *rapid.T, r ledger.Record) error {
	r.Rules = m.state.RulesVersion()
	m.last = &r
	m.offset++
	before := snapshot(t, m.state)
	short := m.state.Shortfall()
	err := m.state.Apply(journal.Position{Offset: m.offset, Time: m.now, Writer: "test"}, r)
	if err != nil && r.Observe == nil && !bytes.Equal(stripTime(before), stripTime(snapshot(t, m.state))) {
		t.Fatalf("a void record changed the state: %v\nbefore %s\nafter  %s", err, before, snapshot(t, m.state))
	}
	if r.Place != nil && m.state.Shortfall() > short {
		t.Fatalf("a placement took the place of %d guaranteed slots: %+v", m.state.Shortfall()-short, *r.Place)
	}
	return err
}

func snapshot(t *rapid.T, s *ledger.State) []byte {
	data, err := s.MarshalSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// stripTime takes the state's clock out, which every record moves.
func stripTime(data []byte) []byte {
	from := bytes.Index(data, []byte(`"Now":`))
	to := bytes.Index(data, []byte(`"Version":`))
	return append(append([]byte(nil), data[:from]...), data[to:]...)
}

func (m *machine) adopt(t *rapid.T) {
	m.version++
	b := &bundle.Bundle{
		Sharing: bundle.Sharing{
			CompletionWeight: 1, FragmentationWeight: 1, AgeingTime: bundle.Duration(time.Minute),
			DeadLetterAfter: 2, QuarantineAfter: 2, QuarantineTime: bundle.Duration(time.Minute), JobMemory: bundle.Duration(time.Hour),
		},
		Limits: bundle.Limits{RequestMemory: bundle.Duration(10 * time.Minute)},
	}
	for i := range 3 {
		o := bundle.Organisation{Name: bundle.OrganisationName(fmt.Sprintf("o%d", i)), HomeRegion: region, Share: i + 1, WaitingJobs: 30}
		if rapid.Bool().Draw(t, "quota") {
			o.AcceleratorQuota = 32
		}
		for k := range rapid.IntRange(0, 2).Draw(t, "guarantees") {
			o.Guarantees = append(o.Guarantees, bundle.Guarantee{
				Name: bundle.GuaranteeName(fmt.Sprintf("g%d", k)), Region: region,
				Tasks:        rapid.IntRange(1, 3).Draw(t, "slots"),
				Accelerators: rapid.SampledFrom([]int{1, 2, 3, 4, 8}).Draw(t, "size"),
				Cores:        platform.Cores(rapid.IntRange(0, 24).Draw(t, "cores")), Memory: 100,
			})
		}
		b.Organisations = append(b.Organisations, o)
	}
	m.apply(t, ledger.Record{Adopt: &ledger.Adopt{Version: m.version, Bundle: b}})
}

func (m *machine) submit(t *rapid.T) {
	m.jobs++
	organisation := bundle.OrganisationName(fmt.Sprintf("o%d", rapid.IntRange(0, 2).Draw(t, "organisation")))
	spec := ledger.Spec{
		ID:           ledger.NewJobID(organisation, fmt.Sprintf("j%d", m.jobs)),
		Class:        rapid.SampledFrom([]ledger.Class{ledger.ClassUrgent, ledger.ClassBatch}).Draw(t, "class"),
		Tasks:        rapid.IntRange(1, 5).Draw(t, "tasks"),
		Accelerators: rapid.SampledFrom([]int{1, 1, 2, 3, 4, 8}).Draw(t, "accelerators"),
		Cores:        platform.Cores(rapid.IntRange(0, 24).Draw(t, "cores")),
		Memory:       platform.Megabytes(rapid.IntRange(0, 300).Draw(t, "memory")),
		RunTime:      time.Duration(rapid.IntRange(0, 100).Draw(t, "runTime")) * time.Second,
		RunOnce:      rapid.Bool().Draw(t, "runOnce"),
	}
	spec.Preemptible = !spec.RunOnce || rapid.Bool().Draw(t, "preemptible")
	m.apply(t, ledger.Record{Submit: &ledger.Submit{Spec: spec}})
}

// place applies what the policy decides; most of it must be valid.
func (m *machine) place(t *rapid.T) {
	d := m.policy.Decide(m.state, m.now, func(ledger.JobID) bool { return false })
	for _, y := range d.Yields {
		m.apply(t, ledger.Record{Yield: &y})
	}
	for _, p := range d.Places {
		p.Driver = "driver"
		m.apply(t, ledger.Record{Place: &p})
		if err := m.state.Check(); err != nil {
			t.Fatalf("after %+v: %v", p, err)
		}
	}
}

// misplace proposes a placement that knows nothing of the state.
func (m *machine) misplace(t *rapid.T) {
	jobs := m.state.Active(func(*ledger.Job) bool { return true })
	if len(jobs) == 0 {
		return
	}
	j := rapid.SampledFrom(jobs).Draw(t, "job")
	p := ledger.Place{
		Job: j.ID, Epoch: j.Epoch + 1, Driver: "driver", Guarantee: "g0",
		Kind: rapid.SampledFrom([]ledger.Kind{ledger.KindGuaranteed, ledger.KindFirm, ledger.KindBorrowed}).Draw(t, "kind"),
	}
	for task := range j.Tasks {
		start := rapid.IntRange(0, 8-j.Accelerators).Draw(t, "start")
		p.Assignments = append(p.Assignments, ledger.Assignment{
			Worker:       rapid.SampledFrom(m.state.Workers()).Draw(t, "worker"),
			Accelerators: (platform.AcceleratorSet(1)<<j.Accelerators - 1) << start, Slot: task,
		})
	}
	m.apply(t, ledger.Record{Place: &p})
}

// step moves a random job one step on.
func (m *machine) step(t *rapid.T) {
	jobs := m.state.Active(func(j *ledger.Job) bool { return j.HoldsAccelerators() })
	if len(jobs) == 0 {
		return
	}
	j := rapid.SampledFrom(jobs).Draw(t, "job")
	worker := j.Assignments[0].Worker
	var away []platform.WorkerID
	if rapid.IntRange(0, 9).Draw(t, "away") == 0 {
		away = append(away, worker)
	}
	epoch := j.Epoch
	if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
		epoch--
	}
	records := []ledger.Record{
		{Commit: &ledger.Commit{Job: j.ID, Epoch: epoch}},
		{Commit: &ledger.Commit{Job: j.ID, Epoch: epoch}},
		{Abort: &ledger.Abort{Job: j.ID, Epoch: epoch, Away: away}},
		{Stopped: &ledger.Stopped{Job: j.ID, Epoch: epoch, Away: away, Progress: time.Second}},
		{Finish: &ledger.Finish{Job: j.ID, Epoch: epoch, RanTime: time.Minute}},
		{Finish: &ledger.Finish{Job: j.ID, Epoch: epoch, Failed: true, Worker: worker, Error: "boom"}},
		{Takeover: &ledger.Takeover{Job: j.ID, Epoch: epoch + 1, Driver: "other"}},
		{Cancel: &ledger.Cancel{Job: j.ID}},
	}
	m.apply(t, rapid.SampledFrom(records).Draw(t, "record"))
}

func (m *machine) changeWorkers(t *rapid.T) {
	id := rapid.SampledFrom(m.state.Workers()).Draw(t, "worker")
	w := m.state.Worker(id).Worker
	if rapid.Bool().Draw(t, "lose") {
		m.apply(t, ledger.Record{Observe: &ledger.Observe{Lost: []platform.WorkerID{id}}})
		return
	}
	w.Accelerators = rapid.SampledFrom([]int{4, 8}).Draw(t, "accelerators")
	m.apply(t, ledger.Record{Observe: &ledger.Observe{Joined: []platform.Worker{w}}})
}

// restore replaces the ledger by one that was read from its snapshot; from here
// on both must go the same way.
func (m *machine) restore(t *rapid.T) {
	data := snapshot(t, m.state)
	next := ledger.NewState(region)
	if err := next.RestoreSnapshot(data); err != nil {
		t.Fatal(err)
	}
	if again := snapshot(t, next); !bytes.Equal(data, again) {
		t.Fatalf("a restored ledger differs:\n%s\n%s", data, again)
	}
	m.state = next
}

func TestLedgerKeepsItsInvariantsAfterEveryRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"adopt":         m.adopt,
			"submit":        m.submit,
			"submit again":  m.submit,
			"place":         m.place,
			"place again":   m.place,
			"misplace":      m.misplace,
			"step":          m.step,
			"step again":    m.step,
			"changeWorkers": m.changeWorkers,
			"restore":       m.restore,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) {
				if err := m.state.Check(); err != nil {
					t.Fatal(err)
				}
			},
		})
	})
}

// Two replicas that take the same records must agree, even if one of them was
// restored from a snapshot in between.
func TestReplicasAgreeWhereverTheyStarted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := newMachine(t)
		restored := ledger.NewState(region)
		if err := restored.RestoreSnapshot(snapshot(t, live.state)); err != nil {
			t.Fatal(err)
		}
		twin := &machine{state: restored, now: live.now, offset: live.offset, version: live.version, jobs: live.jobs}
		record := recorder(live, twin)
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			record(t)
			if a, b := snapshot(t, live.state), snapshot(t, twin.state); !bytes.Equal(a, b) {
				t.Fatalf("replicas differ:\n%s\n%s", a, b)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				twin.restore(t)
			}
		}
	})
}

// recorder returns a step that applies the same random record to both.
func recorder(live, twin *machine) func(t *rapid.T) {
	return func(t *rapid.T) {
		live.now = live.now.Add(time.Second)
		twin.now = live.now
		var places []ledger.Place
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			mirror(t, live, twin, live.submit)
			return
		case 1:
			mirror(t, live, twin, live.step)
			return
		case 2:
			mirror(t, live, twin, live.changeWorkers)
			return
		default:
			places = live.policy.Decide(live.state, live.now, func(ledger.JobID) bool { return false }).Places
		}
		for _, p := range places {
			p.Driver = "driver"
			a := live.apply(t, ledger.Record{Place: &p})
			b := twin.apply(t, ledger.Record{Place: &p})
			if (a == nil) != (b == nil) {
				t.Fatalf("verdicts differ: %v, %v", a, b)
			}
		}
	}
}

// mirror runs an action on the live machine and repeats its record on the twin.
func mirror(t *rapid.T, live, twin *machine, action func(*rapid.T)) {
	live.last = nil
	action(t)
	if live.last != nil {
		twin.apply(t, *live.last)
	}
}
