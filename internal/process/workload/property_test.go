package workload_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

// witness is a naive record of what the workers were told, kept beside the state.
type witness struct {
	t       *rapid.T
	state   *workload.State
	offset  platform.Offset
	leader  incarnation.ID
	term    workload.Term
	numbers map[workload.LifeID]uint64
	// running are the runs that a worker may still run, by task.
	running map[workload.TaskRef]map[workload.LifeID]workload.Run
	done    map[workload.TaskRef]bool
	failed  map[workload.TaskRef]int
	births  int
}

func (w *witness) apply(writer incarnation.ID, r workload.Record) error {
	w.offset++
	return w.state.Apply(journal.Position{Offset: w.offset, Writer: writer, Time: time.UnixMilli(int64(w.offset))}, r)
}

func (w *witness) announce() {
	w.births++
	machine := rapid.IntRange(0, 3).Draw(w.t, "machine")
	life := workload.LifeID(fmt.Sprintf("m%d/%d", machine, w.births))
	rack := platform.RackID(fmt.Sprint("r", machine/2))
	err := w.apply("agent", workload.Record{Announce: &workload.Announce{
		Life: life, Machine: platform.WorkerID(fmt.Sprint("m", machine)), Agent: "agent", Service: "s", Rack: rack,
		Labels: []string{"a", string(rack)}, Room: workload.Resources{Cores: 8000, Memory: 64, Accelerators: 8},
	}})
	if err != nil {
		w.t.Fatal(err)
	}
	// The agent makes sure that an earlier life runs nothing.
	for _, runs := range w.running {
		for other := range runs {
			if o := w.state.Worker(other); o != nil && o.Gone {
				delete(runs, other)
			}
		}
	}
}

func (w *witness) submit(n int) {
	spec := workload.JobSpec{ID: workload.JobID(fmt.Sprint("j", n)), Queue: "q", Organisation: "o", Service: "s", Attempts: rapid.IntRange(1, 3).Draw(w.t, "attempts")}
	steps := rapid.IntRange(1, 3).Draw(w.t, "steps")
	for i := range steps {
		s := workload.StepSpec{
			Tasks: rapid.IntRange(1, 4).Draw(w.t, "tasks"), Gang: rapid.Bool().Draw(w.t, "gang"),
			Need:      workload.Resources{Cores: 1000, Memory: 8, Accelerators: rapid.IntRange(0, 4).Draw(w.t, "accelerators")},
			PerWorker: rapid.IntRange(0, 2).Draw(w.t, "per worker"),
		}
		if i > 0 && rapid.Bool().Draw(w.t, "after") {
			s.After = []int{rapid.IntRange(0, i-1).Draw(w.t, "before")}
		}
		spec.Steps = append(spec.Steps, s)
	}
	if err := w.apply("entry", workload.Record{Submit: &workload.Submit{Spec: spec}}); err != nil && !errors.Is(err, workload.ErrJobExists) {
		w.t.Fatal(err)
	}
}

