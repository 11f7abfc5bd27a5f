package ledger

import (
	"strconv"
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

func itoa(n int) string { return strconv.Itoa(n) }

// RulesVersion numbers the rules by which records are accepted or rejected. A Raise
// record changes the version in force at its place in the stream, so that all builds
// that implement the version apply the same rules to the same records.
type RulesVersion int

// CurrentRulesVersion is the newest version that this build implements.
const CurrentRulesVersion RulesVersion = 1

// Record is one proposed change of the state. Exactly one of the pointers is set.
type Record struct {
	// Rules is the version in force in the proposer's state. Records for another
	// version are rejected, except Raise.
	Rules    RulesVersion
	Raise    *Raise    `json:",omitempty"`
	Adopt    *Adopt    `json:",omitempty"`
	Observe  *Observe  `json:",omitempty"`
	Submit   *Submit   `json:",omitempty"`
	Place    *Place    `json:",omitempty"`
	Commit   *Commit   `json:",omitempty"`
	Abort    *Abort    `json:",omitempty"`
	Stopped  *Stopped  `json:",omitempty"`
	Finish   *Finish   `json:",omitempty"`
	Cancel   *Cancel   `json:",omitempty"`
	Takeover *Takeover `json:",omitempty"`
	Yield    *Yield    `json:",omitempty"`
	Claim    *Claim    `json:",omitempty"`
	Reclaim  *Reclaim  `json:",omitempty"`
	Settle   *Settle   `json:",omitempty"`
	Unclaim  *Unclaim  `json:",omitempty"`
}

// Raise brings a newer version of the rules into force.
type Raise struct{ To RulesVersion }

// Adopt makes a bundle the region's bundle. Its version must exceed the adopted one.
type Adopt struct {
	Version bundle.Version
	Bundle  *bundle.Bundle
}

// Observe records changes of the region's workers that the platform reports.
type Observe struct {
	// Joined are new or changed workers, and lost ones that are listed again.
	Joined []platform.Worker `json:",omitempty"`
	// Lost are workers that are no longer on the platform's list or do not answer.
	Lost []platform.WorkerID `json:",omitempty"`
}

// Submit adds a job.
type Submit struct{ Spec Spec }

// Place gives a waiting job its accelerators and its driver, the entry that acquires its
// leases and starts and stops its tasks. Epoch is the job's next epoch.
type Place struct {
	Job         JobID
	Epoch       platform.Epoch
	Driver      incarnation.ID
	Kind        Kind
	Guarantee   bundle.GuaranteeName `json:",omitempty"`
	Assignments []Assignment
	// Moves are smaller preemptible jobs that a borrowed placement stops, so that they
	// are placed again on other accelerators.
	Moves []JobID `json:",omitempty"`
}

// Commit records that all leases of a reserved gang are held. No task of the gang starts
// before this record is accepted.
type Commit struct {
	Job   JobID
	Epoch platform.Epoch
}

// Abort records that a reserved gang has not obtained all its leases and has released
// those it had. It is also recorded for a stopping gang that has never been committed.
type Abort struct {
	Job    JobID
	Epoch  platform.Epoch
	Reason string
	// Away are workers that did not answer. They become lost.
	Away []platform.WorkerID `json:",omitempty"`
}

// Stopped records that a gang has stopped: each task has ended, or its lease has lapsed.
type Stopped struct {
	Job   JobID
	Epoch platform.Epoch
	// Progress is the run time that the last checkpoint covers.
	Progress time.Duration
	Reason   string
	// Away are workers that did not answer. They become lost.
	Away []platform.WorkerID `json:",omitempty"`
	// Crashed is true if a worker has crashed under the gang: it answers, and does not know a lease that
	// has not expired.
	Crashed bool `json:",omitempty"`
}

// Finish records that the tasks of a running gang have ended on their own. The driver of
// a failed gang releases its leases before it proposes the record, that of a gang that
// succeeded afterwards.
type Finish struct {
	Job    JobID
	Epoch  platform.Epoch
	Failed bool
	// Final marks a failure that is caused by the job, not by the worker. The job is not
	// retried, and the failure does not count against the worker.
	Final bool   `json:",omitempty"`
	Error string `json:",omitempty"`
	// Worker is the worker on which the gang failed.
	Worker platform.WorkerID `json:",omitempty"`
	// RanTime is how long the job ran in total, including the progress of earlier
	// placements.
	RanTime time.Duration
}

// Cancel ends a job at its organisation's request.
type Cancel struct{ Job JobID }

// Takeover gives a gang a new driver. Epoch is the job's next epoch.
type Takeover struct {
	Job    JobID
	Epoch  platform.Epoch
	Driver incarnation.ID
}

// Yield stops a running job with a borrowed placement, so that it is placed again on other
// accelerators. Compaction uses it to empty a worker.
type Yield struct {
	Job   JobID
	Epoch platform.Epoch
}
