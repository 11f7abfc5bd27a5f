package main

import (
	"context"
	"fmt"
	"time"
)

// urgentGangBlocksPool runs a small urgent task that lasts on each of three minions. Then an urgent gang comes that
// needs all GPUs of all three and cannot begin beside these, and a small job of lower priority.
func urgentGangBlocksPool(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	d.tenants = []tenant{{"alpha", 3}, {"beta", 0}}
	urgent := queue{name: "quote", priority: 0, attempts: urgentAttempts, tenant: "alpha"}
	large, plain := urgent, queue{name: "recon", priority: 2, attempts: otherAttempts, tenant: "beta"}
	large.tenant = "beta"
	d.fates = func(spec, _ string, _ uint64, _ string) fate {
		if spec == "lasting" {
			return fate{}
		}
		return fate{2 * time.Second, "done"}
	}
	d.gangs["gang"] = 3
	if err := d.start(ctx, []queue{urgent, plain}, 2, rack("r1", 3)); err != nil {
		return "", err
	}
	if !d.await(20*time.Second, d.allAnnounced) {
		return "", fmt.Errorf("%w: not all minions are in use", errSetup)
	}
	lasting, gang, small := "00000000000000a1", "00000000000000c3", "00000000000000b2"
	step := map[string]any{"task_count": 3, "cpu": 2000, "mem_mb": 4096, "gpus": 1, "long_running": true, "anti_affinity": 1}
	if err := d.submit(0, urgent, lasting, job{"lasting", []map[string]any{step}}); err != nil {
		return "", err
	}
	if !d.await(20*time.Second, func() bool { return len(d.running(lasting)) == 3 }) {
		return "", fmt.Errorf("%w: the tasks that last did not begin", errSetup)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		step = map[string]any{"task_count": 3, "cpu": 8000, "mem_mb": 16384, "gpus": 8, "estimate_ms": 20000, "gang": true}
		if err := d.submit(0, large, gang, job{"gang", []map[string]any{step}}); err != nil {
			return "", err
		}
		time.Sleep(time.Second)
	}
	step = map[string]any{"task_count": 1, "cpu": 2000, "mem_mb": 4096, "gpus": 1, "estimate_ms": 2000}
	if err := d.submit(1, plain, small, job{"plain", []map[string]any{step}}); err != nil {
		return "", err
	}
	return d.watchWaiting(plain, small, time.Now()), nil
}
