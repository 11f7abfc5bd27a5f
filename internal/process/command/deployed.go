package command

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/peterbourgon/ff/v3/ffcli"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/connection/relay"
	"corianderpass/internal/process/allocation"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/logsink"
	"corianderpass/internal/process/runner"
	"corianderpass/internal/process/scheduler"
	"corianderpass/internal/process/settings"
	"corianderpass/internal/process/steady"
	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
	adapter "corianderpass/platform"
)

const (
	// workloadStream is the stream of the workload.
	workloadStream = "Workload"
	// leaseMargin is what leases stay below the longest that a minion keeps.
	leaseMargin = 500 * time.Millisecond
	// leaseMost is the longest lease that is given: it rides out an outage of the
	// store of five seconds, and a silent worker is replaced that much sooner.
	leaseMost = 7 * time.Second
	// lapseMargin is added to a lease before it counts as run out everywhere.
	lapseMargin = 500 * time.Millisecond
	// suspectAfter is the silence after which a worker is suspected: two presences
	// and the way to a listener.
	suspectAfter = 2500 * time.Millisecond
	// deployedAppendTimeout bounds one try of an append; the store answers within
	// milliseconds, and within a quarter of a second when it is slow.
	deployedAppendTimeout = 700 * time.Millisecond
	// deployedCheckEvery is how soon the end of an outage is noticed.
	deployedCheckEvery = 250 * time.Millisecond
	// deployedReadWait is how long a read waits, and so how often the state is
	// confirmed as complete.
	deployedReadWait = time.Second
	// readPauseEach is the pause between two reads for each worker of the
	// installation: every process reads what all of them write, so that reads would
	// grow with the square of their number.
	readPauseEach = 10 * time.Millisecond
	// readPauseLeast and readPauseMost bound it for agents. The leader tells them of
	// what concerns them, so that only a notice that is lost waits for the pause.
	readPauseLeast = 100 * time.Millisecond
	readPauseMost  = 400 * time.Millisecond
	// leaderReadPauseEach is the pause of the leader for each worker: on 60 workers that
	// is 6 ms, in which a heavy day brings a few records.
	leaderReadPauseEach = 100 * time.Microsecond
	// entryReadPauseEach is the pause of entries that do not lead, for each entry of the
	// installation: together they read as often as two would.
	entryReadPauseEach = 8 * time.Millisecond
	// entryReadPauseMost bounds it: callers should hear soon that a job has ended.
	entryReadPauseMost = 80 * time.Millisecond
	// deployedSnapshotEvery is the number of records that a starting process reads at most.
	deployedSnapshotEvery = 200
	// tokenMargin is what the age of a bundle stays below the bound on removed tokens.
	tokenMargin = 300 * time.Millisecond
	// refusalShare is the part of the bound on visibility that knowledge may be old
	// on which a refusal is based; the rest is for the answer's way.
	refusalShare = 0.75
	// noticeTime is how long a leaving entry serves on, until the balancer has seen
	// twice that it is not ready.
	noticeTime = 2200 * time.Millisecond
	// drainShare is the part of the grace time in which the last answers are given.
	drainShare = 0.8
	// collectAt is the growth of the heap in percent at which garbage is collected:
	// memory costs more than the time for it.
	collectAt = 50
	// memoryShare is the part of the memory that the heap should stay below.
	memoryShare = 0.6
)

func newDeployed(c console) *ffcli.Command {
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "corianderpass platform <entry|agent> [flags]",
		ShortHelp:  "Run a process on the users' platform; " + adapter.SettingsVariable + " names its settings file.",
		FlagSet:    newFlags("platform", c),
		Subcommands: []*ffcli.Command{
			newDeployedRole(c, "entry", "Take jobs from callers and decide where they run.", runDeployedEntry),
			newDeployedRole(c, "agent", "Stand beside a minion and give it its tasks.", runDeployedAgent),
		},
		Exec: func(context.Context, []string) error { return usage("name a role: entry or agent") },
	}
}

// roleRun runs a role until the context ends.
type roleRun func(ctx context.Context, s adapter.Settings, port metricsPort, logger hclog.Logger) error

// metricsPort is where metrics are served; 0 serves none.
type metricsPort int

