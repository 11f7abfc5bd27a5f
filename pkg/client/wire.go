package client

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Fate is what is known about whether a request ran or another call took effect.
type Fate string

// The fates.
const (
	// FateNotRun means that the request did not run and never will. It can be sent again.
	FateNotRun Fate = "NotRun"
	// FateRan means that the request ran.
	FateRan Fate = "Ran"
	// FateUnknown means that the request may have run or may still run.
	FateUnknown Fate = "Unknown"
)

// The HTTP headers of the API.
const (
	// HeaderRequestID holds Request.ID. It is missing if there is none.
	HeaderRequestID = "Request-Id"
	// HeaderRepeatable is "true" if the request may run more than once, otherwise "false" or
	// missing.
	HeaderRepeatable = "Repeatable"
	// HeaderFate holds the Fate of a request in its answer.
	HeaderFate = "Corianderpass-Fate"
	// HeaderError holds the Code if the body of an answer is an Error. A minion's answer does
	// not have it.
	HeaderError = "Corianderpass-Error"
	// HeaderOperator, HeaderOperatorTime and HeaderOperatorSignature authenticate an operator:
	// the name, the time in decimal Unix milliseconds and the signature of ReadMessage in
	// standard base64.
	HeaderOperator          = "Operator"
	HeaderOperatorTime      = "Operator-Time"
	HeaderOperatorSignature = "Operator-Signature"
)

// Code is the kind of an Error.
type Code string

// The codes.
const (
	// CodeInvalid means that the call breaks a rule; Error.Message states which.
	CodeInvalid Code = "Invalid"
	// CodeUnauthorised means that the token, operator or signature is not accepted.
	CodeUnauthorised Code = "Unauthorised"
	// CodeNotFound means that the path, service, job or draft does not exist.
	CodeNotFound Code = "NotFound"
	// CodeConflict means that the call contradicts what is recorded, such as another job under
	// the same ID.
	CodeConflict Code = "Conflict"
	// CodeRaced means that the draft's base is no longer the bundle in force, because another
	// draft was rolled.
	CodeRaced Code = "Raced"
	// CodeNeverFits means that the region could not run the job even if it were empty, because
	// of its workers or the organisation's quota.
	CodeNeverFits Code = "NeverFits"
	// CodeOverloaded means that too many requests or jobs are waiting.
	CodeOverloaded Code = "Overloaded"
	// CodeNoMinion means that no minion serves the service at present.
	CodeNoMinion Code = "NoMinion"
	// CodeLogDown means that the platform's log accepts no records at present.
	CodeLogDown Code = "LogDown"
	// CodeNotReady means that the entry, or every entry of the organisation's home region, cannot
	// serve the call yet, or that no connection to an entry could be opened.
	CodeNotReady Code = "NotReady"
	// CodeLeaving means that the entry is shutting down.
	CodeLeaving Code = "Leaving"
	// CodeUnknownFate means that the call may have taken effect.
	CodeUnknownFate Code = "UnknownFate"
	// CodeDeadline means that the request was not answered before its deadline, or was
	// refused because it would have waited past it.
	CodeDeadline Code = "Deadline"
	// CodeTooLarge means that the request's body is too large.
	CodeTooLarge Code = "TooLarge"
	// CodeAnswerTooLong means that the request ran, but its answer exceeds the limit.
	CodeAnswerTooLong Code = "AnswerTooLong"
	// CodeInternal means that an unexpected error occurred.
	CodeInternal Code = "Internal"
)

// Error is the error of a call. Entries send it as the JSON body of every answer that is not a
// success; the client returns it for transport errors too.
type Error struct {
	Code Code
	Fate Fate
	// Message describes the error for people. Programs should use Code and Fate.
	Message string
	// RetryAfter is how long to wait before a retry. It is 0 if a retry does not help. In JSON
	// it is in nanoseconds.
	RetryAfter time.Duration
}

// Error implements error. The text contains the code, the fate and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("client: %s (%s): %s", e.Code, e.Fate, e.Message)
}

// AsError returns the first *Error in the chain of err, or nil if there is none.
func AsError(err error) *Error {
	var clientErr *Error
	if errors.As(err, &clientErr) {
		return clientErr
	}
	return nil
}

// Job describes a job: one gang of equal tasks that run at the same time.
type Job struct {
	// ID is chosen by the caller and unique within the organisation. Submitting the same job
	// again under its ID has no further effect.
	ID string
	// Class is "Urgent" or "Batch". Empty means "Batch".
	Class string `json:",omitempty"`
	// Tasks is the number of tasks. They are all placed at once or not at all.
	Tasks int
	// Accelerators is the number of adjacent accelerators per task.
	Accelerators int
	// Cores is the number of processor cores per task.
	Cores uint32 `json:",omitempty"`
	// Memory is the memory per task in units of 2^20 bytes.
	Memory uint64 `json:",omitempty"`
	// RunTime is the estimated run time, in nanoseconds in JSON.
	RunTime time.Duration `json:",omitempty"`
	// RunOnce means that the job must not start a second time.
	RunOnce bool `json:",omitempty"`
	// Preemptible allows the job to be stopped to free its accelerators for other jobs, and to
	// use accelerators of guarantees while these are not in use. nil means true, or false if
	// RunOnce is set.
	Preemptible *bool `json:",omitempty"`
	// Command is passed to the workers unchanged.
	Command string `json:",omitempty"`
}

