package workload_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
)

// workerModel draws random records, applies them to a State and tracks on its own which
// runs the workers may still execute, so that it can check each accepted placement.
type workerModel struct {
	t          *rapid.T
	state      *workload.State
	offset     platform.Offset
	leader     incarnation.ID
	term       workload.Term
	endNumbers map[workload.LifeID]uint64
	// running maps each task to the lives that may still execute it, with their runs.
	running map[workload.TaskRef]map[workload.LifeID]workload.Run
	done    map[workload.TaskRef]bool
	failed  map[workload.TaskRef]int
	// crashes counts the workers that crashed under each task.
	crashes   map[workload.TaskRef]int
	lifeCount int
}

func (w *workerModel) apply(writer incarnation.ID, r workload.Record) error {
	w.offset++
	return w.state.Apply(journal.Position{Offset: w.offset, Writer: writer, Time: time.UnixMilli(int64(w.offset))}, r)
}

func (w *workerModel) announce() {
	w.lifeCount++
	machine := rapid.IntRange(0, 3).Draw(w.t, "machine")
	life := workload.LifeID(fmt.Sprintf("m%d/%d", machine, w.lifeCount))
	rack := platform.RackID(fmt.Sprint("r", machine/2))
	ends := w.drawEndsOfEarlierLives(life, machine)
	record := workload.Record{Announce: &workload.Announce{
		Life: life, Machine: platform.WorkerID(fmt.Sprint("m", machine)), Agent: "agent", Service: "s", Rack: rack,
		Labels: []string{"a", string(rack)}, Room: workload.Resources{Cores: 8000, Memory: 64, Accelerators: 8},
		Ends: ends, Crashes: w.drawCrashes(machine, ends),
	}}
	// An agent repeats an announcement if it does not learn the result.
	for range rapid.IntRange(1, 2).Draw(w.t, "announcements") {
		if err := w.apply("agent", record); err != nil {
			w.t.Fatal(err)
		}
	}
	for _, e := range ends {
		w.countEnd(w.state.Job(e.Task.Job), e.Task, e.How)
	}
	// Before it announces a life, an agent makes sure that the runs of earlier lives on the
	// machine have ended.
	for _, runs := range w.running {
		for other := range runs {
			if o := w.state.Worker(other); o != nil && o.Gone {
				delete(runs, other)
			}
		}
	}
}

// drawCrashes returns crashes of random runs that earlier lives on the machine may still execute, without
// those that the new life has executed instead, and counts them.
func (w *workerModel) drawCrashes(machine int, ends []workload.End) []workload.Crash {
	var crashes []workload.Crash
	for _, life := range w.knownLives() {
		worker := w.state.Worker(life)
		if worker.Gone || worker.Machine != platform.WorkerID(fmt.Sprint("m", machine)) {
			continue
		}
		var ofLife []workload.Crash
		for _, ref := range worker.SortedRuns() {
			if !w.state.Job(ref.Job).Open() || len(ends) > 0 && ends[0].Task == ref || !rapid.Bool().Draw(w.t, "crash") {
				continue
			}
			w.crashes[ref]++
			ofLife = append(ofLife, workload.Crash{Task: ref, Run: worker.Runs[ref], Early: rapid.Bool().Draw(w.t, "early")})
		}
		if rapid.Bool().Draw(w.t, "reported") {
			// An earlier agent has reported them, and cannot announce the next life.
			if err := w.apply("agent", workload.Record{Report: &workload.Report{Life: life, Unresponsive: true, Crashes: ofLife}}); err != nil {
				w.t.Fatal(err)
			}
			continue
		}
		crashes = append(crashes, ofLife...)
	}
	return crashes
}

// checkCrashes checks that a job failed because of crashes only if at least two workers crashed under one
// of its tasks.
func (w *workerModel) checkCrashes() {
	for id, j := range w.state.Jobs() {
		most := 0
		for ref, n := range w.crashes {
			if ref.Job == id {
				most = max(most, n)
			}
		}
		if j.Failure == workload.FailureCrashes && most < 2 {
			w.t.Fatalf("got job %s failed after at most %d crashes under a task, want at least 2", id, most)
		}
	}
}

