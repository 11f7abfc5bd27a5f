package runner

import "time"

// Pacer exports pacer for tests.
type Pacer struct{ pacer pacer }

// Update calls pacer.update.
func (p *Pacer) Update(now time.Duration, worstRatio float64) int {
	return p.pacer.update(now, worstRatio)
}
