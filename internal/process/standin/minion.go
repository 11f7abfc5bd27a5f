package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Minion is a backend server. It answers a request with its body, after the
// delay that the body asks for ("sleep 50ms ..."), and remembers what it ran. It
// is safe for concurrent use.
type Minion struct {
	// Delay is added to every request. Set it before use.
	Delay time.Duration

	mu sync.Mutex
	// runs counts the runs of each request by organisation and request ID, or by
	// dispatch where the caller gave no ID.
	runs   map[string]int
	faults MinionFaults
}

// MinionFaults are the failures of a minion that can be switched on.
type MinionFaults struct {
	// Fail answers every request with status 500 at once.
	Fail bool
	// CloseConnection closes the connection after the request has run.
	CloseConnection bool
}

// SetFaults replaces the faults.
func (m *Minion) SetFaults(f MinionFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Runs returns how often each request ran.
func (m *Minion) Runs() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	runs := make(map[string]int, len(m.runs))
	for k, n := range m.runs {
		runs[k] = n
	}
	return runs
}

// record notes a run and returns the faults in force.
func (m *Minion) record(r *http.Request) MinionFaults {
	key := r.Header.Get("Corianderpass-Request")
	if key == "" {
		key = r.Header.Get("Corianderpass-Dispatch")
	}
	key = r.Header.Get("Corianderpass-Organisation") + "/" + key
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runs == nil {
		m.runs = map[string]int{}
	}
	m.runs[key]++
	return m.faults
}

// Handler returns the HTTP interface: every path is a service, but for /runs.
func (m *Minion) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(m.Runs())
	})
	mux.HandleFunc("POST /", m.serve)
	return mux
}

func (m *Minion) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	faults := m.record(r)
	if faults.Fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// A backend server does not stop because the caller went away.
	_ = sleep(context.WithoutCancel(r.Context()), m.Delay+delayOf(body))
	if faults.CloseConnection {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "answer to %s", body)
}

// delayOf reads the delay that a body asks for.
func delayOf(body []byte) time.Duration {
	words := strings.Fields(string(body))
	if len(words) < 2 || words[0] != "sleep" {
		return 0
	}
	d, err := time.ParseDuration(words[1])
	if err != nil {
		return 0
	}
	return d
}

// Announcement is what a minion tells its agent.
type Announcement struct {
	Service     string
	Address     string
	Slots       int
	Connections int
	Leaving     bool
}

// announceEvery is the time between two announcements.
const announceEvery = time.Second

// Announce tells the agent at the address about the minion until the context
// ends; then it tells that the minion is leaving.
func Announce(ctx context.Context, agent string, a Announcement) error {
	tick := time.NewTicker(announceEvery)
	defer tick.Stop()
	for {
		// An agent that is not up yet hears the next announcement.
		_ = announceOnce(ctx, agent, a)
		select {
		case <-ctx.Done():
			a.Leaving = true
			return announceOnce(context.WithoutCancel(ctx), agent, a)
		case <-tick.C:
		}
	}
}

func announceOnce(ctx context.Context, agent string, a Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, announceEvery)
	defer cancel()
	data, err := json.Marshal(a)
	if err != nil {
		return fmt.Errorf("standin: encode announcement: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+agent+"/v1/minion", bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("standin: build announcement: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("standin: announce: %w", err)
	}
	return response.Body.Close()
}
