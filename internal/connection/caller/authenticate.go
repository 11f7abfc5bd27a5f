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

// readSkew is how far an operator's clock may be off.
const readSkew = time.Minute

// tokenIndex finds organisations by the digests of their tokens. It is built
// once for each version.
type tokenIndex struct {
	mu      sync.Mutex
	version bundle.Version
	byToken map[string]bundle.Organisation
}

func (t *tokenIndex) find(current *bundle.InForce, token string) (bundle.Organisation, bool) {
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

// organisation returns the organisation whose token the request carries.
func (h *handler) organisation(r *http.Request) (bundle.Organisation, error) {
	current := h.service.InForce()
	if current == nil {
		return bundle.Organisation{}, &client.Error{Code: client.CodeNotReady, Fate: client.FateNotRun, Message: "no bundle is in force here", RetryAfter: time.Second}
	}
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return bundle.Organisation{}, unauthorised("a Bearer token is missing")
	}
	o, known := h.tokens.find(current, token)
	if !known {
		return o, unauthorised("no organisation has this token")
	}
	return o, nil
}

func unauthorised(text string) *client.Error {
	return &client.Error{Code: client.CodeUnauthorised, Fate: client.FateNotRun, Message: text}
}

// checkOperator tells whether an operator signed the request.
func (h *handler) checkOperator(r *http.Request) error {
	name := bundle.OperatorName(r.Header.Get(client.HeaderOperator))
	at := r.Header.Get(client.HeaderOperatorTime)
	o, known := h.operator(name)
	if !known {
		return unauthorised("not signed by an operator")
	}
	sent, err := strconv.ParseInt(at, 10, 64)
	if err != nil || time.Since(time.UnixMilli(sent)).Abs() > readSkew {
		return unauthorised("the operator's time is missing or too far off")
	}
	signature, err := base64.StdEncoding.DecodeString(r.Header.Get(client.HeaderOperatorSignature))
	if err != nil {
		return unauthorised("the operator's signature is no base64")
	}
	key, err := base64.StdEncoding.DecodeString(o.PublicKey)
	if err != nil || !ed25519.Verify(key, client.ReadMessage(r.Method, r.URL.EscapedPath(), at), signature) {
		return unauthorised("the operator's signature does not fit")
	}
	return nil
}

func (h *handler) operator(name bundle.OperatorName) (bundle.Operator, bool) {
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
