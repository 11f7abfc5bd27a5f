// Command 13 plays an agent that is killed while its first write is carried out late.
package main

import (
	"sync/atomic"
	"time"

	"corianderpass/review/bed"
)

const (
	// lateness is how long after its arrival the write is carried out.
	lateness = 5500 * time.Millisecond
	// finish is finish_s of the settings.
	finish = 14 * time.Second
	// others is the number of machines beside the one whose agent is killed.
	others = 6
	entry  = bed.Machine("front-1")
	job    = "00000000000000a1"
)

func main() { bed.Main(play) }

func work(bed.Order) time.Duration { return time.Second }

func play(b *bed.Bed) ([]string, error) {
	special := bed.SideMinion(others+1, "b", work)
	var minions []*bed.Minion
	for i := range others {
		minions = append(minions, bed.SideMinion(i+1, "a", work))
	}
	// caught is set once the agent has made its first write to the log of jobs.
	var caught atomic.Bool
	b.Store.OnWrite = func(w bed.Write) bed.Disturbance {
		if w.Machine != special.Machine || w.Topic != "keyed.workload" || !caught.CompareAndSwap(false, true) || !bed.Trouble() {
			return bed.Disturbance{}
		}
		b.Note("store: a write of %s gets no answer and is carried out %v later", w.Machine, lateness)
		return bed.Disturbance{Late: lateness}
	}
	if err := b.Deploy(entry, minions...); err != nil {
		return nil, err
	}
	b.Note("%s is added", special.Machine)
	if err := b.StartSide(special); err != nil {
		return nil, err
	}
	if !b.Wait(10*time.Second, caught.Load) {
		return nil, bed.CannotRun("the agent has written nothing")
	}
	b.Sleep(400 * time.Millisecond)
	if bed.Trouble() {
		b.Kill(special.Machine)
	} else {
		b.Stop(special.Machine)
	}
	b.Sleep(300 * time.Millisecond)
	if err := b.StartAgent(special.Machine); err != nil {
		return nil, err
	}
	b.Sleep(8 * time.Second)
	body := bed.Job{Spec: "work", Steps: []bed.Step{{TaskCount: 1, CPU: 1000, MemMB: 1024, GPUs: 1, EstimateMS: 1000, Requires: "b"}}}
	if !b.Submit(entry, job, body, 10*time.Second) {
		return nil, bed.CannotRun("the job was not accepted")
	}
	state := ""
	completed := b.Wait(3*finish, func() bool {
		b.Sleep(time.Second)
		state = b.Call(entry, "GET", job, nil).State
		return state == "completed"
	})
	starts, done := b.Log.Starts(job + ".0.0.0")
	b.Note("state of the job: %q; its task was started %d times and has ended done %d times", state, starts, done)
	if !completed {
		return []string{"the job has nothing running, though its minion is free, sound and in touch"}, nil
	}
	return nil, nil
}
