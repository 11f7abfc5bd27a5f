package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/pkg/errors"
)

// Action is a step that an operator signs.
type Action string

// The signed actions, one for each kind of Record.
const (
	ActionDraft   Action = "Draft"
	ActionApprove Action = "Approve"
	ActionRoll    Action = "Roll"
)

// Digest is the SHA-256 of a draft's base version and document, in hexadecimal.
type Digest string

// DigestOf returns the digest of a draft with the base version and the document.
func DigestOf(base Version, document string) Digest {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d\n%s", base, document))
	return Digest(hex.EncodeToString(sum[:]))
}

// ErrSignature means that a signature does not match the operator, the action or the
// digest.
var ErrSignature = errors.New("bundle: invalid signature")

// signedMessage returns the bytes that an operator signs.
func signedMessage(action Action, digest Digest) []byte {
	return fmt.Appendf(nil, "corianderpass bundle\n%s\n%s\n", action, digest)
}

// Sign returns the signature of the action on the draft with the digest.
func Sign(key ed25519.PrivateKey, action Action, digest Digest) []byte {
	return ed25519.Sign(key, signedMessage(action, digest))
}

// Verify returns ErrSignature unless the operator signed the action on the draft with the
// digest.
func (o Operator) Verify(action Action, digest Digest, signature []byte) error {
	key, err := o.publicKey()
	if err != nil {
		return fmt.Errorf("bundle: public key of %s: %w", o.Name, err)
	}
	if !ed25519.Verify(key, signedMessage(action, digest), signature) {
		return fmt.Errorf("%w: %s of %s by %s", ErrSignature, action, digest, o.Name)
	}
	return nil
}
