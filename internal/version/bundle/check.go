package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// tokenDigestSize is the length of a decoded token digest in bytes.
const tokenDigestSize = 32

// maxWorkerAccelerators is the maximum number of accelerators of one worker.
const maxWorkerAccelerators = 64

// Check returns an error for the first field that is out of range or contradicts another
// one, with its path in the document.
func (b *Bundle) Check() error {
	checks := []func() error{
		b.CheckOperators,
		b.checkSharing,
		b.checkLimits,
		b.checkOrganisations,
		b.checkServices,
		b.checkQueues,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// CheckOperators returns an error for the first invalid operator, or if ApprovalsNeeded is
// below 1 or not below the number of operators.
func (b *Bundle) CheckOperators() error {
	names := map[OperatorName]bool{}
	keys := map[string]bool{}
	for i, o := range b.Operators {
		if o.Name == "" {
			return errors.Errorf("Operators[%d].Name is empty", i)
		}
		if names[o.Name] {
			return errors.Errorf("Operators[%d].Name %q is not unique", i, o.Name)
		}
		if _, err := o.publicKey(); err != nil {
			return fmt.Errorf("Operators[%d].PublicKey: %w", i, err)
		}
		if keys[o.PublicKey] {
			return errors.Errorf("Operators[%d].PublicKey of %q belongs to another operator", i, o.Name)
		}
		names[o.Name] = true
		keys[o.PublicKey] = true
	}
	if b.ApprovalsNeeded < 1 {
		return errors.Errorf("ApprovalsNeeded is %d, must be at least 1", b.ApprovalsNeeded)
	}
	if len(b.Operators) <= b.ApprovalsNeeded {
		return errors.Errorf("ApprovalsNeeded is %d with %d Operators: no draft could get enough approvals", b.ApprovalsNeeded, len(b.Operators))
	}
	return nil
}

func (o Operator) publicKey() (ed25519.PublicKey, error) {
	key, err := base64.StdEncoding.DecodeString(o.PublicKey)
	if err != nil {
		return nil, err
	}
	if len(key) != ed25519.PublicKeySize {
		return nil, errors.Errorf("has %d bytes, must have %d", len(key), ed25519.PublicKeySize)
	}
	return key, nil
}

func (b *Bundle) checkSharing() error {
	s := b.Sharing
	switch {
	case s.CompletionWeight < 0 || s.FragmentationWeight < 0:
		return errors.New("Sharing: CompletionWeight and FragmentationWeight must not be negative")
	case s.CompletionWeight+s.FragmentationWeight == 0:
		return errors.New("Sharing: CompletionWeight and FragmentationWeight are both 0")
	case s.CheckpointGrace < 0:
		return errors.New("Sharing.CheckpointGrace must not be negative")
	case s.CheckpointEvery <= 0:
		return errors.New("Sharing.CheckpointEvery must be above 0")
	case s.AgeingTime <= 0:
		return errors.New("Sharing.AgeingTime must be above 0")
	case s.DeadLetterAfter < 1:
		return errors.New("Sharing.DeadLetterAfter must be at least 1")
	case s.QuarantineAfter < 1:
		return errors.New("Sharing.QuarantineAfter must be at least 1")
	case s.QuarantineTime <= 0:
		return errors.New("Sharing.QuarantineTime must be above 0")
	case s.JobMemory <= 0:
		return errors.New("Sharing.JobMemory must be above 0")
	}
	return nil
}

func (b *Bundle) checkLimits() error {
	l := b.Limits
	switch {
	case l.RequestTime <= 0:
		return errors.New("Limits.RequestTime must be above 0")
	case l.RequestMemory < l.RequestTime:
		return errors.New("Limits.RequestMemory must not be below RequestTime, or a request ID could be forgotten while the request is running")
	case l.RetryShare < 0 || l.RetryShare > 1:
		return errors.New("Limits.RetryShare must be from 0 to 1")
	case l.PaidBytesPerSecond < 0:
		return errors.New("Limits.PaidBytesPerSecond must not be negative")
	case l.WaitingRequests < 1:
		return errors.New("Limits.WaitingRequests must be at least 1")
	}
	return nil
}

func (b *Bundle) checkOrganisations() error {
	names := map[OrganisationName]bool{}
	digests := map[string]OrganisationName{}
	for i, o := range b.Organisations {
		if names[o.Name] {
			return errors.Errorf("Organisations[%d].Name %q is not unique", i, o.Name)
		}
		names[o.Name] = true
		if err := o.check(); err != nil {
			return fmt.Errorf("Organisations[%d] %q: %w", i, o.Name, err)
		}
		for _, d := range o.TokenDigests {
			if owner, taken := digests[d]; taken {
				return errors.Errorf("Organisations[%d] %q: a token digest also belongs to %q", i, o.Name, owner)
			}
			digests[d] = o.Name
		}
	}
	return nil
}

func (o Organisation) check() error {
	switch {
	case o.Name == "":
		return errors.New("Name is empty")
	case strings.ContainsAny(string(o.Name), "/# "):
		return errors.New("Name must not contain slashes, number signs or spaces, which separate it from IDs")
	case o.HomeRegion == "":
		return errors.New("HomeRegion is empty")
	case o.Share < 1:
		return errors.New("Share must be at least 1")
	case o.AcceleratorQuota < 0:
		return errors.New("AcceleratorQuota must not be negative")
	case o.GuaranteedAccelerators < 0:
		return errors.New("GuaranteedAccelerators must not be negative")
	case o.WaitingJobs < 1:
		return errors.New("WaitingJobs must be at least 1")
	}
	for _, d := range o.TokenDigests {
		if sum, err := hex.DecodeString(d); err != nil || len(sum) != tokenDigestSize {
			return errors.Errorf("TokenDigests: %q is not a SHA-256 digest in hexadecimal", d)
		}
	}
	return o.checkGuarantees()
}

func (o Organisation) checkGuarantees() error {
	names := map[GuaranteeName]bool{}
	guaranteed := 0
	for i, g := range o.Guarantees {
		switch {
		case g.Name == "":
			return errors.Errorf("Guarantees[%d].Name is empty", i)
		case names[g.Name]:
			return errors.Errorf("Guarantees[%d].Name %q is not unique", i, g.Name)
		case g.Region != o.HomeRegion:
			return errors.Errorf("Guarantees[%d].Region is %q, must be HomeRegion %q, where its jobs are recorded", i, g.Region, o.HomeRegion)
		case g.Tasks < 1:
			return errors.Errorf("Guarantees[%d].Tasks must be at least 1", i)
		case g.Accelerators < 1 || g.Accelerators > maxWorkerAccelerators:
			return errors.Errorf("Guarantees[%d].Accelerators must be from 1 to %d", i, maxWorkerAccelerators)
		}
		names[g.Name] = true
		guaranteed += g.Tasks * g.Accelerators
	}
	if o.AcceleratorQuota > 0 && guaranteed > o.AcceleratorQuota {
		return errors.Errorf("Guarantees need %d accelerators, AcceleratorQuota is %d", guaranteed, o.AcceleratorQuota)
	}
	return nil
}

func (b *Bundle) checkQueues() error {
	names := map[QueueName]bool{}
	for i, q := range b.Queues {
		if err := q.check(); err != nil {
			return fmt.Errorf("Queues[%d] %q: %w", i, q.Name, err)
		}
		if names[q.Name] {
			return errors.Errorf("Queues[%d].Name %q is not unique", i, q.Name)
		}
		if _, found := b.Service(q.Service); !found {
			return errors.Errorf("Queues[%d] %q: Service %q is unknown", i, q.Name, q.Service)
		}
		names[q.Name] = true
	}
	return nil
}

func (b *Bundle) checkServices() error {
	names := map[ServiceName]bool{}
	for i, s := range b.Services {
		switch {
		case s.Name == "":
			return errors.Errorf("Services[%d].Name is empty", i)
		case names[s.Name]:
			return errors.Errorf("Services[%d].Name %q is not unique", i, s.Name)
		case s.AnswerLimit < 1:
			return errors.Errorf("Services[%d].AnswerLimit must be at least 1", i)
		}
		names[s.Name] = true
	}
	return nil
}

// CheckSuccessor returns an error if the bundle must not replace the previous one since
// it changes the HomeRegion of an organisation.
func (b *Bundle) CheckSuccessor(previous *Bundle) error {
	for _, o := range b.Organisations {
		old, found := previous.Organisation(o.Name)
		if found && old.HomeRegion != o.HomeRegion {
			return errors.Errorf("bundle: HomeRegion of %q cannot change from %q to %q: a request ID could be claimed in both", o.Name, old.HomeRegion, o.HomeRegion)
		}
	}
	return nil
}
