package gate_test

import (
	"testing"

	"pgregory.net/rapid"

	"corianderpass/internal/request/gate"
)

// Whatever comes and goes, no item is lost or served twice, and within a key the
// order is that of arrival.
func TestFairQueueKeepsEveryItemInItsKeysOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q gate.FairQueue[int, int]
		naive := map[int][]int{}
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				key := rapid.IntRange(0, 3).Draw(t, "key")
				next++
				q.Push(key, 1+key, next)
				naive[key] = append(naive[key], next)
			},
			"pop": func(t *rapid.T) {
				peeked, there := q.Peek()
				item, ok := q.Pop()
				if ok != there || item != peeked {
					t.Fatalf("peeked %d %t, popped %d %t", peeked, there, item, ok)
				}
				if !ok {
					return
				}
				for key, items := range naive {
					if len(items) > 0 && items[0] == item {
						naive[key] = items[1:]
						return
					}
				}
				t.Fatalf("popped %d, which is first nowhere", item)
			},
			"remove": func(t *rapid.T) {
				key := rapid.IntRange(0, 3).Draw(t, "key")
				if len(naive[key]) == 0 {
					if q.Remove(key, 0) {
						t.Fatal("removed what was not there")
					}
					return
				}
				i := rapid.IntRange(0, len(naive[key])-1).Draw(t, "item")
				if !q.Remove(key, naive[key][i]) {
					t.Fatal("an item was lost")
				}
				naive[key] = append(naive[key][:i:i], naive[key][i+1:]...)
			},
			"": func(t *rapid.T) {
				total := 0
				for key, items := range naive {
					total += len(items)
					if q.LenOf(key) != len(items) {
						t.Fatalf("key %d has %d items, want %d", key, q.LenOf(key), len(items))
					}
				}
				if q.Len() != total {
					t.Fatalf("%d items, want %d", q.Len(), total)
				}
			},
		})
	})
}

// While two keys have items, each is served by its weight, however many items
// the other one has and whenever it came.
func TestFairQueueServesByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q gate.FairQueue[string, int]
		weight := rapid.IntRange(1, 5).Draw(t, "weight")
		for i := range 1000 {
			q.Push("greedy", 1, i)
		}
		for range rapid.IntRange(0, 300).Draw(t, "alone") {
			q.Pop()
		}
		const late = 60
		for i := range late {
			q.Push("late", weight, -1-i)
		}
		served := 0
		for range late {
			if item, _ := q.Pop(); item < 0 {
				served++
			}
		}
		if due := late * weight / (weight + 1); served < due-1 || served > due+1 {
			t.Fatalf("weight %d was served %d of %d, is due %d", weight, served, late, due)
		}
	})
}
