// Package adjacency finds spans of adjacent accelerators in the accelerator set of
// one worker. Accelerators are adjacent if their numbers are consecutive. All functions
// are pure. The ledger uses the package to check the accelerators of a task, and
// placement to choose them.
package adjacency

import (
	"math/bits"

	"corianderpass/pkg/platform"
)

// First returns the set of the accelerators with numbers 0 to n-1. n must be at least 0;
// values above 64 count as 64.
func First(n int) platform.AcceleratorSet {
	if n >= 64 {
		return ^platform.AcceleratorSet(0)
	}
	return platform.AcceleratorSet(1)<<n - 1
}

// Span is a maximal sequence of adjacent accelerators: Length accelerators from
// number Start on.
type Span struct {
	Start, Length int
}

// Set returns the first n accelerators of the span.
func (span Span) Set(n int) platform.AcceleratorSet { return First(n) << span.Start }

// lowestSpan returns the lowest span of the set and the set without it. The set must not
// be empty.
func lowestSpan(s platform.AcceleratorSet) (Span, platform.AcceleratorSet) {
	start := bits.TrailingZeros64(uint64(s))
	length := bits.TrailingZeros64(^(uint64(s) >> start))
	return Span{Start: start, Length: length}, s &^ (First(length) << start)
}

// LongestSpan returns the length of the longest span in the set, 0 for an empty set.
func LongestSpan(s platform.AcceleratorSet) int {
	longest := 0
	for s != 0 {
		var span Span
		span, s = lowestSpan(s)
		longest = max(longest, span.Length)
	}
	return longest
}

// CountGroups returns how many disjoint groups of n adjacent accelerators the set
// contains, 0 if n is not positive.
func CountGroups(s platform.AcceleratorSet, n int) int {
	if n <= 0 {
		return 0
	}
	count := 0
	for s != 0 {
		var span Span
		span, s = lowestSpan(s)
		count += span.Length / n
	}
	return count
}

// BestFit returns n adjacent accelerators from the shortest span that has at least
// n, so that long spans stay whole, and the length of that span. It returns an empty
// set and 0 if there is no such span or n is not positive.
func BestFit(s platform.AcceleratorSet, n int) (platform.AcceleratorSet, int) {
	if n <= 0 {
		return 0, 0
	}
	best := Span{}
	for s != 0 {
		var span Span
		span, s = lowestSpan(s)
		if span.Length >= n && (best.Length == 0 || span.Length < best.Length) {
			best = span
		}
	}
	if best.Length == 0 {
		return 0, 0
	}
	return best.Set(n), best.Length
}

// IsContiguous reports whether the set consists of exactly one span.
func IsContiguous(s platform.AcceleratorSet) bool {
	if s == 0 {
		return false
	}
	_, rest := lowestSpan(s)
	return rest == 0
}
