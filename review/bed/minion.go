package bed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Order is the body of the calls of an agent.
type Order struct {
	Task         string `json:"task"`
	RunID        int    `json:"run_id"`
	Spec         string `json:"spec"`
	Checkpointed string `json:"checkpointed"`
	FencingToken uint64 `json:"fencing_token"`
	DeadlineMS   int64  `json:"deadline_ms"`
	SeenUpto     int    `json:"seen_upto"`
	WaitMS       int64  `json:"wait_ms"`
}

// Minion is a minion whose runs take a fixed time. The exported fields must be set before use.
type Minion struct {
	Machine Machine
	ID      string
	Service string
	Address string
	Labels  []string
	// Room is in thousandths of a core, megabytes and accelerators.
	CPU, MemMB, GPUs int
	// Work returns how long a run takes.
	Work func(Order) time.Duration
	// Log receives what is run.
	Log *RunLog

	mu       sync.Mutex
	up       bool
	born     time.Time
	sequence int
	token    uint64
	leaseEnd int64
	runs     map[string]*run
	newest   map[string]int
	ends     []end
	lastEnd  int
	changed  chan struct{}
}

// run is a run in progress.
type run struct {
	number int
	begun  time.Time
	endsAt time.Time
	how    string
}

// end is an end that the agent has not noted yet.
type end struct {
	number int
	task   string
	run    int
	how    string
}

const (
	// stopTime and maxLease are stop_ms and hold_max_ms of the settings.
	stopTime = 200 * time.Millisecond
	maxLease = 10 * time.Second
	// beat is heartbeat_ms of the settings.
	beat = 1500 * time.Millisecond
	// step is the time between two looks at the runs and their lease.
	step = 5 * time.Millisecond
)

// Begin begins a new life, which runs nothing.
func (m *Minion) Begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.up, m.born, m.sequence, m.token, m.leaseEnd = true, time.Now(), 0, 0, 0
	m.runs, m.newest, m.ends, m.lastEnd = map[string]*run{}, map[string]int{}, nil, 0
	m.changed = make(chan struct{})
	m.Log.Note("minion %s of %s begins a life, born %d", m.ID, m.Machine, m.born.UnixMilli())
}

// Crash ends the life with all runs.
func (m *Minion) Crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.up = false
	for task, r := range m.runs {
		m.Log.end(m, task, r.number, "crashed")
	}
	m.runs = map[string]*run{}
	close(m.changed)
	m.changed = make(chan struct{})
	m.Log.Note("minion %s of %s crashes", m.ID, m.Machine)
}

// Running returns how many runs are in progress.
func (m *Minion) Running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.runs)
}

// Start looks after the runs and reports to the agent until the context ends.
func (m *Minion) Start(ctx context.Context, agent string) <-chan error {
	ended := make(chan error, 2)
	go func() {
		for ctx.Err() == nil {
			m.advance()
			wait(ctx, step)
		}
		ended <- nil
	}()
	go func() {
		for ctx.Err() == nil {
			if m.report(ctx, agent) {
				wait(ctx, beat)
				continue
			}
			wait(ctx, beat/3)
		}
		ended <- nil
	}()
	return ended
}

// report sends a status report and tells whether it was acknowledged.
func (m *Minion) report(ctx context.Context, agent string) bool {
	m.mu.Lock()
	if !m.up {
		m.mu.Unlock()
		return false
	}
	m.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": m.Service, "address": m.Address, "zone": "zone-a", "version": "v1", "capacity": 8, "state": "ready",
		"machine": m.Machine, "born": m.born.UnixMilli(), "sequence": m.sequence, "labels": m.Labels, "cold_left_ms": 0,
		"clock_ms": m.clock(), "room": map[string]int{"cpu": m.CPU, "mem_mb": m.MemMB, "gpus": m.GPUs},
	})
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+agent+"/instances/"+m.ID, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// clock returns the time on the minion's clock. The lock must be held.
func (m *Minion) clock() int64 { return time.Since(m.born).Milliseconds() + 1 }

// advance ends the runs whose time or lease is over.
func (m *Minion) advance() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for task, r := range m.runs {
		how := r.how
		if m.clock() >= m.leaseEnd {
			how = "lapsed"
		} else if r.endsAt.After(now) {
			continue
		}
		m.lastEnd++
		m.ends = append(m.ends, end{m.lastEnd, task, r.number, how})
		delete(m.runs, task)
		m.Log.end(m, task, r.number, how)
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// Handler returns the handler for the agent's orders.
func (m *Minion) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", m.serve(m.start))
	mux.HandleFunc("POST /run-stop", m.serve(m.stop))
	mux.HandleFunc("POST /hold", m.serve(m.hold))
	mux.HandleFunc("POST /pace", m.serve(func(context.Context, Order) (int, map[string]any) { return http.StatusOK, map[string]any{} }))
	return mux
}

