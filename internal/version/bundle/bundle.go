// Package bundle holds the rules of sharing: one versioned document that
// operators draft, approve and roll. It reads and checks the document, signs
// and verifies the steps of its life, and folds those steps into the version
// in force.
package bundle

import (
	"time"

	"corianderpass/pkg/platform"
)

// OrganisationName names an organisation.
type OrganisationName string

// OperatorName names an operator.
type OperatorName string

// ServiceName names a service that minions serve.
type ServiceName string

// GuaranteeName names a guaranteed shape within its organisation.
type GuaranteeName string

// Version numbers bundles. The zero value means that none is in force.
type Version uint64

// Bundle is the whole set of rules. A Bundle that came out of Parse satisfies
// Check; it must not be changed, since many goroutines read it.
type Bundle struct {
	// ApprovalsNeeded is how many operators other than the author must approve
	// the next bundle; at least 1.
	ApprovalsNeeded int
	Sharing         Sharing
	Limits          Limits
	// Operators have unique names and keys.
	Operators []Operator
	// Organisations have unique names. Their order is the order in which
	// guarantees are kept when capacity falls short.
	Organisations []Organisation
	// Services have unique names.
	Services []Service
	// Queues have unique names.
	Queues []Queue
}

// Sharing are the rules for jobs.
type Sharing struct {
	// CompletionWeight and FragmentationWeight say what placement weighs; both
	// are at least 0 and not both 0.
	CompletionWeight    float64
	FragmentationWeight float64
	// CheckpointGrace is how long a job that must yield may take to keep its progress.
	CheckpointGrace Duration
	// CheckpointEvery is the time between two checkpoints of a running job: the
	// most work that a lost worker costs.
	CheckpointEvery Duration
	// AgeingTime is the wait after which a job is served before all younger ones of its class.
	AgeingTime Duration
	// DeadLetterAfter is the number of different workers on which a job fails
	// before it is given up.
	DeadLetterAfter int
	// QuarantineAfter is the number of different jobs that fail on a worker
	// before it gets no more.
	QuarantineAfter int
	// QuarantineTime is how long a worker stays in quarantine before one small
	// task is tried on it.
	QuarantineTime Duration
	// JobMemory is how long the outcome of a job is kept.
	JobMemory Duration
}

// Limits are the rules for requests.
type Limits struct {
	// RequestMemory is the window in which a request ID is remembered.
	RequestMemory Duration
	// RequestTime is the longest time a request may take.
	RequestTime Duration
	// RetryShare is the number of retries allowed for each first try, 0 to 1.
	RetryShare float64
	// PaidBytesPerSecond bounds what one entry sends to other regions.
	PaidBytesPerSecond float64
	// WaitingRequests bounds the requests of all organisations that wait in one entry.
	WaitingRequests int
}

// Operator may draft, approve and roll bundles.
type Operator struct {
	Name OperatorName
	// PublicKey is an Ed25519 key in base64.
	PublicKey string
}

// Organisation is a group with a share of the accelerators.
type Organisation struct {
	Name OrganisationName
	// HomeRegion is where its jobs and claimed requests are recorded. It never changes.
	HomeRegion platform.Region
	// Share is its weight against other organisations; at least 1.
	Share int
	// TokenDigests are SHA-256 digests of its callers' tokens, in hexadecimal.
	TokenDigests []string
	// AcceleratorQuota bounds the accelerators that it holds at once; 0 means no bound.
	AcceleratorQuota int
	// WaitingJobs bounds its jobs that have not ended; at least 1.
	WaitingJobs int
	// Guarantees have unique names within the organisation.
	Guarantees []Guarantee
	// GuaranteedAccelerators belong to its jobs of priority 0 at all times, on
	// whichever workers.
	GuaranteedAccelerators int
}

// Guarantee is a shape that its organisation can always reclaim: a number of
// slots, each of adjacent accelerators of one worker.
type Guarantee struct {
	Name   GuaranteeName
	Region platform.Region
	// Tasks is the number of slots; at least 1.
	Tasks int
	// Accelerators, Cores and Memory belong to each slot.
	Accelerators int
	Cores        platform.Cores
	Memory       platform.Megabytes
}

// Service is a kind of request.
type Service struct {
	Name ServiceName
	// AnswerLimit is the longest answer in bytes.
	AnswerLimit int
}

// Duration is a length of time that is written like "1.5s" in files.
type Duration time.Duration

// UnmarshalText reads a duration; it must have a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(value)
	return nil
}

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Organisation returns the organisation of that name.
func (b *Bundle) Organisation(name OrganisationName) (Organisation, bool) {
	for _, o := range b.Organisations {
		if o.Name == name {
			return o, true
		}
	}
	return Organisation{}, false
}

// Service returns the service of that name.
func (b *Bundle) Service(name ServiceName) (Service, bool) {
	for _, s := range b.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Operator returns the operator of that name.
func (b *Bundle) Operator(name OperatorName) (Operator, bool) {
	for _, o := range b.Operators {
		if o.Name == name {
			return o, true
		}
	}
	return Operator{}, false
}

// QuotaBeyondGuarantees returns what the quota leaves for jobs that fill no
// guarantee. It means nothing without a quota.
func (o Organisation) QuotaBeyondGuarantees() int {
	room := o.AcceleratorQuota
	for _, g := range o.Guarantees {
		room -= g.Tasks * g.Accelerators
	}
	return room
}
