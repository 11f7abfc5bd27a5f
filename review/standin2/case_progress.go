package main

import (
	"context"
	"fmt"
	"time"
)

// slowProgressBlocksWorkers runs one small task on each minion that takes twenty minutes although its consumer has
// estimated one second, and then hands in a small job.
func slowProgressBlocksWorkers(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	q := queue{name: "recon", priority: 1, attempts: otherAttempts}
	const long = 20 * time.Minute
	d.fates = func(spec, _ string, _ uint64, _ string) fate {
		if spec == "long" {
			return fate{long, "done"}
		}
		return fate{time.Second, "done"}
	}
	if err := d.start(ctx, []queue{q}, 2, rack("r1", 3)); err != nil {
		return "", err
	}
	estimate := long
	if trouble {
		estimate = time.Second
	}
	step := map[string]any{"task_count": 3, "cpu": 2000, "mem_mb": 2048, "gpus": 1, "estimate_ms": estimate.Milliseconds(), "anti_affinity": 1}
	if err := d.submit(0, q, "00000000000000a1", job{"long", []map[string]any{step}}); err != nil {
		return "", err
	}
	if !d.await(20*time.Second, func() bool { return len(d.running("00000000000000a1")) == 3 }) {
		return "", fmt.Errorf("%w: the long tasks did not begin", errSetup)
	}
	time.Sleep(3 * time.Second)
	step = map[string]any{"task_count": 1, "cpu": 2000, "mem_mb": 2048, "gpus": 1, "estimate_ms": 1000}
	if err := d.submit(1, q, "00000000000000b2", job{"plain", []map[string]any{step}}); err != nil {
		return "", err
	}
	return d.watchWaiting(q, "00000000000000b2", time.Now()), nil
}
