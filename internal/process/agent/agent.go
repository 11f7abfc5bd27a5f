// Package agent implements the agent process that runs beside a minion and passes
// requests to it. The minion announces itself over local HTTP; the agent sends heartbeats
// about it to a few entries. Entries send orders over a link: a dispatch.Table decides
// which of them start, and the agent passes these to the minion over HTTP. On shutdown
// the agent refuses new orders and waits for those that run.
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
	// heartbeatInterval is the time between two heartbeats while nothing changes.
	heartbeatInterval = 3 * time.Second
	// refreshInterval is the time between two checks whether the minion is still present
	// and a heartbeat is due.
	refreshInterval = time.Second
	// entriesPerHeartbeat is the number of entries to which each heartbeat is sent.
	entriesPerHeartbeat = 2
	// drainTimeout is the longest wait for the last answers to be sent.
	drainTimeout = 2 * time.Second
	// heartbeatTimeout is the timeout of one heartbeat call.
	heartbeatTimeout = time.Second
)

// Agent is the agent process. Use New. Its methods are safe for concurrent use.
type Agent struct {
	settings Settings
	logger   hclog.Logger
	member   membership.Member
	table    *dispatch.Table
	minion   *minion
	pool     *link.Pool
	contacts *contacts
	metrics  *metrics.Set

	// sequence is the number of the last heartbeat.
	sequence atomic.Uint64
	// version is the newest bundle version that an entry has reported.
	version atomic.Uint64
	// leaving is set when the agent drains.
	leaving atomic.Bool
	// wake has one element if a heartbeat must be sent at once.
	wake chan struct{}
	// lastAdvertised and lastHeartbeat are the values and the time of the last
	// heartbeat. Only the goroutine that sends heartbeats uses them.
	lastAdvertised advertised
	lastHeartbeat  time.Time
}

// New returns an Agent. It is idle until Run or StartHeartbeats is called.
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

// Announce processes an announcement of the minion. If it differs from the last one, or
// the minion was not present, a heartbeat is requested at once.
func (a *Agent) Announce(announcement Announcement) {
	now := time.Now()
	previous, present := a.minion.present(now)
	a.minion.announce(now, announcement)
	a.refreshTable()
	if !present || previous != announcement {
		a.requestHeartbeat()
	}
}

// refreshTable updates the dispatch table from the minion's last announcement.
func (a *Agent) refreshTable() {
	announcement, present := a.minion.present(time.Now())
	if !present {
		a.table.SetMinion(announcement.Service, 0)
		return
	}
	a.table.SetMinion(announcement.Service, announcement.Slots)
	a.table.SetLeaving(announcement.Leaving || a.leaving.Load())
}

// requestHeartbeat makes the agent send a heartbeat at once.
func (a *Agent) requestHeartbeat() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Handlers returns the handlers of the link methods that the agent serves.
func (a *Agent) Handlers() link.Handlers {
	return link.Handlers{
		dispatch.MethodRun: link.Handle(func(ctx context.Context, o dispatch.Order) (dispatch.Reply, error) {
			reply := a.table.Run(ctx, o)
			reply.Version = a.BundleVersion()
			a.countOrder(o, reply)
			return reply, nil
		}),
		dispatch.MethodRevoke: link.Handle(func(ctx context.Context, r dispatch.Revocation) (dispatch.Reply, error) {
			return a.table.Revoke(ctx, r), nil
		}),
	}
}

// Run serves until the context ends. It then refuses new requests, notifies the entries
// and waits for the requests that run, as Drain does.
func (a *Agent) Run(ctx context.Context) error {
	linkListener, err := net.Listen("tcp", string(a.settings.LinkAddress))
	if err != nil {
		return fmt.Errorf("agent: listen for entries: %w", err)
	}
	localListener, err := net.Listen("tcp", a.settings.LocalAddress)
	if err != nil {
		return fmt.Errorf("agent: listen for the minion: %w", err)
	}
	// The servers outlive ctx until the running requests have ended.
	servingCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	server := link.NewServer(a.Handlers())
	linkEnded := server.Serve(servingCtx, linkListener)
	localServer := &http.Server{Handler: a.localHandler(), ReadHeaderTimeout: 5 * time.Second}
	localEnded := make(chan error, 1)
	go func() { localEnded <- localServer.Serve(localListener) }()
	heartbeatsEnded := a.StartHeartbeats(servingCtx)
	a.logger.Info("agent started", "link", a.settings.LinkAddress, "local", a.settings.LocalAddress)
	select {
	case <-ctx.Done():
	case err := <-linkEnded:
		return fmt.Errorf("agent: link server ended: %w", err)
	case err := <-localEnded:
		return fmt.Errorf("agent: local server ended: %w", err)
	}
	a.Drain(servingCtx)
	drainCtx, cancel := context.WithTimeout(servingCtx, drainTimeout)
	defer cancel()
	server.Drain(drainCtx)
	_ = localServer.Close()
	stop()
	<-linkEnded
	<-heartbeatsEnded
	a.pool.Close()
	a.logger.Info("agent stopped")
	return nil
}

