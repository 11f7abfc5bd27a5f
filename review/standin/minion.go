package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// startupTime is how long a task that lasts takes until it is at work.
const startupTime = time.Second

// maxListedEnds is the number of ends that one answer lists.
const maxListedEnds = 500

// minion is a stand-in of a minion that follows the platform's page "Running tasks". All runs end "done"
// unless they are stopped or their lease expires.
type minion struct {
	record                     *record
	id, machine, zone, control string
	address                    string
	// kind is the first label.
	kind string
	// duration returns how long a run works.
	duration func(task string) time.Duration
	// log receives what runs on all minions.
	log *runLog
	// lasting is true for tasks that run until they are stopped.
	lasting func(task string) bool
	// onStop is called before a run is stopped by an order; nil for none.
	onStop func(task string, run uint64)
	// refuse returns a status other than 0 if a start is refused by an unhealthy minion.
	refuse func(task string) int

	mu        sync.Mutex
	startedAt time.Time
	sequence  int
	token     uint64
	leaseEnd  int64
	// expiredAt is when the lease last expired.
	expiredAt time.Time
	running   map[string]*taskRun
	// newest has the highest run that was stopped or has ended, by task.
	newest  map[string]uint64
	lastEnd uint64
	ended   []taskEnd
	// changed is closed and replaced when a run ends.
	changed   chan struct{}
	pollCount int
	server    *http.Server
	down      bool
}

type taskRun struct {
	run     uint64
	started time.Time
	endsAt  time.Time
	how     string
}

type taskEnd struct {
	number uint64
	task   string
	run    uint64
	how    string
	at     time.Time
}

func newMinion(rec *record, id, machine, zone, address, control string) *minion {
	return &minion{
		record: rec, id: id, machine: machine, zone: zone, kind: "a", address: address, control: control, startedAt: time.Now(), running: map[string]*taskRun{},
		newest: map[string]uint64{}, changed: make(chan struct{}), duration: func(string) time.Duration { return time.Second },
		refuse: func(string) int { return 0 }, lasting: func(string) bool { return false },
	}
}

// serve serves the minion at its address.
func (m *minion) serve() error {
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		return fmt.Errorf("listen for a minion: %w", err)
	}
	m.serveOn(l)
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			m.mu.Lock()
			m.advance()
			m.mu.Unlock()
		}
	}()
	return nil
}

// serveOn serves the minion's calls.
func (m *minion) serveOn(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", m.handle(m.start))
	mux.HandleFunc("POST /run-stop", m.handle(m.stop))
	mux.HandleFunc("POST /hold", m.handle(m.hold))
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	server := m.server
	go func() { _ = server.Serve(&limitedListener{Listener: l, free: make(chan struct{}, maxConnections)}) }()
}

// maxConnections is the number of connections that a minion has open at a time. Further ones wait.
const maxConnections = 64

// limitedListener accepts a connection only while fewer than cap(free) of those that it has accepted are open.
type limitedListener struct {
	net.Listener
	free chan struct{}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.free <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.free
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.free })}, nil
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// crash ends the minion with all that it runs. It starts again after the time, under its ID and with nothing of
// before.
func (m *minion) crash(down time.Duration) error {
	m.mu.Lock()
	m.record.write("minion %s crashes with %d runs", m.id, len(m.running))
	m.down = true
	for task, a := range m.running {
		m.log.lost(task, a.run)
	}
	m.running, m.newest, m.ended = map[string]*taskRun{}, map[string]uint64{}, nil
	m.token, m.leaseEnd, m.lastEnd = 0, 0, 0
	server := m.server
	m.mu.Unlock()
	_ = server.Close()
	time.Sleep(down)
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		return fmt.Errorf("listen again for a minion: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startedAt, m.sequence, m.down = time.Now(), 0, false
	m.serveOn(l)
	m.record.write("minion %s starts again", m.id)
	return nil
}

// reportLoop sends a status report each 1.5 s, and more often until the first one is confirmed.
func (m *minion) reportLoop() {
	client := http.Client{Timeout: time.Second}
	for {
		m.mu.Lock()
		if m.down {
			m.mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			continue
		}
		m.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": pool, "address": m.address, "zone": m.zone, "version": "v1", "capacity": 8, "state": "ready", "cold_left_ms": 0,
			"room": map[string]any{"cpu": 64000, "mem_mb": 262144, "gpus": 8}, "labels": []string{m.kind, "r-" + m.zone},
			"clock_ms": m.clock(), "sequence": m.sequence, "machine": m.machine, "born": m.startedAt.UnixMilli(),
		})
		m.mu.Unlock()
		r, _ := http.NewRequest(http.MethodPut, "http://"+m.control+"/instances/"+m.id, bytes.NewReader(body))
		r.Header.Set("Content-Type", "application/json")
		response, err := client.Do(r)
		pause := 1500 * time.Millisecond
		if err != nil {
			pause = 300 * time.Millisecond
		} else {
			_ = response.Body.Close()
		}
		time.Sleep(pause)
	}
}

func (m *minion) polls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pollCount
}

// clock returns the time on the minion's clock. The lock must be held.
func (m *minion) clock() int64 { return time.Since(m.startedAt).Milliseconds() + 1 }

