package caller

import (
	"sync"
	"time"
)

// RateLimits is the share of an organisation's rate that this instance may admit. Control divides the rate among the
// instances; the limits exclude what siblings admit.
type RateLimits struct {
	// Limited is false for organisations without a rate.
	Limited bool
	// Rate is in requests per second, Burst in requests.
	Rate, Burst float64
}

// RateLimiter is the token bucket of one organisation at this instance. It also counts the requests: control
// divides the organisation's rate among the instances by this demand. Request goroutines take tokens; control sets the
// limits. It is safe for concurrent use.
type RateLimiter struct {
	mu         sync.Mutex
	limits     RateLimits
	tokens     float64
	refilledAt time.Time
	requested  int64
	refused    int64
}

// initialBurstFraction is the fraction of the burst that a new limiter may admit at once. It is below 1 because an
// instance does not know after a restart what it admitted shortly before.
const initialBurstFraction = 0.5

// NewRateLimiter returns a limiter with the given limits.
func NewRateLimiter(l RateLimits, now time.Time) *RateLimiter {
	return &RateLimiter{limits: l, tokens: l.Burst * initialBurstFraction, refilledAt: now}
}

// SetLimits replaces the limits. Accumulated tokens are kept, up to the new burst.
func (r *RateLimiter) SetLimits(l RateLimits, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refill(now)
	if !r.limits.Limited {
		r.tokens = l.Burst * initialBurstFraction
	}
	r.limits = l
	r.tokens = min(r.tokens, l.Burst)
}

func (r *RateLimiter) refill(now time.Time) {
	if elapsed := now.Sub(r.refilledAt); elapsed > 0 {
		r.tokens = min(r.tokens+elapsed.Seconds()*r.limits.Rate, r.limits.Burst)
		r.refilledAt = now
	}
}

// Take spends a token for a request. If none is left, retryAfter is the time until the next one accrues, at most
// maxRateRetryAfter.
func (r *RateLimiter) Take(now time.Time) (admitted bool, retryAfter time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requested++
	if !r.limits.Limited {
		return true, 0
	}
	r.refill(now)
	if r.tokens >= 1 {
		r.tokens--
		return true, 0
	}
	r.refused++
	if r.limits.Rate <= 0 {
		return false, maxRateRetryAfter
	}
	untilToken := time.Duration((1 - r.tokens) / r.limits.Rate * float64(time.Second))
	return false, min(untilToken, maxRateRetryAfter)
}

// Preview returns what Take would return now, without spending a token or counting a request.
func (r *RateLimiter) Preview(now time.Time) (admitted bool, retryAfter time.Duration) {
	r.mu.Lock()
	copied := RateLimiter{limits: r.limits, tokens: r.tokens, refilledAt: r.refilledAt}
	r.mu.Unlock()
	return copied.Take(now)
}

// Return gives a token back whose request was refused for another reason.
func (r *RateLimiter) Return() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limits.Limited {
		r.tokens = min(r.tokens+1, r.limits.Burst)
	}
}

// maxRateRetryAfter is the maximum retry delay of a refused caller. Demand moves between instances, and with it the
// share of the rate that an instance may admit.
const maxRateRetryAfter = time.Second

// RequestCounts returns the number of calls of Take since the limiter was created, and how many of them were refused.
func (r *RateLimiter) RequestCounts() (requested, refused int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requested, r.refused
}
