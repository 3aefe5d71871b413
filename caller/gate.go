package caller

import (
	"sync"
	"time"
)

// RateLimits is the part of an organisation's rate that this instance admits. It does not count what siblings
// admit; control divides the rate among them.
type RateLimits struct {
	// Limited is false for organisations without a rate.
	Limited bool
	// Rate is in requests a second, Burst in requests.
	Rate, Burst float64
}

// RateLimiter admits the requests of one organisation at this instance: a token bucket, with a count of the demand by
// which control divides the organisation's rate. Traffic spends, control sets the limits. It is safe for concurrent
// use.
type RateLimiter struct {
	mu         sync.Mutex
	limits     RateLimits
	tokens     float64
	refilledAt time.Time
	requested  int64
	refused    int64
}

// initialBurstFraction is the part of the burst that a new gate may admit at once: an instance that restarts has forgotten
// what it admitted shortly before.
const initialBurstFraction = 0.5

// NewRateLimiter returns a gate with the limits.
func NewRateLimiter(l RateLimits, now time.Time) *RateLimiter {
	return &RateLimiter{limits: l, tokens: l.Burst * initialBurstFraction, refilledAt: now}
}

// SetLimits replaces the limits. Tokens that are saved up stay, up to the new burst.
func (g *RateLimiter) SetLimits(l RateLimits, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refill(now)
	if !g.limits.Limited {
		g.tokens = l.Burst * initialBurstFraction
	}
	g.limits = l
	g.tokens = min(g.tokens, l.Burst)
}

func (g *RateLimiter) refill(now time.Time) {
	if passed := now.Sub(g.refilledAt); passed > 0 {
		g.tokens = min(g.tokens+passed.Seconds()*g.limits.Rate, g.limits.Burst)
		g.refilledAt = now
	}
}

// Take admits a request, or says after what time one may be admitted.
func (g *RateLimiter) Take(now time.Time) (admitted bool, retryAfter time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requested++
	if !g.limits.Limited {
		return true, 0
	}
	g.refill(now)
	if g.tokens >= 1 {
		g.tokens--
		return true, 0
	}
	g.refused++
	if g.limits.Rate <= 0 {
		return false, maxRateRetryAfter
	}
	missing := time.Duration((1 - g.tokens) / g.limits.Rate * float64(time.Second))
	return false, min(missing, maxRateRetryAfter)
}

// maxRateRetryAfter bounds the time after which a refused caller is asked to come back: demand moves, and with it the
// part of the rate that an instance has.
const maxRateRetryAfter = time.Second

// RequestCounts returns how many requests asked for admission since the start, and how many of them were refused.
func (g *RateLimiter) RequestCounts() (asked, refused int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.requested, g.refused
}
