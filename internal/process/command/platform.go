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
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/peterbourgon/ff/v3/ffcli"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/connection/relay"
	"corianderpass/internal/process/allocation"
	"corianderpass/internal/process/evacuation"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/journal"
	"corianderpass/internal/process/logsink"
	"corianderpass/internal/process/monotonic"
	"corianderpass/internal/process/runner"
	"corianderpass/internal/process/scheduler"
	"corianderpass/internal/process/settings"
	"corianderpass/internal/process/workload"
	"corianderpass/pkg/platform"
	adapter "corianderpass/platform"
)

// Constants of the entries and agents on the users' platform.
const (
	// workloadStream holds the records from which every process builds the workload state.
	workloadStream = "Workload"
	// leaseMargin is how much shorter a lease is than Bounds.MaxLeaseDuration, the longest
	// that a minion accepts.
	leaseMargin = 500 * time.Millisecond
	// maxLease is the longest lease that an agent requests. Runs under it survive a store
	// outage of five seconds. A longer lease would delay the replacement of runs on a worker
	// that no longer sends heartbeats.
	maxLease = 7 * time.Second
	// lapseMargin is added to the lease duration before the leader treats the leases of
	// a suspected worker as expired.
	lapseMargin = 500 * time.Millisecond
	// suspectAfter is the time without a heartbeat after which a worker is suspected. It is
	// two heartbeat intervals plus the delay until an entry has read a heartbeat.
	suspectAfter = 2500 * time.Millisecond
	// appendTimeout bounds one attempt to append, with the wait for earlier appends. Package relay has
	// shorter timeouts for its calls.
	appendTimeout = 3 * time.Second
	// logCheckInterval bounds the delay until a process detects that a log outage has ended.
	logCheckInterval = 250 * time.Millisecond
	// readWait is how long a read waits for new records. A read that returns none
	// confirms that the state is up to date, so readWait is also the interval between
	// these confirmations while nothing is appended.
	readWait = time.Second
	// agentReadPausePerWorker is multiplied by the number of present workers to get an
	// agent's pause between two reads. Every process reads the records of all processes,
	// so with a fixed pause the total number of reads would grow with the square of the
	// number of workers.
	agentReadPausePerWorker = 20 * time.Millisecond
	// minAgentReadPause and maxAgentReadPause bound an agent's pause between two reads. The
	// leader notifies an agent of records that concern it, so a record waits for the pause
	// only if its notification is lost.
	minAgentReadPause = 100 * time.Millisecond
	maxAgentReadPause = time.Second
	// leaderReadPausePerWorker is multiplied by the number of present workers to get the
	// leader's pause between two reads. With 60 workers the pause is 6 ms, in which a few
	// records arrive under heavy load.
	leaderReadPausePerWorker = 100 * time.Microsecond
	// entryReadPausePerEntry is multiplied by the number of entries to get the pause between
	// two reads of an entry that does not lead. Up to 10 entries therefore make about
	// 60 reads per second together, whatever their number.
	entryReadPausePerEntry = 16 * time.Millisecond
	// maxEntryReadPause bounds the pause between two reads of an entry that does not lead,
	// so that its callers learn soon that a job has ended.
	maxEntryReadPause = 160 * time.Millisecond
	// snapshotInterval is the number of records between two snapshots, which bounds
	// the number of records that a starting process must read.
	snapshotInterval = 200
	// acceptAgeMargin is subtracted from Bounds.RevocationTime, the time after which no call
	// with a removed token may succeed. The result is the greatest age of a bundle at which
	// an entry accepts tokens.
	acceptAgeMargin = 300 * time.Millisecond
	// refuseAgeShare is a fraction of Bounds.VisibilityTime. An entry whose bundle or
	// workload state is older than that does not answer that something does not exist. The
	// rest of VisibilityTime is for sending the answer.
	refuseAgeShare = 0.75
	// noticeTime is how long a leaving entry goes on serving, so that the load
	// balancer's readiness check fails twice before connections are closed.
	noticeTime = 2200 * time.Millisecond
	// drainShare is the fraction of Bounds.TerminationGrace, the time that the platform
	// gives a process to stop, within which a leaving entry sends its last answers.
	drainShare = 0.8
	// gcPercent is the heap growth in percent that triggers a garbage collection. It is
	// below Go's default of 100 because memory costs more than the additional processor time.
	gcPercent = 50
	// heapLimitShare is the fraction of Settings.Memory that is set as Go's soft memory limit.
	heapLimitShare = 0.6
)

