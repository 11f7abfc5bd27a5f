package allocation_test

import (
	"fmt"
	"testing"
	"time"

	"corianderpass/internal/process/workload"
)

// learnTail records 100 runs that were estimated at 2 s. Three of them took seven times as long.
func (f *fixture) learnTail() {
	for i := range 100 {
		duration := 2 * time.Second
		if i%40 == 0 {
			duration *= 7
		}
		j := &workload.Job{JobSpec: workload.JobSpec{
			ID: workload.JobID(fmt.Sprint("ended", i)), Queue: "queue2", Steps: []workload.StepSpec{{Tasks: 1, Estimate: 2 * time.Second}},
		}}
		f.history.RecordSuccess(j, j.Ref(0, 0, 0), duration)
	}
}

// 3 of 100 tasks take seven times as long. A run that has lasted longer than the others of its
// queue is one of these: it must not seem to end immediately, since units would wait for it again
// and again. After a change of the leader there is no history, and the remaining time must be the
// expected duration less the elapsed time.
func TestRunInTailIsExpectedToLast(t *testing.T) {
	for _, c := range []struct {
		learned              bool
		elapsed, least, most time.Duration
	}{
		{true, 0, 1800 * time.Millisecond, 3 * time.Second},
		{true, time.Second, 800 * time.Millisecond, 2 * time.Second},
		{true, 4 * time.Second, 8 * time.Second, 12 * time.Second},
		{true, 10 * time.Second, 2 * time.Second, 6 * time.Second},
		{true, time.Minute, 50 * time.Second, time.Minute},
		{false, 0, 2 * time.Second, 2 * time.Second},
		{false, time.Second, time.Second, time.Second},
		{false, 4 * time.Second, 0, 0},
	} {
		f := newFixture(t, 2, 8)
		f.decide()
		if c.learned {
			f.learnTail()
		}
		f.submit("job", 2, step(1, 8, 2*time.Second))
		f.decide()
		f.decide()
		j := f.state.Job("job")
		if remaining := f.history.Remaining(j, j.Ref(0, 0, 0), f.now+c.elapsed); remaining < c.least || remaining > c.most {
			t.Errorf("%+v: got a remaining time of %v", c, remaining)
		}
	}
}

// An urgent unit must not wait for runs in the tail that seem to be about to end. Without a
// learned tail it waits, since stopping runs that end soon loses their work for nothing.
func TestUrgentUnitDoesNotWaitForRunInTail(t *testing.T) {
	for _, learned := range []bool{false, true} {
		f := newFixture(t, 4, 8)
		f.decide()
		if learned {
			f.learnTail()
		}
		f.submit("batch", 2, step(4, 8, 2*time.Second))
		f.decide()
		f.decide()
		f.now += 4 * time.Second
		f.submit("urgent", 0, step(1, 8, 4*time.Second))
		if stops := len(f.decide().Stops); (stops > 0) != learned {
			t.Errorf("learned tail %v: got %d stops of runs that have taken twice as long as expected", learned, stops)
		}
	}
}
