// Package remote reaches the platform over HTTP with JSON bodies. The platform's
// errors travel as codes, so that callers see the same sentinel errors as from
// an in-memory implementation.
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

// Path is the path of one operation below the platform's address.
type Path string

// The operations of the platform.
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

// AppendCall asks for one append.
type AppendCall struct {
	Stream  platform.Stream
	Payload []byte
}

// ReadCall asks for records.
type ReadCall struct {
	Stream platform.Stream
	From   platform.Offset
	Limit  int
	Wait   time.Duration
}

// SpanCall asks which records are kept.
type SpanCall struct{ Stream platform.Stream }

// RegionCall asks about a region.
type RegionCall struct{ Region platform.Region }

// WorkerCall asks a worker for one thing; which fields count depends on the path.
type WorkerCall struct {
	Worker   platform.WorkerID
	ID       platform.LeaseID   `json:",omitempty"`
	Epoch    platform.Epoch     `json:",omitempty"`
	Lease    *platform.Lease    `json:",omitempty"`
	Task     *platform.Task     `json:",omitempty"`
	Renewals []platform.Renewal `json:",omitempty"`
	Share    float64            `json:",omitempty"`
}

// Empty is the answer of calls that only succeed or fail.
type Empty struct{}

// Failure is the body of an answer that is not 200.
type Failure struct {
	Code    string
	Message string
}

// errorByCode are the errors that travel as codes.
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

// CodeOf returns the code under which an error travels.
func CodeOf(err error) string {
	for code, sentinel := range errorByCode {
		if errors.Is(err, sentinel) {
			return code
		}
	}
	return "Other"
}

// Client calls the platform. It implements platform.Log and platform.Workers
// and is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// callTimeout is what an answer may take beyond the wait that the call asks for.
const callTimeout = 5 * time.Second

// maxAnswer bounds the bytes read of one answer.
const maxAnswer = 256 << 20

// NewClient returns a client of the platform at the address, an IP address and port.
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
		return answer, fmt.Errorf("remote: encode %s: %w", path, err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+string(path), bytes.NewReader(body))
	if err != nil {
		return answer, fmt.Errorf("remote: build %s: %w", path, err)
	}
	// Without a replayable body the transport never sends a request twice by itself.
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

// transportError says that nothing happened if no connection could be opened.
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
		return fmt.Errorf("remote: %s failed with an unreadable answer: %w", path, err)
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
