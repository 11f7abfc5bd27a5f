package adjacency_test

import (
	"testing"

	"pgregory.net/rapid"

	"corianderpass/internal/process/adjacency"
	"corianderpass/pkg/platform"
)

// runs lists the lengths of all runs, bit by bit.
func runs(s platform.AcceleratorSet) []int {
	var list []int
	length := 0
	for i := range 65 {
		if i < 64 && s&(1<<i) != 0 {
			length++
			continue
		}
		if length > 0 {
			list = append(list, length)
		}
		length = 0
	}
	return list
}

func TestAgainstTheNaiveReading(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := platform.AcceleratorSet(rapid.Uint64().Draw(t, "set")) & platform.AcceleratorSet(rapid.Uint64().Draw(t, "mask"))
		if rapid.Bool().Draw(t, "dense") {
			s = ^s
		}
		n := rapid.IntRange(1, 64).Draw(t, "n")
		list := runs(s)
		longest, fits, tightest := 0, 0, 0
		for _, r := range list {
			longest = max(longest, r)
			fits += r / n
			if r >= n && (tightest == 0 || r < tightest) {
				tightest = r
			}
		}
		if got := adjacency.LongestSpan(s); got != longest {
			t.Fatalf("longest %d, want %d", got, longest)
		}
		if got := adjacency.CountGroups(s, n); got != fits {
			t.Fatalf("fits %d, want %d", got, fits)
		}
		if got := adjacency.IsContiguous(s); got != (len(list) == 1) {
			t.Fatalf("adjacent %t with runs %v", got, list)
		}
		set, length := adjacency.BestFit(s, n)
		if length != tightest {
			t.Fatalf("best run %d, want %d", length, tightest)
		}
		if length > 0 && (set&^s != 0 || set.Count() != n || !adjacency.IsContiguous(set)) {
			t.Fatalf("best set %b of %b for %d", set, s, n)
		}
	})
}
