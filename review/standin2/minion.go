package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// holdMax is the longest lease that a minion grants, bound hold_max_ms.
	holdMax = 10 * time.Second
	// gpus is the number of GPUs of a minion.
	gpus = 8
	// heartbeat is the time between two status reports.
	heartbeat = 1500 * time.Millisecond
	// startup is how long a task that lasts takes until it is at work.
	startup = 300 * time.Millisecond
	// maxEnds is the number of ends that one answer lists at most.
	maxEnds = 500
)

// fate is what becomes of a run: it ends after work with how. A run without work lasts.
type fate struct {
	work time.Duration
	how  string
}

// minion is a stand-in for a minion of the platform. It carries out the orders of the agent on its machine as
// the platform's page describes them. Its room is not guarded.
type minion struct {
	world   *world
	name    string
	labels  []string
	address string
	control string
	born    int64
	began   time.Time

	mu sync.Mutex
	// sheds is true while the minion refuses all starts as unhealthy.
	sheds    bool
	sequence int
	token    uint64
	deadline int64
	runs     map[string]*run
	ends     []end
	lastEnd  uint64
	// newest has the highest run of each task that was stopped or has ended.
	newest map[string]uint64
	// ended is closed and replaced when a run ends.
	ended chan struct{}
}

// run is a run that the minion executes.
type run struct {
	task  string
	id    uint64
	since time.Time
	fate  fate
	gang  *gang
}

// end is the end of a run.
type end struct {
	number uint64
	task   string
	id     uint64
	how    string
}

// order is the body of an order.
type order struct {
	Task         string `json:"task"`
	RunID        uint64 `json:"run_id"`
	Spec         string `json:"spec"`
	FencingToken uint64 `json:"fencing_token"`
	DeadlineMS   int64  `json:"deadline_ms"`
	SeenUpto     uint64 `json:"seen_upto"`
	WaitMS       int64  `json:"wait_ms"`
}

func newMinion(w *world, name string, labels []string) *minion {
	return &minion{
		world: w, name: name, labels: labels, born: time.Now().UnixMilli(), began: time.Now(),
		runs: map[string]*run{}, newest: map[string]uint64{}, ended: make(chan struct{}),
	}
}

// clock returns the minion's time in milliseconds.
func (m *minion) clock() int64 { return time.Since(m.began).Milliseconds() }

func (m *minion) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", m.handle(m.start))
	mux.HandleFunc("POST /run-stop", m.handle(m.stop))
	mux.HandleFunc("POST /hold", m.handle(m.hold))
	mux.HandleFunc("POST /pace", m.handle(func(order) (string, map[string]any) { return "", nil }))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
}

