package gate

import (
	"sync"
	"time"
)

// paidBudget bounds the bytes sent to other regions.
type paidBudget struct {
	// rate is in bytes a second.
	rate   float64
	tokens float64
	filled time.Time
}

// paidBurst is how many seconds of the rate may be spent at once.
const paidBurst = 5

func (p *paidBudget) fill(now time.Time) {
	if p.filled.IsZero() {
		p.tokens = paidBurst * p.rate
	} else {
		p.tokens = min(paidBurst*p.rate, p.tokens+now.Sub(p.filled).Seconds()*p.rate)
	}
	p.filled = now
}

// allows tells whether the bytes may be sent now.
func (p *paidBudget) allows(now time.Time, bytes int) bool {
	p.fill(now)
	return p.rate > 0 && p.tokens >= float64(bytes)
}

// spend takes bytes that were sent; it may leave a debt.
func (p *paidBudget) spend(now time.Time, bytes int) {
	p.fill(now)
	p.tokens -= float64(bytes)
}

// RetryBudget allows retries as a share of first tries, so that retries cannot
// multiply an overload. It is safe for concurrent use; the zero value allows none.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

const (
	// maxRetryTokens bounds the retries saved up in quiet times.
	maxRetryTokens = 50
	// minRetryTokens lets a process with little traffic retry at all.
	minRetryTokens = 5
)

// NewRetryBudget returns a budget with a few retries saved up.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: minRetryTokens} }

// AddRequest notes a first try, which earns a share of a retry.
func (r *RetryBudget) AddRequest(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(maxRetryTokens, r.tokens+share)
}

// TakeRetry takes a retry if there is one.
func (r *RetryBudget) TakeRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
