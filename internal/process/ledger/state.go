// Package ledger keeps the state of one region: its workers, its organisations'
// guarantees, the jobs and the claimed requests. The journal applies the records of the
// region's stream in order; the ledger accepts each of them and changes its state, or
// rejects it with an error. It does no I/O and reads no clock, so equal streams give
// equal states on all entries. Entries and the placement policies read the state.
package ledger

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"time"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// State is the ledger of one region. It implements journal.StateMachine. It is not safe for
// concurrent use: all methods must be called under the journal's lock. Use NewState to
// create one; the zero value is not usable.
type State struct {
	region platform.Region
	// rulesVersion is the version of the rules in force.
	rulesVersion RulesVersion
	// onEnd is called for every job that ends. Replicas may differ in it, and snapshots
	// do not contain it.
	onEnd func(*Job)
	// revision counts the applied records, accepted or not, and the restores. Replicas
	// may differ in it, and snapshots do not contain it.
	revision platform.Offset
	// now is the stream's time at the last record.
	now time.Time
	// version is the version of the adopted bundle, 0 before the first.
	version bundle.Version
	// bundle is the adopted bundle, nil before the first.
	bundle  *bundle.Bundle
	workers map[platform.WorkerID]*Worker
	// workerIDs has the IDs of all workers, sorted.
	workerIDs []platform.WorkerID
	jobs      map[JobID]*Job
	// active has the jobs that have not ended.
	active map[JobID]*Job
	slots  slotTable
	// claims are the claimed requests, settled or not.
	claims map[ClaimKey]*ClaimState
	// corrections has, by organisation and class, how the actual run times of jobs
	// compare with the declared ones.
	corrections map[CorrectionKey]Correction
	// heldAccelerators is the number of accelerators that each organisation holds.
	heldAccelerators map[bundle.OrganisationName]int
	// unendedJobs is the number of jobs of each organisation that have not ended.
	unendedJobs map[bundle.OrganisationName]int
	// expiries has the ended jobs and settled claims whose retention time has not passed,
	// in the order in which they ended.
	expiries []expiry
}

// NewState returns the empty ledger of a region.
func NewState(region platform.Region) *State {
	s := &State{region: region, rulesVersion: CurrentRulesVersion}
	s.clear()
	return s
}

func (s *State) clear() {
	s.workers = map[platform.WorkerID]*Worker{}
	s.workerIDs = nil
	s.jobs = map[JobID]*Job{}
	s.active = map[JobID]*Job{}
	s.slots = slotTable{}
	s.claims = map[ClaimKey]*ClaimState{}
	s.corrections = map[CorrectionKey]Correction{}
	s.heldAccelerators = map[bundle.OrganisationName]int{}
	s.unendedJobs = map[bundle.OrganisationName]int{}
	s.expiries = nil
}

// Region returns the region whose state the ledger keeps.
func (s *State) Region() platform.Region { return s.region }

// Now returns the stream's time at the last record, the zero time before the first.
func (s *State) Now() time.Time { return s.now }

// OnJobEnd sets a function that is called, within Apply, for every job that ends. It
// must be set before the first record is applied.
func (s *State) OnJobEnd(f func(*Job)) { s.onEnd = f }

// Revision returns a number that rises whenever a record is applied or a snapshot is
// restored. It differs between replicas.
func (s *State) Revision() platform.Offset { return s.revision }

// Version returns the version of the adopted bundle, 0 before the first.
func (s *State) Version() bundle.Version { return s.version }

// Bundle returns the adopted bundle, nil before the first. It must not be changed.
func (s *State) Bundle() *bundle.Bundle { return s.bundle }

// Workers returns the IDs of all workers, sorted. The slice must not be changed.
func (s *State) Workers() []platform.WorkerID { return s.workerIDs }

// Worker returns a worker, nil if unknown. It must not be changed.
func (s *State) Worker(id platform.WorkerID) *Worker { return s.workers[id] }

// Job returns a job, nil if it is unknown or was removed after its retention time. It
// must not be changed.
func (s *State) Job(id JobID) *Job { return s.jobs[id] }

// HeldAccelerators returns the number of accelerators that an organisation's jobs hold.
func (s *State) HeldAccelerators(name bundle.OrganisationName) int { return s.heldAccelerators[name] }

// Active returns the jobs that have not ended and for which the filter returns true,
// sorted by ID. The jobs must not be changed.
func (s *State) Active(filter func(*Job) bool) []*Job { return filterJobs(s.active, filter) }

