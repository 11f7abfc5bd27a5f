// Package link carries typed calls between the scheduler's own processes as
// JSON-RPC 2.0 over TCP. It frames, dials and multiplexes; it knows nothing of
// what is called.
package link

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// quiet keeps the library from writing to the process's standard error beside
// the structured log. Its errors reach the callers anyway.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// Method names a call.
type Method string

// ErrNotSent tells that a call never left this process.
var ErrNotSent = errors.New("link: call was not sent")

// Handler answers one call. It runs in its own goroutine; the context ends with
// the connection.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Handlers maps methods to handlers. It must not change once it is served.
type Handlers map[Method]Handler

// Handle makes a handler of a typed function.
func Handle[Q, A any](f func(ctx context.Context, query Q) (A, error)) Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var query Q
		if err := json.Unmarshal(params, &query); err != nil {
			return nil, fmt.Errorf("link: decode parameters: %w", err)
		}
		return f(ctx, query)
	}
}

// Server serves a table on accepted connections.
type Server struct {
	table Handlers

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
	// calls counts calls whose answer is not sent yet.
	calls int
	// idle is closed when calls falls to 0; nil while nobody waits for it.
	idle chan struct{}
}

// NewServer returns a server of the table.
func NewServer(table Handlers) *Server {
	return &Server{table: table, conns: map[*jsonrpc2.Conn]struct{}{}}
}

// Serve accepts connections until the listener is closed or the context ends.
// The channel yields one error when accepting has ended.
func (s *Server) Serve(ctx context.Context, l net.Listener) <-chan error {
	ended := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		s.closeAll()
	})
	go func() {
		defer stop()
		ended <- s.accept(ctx, l)
	}()
	return ended
}

func (s *Server) accept(ctx context.Context, l net.Listener) error {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil && ctx.Err() == nil {
			return fmt.Errorf("link: accept: %w", err)
		}
		if ctx.Err() != nil {
			return closeLate(c)
		}
		s.ServeConn(ctx, c)
	}
}

// closeLate closes a connection that was accepted after the end.
func closeLate(c net.Conn) error {
	if c == nil {
		return nil
	}
	if err := c.Close(); err != nil {
		return fmt.Errorf("link: close late connection: %w", err)
	}
	return nil
}

// greeting is the byte that a server sends once it has taken a connection. A
// connection that waits in the queue of a closed listener never gets it, so that
// the caller knows that nothing was carried out.
const greeting = 'C'

// ServeConn greets and serves one connection; it returns at once.
func (s *Server) ServeConn(ctx context.Context, c net.Conn) {
	go func() {
		if _, err := c.Write([]byte{greeting}); err != nil {
			_ = c.Close()
			return
		}
		s.serveGreeted(ctx, c)
	}()
}

// serveGreeted serves until the connection or the context ends. The handlers'
// context ends after the connection, so that none answers a call that was cut.
func (s *Server) serveGreeted(ctx context.Context, c net.Conn) {
	handling, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	stream := jsonrpc2.NewBufferedStream(c, jsonrpc2.VarintObjectCodec{})
	conn := jsonrpc2.NewConn(handling, stream, jsonrpc2.AsyncHandler(counted{s, jsonrpc2.HandlerWithError(s.answer)}), quiet)
	s.mu.Lock()
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	<-conn.DisconnectNotify()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// counted is a handler whose calls are waited for.
type counted struct {
	server  *Server
	handler jsonrpc2.Handler
}

// Handle implements jsonrpc2.Handler; it returns once the answer is sent.
func (c counted) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	c.server.count(1)
	defer c.server.count(-1)
	c.handler.Handle(ctx, conn, r)
}

func (s *Server) count(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls += change
	if s.calls == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// Drain waits until no call waits for its answer, or the context ends.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	if s.calls == 0 {
		s.mu.Unlock()
		return
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) answer(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	handler, ok := s.table[Method(r.Method)]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "link: no such method: " + r.Method}
	}
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "link: no parameters"}
	}
	return handler(ctx, *r.Params)
}
