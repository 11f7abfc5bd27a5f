package runner

import "time"

// Pacer bridges to the tests.
type Pacer struct{ pacer pacer }

// Judge is the pacer's judgement.
func (p *Pacer) Judge(now time.Duration, worst float64) int { return p.pacer.judge(now, worst) }
