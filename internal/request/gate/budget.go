package gate

import (
	"sync"
	"time"
)

// transferBudget is a token bucket that bounds the bytes sent to other regions.
type transferBudget struct {
	bytesPerSecond float64
	// tokens is in bytes; negative after a transfer that was larger than allowed.
	tokens     float64
	refilledAt time.Time
}

// transferBurstSeconds is the capacity of the bucket in seconds of its rate.
const transferBurstSeconds = 5

func (b *transferBudget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.tokens = transferBurstSeconds * b.bytesPerSecond
	} else {
		b.tokens = min(transferBurstSeconds*b.bytesPerSecond, b.tokens+now.Sub(b.refilledAt).Seconds()*b.bytesPerSecond)
	}
	b.refilledAt = now
}

// allows reports whether the bytes may be sent now. At a rate of 0 nothing may be sent.
func (b *transferBudget) allows(now time.Time, bytes int) bool {
	b.refill(now)
	return b.bytesPerSecond > 0 && b.tokens >= float64(bytes)
}

// spend deducts bytes that were sent; tokens may become negative.
func (b *transferBudget) spend(now time.Time, bytes int) {
	b.refill(now)
	b.tokens -= float64(bytes)
}

// RetryBudget limits retries to a share of the requests, so that retries cannot
// multiply an overload. It is safe for concurrent use; the zero value allows no
// retry until requests have been added.
type RetryBudget struct {
	mu sync.Mutex
	// tokens is the number of retries that may be taken.
	tokens float64
}

const (
	// maxRetryTokens bounds the retries that accumulate while few are needed.
	maxRetryTokens = 50
	// initialRetryTokens is the balance at the start, so that a process with little
	// traffic can retry too.
	initialRetryTokens = 5
)

// NewRetryBudget returns a budget of initialRetryTokens retries.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: initialRetryTokens} }

// AddRequest adds retryShare of a retry to the budget. Call it once for each request, at
// its first attempt.
func (r *RetryBudget) AddRequest(retryShare float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(maxRetryTokens, r.tokens+retryShare)
}

// TakeRetry deducts one retry and reports whether there was one.
func (r *RetryBudget) TakeRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
