package main

import (
	"fmt"
	"time"

	"corianderpass/platform/standin"
)

func init() { cases["crashes"] = crashingMinion }

// crashingMinion fills eleven minions with jobs and lets others wait. One minion crashes, comes back, and crashes
// again soon after it has started something. The tasks themselves never fail.
func crashingMinion(d *deployment) ([]string, error) {
	const (
		crashes  = 3
		downTime = 4 * time.Second
	)
	log := newRunLog()
	if err := d.startWith(siteMinions, log, func(string) time.Duration { return 9 * time.Second }, standin.Queue{Priority: 1}); err != nil {
		return nil, err
	}
	started := make(chan struct{}, 1)
	log.onStart = func(minion, _ string) {
		if minion != d.minions[0].id {
			return
		}
		select {
		case started <- struct{}{}:
		default:
		}
	}
	var ids []string
	for i := range 2 * siteMinions {
		id := fmt.Sprintf("q0/00000000000000%02x", i)
		if err := d.submit(i%3, id, map[string]any{"spec": "demo", "steps": []any{
			map[string]any{"task_count": 1, "cpu": 26000, "mem_mb": 40000, "gpus": 8, "estimate_ms": 9000},
		}}); err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	if d.trouble {
		for range crashes {
			select {
			case <-started:
			case <-time.After(20 * time.Second):
				return nil, fmt.Errorf("minion %s started nothing for 20 s", d.minions[0].id)
			}
			time.Sleep(250 * time.Millisecond)
			if err := d.minions[0].crash(downTime); err != nil {
				return nil, err
			}
			for len(started) > 0 {
				<-started
			}
		}
	}
	var breaches []string
	for _, id := range ids {
		state := ""
		for begun := time.Now(); state != "completed" && state != "failed"; time.Sleep(500 * time.Millisecond) {
			if state = d.state(0, id); time.Since(begun) > 40*time.Second {
				return nil, fmt.Errorf("job %s is %s", id, state)
			}
		}
		if state == "failed" {
			breaches = append(breaches, fmt.Sprintf("LOST: job %s is shown as failed, and no run of any job has ended failed", id))
		}
	}
	return breaches, nil
}
