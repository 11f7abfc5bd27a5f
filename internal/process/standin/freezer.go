package standin

import (
	"context"
	"sync"
	"time"

	"corianderpass/pkg/platform"
)

// Freezer simulates a long pause of a process. Every call to the platform through the
// freezer blocks while it is frozen and continues when it thaws. The zero value is
// thawed; it is safe for concurrent use.
type Freezer struct {
	mu sync.Mutex
	// thaw is closed at the end of the freeze; nil means thawed.
	thaw chan struct{}
}

// Freeze blocks calls from now on.
func (f *Freezer) Freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.thaw == nil {
		f.thaw = make(chan struct{})
	}
}

// Thaw lets the blocked calls continue.
func (f *Freezer) Thaw() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.thaw != nil {
		close(f.thaw)
		f.thaw = nil
	}
}

// wait blocks while frozen. It ignores contexts: a paused process does not notice that
// its deadlines pass.
func (f *Freezer) wait() {
	f.mu.Lock()
	thaw := f.thaw
	f.mu.Unlock()
	if thaw != nil {
		<-thaw
	}
}

// Log returns a log whose calls block while the freezer is frozen.
func (f *Freezer) Log(log platform.Log) platform.Log { return frozenLog{f, log} }

type frozenLog struct {
	*Freezer
	log platform.Log
}

func (l frozenLog) Append(ctx context.Context, s platform.Stream, payload []byte) (platform.Offset, error) {
	l.wait()
	return l.log.Append(ctx, s, payload)
}

func (l frozenLog) Read(ctx context.Context, s platform.Stream, from platform.Offset, limit int, wait time.Duration) ([]platform.LogRecord, error) {
	l.wait()
	records, err := l.log.Read(ctx, s, from, limit, wait)
	l.wait()
	return records, err
}

func (l frozenLog) Span(ctx context.Context, s platform.Stream) (platform.Span, error) {
	l.wait()
	return l.log.Span(ctx, s)
}

// Workers returns workers whose calls Acquire, Start, Renew and Release block while
// the freezer is frozen.
func (f *Freezer) Workers(w platform.Workers) platform.Workers { return frozenWorkers{f, w} }

type frozenWorkers struct {
	*Freezer
	platform.Workers
}

func (w frozenWorkers) Acquire(ctx context.Context, id platform.WorkerID, lease platform.Lease) error {
	w.wait()
	return w.Workers.Acquire(ctx, id, lease)
}

func (w frozenWorkers) Start(ctx context.Context, id platform.WorkerID, lease platform.LeaseID, epoch platform.Epoch, task platform.Task) error {
	w.wait()
	return w.Workers.Start(ctx, id, lease, epoch, task)
}

func (w frozenWorkers) Renew(ctx context.Context, id platform.WorkerID, renewals []platform.Renewal) ([]platform.TaskReport, error) {
	w.wait()
	return w.Workers.Renew(ctx, id, renewals)
}

func (w frozenWorkers) Release(ctx context.Context, id platform.WorkerID, lease platform.LeaseID, epoch platform.Epoch) error {
	w.wait()
	return w.Workers.Release(ctx, id, lease, epoch)
}
