package main

import (
	"context"
	"fmt"
	"time"
)

// gangWaitsForever sends 40 jobs at once, two of which can never be done, and, when all have ended, a gang that
// fits on the idle minions several times.
func gangWaitsForever(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	q := queue{name: "check", priority: 1, attempts: otherAttempts}
	d.fates = func(spec, _ string, _ uint64, _ string) fate {
		switch {
		case spec == "hopeless" && trouble:
			return fate{1500 * time.Millisecond, "failed"}
		case spec == "gang":
			return fate{2 * time.Second, "done"}
		}
		return fate{300 * time.Millisecond, "done"}
	}
	d.gangs["gang"] = 4
	if err := d.start(ctx, []queue{q}, 2, rack("r1", 3)); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	var ids []string
	for i := range 40 {
		spec := "plain"
		if i == 15 || i == 20 {
			spec = "hopeless"
		}
		ids = append(ids, fmt.Sprintf("%016x", 0xa00+i))
		step := map[string]any{"task_count": 1, "cpu": 1000, "mem_mb": 1024, "gpus": 1, "estimate_ms": 300}
		if err := d.submit(i%2, q, ids[i], job{spec, []map[string]any{step}}); err != nil {
			return "", err
		}
	}
	for _, id := range ids {
		if !d.await(40*time.Second, func() bool { return d.hasEnded(q, id) }) {
			return "", fmt.Errorf("%w: job %s has not ended", errSetup, id)
		}
	}
	time.Sleep(time.Second)
	id := "00000000000000b2"
	step := map[string]any{"task_count": 4, "cpu": 4000, "mem_mb": 8192, "gpus": 2, "estimate_ms": 2000, "gang": true}
	if err := d.submit(0, q, id, job{"gang", []map[string]any{step}}); err != nil {
		return "", err
	}
	return d.watchWaiting(q, id, time.Now()), nil
}
