package logsink_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"corianderpass/internal/process/logsink"
)

// A call that is still running when its process shuts down writes log lines while the sink
// closes (platform/soak, seed 411). These writes must neither race with Close nor panic,
// and nothing may be written after Close has returned.
func TestWriteDuringClose(t *testing.T) {
	var out bytes.Buffer
	s := logsink.New(&out)
	var writers sync.WaitGroup
	for n := range 4 {
		writers.Go(func() {
			for i := range 2000 {
				if _, err := fmt.Fprintf(s, "writer %d line %d\n", n, i); err != nil {
					t.Error(err)
				}
			}
		})
	}
	s.Close()
	s.Close()
	written := strings.Count(out.String(), "\n")
	writers.Wait()
	if after := strings.Count(out.String(), "\n"); after != written {
		t.Errorf("%d lines were written after Close returned, want 0", after-written)
	}
}

// The last lines before a process ends are queued when Close is called. Close must write
// them, and lines that arrive after Close must be dropped and counted.
func TestCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	s := logsink.New(&out)
	for i := range 500 {
		if _, err := fmt.Fprintln(s, i); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	if n := strings.Count(out.String(), "\n"); n != 500 || s.Dropped() != 0 {
		t.Errorf("%d of 500 lines were written and %d dropped, want 500 and 0", n, s.Dropped())
	}
	if _, err := fmt.Fprintln(s, "late"); err != nil || s.Dropped() != 1 {
		t.Errorf("after a Write following Close got error %v and %d dropped lines, want none and 1", err, s.Dropped())
	}
}
