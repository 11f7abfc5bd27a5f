package scheduler_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"corianderpass/internal/process/allocation"
	"corianderpass/internal/process/evacuation"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/intake"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/permit"
	"corianderpass/internal/process/presence"
	"corianderpass/internal/process/runner"
	"corianderpass/internal/process/scheduler"
	"corianderpass/internal/process/standin"
	"corianderpass/internal/process/workload"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

const (
	testLease        = 6 * time.Second
	testMaxLease     = 8 * time.Second
	agentReadPause   = 500 * time.Millisecond
	reportInterval   = 1500 * time.Millisecond
	testQueue        = "queue"
	testOrganisation = "org"
)

// installation is a whole installation with stand-ins for the platform and the minions.
// It runs in the virtual time of package synctest.
type installation struct {
	t             *testing.T
	log           standin.Log
	presence      standin.Log
	newestRecords standin.KeyIndex
	runLog        standin.RunLog
	adviser       testAdviser
	startedAt     time.Time
	// mu guards the fields from nextDuration to submissions.
	mu           sync.Mutex
	nextDuration func() time.Duration
	reservations map[workload.JobID]workload.Resources
	// crashing has the tasks that crash each minion that starts them.
	crashing map[workload.TaskRef]standin.CrashMode
	// journals holds the newest journal of each agent.
	journals map[incarnation.Address]*journal.Journal[workload.Record]
	// served holds the schedulers that answer calls, and silent the addresses that never answer.
	served map[incarnation.Address]*scheduler.Scheduler
	silent map[incarnation.Address]bool
	// firstStarts holds when the first run of each job started.
	firstStarts map[workload.JobID]time.Duration
	// submissions holds when the jobs of submitFlow were submitted.
	submissions map[workload.JobID]time.Duration
	entries     []*testEntry
	// metrics are those of all schedulers.
	metrics *metrics.Set
	// rankOf returns the scheduler.Settings.Rank of the entry with the number.
	rankOf func(number int) int
	// entryReadPause is the pause of entries that do not lead between two reads of the stream.
	entryReadPause time.Duration
	agents         []*testAgent
	// maxLease is the longest lease that minions added from now on accept.
	maxLease time.Duration
	// prepareMinion changes each minion that is added from now on before its first life; nil changes nothing.
	prepareMinion func(*standin.TaskMinion)
	// evacuationTime is the runner.Settings.EvacuationTime of agents that start from now on.
	evacuationTime time.Duration
	// logger receives the log lines of all processes; nil stands for testLogger.
	logger hclog.Logger
}

// loggerOf returns the logger of the process with the name.
func (in *installation) loggerOf(name string) hclog.Logger {
	if in.logger != nil {
		return in.logger.Named(name)
	}
	return testLogger(name)
}

// withInstallation runs a test with an installation of one entry in virtual time.
func withInstallation(t *testing.T, f func(t *testing.T, in *installation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		in := newInstallation(t)
		defer in.stop()
		in.addEntry()
		f(t, in)
	})
}

func newInstallation(t *testing.T) *installation {
	return &installation{
		t: t, startedAt: time.Now(), reservations: map[workload.JobID]workload.Resources{}, crashing: map[workload.TaskRef]standin.CrashMode{},
		journals: map[incarnation.Address]*journal.Journal[workload.Record]{}, firstStarts: map[workload.JobID]time.Duration{}, submissions: map[workload.JobID]time.Duration{},
		served: map[incarnation.Address]*scheduler.Scheduler{}, silent: map[incarnation.Address]bool{},
		maxLease: testMaxLease, evacuationTime: 5 * time.Second, metrics: metrics.NewSet(), rankOf: func(number int) int { return number },
		nextDuration: func() time.Duration { return 2 * time.Second },
	}
}

// setDurations sets the function that returns the duration of each task that starts
// from now on.
func (in *installation) setDurations(next func() time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.nextDuration = next
}

// setDuration sets the duration of all tasks that start from now on.
func (in *installation) setDuration(d time.Duration) {
	in.setDurations(func() time.Duration { return d })
}

