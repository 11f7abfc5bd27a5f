// Package logsink writes log lines in the background, so that a call of the logger never
// waits for a slow output. Lines that arrive when the queue is full are dropped and
// counted. Package command puts a Sink between the logger of a process and its standard
// output.
package logsink

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines is the maximum number of queued lines, about 600 KB at 300 bytes a line.
const maxQueuedLines = 2048

// Sink is an io.Writer that queues lines and writes them to another io.Writer in the
// background. Create it with New; it is safe for concurrent use.
type Sink struct {
	lines   chan []byte
	dropped atomic.Uint64
	// closing is closed by the first Close.
	closing   chan struct{}
	closeOnce sync.Once
	// ended is closed when the last line has been written.
	ended chan struct{}
}

// New returns a sink that writes its lines to out until Close. Each line is one call of
// out.Write.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), ended: make(chan struct{})}
	go s.write(out)
	return s
}

func (s *Sink) write(out io.Writer) {
	defer close(s.ended)
	for {
		select {
		case line := <-s.lines:
			// There is no other output to which an error could be reported.
			_, _ = out.Write(line)
		case <-s.closing:
			s.drain(out)
			return
		}
	}
}

// drain writes the queued lines, at most maxQueuedLines, so that it ends even if more
// lines arrive.
func (s *Sink) drain(out io.Writer) {
	for range maxQueuedLines {
		select {
		case line := <-s.lines:
			_, _ = out.Write(line)
		default:
			return
		}
	}
}

// Write queues a copy of the line. It never blocks and never returns an error. A line that
// arrives after Close or when the queue is full is dropped.
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

// Dropped returns the number of lines that were dropped.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Close waits until the queued lines are written and stops the sink. Lines that arrive
// during Close may be lost without being counted. It may be called more than once.
func (s *Sink) Close() {
	s.closeOnce.Do(func() { close(s.closing) })
	<-s.ended
}
