// Package agent is the small process beside a minion. It announces the minion to
// a few entries, judges which requests start, hands them to the minion, and
// leaves without cutting any.
package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/urfave/negroni/v3"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/membership"
	"corianderpass/internal/request/dispatch"
	"corianderpass/internal/version/bundle"
)

const (
	// heartbeatEvery is the time between two heartbeats to one entry while nothing
	// changes.
	heartbeatEvery = 3 * time.Second
	// refreshEvery is the time between two looks at the minion.
	refreshEvery = time.Second
	// heartbeatCopies is the number of entries that hear each heartbeat.
	heartbeatCopies = 2
	// drainTimeout bounds the wait for the last answers to be sent.
	drainTimeout = 2 * time.Second
	// heartbeatTimeout bounds one heartbeat.
	heartbeatTimeout = time.Second
)

// Agent is the process. Use New.
type Agent struct {
	settings Settings
	logger   hclog.Logger
	member   membership.Member
	table    *dispatch.Table
	minion   *minion
	pool     *link.Pool
	contacts *contacts
	metrics  *metrics.Set

	sequence atomic.Uint64
	version  atomic.Uint64
	leaving  atomic.Bool
	// wake asks for a heartbeat before its time.
	wake chan struct{}
	// lastTold and lastBeat belong to the goroutine that sends heartbeats.
	lastTold told
	lastBeat time.Time
}

// New returns an agent that does nothing before Run.
func New(s Settings, logger hclog.Logger, dial link.Dialer, minionDial MinionDialer) *Agent {
	self := incarnation.New(s.Name, time.Now())
	a := &Agent{
		settings: s,
		logger:   logger.With("incarnation", string(self)),
		member: membership.Member{
			ID: self, Role: membership.RoleAgent, Address: s.LinkAddress,
			Region: s.Region, FailureDomain: s.FailureDomain,
		},
		minion:   &minion{dial: minionDial},
		pool:     link.NewPool(dial),
		contacts: newContacts(self, s.Entries),
		metrics:  metrics.NewSet(),
		wake:     make(chan struct{}, 1),
	}
	a.table = dispatch.NewTable(self, a.minion.run)
	a.registerMetrics()
	return a
}

// Announce takes a minion's announcement in. The entries hear at once of what has
// changed, and the rest with the next heartbeat.
func (a *Agent) Announce(n Announcement) {
	now := time.Now()
	before, present := a.minion.present(now)
	a.minion.announce(now, n)
	a.refreshTable()
	if !present || before != n {
		a.hurry()
	}
}

// refreshTable tells the table what the minion is now.
func (a *Agent) refreshTable() {
	n, present := a.minion.present(time.Now())
	if !present {
		a.table.SetMinion(n.Service, 0)
		return
	}
	a.table.SetMinion(n.Service, n.Slots)
	a.table.SetLeaving(n.Leaving || a.leaving.Load())
}

// hurry asks for a heartbeat now.
func (a *Agent) hurry() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Table returns the methods that the agent answers.
func (a *Agent) Table() link.Handlers {
	return link.Handlers{
		dispatch.MethodRun: link.Handle(func(ctx context.Context, o dispatch.Order) (dispatch.Reply, error) {
			reply := a.table.Run(ctx, o)
			reply.Version = a.BundleVersion()
			a.count(o, reply)
			return reply, nil
		}),
		dispatch.MethodRevoke: link.Handle(func(ctx context.Context, r dispatch.Revocation) (dispatch.Reply, error) {
			return a.table.Revoke(ctx, r), nil
		}),
	}
}

// Run serves until the context ends, then leaves: it refuses new requests, tells
// the entries, and waits for those that run.
func (a *Agent) Run(ctx context.Context) error {
	linkListener, err := net.Listen("tcp", string(a.settings.LinkAddress))
	if err != nil {
		return fmt.Errorf("agent: listen for entries: %w", err)
	}
	localListener, err := net.Listen("tcp", a.settings.LocalAddress)
	if err != nil {
		return fmt.Errorf("agent: listen for the minion: %w", err)
	}
	// What serves outlives ctx until the requests under way have ended.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	server := link.NewServer(a.Table())
	linkEnded := server.Serve(serving, linkListener)
	local := &http.Server{Handler: a.localHandler(), ReadHeaderTimeout: 5 * time.Second}
	localEnded := make(chan error, 1)
	go func() { localEnded <- local.Serve(localListener) }()
	beatsEnded := a.StartHeartbeats(serving)
	a.logger.Info("agent is up", "link", a.settings.LinkAddress, "local", a.settings.LocalAddress)
	select {
	case <-ctx.Done():
	case err := <-linkEnded:
		return fmt.Errorf("agent: link ended: %w", err)
	case err := <-localEnded:
		return fmt.Errorf("agent: local server ended: %w", err)
	}
	a.Drain(serving)
	drain, cancel := context.WithTimeout(serving, drainTimeout)
	defer cancel()
	server.Drain(drain)
	_ = local.Close()
	stop()
	<-linkEnded
	<-beatsEnded
	a.pool.Close()
	a.logger.Info("agent has left")
	return nil
}