type minionOrder struct {
	Task         string `json:"task"`
	RunID        uint64 `json:"run_id"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	SeenUpto     uint64 `json:"seen_upto"`
	WaitMS       int64  `json:"wait_ms"`
}

// handle decodes an order, checks the incarnation, and writes the answer of f, which is called with the lock held.
func (m *minion) handle(f func(r *http.Request, o minionOrder) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o minionOrder
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if id := r.Header.Get("Corianderpass-Expect-Instance"); id != "" && id != m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		m.mu.Lock()
		if m.down {
			m.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		m.advance()
		status, body := f(r, o)
		if body == nil {
			body = map[string]any{}
		}
		body["clock_ms"] = m.clock()
		m.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func refused(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// extendLease extends the lease, which applies to all runs. The lock must be held.
func (m *minion) extendLease(deadline int64) {
	m.leaseEnd = max(m.leaseEnd, min(deadline, m.clock()+maxLease.Milliseconds()))
}

func (m *minion) start(_ *http.Request, o minionOrder) (int, map[string]any) {
	if status := m.refuse(o.Task); status != 0 {
		m.record.write("minion %s answers %d to start %s/%d", m.id, status, o.Task, o.RunID)
		return status, nil
	}
	if o.FencingToken < m.token {
		return refused("fence")
	}
	m.token = o.FencingToken
	if a := m.running[o.Task]; a != nil && a.run == o.RunID {
		m.extendLease(o.DeadlineMS)
		return http.StatusOK, nil
	}
	if o.RunID <= m.newest[o.Task] {
		m.extendLease(o.DeadlineMS)
		m.record.write("minion %s answers old to start %s/%d", m.id, o.Task, o.RunID)
		return refused("old")
	}
	if o.DeadlineMS <= m.clock() {
		return refused("late")
	}
	m.extendLease(o.DeadlineMS)
	m.running[o.Task] = &taskRun{run: o.RunID, started: time.Now(), endsAt: time.Now().Add(m.duration(o.Task)), how: "done"}
	m.record.write("minion %s starts %s/%d", m.id, o.Task, o.RunID)
	m.log.start(m.id, o.Task, o.RunID)
	return http.StatusOK, nil
}

func (m *minion) stop(_ *http.Request, o minionOrder) (int, map[string]any) {
	if o.FencingToken < m.token {
		return refused("fence")
	}
	m.token = o.FencingToken
	m.newest[o.Task] = max(m.newest[o.Task], o.RunID)
	if a := m.running[o.Task]; a != nil && a.run == o.RunID && a.how != "stopped" {
		m.record.write("minion %s is told to stop %s/%d", m.id, o.Task, o.RunID)
		if m.onStop != nil {
			m.onStop(o.Task, o.RunID)
		}
		if at := time.Now().Add(stopTime); at.Before(a.endsAt) {
			a.endsAt, a.how = at, "stopped"
		}
	}
	return http.StatusOK, nil
}

func (m *minion) hold(r *http.Request, o minionOrder) (int, map[string]any) {
	m.pollCount++
	if o.FencingToken < m.token {
		return refused("fence")
	}
	m.token = o.FencingToken
	if o.DeadlineMS > 0 {
		m.extendLease(o.DeadlineMS)
	}
	for len(m.ended) > 0 && m.ended[0].number <= o.SeenUpto {
		e := m.ended[0]
		m.ended = m.ended[1:]
		// An end is not taken note of if the lease has expired since.
		if m.expiredAt.Before(e.at) {
			m.log.noted(m.id, e)
		}
	}
	deadline := time.NewTimer(time.Duration(o.WaitMS) * time.Millisecond)
	defer deadline.Stop()
	for waiting := o.WaitMS > 0; waiting && len(m.ended) == 0; m.advance() {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		m.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, a := range m.running {
		percent := 100 * float64(time.Since(a.started)) / float64(a.endsAt.Sub(a.started))
		if m.lasting(task) {
			percent = 100
			if time.Since(a.started) < startupTime {
				percent = 0
			}
		} else {
			percent = min(percent, 99)
		}
		running = append(running, []any{task, a.run, "", int(percent), 0})
	}
	for _, e := range m.ended[:min(len(m.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended, "born": m.startedAt.UnixMilli()}
}

// advance ends the runs whose time has come or whose lease has expired. The lock must be held.
func (m *minion) advance() {
	now := time.Now()
	expiry := m.startedAt.Add(time.Duration(m.leaseEnd) * time.Millisecond)
	if m.leaseEnd > 0 && expiry.Before(now) {
		m.expiredAt = expiry
	}
	for task, a := range m.running {
		at, how := a.endsAt, a.how
		if expiry.Before(at) {
			at, how = expiry, "lapsed"
		}
		if at.After(now) {
			continue
		}
		delete(m.running, task)
		m.newest[task] = max(m.newest[task], a.run)
		m.lastEnd++
		e := taskEnd{number: m.lastEnd, task: task, run: a.run, how: how, at: at}
		m.ended = append(m.ended, e)
		m.record.write("minion %s ends %s/%d %s, number %d", m.id, task, a.run, how, e.number)
		m.log.end(m.id, e)
		close(m.changed)
		m.changed = make(chan struct{})
	}
}
