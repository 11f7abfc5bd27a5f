package runner

import "time"

const (
	// initialPace is the percentage at which fillers begin beside latency-sensitive tasks, while
	// their effect on the latency is unknown.
	initialPace = 40
	// paceStep is the percentage points by which the pace is raised at a time.
	paceStep = 10
	// paceCutFactor multiplies the pace when a latency-sensitive task exceeds its target; below
	// minPace (percent) fillers are paused. Two cuts lead from full pace to a pause,
	// within the time that the platform allows a latency-sensitive task over its target.
	paceCutFactor = 0.35
	minPace       = 15
	// paceSettleTime is how long a change of pace takes to show in the latency: the time
	// until the order takes effect and the half second over which the latency is measured.
	paceSettleTime = 800 * time.Millisecond
	// headroomRatio is the ratio of latency to target up to which a latency-sensitive task is
	// said to have headroom.
	headroomRatio = 0.8
	// speedUpDelay is how long all latency-sensitive tasks must have had headroom and the pace
	// must have been unchanged before the pace is raised.
	speedUpDelay = time.Second
	// When a latency-sensitive task exceeds its target, the pace at that time times ceilingFactor
	// becomes the ceiling above which the pace is not raised for ceilingDuration.
	ceilingDuration = 10 * time.Second
	ceilingFactor   = 0.7
	// fullPace is the percentage of a run that is not limited.
	fullPace = 100
)

// pacer computes the pace of the fillers beside the latency-sensitive tasks of one minion. The
// zero value is ready to use.
type pacer struct {
	// active is true while there are latency-sensitive tasks. The other fields are unset
	// otherwise.
	active bool
	// percent is the current pace of the fillers.
	percent int
	// ceiling limits percent until ceilingUntil.
	ceiling      int
	ceilingUntil time.Duration
	// changedAt is when percent last changed, and headroomSince the start of the time in
	// which every latency-sensitive task has had headroom.
	changedAt, headroomSince time.Duration
}

// update returns the pace of all fillers in percent. worstRatio is the highest ratio of
// latency to target among the latency-sensitive tasks, 0 if there are none.
func (p *pacer) update(now time.Duration, worstRatio float64) int {
	if worstRatio == 0 {
		*p = pacer{}
		return fullPace
	}
	if !p.active {
		*p = pacer{active: true, percent: initialPace, ceiling: fullPace, changedAt: now, headroomSince: now}
	}
	switch {
	case worstRatio > 1:
		p.headroomSince = now
		p.slowDown(now)
	case worstRatio > headroomRatio:
		p.headroomSince = now
	default:
		p.speedUp(now)
	}
	return p.percent
}

func (p *pacer) slowDown(now time.Duration) {
	if p.percent == 0 || now-p.changedAt < paceSettleTime {
		return
	}
	p.ceiling, p.ceilingUntil = int(ceilingFactor*float64(p.percent)), now+ceilingDuration
	p.percent = int(paceCutFactor * float64(p.percent))
	if p.percent < minPace {
		p.percent = 0
	}
	p.changedAt = now
}

func (p *pacer) speedUp(now time.Duration) {
	if now-p.headroomSince < speedUpDelay || now-p.changedAt < speedUpDelay {
		return
	}
	limit := p.ceiling
	if now >= p.ceilingUntil {
		limit = fullPace
	}
	if next := min(p.percent+paceStep, limit); next > p.percent {
		p.percent, p.changedAt = next, now
	}
}
