package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// The rule LOST asks for a run of a task that lasts from 6 s after its last run, and is broken after 3 s on end
	// without one.
	lastingGrace = 6 * time.Second
	lostAfter    = 3 * time.Second
)

// lastingTaskIsNotRestarted runs two jobs whose tasks last, one task of each on every minion. On one minion a task of
// the first job fails, and then one of the second, as tasks that last may at any time.
func lastingTaskIsNotRestarted(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	q := queue{name: "serve", priority: 1, attempts: otherAttempts}
	d.fates = func(string, string, uint64, string) fate { return fate{} }
	if err := d.start(ctx, []queue{q}, 2, rack("r1", 3)); err != nil {
		return "", err
	}
	ids := []string{"00000000000000a1", "00000000000000b2"}
	for i, id := range ids {
		j := job{"lasting", []map[string]any{{"task_count": 3, "cpu": 2000, "mem_mb": 4096, "gpus": 1, "long_running": true, "anti_affinity": 1}}}
		if err := d.submit(i, q, id, j); err != nil {
			return "", err
		}
	}
	for _, id := range ids {
		if !d.await(20*time.Second, func() bool { return len(d.running(id)) == 3 }) {
			return "", fmt.Errorf("%w: not all tasks of job %s began", errSetup, id)
		}
	}
	time.Sleep(3 * time.Second)
	minion := d.running(ids[0])[0].minion
	var failed []string
	for _, id := range ids {
		for _, e := range d.running(id) {
			if e.minion == minion && trouble {
				failed = append(failed, e.task)
				d.minion(minion).end(e.task, "failed")
			}
		}
		time.Sleep(3 * time.Second)
	}
	return d.watchLasting(ids, failed), nil
}

// watchLasting returns how the rule LOST was broken for a task of the jobs within 30 s.
func (d *deployment) watchLasting(ids, failed []string) verdict {
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for i, task := range failed {
			runs := d.executions(task)
			last := runs[len(runs)-1]
			if last.endedAt.IsZero() || time.Since(last.endedAt) < lastingGrace+lostAfter {
				continue
			}
			state := d.state(0, queue{name: "serve"}, ids[i])
			return verdict(fmt.Sprintf("LOST: task %s has had no run for %.1f s since its run %d ended %q; %d of 8 GPUs of minion %s are in use and the task needs 1; its job is shown as %q",
				task, time.Since(last.endedAt).Seconds(), last.run, last.how, d.usedGPUs(last.minion, 1), last.minion, state))
		}
	}
	return ""
}

// usedGPUs returns the GPUs in use on the minion if each of its runs uses n.
func (d *deployment) usedGPUs(minion string, n int) int {
	used := 0
	for _, e := range d.running("") {
		if e.minion == minion {
			used += n
		}
	}
	return used
}