// recordStart records the start of a run of the task and returns its duration.
func (in *installation) recordStart(task workload.TaskRef) time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	if _, started := in.firstStarts[task.Job]; !started {
		in.firstStarts[task.Job] = in.clock()
	}
	return in.nextDuration()
}

// firstStart returns when the first run of the job started, and false if none has.
func (in *installation) firstStart(id workload.JobID) (time.Duration, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	at, started := in.firstStarts[id]
	return at, started
}

// setReservation sets the resources that the minions reserve for each task of the job: those
// of its first step.
func (in *installation) setReservation(s workload.JobSpec) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.reservations[s.ID] = s.Steps[0].Reservation()
}

func (in *installation) reservationOf(id workload.JobID) workload.Resources {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.reservations[id]
}

// setCrashing makes the task crash each minion that starts it.
func (in *installation) setCrashing(r workload.TaskRef, mode standin.CrashMode) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.crashing[r] = mode
}

func (in *installation) crashMode(r workload.TaskRef) standin.CrashMode {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.crashing[r]
}

// notify makes the agent at the address read the stream immediately. The address of an
// agent is the name of its machine.
func (in *installation) notify(_ context.Context, address incarnation.Address) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if j := in.journals[address]; j != nil {
		j.ReadNow()
	}
	return nil
}

func (in *installation) clock() time.Duration { return time.Since(in.startedAt) }

// process is the common part of entries and agents: their view of the log and the
// function that stops them.
type process struct {
	log  *standin.KeyedLog
	stop func()
}

func (in *installation) newLog(name string) *standin.KeyedLog {
	return &standin.KeyedLog{Log: &in.log, Index: &in.newestRecords, Writer: name}
}

// startAll starts all parts of a process and returns the function that stops them. Only its first call
// has an effect.
func (in *installation) startAll(starts ...func(context.Context) <-chan error) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var ended []<-chan error
	for _, start := range starts {
		ended = append(ended, start(ctx))
	}
	return sync.OnceFunc(func() {
		cancel()
		for _, e := range ended {
			if err := <-e; err != nil {
				in.t.Error(err)
			}
		}
	})
}

// testEntry is an entry process without its interface to callers.
type testEntry struct {
	process
	in *installation
	// name is the name of the machine and also the address of the entry.
	name   string
	number int
	// id is the incarnation that was started last.
	id        incarnation.ID
	intake    *intake.Service
	journal   *journal.Journal[workload.Record]
	state     *workload.State
	permits   *permit.Cache
	scheduler *scheduler.Scheduler
	leads     func() bool
	// evacuations are the operators' requests that the entry has read.
	evacuations evacuation.Requests
}

// alwaysConfirmed reports at all times that the bundle has just been confirmed as the
// newest version.
type alwaysConfirmed struct{ in *installation }

func (p alwaysConfirmed) ConfirmedAt() (time.Duration, bool) { return p.in.clock(), true }

func testBundle() *bundle.Bundle {
	return &bundle.Bundle{
		Organisations: []bundle.Organisation{{Name: testOrganisation, GuaranteedAccelerators: 8}},
		Queues:        []bundle.Queue{{Name: testQueue, PathPrefix: "/", Service: "service", Attempts: 3, Public: true}},
	}
}

// addEntry starts an entry on a new machine.
func (in *installation) addEntry() *testEntry {
	number := len(in.entries)
	e := &testEntry{in: in, name: fmt.Sprint("entry", number), number: number}
	in.entries = append(in.entries, e)
	e.start()
	return e
}

