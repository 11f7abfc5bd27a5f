// Command 14 plays a long-running job under which minions crash from time to time.
package main

import (
	"time"

	"corianderpass/review/bed"
)

const (
	// crashes is how often a minion crashes, down how long it is down, and apart for how long the task has run then.
	crashes = 4
	down    = 3 * time.Second
	apart   = 6 * time.Second
	// patience is the time after its last run within which the task must run again: 6 s and another 3 s in the rule,
	// and the time until the crashed minion is back.
	patience = 6*time.Second + 3*time.Second + down
	// machines is the number of minions.
	machines = 7
	entry    = bed.Machine("front-1")
	job      = "00000000000000a1"
)

func main() { bed.Main(play) }

func work(bed.Order) time.Duration { return time.Hour }

func play(b *bed.Bed) ([]string, error) {
	var minions []*bed.Minion
	for i := range machines {
		minions = append(minions, bed.SideMinion(i+1, "a", work))
	}
	if err := b.Deploy(entry, minions...); err != nil {
		return nil, err
	}
	body := bed.Job{Spec: "serve", Steps: []bed.Step{{TaskCount: 1, CPU: 1000, MemMB: 1024, GPUs: 1, LongRunning: true}}}
	if !b.Submit(entry, job, body, 10*time.Second) {
		return nil, bed.CannotRun("the job was not accepted")
	}
	host := func() *bed.Minion {
		for _, m := range minions {
			if m.Running() > 0 {
				return m
			}
		}
		return nil
	}
	for i := range crashes + 1 {
		if !b.Wait(patience, func() bool { return host() != nil }) {
			return broken(b, i)
		}
		if i == crashes {
			break
		}
		b.Sleep(apart)
		if m := host(); m != nil && bed.Trouble() {
			m.Crash()
			b.Sleep(down)
			m.Begin()
		}
	}
	if state := b.Call(entry, "GET", job, nil).State; state != "running" {
		return []string{"the job is shown as " + state}, nil
	}
	return nil, nil
}

// broken returns the broken rule: after the crashes, the task has not been started again.
func broken(b *bed.Bed, after int) ([]string, error) {
	state := b.Call(entry, "GET", job, nil).State
	b.Note("after %d crashes the task has not run for %v; the job is shown as %s, and no run has ended failed", after, patience, state)
	return []string{"a long-running job that nobody has cancelled has nothing running and is shown as " + state}, nil
}