// pick draws an open job, nil if there is none.
func (w *witness) pick() *workload.Job {
	var ids []workload.JobID
	for i := range 6 {
		id := workload.JobID(fmt.Sprint("j", i))
		if j := w.state.Job(id); j != nil && j.Open() {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	return w.state.Job(rapid.SampledFrom(ids).Draw(w.t, "job"))
}

func (w *witness) lives() []workload.LifeID {
	var lives []workload.LifeID
	for m := range 4 {
		for b := range w.births + 1 {
			if id := workload.LifeID(fmt.Sprintf("m%d/%d", m, b)); w.state.Worker(id) != nil {
				lives = append(lives, id)
			}
		}
	}
	return lives
}

// place proposes a run anywhere, sensible or not, and checks what was let through.
func (w *witness) place() {
	j, lives := w.pick(), w.lives()
	if j == nil || len(lives) == 0 {
		return
	}
	i := rapid.IntRange(0, len(j.Steps)-1).Draw(w.t, "step")
	spec := j.Steps[i]
	indexes := []int{rapid.IntRange(0, spec.Tasks-1).Draw(w.t, "index")}
	if spec.Gang && rapid.IntRange(0, 9).Draw(w.t, "whole") > 0 {
		indexes = nil
		for k := range spec.Tasks {
			indexes = append(indexes, k)
		}
	}
	p := workload.Place{Term: w.term}
	newest := workload.Run(0)
	for _, k := range indexes {
		newest = max(newest, j.Occurrences[0].Steps[i].Tasks[k].Run)
		p.Members = append(p.Members, workload.Member{Task: j.Ref(0, i, k), Worker: rapid.SampledFrom(lives).Draw(w.t, "life")})
	}
	p.Run = newest + workload.Run(rapid.SampledFrom([]int{1, 1, 1, 1, 0, 2}).Draw(w.t, "run"))
	writer := rapid.SampledFrom([]incarnation.ID{w.leader, w.leader, w.leader, "rival"}).Draw(w.t, "writer")
	if w.apply(writer, workload.Record{Place: &p}) != nil {
		return
	}
	if writer != w.leader {
		w.t.Fatalf("%s placed without the lead", writer)
	}
	for _, m := range p.Members {
		w.started(j, spec, m, p.Run)
	}
}

// started checks a run that the state let through.
func (w *witness) started(j *workload.Job, spec workload.StepSpec, m workload.Member, run workload.Run) {
	if len(w.running[m.Task]) > 0 {
		w.t.Fatalf("%s run %d starts beside %v", m.Task, run, w.running[m.Task])
	}
	if w.done[m.Task] {
		w.t.Fatalf("%s starts although it is done", m.Task)
	}
	if w.failed[m.Task] >= j.Attempts {
		w.t.Fatalf("%s starts after %d failures of %d", m.Task, w.failed[m.Task], j.Attempts)
	}
	for _, before := range spec.After {
		for k := range j.Steps[before].Tasks {
			if !w.done[j.Ref(0, before, k)] {
				w.t.Fatalf("%s starts before %s is done", m.Task, j.Ref(0, before, k))
			}
		}
	}
	if worker := w.state.Worker(m.Worker); !worker.Usable() || !worker.Used.FitsIn(worker.Room) {
		w.t.Fatalf("%s starts on %+v", m.Task, worker)
	}
	if w.running[m.Task] == nil {
		w.running[m.Task] = map[workload.LifeID]workload.Run{}
	}
	w.running[m.Task][m.Worker] = run
}

// end lets a worker list the end of a run that it may have.
func (w *witness) end() {
	j := w.pick()
	if j == nil {
		return
	}
	i := rapid.IntRange(0, len(j.Steps)-1).Draw(w.t, "step")
	k := rapid.IntRange(0, j.Steps[i].Tasks-1).Draw(w.t, "index")
	ref := j.Ref(0, i, k)
	for life, run := range w.running[ref] {
		how := rapid.SampledFrom([]workload.RunOutcome{workload.RunDone, workload.RunDone, workload.RunFailed, workload.RunStopped, workload.RunLapsed}).Draw(w.t, "how")
		if j.Steps[i].Gang && how == workload.RunDone {
			// Members of a gang end done together, and only while all are there.
			for m := range j.Steps[i].Tasks {
				if len(w.running[j.Ref(0, i, m)]) == 0 {
					how = workload.RunGangBroken
				}
			}
		}
		w.numbers[life]++
		err := w.apply("agent", workload.Record{Ends: &workload.Ends{Life: life, Ends: []workload.End{{Number: w.numbers[life], Task: ref, Run: run, How: how}}}})
		if err != nil {
			w.t.Fatal(err)
		}
		delete(w.running[ref], life)
		w.count(j, ref, how)
		return
	}
}

func (w *witness) count(j *workload.Job, ref workload.TaskRef, how workload.RunOutcome) {
	gang := j.Steps[ref.Step].Gang
	for k := range j.Steps[ref.Step].Tasks {
		r := j.Ref(0, ref.Step, k)
		if !gang && r != ref {
			continue
		}
		switch how {
		case workload.RunDone:
			w.done[r] = true
		case workload.RunFailed:
			w.failed[r] = j.Failures(r)
		}
	}
	if how == workload.RunFailed && !gang && j.Failures(ref) < 1 {
		w.t.Fatalf("a failure of %s was not counted", ref)
	}
}

func (w *witness) trouble() {
	lives := w.lives()
	if len(lives) == 0 {
		return
	}
	life := rapid.SampledFrom(lives).Draw(w.t, "life")
	switch rapid.IntRange(0, 4).Draw(w.t, "trouble") {
	case 0:
		_ = w.apply("agent", workload.Record{Report: &workload.Report{Life: life, Draining: true}})
	case 1:
		_ = w.apply(w.leader, workload.Record{Suspect: &workload.Suspect{Term: w.term, Life: life}})
	case 2:
		_ = w.apply("agent", workload.Record{Resume: &workload.Resume{Life: life}})
	case 3:
		if w.apply(w.leader, workload.Record{Lapse: &workload.Lapse{Term: w.term, Life: life}}) == nil {
			w.forgetRuns(life)
		}
	case 4:
		if w.apply("agent", workload.Record{Depart: &workload.Depart{Life: life}}) == nil {
			w.forgetRuns(life)
		}
	}
}

// forgetRuns notes that the leases of a life have run out.
func (w *witness) forgetRuns(life workload.LifeID) {
	for _, runs := range w.running {
		delete(runs, life)
	}
}

func (w *witness) lead() {
	w.leader = rapid.SampledFrom([]incarnation.ID{"a", "b"}).Draw(w.t, "leader")
	if err := w.apply(w.leader, workload.Record{Lead: &workload.Lead{Term: w.term + 1}}); err != nil {
		w.t.Fatal(err)
	}
	w.term++
}

// Whatever is proposed in whatever order: no task runs twice, none starts after it
// was done or failed too often, before its time, beyond the room or where it must
// not, and a restored snapshot goes on the same way.
func TestNoRunBreaksAPromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &witness{
			t: t, state: workload.NewState(), numbers: map[workload.LifeID]uint64{},
			running: map[workload.TaskRef]map[workload.LifeID]workload.Run{}, done: map[workload.TaskRef]bool{}, failed: map[workload.TaskRef]int{},
		}
		w.lead()
		w.announce()
		for n := range rapid.IntRange(20, 150).Draw(t, "records") {
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0:
				w.announce()
			case 1:
				w.submit(n % 6)
			case 2:
				w.trouble()
			case 3:
				if j := w.pick(); j != nil && rapid.IntRange(0, 3).Draw(t, "cancel") == 0 {
					_ = w.apply("entry", workload.Record{Cancel: &workload.Cancel{Job: j.ID}})
				}
			case 4:
				w.lead()
			case 5, 6, 7, 8:
				w.place()
			default:
				w.end()
			}
			if err := w.state.Check(); err != nil {
				t.Fatal(err)
			}
			if n%20 == 0 {
				w.restore()
			}
		}
	})
}

// restore goes on with a state from a snapshot, which must equal the other.
func (w *witness) restore() {
	data, err := w.state.MarshalSnapshot()
	if err != nil {
		w.t.Fatal(err)
	}
	next := workload.NewState()
	if err := next.RestoreSnapshot(data); err != nil {
		w.t.Fatal(err)
	}
	again, err := next.MarshalSnapshot()
	if err != nil || string(again) != string(data) {
		w.t.Fatalf("a restored state differs: %v", err)
	}
	w.state = next
}
