package ledger_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"math"
	"testing"
	"time"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/ledger"
	"corianderpass/internal/process/placement"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// sizes are the numbers of workers that the benchmarks compare; the last one is
// the design size.
var sizes = []int{537, 1075, 2150, 4300}

// filled returns a ledger with the workers, 240 organisations with guarantees on
// a third of the accelerators, and seven tasks running on each worker.
func filled(b *testing.B, workers int) (*ledger.State, func(ledger.Record) error) {
	b.Helper()
	s := ledger.NewState(region)
	offset := platform.Offset(0)
	now := time.UnixMilli(1_700_000_000_000)
	apply := func(r ledger.Record) error {
		offset++
		now = now.Add(time.Millisecond)
		r.Rules = s.RulesVersion()
		return s.Apply(journal.Position{Offset: offset, Time: now, Writer: "bench"}, r)
	}
	rules := &bundle.Bundle{
		Sharing: bundle.Sharing{
			CompletionWeight: 1, FragmentationWeight: 1, AgeingTime: bundle.Duration(time.Hour), DeadLetterAfter: 3,
			QuarantineAfter: 3, QuarantineTime: bundle.Duration(time.Minute), JobMemory: bundle.Duration(24 * time.Hour),
		},
		Limits: bundle.DefaultLimits(),
	}
	const organisations = 240
	for i := range organisations {
		rules.Organisations = append(rules.Organisations, bundle.Organisation{
			Name: bundle.OrganisationName(fmt.Sprintf("o%03d", i)), HomeRegion: region, Share: 1 + i%4, WaitingJobs: math.MaxInt,
			Guarantees: []bundle.Guarantee{{Name: "g", Region: region, Tasks: max(1, workers/3/organisations), Accelerators: 8, Cores: 8, Memory: 8}},
		})
	}
	must(b, apply(ledger.Record{Adopt: &ledger.Adopt{Version: 1, Bundle: rules}}))
	var joined []platform.Worker
	for i := range workers {
		joined = append(joined, platform.Worker{
			ID: platform.WorkerID(fmt.Sprintf("w%05d", i)), Rack: platform.RackID(fmt.Sprintf("r%05d", i/3)), Region: region,
			Accelerators: 8, Cores: 64, Memory: 1000,
		})
	}
	must(b, apply(ledger.Record{Observe: &ledger.Observe{Joined: joined}}))
	for i, w := range joined {
		// Gangs of seven one-accelerator tasks; every hundredth worker stays free.
		if i%100 == 0 {
			continue
		}
		run(b, apply, i, w.ID)
	}
	return s, apply
}

// run puts a running gang of seven tasks on one worker.
func run(b *testing.B, apply func(ledger.Record) error, number int, worker platform.WorkerID) {
	b.Helper()
	id := ledger.NewJobID(bundle.OrganisationName(fmt.Sprintf("o%03d", number%240)), fmt.Sprint("j", number))
	must(b, apply(ledger.Record{Submit: &ledger.Submit{Spec: ledger.Spec{
		ID: id, Class: ledger.ClassBatch, Tasks: 7, Accelerators: 1, Cores: 4, Memory: 4, RunTime: time.Hour, Preemptible: true,
	}}}))
	p := ledger.Place{Job: id, Epoch: 1, Driver: "driver", Kind: ledger.KindBorrowed}
	for k := range 7 {
		p.Assignments = append(p.Assignments, ledger.Assignment{Worker: worker, Accelerators: 1 << k})
	}
	must(b, apply(ledger.Record{Place: &p}))
	must(b, apply(ledger.Record{Commit: &ledger.Commit{Job: id, Epoch: 1}}))
}

