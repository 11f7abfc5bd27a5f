package allocation_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
)

// occupyRack fills the three workers of rack0 with tasks that last, of a job of the organisation and priority.
func (f *fixture) occupyRack(organisation bundle.OrganisationName, priority int) {
	f.t.Helper()
	s := lasting(step(3, 8, 0))
	s.Label = "rack0"
	f.submitFor(organisation, "lasting", priority, s)
	f.decide()
	if n := f.running("lasting"); n != 3 {
		f.t.Fatalf("got %d tasks that last, want 3", n)
	}
}

// submitFor does the same as submit, for a job of the organisation.
func (f *fixture) submitFor(organisation bundle.OrganisationName, id workload.JobID, priority int, s workload.StepSpec) {
	f.t.Helper()
	f.mustApply(workload.Record{Submit: &workload.Submit{Spec: workload.JobSpec{
		ID: id, Queue: "queue", Organisation: organisation, Service: "service", Priority: priority, Attempts: 3, Stretch: 2, Steps: []workload.StepSpec{s},
	}}})
}

// nearData returns a step of one task whose data is on rack0, and oneRack a gang that wants one rack. Both take long, so that
// their jobs are late only after a minute.
func nearData() workload.StepSpec {
	s := step(1, 8, time.Minute)
	s.Rack = "rack0"
	return s
}

func oneRack() workload.StepSpec {
	s := step(3, 8, time.Minute)
	s.Gang, s.SameRack = true, true
	return s
}

// The rack of a job's data, or the only rack that is large enough for its gang, is full of tasks that last. The job must
// not wait for it while other racks are idle.
func TestJobDoesNotWaitForRackFullOfTasksThatLast(t *testing.T) {
	for name, s := range map[string]workload.StepSpec{"near data": nearData(), "one rack": oneRack()} {
		f := newFixture(t, 8, 8)
		// The other racks have two workers each, so that only rack0 would take a gang of three.
		f.mustApply(workload.Record{Depart: &workload.Depart{Life: "worker3"}})
		f.occupyRack("org", 1)
		f.submit("job", 1, s)
		if wait := f.untilRunning("job", time.Hour); wait >= idleLimit {
			t.Errorf("%s: the job started after %v, want less than %v", name, wait, idleLimit)
		}
	}
}

// The rack of an urgent job's data is full of tasks that it may not preempt. Within its guarantee it must preempt runs of
// lower priority on other racks instead (review/8).
func TestGuaranteedJobPreemptsOnOtherRacks(t *testing.T) {
	for name, s := range map[string]workload.StepSpec{"near data": nearData(), "one rack": oneRack()} {
		f := newFixture(t, 8, 8)
		// The other racks have two workers each, so that only rack0 would take a gang of three.
		f.mustApply(workload.Record{Depart: &workload.Depart{Life: "worker3"}})
		f.bundle = &bundle.Bundle{Organisations: []bundle.Organisation{
			{Name: "alpha", GuaranteedAccelerators: 24}, {Name: "beta", GuaranteedAccelerators: 24},
		}}
		f.occupyRack("alpha", 0)
		f.submitFor("gamma", "others", 2, lasting(step(4, 8, 0)))
		f.decide()
		f.submitFor("beta", "job", 0, s)
		if d := f.decide(); len(d.Stops) != s.Tasks {
			t.Errorf("%s: got %d stops, want one for each task", name, len(d.Stops))
		}
		f.endStopping()
		if f.decide(); f.running("job") != s.Tasks {
			t.Errorf("%s: got %d runs after the stops, want %d", name, f.running("job"), s.Tasks)
		}
	}
}

// A job may preempt the tasks that last on the rack of its data. It must do so rather than run far from its data.
func TestJobPreemptsOnRackOfItsData(t *testing.T) {
	f := newFixture(t, 6, 8)
	f.bundle = &bundle.Bundle{Organisations: []bundle.Organisation{{Name: "beta", GuaranteedAccelerators: 24}}}
	f.occupyRack("gamma", 2)
	f.submitFor("beta", "job", 0, nearData())
	if d := f.decide(); len(d.Stops) != 1 || len(d.Places) > 0 {
		t.Errorf("got %d stops and %d placements, want one stop", len(d.Stops), len(d.Places))
	}
}

// The rack of a job's data, or each rack that is large enough for its gang, is full of runs that take long. From finishTime
// on, the job must not have nothing running for idleLimit while there is room for it twice over and less than half of the
// capacity is in use.
func TestJobStartsOnIdleRackWhileItsRackIsBusy(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(t, rapid.IntRange(4, 12).Draw(rt, "workers"), 8)
		s := rapid.SampledFrom([]workload.StepSpec{nearData(), oneRack()}).Draw(rt, "step")
		busyRacks := map[string]bool{}
		for _, life := range f.lives() {
			rack := f.state.Worker(life).Labels[1]
			// All workers of the rack of the data are busy, or one of each rack.
			busy := s.Rack != "" && rack == "rack0" || s.SameRack && !busyRacks[rack]
			busyRacks[rack] = true
			if busy || rapid.IntRange(0, 5).Draw(rt, "busy "+string(life)) == 5 {
				run := step(1, 8, rapid.SampledFrom([]time.Duration{time.Second, 10 * time.Second, time.Minute}).Draw(rt, "estimate on "+string(life)))
				run.Label = rack
				f.submit("run on "+string(life), rapid.IntRange(0, 2).Draw(rt, "priority on "+string(life)), run)
			}
		}
		f.decide()
		s.Tasks = rapid.IntRange(1, 3).Draw(rt, "tasks")
		s.Need.Accelerators = rapid.SampledFrom([]int{1, 4, 8}).Draw(rt, "accelerators")
		s.Estimate = rapid.SampledFrom([]time.Duration{time.Second, 10 * time.Second, time.Minute}).Draw(rt, "estimate")
		f.submit("job", rapid.IntRange(0, 2).Draw(rt, "priority"), s)
		submittedAt, idle := f.now, time.Duration(0)
		for range 200 {
			f.decide()
			f.endStopping()
			f.decide()
			if f.running("job") > 0 {
				return
			}
			idle += tick
			if !f.hasRoomTwice("job") || f.now-submittedAt < finishTime {
				idle = 0
			}
			if idle > idleLimit {
				rt.Fatalf("the job had no run for %v, %v after its submission", idle, f.now-submittedAt)
			}
			f.now += tick
		}
	})
}

// The rack of a job's data is full of runs that take long. The job waits for it, since it takes several times as long on
// the other racks. It must not do so for longer than jobs may take to end, unless half of the capacity is in use.
func TestWaitForRackOfDataEnds(t *testing.T) {
	for _, c := range []struct {
		busy        int
		least, most time.Duration
	}{{3, finishTime, finishTime + idleLimit}, {5, 30 * time.Second, 30 * time.Second}} {
		f := newFixture(t, 9, 8)
		for _, life := range f.lives()[:c.busy] {
			f.submit("run on "+string(life), 1, step(1, 8, time.Minute))
			f.decide()
		}
		f.submit("job", 1, nearData())
		if wait := f.untilRunning("job", 30*time.Second); wait < c.least || wait > c.most {
			t.Errorf("%d workers busy: the job started after %v, want between %v and %v", c.busy, wait, c.least, c.most)
		}
	}
}
