// Package remote is a client of the platform's log and workers over HTTP with JSON
// bodies. Each operation is a POST to its Path. Errors of package platform are sent as
// codes, so that callers of the Client see the same error variables as from an
// in-memory implementation. The server side is the stand-in of the platform (package
// standin), which shares the types of the calls.
package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"corianderpass/pkg/platform"
)

// Path is the URL path of one operation of the platform.
type Path string

// The paths of the operations of platform.Log and platform.Workers.
const (
	PathAppend     Path = "/log/append"
	PathRead       Path = "/log/read"
	PathSpan       Path = "/log/span"
	PathList       Path = "/workers/list"
	PathAcquire    Path = "/workers/acquire"
	PathStart      Path = "/workers/start"
	PathRenew      Path = "/workers/renew"
	PathCheckpoint Path = "/workers/checkpoint"
	PathThrottle   Path = "/workers/throttle"
	PathRelease    Path = "/workers/release"
	PathUsage      Path = "/workers/usage"
)

// AppendCall is the body of an append.
type AppendCall struct {
	Stream  platform.Stream
	Payload []byte
}

// ReadCall is the body of a read.
type ReadCall struct {
	Stream platform.Stream
	From   platform.Offset
	// Limit is the maximum number of records.
	Limit int
	// Wait is how long the platform waits for a first record.
	Wait time.Duration
}

// SpanCall asks for the span of the records that a stream still has.
type SpanCall struct{ Stream platform.Stream }

// RegionCall is the body of calls about a region: PathList and PathUsage.
type RegionCall struct{ Region platform.Region }

// WorkerCall is the body of calls to a worker. Which fields are set depends on the path.
type WorkerCall struct {
	Worker platform.WorkerID
	// ID and Epoch name a lease, for all paths but PathAcquire and PathRenew.
	ID    platform.LeaseID `json:",omitempty"`
	Epoch platform.Epoch   `json:",omitempty"`
	// Lease is set for PathAcquire, Task for PathStart, Renewals for PathRenew, and
	// Share for PathThrottle.
	Lease    *platform.Lease    `json:",omitempty"`
	Task     *platform.Task     `json:",omitempty"`
	Renewals []platform.Renewal `json:",omitempty"`
	Share    float64            `json:",omitempty"`
}

// Empty is the answer to calls that return nothing but an error.
type Empty struct{}

// Failure is the body of an answer whose status is not 200. Code is that of CodeOf.
type Failure struct {
	Code    string
	Message string
}

// errorByCode has the errors of package platform that are sent as codes.
var errorByCode = map[string]error{
	"LogDown":    platform.ErrLogDown,
	"AnswerLost": platform.ErrAnswerLost,
	"Trimmed":    platform.ErrTrimmed,
	"Throttled":  platform.ErrThrottled,
	"Fenced":     platform.ErrFenced,
	"Taken":      platform.ErrTaken,
	"NoLease":    platform.ErrNoLease,
	"WorkerAway": platform.ErrWorkerAway,
}

// CodeOf returns the code that is sent for an error, "Other" for an error that is not in
// errorByCode.
func CodeOf(err error) string {
	for code, sentinel := range errorByCode {
		if errors.Is(err, sentinel) {
			return code
		}
	}
	return "Other"
}

// Client calls the platform. It implements platform.Log and platform.Workers. Create it
// with NewClient. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// callTimeout bounds a call, in addition to the time that it waits for records.
const callTimeout = 5 * time.Second

// maxAnswer is the maximum number of bytes read from one answer.
const maxAnswer = 256 << 20

// NewClient returns a client of the platform at the address, an IP address and port.
// It makes no call.
func NewClient(address string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}}
}

func call[A, Q any](ctx context.Context, c *Client, path Path, timeout time.Duration, query Q) (A, error) {
	var answer A
	body, err := json.Marshal(query)
	if err != nil {
		return answer, fmt.Errorf("remote: encode call of %s: %w", path, err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+string(path), bytes.NewReader(body))
	if err != nil {
		return answer, fmt.Errorf("remote: build request for %s: %w", path, err)
	}
	// Without GetBody the transport can't resend a request on its own.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return answer, transportError(path, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return answer, fmt.Errorf("remote: read answer of %s: %w", path, err)
	}
	if response.StatusCode != http.StatusOK {
		return answer, decodeFailure(path, data)
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, fmt.Errorf("remote: decode answer of %s: %w", path, err)
	}
	return answer, nil
}