func newPlatformCommand(c console) *ffcli.Command {
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "corianderpass platform <entry|agent> [flags]",
		ShortHelp:  "Run a process on the users' platform. " + adapter.SettingsVariable + " is the path of its settings file.",
		FlagSet:    newFlagSet("platform", c),
		Subcommands: []*ffcli.Command{
			newRoleCommand(c, "entry", "Accept jobs from callers and place their tasks on workers.", runPlatformEntry),
			newRoleCommand(c, "agent", "Start and stop tasks on the minion of the same machine.", runPlatformAgent),
		},
		Exec: func(context.Context, []string) error { return usage("the role is missing: entry or agent") },
	}
}

// roleFunc runs the process of one role until the context ends.
type roleFunc func(ctx context.Context, s adapter.Settings, port metricsPort, logger hclog.Logger) error

// metricsPort is the TCP port that serves metrics on all addresses. 0 disables them.
type metricsPort int

func newRoleCommand(c console, name, help string, run roleFunc) *ffcli.Command {
	flags := newFlagSet(name, c)
	path := flags.String("settings", "", "settings `file` of the platform (default: the value of "+adapter.SettingsVariable+")")
	port := flags.Int("metrics-port", 0, "port that serves metrics at /metrics; 0 disables them")
	level := flags.String("log-level", "Info", "log `level`: Trace, Debug, Info, Warn or Error")
	check := flags.Bool("check", false, "check the settings and exit")
	return &ffcli.Command{
		Name: name, ShortUsage: "corianderpass platform " + name + " [flags]", ShortHelp: help, FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			return runRole(ctx, c, run, roleFlags{
				role: name, settings: *path, port: metricsPort(*port), level: *level, check: *check,
			})
		},
	}
}

// roleFlags holds the flags of "corianderpass platform entry" and "platform agent".
type roleFlags struct {
	role, settings, level string
	port                  metricsPort
	check                 bool
}

func runRole(ctx context.Context, c console, run roleFunc, f roleFlags) error {
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
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.Memory) * heapLimitShare * (1 << 20)))
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	logger := hclog.New(&hclog.LoggerOptions{
		Name: f.role, Level: hclog.LevelFromString(f.level), JSONFormat: true, Output: sink,
	}).With("node", s.Node)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	checksEnded := checkSettingsOnHangup(ctx, hangups, f.settings, logger)
	err = run(ctx, s, f.port, logger)
	logger.Info("stopped", "error", err, "lines_dropped", sink.Dropped())
	<-checksEnded
	return err
}

// checkSettingsOnHangup reads the settings file on every SIGHUP and logs whether it is
// valid. The running process keeps its settings, which include its addresses and the store;
// new ones take effect at the next start. The returned channel receives nil once the
// context has ended.
func checkSettingsOnHangup(ctx context.Context, hangups <-chan os.Signal, path string, logger hclog.Logger) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				ended <- nil
				return
			case <-hangups:
				_, err := adapter.LoadSettings(path)
				logger.Info("settings file was checked", "error", err)
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

func provideClock() monotonic.Clock { return monotonic.Now }

// leaseDuration returns how long the runs of an agent may go on after the last moment at
// which the agent's state was known to be up to date.
func leaseDuration(s adapter.Settings) time.Duration {
	return min(s.Bounds.MaxLeaseDuration-leaseMargin, maxLease)
}

func provideSchedulerSettings(s adapter.Settings) scheduler.Settings {
	return scheduler.Settings{
		Allocation: allocation.Rules{
			FarFactor: s.Bounds.FarFactor, CheckpointInterval: s.Bounds.CheckpointInterval, EarlyStart: s.Bounds.MaxEarlyStart / 2,
			FinishTime: s.Bounds.FinishTime,
		},
		SuspectAfter: suspectAfter,
		LapseAfter:   leaseDuration(s) + lapseMargin,
		Retention:    2 * s.Bounds.StatusRetention,
		Rank:         rankOf(s),
		Address:      link.Address(s.LinkAddress),
	}
}

// rankOf returns the position of the entry in the order in which entries act when a record is due that
// any of them may propose. Entries share positions: an order without ties would need their number.
func rankOf(s adapter.Settings) int {
	const rankCount = 4
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.Node))
	return int(h.Sum32() % rankCount)
}