func must(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

func BenchmarkFoldOneJobsLife(b *testing.B) {
	for _, workers := range sizes {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			_, apply := filled(b, workers)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := ledger.NewJobID("o001", fmt.Sprint("x", i))
				must(b, apply(ledger.Record{Submit: &ledger.Submit{Spec: ledger.Spec{ID: id, Class: ledger.ClassBatch, Tasks: 1, Accelerators: 1, Preemptible: true}}}))
				must(b, apply(ledger.Record{Place: &ledger.Place{Job: id, Epoch: 1, Driver: "d", Kind: ledger.KindBorrowed, Assignments: []ledger.Assignment{{Worker: "w00001", Accelerators: 128}}}}))
				must(b, apply(ledger.Record{Commit: &ledger.Commit{Job: id, Epoch: 1}}))
				must(b, apply(ledger.Record{Finish: &ledger.Finish{Job: id, Epoch: 1, RanTime: time.Second}}))
			}
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, workers := range sizes {
		s, _ := filled(b, workers)
		data, err := s.MarshalSnapshot()
		must(b, err)
		b.Run(fmt.Sprint("write/workers=", workers), func(b *testing.B) {
			for b.Loop() {
				_, err := s.MarshalSnapshot()
				must(b, err)
			}
			b.ReportMetric(float64(len(data)), "snapshot-bytes")
		})
		b.Run(fmt.Sprint("restore/workers=", workers), func(b *testing.B) {
			for b.Loop() {
				must(b, ledger.NewState(region).RestoreSnapshot(data))
			}
		})
	}
}

func BenchmarkAdoptABundle(b *testing.B) {
	for _, workers := range sizes {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			s, apply := filled(b, workers)
			version := s.Version()
			for b.Loop() {
				version++
				next := *s.Bundle()
				must(b, apply(ledger.Record{Adopt: &ledger.Adopt{Version: version, Bundle: &next}}))
			}
		})
	}
}

// BenchmarkPlaceAGuaranteedGang decides on an urgent claim of a guarantee while
// borrowers hold nearly everything, and judges it.
func BenchmarkPlaceAGuaranteedGang(b *testing.B) {
	benchmarkDecision(b, ledger.Spec{ID: "o007/claim", Class: ledger.ClassUrgent, Tasks: 1, Accelerators: 8, Cores: 4, Memory: 4, RunTime: time.Hour})
}

// BenchmarkPlaceAGangOf512 decides on a gang of 512 one-accelerator tasks on a
// region with one free accelerator on nearly every worker.
func BenchmarkPlaceAGangOf512(b *testing.B) {
	benchmarkDecision(b, ledger.Spec{ID: "o007/wide", Class: ledger.ClassBatch, Tasks: 512, Accelerators: 1, Cores: 4, Memory: 4, RunTime: time.Hour, Preemptible: true})
}

func benchmarkDecision(b *testing.B, spec ledger.Spec) {
	for _, workers := range sizes {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			s, apply := filled(b, workers)
			must(b, apply(ledger.Record{Submit: &ledger.Submit{Spec: spec}}))
			b.ReportAllocs()
			for b.Loop() {
				d := placement.Policy{}.Decide(s, s.Now(), func(ledger.JobID) bool { return false })
				if len(d.Places) != 1 {
					b.Fatalf("%d placements", len(d.Places))
				}
			}
		})
	}
}

// BenchmarkDecideOnABlockedQueue decides while 200 gangs wait that do not fit.
func BenchmarkDecideOnABlockedQueue(b *testing.B) {
	for _, workers := range sizes {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			s, apply := filled(b, workers)
			for i := range 200 {
				must(b, apply(ledger.Record{Submit: &ledger.Submit{Spec: ledger.Spec{
					ID: ledger.NewJobID("o001", fmt.Sprint("big", i)), Class: ledger.ClassBatch, Tasks: workers / 4, Accelerators: 8, RunTime: time.Hour, Preemptible: true,
				}}}))
			}
			for b.Loop() {
				placement.Policy{}.Decide(s, s.Now(), func(ledger.JobID) bool { return false })
			}
		})
	}
}

// BenchmarkPackedSnapshot tells how much of a snapshot is left when the journal
// has compressed it.
func BenchmarkPackedSnapshot(b *testing.B) {
	for _, workers := range sizes {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			s, _ := filled(b, workers)
			data, err := s.MarshalSnapshot()
			must(b, err)
			var packed bytes.Buffer
			for b.Loop() {
				packed.Reset()
				w := gzip.NewWriter(&packed)
				_, err := w.Write(data)
				must(b, err)
				must(b, w.Close())
			}
			b.ReportMetric(float64(packed.Len()), "packed-bytes")
		})
	}
}
