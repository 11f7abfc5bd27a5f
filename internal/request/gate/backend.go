package gate

import (
	"math"
	"slices"
	"time"

	"corianderpass/internal/connection/link"
	"corianderpass/internal/process/incarnation"
	"corianderpass/internal/version/bundle"
	"corianderpass/pkg/platform"
)

// Agent describes an agent to which requests can be sent.
type Agent struct {
	ID      incarnation.ID
	Address link.Address
	Region  platform.Region
	Service bundle.ServiceName
	// Slots is the number of its minion's slots; an agent with 0 gets no requests.
	// Busy is how many were in use by the last report.
	Slots, Busy int
	// Entries is the number of entries that send to the agent; at least 1. A new
	// agent starts with a window of its slots divided by it.
	Entries int
}

// backend is an agent with the state that the gate keeps on it.
type backend struct {
	Agent
	// window limits the requests in flight to the agent, from 1 to its slots. An
	// answer raises it by 1/window, a refusal multiplies it by windowDecrease.
	window   float64
	inFlight int
	// latency is the moving average over answered requests, 0 before the first.
	latency time.Duration
	// pausedUntil is the end of the pause that follows a refusal for lack of a free
	// slot; no requests are sent during the pause. refusals counts such refusals since
	// the last answer; each doubles the next pause.
	pausedUntil time.Time
	refusals    int
	// failures counts failures since the last answer. An ejection sets it to one
	// less than failuresToEject, so that the next failure ejects again.
	failures int
	// ejectedUntil is the end of the last ejection. An ejected agent gets no requests,
	// unless too many agents are ejected.
	ejectedUntil time.Time
	// ejections counts ejections since the last answer; each doubles the length of the
	// next one.
	ejections int
}

const (
	// windowDecrease is the factor by which a refusal shrinks the window.
	windowDecrease = 0.7
	// minRefusalPause is the pause after a first refusal. It doubles with each
	// further one, maxDoublings times at most.
	minRefusalPause = 25 * time.Millisecond
	// failuresToEject is the number of failures in a row that eject an agent.
	failuresToEject = 3
	// minEjection is the length of a first ejection. It doubles with each further
	// one, maxDoublings times at most.
	minEjection  = time.Second
	maxDoublings = 5
	// latencyWeight is the inverse weight of a new sample in the moving average.
	latencyWeight = 8
	// maxEjectedShare is the greatest share of a service's agents that may be ejected.
	// If more are, requests are sent to ejected agents too, as the cause is probably
	// common to all agents and some must still get requests.
	maxEjectedShare = 0.5
)

// SetAgents replaces the agents and admits queued requests. The state of agents that
// were there before is kept.
func (g *Gate) SetAgents(agents []Agent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	backends := make(map[incarnation.ID]*backend, len(agents))
	for _, a := range agents {
		b := g.agents[a.ID]
		if b == nil {
			b = &backend{window: math.Ceil(float64(a.Slots) / float64(max(1, a.Entries)))}
		}
		b.Agent = a
		b.window = min(b.window, float64(a.Slots))
		backends[a.ID] = b
	}
	g.agents = backends
	g.admitWaiting(time.Now())
}

// finish ends a request that was in flight and adjusts the window, the pause and
// the ejection by its result.
func (b *backend) finish(now time.Time, took time.Duration, result Result) {
	b.inFlight = max(0, b.inFlight-1)
	switch result {
	case ResultAnswered:
		b.failures = 0
		b.ejections = 0
		b.refusals = 0
		b.pausedUntil = time.Time{}
		b.window = min(float64(b.Slots), b.window+1/b.window)
		b.observeLatency(took)
	case ResultRefused:
		b.window = max(1, b.window*windowDecrease)
		b.pausedUntil = now.Add(minRefusalPause << min(b.refusals, maxDoublings))
		b.refusals++
	case ResultFailed:
		b.failures++
		if b.failures >= failuresToEject {
			b.eject(now)
		}
	}
}

