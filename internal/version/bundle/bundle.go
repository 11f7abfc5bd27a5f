// Package bundle holds the rules by which organisations share the accelerators: a
// versioned document, the bundle, that operators draft, approve and roll. Parse reads
// and checks a document, Sign and Operator.Verify handle the signatures of those steps,
// and Register folds the steps from a stream of package journal into the bundle in
// force. Entries run the Register; package ledger and request handling read the bundle.
package bundle

import (
	"time"

	"corianderpass/pkg/platform"
)

// OrganisationName is the name of an organisation, unique in a bundle.
type OrganisationName string

// OperatorName is the name of an operator, unique in a bundle.
type OperatorName string

// ServiceName is the name of a service that minions serve, unique in a bundle.
type ServiceName string

// GuaranteeName is the name of a guarantee, unique within its organisation.
type GuaranteeName string

// Version is the number of a bundle, from 1 up. The zero value means that no bundle is
// in force.
type Version uint64

// Bundle is the complete set of rules. A Bundle that Parse returned satisfies Check. It
// must not be changed, since many goroutines read it.
type Bundle struct {
	// ApprovalsNeeded is the number of operators other than the author who must approve
	// the next bundle; at least 1.
	ApprovalsNeeded int
	Sharing         Sharing
	Limits          Limits
	// Operators have unique names and public keys.
	Operators []Operator
	// Organisations have unique names. If the capacity is too small for all guarantees,
	// those of earlier organisations take precedence.
	Organisations []Organisation
	// Services have unique names.
	Services []Service
	// Queues have unique names.
	Queues []Queue
}

// Sharing are the rules for jobs.
type Sharing struct {
	// CompletionWeight and FragmentationWeight are the relative weights of early
	// completion and of low fragmentation in placement decisions; both are at least 0
	// and not both 0.
	CompletionWeight    float64
	FragmentationWeight float64
	// CheckpointGrace is how long a preempted job may take to save a checkpoint.
	CheckpointGrace Duration
	// CheckpointEvery is the time between two checkpoints of a running job, and so the
	// most work that is lost with a worker.
	CheckpointEvery Duration
	// AgeingTime is the waiting time after which a job precedes, in the order of the queue,
	// all jobs of its class that were submitted later.
	AgeingTime Duration
	// DeadLetterAfter is the number of different workers on which a job fails before the
	// job is dead-lettered: it ends and is not retried any more.
	DeadLetterAfter int
	// QuarantineAfter is the number of different jobs that fail on a worker before the
	// worker is put into quarantine, in which it gets no new jobs.
	QuarantineAfter int
	// QuarantineTime is how long a worker is in quarantine before it gets one job of a
	// single task as a probe.
	QuarantineTime Duration
	// JobMemory is how long the outcome of a job is kept.
	JobMemory Duration
}

// Limits are the rules for requests.
type Limits struct {
	// RequestMemory is how long the answer to a request with an ID is kept, so that a
	// repeated request is not run again; at least RequestTime.
	RequestMemory Duration
	// RequestTime is the maximum duration of a request.
	RequestTime Duration
	// RetryShare is the number of retries allowed per first attempt, from 0 to 1.
	RetryShare float64
	// PaidBytesPerSecond is the maximum rate in bytes per second at which one entry sends
	// data to other regions, which is paid traffic.
	PaidBytesPerSecond float64
	// WaitingRequests is the maximum number of requests, of all organisations together,
	// that wait in one entry; at least 1.
	WaitingRequests int
}

// Operator may draft, approve and roll bundles.
type Operator struct {
	Name OperatorName
	// PublicKey is an Ed25519 public key in standard base64.
	PublicKey string
}

// Organisation is a group of callers with a share of the accelerators.
type Organisation struct {
	Name OrganisationName
	// HomeRegion is the region whose ledger records its jobs and claimed requests. It
	// never changes.
	HomeRegion platform.Region
	// Share is the organisation's weight relative to other organisations; at least 1.
	Share int
	// TokenDigests are SHA-256 digests of its callers' tokens, in hexadecimal.
	TokenDigests []string
	// AcceleratorQuota is the maximum number of accelerators that its jobs use at the
	// same time; 0 means no limit.
	AcceleratorQuota int
	// WaitingJobs is the maximum number of its jobs that have not ended; at least 1.
	WaitingJobs int
	// Guarantees have unique names within the organisation.
	Guarantees []Guarantee
	// GuaranteedAccelerators is the number of accelerators, on any workers, that its
	// jobs of priority 0 can have at all times.
	GuaranteedAccelerators int
}

// Guarantee is capacity that its organisation can reclaim at any time: a number of
// slots, each of which is a number of adjacent accelerators of one worker.
type Guarantee struct {
	Name   GuaranteeName
	Region platform.Region
	// Tasks is the number of slots; at least 1.
	Tasks int
	// Accelerators, Cores and Memory are the size of each slot.
	Accelerators int
	Cores        platform.Cores
	Memory       platform.Megabytes
}

// Service is a kind of request that minions serve.
type Service struct {
	Name ServiceName
	// AnswerLimit is the maximum size of an answer in bytes; at least 1.
	AnswerLimit int
}

// Duration is a time.Duration that is written like "1.5s" in documents.
type Duration time.Duration

// UnmarshalText parses a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(value)
	return nil
}

// MarshalText formats the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Organisation returns the organisation with the name, and whether there is one.
func (b *Bundle) Organisation(name OrganisationName) (Organisation, bool) {
	for _, o := range b.Organisations {
		if o.Name == name {
			return o, true
		}
	}
	return Organisation{}, false
}

// Service returns the service with the name, and whether there is one.
func (b *Bundle) Service(name ServiceName) (Service, bool) {
	for _, s := range b.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Operator returns the operator with the name, and whether there is one.
func (b *Bundle) Operator(name OperatorName) (Operator, bool) {
	for _, o := range b.Operators {
		if o.Name == name {
			return o, true
		}
	}
	return Operator{}, false
}

// QuotaBeyondGuarantees returns the number of accelerators that AcceleratorQuota leaves
// for jobs outside the guarantees. It is valid only if AcceleratorQuota is not 0.
func (o Organisation) QuotaBeyondGuarantees() int {
	remaining := o.AcceleratorQuota
	for _, g := range o.Guarantees {
		remaining -= g.Tasks * g.Accelerators
	}
	return remaining
}
