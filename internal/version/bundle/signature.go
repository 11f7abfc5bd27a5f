package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/pkg/errors"
)

// Action is a step in the life of a bundle that an operator signs.
type Action string

// The signed actions.
const (
	ActionDraft   Action = "Draft"
	ActionApprove Action = "Approve"
	ActionRoll    Action = "Roll"
)

// Digest is the SHA-256 of a draft's base version and document, in hexadecimal.
type Digest string

// DigestOf returns the digest of a document that is based on the version.
func DigestOf(base Version, document string) Digest {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d\n%s", base, document))
	return Digest(hex.EncodeToString(sum[:]))
}

// ErrSignature tells that a signature does not fit the operator and the step.
var ErrSignature = errors.New("bundle: wrong signature")

func message(action Action, digest Digest) []byte {
	return fmt.Appendf(nil, "corianderpass bundle\n%s\n%s\n", action, digest)
}

// Sign returns the operator's signature of the action on the draft.
func Sign(key ed25519.PrivateKey, action Action, digest Digest) []byte {
	return ed25519.Sign(key, message(action, digest))
}

// Verify checks the signature of an action by the operator.
func (o Operator) Verify(action Action, digest Digest, signature []byte) error {
	key, err := o.key()
	if err != nil {
		return fmt.Errorf("bundle: key of %s: %w", o.Name, err)
	}
	if !ed25519.Verify(key, message(action, digest), signature) {
		return fmt.Errorf("%w: %s of %s by %s", ErrSignature, action, digest, o.Name)
	}
	return nil
}
