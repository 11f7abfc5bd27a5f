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

// Agent describes an agent to which requests can go.
type Agent struct {
	ID      incarnation.ID
	Address link.Address
	Region  platform.Region
	Service bundle.ServiceName
	// Slots is the number of its minion's slots, Busy how many are in use as far
	// as is known.
	Slots, Busy int
	// Entries is the number of entries that share the agent; at least 1.
	Entries int
}

// backend is what the gate knows of an agent.
type backend struct {
	Agent
	// window is how many requests may be out to it; from 1 to its slots.
	window float64
	out    int
	// latency is the moving mean of answered requests.
	latency time.Duration
	// fullUntil keeps requests away after a refusal for want of room; refusals in
	// a row lengthen it.
	fullUntil time.Time
	refusals  int
	// failures counts failures in a row.
	failures int
	// ejectedUntil keeps requests away after failures.
	ejectedUntil time.Time
	// ejections in a row lengthen the next one.
	ejections int
}

const (
	// shrink is what a refusal leaves of the window.
	shrink = 0.7
	// firstFullPause doubles with every refusal in a row, up to the longest.
	firstFullPause = 25 * time.Millisecond
	// failuresToEject is the number of failures in a row that eject an agent.
	failuresToEject = 3
	// firstEjection doubles with every ejection in a row, up to the longest.
	firstEjection = time.Second
	maxDoublings  = 5
	// latencyWeight is the inverse weight of a new latency.
	latencyWeight = 8
	// maxEjected is the share of a service's agents that may be ejected, so that
	// a common cause does not leave nobody.
	maxEjected = 0.5
)

// SetAgents replaces the agents. What is known of those that stay is kept.
func (g *Gate) SetAgents(agents []Agent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	kept := make(map[incarnation.ID]*backend, len(agents))
	for _, a := range agents {
		b := g.agents[a.ID]
		if b == nil {
			b = &backend{window: math.Ceil(float64(a.Slots) / float64(max(1, a.Entries)))}
		}
		b.Agent = a
		b.window = min(b.window, float64(a.Slots))
		kept[a.ID] = b
	}
	g.agents = kept
	g.admitWaiting(time.Now())
}

// done takes in what became of a request.
func (b *backend) done(now time.Time, took time.Duration, result Result) {
	b.out = max(0, b.out-1)
	switch result {
	case ResultAnswered:
		b.failures = 0
		b.ejections = 0
		b.refusals = 0
		b.fullUntil = time.Time{}
		b.window = min(float64(b.Slots), b.window+1/b.window)
		b.observe(took)
	case ResultRefused:
		b.window = max(1, b.window*shrink)
		b.fullUntil = now.Add(firstFullPause << min(b.refusals, maxDoublings))
		b.refusals++
	case ResultFailed:
		b.failures++
		if b.failures >= failuresToEject {
			b.eject(now)
		}
	}
}

func (b *backend) observe(took time.Duration) {
	if b.latency == 0 {
		b.latency = took
		return
	}
	b.latency += (took - b.latency) / latencyWeight
}

// eject keeps requests away for a while; one failure on probation ejects again.
func (b *backend) eject(now time.Time) {
	b.ejectedUntil = now.Add(firstEjection << min(b.ejections, maxDoublings))
	b.ejections++
	b.failures = failuresToEject - 1
}

// roomy tells whether one more request may go out.
func (b *backend) roomy(now time.Time) bool {
	return b.Slots > 0 && b.out < int(max(1, b.window)) && !now.Before(b.fullUntil)
}

// load is the expected time until a new request is served, up to a factor.
func (b *backend) load() float64 {
	return float64(b.out+1) / float64(max(1, b.Slots)) * float64(max(time.Millisecond, b.latency))
}

// served tells whether any agent serves the service.
func (g *Gate) served(a Request) bool {
	for _, b := range g.agents {
		if b.Service == a.Service && b.Slots > 0 && !slices.Contains(a.Avoid, b.ID) {
			return true
		}
	}
	return false
}

// choose finds an agent with room: the less loaded of two in the own region, or
// in another one if the own has none and the budget of paid bytes allows it.
func (g *Gate) choose(now time.Time, a Request) (Admission, bool) {
	if !g.served(a) {
		// Whoever refused it before is better than nobody.
		a.Avoid = nil
	}
	near, far := g.candidates(now, a)
	if b := g.lighter(near); b != nil {
		return g.pass(now, b, false), true
	}
	if len(far) > 0 && g.paid.allows(now, a.Bytes) {
		return g.pass(now, g.lighter(far), true), true
	}
	return Admission{}, false
}

func (g *Gate) pass(now time.Time, b *backend, remote bool) Admission {
	b.out++
	return Admission{Agent: b.Agent, begun: now, remote: remote}
}

// candidates returns the agents with room, in the own region and elsewhere.
// Ejected ones count only if too many are ejected.
func (g *Gate) candidates(now time.Time, a Request) (near, far []*backend) {
	total, ejected := 0, 0
	for _, b := range g.agents {
		if b.Service != a.Service || b.Slots == 0 {
			continue
		}
		total++
		if now.Before(b.ejectedUntil) {
			ejected++
		}
	}
	ignore := float64(ejected) > maxEjected*float64(total)
	for _, b := range g.agents {
		if b.Service != a.Service || !b.roomy(now) || slices.Contains(a.Avoid, b.ID) {
			continue
		}
		if now.Before(b.ejectedUntil) && !ignore {
			continue
		}
		if b.Region == g.region {
			near = append(near, b)
		} else {
			far = append(far, b)
		}
	}
	// The map's order must not decide.
	byID := func(x, y *backend) int { return compareIDs(x.ID, y.ID) }
	slices.SortFunc(near, byID)
	slices.SortFunc(far, byID)
	return near, far
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

// lighter returns the less loaded of two random candidates.
func (g *Gate) lighter(from []*backend) *backend {
	if len(from) == 0 {
		return nil
	}
	first := from[g.random.IntN(len(from))]
	second := from[g.random.IntN(len(from))]
	if second.load() < first.load() {
		return second
	}
	return first
}
