package main

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"
)

// greyTime is how long the minion fails all that it starts. It stays below 6.5 s, the for_s of the site's srv_grey
// with errors, also if the timer is late.
const greyTime = 6300 * time.Millisecond

// lastAttemptWaitsForever fills two of the three minions of a rack with tasks that last. The third fails all that it
// starts for greyTime. A job that requires the rack fails there twice; its queue allows three attempts.
func lastAttemptWaitsForever(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	q := queue{name: "check", priority: 1, attempts: otherAttempts}
	var grey atomic.Pointer[minion]
	d.fates = func(spec, _ string, _ uint64, name string) fate {
		if spec == "lasting" {
			return fate{}
		}
		if m := grey.Load(); m != nil && m.name == name {
			return fate{time.Second, "failed"}
		}
		return fate{time.Second, "done"}
	}
	if err := d.start(ctx, []queue{q}, 2, slices.Concat(rack("r1", 3), rack("r2", 3), rack("r3", 3), rack("r4", 3))); err != nil {
		return "", err
	}
	if !d.await(20*time.Second, d.allAnnounced) {
		return "", fmt.Errorf("%w: not all minions are in use", errSetup)
	}
	lasting, id := "00000000000000a1", "00000000000000b2"
	step := map[string]any{"task_count": 2, "cpu": 26000, "mem_mb": 131072, "gpus": 8, "long_running": true, "requires": "r1"}
	if err := d.submit(0, q, lasting, job{"lasting", []map[string]any{step}}); err != nil {
		return "", err
	}
	if !d.await(20*time.Second, func() bool { return len(d.running(lasting)) == 2 }) {
		return "", fmt.Errorf("%w: the tasks that last did not begin", errSetup)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		free := d.freeMinion()
		grey.Store(free)
		d.record.note("minion %s: fails all that it starts", free.name)
		time.AfterFunc(greyTime, func() {
			grey.Store(nil)
			d.record.note("minion %s: is sound", free.name)
		})
	}
	step = map[string]any{"task_count": 1, "cpu": 8000, "mem_mb": 16384, "gpus": 4, "estimate_ms": 1000, "requires": "r1"}
	if err := d.submit(1, q, id, job{"plan", []map[string]any{step}}); err != nil {
		return "", err
	}
	return d.watchWaiting(q, id, time.Now()), nil
}

// watchWaiting returns how the rule LOST was broken for the job, which was the last of the traffic, which ended at
// the time: from finish_s on, it has nothing running for 3 s though it has not ended. The caller makes sure that
// there is capacity for it twice over and that under half of all is in use.
func (d *deployment) watchWaiting(q queue, id string, ended time.Time) verdict {
	time.Sleep(time.Until(ended.Add(finish)))
	idle := time.Now()
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if d.hasEnded(q, id) {
			return ""
		}
		if len(d.running(id)) > 0 {
			idle = time.Now()
		}
		if time.Since(idle) < lostAfter {
			continue
		}
		runs := d.executions(id)
		last := "it has had no run"
		if len(runs) > 0 {
			e := runs[len(runs)-1]
			last = fmt.Sprintf("its last run, %d on minion %s, ended %q %.1f s ago", e.run, e.minion, e.how, time.Since(e.endedAt).Seconds())
		}
		return verdict(fmt.Sprintf("LOST: job %s has nothing running %.1f s after the end of the traffic; %s; it is shown as %q", id,
			time.Since(ended).Seconds(), last, d.state(0, q, id)))
	}
	return ""
}

// hasEnded reports whether an entry shows that the job has ended.
func (d *deployment) hasEnded(q queue, id string) bool {
	state := d.state(0, q, id)
	return state == "completed" || state == "failed" || state == "cancelled"
}
