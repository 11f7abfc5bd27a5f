package gate_test

import (
	"testing"

	"pgregory.net/rapid"

	"corianderpass/internal/request/gate"
)

// A lost item is a request that waits until its deadline, and one that is returned twice
// is admitted twice. Pushes, pops and removals in any sequence must do neither, and the
// items of a key must come out in order of arrival.
func TestFairQueueKeepsItemsInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q gate.FairQueue[int, int]
		want := map[int][]int{}
		lastItem := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				key := rapid.IntRange(0, 3).Draw(t, "key")
				lastItem++
				q.Push(key, 1+key, lastItem)
				want[key] = append(want[key], lastItem)
			},
			"pop": func(t *rapid.T) {
				peeked, found := q.Peek()
				item, ok := q.Pop()
				if ok != found || item != peeked {
					t.Fatalf("Peek returned %d, %t, but Pop %d, %t, want the same item", peeked, found, item, ok)
				}
				if !ok {
					return
				}
				for key, items := range want {
					if len(items) > 0 && items[0] == item {
						want[key] = items[1:]
						return
					}
				}
				t.Fatalf("popped item %d, want the first item of some key", item)
			},
			"remove": func(t *rapid.T) {
				key := rapid.IntRange(0, 3).Draw(t, "key")
				if len(want[key]) == 0 {
					if q.Remove(key, 0) {
						t.Fatal("Remove reported an item of a key that has none, want false")
					}
					return
				}
				i := rapid.IntRange(0, len(want[key])-1).Draw(t, "item")
				if !q.Remove(key, want[key][i]) {
					t.Fatal("Remove did not find an item that was pushed, want true")
				}
				want[key] = append(want[key][:i:i], want[key][i+1:]...)
			},
			"": func(t *rapid.T) {
				total := 0
				for key, items := range want {
					total += len(items)
					if q.LenOf(key) != len(items) {
						t.Fatalf("key %d: got %d items, want %d", key, q.LenOf(key), len(items))
					}
				}
				if q.Len() != total {
					t.Fatalf("got %d items, want %d", q.Len(), total)
				}
			},
		})
	})
}

// An organisation with many requests must not delay those of others. While two keys have
// items, each must be served by its weight, however many items the other one has and
// whichever of them had items first.
func TestFairQueueSharesByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q gate.FairQueue[string, int]
		weight := rapid.IntRange(1, 5).Draw(t, "weight")
		for i := range 1000 {
			q.Push("greedy", 1, i)
		}
		for range rapid.IntRange(0, 300).Draw(t, "alone") {
			q.Pop()
		}
		const lateItems = 60
		for i := range lateItems {
			q.Push("late", weight, -1-i)
		}
		served := 0
		for range lateItems {
			if item, _ := q.Pop(); item < 0 {
				served++
			}
		}
		if want := lateItems * weight / (weight + 1); served < want-1 || served > want+1 {
			t.Fatalf("weight %d: served %d of %d pops, want %d ± 1", weight, served, lateItems, want)
		}
	})
}
