package runner_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderpass/internal/process/runner"
)

// harm is the platform's shortest bound on how long fillers may keep a serving task
// over its target.
const harm = 4 * time.Second

// The load: fillers beside a task that serves, whose latency grows with their pace
// and jumps with its own load. Fillers never keep it over its target for long, and
// are not held back where they do no harm.
func TestFillersNeverHarmForLong(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		base := rapid.Float64Range(0.1, 0.75).Draw(rt, "base")
		each := rapid.Float64Range(0, 3).Draw(rt, "disturbance of whole fillers")
		jump := rapid.Float64Range(0, 0.95-base).Draw(rt, "jump of the own load")
		jumpAt := time.Duration(rapid.IntRange(0, 60).Draw(rt, "second of the jump")) * time.Second
		const look = 400 * time.Millisecond
		var p runner.Pacer
		var over, longest time.Duration
		paces := []int{100}
		sum, n := 0, 0
		for now := time.Duration(0); now < 90*time.Second; now += look {
			alone := base
			if now >= jumpAt {
				alone += jump
			}
			// A figure looks back half a second: the mean of two looks.
			back := paces[max(len(paces)-2, 0)]
			worst := alone + each*float64(paces[len(paces)-1]+back)/200
			if worst > 1 {
				over += look
				longest = max(longest, over)
			} else {
				over = 0
			}
			paces = append(paces, p.Judge(now, worst))
			if now > 45*time.Second {
				sum += paces[len(paces)-1]
				n++
			}
		}
		if longest > harm {
			rt.Fatalf("over the target for %v", longest)
		}
		if mean := sum / n; base+jump+each < 0.79 && mean < 95 {
			rt.Fatalf("fillers that harm nobody work at %d percent", mean)
		}
	})
}

func TestFillersBesideNobodyWorkWhole(t *testing.T) {
	var p runner.Pacer
	p.Judge(0, 2)
	if got := p.Judge(time.Second, 0); got != 100 {
		t.Errorf("%d percent", got)
	}
}
