package adjacency_test

import (
	"testing"

	"pgregory.net/rapid"

	"corianderpass/internal/process/adjacency"
	"corianderpass/pkg/platform"
)

// referenceSpans returns the lengths of all spans in the set, found bit by bit.
func referenceSpans(s platform.AcceleratorSet) []int {
	var lengths []int
	length := 0
	for i := range 65 {
		if i < 64 && s&(1<<i) != 0 {
			length++
			continue
		}
		if length > 0 {
			lengths = append(lengths, length)
		}
		length = 0
	}
	return lengths
}

// All functions must agree with the spans that a bit by bit search finds. Shifts by the
// full width of 64 bits are easily wrong, so the sets include empty, full and very dense
// ones.
func TestMatchesBitByBitReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := platform.AcceleratorSet(rapid.Uint64().Draw(t, "set")) & platform.AcceleratorSet(rapid.Uint64().Draw(t, "mask"))
		if rapid.Bool().Draw(t, "dense") {
			s = ^s
		}
		n := rapid.IntRange(1, 64).Draw(t, "n")
		spans := referenceSpans(s)
		longest, groups, shortest := 0, 0, 0
		for _, r := range spans {
			longest = max(longest, r)
			groups += r / n
			if r >= n && (shortest == 0 || r < shortest) {
				shortest = r
			}
		}
		if got := adjacency.LongestSpan(s); got != longest {
			t.Fatalf("LongestSpan: got %d, want %d", got, longest)
		}
		if got := adjacency.CountGroups(s, n); got != groups {
			t.Fatalf("CountGroups: got %d, want %d", got, groups)
		}
		if got := adjacency.IsContiguous(s); got != (len(spans) == 1) {
			t.Fatalf("IsContiguous: got %t for spans of lengths %v, want true only for one span", got, spans)
		}
		set, length := adjacency.BestFit(s, n)
		if length != shortest {
			t.Fatalf("BestFit: got span of %d, want %d", length, shortest)
		}
		if length > 0 && (set&^s != 0 || set.Count() != n || !adjacency.IsContiguous(set)) {
			t.Fatalf("BestFit: got set %b of %b, want %d adjacent accelerators", set, s, n)
		}
	})
}
