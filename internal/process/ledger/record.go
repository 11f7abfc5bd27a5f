package ledger

import (
	"strconv"
	"time"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

func itoa(n int) string { return strconv.Itoa(n) }

// RulesVersion numbers the rules of judgement. A record in the ledger raises the rules
// in force, so that builds of different ages judge alike.
type RulesVersion int

// CurrentRulesVersion are the newest rules that this build knows.
const CurrentRulesVersion RulesVersion = 1

// Record is one proposal. Exactly one of the pointers is set.
type Record struct {
	// Rules are the rules that the proposer judged by.
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

// Raise brings newer rules into force.
type Raise struct{ To RulesVersion }

// Adopt takes over a bundle that came into force.
type Adopt struct {
	Version bundle.Version
	Bundle  *bundle.Bundle
}

// Observe records what the platform says of the region's workers.
type Observe struct {
	// Joined are new or changed workers and lost ones that came back.
	Joined []platform.Worker `json:",omitempty"`
	// Lost workers left the platform's list or do not answer.
	Lost []platform.WorkerID `json:",omitempty"`
}

// Submit enters a job.
type Submit struct{ Spec Spec }

// Place gives a waiting job its accelerators and its driver.
type Place struct {
	Job         JobID
	Epoch       platform.Epoch
	Driver      incarnation.ID
	Kind        Kind
	Guarantee   bundle.GuaranteeName `json:",omitempty"`
	Assignments []Assignment
	// Moves are smaller preemptible jobs that a borrowed placement sends elsewhere.
	Moves []JobID `json:",omitempty"`
}

// Commit tells that every lease of a reserved gang is held. No task starts before it.
type Commit struct {
	Job   JobID
	Epoch platform.Epoch
}

// Abort tells that a reserved gang could not get all its leases and gave them back.
type Abort struct {
	Job    JobID
	Epoch  platform.Epoch
	Reason string
	// Away are workers that did not answer.
	Away []platform.WorkerID `json:",omitempty"`
}

// Stopped tells that every part of a gang has stopped or its leases have lapsed.
type Stopped struct {
	Job      JobID
	Epoch    platform.Epoch
	Progress time.Duration
	Reason   string
	// Away are workers that did not answer.
	Away []platform.WorkerID `json:",omitempty"`
}

// Finish tells that a running gang ended by itself. A failed one has given its
// leases back; those of one that succeeded follow.
type Finish struct {
	Job    JobID
	Epoch  platform.Epoch
	Failed bool
	// Final failures are the job's own and not tried again.
	Final   bool              `json:",omitempty"`
	Error   string            `json:",omitempty"`
	Worker  platform.WorkerID `json:",omitempty"`
	RanTime time.Duration
}

// Cancel ends a job at its organisation's wish.
type Cancel struct{ Job JobID }

// Takeover gives a gang a new driver under a higher epoch.
type Takeover struct {
	Job    JobID
	Epoch  platform.Epoch
	Driver incarnation.ID
}

// Yield lets a running preemptible job stop, to be placed anew in a tighter hole.
type Yield struct {
	Job   JobID
	Epoch platform.Epoch
}
