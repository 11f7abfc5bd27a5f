package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// shedTime is how long the minion refuses starts. It stays below 6.5 s, the for_s of the site's srv_grey with
	// errors, also if the timer is late.
	shedTime = 6300 * time.Millisecond
	// countedAfter is the time after its confirmation from which a job that has not begun must be counted.
	countedAfter = visible + 2*time.Second
)

// pendingOmitsJobs fills eleven of twelve minions with long tasks. The free one refuses all starts for shedTime; a job
// that is handed in then begins nowhere. All the while an entry is asked for the number of pending jobs.
func pendingOmitsJobs(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	long, q := queue{name: "recon", priority: 1, attempts: otherAttempts}, queue{name: "plan", priority: 1, attempts: otherAttempts}
	d.fates = func(spec, _ string, _ uint64, _ string) fate {
		if spec == "long" {
			return fate{60 * time.Second, "done"}
		}
		return fate{5 * time.Second, "done"}
	}
	minions := slices.Concat(rack("r1", 3), rack("r2", 3), rack("r3", 3), rack("r4", 3))
	if err := d.start(ctx, []queue{long, q}, 2, minions); err != nil {
		return "", err
	}
	if !d.await(20*time.Second, d.allAnnounced) {
		return "", fmt.Errorf("%w: not all minions are in use", errSetup)
	}
	step := map[string]any{"task_count": 11, "cpu": 26000, "mem_mb": 131072, "gpus": 8, "estimate_ms": 60000}
	if err := d.submit(0, long, "00000000000000a1", job{"long", []map[string]any{step}}); err != nil {
		return "", err
	}
	if !d.await(20*time.Second, func() bool { return len(d.running("00000000000000a1")) == 11 }) {
		return "", fmt.Errorf("%w: the long tasks did not begin", errSetup)
	}
	time.Sleep(3 * time.Second)
	free := d.freeMinion()
	if trouble {
		free.setShedding(true)
		time.AfterFunc(shedTime, func() { free.setShedding(false) })
	}
	id := "00000000000000b2"
	step = map[string]any{"task_count": 1, "cpu": 26000, "mem_mb": 131072, "gpus": 8, "estimate_ms": 5000}
	if err := d.submit(0, q, id, job{"plan", []map[string]any{step}}); err != nil {
		return "", err
	}
	return d.watchPending(q, id, time.Now()), nil
}

// allAnnounced reports whether all minions have been polled.
func (d *deployment) allAnnounced() bool {
	for _, m := range d.minions {
		m.mu.Lock()
		polled := m.token > 0
		m.mu.Unlock()
		if !polled {
			return false
		}
	}
	return true
}

// freeMinion returns the minion without a run.
func (d *deployment) freeMinion() *minion {
	busy := map[string]bool{}
	for _, e := range d.running("") {
		busy[e.minion] = true
	}
	for _, m := range d.minions {
		if !busy[m.name] {
			return m
		}
	}
	return nil
}

// watchPending asks for the number of pending jobs until the job has begun, the only one of its queue.
func (d *deployment) watchPending(q queue, id string, accepted time.Time) verdict {
	var broken verdict
	for until := accepted.Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		asked := time.Now()
		status, text := d.call(http.MethodGet, 1, q, "", nil)
		var answer struct {
			Pending int `json:"pending"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(text), &answer) != nil {
			continue
		}
		if len(d.executions(id)) > 0 {
			break
		}
		d.record.note("consumer: GET %s at entry 2: %d %s", q.path(), status, text)
		if asked.Sub(accepted) > countedAfter && answer.Pending == 0 {
			broken = verdict(fmt.Sprintf("MIXED: %.1f s after job %s was accepted, and before any task of it has begun, pending is given as %d", asked.Sub(accepted).Seconds(), id, answer.Pending))
		}
	}
	return broken
}
