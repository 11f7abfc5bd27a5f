package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"corianderpass/internal/connection/remote"
	"corianderpass/pkg/platform"
)

// Platform serves a log and workers over HTTP, and switches their faults. Both fields
// must be set.
type Platform struct {
	Log     *Log
	Workers *Workers
}

// FaultsCall is the body of a call to /faults, which replaces the faults of the log,
// of one worker or of both. Fields that are left out change nothing.
type FaultsCall struct {
	Log *LogFaults `json:",omitempty"`
	// Worker names the worker that gets Faults.
	Worker platform.WorkerID `json:",omitempty"`
	Faults *WorkerFaults     `json:",omitempty"`
}

// maxBody is the largest body of a call, in bytes.
const maxBody = 64 << 20

// Handler returns the HTTP handler for the paths of package remote, /faults and
// /running.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, remote.PathAppend, func(ctx context.Context, q remote.AppendCall) (platform.Offset, error) {
		return p.Log.Append(ctx, q.Stream, q.Payload)
	})
	handle(mux, remote.PathRead, func(ctx context.Context, q remote.ReadCall) ([]platform.LogRecord, error) {
		return p.Log.Read(ctx, q.Stream, q.From, q.Limit, q.Wait)
	})
	handle(mux, remote.PathSpan, func(ctx context.Context, q remote.SpanCall) (platform.Span, error) {
		return p.Log.Span(ctx, q.Stream)
	})
	p.handleWorkers(mux)
	handle(mux, "/faults", p.setFaults)
	handle(mux, "/running", func(context.Context, struct{}) ([]Running, error) {
		return p.Workers.Running(), nil
	})
	return mux
}

func (p *Platform) handleWorkers(mux *http.ServeMux) {
	w := p.Workers
	handle(mux, remote.PathList, func(ctx context.Context, q remote.RegionCall) ([]platform.Worker, error) {
		return w.List(ctx, q.Region)
	})
	handle(mux, remote.PathAcquire, func(ctx context.Context, q remote.WorkerCall) (remote.Empty, error) {
		if q.Lease == nil {
			return remote.Empty{}, platform.ErrNoLease
		}
		return remote.Empty{}, w.Acquire(ctx, q.Worker, *q.Lease)
	})
	handle(mux, remote.PathStart, func(ctx context.Context, q remote.WorkerCall) (remote.Empty, error) {
		if q.Task == nil {
			return remote.Empty{}, platform.ErrNoLease
		}
		return remote.Empty{}, w.Start(ctx, q.Worker, q.ID, q.Epoch, *q.Task)
	})
	handle(mux, remote.PathRenew, func(ctx context.Context, q remote.WorkerCall) ([]platform.TaskReport, error) {
		return w.Renew(ctx, q.Worker, q.Renewals)
	})
	handle(mux, remote.PathCheckpoint, func(ctx context.Context, q remote.WorkerCall) (time.Duration, error) {
		return w.Checkpoint(ctx, q.Worker, q.ID, q.Epoch)
	})
	handle(mux, remote.PathThrottle, func(ctx context.Context, q remote.WorkerCall) (remote.Empty, error) {
		return remote.Empty{}, w.Throttle(ctx, q.Worker, q.ID, q.Epoch, q.Share)
	})
	handle(mux, remote.PathRelease, func(ctx context.Context, q remote.WorkerCall) (remote.Empty, error) {
		return remote.Empty{}, w.Release(ctx, q.Worker, q.ID, q.Epoch)
	})
	handle(mux, remote.PathUsage, func(ctx context.Context, q remote.RegionCall) ([]platform.Usage, error) {
		return w.Usage(ctx, q.Region)
	})
}

// setFaults replaces the faults that the call contains. It returns
// platform.ErrWorkerAway for an unknown worker.
func (p *Platform) setFaults(_ context.Context, q FaultsCall) (remote.Empty, error) {
	if q.Log != nil {
		p.Log.SetFaults(*q.Log)
	}
	if q.Faults != nil && !p.Workers.SetFaults(q.Worker, *q.Faults) {
		return remote.Empty{}, platform.ErrWorkerAway
	}
	return remote.Empty{}, nil
}

// handle serves an operation at the path: it decodes the call from JSON and encodes
// the answer, or a remote.Failure if f returns an error.
func handle[Q, A any](mux *http.ServeMux, path remote.Path, f func(context.Context, Q) (A, error)) {
	mux.HandleFunc("POST "+string(path), func(w http.ResponseWriter, r *http.Request) {
		var call Q
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&call); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			_ = json.NewEncoder(w).Encode(remote.Failure{Code: "Malformed", Message: err.Error()})
			return
		}
		answer, err := f(r.Context(), call)
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(remote.Failure{Code: remote.CodeOf(err), Message: err.Error()})
			return
		}
		_ = json.NewEncoder(w).Encode(answer)
	})
}
