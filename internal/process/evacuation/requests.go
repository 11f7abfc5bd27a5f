// Package evacuation brings the requests of operators to evacuate failure domains into the replicated
// workload. Every entry runs a Recorder, which compares the operators' requests with the state and
// proposes what the state lacks. The state then tells the leader where no runs may be placed and the
// agents where none may start.
package evacuation

import (
	"cmp"
	"slices"
	"sync"

	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

// Requests are the requests of operators that are in force, as read from the operators' stream up to some
// record. The zero value has no requests and is ready to use. It is safe for concurrent use.
type Requests struct {
	mu sync.Mutex
	// domains has the version of each request that is in force. A version may exceed asOf: a listing is
	// read in pages, and asOf is the end of the stream at the first one.
	domains map[platform.FailureDomain]workload.EvacuationVersion
	// asOf is the version of the last record that was read; 0 before the first complete listing.
	asOf workload.EvacuationVersion
	// changed is closed and replaced when domains changes; nil before the first call of Changed.
	changed chan struct{}
}

// Replace replaces all requests by those of a complete listing of the stream. asOf is the version of the
// last record that the listing includes. Requests that the listing lacks have been withdrawn: the platform keeps
// the newest record of each key.
func (r *Requests) Replace(domains map[platform.FailureDomain]workload.EvacuationVersion, asOf workload.EvacuationVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if asOf < r.asOf {
		return
	}
	r.domains, r.asOf = domains, asOf
	r.notifyChanged()
}

// Set records that the domain is to be evacuated, by a record of the version.
func (r *Requests) Set(d platform.FailureDomain, version workload.EvacuationVersion) {
	r.update(version, func() { r.domains[d] = version })
}

// Withdraw records that the request for the domain was withdrawn, by a record of the version.
func (r *Requests) Withdraw(d platform.FailureDomain, version workload.EvacuationVersion) {
	r.update(version, func() { delete(r.domains, d) })
}

// update applies a change by the record of the version, which follows all records that were read before.
func (r *Requests) update(version workload.EvacuationVersion, change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.domains == nil {
		r.domains = map[platform.FailureDomain]workload.EvacuationVersion{}
	}
	change()
	r.asOf = version
	r.notifyChanged()
}

// Changed returns a channel that is closed at the next change.
func (r *Requests) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// notifyChanged wakes all that wait on Changed. The lock must be held.
func (r *Requests) notifyChanged() {
	if r.changed != nil {
		close(r.changed)
	}
	r.changed = make(chan struct{})
}

// Missing returns the records that the state needs so that it agrees with the requests, in the order of their
// domains. State decides which of several proposals is the newest, so that stale requests change nothing.
func (r *Requests) Missing(recorded map[platform.FailureDomain]workload.Evacuation) []workload.Evacuate {
	r.mu.Lock()
	defer r.mu.Unlock()
	var missing []workload.Evacuate
	for d, version := range r.domains {
		if recorded[d].Version < version {
			missing = append(missing, workload.Evacuate{Domain: d, Version: version, Active: true})
		}
	}
	for d, e := range recorded {
		if _, requested := r.domains[d]; !requested && e.Active && e.Version < r.asOf {
			missing = append(missing, workload.Evacuate{Domain: d, Version: r.asOf})
		}
	}
	slices.SortFunc(missing, func(a, b workload.Evacuate) int { return cmp.Compare(a.Domain, b.Domain) })
	return missing
}
