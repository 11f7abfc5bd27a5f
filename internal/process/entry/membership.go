package entry

import (
	"context"
	"maps"
	"sync"
	"time"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/process/membership"
	"corianderpass/internal/request/gate"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

const (
	// exchangeInterval is the time between two exchanges with entries of this region.
	exchangeInterval = time.Second
	// farExchangeInterval is the time between two exchanges with another region.
	farExchangeInterval = 5 * time.Second
	// exchangeTimeout limits one exchange.
	exchangeTimeout = time.Second
)

// sessions are the states of the exchanges with other entries.
type sessions struct {
	mu sync.Mutex
	// out has the sessions that this entry starts, by the address of the other entry.
	// in has those that other entries start, by their IDs.
	out map[link.Address]*membership.Session
	in  map[incarnation.ID]*membership.Session
	// lastFarExchange is when the last exchange with other regions started; zero makes
	// the next one due at once.
	lastFarExchange time.Time
}

// prune removes the sessions with entries that are no longer alive. The caller must
// hold the lock.
func (s *sessions) prune(d *membership.Directory) {
	maps.DeleteFunc(s.out, func(_ link.Address, session *membership.Session) bool {
		return session.Peer != "" && !d.IsAlive(session.Peer)
	})
	maps.DeleteFunc(s.in, func(id incarnation.ID, _ *membership.Session) bool { return !d.IsAlive(id) })
}

// sessionWith returns the session of the key and creates it if needed. The caller
// must hold the lock.
func sessionWith[K comparable](m *map[K]*membership.Session, key K) *membership.Session {
	if *m == nil {
		*m = map[K]*membership.Session{}
	}
	session := (*m)[key]
	if session == nil {
		session = &membership.Session{}
		(*m)[key] = session
	}
	return session
}

// ownHeartbeat returns this entry's heartbeat with the next sequence number.
func (e *Entry) ownHeartbeat() membership.Heartbeat {
	h := membership.Health{
		Sequence: e.heartbeatSequence.Add(1), Leaving: e.leaving.Load(), Shortfall: int(e.shortfall.Load()),
	}
	h.Version = e.version()
	return membership.Heartbeat{Member: e.member, Health: h}
}

// version returns the version of the bundle in force here, or 0 if there is none.
func (e *Entry) version() bundle.Version {
	if current := e.register.Current(); current != nil {
		return current.Version
	}
	return 0
}

// heartbeatsFor returns the heartbeats that are sent to an entry of the region. An entry of
// this region gets this entry's own and those of the agents that report to this entry. An
// entry of another region gets those of all processes of this region.
func (e *Entry) heartbeatsFor(now time.Time, region platform.Region) []membership.Heartbeat {
	return append(e.directory.AliveWithAge(now, func(b membership.Heartbeat) bool {
		if b.Region != e.settings.Region || b.ID == e.member.ID {
			return false
		}
		return region != e.settings.Region || b.Role == membership.RoleAgent && e.directAgents.IsAlive(b.ID)
	}), e.ownHeartbeat())
}

// exchange exchanges heartbeats with the other entries of this region and, when that is due,
// with one entry of each other region. It then updates the gate.
func (e *Entry) exchange(ctx context.Context) {
	now := time.Now()
	e.directory.Update(now, e.ownHeartbeat())
	e.directAgents.Sweep(now)
	e.exchangeAll(ctx, e.duePeers(now, e.exchangePeers()))
	e.refreshGate()
}

// exchangeAll exchanges heartbeats with the peers in parallel and returns when all have
// answered or failed.
func (e *Entry) exchangeAll(ctx context.Context, peers map[link.Address]platform.Region) {
	var group sync.WaitGroup
	for address, region := range peers {
		group.Go(func() { e.exchangeWith(ctx, address, region) })
	}
	group.Wait()
}

// duePeers removes the peers of other regions from the map unless an exchange with them is
// due, and returns the map. It also prunes the sessions.
func (e *Entry) duePeers(now time.Time, peers map[link.Address]platform.Region) map[link.Address]platform.Region {
	e.sessions.mu.Lock()
	defer e.sessions.mu.Unlock()
	e.sessions.prune(&e.directory)
	farDue := e.leaving.Load() || now.Sub(e.sessions.lastFarExchange) >= farExchangeInterval-exchangeInterval/2
	if farDue {
		e.sessions.lastFarExchange = now
		return peers
	}
	for address, region := range peers {
		if region != e.settings.Region {
			delete(peers, address)
		}
	}
	return peers
}

// exchangePeers returns the entries with which this one starts an exchange, and their
// regions. An exchange informs both sides, so that of two entries of this region only the one
// with the lower ID starts it; an entry that is leaving starts it with all. Each other region
// is represented by the entry that ranks first for this one. Peers of the settings are
// included while no entry with their address is alive, and are assigned to this region.
func (e *Entry) exchangePeers() map[link.Address]platform.Region {
	peers := map[link.Address]platform.Region{}
	byRegion := map[platform.Region][]membership.Heartbeat{}
	alive := map[link.Address]bool{e.settings.LinkAddress: true}
	for _, b := range e.directory.Alive() {
		if b.Role != membership.RoleEntry || b.ID == e.member.ID {
			continue
		}
		alive[b.Address] = true
		if b.Region == e.settings.Region && b.ID < e.member.ID && !e.leaving.Load() {
			continue
		}
		byRegion[b.Region] = append(byRegion[b.Region], b)
	}
	for region, entries := range byRegion {
		if region != e.settings.Region {
			entries = membership.Rank(string(e.member.ID), entries)[:1]
		}
		for _, b := range entries {
			peers[b.Address] = region
		}
	}
	for _, p := range e.settings.Peers {
		if address := link.Address(p); !alive[address] {
			peers[address] = e.settings.Region
		}
	}
	return peers
}

// otherEntries returns the addresses of all other entries that are alive or in the settings.
func (e *Entry) otherEntries() []link.Address {
	added := map[link.Address]bool{e.settings.LinkAddress: true}
	var addresses []link.Address
	add := func(a link.Address) {
		if !added[a] {
			added[a] = true
			addresses = append(addresses, a)
		}
	}
	for _, b := range e.directory.Alive() {
		if b.Role == membership.RoleEntry {
			add(b.Address)
		}
	}
	for _, p := range e.settings.Peers {
		add(link.Address(p))
	}
	return addresses
}

func (e *Entry) exchangeWith(ctx context.Context, address link.Address, region platform.Region) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	e.sessions.mu.Lock()
	digest := sessionWith(&e.sessions.out, address).BuildDigest(e.member.ID, e.version(), e.heartbeatsFor(time.Now(), region))
	e.sessions.mu.Unlock()
	answer, err := link.Call[membership.Digest](ctx, e.pool, address, membership.MethodExchange, digest)
	e.sessions.mu.Lock()
	defer e.sessions.mu.Unlock()
	if err != nil {
		e.logger.Debug("exchange failed", "peer", address, "error", err)
		e.handleExchangeFailure(address, region)
		return
	}
	sessionWith(&e.sessions.out, address).ApplyDigest(time.Now(), answer, &e.directory)
}

