package standin

import (
	"context"
	"sync"
	"time"

	"corianderpass/pkg/platform"
)

// Freezer stands between a process and the platform. While frozen, as in a long
// pause of the process, every call waits; calls go on when it thaws. The zero
// value is thawed.
type Freezer struct {
	mu   sync.Mutex
	thaw chan struct{}
}

// Freeze makes calls wait.
func (f *Freezer) Freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.thaw == nil {
		f.thaw = make(chan struct{})
	}
}

// Thaw lets calls go on.
func (f *Freezer) Thaw() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.thaw != nil {
		close(f.thaw)
		f.thaw = nil
	}
}

// pass waits while frozen. A frozen process does not see its deadlines pass.
func (f *Freezer) pass() {
	f.mu.Lock()
	thaw := f.thaw
	f.mu.Unlock()
	if thaw != nil {
		<-thaw
	}
}

// Log returns the log as seen through the freezer.
func (f *Freezer) Log(log platform.Log) platform.Log { return frozenLog{f, log} }

type frozenLog struct {
	*Freezer
	log platform.Log
}

func (l frozenLog) Append(ctx context.Context, s platform.Stream, payload []byte) (platform.Offset, error) {
	l.pass()
	return l.log.Append(ctx, s, payload)
}

func (l frozenLog) Read(ctx context.Context, s platform.Stream, from platform.Offset, limit int, wait time.Duration) ([]platform.LogRecord, error) {
	l.pass()
	records, err := l.log.Read(ctx, s, from, limit, wait)
	l.pass()
	return records, err
}

func (l frozenLog) Span(ctx context.Context, s platform.Stream) (platform.Span, error) {
	l.pass()
	return l.log.Span(ctx, s)
}

// Workers returns the workers as seen through the freezer.
func (f *Freezer) Workers(w platform.Workers) platform.Workers { return frozenWorkers{f, w} }

type frozenWorkers struct {
	*Freezer
	platform.Workers
}

func (w frozenWorkers) Acquire(ctx context.Context, id platform.WorkerID, lease platform.Lease) error {
	w.pass()
	return w.Workers.Acquire(ctx, id, lease)
}

func (w frozenWorkers) Start(ctx context.Context, id platform.WorkerID, lease platform.LeaseID, epoch platform.Epoch, task platform.Task) error {
	w.pass()
	return w.Workers.Start(ctx, id, lease, epoch, task)
}

func (w frozenWorkers) Renew(ctx context.Context, id platform.WorkerID, renewals []platform.Renewal) ([]platform.TaskReport, error) {
	w.pass()
	return w.Workers.Renew(ctx, id, renewals)
}

func (w frozenWorkers) Release(ctx context.Context, id platform.WorkerID, lease platform.LeaseID, epoch platform.Epoch) error {
	w.pass()
	return w.Workers.Release(ctx, id, lease, epoch)
}
