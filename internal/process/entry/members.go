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
	// exchangeInterval is the time between two digests to an entry of the own region.
	exchangeInterval = time.Second
	// farExchangeInterval is that to an entry of another region.
	farExchangeInterval = 5 * time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
)

// conversations are what this entry and others told each other.
type conversations struct {
	mu sync.Mutex
	// out are those that this entry begins, in those that others begin.
	out map[link.Address]*membership.Session
	in  map[incarnation.ID]*membership.Session
	// lastFarExchange is when other regions were told last.
	lastFarExchange time.Time
}

// prune ends the conversations with entries that are gone. The lock must be held.
func (c *conversations) prune(d *membership.Directory) {
	maps.DeleteFunc(c.out, func(_ link.Address, with *membership.Session) bool {
		return with.Peer != "" && !d.IsAlive(with.Peer)
	})
	maps.DeleteFunc(c.in, func(with incarnation.ID, _ *membership.Session) bool { return !d.IsAlive(with) })
}

// conversationWith returns the conversation with the key. The lock must be held.
func conversationWith[K comparable](m *map[K]*membership.Session, key K) *membership.Session {
	if *m == nil {
		*m = map[K]*membership.Session{}
	}
	c := (*m)[key]
	if c == nil {
		c = &membership.Session{}
		(*m)[key] = c
	}
	return c
}

// ownHeartbeat is the entry's word on itself.
func (e *Entry) ownHeartbeat() membership.Heartbeat {
	h := membership.Health{
		Sequence: e.heartbeatSequence.Add(1), Leaving: e.leaving.Load(), Shortfall: int(e.shortfall.Load()),
	}
	h.Version = e.version()
	return membership.Heartbeat{Member: e.member, Health: h}
}

// version returns the bundle in force here, 0 for none.
func (e *Entry) version() bundle.Version {
	if current := e.register.Current(); current != nil {
		return current.Version
	}
	return 0
}

// heartbeatsFor is what this entry tells another one: itself, and to its own region the
// agents that it heard itself, to another region all processes of its own.
func (e *Entry) heartbeatsFor(now time.Time, region platform.Region) []membership.Heartbeat {
	return append(e.directory.AliveWithAge(now, func(b membership.Heartbeat) bool {
		if b.Region != e.settings.Region || b.ID == e.member.ID {
			return false
		}
		return region != e.settings.Region || b.Role == membership.RoleAgent && e.directAgents.IsAlive(b.ID)
	}), e.ownHeartbeat())
}

// exchange tells other entries who is alive and hears the same from them: all of
// its own region, and one of each other region, which it chooses by rank.
func (e *Entry) exchange(ctx context.Context) {
	now := time.Now()
	e.directory.Update(now, e.ownHeartbeat())
	e.directAgents.Sweep(now)
	e.exchangeAll(ctx, e.duePeers(now, e.exchangePeers()))
	e.refreshGate()
}

// exchangeAll exchanges with the partners and returns when all have answered or failed.
func (e *Entry) exchangeAll(ctx context.Context, peers map[link.Address]platform.Region) {
	var group sync.WaitGroup
	for address, region := range peers {
		group.Go(func() { e.exchangeWith(ctx, address, region) })
	}
	group.Wait()
}

// duePeers leaves out the partners of other regions until their time has come.
func (e *Entry) duePeers(now time.Time, peers map[link.Address]platform.Region) map[link.Address]platform.Region {
	e.conversations.mu.Lock()
	defer e.conversations.mu.Unlock()
	e.conversations.prune(&e.directory)
	farDue := e.leaving.Load() || now.Sub(e.conversations.lastFarExchange) >= farExchangeInterval-exchangeInterval/2
	if farDue {
		e.conversations.lastFarExchange = now
		return peers
	}
	for address, region := range peers {
		if region != e.settings.Region {
			delete(peers, address)
		}
	}
	return peers
}

// exchangePeers returns the entries to exchange with and their regions. In the own
// region the entry with the lower ID begins, unless this one is leaving, as the
// answer tells as much as the question. The entries of the settings are asked as
// long as they are not known to be alive.
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

// otherEntries returns the addresses of all other entries, known or set.
func (e *Entry) otherEntries() []link.Address {
	seen := map[link.Address]bool{e.settings.LinkAddress: true}
	var addresses []link.Address
	add := func(a link.Address) {
		if !seen[a] {
			seen[a] = true
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
	e.conversations.mu.Lock()
	digest := conversationWith(&e.conversations.out, address).BuildDigest(e.member.ID, e.version(), e.heartbeatsFor(time.Now(), region))
	e.conversations.mu.Unlock()
	answer, err := link.Call[membership.Digest](ctx, e.pool, address, membership.MethodExchange, digest)
	e.conversations.mu.Lock()
	defer e.conversations.mu.Unlock()
	if err != nil {
		e.logger.Debug("exchange failed", "peer", address, "error", err)
		e.handleExchangeFailure(address, region)
		return
	}
	conversationWith(&e.conversations.out, address).ApplyDigest(time.Now(), answer, &e.directory)
}

// handleExchangeFailure notes a failed exchange: what the other side heard is not known. An
// entry of another region that does not answer is not counted on any more, and
// the next one there is asked a second later. The lock of the conversations must
// be held.
func (e *Entry) handleExchangeFailure(address link.Address, region platform.Region) {
	peer := conversationWith(&e.conversations.out, address).Peer
	delete(e.conversations.out, address)
	if region != e.settings.Region {
		e.directory.MarkDead(time.Now(), peer)
		e.conversations.lastFarExchange = time.Time{}
	}
}

// handleExchange answers another entry's exchange.
func (e *Entry) handleExchange(_ context.Context, d membership.Digest) (membership.Digest, error) {
	now := time.Now()
	e.conversations.mu.Lock()
	defer e.conversations.mu.Unlock()
	c := conversationWith(&e.conversations.in, d.From)
	c.ApplyDigest(now, d, &e.directory)
	e.refreshGate()
	sender, found := e.directory.Find(d.From)
	if !found {
		// Described before this process began; the answer asks for it again.
		return c.BuildDigest(e.member.ID, e.version(), []membership.Heartbeat{e.ownHeartbeat()}), nil
	}
	return c.BuildDigest(e.member.ID, e.version(), e.heartbeatsFor(now, sender.Region)), nil
}

// handleHeartbeat answers an agent.
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

// refreshGate tells the gate which agents are there.
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
