package link_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"corianderpass/internal/connection/link"
)

type message struct{ Text string }

// listen serves the handlers on loopback. It returns the address, the server, and
// the function that shuts it down.
func listen(t testing.TB, handlers link.Handlers) (link.Address, *link.Server, context.CancelFunc) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	server := link.NewServer(handlers)
	served := server.Serve(ctx, l)
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return link.Address(l.Addr().String()), server, cancel
}

// A caller may only repeat a call elsewhere if it was not sent. The error of a handler
// must be a RemoteError, that of a call interrupted by a shutdown must not be
// ErrNotSent, since the call may have run, and that of a call to an address without
// a listener must be ErrNotSent.
func TestCallErrorsReportWhetherSent(t *testing.T) {
	address, _, cancel := listen(t, link.Handlers{
		"echo": link.Handle(func(_ context.Context, m message) (message, error) { return m, nil }),
		"fail": link.Handle(func(context.Context, message) (message, error) { return message{}, errors.New("refused there") }),
		"hang": link.Handle(func(ctx context.Context, m message) (message, error) { <-ctx.Done(); return m, nil }),
	})
	pool := link.NewPool(link.DialTCP)
	defer pool.Close()
	answer, err := link.Call[message](t.Context(), pool, address, "echo", message{"hello"})
	if err != nil || answer.Text != "hello" {
		t.Errorf("echo: got %+v, error %v, want hello", answer, err)
	}
	_, err = link.Call[message](t.Context(), pool, address, "fail", message{})
	var remoteError *link.RemoteError
	if !errors.As(err, &remoteError) || remoteError.Message != "refused there" {
		t.Errorf("%v", err)
	}
	if _, err = link.Call[message](t.Context(), pool, address, "nowhere", message{}); !errors.As(err, &remoteError) {
		t.Errorf("%v", err)
	}
	interrupted := make(chan error, 1)
	go func() {
		_, err := link.Call[message](t.Context(), pool, address, "hang", message{})
		interrupted <- err
	}()
	time.Sleep(50 * time.Millisecond)
	cancel()
	if err := <-interrupted; err == nil || errors.Is(err, link.ErrNotSent) {
		t.Errorf("call interrupted by shutdown: got error %v, want one other than ErrNotSent", err)
	}
	if _, err = link.Call[message](t.Context(), link.NewPool(link.DialTCP), address, "echo", message{}); !errors.Is(err, link.ErrNotSent) {
		t.Errorf("no listener: got error %v, want ErrNotSent", err)
	}
}

// A process that shuts down before the answers to its calls are sent leaves its callers
// without them. Drain must return only when the answer of the slow handler is sent or
// the context ends, whichever is first.
func TestDrainWaitsForAnswers(t *testing.T) {
	finish := make(chan struct{})
	address, server, _ := listen(t, link.Handlers{
		"slow": link.Handle(func(_ context.Context, m message) (message, error) { <-finish; return m, nil }),
	})
	pool := link.NewPool(link.DialTCP)
	defer pool.Close()
	answered := make(chan error, 1)
	go func() {
		_, err := link.Call[message](t.Context(), pool, address, "slow", message{"late"})
		answered <- err
	}()
	time.Sleep(50 * time.Millisecond)
	shortCtx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	server.Drain(shortCtx)
	select {
	case err := <-answered:
		t.Fatalf("call returned before its handler did: error %v", err)
	default:
	}
	close(finish)
	server.Drain(t.Context())
	if err := <-answered; err != nil {
		t.Error(err)
	}
}

// A process ends while a connection waits in its accept queue. Without the greeting
// the caller couldn't tell whether its call was run. It must get ErrNotSent.
func TestCallInAcceptQueueIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// The kernel completes the connection, but no server accepts it.
	time.AfterFunc(50*time.Millisecond, func() { _ = l.Close() })
	pool := link.NewPool(link.DialTCP)
	defer pool.Close()
	if _, err := link.Call[message](t.Context(), pool, link.Address(l.Addr().String()), "echo", message{}); !errors.Is(err, link.ErrNotSent) {
		t.Errorf("connection not accepted: got error %v, want ErrNotSent", err)
	}
}

// A handler that returns because its context ended must not send an answer: the
// caller would take an interrupted call for a completed one.
func TestHandlerStoppedByShutdownSendsNoAnswer(t *testing.T) {
	started := make(chan struct{})
	address, _, cancel := listen(t, link.Handlers{
		"hang": link.Handle(func(ctx context.Context, m message) (message, error) {
			close(started)
			<-ctx.Done()
			return m, nil
		}),
	})
	pool := link.NewPool(link.DialTCP)
	defer pool.Close()
	answered := make(chan error, 1)
	go func() {
		_, err := link.Call[message](t.Context(), pool, address, "hang", message{"cut"})
		answered <- err
	}()
	<-started
	cancel()
	if err := <-answered; err == nil || errors.Is(err, link.ErrNotSent) {
		t.Errorf("call cut by shutdown: got error %v, want one other than ErrNotSent", err)
	}
}
