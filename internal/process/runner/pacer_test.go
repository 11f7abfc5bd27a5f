package runner_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderpass/internal/process/runner"
)

// maxOverTarget is the shortest time that the platform allows fillers to keep a latency-sensitive
// task over its target.
const maxOverTarget = 4 * time.Second

// The latency of a latency-sensitive task grows with the pace of the fillers beside it and
// jumps once with its own load. The fillers must not keep the task over its target for longer
// than the platform allows, nor be slowed down while it has headroom.
func TestPacerBoundsTimeOverTarget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		base := rapid.Float64Range(0.1, 0.75).Draw(rt, "base")
		fillerEffect := rapid.Float64Range(0, 3).Draw(rt, "latency ratio added by fillers at full pace")
		jump := rapid.Float64Range(0, 0.95-base).Draw(rt, "jump of the task's own load")
		jumpAt := time.Duration(rapid.IntRange(0, 60).Draw(rt, "second of the jump")) * time.Second
		const pollInterval = 400 * time.Millisecond
		var p runner.Pacer
		var overTarget, longest time.Duration
		paces := []int{100}
		sum, n := 0, 0
		for now := time.Duration(0); now < 90*time.Second; now += pollInterval {
			ownLatency := base
			if now >= jumpAt {
				ownLatency += jump
			}
			// The latency is measured over half a second: the mean of two polls.
			previous := paces[max(len(paces)-2, 0)]
			worstRatio := ownLatency + fillerEffect*float64(paces[len(paces)-1]+previous)/200
			if worstRatio > 1 {
				overTarget += pollInterval
				longest = max(longest, overTarget)
			} else {
				overTarget = 0
			}
			paces = append(paces, p.Update(now, worstRatio))
			if now > 45*time.Second {
				sum += paces[len(paces)-1]
				n++
			}
		}
		if longest > maxOverTarget {
			rt.Fatalf("the latency-sensitive task was over its target for %v, want at most 4s", longest)
		}
		if mean := sum / n; base+jump+fillerEffect < 0.79 && mean < 95 {
			rt.Fatalf("mean pace %d percent though the latency-sensitive task always has headroom, want at least 95", mean)
		}
	})
}

// The last latency-sensitive task ends while the fillers are slowed down. The fillers must
// return to full pace, or they would stay slow for no reason.
func TestPacerReturnsFullPaceWithoutLatencySensitiveTasks(t *testing.T) {
	var p runner.Pacer
	p.Update(0, 2)
	if got := p.Update(time.Second, 0); got != 100 {
		t.Errorf("got pace %d without latency-sensitive tasks, want 100", got)
	}
}
