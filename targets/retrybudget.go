package targets

import (
	"math"
	"sync"
	"time"

	"dogwooddrift.org/drift/document"
)

// RetryBudgetLimits bounds the extra sends of a service at this instance: its retries and hedges.
type RetryBudgetLimits struct {
	// Window is the length of the sliding window over which requests and extra sends are counted.
	Window time.Duration
	// Ratio is how many extra sends are allowed per request in the window. It applies to the requests of each instance,
	// so it needs no division among instances.
	Ratio float64
	// Constant is how many extra sends per window are allowed regardless of the number of requests. It is this
	// instance's share of the limit for all instances.
	Constant float64
}

const (
	// windowSlots is the number of slots into which the window is divided for counting.
	windowSlots = 20
	// hedgeReserve is the fraction of the allowance that hedges leave for retries, since a retry that is not sent
	// leaves a part missing.
	hedgeReserve = 0.3
	// urgencyReserve is the fraction of the allowance that the least urgent requests of a service leave for more urgent
	// ones; those of the levels between leave a part of it in proportion to their rank. An urgent request has less time left
	// for its extra sends, and cannot wait until the window has moved on.
	urgencyReserve = 0.3
)

// RetryBudget bounds the extra sends in every sliding window. Traffic takes from it and control sets its limits. It is
// safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	limits RetryBudgetLimits
	origin time.Time // time of the first use
	slot   int64     // number of the newest slot, counted from origin
	// requests and extras hold the counts per slot. There is one slot more than the window has, since the oldest one
	// lies partly within the window.
	requests, extras [windowSlots + 1]int
}

// NewRetryBudget returns a budget whose counts are zero.
func NewRetryBudget(l RetryBudgetLimits) *RetryBudget { return &RetryBudget{limits: l} }

// SetLimits replaces the limits without resetting the counts.
func (b *RetryBudget) SetLimits(l RetryBudgetLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
}

// RecordRequest counts a request of the service.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// TakeRetry takes one retry from the budget and reports whether it is allowed. u ranks the request among those of the service.
func (b *RetryBudget) TakeRetry(u document.Urgency, now time.Time) bool {
	return b.take(now, reserveOf(u))
}

// TakeHedge is like TakeRetry for a hedge, with hedgeReserve of what a retry may take left for retries.
func (b *RetryBudget) TakeHedge(u document.Urgency, now time.Time) bool {
	return b.take(now, 1-(1-hedgeReserve)*(1-reserveOf(u)))
}

// reserveOf returns the fraction of the allowance that requests leave for more urgent ones.
func reserveOf(u document.Urgency) float64 {
	if !u.Ranked() {
		return 0
	}
	return urgencyReserve * float64(u.Rank) / float64(u.Levels-1)
}

// Spent reports whether nothing is left for a retry.
func (b *RetryBudget) Spent(u document.Urgency, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.allows(b.advance(now), reserveOf(u))
}

func (b *RetryBudget) take(now time.Time, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance(now)
	if !b.allows(i, reserve) {
		return false
	}
	b.extras[i]++
	return true
}

// allows reports whether one more extra send is allowed; i is the index of the newest slot.
func (b *RetryBudget) allows(i int, reserve float64) bool {
	requests, extras := 0, 0
	for slot := range b.extras {
		extras += b.extras[slot]
		if slot != (i+1)%len(b.extras) { // the oldest slot lies partly outside of the window
			requests += b.requests[slot]
		}
	}
	allowance := b.limits.Ratio*float64(requests) + b.limits.Constant
	// The allowance less the reserve is rounded to whole sends, since one of many instances has an allowance of only two or
	// three.
	return float64(extras)+1 <= min(allowance, math.Round(allowance*(1-reserve)))
}

// advance moves the window to now and returns the index of the newest slot.
func (b *RetryBudget) advance(now time.Time) int {
	if b.origin.IsZero() {
		b.origin = now
	}
	width := max(b.limits.Window/windowSlots, time.Millisecond)
	slot := max(int64(now.Sub(b.origin)/width), b.slot)
	n := int64(len(b.extras))
	if slot-b.slot >= n {
		b.requests, b.extras = [windowSlots + 1]int{}, [windowSlots + 1]int{}
		b.slot = slot
	}
	for b.slot < slot {
		b.slot++
		b.requests[b.slot%n], b.extras[b.slot%n] = 0, 0
	}
	return int(b.slot % n)
}
