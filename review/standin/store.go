package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"corianderpass/platform/standin"
)

// answerTime is how long the store takes for an answer, as on the sheets of the small sites.
const answerTime = 4 * time.Millisecond

// store serves the project's stand-in of the platform's store, and can be silent as the platform's store is in
// an outage: it takes calls, does nothing and sends no answer.
type store struct {
	inner standin.Store

	mu sync.Mutex
	// silent is closed when the outage ends; nil while there is none.
	silent chan struct{}
}

func (s *store) serve() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for the store: %w", err)
	}
	inner := s.inner.Handler()
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.awaitSilence(r)
		time.Sleep(answerTime)
		s.awaitSilence(r)
		inner.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// awaitSilence returns at once unless there is an outage. In an outage it waits until that ends or the caller has
// left, and then ends the connection without an answer. Nothing is done for the call.
func (s *store) awaitSilence(r *http.Request) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent == nil {
		return
	}
	select {
	case <-silent:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// setSilent begins or ends an outage.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case silent && s.silent == nil:
		s.silent = make(chan struct{})
	case !silent && s.silent != nil:
		close(s.silent)
		s.silent = nil
	}
}