// handle returns the handler of an order. f returns the reason of a refusal, or the fields of the answer.
func (m *minion) handle(f func(order) (string, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if expected := r.Header.Get("Corianderpass-Expect-Instance"); expected != "" && expected != m.name {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path == "/run-start" && m.isShedding() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		reason, body := f(o)
		status := http.StatusOK
		if reason != "" {
			status, body = http.StatusConflict, map[string]any{"reason": reason}
		}
		if body == nil {
			body = map[string]any{}
		}
		body["clock_ms"] = m.clock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (m *minion) isShedding() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sheds
}

func (m *minion) setShedding(sheds bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sheds = sheds
	m.world.record.note("minion %s: sheds=%t", m.name, sheds)
}

// accept checks the token and extends the lease. The lock must be held.
func (m *minion) accept(o order) bool {
	if o.FencingToken < m.token {
		return false
	}
	m.token = o.FencingToken
	m.deadline = max(m.deadline, min(o.DeadlineMS, m.clock()+holdMax.Milliseconds()))
	return true
}

func (m *minion) start(o order) (string, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.accept(o) {
		return "fence", nil
	}
	if r := m.runs[o.Task]; r != nil && r.id == o.RunID {
		return "", nil
	}
	switch {
	case o.RunID <= m.newest[o.Task] || m.runs[o.Task] != nil:
		return "old", nil
	case o.DeadlineMS <= m.clock():
		return "late", nil
	}
	r := &run{task: o.Task, id: o.RunID, since: time.Now(), fate: m.world.fateOf(o.Spec, o.Task, o.RunID, m.name)}
	m.runs[o.Task] = r
	m.world.began(r, m)
	return "", nil
}

func (m *minion) stop(o order) (string, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.FencingToken < m.token {
		return "fence", nil
	}
	m.token = o.FencingToken
	m.newest[o.Task] = max(m.newest[o.Task], o.RunID)
	if r := m.runs[o.Task]; r != nil && r.id <= o.RunID {
		m.finish(r, "stopped")
	}
	return "", nil
}

// finish ends a run. The lock must be held.
func (m *minion) finish(r *run, how string) {
	if m.runs[r.task] != r {
		return
	}
	delete(m.runs, r.task)
	m.newest[r.task] = max(m.newest[r.task], r.id)
	m.lastEnd++
	m.ends = append(m.ends, end{m.lastEnd, r.task, r.id, how})
	close(m.ended)
	m.ended = make(chan struct{})
	m.world.finished(r, m, how)
}

// end ends the run of the task as ordered by the case; it does nothing if there is none.
func (m *minion) end(task, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.runs[task]; r != nil {
		m.finish(r, how)
	}
}

func (m *minion) hold(o order) (string, map[string]any) {
	until := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.accept(o) {
		return "fence", nil
	}
	m.ends = slices.DeleteFunc(m.ends, func(e end) bool { return e.number <= o.SeenUpto })
	for len(m.ends) == 0 && time.Now().Before(until) {
		ended := m.ended
		m.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(time.Until(until)):
		}
		m.mu.Lock()
	}
	running, ends := [][]any{}, [][]any{}
	for _, r := range m.runs {
		running = append(running, []any{r.task, r.id, "", m.percent(r), 0})
	}
	for _, e := range m.ends[:min(len(m.ends), maxEnds)] {
		ends = append(ends, []any{e.number, e.task, e.id, e.how, ""})
	}
	return "", map[string]any{"born": m.born, "running": running, "ended": ends}
}

// percent returns the progress of a run in whole percent, or the pace of one that lasts.
func (m *minion) percent(r *run) int {
	age := time.Since(r.since)
	if r.gang != nil {
		since := m.world.completeSince(r.gang)
		if since.IsZero() {
			return 0
		}
		age = time.Since(since)
	}
	switch {
	case r.fate.work == 0 && age < startup:
		return 0
	case r.fate.work == 0:
		return 100
	}
	return int(min(100*age/r.fate.work, 99))
}

// step ends the runs whose time has come, and all runs when the lease has expired.
func (m *minion) step() {
	m.mu.Lock()
	defer m.mu.Unlock()
	expired := m.clock() >= m.deadline
	for _, r := range m.runs {
		switch {
		case expired:
			m.finish(r, "lapsed")
		case r.gang == nil && r.fate.work > 0 && time.Since(r.since) >= r.fate.work:
			m.finish(r, r.fate.how)
		}
	}
}

// report sends one status report to the agent.
func (m *minion) report() {
	m.mu.Lock()
	m.sequence++
	body, err := json.Marshal(map[string]any{
		"service": service, "address": m.address, "zone": zone, "version": "v1", "capacity": 8, "state": "ready", "cold_left_ms": 0,
		"room": map[string]int{"cpu": 64000, "mem_mb": 262144, "gpus": gpus}, "labels": m.labels, "machine": "machine-" + m.name,
		"clock_ms": m.clock(), "born": m.born, "sequence": m.sequence,
	})
	m.mu.Unlock()
	if err != nil {
		return
	}
	request, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/instances/%s", m.control, m.name), bytes.NewReader(body))
	if err != nil {
		return
	}
	client := http.Client{Timeout: time.Second}
	if response, err := client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}
