package entry

import (
	"context"
	"sync"
	"time"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/membership"
	"corianderpass/internal/request/gate"
)

const (
	// exchangeEvery is the time between two digests to every other entry.
	exchangeEvery = 500 * time.Millisecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
)

// ownBeat is the entry's word on itself.
func (e *Entry) ownBeat() membership.Heartbeat {
	h := membership.Health{
		Sequence: e.sequence.Add(1), Leaving: e.leaving.Load(), Shortfall: int(e.shortfall.Load()),
	}
	if current := e.register.Current(); current != nil {
		h.Version = current.Version
	}
	return membership.Heartbeat{Member: e.member, Health: h}
}

// digest is what this entry tells others: itself, and the agents of its region
// that it heard of.
func (e *Entry) digest(now time.Time) membership.Digest {
	beats := []membership.Heartbeat{e.ownBeat()}
	beats = append(beats, e.directory.Digest(now, func(b membership.Heartbeat) bool {
		return b.Role == membership.RoleAgent && b.Region == e.settings.Region
	})...)
	return membership.Digest{Beats: beats}
}

// exchange tells all other entries who is alive and hears the same from them.
func (e *Entry) exchange(ctx context.Context) {
	now := time.Now()
	e.directory.Hear(now, e.ownBeat())
	digest := e.digest(now)
	var group sync.WaitGroup
	for _, address := range e.peers() {
		group.Go(func() { e.exchangeWith(ctx, address, digest) })
	}
	group.Wait()
	e.refreshGate()
}

// peers returns the addresses of all other entries, known or set.
func (e *Entry) peers() []link.Address {
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

func (e *Entry) exchangeWith(ctx context.Context, address link.Address, digest membership.Digest) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := link.Call[membership.Digest](ctx, e.pool, address, membership.MethodExchange, digest)
	if err != nil {
		e.logger.Debug("exchange failed", "peer", address, "error", err)
		return
	}
	e.directory.Hear(time.Now(), answer.Beats...)
}

// hearDigest answers another entry's exchange.
func (e *Entry) hearDigest(_ context.Context, d membership.Digest) (membership.Digest, error) {
	now := time.Now()
	e.directory.Hear(now, d.Beats...)
	e.refreshGate()
	return e.digest(now), nil
}

// hearHeartbeat answers an agent.
func (e *Entry) hearHeartbeat(_ context.Context, b membership.Heartbeat) (membership.HeartbeatReply, error) {
	now := time.Now()
	e.directory.Hear(now, b)
	e.refreshGate()
	reply := membership.HeartbeatReply{}
	if current := e.register.Current(); current != nil {
		reply.Version = current.Version
	}
	reply.Entries = e.directory.Digest(now, func(b membership.Heartbeat) bool {
		return b.Role == membership.RoleEntry && b.Region == e.settings.Region
	})
	return reply, nil
}

// refreshGate tells the gate which agents are there.
func (e *Entry) refreshGate() {
	now := time.Now()
	e.directory.Sweep(now)
	if current := e.register.Current(); current != nil {
		l := current.Bundle.Limits
		e.gate.SetLimits(l.WaitingRequests, l.PaidBytesPerSecond)
	}
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
