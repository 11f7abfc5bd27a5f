// Package logsink writes log lines without ever holding up who logs them: lines
// that find the queue full are dropped and counted.
package logsink

import (
	"io"
	"sync"
	"sync/atomic"
)

// queueLength bounds the lines that wait; at some 300 bytes a line it is about 600 KB.
const queueLength = 2048

// Sink is an io.Writer. Use New; it is safe for concurrent use.
type Sink struct {
	lines   chan []byte
	dropped atomic.Uint64
	// closing is closed by the first Close, ended once nothing is written any more.
	closing chan struct{}
	once    sync.Once
	ended   chan struct{}
}

// New returns a sink whose lines go to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, queueLength), closing: make(chan struct{}), ended: make(chan struct{})}
	go s.write(out)
	return s
}

func (s *Sink) write(out io.Writer) {
	defer close(s.ended)
	for {
		select {
		case line := <-s.lines:
			// Nobody is left to tell when the output fails.
			_, _ = out.Write(line)
		case <-s.closing:
			s.drain(out)
			return
		}
	}
}

// drain writes what waits already.
func (s *Sink) drain(out io.Writer) {
	for range queueLength {
		select {
		case line := <-s.lines:
			_, _ = out.Write(line)
		default:
			return
		}
	}
}

// Write queues a line. It never fails; a line that comes after Close is dropped.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case <-s.closing:
		s.dropped.Add(1)
		return len(line), nil
	default:
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close writes what waits. Lines that come meanwhile may be lost without being counted.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.closing) })
	<-s.ended
}
