// Command 14 plays a caller that leaves and cancels its job while the write of the job has no answer.
package main

import (
	"fmt"
	"sync/atomic"
	"time"

	"corianderpass/review/bed"
)

const (
	// lateness is how long after its arrival the write is carried out.
	lateness = 5500 * time.Millisecond
	// patience is how long the caller waits for the answer to its job, and due how long after that the job may start.
	patience = 300 * time.Millisecond
	due      = 8 * time.Second
	// cancelTime is cancel_ms of the settings.
	cancelTime = 3 * time.Second
	machines   = 6
	// others is the number of callers that stay.
	others = 4
	first  = bed.Machine("front-1")
	second = bed.Machine("front-2")
	job    = "00000000000000a1"
)

func main() { bed.Main(play) }

func work(bed.Order) time.Duration { return 2 * time.Second }

func play(b *bed.Bed) ([]string, error) {
	// armed is true while the next write of the first entry to the log of jobs is to be late.
	var armed atomic.Bool
	b.Store.OnWrite = func(w bed.Write) bed.Disturbance {
		if w.Machine != first || w.Topic != "keyed.workload" || !armed.CompareAndSwap(true, false) || !bed.Trouble() {
			return bed.Disturbance{}
		}
		b.Note("store: a write of %s gets no answer and is carried out %v later", w.Machine, lateness)
		return bed.Disturbance{Late: lateness}
	}
	var minions []*bed.Minion
	for i := range machines {
		minions = append(minions, bed.SideMinion(i+1, "a", work))
	}
	if err := b.Deploy(first, minions...); err != nil {
		return nil, err
	}
	if err := b.StartEntry(second); err != nil {
		return nil, err
	}
	if !b.Wait(10*time.Second, func() bool { return b.Ready(second) }) {
		return nil, bed.CannotRun("%s is not ready", second)
	}
	b.Sleep(3 * time.Second)
	body := bed.Job{Spec: "work", Steps: []bed.Step{{TaskCount: 1, CPU: 1000, MemMB: 1024, EstimateMS: 2000}}}
	for i := range others {
		if !b.Submit(first, fmt.Sprintf("%016x", 0xb000+i), body, 5*time.Second) {
			return nil, bed.CannotRun("the job of another caller was not accepted")
		}
	}
	b.Sleep(3 * time.Second)
	armed.Store(true)
	body.StartTimeMS = time.Now().Add(due).UnixMilli()
	submitted := b.CallWithin(patience, first, "POST", job, body)
	answer := b.Call(second, "DELETE", job, nil)
	cancelledAt := time.Now()
	if answer.Status != 200 && answer.Status != 410 {
		return nil, bed.CannotRun("the cancel was answered with %d", answer.Status)
	}
	b.Note("the job was answered with %d (0 is no answer), and its cancel with %d", submitted.Status, answer.Status)
	started := b.Wait(due+5*time.Second, func() bool {
		starts, _ := b.Log.Starts(job + ".0.0.0")
		return starts > 0
	})
	if after := time.Since(cancelledAt); started && after > cancelTime {
		b.Note("a task of the job has started %v after the answer to its cancel", after.Round(time.Millisecond))
		return []string{"a task starts later than cancel_ms after the cancelling of its job was acknowledged"}, nil
	}
	return nil, nil
}
