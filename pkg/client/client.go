// Package client is the Go client of corianderpass for callers and operators. It defines the names
// and types of the HTTP API, which entries use too. Callers send requests and jobs with an
// organisation's token. Operators draft, approve and roll bundles with signatures and read the
// status with their key. The command corianderpass uses this package.
//
// The error of a failed call contains an *Error, which reports whether the call took effect and
// when to retry it; see AsError. Only errors from encoding a call or decoding its answer are of
// other types.
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

// maxAnswerBytes is the size of the largest body that is accepted as an answer.
const maxAnswerBytes = 64 << 20

// Client calls one entry, or several through a load balancer. It must be created with New. It is
// safe for concurrent use once its exported fields are set. Most calls need either a token or an
// operator's key.
type Client struct {
	baseURL string
	http    *http.Client
	// Token authenticates the organisation of a caller. It is sent if it is not empty.
	Token string
	// Operator is the operator's name, and Key the key with which the client signs each call.
	// Entries require the signature for Bundle and Status. Calls are not signed while either
	// field is missing.
	Operator string
	Key      ed25519.PrivateKey
}

// New returns a client of the entry at the caller address, an IP address and port.
func New(address string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 128,
	}
	return &Client{baseURL: "http://" + address, http: &http.Client{Transport: transport}}
}

// Close closes idle connections. The client remains usable.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request is a request to a service.
type Request struct {
	Service string
	// ID is chosen by the caller; empty for none. A request with an ID that is not repeatable
	// can be sent again, to any entry, and still runs at most once.
	ID string
	// Repeatable allows the request to run more than once.
	Repeatable bool
	// Body is passed to the minion unchanged.
	Body []byte
}

// Answer is a minion's answer to a request.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	Body   []byte
}

// Do sends a request, waits for the minion's answer and returns it.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	request, err := c.newRequest(ctx, http.MethodPost, "/v1/requests/"+url.PathEscape(r.Service), r.Body)
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

// Submit submits a job and returns its status. Submitting the same job again under its ID has no
// further effect.
func (c *Client) Submit(ctx context.Context, j Job) (JobStatus, error) {
	return call[JobStatus](ctx, c, http.MethodPost, "/v1/jobs", j)
}

// Job returns the status of the organisation's job with the ID.
func (c *Client) Job(ctx context.Context, id string) (JobStatus, error) {
	return call[JobStatus](ctx, c, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil)
}

// Jobs returns the status of all jobs of the organisation.
func (c *Client) Jobs(ctx context.Context) ([]JobStatus, error) {
	return call[[]JobStatus](ctx, c, http.MethodGet, "/v1/jobs", nil)
}

// Cancel requests the cancellation of a job and returns its status, which may not be ended yet.
// Repeating the call has no further effect.
func (c *Client) Cancel(ctx context.Context, id string) (JobStatus, error) {
	return call[JobStatus](ctx, c, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil)
}

// DraftBundle records a draft of a bundle. It returns the bundle in force and the open drafts.
func (c *Client) DraftBundle(ctx context.Context, d Draft) (BundleStatus, error) {
	return call[BundleStatus](ctx, c, http.MethodPost, "/v1/bundle/drafts", d)
}

// ApproveBundle records an operator's approval of an open draft. It returns the bundle in force
// and the open drafts.
func (c *Client) ApproveBundle(ctx context.Context, consent Consent) (BundleStatus, error) {
	return call[BundleStatus](ctx, c, http.MethodPost, "/v1/bundle/approvals", consent)
}

// RollBundle brings an approved draft into force. It returns that bundle and the open drafts.
func (c *Client) RollBundle(ctx context.Context, consent Consent) (BundleStatus, error) {
	return call[BundleStatus](ctx, c, http.MethodPost, "/v1/bundle/rolls", consent)
}

// Bundle returns the bundle in force and the open drafts. It needs Operator and Key.
func (c *Client) Bundle(ctx context.Context) (BundleStatus, error) {
	return call[BundleStatus](ctx, c, http.MethodGet, "/v1/bundle", nil)
}

// Status returns the entry's view of the processes, workers and jobs. It needs Operator and Key.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// newRequest returns an HTTP request with the credentials of the client.
func (c *Client) newRequest(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("client: build request: %w", err)
	}
	// Without GetBody the transport cannot send the body a second time, so it never repeats a
	// request with a body by itself.
	request.GetBody = nil
	if c.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.Token)
	}
	if c.Operator != "" && len(c.Key) == ed25519.PrivateKeySize {
		c.sign(request, method, path)
	}
	return request, nil
}

// ReadMessage returns the message that an operator signs to authenticate a call with the HTTP
// method and the escaped path. timestamp is the time of the call in decimal Unix milliseconds.
func ReadMessage(method, path, timestamp string) []byte {
	return fmt.Appendf(nil, "corianderpass read\n%s\n%s\n%s\n", method, path, timestamp)
}

// sign adds the headers that authenticate the operator.
func (c *Client) sign(request *http.Request, method, path string) {
	timestamp := strconv.FormatInt(time.Now().UnixMilli(), 10)
	signature := ed25519.Sign(c.Key, ReadMessage(method, path, timestamp))
	request.Header.Set(HeaderOperator, c.Operator)
	request.Header.Set(HeaderOperatorTime, timestamp)
	request.Header.Set(HeaderOperatorSignature, base64.StdEncoding.EncodeToString(signature))
}

// send sends the request and returns the response with its whole body. If no connection could be
// opened, the error has FateNotRun. If no complete answer arrived, or one of more than
// maxAnswerBytes, it has FateUnknown.
func (c *Client) send(request *http.Request) (*http.Response, []byte, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, transportError(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, nil, &Error{Code: CodeUnknownFate, Fate: FateUnknown, Message: "the answer is incomplete: " + err.Error()}
	}
	if len(body) > maxAnswerBytes {
		return nil, nil, &Error{Code: CodeAnswerTooLong, Fate: FateUnknown, Message: fmt.Sprintf("the answer has more than %d bytes", maxAnswerBytes)}
	}
	return response, body, nil
}

// transportError returns the *Error for an error of the HTTP transport.
func transportError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return &Error{Code: CodeNotReady, Fate: FateNotRun, Message: err.Error(), RetryAfter: time.Second}
	}
	return &Error{Code: CodeUnknownFate, Fate: FateUnknown, Message: err.Error()}
}

// call sends the request body as JSON, or no body if it is nil, and decodes the JSON answer.
func call[A any](ctx context.Context, c *Client, method, path string, requestBody any) (A, error) {
	var answer A
	var body []byte
	if requestBody != nil {
		data, err := json.Marshal(requestBody)
		if err != nil {
			return answer, fmt.Errorf("client: encode request: %w", err)
		}
		body = data
	}
	request, err := c.newRequest(ctx, method, path, body)
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

// decodeError returns the *Error that the body of the answer contains. If the body contains none,
// it returns one with CodeInternal and FateUnknown.
func decodeError(response *http.Response, data []byte) error {
	var e Error
	if err := json.Unmarshal(data, &e); err != nil || e.Code == "" {
		return &Error{Code: CodeInternal, Fate: FateUnknown, Message: fmt.Sprintf("status %d: %s", response.StatusCode, data)}
	}
	return &e
}
