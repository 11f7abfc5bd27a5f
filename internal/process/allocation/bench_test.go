package allocation_test

import (
	"fmt"
	"testing"
	"time"

	"corianderpass/internal/process/allocation"
)

// newBusyFixture returns a fixture in which small runs of low rank fill every worker and urgent
// gangs wait. urgent is the number of these gangs.
func newBusyFixture(t testing.TB, workers, urgent int) *fixture {
	f := newFixture(t, workers, 8)
	for i := range workers / 8 {
		f.submit(fmt.Sprint("batch", i), 2, step(64, 1, 10*time.Second))
	}
	f.decide()
	f.now += time.Second
	for i := range urgent {
		s := step(6, 1+i%8, 2*time.Second)
		s.Gang = true
		s.SameRack = i%2 == 0
		f.submit(fmt.Sprint("urgent", i), 0, s)
	}
	return f
}

// BenchmarkDecideWithEvictions measures one decision that must select victims, because all
// workers are full while urgent gangs wait.
func BenchmarkDecideWithEvictions(b *testing.B) {
	for _, size := range []struct{ workers, gangs int }{{12, 3}, {64, 16}, {256, 64}, {300, 16}} {
		b.Run(fmt.Sprintf("%d workers, %d gangs", size.workers, size.gangs), func(b *testing.B) {
			f := newBusyFixture(b, size.workers, size.gangs)
			b.ReportAllocs()
			for b.Loop() {
				f.history.Update(f.state, f.now, time.UnixMilli(f.now.Milliseconds()))
				d := allocation.Decide(allocation.Input{State: f.state, History: &f.history, Rules: allocation.Rules{FarFactor: 3}, Now: f.now, Bundle: f.bundle, WallTime: time.UnixMilli(f.now.Milliseconds())})
				if len(d.Stops) == 0 {
					b.Fatal("got no stops, want preemptions")
				}
			}
		})
	}
}
