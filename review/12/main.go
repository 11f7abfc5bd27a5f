// Command 12 plays a machine that loses power while one write of its agent is carried out late.
package main

import (
	"sync/atomic"
	"time"

	"corianderpass/review/bed"
)

const (
	// lateness is how long after its arrival the write is carried out.
	lateness = 5500 * time.Millisecond
	// calm is the number of machines beside the one that loses power.
	calm     = 6
	entry    = bed.Machine("front-1")
	shortJob = "00000000000000a1"
	longJob  = "00000000000000b2"
)

func main() { bed.Main(play) }

func work(o bed.Order) time.Duration {
	if o.Spec == "short" {
		return 1500 * time.Millisecond
	}
	return 14 * time.Second
}

func play(b *bed.Bed) ([]string, error) {
	var minions []*bed.Minion
	for i := range calm {
		minions = append(minions, bed.SideMinion(i+1, "a", work))
	}
	restless := bed.SideMinion(calm+1, "a", work)
	// caught is set once the machine has made its first write to the log of jobs.
	var caught atomic.Bool
	b.Store.OnWrite = func(w bed.Write) bed.Disturbance {
		if w.Machine != restless.Machine || w.Topic != "keyed.workload" || !caught.CompareAndSwap(false, true) || !bed.Trouble() {
			return bed.Disturbance{}
		}
		b.Note("store: a write of %s gets no answer and is carried out %v later", w.Machine, lateness)
		return bed.Disturbance{Late: lateness}
	}
	if err := b.Deploy(entry, minions...); err != nil {
		return nil, err
	}
	b.Note("%s is added", restless.Machine)
	if err := b.StartSide(restless); err != nil {
		return nil, err
	}
	if !b.Wait(10*time.Second, caught.Load) {
		return nil, bed.CannotRun("the agent of %s has written nothing", restless.Machine)
	}
	b.Sleep(400 * time.Millisecond)
	if bed.Trouble() {
		b.Note("%s loses power", restless.Machine)
		b.Kill(restless.Machine)
		restless.Crash()
		b.Sleep(500 * time.Millisecond)
		restless.Begin()
		if err := b.StartAgent(restless.Machine); err != nil {
			return nil, err
		}
	}
	b.Sleep(2200 * time.Millisecond)
	// The short job fills the other machines, so that the long one starts on the machine that has lost power.
	for _, job := range []struct {
		id, spec        string
		tasks, estimate int
	}{{shortJob, "short", 4 * calm, 1500}, {longJob, "long", 4, 14000}} {
		body := bed.Job{Spec: job.spec, Steps: []bed.Step{{TaskCount: job.tasks, CPU: 2000, MemMB: 1024, GPUs: 2, EstimateMS: job.estimate}}}
		if !b.Submit(entry, job.id, body, 10*time.Second) {
			return nil, bed.CannotRun("job %s was not accepted", job.id)
		}
		b.Sleep(100 * time.Millisecond)
	}
	ended := b.Wait(60*time.Second, func() bool {
		b.Sleep(200 * time.Millisecond)
		return b.Call(entry, "GET", longJob, nil).State == "completed"
	})
	b.Note("the long job is completed: %t", ended)
	return b.Log.Twice(), nil
}