// observeLatency adds a sample to the moving average of the latency.
func (b *backend) observeLatency(took time.Duration) {
	if b.latency == 0 {
		b.latency = took
		return
	}
	b.latency += (took - b.latency) / latencyWeight
}

// eject excludes the agent from new requests for minEjection, or longer after earlier
// ejections. After that, a single failure before the next answer ejects it again.
func (b *backend) eject(now time.Time) {
	b.ejectedUntil = now.Add(minEjection << min(b.ejections, maxDoublings))
	b.ejections++
	b.failures = failuresToEject - 1
}

// hasCapacity reports whether one more request may be sent to the agent.
func (b *backend) hasCapacity(now time.Time) bool {
	return b.Slots > 0 && b.inFlight < int(max(1, b.window)) && !now.Before(b.pausedUntil)
}

// load is proportional to the expected time until a new request is answered.
func (b *backend) load() float64 {
	return float64(b.inFlight+1) / float64(max(1, b.Slots)) * float64(max(time.Millisecond, b.latency))
}

// hasAgent reports whether any agent with slots serves the request's service, apart from
// those that the request avoids.
func (g *Gate) hasAgent(r Request) bool {
	for _, b := range g.agents {
		if b.Service == r.Service && b.Slots > 0 && !slices.Contains(r.Avoid, b.ID) {
			return true
		}
	}
	return false
}

// chooseAgent admits the request to an agent with capacity: the less loaded of two
// random ones in the gate's region or, if there is none and the transfer budget
// allows it, of two in other regions.
func (g *Gate) chooseAgent(now time.Time, r Request) (Admission, bool) {
	if !g.hasAgent(r) {
		// Only agents that failed or refused the request before are left; one of them
		// is better than none.
		r.Avoid = nil
	}
	local, remote := g.candidates(now, r)
	if b := g.lessLoaded(local); b != nil {
		return g.admit(now, b, false), true
	}
	if len(remote) > 0 && g.transfer.allows(now, r.Bytes) {
		return g.admit(now, g.lessLoaded(remote), true), true
	}
	return Admission{}, false
}

func (g *Gate) admit(now time.Time, b *backend, crossRegion bool) Admission {
	b.inFlight++
	return Admission{Agent: b.Agent, startedAt: now, crossRegion: crossRegion}
}

// candidates returns the agents with capacity that the request does not avoid, in
// the gate's region and in others. Ejected agents are among them only if more than
// maxEjectedShare of the service's agents are ejected.
func (g *Gate) candidates(now time.Time, r Request) (local, remote []*backend) {
	total, ejectedCount := 0, 0
	for _, b := range g.agents {
		if b.Service != r.Service || b.Slots == 0 {
			continue
		}
		total++
		if now.Before(b.ejectedUntil) {
			ejectedCount++
		}
	}
	useEjected := float64(ejectedCount) > maxEjectedShare*float64(total)
	for _, b := range g.agents {
		if b.Service != r.Service || !b.hasCapacity(now) || slices.Contains(r.Avoid, b.ID) {
			continue
		}
		if now.Before(b.ejectedUntil) && !useEjected {
			continue
		}
		if b.Region == g.region {
			local = append(local, b)
		} else {
			remote = append(remote, b)
		}
	}
	// Sort by ID, so that the choice doesn't depend on the random order of the map.
	byID := func(x, y *backend) int { return compareIDs(x.ID, y.ID) }
	slices.SortFunc(local, byID)
	slices.SortFunc(remote, byID)
	return local, remote
}

func compareIDs(x, y incarnation.ID) int {
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}

// lessLoaded returns the less loaded of two random candidates.
func (g *Gate) lessLoaded(candidates []*backend) *backend {
	if len(candidates) == 0 {
		return nil
	}
	first := candidates[g.random.IntN(len(candidates))]
	second := candidates[g.random.IntN(len(candidates))]
	if second.load() < first.load() {
		return second
	}
	return first
}
