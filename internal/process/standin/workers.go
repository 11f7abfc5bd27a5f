package standin

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"corianderpass/pkg/platform"
)

// usageLag is how late a task's use is reported.
const usageLag = 5 * time.Second

// Workers is an in-memory set of workers. It is safe for concurrent use.
//
// A task's command is "work DURATION", "fail DURATION" or "use CORES MEGABYTES
// DURATION"; anything else works for a second.
type Workers struct {
	mu      sync.Mutex
	workers map[platform.WorkerID]*worker
	// renewals counts the calls of Renew.
	renewals int
}

// Renewals returns the number of renewal calls since the start.
func (w *Workers) Renewals() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.renewals
}

// WorkerFaults are the failures of a worker that can be switched on.
type WorkerFaults struct {
	// Away makes the worker answer no call; its tasks go on until their leases lapse.
	Away bool
	// FailTasks ends every task with an error as soon as it is started.
	FailTasks bool
	// LoseAnswers lets calls take effect and then fail.
	LoseAnswers bool
	// Gone removes the worker from the list and kills its tasks.
	Gone bool
}

type worker struct {
	platform.Worker
	faults WorkerFaults
	leases map[platform.LeaseID]*heldLease
	// fences has the highest epoch seen for each lease, also after its end.
	fences map[platform.LeaseID]platform.Epoch
}

type heldLease struct {
	platform.Lease
	lapses time.Time
	state  platform.TaskState
	task   platform.Task
	// progress was reached at the moment since.
	progress time.Duration
	since    time.Time
	kept     time.Duration
	share    float64
	plan     plan
}

// plan is what a command asks a simulated task to do.
type plan struct {
	length time.Duration
	fails  bool
	// cores and memory are what it uses; 0 means what it claimed.
	cores  platform.Cores
	memory platform.Megabytes
}

func parsePlan(command string) plan {
	p := plan{length: time.Second}
	words := strings.Fields(command)
	if len(words) == 0 {
		return p
	}
	if d, err := time.ParseDuration(words[len(words)-1]); err == nil {
		p.length = d
	}
	p.fails = words[0] == "fail"
	if words[0] == "use" && len(words) == 4 {
		_, _ = fmt.Sscan(words[1], &p.cores)
		_, _ = fmt.Sscan(words[2], &p.memory)
	}
	return p
}

// NewWorkers returns the workers described.
func NewWorkers(described ...platform.Worker) *Workers {
	w := &Workers{workers: map[platform.WorkerID]*worker{}}
	for _, d := range described {
		w.Add(d)
	}
	return w
}

// Add adds a worker, or replaces one by an empty one.
func (w *Workers) Add(d platform.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[d.ID] = &worker{
		Worker: d,
		leases: map[platform.LeaseID]*heldLease{},
		fences: map[platform.LeaseID]platform.Epoch{},
	}
}

// SetFaults replaces the faults of a worker. It reports whether there is such a worker.
func (w *Workers) SetFaults(id platform.WorkerID, f WorkerFaults) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	m, known := w.workers[id]
	if !known {
		return false
	}
	m.faults = f
	if f.Gone {
		m.leases = map[platform.LeaseID]*heldLease{}
	}
	return true
}

// Running is one task that runs at the moment.
type Running struct {
	Worker platform.WorkerID
	Lease  platform.LeaseID
	Epoch  platform.Epoch
	Claim  platform.Claim
}

// Running returns the tasks that run now, in order.
func (w *Workers) Running() []Running {
	w.mu.Lock()
	defer w.mu.Unlock()
	var running []Running
	now := time.Now()
	for id, m := range w.workers {
		m.refresh(now)
		for _, l := range m.leases {
			if l.state == platform.TaskRunning {
				running = append(running, Running{Worker: id, Lease: l.ID, Epoch: l.Epoch, Claim: l.Claim})
			}
		}
	}
	sort.Slice(running, func(i, j int) bool { return running[i].Lease < running[j].Lease })
	return running
}