// Jobs returns the jobs, ended ones included, for which the filter returns true, sorted
// by ID. The jobs must not be changed.
func (s *State) Jobs(filter func(*Job) bool) []*Job { return filterJobs(s.jobs, filter) }

// filterJobs returns the jobs for which the filter returns true, sorted by ID.
func filterJobs(jobs map[JobID]*Job, filter func(*Job) bool) []*Job {
	var found []*Job
	for _, j := range jobs {
		if filter(j) {
			found = append(found, j)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].ID < found[b].ID })
	return found
}

// snapshotData is the stored form of a state. Sums and indexes are recomputed on restore.
type snapshotData struct {
	Region      platform.Region
	Rules       RulesVersion
	Now         time.Time
	Version     bundle.Version
	Bundle      *bundle.Bundle
	Workers     map[platform.WorkerID]*Worker
	Jobs        map[JobID]*Job
	Slots       []Slot
	Claims      map[ClaimKey]*ClaimState
	Corrections map[CorrectionKey]Correction
	Expiries    []expiry
}

// MarshalSnapshot implements journal.StateMachine. It returns ErrOutdated if the rules in
// force are newer than this build.
func (s *State) MarshalSnapshot() ([]byte, error) {
	if s.Outdated() {
		return nil, ErrOutdated
	}
	data, err := json.Marshal(snapshotData{
		Region: s.region, Rules: s.rulesVersion, Now: s.now.UTC(), Version: s.version, Bundle: s.bundle,
		Workers: s.workers, Jobs: s.jobs, Slots: s.slots.list, Claims: s.claims,
		Corrections: s.corrections, Expiries: s.expiries,
	})
	if err != nil {
		return nil, fmt.Errorf("ledger: cannot encode snapshot: %w", err)
	}
	return data, nil
}

// RestoreSnapshot implements journal.StateMachine. It replaces the state, or returns an error
// and changes nothing if the snapshot cannot be read or violates an invariant.
func (s *State) RestoreSnapshot(data []byte) error {
	var d snapshotData
	if err := json.Unmarshal(data, &d); err != nil {
		return fmt.Errorf("ledger: cannot decode snapshot: %w", err)
	}
	restored := NewState(d.Region)
	restored.loadSnapshot(d)
	if err := restored.Check(); err != nil {
		return fmt.Errorf("ledger: snapshot violates an invariant: %w", err)
	}
	restored.revision = s.revision + 1
	restored.onEnd = s.onEnd
	*s = *restored
	return nil
}

// loadSnapshot fills an empty state and recomputes its sums and indexes.
func (s *State) loadSnapshot(d snapshotData) {
	s.rulesVersion = d.Rules
	s.now = d.Now
	s.version = d.Version
	s.bundle = d.Bundle
	for id, w := range d.Workers {
		s.workers[id] = w
		s.workerIDs = append(s.workerIDs, id)
		for _, h := range w.Holdings {
			w.addToTotals(h)
		}
	}
	slices.Sort(s.workerIDs)
	for id, j := range d.Jobs {
		s.jobs[id] = j
		s.updateTotals(j, 1)
	}
	s.slots.list = d.Slots
	for i := range s.slots.list {
		s.updateSlotTotals(i, 1)
	}
	if d.Claims != nil {
		s.claims = d.Claims
	}
	if d.Corrections != nil {
		s.corrections = d.Corrections
	}
	s.expiries = d.Expiries
}

// updateTotals adds a job to its organisation's totals with sign 1, or subtracts it with
// sign -1, and updates the active jobs. A job is subtracted before it changes and added
// again afterwards.
func (s *State) updateTotals(j *Job, sign int) {
	organisation := j.ID.Organisation()
	if j.Phase != PhaseEnded {
		s.unendedJobs[organisation] += sign
		s.active[j.ID] = j
	} else {
		delete(s.active, j.ID)
	}
	if j.HoldsAccelerators() {
		s.heldAccelerators[organisation] += sign * assignedAccelerators(j)
	}
}

// assignedAccelerators returns the number of accelerators in the job's assignments.
func assignedAccelerators(j *Job) int {
	total := 0
	for _, a := range j.Assignments {
		total += a.Accelerators.Count()
	}
	return total
}

var _ journal.StateMachine[Record] = (*State)(nil)
