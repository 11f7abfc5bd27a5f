package link_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"corianderpass/internal/connection/link"
)

type word struct{ Text string }

// listen serves the table on loopback and returns the address.
func listen(t testing.TB, table link.Handlers) (link.Address, *link.Server, context.CancelFunc) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	server := link.NewServer(table)
	ended := server.Serve(ctx, l)
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return link.Address(l.Addr().String()), server, cancel
}

func TestCallsTellWhatBecameOfThem(t *testing.T) {
	address, _, cancel := listen(t, link.Handlers{
		"echo": link.Handle(func(_ context.Context, w word) (word, error) { return w, nil }),
		"fail": link.Handle(func(context.Context, word) (word, error) { return word{}, errors.New("refused there") }),
		"hang": link.Handle(func(ctx context.Context, w word) (word, error) { <-ctx.Done(); return w, nil }),
	})
	pool := link.NewPool(link.DialTCP)
	defer pool.Close()
	answer, err := link.Call[word](t.Context(), pool, address, "echo", word{"hello"})
	if err != nil || answer.Text != "hello" {
		t.Errorf("%+v, %v", answer, err)
	}
	_, err = link.Call[word](t.Context(), pool, address, "fail", word{})
	var remote *link.RemoteError
	if !errors.As(err, &remote) || remote.Message != "refused there" {
		t.Errorf("%v", err)
	}
	if _, err = link.Call[word](t.Context(), pool, address, "nowhere", word{}); !errors.As(err, &remote) {
		t.Errorf("%v", err)
	}
	hung := make(chan error, 1)
	go func() {
		_, err := link.Call[word](t.Context(), pool, address, "hang", word{})
		hung <- err
	}()
	time.Sleep(50 * time.Millisecond)
	cancel()
	if err := <-hung; err == nil || errors.Is(err, link.ErrNotSent) {
		t.Errorf("a call that was cut: %v", err)
	}
	if _, err = link.Call[word](t.Context(), link.NewPool(link.DialTCP), address, "echo", word{}); !errors.Is(err, link.ErrNotSent) {
		t.Errorf("nobody listens: %v", err)
	}
}

func TestDrainWaitsForAnswers(t *testing.T) {
	release := make(chan struct{})
	address, server, _ := listen(t, link.Handlers{
		"slow": link.Handle(func(_ context.Context, w word) (word, error) { <-release; return w, nil }),
	})
	pool := link.NewPool(link.DialTCP)
	defer pool.Close()
	answered := make(chan error, 1)
	go func() {
		_, err := link.Call[word](t.Context(), pool, address, "slow", word{"late"})
		answered <- err
	}()
	time.Sleep(50 * time.Millisecond)
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	server.Drain(short)
	select {
	case err := <-answered:
		t.Fatalf("answered before its time: %v", err)
	default:
	}
	close(release)
	server.Drain(t.Context())
	if err := <-answered; err != nil {
		t.Error(err)
	}
}

func TestCallIntoQueueOfListenerThatNobodyServesIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// The kernel completes the connection, but no server takes it from the queue.
	time.AfterFunc(50*time.Millisecond, func() { _ = l.Close() })
	pool := link.NewPool(link.DialTCP)
	defer pool.Close()
	if _, err := link.Call[word](t.Context(), pool, link.Address(l.Addr().String()), "echo", word{}); !errors.Is(err, link.ErrNotSent) {
		t.Errorf("nobody serves: %v", err)
	}
}

func TestHandlerThatOutlivesItsConnectionAnswersNothing(t *testing.T) {
	begun := make(chan struct{})
	address, _, cancel := listen(t, link.Handlers{
		"hang": link.Handle(func(ctx context.Context, w word) (word, error) {
			close(begun)
			<-ctx.Done()
			return w, nil
		}),
	})
	pool := link.NewPool(link.DialTCP)
	defer pool.Close()
	answered := make(chan error, 1)
	go func() {
		_, err := link.Call[word](t.Context(), pool, address, "hang", word{"cut"})
		answered <- err
	}()
	<-begun
	cancel()
	if err := <-answered; err == nil || errors.Is(err, link.ErrNotSent) {
		t.Errorf("a call that was cut: %v", err)
	}
}
