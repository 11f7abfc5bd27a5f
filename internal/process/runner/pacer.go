package runner

import "time"

const (
	// paceFirst is the percentage at which fillers begin beside serving tasks: what
	// they disturb is not known before.
	paceFirst = 40
	// paceStep is by how many percentage points fillers are sped up at a time.
	paceStep = 10
	// paceCut is the part of their pace that fillers keep when a serving task is over
	// its target; below paceLeast they pause. Two cuts lead from all to nothing, within
	// the time that the platform allows for it.
	paceCut   = 0.35
	paceLeast = 15
	// paceSettle is how long a change of pace takes to show: the order, the time until
	// it is in force, and the half second that a figure looks back.
	paceSettle = 800 * time.Millisecond
	// paceCalm is the share of the target below which a serving task has room to spare.
	paceCalm = 0.8
	// paceWait is how long everything must have been calm before fillers are sped up.
	paceWait = time.Second
	// ceilingMemory is how long the pace that was too much is kept away from, and
	// ceilingPart the part of it that is tried before.
	ceilingMemory = 10 * time.Second
	ceilingPart   = 0.7
	// wholePace is the percentage of a task that is not held back.
	wholePace = 100
)

// pacer decides how much fillers may work beside the serving tasks of one minion. The
// zero value is ready to use.
type pacer struct {
	began   bool
	percent int
	// ceiling is the percentage that is not exceeded before ceilingUntil.
	ceiling      int
	ceilingUntil time.Duration
	// changedAt is when percent changed last, and calmSince since when every serving
	// task has had room to spare.
	changedAt, calmSince time.Duration
}

// judge returns the percentage for all fillers. worst is the greatest share of its
// target that a serving task takes; 0 if nobody serves.
func (p *pacer) judge(now time.Duration, worst float64) int {
	if worst == 0 {
		*p = pacer{}
		return wholePace
	}
	if !p.began {
		*p = pacer{began: true, percent: paceFirst, ceiling: wholePace, changedAt: now, calmSince: now}
	}
	switch {
	case worst > 1:
		p.calmSince = now
		p.slowDown(now)
	case worst > paceCalm:
		p.calmSince = now
	default:
		p.speedUp(now)
	}
	return p.percent
}

func (p *pacer) slowDown(now time.Duration) {
	if p.percent == 0 || now-p.changedAt < paceSettle {
		return
	}
	p.ceiling, p.ceilingUntil = int(ceilingPart*float64(p.percent)), now+ceilingMemory
	p.percent = int(paceCut * float64(p.percent))
	if p.percent < paceLeast {
		p.percent = 0
	}
	p.changedAt = now
}

func (p *pacer) speedUp(now time.Duration) {
	if now-p.calmSince < paceWait || now-p.changedAt < paceWait {
		return
	}
	limit := p.ceiling
	if now >= p.ceilingUntil {
		limit = wholePace
	}
	if next := min(p.percent+paceStep, limit); next > p.percent {
		p.percent, p.changedAt = next, now
	}
}