// Drain refuses new requests and tells the entries. It returns when every entry
// had the time to hear of it and nothing runs any more, or the drain time is over.
func (a *Agent) Drain(ctx context.Context) {
	a.leaving.Store(true)
	a.table.SetLeaving(true)
	a.hurry()
	notice := time.NewTimer(a.settings.NoticeTime.Std())
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
		return
	}
	drain := time.NewTimer(a.settings.DrainTime.Std())
	defer drain.Stop()
	select {
	case <-a.table.Idle():
	case <-drain.C:
		a.logger.Warn("drain time is over while requests still run")
	case <-ctx.Done():
	}
}

// StartHeartbeats announces the agent until the context ends.
func (a *Agent) StartHeartbeats(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick := time.NewTicker(refreshEvery)
		defer tick.Stop()
		for {
			a.refreshTable()
			if a.beatIsDue(time.Now()) {
				a.beat(ctx)
			}
			select {
			case <-ctx.Done():
				ended <- nil
				return
			case <-a.wake:
				a.forceBeat()
			case <-tick.C:
			}
		}
	}()
	return ended
}

// beatIsDue tells whether the entries must hear of the agent now: the time has
// come, or it has another number of slots, another bundle, or leaves.
func (a *Agent) beatIsDue(now time.Time) bool {
	slots, _, leaving := a.table.Load()
	news := told{slots: slots, leaving: leaving, version: a.BundleVersion()}
	if news == a.lastTold && now.Sub(a.lastBeat) < heartbeatEvery-refreshEvery/2 {
		return false
	}
	a.lastTold = news
	a.lastBeat = now
	return true
}

// forceBeat makes the next look send a heartbeat.
func (a *Agent) forceBeat() { a.lastBeat = time.Time{} }

// told is what the entries must hear at once when it changes.
type told struct {
	slots   int
	leaving bool
	version bundle.Version
}

// beat sends one heartbeat to the entries chosen for this agent.
func (a *Agent) beat(ctx context.Context) {
	slots, busy, leaving := a.table.Load()
	member := a.member
	n, _ := a.minion.present(time.Now())
	member.Service = n.Service
	beat := membership.Heartbeat{Member: member, Health: membership.Health{
		Sequence: a.sequence.Add(1), Version: a.BundleVersion(),
		Leaving: leaving, Slots: slots, Busy: busy,
	}}
	var group sync.WaitGroup
	for _, address := range a.contacts.choose(time.Now(), heartbeatCopies) {
		group.Go(func() { a.send(ctx, address, beat) })
	}
	group.Wait()
}

func (a *Agent) send(ctx context.Context, address link.Address, beat membership.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	report := membership.Report{Beat: beat, Knows: a.contacts.mark(address)}
	reply, err := link.Call[membership.HeartbeatReply](ctx, a.pool, address, membership.MethodHeartbeat, report)
	if err != nil {
		a.logger.Debug("heartbeat failed", "entry", address, "error", err)
		a.contacts.failed(time.Now(), address)
		return
	}
	a.contacts.hear(time.Now(), address, reply)
	a.raise(reply.Version)
}

// raise moves the version in force up, never down.
func (a *Agent) raise(v bundle.Version) {
	for {
		known := a.version.Load()
		if uint64(v) <= known || a.version.CompareAndSwap(known, uint64(v)) {
			return
		}
	}
}

// localHandler serves the minion, metrics and health.
func (a *Agent) localHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/minion", a.putMinion)
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", a.getReady)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		a.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	n := negroni.New(negroni.NewRecovery())
	n.UseHandler(mux)
	return n
}

func (a *Agent) putMinion(w http.ResponseWriter, r *http.Request) {
	n, err := decodeAnnouncement(http.MaxBytesReader(w, r.Body, 1<<16))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.Announce(n)
	w.WriteHeader(http.StatusNoContent)
}

func (a *Agent) getReady(w http.ResponseWriter, _ *http.Request) {
	if slots, _, leaving := a.table.Load(); slots == 0 || leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// RunningRequests returns the number of requests that run.
func (a *Agent) RunningRequests() int {
	_, busy, _ := a.table.Load()
	return busy
}

// BundleVersion returns the bundle in force at the agent.
func (a *Agent) BundleVersion() bundle.Version { return bundle.Version(a.version.Load()) }
