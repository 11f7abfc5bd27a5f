package logsink_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"corianderpass/internal/process/logsink"
)

// The failure: a call that outlives its process's graceful end logs while the sink
// closes (platform/soak, seed 411). That must neither race nor panic.
func TestLinesThatComeWhileTheSinkClosesDoNoHarm(t *testing.T) {
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
		t.Errorf("%d lines were written after the end", after-written)
	}
}

func TestWhatWaitsIsWrittenAtTheEnd(t *testing.T) {
	var out bytes.Buffer
	s := logsink.New(&out)
	for i := range 500 {
		if _, err := fmt.Fprintln(s, i); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	if n := strings.Count(out.String(), "\n"); n != 500 || s.Dropped() != 0 {
		t.Errorf("%d of 500 lines, %d dropped", n, s.Dropped())
	}
	if _, err := fmt.Fprintln(s, "late"); err != nil || s.Dropped() != 1 {
		t.Errorf("a late line: %v, %d dropped", err, s.Dropped())
	}
}