// List returns the workers of a region.
func (w *Workers) List(_ context.Context, region platform.Region) ([]platform.Worker, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []platform.Worker
	for _, m := range w.workers {
		if m.Region == region && !m.faults.Gone {
			list = append(list, m.Worker)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list, nil
}

// on calls f for an answering worker. The lock is held during f.
func (w *Workers) on(id platform.WorkerID, f func(m *worker, now time.Time) error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	m, known := w.workers[id]
	if !known || m.faults.Away || m.faults.Gone {
		return platform.ErrWorkerAway
	}
	now := time.Now()
	m.refresh(now)
	err := f(m, now)
	if m.faults.LoseAnswers {
		return platform.ErrWorkerAway
	}
	return err
}

// refresh ends lapsed leases and finished tasks.
func (m *worker) refresh(now time.Time) {
	for id, l := range m.leases {
		if !now.Before(l.lapses) {
			delete(m.leases, id)
			continue
		}
		l.refresh(now)
	}
}

func (l *heldLease) refresh(now time.Time) {
	if l.state != platform.TaskRunning {
		return
	}
	l.progress += time.Duration(float64(now.Sub(l.since)) * l.share)
	l.since = now
	if l.progress < l.plan.length {
		return
	}
	l.progress = l.plan.length
	l.state = platform.TaskSucceeded
	if l.plan.fails {
		l.state = platform.TaskFailed
	}
}

// fence refuses lower epochs than one seen before.
func (m *worker) fence(id platform.LeaseID, epoch platform.Epoch) error {
	if epoch < m.fences[id] {
		return platform.ErrFenced
	}
	m.fences[id] = epoch
	return nil
}

// Acquire takes or adopts a lease.
func (w *Workers) Acquire(_ context.Context, id platform.WorkerID, lease platform.Lease) error {
	return w.on(id, func(m *worker, now time.Time) error {
		if err := m.fence(lease.ID, lease.Epoch); err != nil {
			return err
		}
		if held := m.leases[lease.ID]; held != nil {
			held.Epoch = lease.Epoch
			held.lapses = now.Add(lease.Life)
			return nil
		}
		for _, other := range m.leases {
			if other.Claim.Accelerators&lease.Claim.Accelerators != 0 {
				return platform.ErrTaken
			}
		}
		m.leases[lease.ID] = &heldLease{Lease: lease, lapses: now.Add(lease.Life), state: platform.TaskHeld, share: 1}
		return nil
	})
}

// held returns the lease if the epoch may act on it.
func (m *worker) held(id platform.LeaseID, epoch platform.Epoch) (*heldLease, error) {
	if err := m.fence(id, epoch); err != nil {
		return nil, err
	}
	l := m.leases[id]
	if l == nil || l.Epoch != epoch {
		return nil, platform.ErrNoLease
	}
	return l, nil
}

// Start starts the task of a held lease.
func (w *Workers) Start(_ context.Context, id platform.WorkerID, lease platform.LeaseID, epoch platform.Epoch, task platform.Task) error {
	return w.on(id, func(m *worker, now time.Time) error {
		l, err := m.held(lease, epoch)
		if err != nil {
			return err
		}
		if l.state != platform.TaskHeld {
			return nil
		}
		l.state = platform.TaskRunning
		l.task = task
		l.progress = task.Resume
		l.kept = task.Resume
		l.since = now
		l.plan = parsePlan(task.Command)
		if m.faults.FailTasks {
			l.state = platform.TaskFailed
		}
		return nil
	})
}

// Renew prolongs leases and reports on them.
func (w *Workers) Renew(_ context.Context, id platform.WorkerID, renewals []platform.Renewal) ([]platform.TaskReport, error) {
	var reports []platform.TaskReport
	err := w.on(id, func(m *worker, now time.Time) error {
		w.renewals++
		for _, r := range renewals {
			report := platform.TaskReport{ID: r.ID, State: platform.TaskGone}
			if l, err := m.held(r.ID, r.Epoch); err == nil {
				l.lapses = now.Add(r.Life)
				report.State = l.state
				report.Progress = l.kept
			}
			if report.State == platform.TaskFailed {
				report.Error = "task failed"
			}
			reports = append(reports, report)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return reports, nil
}

// Checkpoint keeps a task's progress.
func (w *Workers) Checkpoint(_ context.Context, id platform.WorkerID, lease platform.LeaseID, epoch platform.Epoch) (time.Duration, error) {
	var kept time.Duration
	err := w.on(id, func(m *worker, _ time.Time) error {
		l, err := m.held(lease, epoch)
		if err != nil {
			return err
		}
		l.kept = l.progress
		kept = l.kept
		return nil
	})
	return kept, err
}

// Throttle limits a running task.
func (w *Workers) Throttle(_ context.Context, id platform.WorkerID, lease platform.LeaseID, epoch platform.Epoch, share float64) error {
	return w.on(id, func(m *worker, _ time.Time) error {
		l, err := m.held(lease, epoch)
		if err != nil {
			return err
		}
		l.share = min(1, max(0, share))
		return nil
	})
}

// Release stops the task and gives the lease back.
func (w *Workers) Release(_ context.Context, id platform.WorkerID, lease platform.LeaseID, epoch platform.Epoch) error {
	return w.on(id, func(m *worker, _ time.Time) error {
		if err := m.fence(lease, epoch); err != nil {
			return err
		}
		delete(m.leases, lease)
		return nil
	})
}

// Usage returns what tasks use, for tasks that run longer than the lag.
func (w *Workers) Usage(_ context.Context, region platform.Region) ([]platform.Usage, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var usage []platform.Usage
	now := time.Now()
	for _, m := range w.workers {
		if m.Region != region || m.faults.Away || m.faults.Gone {
			continue
		}
		m.refresh(now)
		for _, l := range m.leases {
			if l.state == platform.TaskRunning && l.progress >= usageLag {
				usage = append(usage, l.usage())
			}
		}
	}
	sort.Slice(usage, func(i, j int) bool { return usage[i].ID < usage[j].ID })
	return usage, nil
}

// usage returns what a task uses, throttled as it is.
func (l *heldLease) usage() platform.Usage {
	u := platform.Usage{ID: l.ID, Cores: l.Claim.Cores, Memory: l.Claim.Memory}
	if l.plan.cores > 0 {
		u.Cores = platform.Cores(float64(l.plan.cores) * l.share)
	}
	if l.plan.memory > 0 {
		u.Memory = l.plan.memory
	}
	return u
}
