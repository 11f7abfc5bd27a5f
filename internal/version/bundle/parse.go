package bundle

import (
	"fmt"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// ErrInvalid means that a document is not a valid bundle; the error text has the place
// and the reason.
var ErrInvalid = errors.New("bundle: invalid document")

// defaultBundle returns the values of the fields that a document leaves out.
func defaultBundle() Bundle {
	return Bundle{
		ApprovalsNeeded: 1,
		Sharing: Sharing{
			CompletionWeight:    1,
			FragmentationWeight: 1,
			CheckpointGrace:     Duration(10 * time.Second),
			CheckpointEvery:     Duration(10 * time.Minute),
			AgeingTime:          Duration(30 * time.Minute),
			DeadLetterAfter:     3,
			QuarantineAfter:     3,
			QuarantineTime:      Duration(10 * time.Minute),
			JobMemory:           Duration(24 * time.Hour),
		},
		Limits: DefaultLimits(),
	}
}

// DefaultLimits returns the limits of a bundle whose document sets none.
func DefaultLimits() Limits {
	return Limits{
		RequestMemory:      Duration(10 * time.Minute),
		RequestTime:        Duration(30 * time.Second),
		RetryShare:         0.1,
		PaidBytesPerSecond: 64 << 10,
		WaitingRequests:    512,
	}
}

const (
	// defaultAnswerLimit is Service.AnswerLimit, in bytes, if a document sets none.
	defaultAnswerLimit = 1 << 20
	// defaultWaitingJobs is Organisation.WaitingJobs if a document sets none.
	defaultWaitingJobs = 1000
)

// Parse returns the bundle of a TOML document. It returns ErrInvalid with the reason for
// an unknown key, a value of the wrong type and a bundle that fails Check.
func Parse(document string) (*Bundle, error) {
	b := defaultBundle()
	meta, err := toml.Decode(document, &b)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%w: unknown key %s", ErrInvalid, joinKeys(unknown))
	}
	b.fillDefaults()
	if err := b.Check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return &b, nil
}

func joinKeys(keys []toml.Key) string {
	names := make([]string, 0, len(keys))
	for _, k := range keys {
		names = append(names, k.String())
	}
	return strings.Join(names, ", ")
}

// fillDefaults sets the defaults in the organisations and services, which defaultBundle
// cannot set.
func (b *Bundle) fillDefaults() {
	for i := range b.Organisations {
		o := &b.Organisations[i]
		if o.Share == 0 {
			o.Share = 1
		}
		if o.WaitingJobs == 0 {
			o.WaitingJobs = defaultWaitingJobs
		}
	}
	for i := range b.Services {
		if b.Services[i].AnswerLimit == 0 {
			b.Services[i].AnswerLimit = defaultAnswerLimit
		}
	}
}