func provideEvacuationRank(s adapter.Settings) evacuation.Rank { return evacuation.Rank(rankOf(s)) }

func provideRunnerSettings(s adapter.Settings) runner.Settings {
	return runner.Settings{FailureDomain: s.FailureDomain, Address: link.Address(s.LinkAddress), Lease: leaseDuration(s), MaxLease: s.Bounds.MaxLeaseDuration, EvacuationTime: s.Bounds.EvacuationTime}
}

func provideNotify(pool *link.Pool) scheduler.Notify {
	return func(ctx context.Context, address link.Address) error {
		_, err := link.Call[runner.Notification](ctx, pool, address, runner.MethodNotify, runner.Notification{})
		return err
	}
}

func provideCallEntry(pool *link.Pool) scheduler.CallEntry {
	return func(ctx context.Context, address link.Address, query scheduler.StatusQuery) (scheduler.Status, error) {
		return link.Call[scheduler.Status](ctx, pool, address, scheduler.MethodStatus, query)
	}
}

// leaderStatus makes the scheduler's Leads available to the journal, which must exist before
// the scheduler. leads is nil until newPlatformEntry sets it.
type leaderStatus struct{ leads func() bool }

// The names of the two logs in calls of package relay, by which one process reaches a log
// through another.
const (
	plainLog relay.LogName = "Plain"
	keyedLog relay.LogName = "Keyed"
)

// provideRelayHandlers returns the handlers of the link methods by which other processes
// reach the store through this process.
func provideRelayHandlers(plain *relay.Log, keyed *relay.KeyedLog, path *relay.Path) link.Handlers {
	return relay.Handlers(path, plain, keyed.Log)
}

// entryList makes the entries of the workload available to the relay path, which must exist
// before the workload's journal. entries and leader are nil until readFrom is called.
type entryList struct {
	entries func() []workload.Entry
	// leader returns the entry that leads, the zero value if none is known.
	leader func() workload.Entry
}

// collector returns the link address of the entry to which the node passes its appends while the log is slow: the
// one that leads, empty if the node leads itself or no leader is known.
func (l *entryList) collector(node string) link.Address {
	if l.leader == nil {
		return ""
	}
	leader := l.leader()
	if leader.Node == node {
		return ""
	}
	return leader.Address
}

// notifySlow makes the path tell others that the log is slow: the entry that leads tells all other processes, the
// others tell that entry, so that one that finds it first warns all. processes returns the addresses of all.
func notifySlow(node string, path *relay.Path, pool *link.Pool, entries *entryList, processes func() []link.Address, logger hclog.Logger) {
	path.OnSlow(func(ctx context.Context, latency time.Duration) {
		addresses := []link.Address{entries.collector(node)}
		if addresses[0] == "" {
			addresses = processes()
		}
		var calls sync.WaitGroup
		for _, a := range addresses {
			calls.Go(func() {
				if err := relay.NotifySlow(ctx, pool, a, latency); err != nil {
					logger.Debug("process does not know that the log is slow", "error", err)
				}
			})
		}
		calls.Wait()
	})
}

// otherAddresses returns the link addresses of the entries on other nodes. The order is
// rotated by a hash of the node, so that nodes do not all call the same entry first.
func (l *entryList) otherAddresses(node string) []link.Address {
	if l.entries == nil {
		return nil
	}
	var addresses []link.Address
	for _, e := range l.entries() {
		if e.Node != node {
			addresses = append(addresses, e.Address)
		}
	}
	if len(addresses) == 0 {
		return nil
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(node))
	first := int(h.Sum32() % uint32(len(addresses)))
	return append(addresses[first:], addresses[:first]...)
}

// readFrom makes l return the entries of state. j is the journal that applies its records
// to state.
func (l *entryList) readFrom(j *journal.Journal[workload.Record], state *workload.State) {
	l.entries = func() []workload.Entry {
		var entries []workload.Entry
		j.View(func(time.Time) { entries = state.Entries() })
		return entries
	}
	l.leader = func() (leader workload.Entry) {
		j.View(func(time.Time) {
			id, _ := state.Leader()
			if i := slices.IndexFunc(state.Entries(), func(e workload.Entry) bool { return e.ID == id }); i >= 0 {
				leader = state.Entries()[i]
			}
		})
		return leader
	}
}