// start starts a new incarnation of the entry.
func (e *testEntry) start() {
	in := e.in
	e.state = workload.NewState()
	e.log = in.newLog(e.name + fmt.Sprint(time.Now().UnixNano()))
	self := incarnation.New(e.name, time.Now())
	e.id = self
	register := &bundle.Register{}
	register.Adopt(1, testBundle())
	listener := presence.NewListener(&in.presence, in.clock)
	var sch *scheduler.Scheduler
	e.permits = permit.New(&in.adviser, in.clock, in.loggerOf(e.name))
	e.journal = journal.New(e.log, "Workload", self, journal.StateMachine[workload.Record](e.state), journal.Options{
		Clock: in.clock, SnapshotEvery: 40, ReadWait: time.Second, AppendTimeout: 700 * time.Millisecond,
		MaySnapshot: func() bool { return sch.Leads() },
		ReadPause: func() time.Duration {
			if sch.Leads() {
				return 0
			}
			return in.entryReadPause
		},
	})
	sch = scheduler.New(scheduler.Settings{
		Allocation: allocation.Rules{FarFactor: 3}, SuspectAfter: 2500 * time.Millisecond,
		LapseAfter: testLease + 500*time.Millisecond, Retention: time.Minute, Rank: in.rankOf(e.number), Address: incarnation.Address(e.name),
	}, self, e.journal, e.state, listener, register, e.permits, in.clock, in.loggerOf(e.name), in.notify, in.callEntry, in.metrics)
	e.state.SetObserver(sch.Observe)
	e.scheduler = sch
	e.leads = sch.Leads
	e.intake = intake.New(intake.Settings{MaxAcceptAge: 4 * time.Second, MaxRefuseAge: 2 * time.Second},
		e.journal, e.state, register, alwaysConfirmed{in}, in.clock, hclog.NewNullLogger(), metrics.NewSet())
	recorder := evacuation.New(evacuation.Rank(e.number), &e.evacuations, e.journal, e.state, in.clock, in.loggerOf(e.name))
	j, state := e.journal, e.state
	join := func(ctx context.Context) <-chan error {
		ended := make(chan error, 1)
		go func() {
			awaitCaughtUp(ctx, j)
			ended <- <-repeat(ctx, time.Second, func() {
				joinOnce(ctx, j, state, workload.Entry{Node: e.name, ID: self, Address: incarnation.Address(e.name)})
			})
		}()
		return ended
	}
	stop := in.startAll(e.journal.Start, listener.Start, e.permits.Start, recorder.Start, sch.Start, join)
	in.setServed(incarnation.Address(e.name), sch)
	e.stop = func() {
		in.setServed(incarnation.Address(e.name), nil)
		stop()
	}
}

// setServed sets the scheduler that answers calls to the address; nil if connections are refused.
func (in *installation) setServed(address incarnation.Address, s *scheduler.Scheduler) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.served[address] = s
}

// setSilent makes calls to the entry get no answer, not even a refused connection.
func (in *installation) setSilent(e *testEntry) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.silent[incarnation.Address(e.name)] = true
}

// callEntry calls the entry at the address. A call takes 3 ms.
func (in *installation) callEntry(ctx context.Context, address incarnation.Address, q scheduler.StatusQuery) (scheduler.Status, error) {
	time.Sleep(3 * time.Millisecond)
	in.mu.Lock()
	s, silent := in.served[address], in.silent[address]
	in.mu.Unlock()
	if silent {
		<-ctx.Done()
		return scheduler.Status{}, ctx.Err()
	}
	if s == nil {
		return scheduler.Status{}, syscall.ECONNREFUSED
	}
	return s.Status(q), nil
}

// awaitCaughtUp waits until the state is complete or the context ends.
func awaitCaughtUp(ctx context.Context, j *journal.Journal[workload.Record]) {
	for changed := j.Changed(); !j.CaughtUp() && ctx.Err() == nil; changed = j.Changed() {
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// joinOnce records the entry in the state unless it is listed there.
func joinOnce(ctx context.Context, j *journal.Journal[workload.Record], state *workload.State, self workload.Entry) {
	listed := false
	j.View(func(time.Time) { listed = slices.Contains(state.Entries(), self) })
	if j.CaughtUp() && !listed {
		// A failed proposal is repeated by the next call.
		_ = j.Propose(ctx, workload.Record{Join: &workload.Join{Entry: self}})
	}
}

// repeat calls f at the interval until the context ends. The channel then receives nil.
func repeat(ctx context.Context, interval time.Duration, f func()) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			f()
			select {
			case <-ctx.Done():
			case <-time.After(interval):
			}
		}
		ended <- nil
	}()
	return ended
}

