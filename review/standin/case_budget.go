package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"corianderpass/platform/standin"
)

func init() { cases["budget"] = missedBudget }

// missedBudget runs a service of eleven lasting tasks, one of which may be missing, each on a minion of its own,
// beside small jobs. One minion crashes for good. Some seconds later an urgent job comes.
func missedBudget(d *deployment) ([]string, error) {
	const (
		lasting = "00000000000000d1"
		notice  = 4500 * time.Millisecond
	)
	isLasting := func(task string) bool { return strings.HasPrefix(task, lasting) }
	log := newRunLog()
	d.guaranteed = 8
	var mu sync.Mutex
	var crashedAt time.Time
	var breaches []string
	d.prepare = func(m *minion) {
		m.log, m.lasting = log, isLasting
		m.duration = func(task string) time.Duration {
			if isLasting(task) {
				return time.Hour
			}
			return 2 * time.Second
		}
		m.onStop = func(task string, run uint64) {
			mu.Lock()
			defer mu.Unlock()
			if away := time.Since(crashedAt); isLasting(task) && !crashedAt.IsZero() && away > notice && log.runs(lasting) < siteMinions {
				breaches = append(breaches, fmt.Sprintf("AVAIL: %s/%d on %s is told to stop, though one task of its step has been away for %v and only one may be",
					task, run, m.id, away.Round(time.Millisecond)))
			}
		}
	}
	if err := d.start(3, siteMinions, standin.Queue{Priority: 0}, standin.Queue{Priority: 1}, standin.Queue{Priority: 2}); err != nil {
		return nil, err
	}
	if err := d.submit(0, "q1/"+lasting, map[string]any{"spec": "demo", "steps": []any{
		map[string]any{"task_count": siteMinions, "cpu": 8000, "mem_mb": 8000, "gpus": 8, "long_running": true, "may_miss": 1, "image": "web"},
	}}); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
			}
			d.call(i%3, "POST", fmt.Sprintf("q2/000000000000%04x", i), map[string]any{"spec": "demo", "steps": []any{
				map[string]any{"task_count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 2000},
			}})
		}
	}()
	time.Sleep(8 * time.Second)
	if d.trouble {
		mu.Lock()
		crashedAt = time.Now()
		mu.Unlock()
		go func() { _ = d.minions[0].crash(time.Hour) }()
		time.Sleep(notice + 100*time.Millisecond)
	}
	if err := d.submit(1, "q0/00000000000000d2", map[string]any{"spec": "demo", "steps": []any{
		map[string]any{"task_count": 1, "cpu": 8000, "mem_mb": 8000, "gpus": 8, "estimate_ms": 2000},
	}}); err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	return breaches, nil
}
