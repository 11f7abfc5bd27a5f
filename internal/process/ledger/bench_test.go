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

// sizes are the numbers of workers that the benchmarks compare. The last one is the
// largest region that the system is designed for.
var sizes = []int{537, 1075, 2150, 4300}

// newFilledLedger returns a ledger with the given number of workers, 240 organisations with
// guarantees on about a third of the accelerators, and a running gang of seven tasks on 99 of
// 100 workers. It also returns a function that applies a record.
func newFilledLedger(b *testing.B, workers int) (*ledger.State, func(ledger.Record) error) {
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
	adopted := &bundle.Bundle{
		Sharing: bundle.Sharing{
			CompletionWeight: 1, FragmentationWeight: 1, AgeingTime: bundle.Duration(time.Hour), DeadLetterAfter: 3,
			QuarantineAfter: 3, QuarantineTime: bundle.Duration(time.Minute), JobMemory: bundle.Duration(24 * time.Hour),
		},
		Limits: bundle.DefaultLimits(),
	}
	const organisations = 240
	for i := range organisations {
		adopted.Organisations = append(adopted.Organisations, bundle.Organisation{
			Name: bundle.OrganisationName(fmt.Sprintf("o%03d", i)), HomeRegion: region, Share: 1 + i%4, WaitingJobs: math.MaxInt,
			Guarantees: []bundle.Guarantee{{Name: "g", Region: region, Tasks: max(1, workers/3/organisations), Accelerators: 8, Cores: 8, Memory: 8}},
		})
	}
	must(b, apply(ledger.Record{Adopt: &ledger.Adopt{Version: 1, Bundle: adopted}}))
	var joined []platform.Worker
	for i := range workers {
		joined = append(joined, platform.Worker{
			ID: platform.WorkerID(fmt.Sprintf("w%05d", i)), Rack: platform.RackID(fmt.Sprintf("r%05d", i/3)), Region: region,
			Accelerators: 8, Cores: 64, Memory: 1000,
		})
	}
	must(b, apply(ledger.Record{Observe: &ledger.Observe{Joined: joined}}))
	for i, w := range joined {
		// Every hundredth worker stays free.
		if i%100 == 0 {
			continue
		}
		runGang(b, apply, i, w.ID)
	}
	return s, apply
}

// runGang runs a gang of seven tasks with one accelerator each on one worker.
func runGang(b *testing.B, apply func(ledger.Record) error, number int, worker platform.WorkerID) {
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

// BenchmarkApplyJobLifecycle applies the four records of a job from submission to success.
func BenchmarkApplyJobLifecycle(b *testing.B) {
	for _, workers := range sizes {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			_, apply := newFilledLedger(b, workers)
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

// BenchmarkSnapshot writes and restores snapshots, and reports their size.
func BenchmarkSnapshot(b *testing.B) {
	for _, workers := range sizes {
		s, _ := newFilledLedger(b, workers)
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

// BenchmarkAdoptBundle adopts bundles that do not change the slots.
func BenchmarkAdoptBundle(b *testing.B) {
	for _, workers := range sizes {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			s, apply := newFilledLedger(b, workers)
			version := s.Version()
			for b.Loop() {
				version++
				next := *s.Bundle()
				must(b, apply(ledger.Record{Adopt: &ledger.Adopt{Version: version, Bundle: &next}}))
			}
		})
	}
}

// BenchmarkDecideGuaranteedGang decides on an urgent job that fills a guarantee while
// borrowed placements hold nearly all accelerators.
func BenchmarkDecideGuaranteedGang(b *testing.B) {
	benchmarkDecision(b, ledger.Spec{ID: "o007/claim", Class: ledger.ClassUrgent, Tasks: 1, Accelerators: 8, Cores: 4, Memory: 4, RunTime: time.Hour})
}

// BenchmarkDecideGangOf512 decides on a gang of 512 tasks with one accelerator each, while
// nearly every worker has one free accelerator.
func BenchmarkDecideGangOf512(b *testing.B) {
	benchmarkDecision(b, ledger.Spec{ID: "o007/wide", Class: ledger.ClassBatch, Tasks: 512, Accelerators: 1, Cores: 4, Memory: 4, RunTime: time.Hour, Preemptible: true})
}

// benchmarkDecision measures decisions that place one job.
func benchmarkDecision(b *testing.B, spec ledger.Spec) {
	for _, workers := range sizes {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			s, apply := newFilledLedger(b, workers)
			must(b, apply(ledger.Record{Submit: &ledger.Submit{Spec: spec}}))
			b.ReportAllocs()
			for b.Loop() {
				d := placement.Policy{}.Decide(s, s.Now(), func(ledger.JobID) bool { return false })
				if len(d.Places) != 1 {
					b.Fatalf("got %d placements, want 1", len(d.Places))
				}
			}
		})
	}
}

// BenchmarkDecideBlockedQueue decides while 200 gangs wait and none of them fits.
func BenchmarkDecideBlockedQueue(b *testing.B) {
	for _, workers := range sizes {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			s, apply := newFilledLedger(b, workers)
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

// BenchmarkCompressSnapshot compresses a snapshot as the journal does and reports the
// compressed size.
func BenchmarkCompressSnapshot(b *testing.B) {
	for _, workers := range sizes {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			s, _ := newFilledLedger(b, workers)
			data, err := s.MarshalSnapshot()
			must(b, err)
			var compressed bytes.Buffer
			for b.Loop() {
				compressed.Reset()
				w := gzip.NewWriter(&compressed)
				_, err := w.Write(data)
				must(b, err)
				must(b, w.Close())
			}
			b.ReportMetric(float64(compressed.Len()), "packed-bytes")
		})
	}
}
