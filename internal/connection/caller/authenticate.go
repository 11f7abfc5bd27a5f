package caller

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/client"
)

// maxClockSkew is the maximum difference between the time that an operator signed and
// this process's clock.
const maxClockSkew = time.Minute

// tokenIndex finds organisations by their tokens. It is rebuilt when another version
// of the bundle is in force. It is safe for concurrent use.
type tokenIndex struct {
	mu      sync.Mutex
	version bundle.Version
	// byToken has the organisations by the hexadecimal SHA-256 digest of each token.
	byToken map[string]bundle.Organisation
}

func (t *tokenIndex) lookup(current *bundle.InForce, token string) (bundle.Organisation, bool) {
	sum := sha256.Sum256([]byte(token))
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byToken == nil || t.version != current.Version {
		t.version = current.Version
		t.byToken = indexTokens(current.Bundle)
	}
	o, known := t.byToken[hex.EncodeToString(sum[:])]
	return o, known
}

func indexTokens(b *bundle.Bundle) map[string]bundle.Organisation {
	index := map[string]bundle.Organisation{}
	for _, o := range b.Organisations {
		for _, d := range o.TokenDigests {
			index[strings.ToLower(d)] = o
		}
	}
	return index
}

// organisation returns the organisation whose token the request carries, or the error
// to answer with: CodeNotReady while no bundle is in force, CodeUnauthorised without a
// known token.
func (h *handler) organisation(r *http.Request) (bundle.Organisation, error) {
	current := h.service.InForce()
	if current == nil {
		return bundle.Organisation{}, &client.Error{Code: client.CodeNotReady, Fate: client.FateNotRun, Message: "no bundle is in force at this entry yet", RetryAfter: time.Second}
	}
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return bundle.Organisation{}, unauthorised("the Authorization header has no Bearer token")
	}
	o, known := h.tokens.lookup(current, token)
	if !known {
		return o, unauthorised("the token belongs to no organisation")
	}
	return o, nil
}

func unauthorised(message string) *client.Error {
	return &client.Error{Code: client.CodeUnauthorised, Fate: client.FateNotRun, Message: message}
}

// checkOperator returns an error unless an operator signed the request within
// maxClockSkew of now.
func (h *handler) checkOperator(r *http.Request) error {
	name := bundle.OperatorName(r.Header.Get(client.HeaderOperator))
	timestamp := r.Header.Get(client.HeaderOperatorTime)
	operator, known := h.findOperator(name)
	if !known {
		return unauthorised("the request is not signed by a known operator")
	}
	sent, err := strconv.ParseInt(timestamp, 10, 64)
	if err != nil || time.Since(time.UnixMilli(sent)).Abs() > maxClockSkew {
		return unauthorised("the operator's time is missing, invalid or too far from the time of this entry")
	}
	signature, err := base64.StdEncoding.DecodeString(r.Header.Get(client.HeaderOperatorSignature))
	if err != nil {
		return unauthorised("the operator's signature is not valid base64")
	}
	key, err := base64.StdEncoding.DecodeString(operator.PublicKey)
	if err != nil || !ed25519.Verify(key, client.ReadMessage(r.Method, r.URL.EscapedPath(), timestamp), signature) {
		return unauthorised("the operator's signature does not match the request")
	}
	return nil
}

// findOperator returns the operator of the bundle in force or, before the first bundle,
// of the root operators.
func (h *handler) findOperator(name bundle.OperatorName) (bundle.Operator, bool) {
	if current := h.service.InForce(); current != nil {
		return current.Bundle.Operator(name)
	}
	for _, o := range h.service.RootOperators() {
		if o.Name == name {
			return o, true
		}
	}
	return bundle.Operator{}, false
}
