package entry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/urfave/negroni/v3"

	"corianderpass/internal/connection/caller"
	"corianderpass/internal/process/ledger"
)

// registerMetrics registers the gauges and the observer of ended jobs.
func (e *Entry) registerMetrics() {
	gauge := func(name string, f func() float64) { e.metrics.NewGauge("corianderpass_"+name, f) }
	gauge("bundle_version", func() float64 {
		if current := e.register.Current(); current != nil {
			return float64(current.Version)
		}
		return 0
	})
	gauge("ledger_offset", func() float64 { return float64(e.ledger.Offset()) })
	gauge("ledger_down", func() float64 {
		if e.ledger.Down() {
			return 1
		}
		return 0
	})
	gauge("guarantee_slots_without_place", func() float64 { return float64(e.shortfall.Load()) })
	gauge("driven_gangs", func() float64 { return float64(e.driver.ActiveGangs()) })
	gauge("waiting_requests", func() float64 { return float64(e.gate.Waiting()) })
	gauge("living_processes", func() float64 { return float64(len(e.directory.Alive())) })
	e.state.OnJobEnd(e.observeJobEnd)
}

// countRetry counts a retry of a request.
func (e *Entry) countRetry(c caller.Call) {
	e.metrics.GetOrCreateCounter(fmt.Sprintf(`corianderpass_retries_total{organisation=%q}`, c.Organisation.Name)).Inc()
}

// observeJobEnd adds an ended job's time from submission to start and from submission to end
// to the metrics. It is called under the ledger's lock.
func (e *Entry) observeJobEnd(j *ledger.Job) {
	labels := fmt.Sprintf(`{organisation=%q,class=%q,outcome=%q}`, j.ID.Organisation(), j.Class, j.Outcome)
	e.metrics.GetOrCreateHistogram("corianderpass_job_completion_seconds" + labels).Update(j.Ended.Sub(j.Submitted).Seconds())
	if !j.Started.IsZero() {
		e.metrics.GetOrCreateHistogram("corianderpass_job_wait_seconds" + labels).Update(j.Started.Sub(j.Submitted).Seconds())
	}
}

// adminHandler returns the HTTP handler of metrics, liveness and readiness.
func (e *Entry) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		e.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "alive since", e.startedAt.Format(time.RFC3339))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if ready, reason := e.Ready(); !ready {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	n := negroni.New(negroni.NewRecovery())
	n.UseHandler(mux)
	return n
}
