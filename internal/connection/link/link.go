// Package link carries typed calls between the scheduler's own processes as
// JSON-RPC 2.0 over TCP. A Server answers calls with a table of handlers; a Pool
// keeps connections to the other processes, and Call sends one call over it.
// Methods, parameters and answers are defined by the packages that call it, such
// as dispatch and relay.
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

// discardLog keeps the JSON-RPC library from writing to standard error beside the
// structured log. Its errors are returned to the callers anyway.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// Method is the name of a call, such as "Dispatch.Run".
type Method string

// ErrNotSent reports that a call was not sent, so that no handler ran.
var ErrNotSent = errors.New("link: call was not sent")

// Handler answers one call from its JSON parameters. It runs in its own goroutine.
// The context ends after the connection is closed.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Handlers maps methods to handlers. It must not change once a Server has it.
type Handlers map[Method]Handler

// Handle returns a handler that decodes the parameters into a Q and calls f.
func Handle[Q, A any](f func(ctx context.Context, query Q) (A, error)) Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var query Q
		if err := json.Unmarshal(params, &query); err != nil {
			return nil, fmt.Errorf("link: decode parameters: %w", err)
		}
		return f(ctx, query)
	}
}

// Server answers calls on accepted connections. Create it with NewServer. It is safe
// for concurrent use.
type Server struct {
	handlers Handlers

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
	// activeCalls is the number of calls whose answer is not sent yet.
	activeCalls int
	// idle is closed when activeCalls becomes 0; nil while no Drain waits for that.
	idle chan struct{}
}

// NewServer returns a server that answers calls with the handlers.
func NewServer(handlers Handlers) *Server {
	return &Server{handlers: handlers, conns: map[*jsonrpc2.Conn]struct{}{}}
}

// Serve accepts connections in the background until the listener is closed or the
// context ends, which closes the listener and all connections. The channel yields
// one value when accepting has ended: nil, or the error that ended it.
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
			return closeAccepted(c)
		}
		s.ServeConn(ctx, c)
	}
}

// closeAccepted closes a connection, if any, that was accepted after the context
// ended.
func closeAccepted(c net.Conn) error {
	if c == nil {
		return nil
	}
	if err := c.Close(); err != nil {
		return fmt.Errorf("link: close connection accepted after shutdown: %w", err)
	}
	return nil
}

// greeting is the byte that a server sends when it has accepted a connection. A
// connection in the accept queue of a closed listener never gets it. The client
// sends no call before it has received the greeting, so that without a greeting it is
// certain that no handler ran.
const greeting = 'C'

// ServeConn sends the greeting on one connection and serves it, both in the
// background.
func (s *Server) ServeConn(ctx context.Context, c net.Conn) {
	go func() {
		if _, err := c.Write([]byte{greeting}); err != nil {
			_ = c.Close()
			return
		}
		s.serveCalls(ctx, c)
	}()
}

// serveCalls serves until the connection or the context ends. The context of the
// handlers ends after the connection is closed, so that a handler that returns
// because its context ended can't send an answer any more.
func (s *Server) serveCalls(ctx context.Context, c net.Conn) {
	handlerCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	stream := jsonrpc2.NewBufferedStream(c, jsonrpc2.VarintObjectCodec{})
	conn := jsonrpc2.NewConn(handlerCtx, stream, jsonrpc2.AsyncHandler(countingHandler{s, jsonrpc2.HandlerWithError(s.answer)}), discardLog)
	s.mu.Lock()
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	<-conn.DisconnectNotify()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// countingHandler counts the calls of a handler as active, so that Drain waits for
// them.
type countingHandler struct {
	server  *Server
	handler jsonrpc2.Handler
}

// Handle implements jsonrpc2.Handler; it returns once the answer is sent.
func (c countingHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	c.server.addActive(1)
	defer c.server.addActive(-1)
	c.handler.Handle(ctx, conn, r)
}

func (s *Server) addActive(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeCalls += delta
	if s.activeCalls == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// Drain waits until the answers to all calls are sent or the context ends. It
// doesn't stop new calls.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	if s.activeCalls == 0 {
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
	handler, ok := s.handlers[Method(r.Method)]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "link: unknown method: " + r.Method}
	}
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "link: parameters are missing"}
	}
	return handler(ctx, *r.Params)
}