func providePath(s adapter.Settings, keyed *adapter.KeyedStore, entries *entryList, pool *link.Pool, clock monotonic.Clock, logger hclog.Logger) *relay.Path {
	probe := func(ctx context.Context) error {
		_, err := keyed.Span(ctx, workloadStream)
		return err
	}
	return relay.NewPath(pool, func() []link.Address { return entries.otherAddresses(s.Node) }, probe, func() link.Address { return entries.collector(s.Node) }, clock, logger)
}

func providePool() *link.Pool { return link.NewPool(link.DialTCP) }

func provideKeyedLog(s adapter.Settings, store *adapter.KeyedStore, path *relay.Path) *relay.KeyedLog {
	return relay.NewKeyedLog(store, keyedLog, path, maxCallBytes(s))
}

func providePlainLog(s adapter.Settings, store *adapter.Store, path *relay.Path) *relay.Log {
	return relay.NewLog(store, plainLog, path, maxCallBytes(s))
}

// maxCallBytes returns the most payload bytes in one append. The rest of the store's limit is for the keys and
// lengths of the records.
func maxCallBytes(s adapter.Settings) int { return s.MaxAppendBytes / 2 }

func provideEntryJournal(store *relay.KeyedLog, self incarnation.ID, state *workload.State, clock monotonic.Clock, status *leaderStatus) *journal.Journal[workload.Record] {
	var j *journal.Journal[workload.Record]
	j = journal.New(store, workloadStream, self, journal.StateMachine[workload.Record](state), journal.Options{
		SnapshotEvery: snapshotInterval, AppendTimeout: appendTimeout, CheckInterval: logCheckInterval, ReadWait: readWait, Clock: clock, CatchUp: catchUp(store),
		MaySnapshot: status.isLeader,
		ReadPause: func() time.Duration {
			entries, workers := 0, 0
			j.View(func(time.Time) { entries, workers = len(state.Entries()), state.PresentWorkers() })
			if status.isLeader() {
				return time.Duration(workers) * leaderReadPausePerWorker
			}
			return min(time.Duration(entries)*entryReadPausePerEntry, maxEntryReadPause)
		},
	})
	store.Observe(workloadStream, j.Accept)
	return j
}

// catchUp returns the journal option CatchUp for the workload.
func catchUp(store *relay.KeyedLog) func(context.Context, platform.Offset) ([]platform.LogRecord, error) {
	return func(ctx context.Context, from platform.Offset) ([]platform.LogRecord, error) {
		return store.CatchUp(ctx, workloadStream, from)
	}
}

// isLeader reports whether this process leads. It is false before leads is set.
func (s *leaderStatus) isLeader() bool { return s.leads != nil && s.leads() }

func provideAgentJournal(store *relay.KeyedLog, self incarnation.ID, state *workload.State, clock monotonic.Clock) *journal.Journal[workload.Record] {
	var j *journal.Journal[workload.Record]
	j = journal.New(store, workloadStream, self, journal.StateMachine[workload.Record](state), journal.Options{
		SnapshotEvery: snapshotInterval, AppendTimeout: appendTimeout, CheckInterval: logCheckInterval, ReadWait: readWait, Clock: clock, CatchUp: catchUp(store),
		MaySnapshot: func() bool { return false },
		ReadPause: func() time.Duration {
			workers := 0
			j.View(func(time.Time) { workers = state.PresentWorkers() })
			return min(max(time.Duration(workers)*agentReadPausePerWorker, minAgentReadPause), maxAgentReadPause)
		},
	})
	return j
}

// servers is a group of HTTP servers that are closed together. The zero value is an empty
// group. It is not safe for concurrent use.
type servers struct {
	all []*http.Server
	// ended receives the error of each server that stops serving. It is nil before the
	// first server. Its capacity exceeds the number of servers, so that no send blocks.
	ended chan error
}

// listenAndServe listens on the address and starts to serve the handler there. It returns
// without waiting for the server to end.
func (v *servers) listenAndServe(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("command: listen for HTTP: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	v.all = append(v.all, server)
	if v.ended == nil {
		v.ended = make(chan error, 8)
	}
	go func() { v.ended <- server.Serve(l) }()
	return nil
}

// close closes all servers and their connections without waiting for running calls.
func (v *servers) close() {
	for _, s := range v.all {
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

// listenAndServe adds to v a server for the metrics on port p, or none if p is 0.
func (p metricsPort) listenAndServe(v *servers, set *metrics.Set) error {
	if p == 0 {
		return nil
	}
	return v.listenAndServe(fmt.Sprintf(":%d", p), metricsHandler(set))
}