func newDeployedRole(c console, name, help string, run roleRun) *ffcli.Command {
	flags := newFlags(name, c)
	path := flags.String("settings", "", "settings `file` of the platform; the one that "+adapter.SettingsVariable+" names by default")
	port := flags.Int("metrics-port", 0, "port that serves metrics at /metrics; 0 serves none")
	level := flags.String("log-level", "Info", "Trace, Debug, Info, Warn or Error")
	check := flags.Bool("check", false, "only check the settings")
	return &ffcli.Command{
		Name: name, ShortUsage: "corianderpass platform " + name + " [flags]", ShortHelp: help, FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			return serveDeployed(ctx, c, run, deployedFlags{
				role: name, settings: *path, port: metricsPort(*port), level: *level, check: *check,
			})
		},
	}
}

// deployedFlags are the flags of a process on the platform.
type deployedFlags struct {
	role, settings, level string
	port                  metricsPort
	check                 bool
}

func serveDeployed(ctx context.Context, c console, run roleRun, f deployedFlags) error {
	if err := settings.CheckLogLevel("--log-level", f.level); err != nil {
		return usage("%v", err)
	}
	s, err := adapter.LoadSettings(f.settings)
	if err != nil {
		return err
	}
	if f.check {
		_, err := fmt.Fprintln(c.out, "settings of", s.Node, "are valid")
		return err
	}
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(float64(s.Memory) * memoryShare * (1 << 20)))
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	logger := hclog.New(&hclog.LoggerOptions{
		Name: f.role, Level: hclog.LevelFromString(f.level), JSONFormat: true, Output: sink,
	}).With("node", s.Node)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	reloads := logReloads(ctx, hangups, f.settings, logger)
	err = run(ctx, s, f.port, logger)
	logger.Info("stopped", "error", err, "lines_dropped", sink.Dropped())
	<-reloads
	return err
}

// logReloads tells of settings that changed. What a process is bound to (its
// addresses and the store) comes with its next start.
func logReloads(ctx context.Context, hangups <-chan os.Signal, path string, logger hclog.Logger) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				ended <- nil
				return
			case <-hangups:
				_, err := adapter.LoadSettings(path)
				logger.Info("settings were read again", "error", err)
			}
		}
	}()
	return ended
}

func provideIncarnation(s adapter.Settings) incarnation.ID {
	return incarnation.New(s.Node, time.Now())
}

func provideStore(s adapter.Settings, self incarnation.ID) *adapter.Store {
	return adapter.NewStore(s, string(self))
}

func provideKeyedStore(s *adapter.Store) *adapter.KeyedStore { return s.Keyed() }

func provideClock() steady.Clock { return steady.Now }

// lease returns how long tasks may run after the last proof of being up to date.
func lease(s adapter.Settings) time.Duration {
	return min(s.Bounds.MaxLeaseDuration-leaseMargin, leaseMost)
}

func provideSchedulerSettings(s adapter.Settings) scheduler.Settings {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.Node))
	const ranks = 4
	return scheduler.Settings{
		Allocation: allocation.Rules{
			FarFactor: s.Bounds.FarFactor, CheckpointInterval: s.Bounds.CheckpointInterval, EarlyStart: s.Bounds.MaxEarlyStart / 2,
		},
		SuspectAfter: suspectAfter,
		LapseAfter:   lease(s) + lapseMargin,
		Retention:    2 * s.Bounds.StatusRetention,
		Rank:         int(h.Sum32() % ranks),
	}
}

func provideRunnerSettings(s adapter.Settings) runner.Settings {
	return runner.Settings{FailureDomain: s.FailureDomain, Address: link.Address(s.LinkAddress), Lease: lease(s)}
}

func provideNotify(pool *link.Pool) scheduler.Notify {
	return func(ctx context.Context, address link.Address) error {
		_, err := link.Call[runner.Notification](ctx, pool, address, runner.MethodNotify, runner.Notification{})
		return err
	}
}

// leadership tells whether this process leads, once there is a scheduler to ask.
type leadership struct{ leads func() bool }

// The logs that processes reach over each other.
const (
	plainLog relay.LogName = "Plain"
	keyedLog relay.LogName = "Keyed"
)

// provideRelayTable lets other processes use the own way to the store.
func provideRelayTable(plain *adapter.Store, keyed *adapter.KeyedStore, path *relay.Path) link.Handlers {
	return relay.Handlers(map[relay.LogName]platform.Log{plainLog: plain, keyedLog: keyed}, path)
}