// serve decodes an order and checks whom it is for. A minion that is down breaks the connection off.
func (m *Minion) serve(carryOut func(context.Context, Order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o Order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		m.mu.Lock()
		up, born := m.up, m.born
		m.mu.Unlock()
		if !up {
			panic(http.ErrAbortHandler)
		}
		if expected := r.Header.Get("Corianderpass-Expect-Instance"); expected != "" && expected != m.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, body := carryOut(r.Context(), o)
		m.mu.Lock()
		if !m.up || m.born != born {
			m.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		body["clock_ms"] = m.clock()
		m.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func refusal(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// extend extends the lease. The lock must be held.
func (m *Minion) extend(deadline int64) {
	m.leaseEnd = max(m.leaseEnd, min(deadline, m.clock()+maxLease.Milliseconds()))
}

func (m *Minion) start(_ context.Context, o Order) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case o.FencingToken < m.token:
		return refusal("fence")
	case o.DeadlineMS <= m.clock():
		return refusal("late")
	}
	m.token = o.FencingToken
	m.extend(o.DeadlineMS)
	if r := m.runs[o.Task]; r != nil && r.number == o.RunID {
		return http.StatusOK, map[string]any{}
	}
	if o.RunID <= m.newest[o.Task] {
		return refusal("old")
	}
	m.newest[o.Task] = o.RunID
	m.runs[o.Task] = &run{o.RunID, time.Now(), time.Now().Add(m.Work(o)), "done"}
	m.Log.begin(m, o.Task, o.RunID)
	return http.StatusOK, map[string]any{}
}

func (m *Minion) stop(_ context.Context, o Order) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.FencingToken < m.token {
		return refusal("fence")
	}
	m.token = o.FencingToken
	m.newest[o.Task] = max(m.newest[o.Task], o.RunID)
	if r := m.runs[o.Task]; r != nil && r.number == o.RunID && r.how != "stopped" {
		r.endsAt, r.how = time.Now().Add(stopTime), "stopped"
		m.Log.Note("minion %s of %s is told to stop %s run %d", m.ID, m.Machine, o.Task, o.RunID)
	}
	return http.StatusOK, map[string]any{}
}

func (m *Minion) hold(ctx context.Context, o Order) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.FencingToken < m.token {
		return refusal("fence")
	}
	m.token = o.FencingToken
	if o.DeadlineMS > 0 {
		m.extend(o.DeadlineMS)
	}
	var left []end
	for _, e := range m.ends {
		if e.number > o.SeenUpto {
			left = append(left, e)
			continue
		}
		m.Log.Note("end %d of minion %s is taken note of: %s run %d %s", e.number, m.ID, e.task, e.run, e.how)
	}
	m.ends = left
	until := time.Now().Add(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for m.up && len(m.ends) == 0 && time.Now().Before(until) && ctx.Err() == nil {
		changed := m.changed
		m.mu.Unlock()
		t := time.NewTimer(time.Until(until))
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		m.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range m.runs {
		percent := 100 * time.Since(r.begun) / max(r.endsAt.Sub(r.begun), 1)
		running = append(running, []any{task, r.number, "", min(percent, 100), 1000})
	}
	for _, e := range m.ends[:min(len(m.ends), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"born": m.born.UnixMilli(), "running": running, "ended": ended}
}

// RunLog records what minions run, and finds tasks that run twice at the same time.
type RunLog struct {
	// Note writes a line into the record.
	Note func(format string, args ...any)

	mu     sync.Mutex
	active map[string]map[Machine]int
	starts map[string]int
	done   map[string]int
	twice  []string
}

func (l *RunLog) begin(m *Minion, task string, number int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active == nil {
		l.active, l.starts, l.done = map[string]map[Machine]int{}, map[string]int{}, map[string]int{}
	}
	l.Note("minion %s of %s starts %s run %d", m.ID, m.Machine, task, number)
	for other, n := range l.active[task] {
		l.twice = append(l.twice, fmt.Sprintf("%s run %d begins on %s while its run %d is in progress on %s", task, number, m.Machine, n, other))
	}
	if l.active[task] == nil {
		l.active[task] = map[Machine]int{}
	}
	l.active[task][m.Machine] = number
	l.starts[task]++
}

func (l *RunLog) end(m *Minion, task string, number int, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Note("minion %s of %s ends %s run %d: %s", m.ID, m.Machine, task, number, how)
	delete(l.active[task], m.Machine)
	if how == "done" {
		l.done[task]++
	}
}

// Twice returns the tasks that ran twice at the same time.
func (l *RunLog) Twice() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.twice
}

// Starts returns how often the task was started, and how many of its runs ended done.
func (l *RunLog) Starts(task string) (starts, done int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts[task], l.done[task]
}