// handleExchangeFailure drops the session, since it is not known what the peer has
// received. A peer of another region is also removed from the directory, and the next
// exchange, one exchangeInterval later, chooses another entry there. The caller must hold
// the lock of the sessions.
func (e *Entry) handleExchangeFailure(address link.Address, region platform.Region) {
	peer := sessionWith(&e.sessions.out, address).Peer
	delete(e.sessions.out, address)
	if region != e.settings.Region {
		e.directory.MarkDead(time.Now(), peer)
		e.sessions.lastFarExchange = time.Time{}
	}
}

// handleExchange handles membership.MethodExchange: it applies another entry's digest to the
// directory and answers with the digest of this entry.
func (e *Entry) handleExchange(_ context.Context, d membership.Digest) (membership.Digest, error) {
	now := time.Now()
	e.sessions.mu.Lock()
	defer e.sessions.mu.Unlock()
	session := sessionWith(&e.sessions.in, d.From)
	session.ApplyDigest(now, d, &e.directory)
	e.refreshGate()
	sender, found := e.directory.Find(d.From)
	if !found {
		// The digest contains only the sender's number, not its description, since the
		// session began before this process started. The answer asks for the
		// description and does not contain other heartbeats, because the sender's region
		// is not known.
		return session.BuildDigest(e.member.ID, e.version(), []membership.Heartbeat{e.ownHeartbeat()}), nil
	}
	return session.BuildDigest(e.member.ID, e.version(), e.heartbeatsFor(now, sender.Region)), nil
}

// handleHeartbeat handles membership.MethodHeartbeat: it records an agent's heartbeat and
// answers with the bundle version, and with the region's entries if they differ from those
// that the agent has.
func (e *Entry) handleHeartbeat(_ context.Context, r membership.Report) (membership.HeartbeatReply, error) {
	now := time.Now()
	e.directAgents.Update(now, r.Beat)
	e.directory.Update(now, r.Beat)
	e.refreshGate()
	reply := membership.HeartbeatReply{Version: e.version()}
	entries := e.directory.AliveWithAge(now, func(b membership.Heartbeat) bool {
		return b.Role == membership.RoleEntry && b.Region == e.settings.Region
	})
	reply.Mark = membership.FingerprintOf(entries)
	if reply.Mark != r.Knows {
		reply.Entries = entries
	}
	return reply, nil
}

// refreshGate sets the gate's limits from the bundle, and its agents if the directory has
// changed since the last call.
func (e *Entry) refreshGate() {
	e.directory.Sweep(time.Now())
	generation := e.directory.Generation()
	e.gateMu.Lock()
	defer e.gateMu.Unlock()
	if current := e.register.Current(); current != nil {
		limits := current.Bundle.Limits
		e.gate.SetLimits(limits.WaitingRequests, limits.PaidBytesPerSecond)
	}
	if generation == e.gateGeneration {
		return
	}
	e.gateGeneration = generation
	entries := max(1, len(e.directory.Entries(e.settings.Region)))
	var agents []gate.Agent
	for _, b := range e.directory.Alive() {
		if b.Role != membership.RoleAgent || b.Leaving || b.Slots == 0 {
			continue
		}
		agents = append(agents, gate.Agent{
			ID: b.ID, Address: b.Address, Region: b.Region, Service: b.Service,
			Slots: b.Slots, Busy: b.Busy, Entries: entries,
		})
	}
	e.gate.SetAgents(agents)
}
