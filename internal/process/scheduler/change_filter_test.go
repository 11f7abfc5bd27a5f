package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderpass/internal/process/scheduler"
)

// An item must be due when it is new or has changed, once for each change, and at most once in each
// interval, however it comes and goes. What is not reported any more must not be kept for ever.
func TestChangeFilterBoundsLines(t *testing.T) {
	const interval = 2 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var f scheduler.ChangeFilter
		lastAt, lastValue, last := map[string]time.Duration{}, map[string]bool{}, map[string]bool{}
		// steady has the items that were reported in every round since their last line.
		steady := map[string]bool{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
			reported := map[string]bool{}
			for n := range 4 {
				item := fmt.Sprint("item", n)
				if rapid.IntRange(0, 9).Draw(t, "absent") == 0 {
					steady[item] = false
					continue
				}
				reported[item] = true
				value := rapid.IntRange(0, 9).Draw(t, "value") == 0
				due := f.IsDue(item, value, now, interval)
				switch inInterval := last[item] && now-lastAt[item] < interval; {
				case due && inInterval:
					t.Fatalf("got %s due at %v and %v, want %v between", item, lastAt[item], now, interval)
				case due && steady[item] && value == lastValue[item]:
					t.Fatalf("got %s due again at %v with the value of its line at %v", item, now, lastAt[item])
				case !due && !last[item]:
					t.Fatalf("got %s not due at %v, its first report", item, now)
				case !due && !inInterval && value != lastValue[item]:
					t.Fatalf("got %s not due at %v, %v after its last line with another value", item, now, now-lastAt[item])
				}
				if due {
					last[item], lastAt[item], lastValue[item], steady[item] = true, now, value, true
				}
			}
			f.Prune(now, interval)
			kept := 0
			for item, at := range lastAt {
				if reported[item] || now-at < interval {
					kept++
				}
			}
			if f.Len() > kept {
				t.Fatalf("got %d items kept at %v, want at most %d", f.Len(), now, kept)
			}
		}
	})
}
