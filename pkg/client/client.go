// Package client is the Go client of corianderpass for callers and operators. A
// failed call returns an *Error that tells whether the work ran and when to come
// back; see AsError.
package client

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// maxAnswer bounds the bytes read of one answer.
const maxAnswer = 64 << 20

// Client calls one entry, or a balancer before several. It is safe for
// concurrent use. A Client without token or operator can only see health.
type Client struct {
	base string
	http *http.Client
	// Token authenticates a caller's organisation.
	Token string
	// Operator and Key authenticate an operator who reads.
	Operator string
	Key      ed25519.PrivateKey
}

// New returns a client of the entry at the address, an IP address and port.
func New(address string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 128,
	}
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request is a call of a service.
type Request struct {
	Service string
	// ID is the caller's own; with it a request that is not repeatable may be
	// sent again, to any entry, and still runs at most once.
	ID string
	// Repeatable requests may run more than once.
	Repeatable bool
	Body       []byte
}

// Answer is a minion's answer.
type Answer struct {
	Status int
	Body   []byte
}

// Do sends a request and returns the minion's whole answer.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	request, err := c.build(ctx, http.MethodPost, "/v1/requests/"+url.PathEscape(r.Service), r.Body)
	if err != nil {
		return Answer{}, err
	}
	if r.ID != "" {
		request.Header.Set(HeaderRequestID, r.ID)
	}
	request.Header.Set(HeaderRepeatable, strconv.FormatBool(r.Repeatable))
	response, body, err := c.send(request)
	if err != nil {
		return Answer{}, err
	}
	if response.Header.Get(HeaderError) != "" || response.Header.Get(HeaderFate) != string(FateRan) {
		return Answer{}, decodeError(response, body)
	}
	return Answer{Status: response.StatusCode, Body: body}, nil
}

// Submit enters a job. It is safe to repeat.
func (c *Client) Submit(ctx context.Context, j Job) (JobStatus, error) {
	return call[JobStatus](ctx, c, http.MethodPost, "/v1/jobs", j)
}

// Job returns the status of a job.
func (c *Client) Job(ctx context.Context, id string) (JobStatus, error) {
	return call[JobStatus](ctx, c, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil)
}

// Jobs returns the organisation's jobs.
func (c *Client) Jobs(ctx context.Context) ([]JobStatus, error) {
	return call[[]JobStatus](ctx, c, http.MethodGet, "/v1/jobs", nil)
}

// Cancel cancels a job. It is safe to repeat.
func (c *Client) Cancel(ctx context.Context, id string) (JobStatus, error) {
	return call[JobStatus](ctx, c, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil)
}

// DraftBundle proposes a bundle.
func (c *Client) DraftBundle(ctx context.Context, d Draft) (BundleStatus, error) {
	return call[BundleStatus](ctx, c, http.MethodPost, "/v1/bundle/drafts", d)
}

// ApproveBundle approves a draft.
func (c *Client) ApproveBundle(ctx context.Context, a Consent) (BundleStatus, error) {
	return call[BundleStatus](ctx, c, http.MethodPost, "/v1/bundle/approvals", a)
}

// RollBundle brings a draft into force.
func (c *Client) RollBundle(ctx context.Context, r Consent) (BundleStatus, error) {
	return call[BundleStatus](ctx, c, http.MethodPost, "/v1/bundle/rolls", r)
}

// Bundle returns the bundle in force and the drafts. It needs an operator's key.
func (c *Client) Bundle(ctx context.Context) (BundleStatus, error) {
	return call[BundleStatus](ctx, c, http.MethodGet, "/v1/bundle", nil)
}

// Status returns what the entry knows of the whole. It needs an operator's key.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

func (c *Client) build(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("client: build request: %w", err)
	}
	// Without a replayable body the transport never sends a request twice by itself.
	request.GetBody = nil
	if c.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.Token)
	}
	if c.Operator != "" && len(c.Key) == ed25519.PrivateKeySize {
		c.sign(request, method, path)
	}
	return request, nil
}

// ReadMessage is what an operator signs to read a path at a time in Unix milliseconds.
func ReadMessage(method, path, at string) []byte {
	return fmt.Appendf(nil, "corianderpass read\n%s\n%s\n%s\n", method, path, at)
}

func (c *Client) sign(request *http.Request, method, path string) {
	at := strconv.FormatInt(time.Now().UnixMilli(), 10)
	signature := ed25519.Sign(c.Key, ReadMessage(method, path, at))
	request.Header.Set(HeaderOperator, c.Operator)
	request.Header.Set(HeaderOperatorTime, at)
	request.Header.Set(HeaderOperatorSignature, base64.StdEncoding.EncodeToString(signature))
}

// send sends the request. Without an answer the fate is unknown, unless no
// connection could be opened.
func (c *Client) send(request *http.Request) (*http.Response, []byte, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, transportError(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return nil, nil, &Error{Code: CodeUnknownFate, Fate: FateUnknown, Message: "answer was cut: " + err.Error()}
	}
	return response, body, nil
}

func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &Error{Code: CodeNotReady, Fate: FateNotRun, Message: err.Error(), RetryAfter: time.Second}
	}
	return &Error{Code: CodeUnknownFate, Fate: FateUnknown, Message: err.Error()}
}

func call[A any](ctx context.Context, c *Client, method, path string, query any) (A, error) {
	var answer A
	var body []byte
	if query != nil {
		data, err := json.Marshal(query)
		if err != nil {
			return answer, fmt.Errorf("client: encode: %w", err)
		}
		body = data
	}
	request, err := c.build(ctx, method, path, body)
	if err != nil {
		return answer, err
	}
	response, data, err := c.send(request)
	if err != nil {
		return answer, err
	}
	if response.StatusCode/100 != 2 {
		return answer, decodeError(response, data)
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, fmt.Errorf("client: decode answer: %w", err)
	}
	return answer, nil
}

func decodeError(response *http.Response, data []byte) error {
	var e Error
	if err := json.Unmarshal(data, &e); err != nil || e.Code == "" {
		return &Error{Code: CodeInternal, Fate: FateUnknown, Message: fmt.Sprintf("status %d: %s", response.StatusCode, data)}
	}
	return &e
}
