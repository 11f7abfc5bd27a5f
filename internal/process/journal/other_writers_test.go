package journal_test

import (
	"bytes"
	"compress/gzip"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/standin"
)

// compressed returns a compressed text.
func compressed(t *testing.T, text string) string {
	t.Helper()
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return packed.String()
}

// Another writer has left an odd record in the stream. A replica that ends when it reads the record ends again
// after each restart, and one that stops there follows the stream no longer.
func TestOddRecordOfOtherWriterIsSkipped(t *testing.T) {
	for name, record := range map[string]string{
		"nested too deeply":                strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000),
		"nested too deeply in a field":     `{"Writer":"x","Sequence":1,"Records":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + "}",
		"number too large":                 `{"Writer":"x","Sequence":1e300,"Records":["word"]}`,
		"time out of range":                `{"Writer":"x","Sequence":1,"Time":1e300,"Records":["word"]}`,
		"chunk of more than memory":        `{"Writer":"x","Chunk":{"UpTo":1,"Index":0,"Count":4611686018427387904,"Digest":"d","Data":"eA=="}}`,
		"chunk of many":                    `{"Writer":"x","Chunk":{"UpTo":1,"Index":0,"Count":100000000,"Digest":"d","Data":"eA=="}}`,
		"chunk beyond the last":            `{"Writer":"x","Chunk":{"UpTo":18446744073709551615,"Index":7,"Count":7,"Digest":"d","Data":"eA=="}}`,
		"no JSON":                          "\x00\xff",
		"cut off":                          `{"Writer":"x"`,
		"begins like a compressed one":     "\x1f\x8bx",
		"large when decompressed":          compressed(t, strings.Repeat("[", 40<<20)),
		"large envelope when decompressed": compressed(t, `{"Writer":"`+strings.Repeat("x", 40<<20)+`"}`),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testOddRecord(t, record) })
		})
	}
}

func testOddRecord(t *testing.T, record string) {
	log := &standin.Log{}
	a := start(t, log, "a", journal.Options{})
	if err := a.propose(t, "word", time.Second); err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(t.Context(), "words", []byte(record)); err != nil {
		t.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if err := a.propose(t, "word", time.Second); err != nil {
		t.Errorf("propose after the odd record: got error %v, want none", err)
	}
	a.stop()
	restarted := start(t, log, "b", journal.Options{})
	defer restarted.stop()
	time.Sleep(time.Second)
	runtime.ReadMemStats(&after)
	if n := restarted.count("word"); n != 2 {
		t.Errorf("after a restart: got count %d, want 2", n)
	}
	// Two replicas have read the record. An agent has 128 MB for everything.
	const limit = 2 * 64 << 20
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > limit {
		t.Errorf("reading the record twice took %d MB, want at most %d", allocated>>20, limit>>20)
	}
}

// A proposal is larger than any replica reads. It must be refused: once appended, it would be skipped by all,
// and its proposer would never learn its fate.
func TestTooLargeProposalIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := start(t, &standin.Log{}, "a", journal.Options{})
		defer a.stop()
		if err := a.propose(t, strings.Repeat("x", 20<<20), time.Second); !errors.Is(err, journal.ErrNotAppended) {
			t.Errorf("got error %v, want ErrNotAppended", err)
		}
		if err := a.propose(t, "word", time.Second); err != nil {
			t.Errorf("next proposal: got error %v, want none", err)
		}
	})
}
