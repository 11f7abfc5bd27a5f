package allocation_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"corianderpass/internal/process/workload"
)

// service returns a step of long-running tasks that each take half a worker.
func service(tasks, mayMiss int) workload.StepSpec {
	s := step(tasks, 4, 0)
	s.LongRunning, s.MayMiss = true, mayMiss
	return s
}

// disturb changes what is known about some workers: they do not answer, are suspected, drain, or have left.
func (f *fixture) disturb(random *rand.Rand) {
	for life, w := range f.state.Workers() {
		if w.Gone || random.IntN(4) > 0 {
			continue
		}
		switch random.IntN(5) {
		case 0:
			f.mustApply(workload.Record{Report: &workload.Report{Life: life, Unresponsive: !w.Unresponsive}})
		case 1:
			_ = f.apply(workload.Record{Suspect: &workload.Suspect{Term: 1, Life: life}})
		case 2:
			_ = f.apply(workload.Record{Resume: &workload.Resume{Life: life}})
		case 3:
			f.mustApply(workload.Record{Report: &workload.Report{Life: life, Draining: true, Remaining: time.Hour}})
		case 4:
			f.mustApply(workload.Record{Depart: &workload.Depart{Life: life}})
		}
	}
}

// away returns the tasks of the service that have no run that is known to be at work, by the time of their
// starts in startedAt.
func (f *fixture) away(startedAt map[workload.TaskRef]time.Duration) map[workload.TaskRef]bool {
	away := map[workload.TaskRef]bool{}
	for k, t := range f.state.Job("service").Occurrences[0].Steps[0].Tasks {
		r := workload.TaskRef{Job: "service", Index: k}
		w := f.state.Worker(t.Worker)
		if t.Phase != workload.PhaseRunning || w.Suspected || w.Unresponsive || w.Draining || f.now-startedAt[r] < 3*time.Second {
			away[r] = true
		}
	}
	return away
}

// Tasks of a service are away because their workers are lost, silent, suspected or about to leave, and
// urgent jobs need room. Decisions must not stop so many others that more are away than the service may miss.
func TestStopsRespectWhatIsAwayAlready(t *testing.T) {
	stops := 0
	for seed := range uint64(800) {
		random := rand.New(rand.NewPCG(seed, 5))
		f := newFixture(t, 8, 8)
		mayMiss := 1 + random.IntN(3)
		f.submit("service", 1, service(12, mayMiss))
		startedAt := map[workload.TaskRef]time.Duration{}
		for round := range 12 {
			away := f.away(startedAt)
			before, stopped := len(away), 0
			d := f.decide()
			for _, s := range d.Stops {
				if s.Task.Job == "service" && s.Reason == workload.StopPreempted && !away[s.Task] {
					away[s.Task] = true
					stopped++
				}
			}
			for _, p := range d.Places {
				startedAt[p.Members[0].Task] = f.now
			}
			if stopped > 0 && len(away) > mayMiss {
				t.Fatalf("seed %d, round %d: %d tasks were away and %d others were stopped, want at most %d together", seed, round, before, stopped, mayMiss)
			}
			stops += stopped
			f.now += time.Duration(random.IntN(3000)) * time.Millisecond
			f.endStopping()
			if round > 2 {
				f.disturb(random)
				f.submit(fmt.Sprint("urgent", round), 0, step(1+random.IntN(3), 4+4*random.IntN(2), time.Second))
			}
		}
	}
	if stops < 100 {
		t.Errorf("got %d stops of the service, want 100 at least for the test to mean something", stops)
	}
}

// A stop has been proposed, and its result is not known yet. It may take effect, so that the tasks that it stops
// count as away for the next decision.
func TestUndecidedStopCountsAsAway(t *testing.T) {
	for _, undecided := range []bool{false, true} {
		f := newFixture(t, 4, 8)
		f.submit("service", 1, service(8, 1))
		f.decide()
		f.history.Update(f.state, f.now, time.UnixMilli(f.now.Milliseconds()))
		f.now += 10 * time.Second
		if undecided {
			f.undecidedStops = []workload.TaskRef{{Job: "service", Index: 3}}
		}
		f.submit("urgent", 0, step(1, 4, time.Second))
		f.submit("other", 0, step(1, 4, time.Second))
		want := 1
		if undecided {
			want = 0
		}
		if d := f.decide(); len(d.Stops) != want {
			t.Errorf("with an undecided stop (%v): got %d stops, want %d", undecided, len(d.Stops), want)
		}
	}
}