// drawEndsOfEarlierLives returns the end of a random run that an earlier life on the machine
// may still execute and the new life has carried out instead, or nil.
func (w *workerModel) drawEndsOfEarlierLives(life workload.LifeID, machine int) []workload.End {
	j := w.drawOpenJob()
	if j == nil || !rapid.Bool().Draw(w.t, "late order") {
		return nil
	}
	i := rapid.IntRange(0, len(j.Steps)-1).Draw(w.t, "step")
	ref := j.Ref(0, i, rapid.IntRange(0, j.Steps[i].Tasks-1).Draw(w.t, "index"))
	if j.Steps[i].Gang {
		return nil
	}
	for other, run := range w.running[ref] {
		if !strings.HasPrefix(string(other), fmt.Sprintf("m%d/", machine)) {
			continue
		}
		w.endNumbers[life]++
		how := rapid.SampledFrom([]workload.RunOutcome{workload.RunDone, workload.RunFailed, workload.RunStopped}).Draw(w.t, "how")
		return []workload.End{{Number: w.endNumbers[life], Task: ref, Run: run, How: how}}
	}
	return nil
}

func (w *workerModel) submit(n int) {
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

// drawOpenJob returns a random open job, or nil if there is none.
func (w *workerModel) drawOpenJob() *workload.Job {
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

// knownLives returns the lives in the state, in a fixed order.
func (w *workerModel) knownLives() []workload.LifeID {
	var lives []workload.LifeID
	for m := range 4 {
		for b := range w.lifeCount + 1 {
			if id := workload.LifeID(fmt.Sprintf("m%d/%d", m, b)); w.state.Worker(id) != nil {
				lives = append(lives, id)
			}
		}
	}
	return lives
}

// proposePlace proposes a random placement, valid or not, and checks it if the state
// accepts it.
func (w *workerModel) proposePlace() {
	j, lives := w.drawOpenJob(), w.knownLives()
	if j == nil || len(lives) == 0 {
		return
	}
	i := rapid.IntRange(0, len(j.Steps)-1).Draw(w.t, "step")
	spec := j.Steps[i]
	indexes := []int{rapid.IntRange(0, spec.Tasks-1).Draw(w.t, "index")}
	if spec.Gang && rapid.IntRange(0, 9).Draw(w.t, "whole gang") > 0 {
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
		w.t.Fatalf("got a placement by %s accepted, which does not lead, want it rejected", writer)
	}
	for _, m := range p.Members {
		w.checkStart(j, spec, m, p.Run)
	}
}

// checkStart checks that an accepted run breaks no rule.
func (w *workerModel) checkStart(j *workload.Job, spec workload.StepSpec, m workload.Member, run workload.Run) {
	if len(w.running[m.Task]) > 0 {
		w.t.Fatalf("task %s starts run %d while %v may still run", m.Task, run, w.running[m.Task])
	}
	if w.done[m.Task] {
		w.t.Fatalf("task %s starts although it is done", m.Task)
	}
	if w.failed[m.Task] >= j.Attempts {
		w.t.Fatalf("task %s starts after %d failures, want fewer than %d", m.Task, w.failed[m.Task], j.Attempts)
	}
	if w.crashes[m.Task] > 4 {
		w.t.Fatalf("task %s starts after %d workers crashed under it, want at most 4", m.Task, w.crashes[m.Task])
	}
	for _, earlier := range spec.After {
		for k := range j.Steps[earlier].Tasks {
			if !w.done[j.Ref(0, earlier, k)] {
				w.t.Fatalf("task %s starts before task %s is done", m.Task, j.Ref(0, earlier, k))
			}
		}
	}
	if worker := w.state.Worker(m.Worker); !worker.Usable() || !worker.Used.FitsIn(worker.Room) {
		w.t.Fatalf("task %s starts on an unusable or overcommitted worker: %+v", m.Task, worker)
	}
	if w.running[m.Task] == nil {
		w.running[m.Task] = map[workload.LifeID]workload.Run{}
	}
	w.running[m.Task][m.Worker] = run
}

// reportEnd records the end of a random run that a worker may still execute, if there is
// one.
func (w *workerModel) reportEnd() {
	j := w.drawOpenJob()
	if j == nil {
		return
	}
	i := rapid.IntRange(0, len(j.Steps)-1).Draw(w.t, "step")
	k := rapid.IntRange(0, j.Steps[i].Tasks-1).Draw(w.t, "index")
	ref := j.Ref(0, i, k)
	for life, run := range w.running[ref] {
		how := rapid.SampledFrom([]workload.RunOutcome{workload.RunDone, workload.RunDone, workload.RunFailed, workload.RunStopped, workload.RunLapsed}).Draw(w.t, "how")
		if j.Steps[i].Gang && how == workload.RunDone {
			// A member of a gang can only succeed while all members run.
			for m := range j.Steps[i].Tasks {
				if len(w.running[j.Ref(0, i, m)]) == 0 {
					how = workload.RunGangBroken
				}
			}
		}
		w.endNumbers[life]++
		err := w.apply("agent", workload.Record{Ends: &workload.Ends{Life: life, Ends: []workload.End{{Number: w.endNumbers[life], Task: ref, Run: run, How: how}}}})
		if err != nil {
			w.t.Fatal(err)
		}
		delete(w.running[ref], life)
		w.countEnd(j, ref, how)
		return
	}
}

// countEnd updates w.done and w.failed for the task, or for all members of its gang.
func (w *workerModel) countEnd(j *workload.Job, ref workload.TaskRef, how workload.RunOutcome) {
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
		w.t.Fatalf("got no counted failure of task %s, want at least 1", ref)
	}
}

// disturbWorker drains, suspects, resumes, lapses, removes or resizes a random life.
func (w *workerModel) disturbWorker() {
	lives := w.knownLives()
	if len(lives) == 0 {
		return
	}
	life := rapid.SampledFrom(lives).Draw(w.t, "life")
	switch rapid.IntRange(0, 5).Draw(w.t, "disturbance") {
	case 5:
		n := rapid.IntRange(0, 8).Draw(w.t, "room")
		room := workload.Resources{Cores: platform.Millicores(1000 * n), Memory: platform.Megabytes(8 * n), Accelerators: n}
		_ = w.apply("agent", workload.Record{Report: &workload.Report{Life: life, Room: &room}})
	case 0:
		_ = w.apply("agent", workload.Record{Report: &workload.Report{Life: life, Draining: true}})
	case 1:
		_ = w.apply(w.leader, workload.Record{Suspect: &workload.Suspect{Term: w.term, Life: life}})
	case 2:
		_ = w.apply("agent", workload.Record{Resume: &workload.Resume{Life: life}})
	case 3:
		if w.apply(w.leader, workload.Record{Lapse: &workload.Lapse{Term: w.term, Life: life}}) == nil {
			w.dropRuns(life)
		}
	case 4:
		if w.apply("agent", workload.Record{Depart: &workload.Depart{Life: life}}) == nil {
			w.dropRuns(life)
		}
	}
}

// dropRuns removes the runs of a life from w.running. The caller has recorded that the life
// ended, which agents and leaders do only after its runs have ended or their leases have
// expired.
func (w *workerModel) dropRuns(life workload.LifeID) {
	for _, runs := range w.running {
		delete(runs, life)
	}
}

func (w *workerModel) changeLeader() {
	w.leader = rapid.SampledFrom([]incarnation.ID{"a", "b"}).Draw(w.t, "leader")
	if err := w.apply(w.leader, workload.Record{Lead: &workload.Lead{Term: w.term + 1}}); err != nil {
		w.t.Fatal(err)
	}
	w.term++
}

// Random records in random order must never let a task run twice at the same time,
// start after it is done or has failed too often, start before the steps that it depends on
// are done, or start on a worker that is unusable or lacks the resources. A restored
// snapshot must equal the state that it was taken from.
func TestRandomRecordsKeepRunInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &workerModel{
			t: t, state: workload.NewState(), endNumbers: map[workload.LifeID]uint64{},
			running: map[workload.TaskRef]map[workload.LifeID]workload.Run{}, done: map[workload.TaskRef]bool{}, failed: map[workload.TaskRef]int{},
			crashes: map[workload.TaskRef]int{},
		}
		w.changeLeader()
		w.announce()
		for n := range rapid.IntRange(20, 150).Draw(t, "records") {
			switch rapid.IntRange(0, 11).Draw(t, "action") {
			case 0:
				w.announce()
			case 1:
				w.submit(n % 6)
			case 2:
				w.disturbWorker()
			case 3:
				if j := w.drawOpenJob(); j != nil && rapid.IntRange(0, 3).Draw(t, "cancel") == 0 {
					_ = w.apply("entry", workload.Record{Cancel: &workload.Cancel{Job: j.ID}})
				}
			case 4:
				w.changeLeader()
			case 5, 6, 7, 8:
				w.proposePlace()
			default:
				w.reportEnd()
			}
			if err := w.state.Check(); err != nil {
				t.Fatal(err)
			}
			w.checkCrashes()
			if n%20 == 0 {
				w.restoreSnapshot()
			}
		}
	})
}

// restoreSnapshot replaces the state by one restored from its snapshot and checks that
// the snapshots of both are equal.
func (w *workerModel) restoreSnapshot() {
	data, err := w.state.MarshalSnapshot()
	if err != nil {
		w.t.Fatal(err)
	}
	restored := workload.NewState()
	if err := restored.RestoreSnapshot(data); err != nil {
		w.t.Fatal(err)
	}
	again, err := restored.MarshalSnapshot()
	if err != nil || string(again) != string(data) {
		w.t.Fatalf("got another snapshot from the restored state, want an equal one, error %v", err)
	}
	w.state = restored
}
