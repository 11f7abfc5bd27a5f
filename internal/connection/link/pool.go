package link

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"corianderpass/internal/process/incarnation"
)

// dialTimeout bounds the time to open a TCP connection and, separately, the wait for
// the greeting after that.
const dialTimeout = time.Second

// Address is the IP address and port on which a process serves calls.
type Address = incarnation.Address

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address Address) (net.Conn, error)

// DialTCP opens a TCP connection.
func DialTCP(ctx context.Context, address Address) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, fmt.Errorf("link: dial: %w", err)
	}
	return c, nil
}

// Pool keeps one connection to each address that is called and opens it at the
// first call. Create it with NewPool. It is safe for concurrent use.
type Pool struct {
	dial Dialer

	mu    sync.Mutex
	conns map[Address]*jsonrpc2.Conn
}

// NewPool returns a pool that opens connections with the dialer.
func NewPool(dial Dialer) *Pool {
	return &Pool{dial: dial, conns: map[Address]*jsonrpc2.Conn{}}
}

// Close closes all connections. Calls in progress fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.conns {
		_ = c.Close()
		delete(p.conns, a)
	}
}

// conn returns the connection to the address. If there is none, it opens one and waits
// for the greeting.
func (p *Pool) conn(ctx context.Context, address Address) (*jsonrpc2.Conn, error) {
	p.mu.Lock()
	c := p.conns[address]
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if err := awaitGreeting(ctx, raw); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return p.add(address, raw), nil
}

// awaitGreeting waits until the server has accepted the connection.
func awaitGreeting(ctx context.Context, raw net.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	// A deadline in the past ends the read when the context does.
	defer context.AfterFunc(ctx, func() { _ = raw.SetReadDeadline(time.Unix(1, 0)) })()
	var first [1]byte
	if _, err := io.ReadFull(raw, first[:]); err != nil {
		return fmt.Errorf("link: await greeting: %w", err)
	}
	if first[0] != greeting {
		return errors.Errorf("link: unexpected greeting %q", first[0])
	}
	return nil
}

// add adds a connection to the pool and returns it. If another call has added a
// connection to the address meanwhile, add closes raw and returns that one.
func (p *Pool) add(address Address, raw net.Conn) *jsonrpc2.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[address]; c != nil {
		_ = raw.Close()
		return c
	}
	stream := jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{})
	// The connection outlives the call that opened it.
	c := jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(rejectCall), discardLog)
	p.conns[address] = c
	go p.removeWhenClosed(address, c)
	return c
}

func (p *Pool) removeWhenClosed(address Address, c *jsonrpc2.Conn) {
	<-c.DisconnectNotify()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == c {
		delete(p.conns, address)
	}
}

func rejectCall(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "link: the calling side of a connection serves no methods"}
}

// RemoteError is an error that the called process returned. Code is the error code
// of JSON-RPC.
type RemoteError struct {
	Code    int64
	Message string
}

// Error returns the message of the called process.
func (e *RemoteError) Error() string { return e.Message }

// Call calls the method at the address and decodes the answer. An error that wraps
// ErrNotSent means that no handler ran; a *RemoteError is the error that the other
// process answered with; after any other error it is unknown whether a handler ran.
func Call[A, Q any](ctx context.Context, p *Pool, address Address, method Method, query Q) (A, error) {
	var answer A
	c, err := p.conn(ctx, address)
	if err != nil {
		return answer, fmt.Errorf("link: %s: %w: %w", method, ErrNotSent, err)
	}
	err = c.Call(ctx, string(method), query, &answer)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		// The library returns ErrClosed also for calls that were already sent.
		return answer, fmt.Errorf("link: %s: connection ended: %w", method, err)
	}
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return answer, &RemoteError{Code: remote.Code, Message: remote.Message}
	}
	if err != nil {
		return answer, fmt.Errorf("link: %s: %w", method, err)
	}
	return answer, nil
}
