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

// usageLag is the progress that a task must have made before its usage is reported. It
// simulates the delay of the usage reports of a platform.
const usageLag = 5 * time.Second

// Workers is an in-memory set of workers that simulate their tasks. It is safe for
// concurrent use.
//
// The command of a task says what it does: "work DURATION" succeeds and "fail DURATION"
// fails after this duration; "crash DURATION" makes the worker lose all its leases and tasks as the task
// starts, and be away for this duration; "use CORES MEGABYTES DURATION" succeeds after it and is
// reported to use these cores and this memory. Any other command succeeds after a
// second.
type Workers struct {
	mu      sync.Mutex
	workers map[platform.WorkerID]*worker
	// renewals counts the calls of Renew that reached a worker.
	renewals int
	// crashes counts the workers that crashed under a task.
	crashes int
}

// Crash makes a worker lose all its leases and tasks.
func (w *Workers) Crash(id platform.WorkerID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[id].leases = map[platform.LeaseID]*heldLease{}
}

// Crashes returns the number of times that a worker crashed under a task.
func (w *Workers) Crashes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashes
}

// Renewals returns the number of calls of Renew that reached a worker.
func (w *Workers) Renewals() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.renewals
}

// WorkerFaults are the faults of a worker that a test can switch on.
type WorkerFaults struct {
	// Away makes every call to the worker fail; its tasks go on until their leases
	// expire.
	Away bool
	// FailTasks makes every task fail as soon as it is started.
	FailTasks bool
	// LoseAnswers makes calls take effect and then fail with platform.ErrWorkerAway.
	LoseAnswers bool
	// Gone removes the worker from the list and ends its leases and tasks.
	Gone bool
}

// worker is a worker with its faults and leases.
type worker struct {
	platform.Worker
	faults WorkerFaults
	// awayUntil is when the worker is back after a crash.
	awayUntil time.Time
	leases    map[platform.LeaseID]*heldLease
	// highestEpochs has the highest epoch seen for each lease, also after its end.
	highestEpochs map[platform.LeaseID]platform.Epoch
}

// heldLease is a lease and the simulated task under it.
type heldLease struct {
	platform.Lease
	expiresAt time.Time
	state     platform.TaskState
	task      platform.Task
	// progress is the work done up to since; it grows by share of the time that
	// passes.
	progress time.Duration
	since    time.Time
	// saved is the progress at the last checkpoint, or the progress that the task
	// resumed from.
	saved time.Duration
	// share is the rate of progress, 0 to 1, set by Throttle.
	share float64
	plan  plan
}

// plan is what the command of a simulated task asks for.
type plan struct {
	length  time.Duration
	fails   bool
	crashes bool
	// cores and memory are what the task is reported to use; 0 means as much as its
	// lease claims.
	cores  platform.Cores
	memory platform.Megabytes
}

// parsePlan returns the plan of a command.
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
	p.crashes = words[0] == "crash"
	if words[0] == "use" && len(words) == 4 {
		_, _ = fmt.Sscan(words[1], &p.cores)
		_, _ = fmt.Sscan(words[2], &p.memory)
	}
	return p
}

// NewWorkers returns a set of the workers described, all without leases.
func NewWorkers(list ...platform.Worker) *Workers {
	w := &Workers{workers: map[platform.WorkerID]*worker{}}
	for _, d := range list {
		w.Add(d)
	}
	return w
}

// Add adds a worker without leases. It replaces a worker with the same ID.
func (w *Workers) Add(d platform.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[d.ID] = &worker{
		Worker:        d,
		leases:        map[platform.LeaseID]*heldLease{},
		highestEpochs: map[platform.LeaseID]platform.Epoch{},
	}
}

// SetFaults replaces the faults of a worker. It reports whether the worker exists.
func (w *Workers) SetFaults(id platform.WorkerID, f WorkerFaults) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	wk, known := w.workers[id]
	if !known {
		return false
	}
	wk.faults = f
	if f.Gone {
		wk.leases = map[platform.LeaseID]*heldLease{}
	}
	return true
}

