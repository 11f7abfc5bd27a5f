// Package adjacency finds runs of adjacent accelerators in a worker's set.
package adjacency

import (
	"math/bits"

	"corianderpass/pkg/platform"
)

// First returns the set of the first n accelerators, n from 0 to 64.
func First(n int) platform.AcceleratorSet {
	if n >= 64 {
		return ^platform.AcceleratorSet(0)
	}
	return platform.AcceleratorSet(1)<<n - 1
}

// Span is a maximal run of adjacent accelerators.
type Span struct {
	Start, Length int
}

// Set returns the first n accelerators of the run.
func (r Span) Set(n int) platform.AcceleratorSet { return First(n) << r.Start }

// next returns the lowest run of the set and the set without it.
func next(s platform.AcceleratorSet) (Span, platform.AcceleratorSet) {
	start := bits.TrailingZeros64(uint64(s))
	length := bits.TrailingZeros64(^(uint64(s) >> start))
	return Span{Start: start, Length: length}, s &^ (First(length) << start)
}

// LongestSpan returns the length of the longest run.
func LongestSpan(s platform.AcceleratorSet) int {
	longest := 0
	for s != 0 {
		var r Span
		r, s = next(s)
		longest = max(longest, r.Length)
	}
	return longest
}

// CountGroups returns how many disjoint groups of n adjacent accelerators the set holds.
func CountGroups(s platform.AcceleratorSet, n int) int {
	if n <= 0 {
		return 0
	}
	count := 0
	for s != 0 {
		var r Span
		r, s = next(s)
		count += r.Length / n
	}
	return count
}

// BestFit returns n adjacent accelerators from the shortest run that has them, so
// that long runs stay whole. It returns the length of that run, 0 if there is none.
func BestFit(s platform.AcceleratorSet, n int) (platform.AcceleratorSet, int) {
	if n <= 0 {
		return 0, 0
	}
	best := Span{}
	for s != 0 {
		var r Span
		r, s = next(s)
		if r.Length >= n && (best.Length == 0 || r.Length < best.Length) {
			best = r
		}
	}
	if best.Length == 0 {
		return 0, 0
	}
	return best.Set(n), best.Length
}

// IsContiguous tells whether the set is one run.
func IsContiguous(s platform.AcceleratorSet) bool {
	if s == 0 {
		return false
	}
	_, rest := next(s)
	return rest == 0
}
