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

// Minion simulates a backend server. It answers each request with "answer to " and the
// request's body, after the delay that the body asks for ("sleep 50ms ..."), and counts
// how often each request ran. It is safe for concurrent use.
type Minion struct {
	// Delay is added to the delay that the body of a request asks for. Set it before use.
	Delay time.Duration

	mu sync.Mutex
	// runs counts the runs of each request by organisation and request ID, or by
	// organisation and dispatch if the caller gave no ID.
	runs   map[string]int
	faults MinionFaults
}

// MinionFaults are the faults of a minion that a test can switch on.
type MinionFaults struct {
	// Fail makes the minion answer every request with status 500 at once. The request
	// counts as run.
	Fail bool
	// CloseConnection makes the minion close the connection without an answer after
	// the request has run.
	CloseConnection bool
}

// SetFaults replaces the faults.
func (m *Minion) SetFaults(f MinionFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Runs returns how often each request ran, by "organisation/request ID" or
// "organisation/dispatch".
func (m *Minion) Runs() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	runs := make(map[string]int, len(m.runs))
	for k, n := range m.runs {
		runs[k] = n
	}
	return runs
}

// recordRun counts a run of the request and returns the current faults.
func (m *Minion) recordRun(r *http.Request) MinionFaults {
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

// Handler returns the HTTP handler. GET /runs returns Runs as JSON; a POST to any path
// runs a request.
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
	faults := m.recordRun(r)
	if faults.Fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// A backend server goes on with a request whose caller has disconnected.
	_ = sleep(context.WithoutCancel(r.Context()), m.Delay+requestedDelay(body))
	if faults.CloseConnection {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "answer to %s", body)
}

// requestedDelay returns the delay that a body asks for, 0 if none.
func requestedDelay(body []byte) time.Duration {
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

// Announcement is what a minion sends to its agent, as JSON.
type Announcement struct {
	Service string
	// Address is where the minion serves requests.
	Address string
	// Slots is the number of requests that the minion serves at a time, Connections the
	// number of connections that it accepts.
	Slots       int
	Connections int
	// Leaving is true in the last announcement.
	Leaving bool
}

// announceInterval is the time between two announcements.
const announceInterval = time.Second

// Announce sends the announcement to the agent at the address every second until the
// context ends. Then it announces that the minion is leaving and returns the error of
// that last call.
func Announce(ctx context.Context, agent string, a Announcement) error {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		// The error is ignored: an agent that has not started yet gets a later
		// announcement.
		_ = announceOnce(ctx, agent, a)
		select {
		case <-ctx.Done():
			a.Leaving = true
			return announceOnce(context.WithoutCancel(ctx), agent, a)
		case <-tick.C:
		}
	}
}

// announceOnce sends one announcement. The agent's status code is ignored.
func announceOnce(ctx context.Context, agent string, a Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, announceInterval)
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