// transportError returns the error for a call without an answer. It wraps ErrLogDown if
// no connection could be opened, in which case the call was certainly not sent. After any
// other error the call may have taken effect.
func transportError(path Path, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("remote: %s: %w: %w", path, platform.ErrLogDown, err)
	}
	return fmt.Errorf("remote: %s: %w", path, err)
}

func decodeFailure(path Path, data []byte) error {
	var f Failure
	if err := json.Unmarshal(data, &f); err != nil {
		return fmt.Errorf("remote: decode error answer of %s: %w", path, err)
	}
	if sentinel, known := errorByCode[f.Code]; known {
		return fmt.Errorf("remote: %s: %w", path, sentinel)
	}
	return errors.Errorf("remote: %s: %s", path, f.Message)
}

// Append implements platform.Log.
func (c *Client) Append(ctx context.Context, stream platform.Stream, payload []byte) (platform.Offset, error) {
	return call[platform.Offset](ctx, c, PathAppend, callTimeout, AppendCall{Stream: stream, Payload: payload})
}

// Read implements platform.Log.
func (c *Client) Read(ctx context.Context, stream platform.Stream, from platform.Offset, limit int, wait time.Duration) ([]platform.LogRecord, error) {
	return call[[]platform.LogRecord](ctx, c, PathRead, wait+callTimeout, ReadCall{Stream: stream, From: from, Limit: limit, Wait: wait})
}

// Span implements platform.Log.
func (c *Client) Span(ctx context.Context, stream platform.Stream) (platform.Span, error) {
	return call[platform.Span](ctx, c, PathSpan, callTimeout, SpanCall{Stream: stream})
}

// List implements platform.Workers.
func (c *Client) List(ctx context.Context, region platform.Region) ([]platform.Worker, error) {
	return call[[]platform.Worker](ctx, c, PathList, callTimeout, RegionCall{Region: region})
}

// Acquire implements platform.Workers.
func (c *Client) Acquire(ctx context.Context, worker platform.WorkerID, lease platform.Lease) error {
	_, err := call[Empty](ctx, c, PathAcquire, callTimeout, WorkerCall{Worker: worker, Lease: &lease})
	return err
}

// Start implements platform.Workers.
func (c *Client) Start(ctx context.Context, worker platform.WorkerID, lease platform.LeaseID, epoch platform.Epoch, task platform.Task) error {
	_, err := call[Empty](ctx, c, PathStart, callTimeout, WorkerCall{Worker: worker, ID: lease, Epoch: epoch, Task: &task})
	return err
}

// Renew implements platform.Workers.
func (c *Client) Renew(ctx context.Context, worker platform.WorkerID, renewals []platform.Renewal) ([]platform.TaskReport, error) {
	return call[[]platform.TaskReport](ctx, c, PathRenew, callTimeout, WorkerCall{Worker: worker, Renewals: renewals})
}

// Checkpoint implements platform.Workers.
func (c *Client) Checkpoint(ctx context.Context, worker platform.WorkerID, lease platform.LeaseID, epoch platform.Epoch) (time.Duration, error) {
	return call[time.Duration](ctx, c, PathCheckpoint, callTimeout, WorkerCall{Worker: worker, ID: lease, Epoch: epoch})
}

// Throttle implements platform.Workers.
func (c *Client) Throttle(ctx context.Context, worker platform.WorkerID, lease platform.LeaseID, epoch platform.Epoch, share float64) error {
	_, err := call[Empty](ctx, c, PathThrottle, callTimeout, WorkerCall{Worker: worker, ID: lease, Epoch: epoch, Share: share})
	return err
}

// Release implements platform.Workers.
func (c *Client) Release(ctx context.Context, worker platform.WorkerID, lease platform.LeaseID, epoch platform.Epoch) error {
	_, err := call[Empty](ctx, c, PathRelease, callTimeout, WorkerCall{Worker: worker, ID: lease, Epoch: epoch})
	return err
}

// Usage implements platform.Workers.
func (c *Client) Usage(ctx context.Context, region platform.Region) ([]platform.Usage, error) {
	return call[[]platform.Usage](ctx, c, PathUsage, callTimeout, RegionCall{Region: region})
}