// testAgent is an agent process with the stand-in of its minion.
type testAgent struct {
	process
	minion  *standin.TaskMinion
	runner  *runner.Runner
	machine platform.WorkerID
	// domain is the failure domain of the machine.
	domain platform.FailureDomain
	in     *installation
	// stopped is true while the agent does not run. Its minion runs independently of it.
	stopped bool
	// draining is true if the minion reports that it drains.
	draining atomic.Bool
	// losesHeartbeats is true while the heartbeats of the agent are lost.
	losesHeartbeats atomic.Bool
	// readsWithoutPause is true if the agent does not pause between reads of the stream.
	readsWithoutPause atomic.Bool
	sequence          uint64
}

// addWorker starts a minion and its agent.
func (in *installation) addWorker(capacity workload.Resources) *testAgent {
	return in.addWorkerIn("domain", capacity)
}

// addWorkerIn starts a minion and its agent in the failure domain.
func (in *installation) addWorkerIn(domain platform.FailureDomain, capacity workload.Resources) *testAgent {
	n := len(in.agents)
	a := &testAgent{machine: platform.WorkerID(fmt.Sprint("machine", n)), domain: domain, in: in}
	a.minion = &standin.TaskMinion{
		ID: runner.MinionID(fmt.Sprint("minion", n)), Capacity: capacity,
		Need:        func(r workload.TaskRef) workload.Resources { return in.reservationOf(r.Job) },
		RunDuration: func(task workload.TaskRef, _ workload.Run) time.Duration { return in.recordStart(task) }, StopTime: 200 * time.Millisecond,
		OnViolation: func(text string) { in.t.Errorf("minion broke a rule after %v: %s", in.clock(), text) }, RunLog: &in.runLog, MaxLease: in.maxLease,
		Crashes: func(o runner.Start) standin.CrashMode { return in.crashMode(o.Task) }, DownTime: 3 * time.Second,
		Permitted: func(o runner.Start) bool { return in.adviser.acceptsStart(a.minion, o) },
	}
	if in.prepareMinion != nil {
		in.prepareMinion(a.minion)
	}
	a.minion.StartLife()
	in.agents = append(in.agents, a)
	a.start()
	return a
}

// addPromptWorker starts a minion and an agent that reads the stream without pauses, and waits until
// the worker is announced.
func (in *installation) addPromptWorker() *testAgent {
	a := in.addWorker(workerCapacity())
	a.readsWithoutPause.Store(true)
	time.Sleep(4 * time.Second)
	return a
}

// start starts a new incarnation of the agent.
func (a *testAgent) start() {
	in := a.in
	name := string(a.machine) + fmt.Sprint(time.Now().UnixNano())
	a.log = in.newLog(name)
	self := incarnation.New(name, time.Now())
	state := workload.NewState()
	j := journal.New(a.log, "Workload", self, journal.StateMachine[workload.Record](state), journal.Options{
		Clock: in.clock, SnapshotEvery: 40, ReadWait: time.Second, AppendTimeout: 700 * time.Millisecond,
		MaySnapshot: func() bool { return false }, ReadPause: a.readPause,
	})
	in.mu.Lock()
	in.journals[incarnation.Address(a.machine)] = j
	in.mu.Unlock()
	a.runner = runner.New(runner.Settings{
		Lease: testLease, MaxLease: in.maxLease, Address: incarnation.Address(a.machine), FailureDomain: a.domain, EvacuationTime: in.evacuationTime,
	}, self, j, state, presenceLog{&in.presence, a}, a.minion, in.clock, in.loggerOf(string(a.machine)), metrics.NewSet())
	a.stopped = false
	a.stop = in.startAll(j.Start, a.runner.Start, a.reportMinion)
}