// Drain refuses new requests and notifies the entries by a heartbeat. It waits for
// Settings.NoticeTime, then until no request runs, at most for Settings.DrainTime.
func (a *Agent) Drain(ctx context.Context) {
	a.leaving.Store(true)
	a.table.SetLeaving(true)
	a.requestHeartbeat()
	noticeTimer := time.NewTimer(a.settings.NoticeTime.Std())
	defer noticeTimer.Stop()
	select {
	case <-noticeTimer.C:
	case <-ctx.Done():
		return
	}
	drainTimer := time.NewTimer(a.settings.DrainTime.Std())
	defer drainTimer.Stop()
	select {
	case <-a.table.Idle():
	case <-drainTimer.C:
		a.logger.Warn("drain time expired before all requests ended")
	case <-ctx.Done():
	}
}

// StartHeartbeats sends heartbeats to entries until the context ends. The returned
// channel then receives nil.
func (a *Agent) StartHeartbeats(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(refreshInterval)
		defer ticker.Stop()
		for {
			a.refreshTable()
			if a.heartbeatDue(time.Now()) {
				a.sendHeartbeats(ctx)
			}
			select {
			case <-ctx.Done():
				ended <- nil
				return
			case <-a.wake:
				a.forceHeartbeat()
			case <-ticker.C:
			}
		}
	}()
	return ended
}

// heartbeatDue reports whether a heartbeat is due: the interval has passed, or one of
// the advertised values has changed. If it is due, heartbeatDue records it as sent.
func (a *Agent) heartbeatDue(now time.Time) bool {
	slots, _, leaving := a.table.Load()
	current := advertised{slots: slots, leaving: leaving, version: a.BundleVersion()}
	if current == a.lastAdvertised && now.Sub(a.lastHeartbeat) < heartbeatInterval-refreshInterval/2 {
		return false
	}
	a.lastAdvertised = current
	a.lastHeartbeat = now
	return true
}

// forceHeartbeat makes the next call of heartbeatDue return true.
func (a *Agent) forceHeartbeat() { a.lastHeartbeat = time.Time{} }

// advertised has the values whose changes are sent to the entries at once.
type advertised struct {
	slots   int
	leaving bool
	version bundle.Version
}

// sendHeartbeats sends one heartbeat to each of the chosen entries and waits for the
// replies.
func (a *Agent) sendHeartbeats(ctx context.Context) {
	slots, busy, leaving := a.table.Load()
	member := a.member
	announcement, _ := a.minion.present(time.Now())
	member.Service = announcement.Service
	heartbeat := membership.Heartbeat{Member: member, Health: membership.Health{
		Sequence: a.sequence.Add(1), Version: a.BundleVersion(),
		Leaving: leaving, Slots: slots, Busy: busy,
	}}
	var group sync.WaitGroup
	for _, address := range a.contacts.choose(time.Now(), entriesPerHeartbeat) {
		group.Go(func() { a.sendHeartbeat(ctx, address, heartbeat) })
	}
	group.Wait()
}

func (a *Agent) sendHeartbeat(ctx context.Context, address link.Address, heartbeat membership.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	report := membership.Report{Beat: heartbeat, Knows: a.contacts.lastFingerprint(address)}
	reply, err := link.Call[membership.HeartbeatReply](ctx, a.pool, address, membership.MethodHeartbeat, report)
	if err != nil {
		a.logger.Debug("heartbeat failed", "entry", address, "error", err)
		a.contacts.recordFailure(time.Now(), address)
		return
	}
	a.contacts.update(time.Now(), address, reply)
	a.raiseVersion(reply.Version)
}

// raiseVersion sets the version to v unless the current one is newer.
func (a *Agent) raiseVersion(v bundle.Version) {
	for {
		current := a.version.Load()
		if uint64(v) <= current || a.version.CompareAndSwap(current, uint64(v)) {
			return
		}
	}
}

// localHandler returns the handler of the minion's announcements, metrics and health.
func (a *Agent) localHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/minion", a.putMinion)
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", a.getReady)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		a.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	handler := negroni.New(negroni.NewRecovery())
	handler.UseHandler(mux)
	return handler
}

func (a *Agent) putMinion(w http.ResponseWriter, r *http.Request) {
	announcement, err := decodeAnnouncement(http.MaxBytesReader(w, r.Body, 1<<16))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.Announce(announcement)
	w.WriteHeader(http.StatusNoContent)
}

func (a *Agent) getReady(w http.ResponseWriter, _ *http.Request) {
	if slots, _, leaving := a.table.Load(); slots == 0 || leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// RunningRequests returns the number of requests that run on the minion.
func (a *Agent) RunningRequests() int {
	_, busy, _ := a.table.Load()
	return busy
}

// BundleVersion returns the newest bundle version that an entry has reported, 0 before
// the first.
func (a *Agent) BundleVersion() bundle.Version { return bundle.Version(a.version.Load()) }
