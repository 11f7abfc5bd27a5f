package allocation_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderpass/internal/process/allocation"
	"corianderpass/internal/process/workload"
)

// naiveExcess does the same as selectExcess: it adds up the work again for every deadline.
func naiveExcess(demands []allocation.Demand) []int {
	var order, excess []int
	for i := range demands {
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(a, b int) int { return int(demands[a].Deadline - demands[b].Deadline) })
	for n := range order {
		for {
			work, lowest := 0.0, -1
			for _, i := range order[:n+1] {
				if slices.Contains(excess, i) {
					continue
				}
				work += demands[i].Work
				density := func(k int) float64 { return demands[k].Benefit / demands[k].Work }
				if !demands[i].Guaranteed && (lowest < 0 || density(i) < density(lowest) || density(i) == density(lowest) && i > lowest) {
					lowest = i
				}
			}
			if lowest < 0 || work <= allocation.UsableShare*demands[order[n]].Deadline.Seconds() {
				break
			}
			excess = append(excess, lowest)
		}
	}
	return excess
}

// The selection of jobs that are put off under overload must equal a naive one, and what is kept
// must fit before each deadline unless it is guaranteed.
func TestExcessEqualsNaiveSelection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var demands []allocation.Demand
		for range rapid.IntRange(0, 12).Draw(t, "jobs") {
			demands = append(demands, allocation.Demand{
				Deadline:   time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline")) * time.Second,
				Work:       float64(rapid.IntRange(1, 16).Draw(t, "work")) / 4,
				Benefit:    float64(rapid.IntRange(1, 4).Draw(t, "benefit")),
				Guaranteed: rapid.IntRange(0, 4).Draw(t, "guaranteed") == 0,
			})
		}
		got, want := allocation.SelectExcess(demands), naiveExcess(demands)
		slices.Sort(got)
		slices.Sort(want)
		if !slices.Equal(got, want) {
			t.Fatalf("got %v put off of %+v, want %v", got, demands, want)
		}
	})
}

// For six minutes, three times as many jobs arrive as the workers can serve. Jobs must go on
// ending in time. If the oldest went first, all would wait until they are late.
func TestOverloadKeepsSomeJobsInTime(t *testing.T) {
	const jobs, tasks, taskTime, tick = 120, 16, 5 * time.Second, 500 * time.Millisecond
	f := newFixture(t, 1, 8)
	inTime := 0
	submittedAt, startedAt := map[workload.JobID]time.Duration{}, map[workload.TaskRef]time.Duration{}
	f.state.SetObserver(func(e workload.Event) {
		// The objective is 2 x 5s in 8 waves.
		if e.EndedJob != nil && f.now-submittedAt[e.EndedJob.ID] <= 80*time.Second {
			inTime++
		}
	})
	for n := range jobs {
		id := fmt.Sprint("job", n)
		submittedAt[workload.JobID(id)] = f.now
		f.submit(id, 1, step(tasks, 1, taskTime))
		for range 3 * time.Second / tick {
			f.decide()
			f.endWhere(func(r workload.TaskRef, _ *workload.Task) (workload.RunOutcome, bool) {
				if _, known := startedAt[r]; !known {
					startedAt[r] = f.now
				}
				return workload.RunDone, f.now-startedAt[r] >= taskTime
			})
			f.now += tick
		}
	}
	// One accelerator does 72 runs in this time: the worker can end 36 jobs.
	if inTime < 18 {
		t.Errorf("got %d of %d jobs ended in time, want half of the 36 that the worker can serve", inTime, jobs)
	}
}

// Of two jobs of a queue, the older one has the least slack and needs four tasks, the newer one only
// one more. The newer one must go first, since it yields more for the capacity that it needs.
func TestNearlyFinishedJobGoesFirst(t *testing.T) {
	f := newFixture(t, 1, 1)
	f.submit("older", 1, step(4, 1, 5*time.Second))
	f.history.Update(f.state, f.now, time.UnixMilli(f.now.Milliseconds()))
	f.now += 100 * time.Second
	f.submit("newer", 1, step(2, 1, 5*time.Second))
	f.mustApply(workload.Record{Place: &workload.Place{Term: 1, Run: 1, Members: []workload.Member{{Task: workload.TaskRef{Job: "newer"}, Worker: "worker0"}}}})
	f.endWhere(func(workload.TaskRef, *workload.Task) (workload.RunOutcome, bool) { return workload.RunDone, true })
	f.history.Update(f.state, f.now, time.UnixMilli(f.now.Milliseconds()))
	f.now += 50 * time.Second
	f.decide()
	if f.running("newer") != 1 {
		t.Error("the job with one task left does not run, want it to go first")
	}
}

// Urgent jobs of which none can end while it still yields benefit must not keep ordinary jobs
// waiting that can end in time.
func TestMissedUrgentJobsWaitForServableOnes(t *testing.T) {
	f := newFixture(t, 1, 8)
	for n := range 3 {
		f.submit(fmt.Sprint("urgent", n), 0, step(4, 8, 10*time.Second))
	}
	f.history.Update(f.state, f.now, time.UnixMilli(f.now.Milliseconds()))
	// Each job needs the whole worker for 40 s. Its objective is 2 x 10s in 16 waves, so that it
	// yields no benefit after 960 s.
	f.now += 940 * time.Second
	f.submit("ordinary", 1, step(8, 1, time.Second))
	f.decide()
	if f.running("ordinary") != 8 {
		t.Errorf("got %d runs of the job that can be served, want 8", f.running("ordinary"))
	}
}