// members knows the other entries, once there is a workload to ask.
type members struct{ entries func() []workload.Entry }

// peers returns the addresses of the entries on other nodes, from a place on that
// differs between nodes.
func (m *members) peers(node string) []link.Address {
	if m.entries == nil {
		return nil
	}
	var addresses []link.Address
	for _, e := range m.entries() {
		if e.Node != node {
			addresses = append(addresses, e.Address)
		}
	}
	if len(addresses) == 0 {
		return nil
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(node))
	from := int(h.Sum32() % uint32(len(addresses)))
	return append(addresses[from:], addresses[:from]...)
}

// watch begins to follow the entries of the workload.
func (m *members) watch(j *journal.Journal[workload.Record], state *workload.State) {
	m.entries = func() []workload.Entry {
		var entries []workload.Entry
		j.View(func(time.Time) { entries = state.Entries() })
		return entries
	}
}

func providePath(s adapter.Settings, keyed *adapter.KeyedStore, m *members, pool *link.Pool, clock steady.Clock, logger hclog.Logger) *relay.Path {
	probe := func(ctx context.Context) error {
		_, err := keyed.Span(ctx, workloadStream)
		return err
	}
	return relay.NewPath(pool, func() []link.Address { return m.peers(s.Node) }, probe, clock, logger)
}

func providePool() *link.Pool { return link.NewPool(link.DialTCP) }

func provideKeyedLog(store *adapter.KeyedStore, path *relay.Path) *relay.KeyedLog {
	return relay.NewKeyedLog(store, keyedLog, path)
}

func providePlainLog(store *adapter.Store, path *relay.Path) *relay.Log {
	return &relay.Log{Direct: store, Name: plainLog, Path: path}
}

func provideEntryJournal(store *relay.KeyedLog, self incarnation.ID, state *workload.State, clock steady.Clock, lead *leadership) *journal.Journal[workload.Record] {
	var j *journal.Journal[workload.Record]
	j = journal.New(store, workloadStream, self, journal.StateMachine[workload.Record](state), journal.Options{
		SnapshotEvery: deployedSnapshotEvery, AppendTimeout: deployedAppendTimeout, CheckInterval: deployedCheckEvery, ReadWait: deployedReadWait, Clock: clock,
		MaySnapshot: lead.holds,
		ReadPause: func() time.Duration {
			entries, workers := 0, 0
			j.View(func(time.Time) { entries, workers = len(state.Entries()), state.PresentWorkers() })
			if lead.holds() {
				return time.Duration(workers) * leaderReadPauseEach
			}
			return min(time.Duration(entries)*entryReadPauseEach, entryReadPauseMost)
		},
	})
	return j
}

// holds tells whether this process leads.
func (l *leadership) holds() bool { return l.leads != nil && l.leads() }

func provideAgentJournal(store *relay.KeyedLog, self incarnation.ID, state *workload.State, clock steady.Clock) *journal.Journal[workload.Record] {
	var j *journal.Journal[workload.Record]
	j = journal.New(store, workloadStream, self, journal.StateMachine[workload.Record](state), journal.Options{
		SnapshotEvery: deployedSnapshotEvery, AppendTimeout: deployedAppendTimeout, CheckInterval: deployedCheckEvery, ReadWait: deployedReadWait, Clock: clock,
		MaySnapshot: func() bool { return false },
		ReadPause: func() time.Duration {
			workers := 0
			j.View(func(time.Time) { workers = state.PresentWorkers() })
			return min(max(time.Duration(workers)*readPauseEach, readPauseLeast), readPauseMost)
		},
	})
	return j
}

// servers are the HTTP servers of a process.
type servers struct {
	list  []*http.Server
	ended chan error
}

// serve begins to serve a handler at an address.
func (v *servers) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("command: listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	v.list = append(v.list, server)
	if v.ended == nil {
		v.ended = make(chan error, 8)
	}
	go func() { v.ended <- server.Serve(l) }()
	return nil
}

// close ends all servers at once.
func (v *servers) close() {
	for _, s := range v.list {
		_ = s.Close()
	}
}

func metricsHandler(set *metrics.Set) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return mux
}

func (p metricsPort) serve(v *servers, set *metrics.Set) error {
	if p == 0 {
		return nil
	}
	return v.serve(fmt.Sprintf(":%d", p), metricsHandler(set))
}