func (a *testAgent) readPause() time.Duration {
	if a.readsWithoutPause.Load() {
		return 0
	}
	return agentReadPause
}

// presenceLog is the log to which one agent appends its heartbeats. Appends fail while
// losesHeartbeats is set or the agent's own log refuses appends.
type presenceLog struct {
	platform.Log
	agent *testAgent
}

func (l presenceLog) Append(ctx context.Context, s platform.Stream, payload []byte) (platform.Offset, error) {
	if l.agent.losesHeartbeats.Load() || l.agent.log.RefusesAppends() {
		return 0, platform.ErrLogDown
	}
	return l.Log.Append(ctx, s, payload)
}

// reportMinion sends the minion's status report to the agent every reportInterval, which a
// real minion does itself.
func (a *testAgent) reportMinion(ctx context.Context) <-chan error {
	return repeat(ctx, reportInterval, func() {
		a.sequence++
		a.runner.Announce(ctx, runner.Announcement{
			ID: a.minion.ID, Born: a.minion.Born(), Machine: a.machine, Service: "service", Rack: "rack",
			Labels: []string{"a", "rack"}, Room: a.minion.Room(), Draining: a.draining.Load(), Remaining: 2500 * time.Millisecond, Sequence: a.sequence,
		})
	})
}

func (in *installation) stop() {
	for _, a := range in.agents {
		if !a.stopped {
			a.stop()
		}
	}
	for _, e := range in.entries {
		e.stop()
	}
}

// spec returns a job with one step of independent tasks.
func spec(id string, tasks int, need workload.Resources) workload.JobSpec {
	return workload.JobSpec{
		ID: workload.JobID(id), Queue: testQueue, Organisation: testOrganisation, Service: "service", Priority: 1, Attempts: 3, Stretch: 3,
		Steps: []workload.StepSpec{{Tasks: tasks, Need: need, Estimate: 2 * time.Second}},
	}
}

// submit submits a job at the first entry and fails the test on an error.
func (in *installation) submit(s workload.JobSpec) {
	in.t.Helper()
	in.setReservation(s)
	if err := in.entries[0].intake.Submit(in.t.Context(), s); err != nil {
		in.t.Fatalf("submit job %s: got error %v, want none", s.ID, err)
	}
}

// outcome returns the outcome of the job in the state of the first entry.
func (in *installation) outcome(id string) workload.Outcome {
	var o workload.Outcome
	e := in.entries[0]
	e.journal.View(func(time.Time) {
		if j := e.state.Job(workload.JobID(id)); j != nil {
			o = j.Outcome
		}
	})
	return o
}

// await waits until the job has the outcome and returns the time that it waited. The
// test fails if that is longer than within.
func (in *installation) await(id string, want workload.Outcome, within time.Duration) time.Duration {
	in.t.Helper()
	start := time.Now()
	for time.Since(start) < within {
		if in.outcome(id) == want {
			return time.Since(start)
		}
		time.Sleep(50 * time.Millisecond)
	}
	in.t.Fatalf("job %s: got outcome %q after %v, want %q", id, in.outcome(id), within, want)
	return 0
}

// awaitStarts waits until n runs have started. The test fails after a minute.
func (in *installation) awaitStarts(n int) {
	in.t.Helper()
	for start := time.Now(); in.runLog.Starts() < n; time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > time.Minute {
			in.t.Fatalf("got %d starts in a minute, want %d", in.runLog.Starts(), n)
		}
	}
}

func smallTask() workload.Resources {
	return workload.Resources{Cores: 1000, Memory: 100, Accelerators: 1}
}

func workerCapacity() workload.Resources {
	return workload.Resources{Cores: 8000, Memory: 1000, Accelerators: 8}
}

// testLogger returns a logger that writes only if the environment variable WORLD_LOG is
// set.
func testLogger(name string) hclog.Logger {
	if os.Getenv("WORLD_LOG") == "" {
		return hclog.NewNullLogger()
	}
	return hclog.New(&hclog.LoggerOptions{Name: name, TimeFormat: "05.000"})
}
