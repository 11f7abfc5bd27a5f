package main

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const (
	// reclaim is the bound reclaim_ms of the site.
	reclaim = 2700 * time.Millisecond
	// reclaimWatch is how long the case goes on to see whether the job begins later.
	reclaimWatch = 40 * time.Second
)

// guaranteeIsNotReclaimed has three racks of three minions. A tenant fills one rack with urgent tasks that it holds a
// guarantee for, another the other racks with tasks of the lowest priority. Then a third tenant, which uses nothing
// of its guarantee, hands in an urgent job that has its data on the first rack.
func guaranteeIsNotReclaimed(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	d.tenants = []tenant{{"alpha", 24}, {"beta", 8}, {"gamma", 0}}
	alpha := queue{name: "quote", priority: 0, attempts: urgentAttempts, tenant: "alpha"}
	beta, gamma := alpha, queue{name: "recon", priority: 2, attempts: otherAttempts, tenant: "gamma"}
	beta.tenant = "beta"
	d.fates = func(spec, _ string, _ uint64, _ string) fate {
		if spec == "lasting" {
			return fate{}
		}
		return fate{2 * time.Second, "done"}
	}
	if err := d.start(ctx, []queue{alpha, gamma}, 2, slices.Concat(rack("r1", 3), rack("r2", 3), rack("r3", 3))); err != nil {
		return "", err
	}
	if !d.await(20*time.Second, d.allAnnounced) {
		return "", fmt.Errorf("%w: not all minions are in use", errSetup)
	}
	lasting := func(label string, tasks int) job {
		return job{"lasting", []map[string]any{{"task_count": tasks, "cpu": 16000, "mem_mb": 32768, "gpus": 8, "long_running": true, "requires": label}}}
	}
	fill := func(q queue, id, label string, tasks int) error {
		if err := d.submit(0, q, id, lasting(label, tasks)); err != nil {
			return err
		}
		if !d.await(20*time.Second, func() bool { return len(d.running(id)) == tasks }) {
			return fmt.Errorf("%w: the tasks of job %s did not begin", errSetup, id)
		}
		return nil
	}
	for id, label := range map[string]string{"00000000000000c3": "r2", "00000000000000c4": "r3"} {
		if err := fill(gamma, id, label, 3); err != nil {
			return "", err
		}
	}
	if trouble {
		if err := fill(alpha, "00000000000000a1", "r1", 3); err != nil {
			return "", err
		}
	}
	time.Sleep(4 * time.Second)
	id := "00000000000000b2"
	step := map[string]any{"task_count": 1, "cpu": 16000, "mem_mb": 32768, "gpus": 8, "estimate_ms": 2000, "affinity": "r1"}
	if err := d.submit(1, beta, id, job{"urgent", []map[string]any{step}}); err != nil {
		return "", err
	}
	confirmed := time.Now()
	began := d.await(reclaimWatch, func() bool { return len(d.executions(id)) > 0 })
	took := time.Since(confirmed)
	switch {
	case !began:
		return verdict(fmt.Sprintf("RECLAIM: job %s of priority 0, whose tenant is guaranteed 8 GPUs and uses none, has not begun %.1f s after its confirmation; %d tasks of priority 2 run on 8 GPUs each",
			id, took.Seconds(), len(d.running("00000000000000c")))), nil
	case took > reclaim:
		return verdict(fmt.Sprintf("RECLAIM: job %s began %.1f s after its confirmation", id, took.Seconds())), nil
	}
	return "", nil
}
