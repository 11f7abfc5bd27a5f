package evacuation_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderpass/internal/process/evacuation"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

// operatorRecord is one record of the operators' stream; requested is false for a withdrawal.
type operatorRecord struct {
	domain    platform.FailureDomain
	requested bool
}

// reader is an entry that has read the records up to the offset read.
type reader struct {
	requests evacuation.Requests
	read     int
}

// list replaces the requests by a complete listing of the first n records.
func (r *reader) list(stream []operatorRecord, n int) {
	domains := map[platform.FailureDomain]workload.EvacuationVersion{}
	for i, record := range stream[:n] {
		delete(domains, record.domain)
		if record.requested {
			domains[record.domain] = workload.EvacuationVersion(i + 1)
		}
	}
	r.requests.Replace(domains, workload.EvacuationVersion(n))
	r.read = max(r.read, n)
}

// follow reads one more record.
func (r *reader) follow(stream []operatorRecord) {
	record := stream[r.read]
	r.read++
	if record.requested {
		r.requests.Set(record.domain, workload.EvacuationVersion(r.read))
	} else {
		r.requests.Withdraw(record.domain, workload.EvacuationVersion(r.read))
	}
}

// Entries read the operators' stream at different speeds, by record or by listings, and list it again after
// records were dropped from the history; some listings are stale. The state must never return to an older request
// and must agree with the operators once any entry has read everything.
func TestStateFollowsOperatorsWhoeverReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []operatorRecord
		readers := []*reader{{}, {}, {}}
		state := workload.NewState()
		offset := platform.Offset(0)
		apply := func(proposals []workload.Evacuate) {
			for _, e := range proposals {
				before := state.Evacuation(e.Domain)
				offset++
				err := state.Apply(journal.Position{Offset: offset, Time: time.UnixMilli(int64(offset))}, workload.Record{Evacuate: &e})
				if after := state.Evacuation(e.Domain); err == nil && after.Version <= before.Version {
					t.Fatalf("version of %s fell from %d to %d", e.Domain, before.Version, after.Version)
				}
			}
		}
		propose := func(r *reader) { apply(r.requests.Missing(state.Evacuations())) }
		// delayed are proposals that reach the log after others.
		var delayed []workload.Evacuate
		t.Repeat(map[string]func(*rapid.T){
			"operator": func(t *rapid.T) {
				d := platform.FailureDomain(fmt.Sprint("d", rapid.IntRange(0, 2).Draw(t, "domain")))
				stream = append(stream, operatorRecord{d, rapid.Bool().Draw(t, "requested")})
			},
			"follow": func(t *rapid.T) {
				if r := rapid.SampledFrom(readers).Draw(t, "reader"); r.read > 0 && r.read < len(stream) {
					r.follow(stream)
				}
			},
			"list": func(t *rapid.T) {
				rapid.SampledFrom(readers).Draw(t, "reader").list(stream, rapid.IntRange(0, len(stream)).Draw(t, "length"))
			},
			"propose": func(t *rapid.T) { propose(rapid.SampledFrom(readers).Draw(t, "reader")) },
			"delay": func(t *rapid.T) {
				r := rapid.SampledFrom(readers).Draw(t, "reader")
				delayed = append(delayed, r.requests.Missing(state.Evacuations())...)
			},
			"deliver": func(*rapid.T) {
				apply(delayed)
				delayed = nil
			},
			"restore": func(t *rapid.T) {
				data, err := state.MarshalSnapshot()
				if err != nil {
					t.Fatal(err)
				}
				if err := state.RestoreSnapshot(data); err != nil {
					t.Fatal(err)
				}
			},
		})
		apply(delayed)
		readers[0].list(stream, len(stream))
		for _, r := range readers {
			propose(r)
			// A stale entry may record a request that was withdrawn. The up-to-date entry corrects that.
			propose(readers[0])
		}
		want := map[platform.FailureDomain]bool{}
		for _, record := range stream {
			delete(want, record.domain)
			if record.requested {
				want[record.domain] = true
			}
		}
		got := map[platform.FailureDomain]bool{}
		for d, e := range state.Evacuations() {
			if e.Active {
				got[d] = true
			}
		}
		if !maps.Equal(got, want) {
			t.Fatalf("got evacuated domains %v, want %v", got, want)
		}
	})
}

// The state is newer than what an entry has read. The entry must not propose to withdraw a request that it has
// not read yet, at every comparison again.
func TestStaleReaderProposesNothing(t *testing.T) {
	requests := &evacuation.Requests{}
	requests.Replace(nil, 4)
	recorded := map[platform.FailureDomain]workload.Evacuation{"d": {Version: 5, Active: true}}
	if missing := requests.Missing(recorded); len(missing) > 0 {
		t.Errorf("got proposals %v by an entry that has read 4 records, want none", missing)
	}
}
