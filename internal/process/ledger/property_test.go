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

// ledgerMachine applies random records, most of them valid, to a ledger. Its methods are
// the actions of the state machine tests.
type ledgerMachine struct {
	state   *ledger.State
	offset  platform.Offset
	now     time.Time
	version bundle.Version
	// jobs is the number of submitted jobs, from which their IDs are formed.
	jobs   int
	policy placement.Policy
	// last is the last applied record.
	last *ledger.Record
}

const region = platform.Region("Mazowsze")

func newMachine(t *rapid.T) *ledgerMachine {
	m := &ledgerMachine{state: ledger.NewState(region), now: time.UnixMilli(1_700_000_000_000).UTC()}
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

// apply applies a record and returns the ledger's error. It fails the test if a rejected
// record other than Observe changed more than the time, or if a placement left a slot
// without a place.
func (m *ledgerMachine) apply(t *rapid.T, r ledger.Record) error {
	r.Rules = m.state.RulesVersion()
	m.last = &r
	m.offset++
	before := snapshot(t, m.state)
	shortfall := m.state.Shortfall()
	err := m.state.Apply(journal.Position{Offset: m.offset, Time: m.now, Writer: "test"}, r)
	if err != nil && r.Observe == nil && !bytes.Equal(withoutTime(before), withoutTime(snapshot(t, m.state))) {
		t.Fatalf("a rejected record changed the state: %v\nbefore %s\nafter  %s", err, before, snapshot(t, m.state))
	}
	if r.Place != nil && m.state.Shortfall() > shortfall {
		t.Fatalf("a placement left %d more slots without a place, want none: %+v", m.state.Shortfall()-shortfall, *r.Place)
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

// withoutTime returns the snapshot without the state's time, which every record changes.
func withoutTime(data []byte) []byte {
	from := bytes.Index(data, []byte(`"Now":`))
	to := bytes.Index(data, []byte(`"Version":`))
	return append(append([]byte(nil), data[:from]...), data[to:]...)
}

// adopt adopts a bundle with three organisations and random quotas and guarantees.
func (m *ledgerMachine) adopt(t *rapid.T) {
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

// submit submits a random job.
func (m *ledgerMachine) submit(t *rapid.T) {
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

// place applies what the policy decides and checks the invariants after each placement.
func (m *ledgerMachine) place(t *rapid.T) {
	d := m.policy.Decide(m.state, m.now, func(ledger.JobID) bool { return false })
	for _, y := range d.Yields {
		m.apply(t, ledger.Record{Yield: &y})
	}
	for _, p := range d.Places {
		p.Driver = "driver"
		m.apply(t, ledger.Record{Place: &p})
		if err := m.state.Check(); err != nil {
			t.Fatalf("invariant violated after placement %+v: %v", p, err)
		}
	}
}

// placeAtRandom proposes a placement on random accelerators, held or not.
func (m *ledgerMachine) placeAtRandom(t *rapid.T) {
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

// advanceJob applies a random record to a random job that holds accelerators. Some
// records carry an old epoch, and some report the job's first worker as lost.
func (m *ledgerMachine) advanceJob(t *rapid.T) {
	jobs := m.state.Active(func(j *ledger.Job) bool { return j.HoldsAccelerators() })
	if len(jobs) == 0 {
		return
	}
	j := rapid.SampledFrom(jobs).Draw(t, "job")
	worker := j.Assignments[0].Worker
	var lost []platform.WorkerID
	if rapid.IntRange(0, 9).Draw(t, "away") == 0 {
		lost = append(lost, worker)
	}
	epoch := j.Epoch
	if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
		epoch--
	}
	records := []ledger.Record{
		{Commit: &ledger.Commit{Job: j.ID, Epoch: epoch}},
		{Commit: &ledger.Commit{Job: j.ID, Epoch: epoch}},
		{Abort: &ledger.Abort{Job: j.ID, Epoch: epoch, Away: lost}},
		{Stopped: &ledger.Stopped{Job: j.ID, Epoch: epoch, Away: lost, Progress: time.Second}},
		{Finish: &ledger.Finish{Job: j.ID, Epoch: epoch, RanTime: time.Minute}},
		{Finish: &ledger.Finish{Job: j.ID, Epoch: epoch, Failed: true, Worker: worker, Error: "boom"}},
		{Takeover: &ledger.Takeover{Job: j.ID, Epoch: epoch + 1, Driver: "other"}},
		{Cancel: &ledger.Cancel{Job: j.ID}},
	}
	m.apply(t, rapid.SampledFrom(records).Draw(t, "record"))
}

// changeWorkers reports a random worker as lost, or as joined with a random size.
func (m *ledgerMachine) changeWorkers(t *rapid.T) {
	id := rapid.SampledFrom(m.state.Workers()).Draw(t, "worker")
	w := m.state.Worker(id).Worker
	if rapid.Bool().Draw(t, "lose") {
		m.apply(t, ledger.Record{Observe: &ledger.Observe{Lost: []platform.WorkerID{id}}})
		return
	}
	w.Accelerators = rapid.SampledFrom([]int{4, 8}).Draw(t, "accelerators")
	m.apply(t, ledger.Record{Observe: &ledger.Observe{Joined: []platform.Worker{w}}})
}

// restore replaces the ledger by one that is restored from its snapshot. The snapshot of
// the restored ledger must equal that of the old one.
func (m *ledgerMachine) restore(t *rapid.T) {
	data := snapshot(t, m.state)
	restored := ledger.NewState(region)
	if err := restored.RestoreSnapshot(data); err != nil {
		t.Fatal(err)
	}
	if again := snapshot(t, restored); !bytes.Equal(data, again) {
		t.Fatalf("a restored ledger has another snapshot:\nbefore %s\nafter  %s", data, again)
	}
	m.state = restored
}

// A record that leaves a sum, a set or a slot inconsistent with the holdings lets later
// records allocate capacity twice. The invariants must hold after any sequence of records,
// also after a restore.
func TestInvariantsHoldAfterEveryRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"adopt":         m.adopt,
			"submit":        m.submit,
			"submit again":  m.submit,
			"place":         m.place,
			"place again":   m.place,
			"misplace":      m.placeAtRandom,
			"step":          m.advanceJob,
			"step again":    m.advanceJob,
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

// Two replicas that apply the same records must have the same state, even if one of them
// was restored from a snapshot in between. They differ if a decision depends on something
// that the snapshot does not contain, such as the order of an index.
func TestRestoredReplicaAgreesWithLiveOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := newMachine(t)
		restored := ledger.NewState(region)
		if err := restored.RestoreSnapshot(snapshot(t, live.state)); err != nil {
			t.Fatal(err)
		}
		replica := &ledgerMachine{state: restored, now: live.now, offset: live.offset, version: live.version, jobs: live.jobs}
		step := stepOnBoth(live, replica)
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			step(t)
			if a, b := snapshot(t, live.state), snapshot(t, replica.state); !bytes.Equal(a, b) {
				t.Fatalf("replicas differ:\nlive     %s\nrestored %s", a, b)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				replica.restore(t)
			}
		}
	})
}

// stepOnBoth returns a function that applies the same random records to both ledgers.
func stepOnBoth(live, replica *ledgerMachine) func(t *rapid.T) {
	return func(t *rapid.T) {
		live.now = live.now.Add(time.Second)
		replica.now = live.now
		var places []ledger.Place
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			mirror(t, live, replica, live.submit)
			return
		case 1:
			mirror(t, live, replica, live.advanceJob)
			return
		case 2:
			mirror(t, live, replica, live.changeWorkers)
			return
		default:
			places = live.policy.Decide(live.state, live.now, func(ledger.JobID) bool { return false }).Places
		}
		for _, p := range places {
			p.Driver = "driver"
			a := live.apply(t, ledger.Record{Place: &p})
			b := replica.apply(t, ledger.Record{Place: &p})
			if (a == nil) != (b == nil) {
				t.Fatalf("one replica rejected a placement that the other accepted: live %v, restored %v", a, b)
			}
		}
	}
}

// mirror runs an action on the live ledger and applies its last record to the replica.
func mirror(t *rapid.T, live, replica *ledgerMachine, action func(*rapid.T)) {
	live.last = nil
	action(t)
	if live.last != nil {
		replica.apply(t, *live.last)
	}
}