// Running is a task that is running on a worker.
type Running struct {
	Worker platform.WorkerID
	Lease  platform.LeaseID
	Epoch  platform.Epoch
	Claim  platform.Claim
}

// Running returns the tasks that are running now, in the order of their leases.
func (w *Workers) Running() []Running {
	w.mu.Lock()
	defer w.mu.Unlock()
	var running []Running
	now := time.Now()
	for id, wk := range w.workers {
		wk.refresh(now)
		for _, l := range wk.leases {
			if l.state == platform.TaskRunning {
				running = append(running, Running{Worker: id, Lease: l.ID, Epoch: l.Epoch, Claim: l.Claim})
			}
		}
	}
	sort.Slice(running, func(i, j int) bool { return running[i].Lease < running[j].Lease })
	return running
}

// List returns the workers of a region, in the order of their IDs.
func (w *Workers) List(_ context.Context, region platform.Region) ([]platform.Worker, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []platform.Worker
	for _, wk := range w.workers {
		if wk.Region == region && !wk.faults.Gone {
			list = append(list, wk.Worker)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list, nil
}

// withWorker calls f with the worker and the current time, and returns the error of f.
// It returns platform.ErrWorkerAway without calling f if the worker is unknown, has
// crashed or has the fault Away or Gone, and after calling f if it has the fault LoseAnswers. The lock
// is held during f.
func (w *Workers) withWorker(id platform.WorkerID, f func(wk *worker, now time.Time) error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	wk, known := w.workers[id]
	now := time.Now()
	if !known || wk.faults.Away || wk.faults.Gone || now.Before(wk.awayUntil) {
		return platform.ErrWorkerAway
	}
	wk.refresh(now)
	err := f(wk, now)
	if wk.faults.LoseAnswers {
		return platform.ErrWorkerAway
	}
	return err
}

// refresh removes expired leases and updates the progress of tasks.
func (wk *worker) refresh(now time.Time) {
	for id, l := range wk.leases {
		if !now.Before(l.expiresAt) {
			delete(wk.leases, id)
			continue
		}
		l.refresh(now)
	}
}

// refresh updates the progress of a running task and ends it when it is done.
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

// checkEpoch returns platform.ErrFenced for an epoch below the highest one seen for
// the lease.
func (wk *worker) checkEpoch(id platform.LeaseID, epoch platform.Epoch) error {
	if epoch < wk.highestEpochs[id] {
		return platform.ErrFenced
	}
	wk.highestEpochs[id] = epoch
	return nil
}

// Acquire creates a lease, or renews an existing one for the new epoch. It returns
// platform.ErrTaken if another lease claims one of the accelerators.
func (w *Workers) Acquire(_ context.Context, id platform.WorkerID, lease platform.Lease) error {
	return w.withWorker(id, func(wk *worker, now time.Time) error {
		if err := wk.checkEpoch(lease.ID, lease.Epoch); err != nil {
			return err
		}
		if held := wk.leases[lease.ID]; held != nil {
			held.Epoch = lease.Epoch
			held.expiresAt = now.Add(lease.Life)
			return nil
		}
		for _, other := range wk.leases {
			if other.Claim.Accelerators&lease.Claim.Accelerators != 0 {
				return platform.ErrTaken
			}
		}
		wk.leases[lease.ID] = &heldLease{Lease: lease, expiresAt: now.Add(lease.Life), state: platform.TaskHeld, share: 1}
		return nil
	})
}

// leaseOf returns the lease with the ID. It returns platform.ErrFenced for an epoch
// below the highest one seen for the lease, and platform.ErrNoLease if there is no
// lease or it has another epoch.
func (wk *worker) leaseOf(id platform.LeaseID, epoch platform.Epoch) (*heldLease, error) {
	if err := wk.checkEpoch(id, epoch); err != nil {
		return nil, err
	}
	l := wk.leases[id]
	if l == nil || l.Epoch != epoch {
		return nil, platform.ErrNoLease
	}
	return l, nil
}

// Start starts the task of a lease. It does nothing if the task was started before.
func (w *Workers) Start(_ context.Context, id platform.WorkerID, lease platform.LeaseID, epoch platform.Epoch, task platform.Task) error {
	return w.withWorker(id, func(wk *worker, now time.Time) error {
		l, err := wk.leaseOf(lease, epoch)
		if err != nil {
			return err
		}
		if l.state != platform.TaskHeld {
			return nil
		}
		l.state = platform.TaskRunning
		l.task = task
		l.progress = task.Resume
		l.saved = task.Resume
		l.since = now
		l.plan = parsePlan(task.Command)
		if wk.faults.FailTasks {
			l.state = platform.TaskFailed
		}
		if l.plan.crashes {
			w.crashes++
			wk.leases = map[platform.LeaseID]*heldLease{}
			wk.awayUntil = now.Add(l.plan.length)
		}
		return nil
	})
}

// Renew renews leases and reports on their tasks. A lease that is unknown or belongs
// to another epoch is reported as platform.TaskGone.
func (w *Workers) Renew(_ context.Context, id platform.WorkerID, renewals []platform.Renewal) ([]platform.TaskReport, error) {
	var reports []platform.TaskReport
	err := w.withWorker(id, func(wk *worker, now time.Time) error {
		w.renewals++
		for _, r := range renewals {
			report := platform.TaskReport{ID: r.ID, State: platform.TaskGone}
			if l, err := wk.leaseOf(r.ID, r.Epoch); err == nil {
				l.expiresAt = now.Add(r.Life)
				report.State = l.state
				report.Progress = l.saved
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

// Checkpoint saves the progress of a task and returns it.
func (w *Workers) Checkpoint(_ context.Context, id platform.WorkerID, lease platform.LeaseID, epoch platform.Epoch) (time.Duration, error) {
	var saved time.Duration
	err := w.withWorker(id, func(wk *worker, _ time.Time) error {
		l, err := wk.leaseOf(lease, epoch)
		if err != nil {
			return err
		}
		l.saved = l.progress
		saved = l.saved
		return nil
	})
	return saved, err
}

// Throttle sets the rate of progress of a task. A share below 0 counts as 0, one above 1
// as 1.
func (w *Workers) Throttle(_ context.Context, id platform.WorkerID, lease platform.LeaseID, epoch platform.Epoch, share float64) error {
	return w.withWorker(id, func(wk *worker, _ time.Time) error {
		l, err := wk.leaseOf(lease, epoch)
		if err != nil {
			return err
		}
		l.share = min(1, max(0, share))
		return nil
	})
}

// Release stops the task and ends the lease.
func (w *Workers) Release(_ context.Context, id platform.WorkerID, lease platform.LeaseID, epoch platform.Epoch) error {
	return w.withWorker(id, func(wk *worker, _ time.Time) error {
		if err := wk.checkEpoch(lease, epoch); err != nil {
			return err
		}
		delete(wk.leases, lease)
		return nil
	})
}

// Usage returns the usage of the running tasks of a region whose progress has reached
// usageLag.
func (w *Workers) Usage(_ context.Context, region platform.Region) ([]platform.Usage, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var usage []platform.Usage
	now := time.Now()
	for _, wk := range w.workers {
		if wk.Region != region || wk.faults.Away || wk.faults.Gone {
			continue
		}
		wk.refresh(now)
		for _, l := range wk.leases {
			if l.state == platform.TaskRunning && l.progress >= usageLag {
				usage = append(usage, l.usage())
			}
		}
	}
	sort.Slice(usage, func(i, j int) bool { return usage[i].ID < usage[j].ID })
	return usage, nil
}

// usage returns what the task uses now; throttling lowers the cores of its plan.
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
