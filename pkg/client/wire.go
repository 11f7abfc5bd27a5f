package client

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Fate tells whether a request ran.
type Fate string

// The fates.
const (
	// FateNotRun requests did not run and never will. They can be sent again.
	FateNotRun Fate = "NotRun"
	// FateRan requests ran.
	FateRan Fate = "Ran"
	// FateUnknown requests may have run.
	FateUnknown Fate = "Unknown"
)

// The headers of the caller's API.
const (
	// HeaderRequestID carries the caller's own request ID.
	HeaderRequestID = "Request-Id"
	// HeaderRepeatable is "true" if the request may run more than once.
	HeaderRepeatable = "Repeatable"
	// HeaderFate carries the fate of an answered request.
	HeaderFate = "Corianderpass-Fate"
	// HeaderError carries the code of an answer that is an *Error, and is missing
	// from a minion's answer.
	HeaderError = "Corianderpass-Error"
	// HeaderOperator, HeaderOperatorTime and HeaderOperatorSignature authenticate
	// an operator who reads.
	HeaderOperator          = "Operator"
	HeaderOperatorTime      = "Operator-Time"
	HeaderOperatorSignature = "Operator-Signature"
)

// Code names a kind of error.
type Code string

// The codes.
const (
	CodeInvalid       Code = "Invalid"
	CodeUnauthorised  Code = "Unauthorised"
	CodeNotFound      Code = "NotFound"
	CodeConflict      Code = "Conflict"
	CodeRaced         Code = "Raced"
	CodeNeverFits     Code = "NeverFits"
	CodeOverloaded    Code = "Overloaded"
	CodeNoMinion      Code = "NoMinion"
	CodeLogDown       Code = "LogDown"
	CodeNotReady      Code = "NotReady"
	CodeLeaving       Code = "Leaving"
	CodeUnknownFate   Code = "UnknownFate"
	CodeDeadline      Code = "Deadline"
	CodeTooLarge      Code = "TooLarge"
	CodeAnswerTooLong Code = "AnswerTooLong"
	CodeInternal      Code = "Internal"
)

// Error is the body of every answer that is not a success.
type Error struct {
	Code    Code
	Fate    Fate
	Message string
	// RetryAfter is when to come back; 0 if coming back does not help.
	RetryAfter time.Duration
}

// Error returns the code, the fate and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("client: %s (%s): %s", e.Code, e.Fate, e.Message)
}

// AsError returns the typed error in a chain of errors, nil if there is none.
func AsError(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return nil
}

// Job asks for a gang of tasks.
type Job struct {
	// ID is the caller's own; submitting the same job twice under one ID is safe.
	ID string
	// Class is "Urgent" or "Batch"; empty means Batch.
	Class string `json:",omitempty"`
	// Tasks run together or not at all.
	Tasks int
	// Accelerators are adjacent, for each task.
	Accelerators int
	Cores        uint32 `json:",omitempty"`
	// Memory is in megabytes.
	Memory uint64 `json:",omitempty"`
	// RunTime is an estimate.
	RunTime time.Duration `json:",omitempty"`
	// RunOnce forbids a second start.
	RunOnce bool `json:",omitempty"`
	// Preemptible says whether the job may yield to guarantees; by default it may
	// unless RunOnce is set.
	Preemptible *bool `json:",omitempty"`
	// Command is handed to the workers.
	Command string `json:",omitempty"`
}

// JobStatus tells where a job stands.
type JobStatus struct {
	ID          string
	Region      string
	Class       string
	Phase       string
	Outcome     string `json:",omitempty"`
	Error       string `json:",omitempty"`
	Kind        string `json:",omitempty"`
	Epoch       uint64
	Tasks       []TaskPlace `json:",omitempty"`
	Submitted   time.Time
	Started     time.Time
	Ended       time.Time
	Progress    time.Duration
	Preemptions int  `json:",omitempty"`
	Cancelled   bool `json:",omitempty"`
}

// IsEnded tells whether the job has its outcome.
func (s JobStatus) IsEnded() bool { return s.Phase == "Ended" }

// TaskPlace is where a task runs.
type TaskPlace struct {
	Worker       string
	Accelerators uint64
}

// Draft proposes a bundle.
type Draft struct {
	Author    string
	Base      uint64
	Document  string
	Signature []byte
}

// Consent approves or rolls a draft.
type Consent struct {
	Operator  string
	Digest    string
	Signature []byte
}

// BundleStatus is the bundle in force and the open drafts.
type BundleStatus struct {
	Version  uint64
	Digest   string
	Author   string
	RolledBy string
	Rolled   time.Time
	Document string
	Drafts   []DraftStatus `json:",omitempty"`
}

// DraftStatus is an open draft.
type DraftStatus struct {
	Digest    string
	Author    string
	Base      uint64
	Approvals []string `json:",omitempty"`
	Document  string
}

// Process is one process of the scheduler as another one knows it.
type Process struct {
	ID            string
	Role          string
	Address       string
	Region        string
	FailureDomain string
	Service       string `json:",omitempty"`
	Version       uint64
	Leaving       bool `json:",omitempty"`
	Slots         int  `json:",omitempty"`
	Busy          int  `json:",omitempty"`
}

// Status is what an entry knows of the whole.
type Status struct {
	Entry   string
	Region  string
	Version uint64
	// LedgerVersion is the bundle that the region's ledger has adopted.
	LedgerVersion uint64
	LogDown       bool
	// Shortfall is the number of guaranteed slots without a place.
	Shortfall    int
	Accelerators int
	Held         int
	WaitingJobs  int
	RunningJobs  int
	Workers      int
	// Away counts lost and quarantined workers.
	Away      int
	Processes []Process
}

// Lagging returns the processes whose bundle is older than the entry's.
func (s Status) Lagging() []Process {
	var lagging []Process
	for _, p := range s.Processes {
		if p.Version < s.Version {
			lagging = append(lagging, p)
		}
	}
	return lagging
}