// JobStatus is the state of a job.
type JobStatus struct {
	// ID and Class are those of the Job.
	ID string
	// Region is the home region of the organisation, where the job is placed.
	Region string
	Class  string
	// Phase is "Waiting", "Reserved", "Running", "Stopping" or "Ended".
	Phase string
	// Outcome is "Succeeded", "Failed", "Cancelled" or "DeadLettered". It is empty until the job
	// has ended.
	Outcome string `json:",omitempty"`
	// Error is why an ended job failed.
	Error string `json:",omitempty"`
	// Kind is the kind of the placement: "Guaranteed", "Firm" or "Borrowed". It is empty if the
	// job holds no accelerators.
	Kind string `json:",omitempty"`
	// Epoch is 0 at first. It rises by 1 with every placement and whenever another entry takes
	// the job over.
	Epoch uint64
	// Tasks has one element for each task. It is empty if the job holds no accelerators.
	Tasks     []TaskPlace `json:",omitempty"`
	Submitted time.Time
	// Started is when the tasks were last allowed to start. It is zero before the first start.
	Started time.Time
	// Ended is zero until the job has ended.
	Ended time.Time
	// Progress is the run time that the last checkpoint covers, in nanoseconds in JSON.
	Progress time.Duration
	// Preemptions counts how often the job was preempted or moved.
	Preemptions int `json:",omitempty"`
	// Cancelled is true once a cancellation was recorded before the job had ended.
	Cancelled bool `json:",omitempty"`
}

// IsEnded reports whether the job has ended. Its outcome is final then.
func (s JobStatus) IsEnded() bool { return s.Phase == "Ended" }

// TaskPlace is the placement of one task.
type TaskPlace struct {
	// Worker is the worker's ID.
	Worker string
	// Accelerators is a set of accelerators of the worker: bit i is set if the task has the
	// accelerator with index i.
	Accelerators uint64
}

// Draft proposes a bundle. Its digest is the SHA-256, in hexadecimal, of Base in decimal, a
// newline and Document.
type Draft struct {
	// Author is the name of the operator who signed the draft.
	Author string
	// Base is the version of the bundle in force that the draft replaces; 0 for the first
	// bundle.
	Base uint64
	// Document is the bundle in TOML.
	Document string
	// Signature is the author's Ed25519 signature of the action and the digest.
	Signature []byte
}

// Consent is an operator's signed approval or roll of a draft.
type Consent struct {
	// Operator is the name of the operator who signed.
	Operator string
	// Digest is the digest of the draft.
	Digest string
	// Signature is the operator's Ed25519 signature of the action and the digest.
	Signature []byte
}

// BundleStatus describes the bundle in force and the open drafts. Before the first bundle, all
// fields but Drafts are zero.
type BundleStatus struct {
	// Version is 1 for the first bundle and rises by 1 with every roll.
	Version uint64
	Digest  string
	// Author and RolledBy are the names of the operators who drafted and rolled the bundle.
	Author   string
	RolledBy string
	// Rolled is when the bundle came into force.
	Rolled time.Time
	// Document is the bundle in TOML.
	Document string
	Drafts   []DraftStatus `json:",omitempty"`
}

// DraftStatus describes an open draft, that is, one that was neither rolled nor dropped.
type DraftStatus struct {
	Digest string
	Author string
	Base   uint64
	// Approvals are the names of the operators who approved the draft.
	Approvals []string `json:",omitempty"`
	Document  string
}

// Process describes a process of the scheduler from its last heartbeat.
type Process struct {
	// ID names one incarnation of the process. A restart changes it.
	ID string
	// Role is "Entry" or "Agent".
	Role string
	// Address is where other processes reach this one.
	Address       string
	Region        string
	FailureDomain string
	// Service is the service that an agent's minion serves.
	Service string `json:",omitempty"`
	// Version is the version of the bundle in force at the process.
	Version uint64
	// Leaving processes accept no new work.
	Leaving bool `json:",omitempty"`
	// Slots is the number of requests that an agent's minion can serve at a time, and Busy the
	// number that it serves now.
	Slots int `json:",omitempty"`
	Busy  int `json:",omitempty"`
}

// Status describes a region and the processes of the scheduler, from the state of one entry.
type Status struct {
	// Entry is the Process.ID of the entry that answered.
	Entry  string
	Region string
	// Version is the version of the bundle in force at the entry.
	Version uint64
	// LedgerVersion is the version of the bundle that the region's ledger uses.
	LedgerVersion uint64
	// LogDown is true if the entry's last append to the platform's log failed.
	LogDown bool
	// Shortfall is the number of guaranteed slots without a place.
	Shortfall int
	// Accelerators is the number of accelerators of the available workers, and Held how many of
	// them are held by jobs.
	Accelerators int
	Held         int
	// WaitingJobs and RunningJobs count the jobs that have not ended: those that hold no
	// accelerators and those that do.
	WaitingJobs int
	RunningJobs int
	// Workers is the number of workers, including those that Away counts.
	Workers int
	// Away is the number of lost and quarantined workers.
	Away int
	// Processes are the entries and agents that are known to be alive.
	Processes []Process
}

// Lagging returns the processes whose bundle is older than the bundle in force at the entry.
func (s Status) Lagging() []Process {
	var lagging []Process
	for _, p := range s.Processes {
		if p.Version < s.Version {
			lagging = append(lagging, p)
		}
	}
	return lagging
}
