package targets

import (
	"math"
	"sync"
	"time"
)

// RetryBudgetLimits bounds the sends of a service beyond the first of each request, at this instance.
type RetryBudgetLimits struct {
	// Window is the time over which sends and requests are counted.
	Window time.Duration
	// Ratio is how many extra sends each request of the window allows. Ratios of instances add up by themselves.
	Ratio float64
	// Constant is how many extra sends the window allows besides. It is this instance's part of the fleet's.
	Constant float64
}

const (
	// extraSlots is how many parts the window is counted in.
	windowSlots = 20
	// hedgeReserve is the part of the allowance that hedges leave for retries, since a lost retry is a lost part.
	hedgeReserve = 0.3
)

// RetryBudget bounds extra sends in every window, also one that slides. Traffic spends from it, control sets its
// limits. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	limits RetryBudgetLimits
	origin time.Time // of the first use
	slot   int64     // the newest slot, counted from origin
	// requests and extras count the last window in slots; one slot more, so that the part of the oldest slot that
	// still lies in the window counts.
	requests, extras [windowSlots + 1]int
}

// NewRetryBudget returns a budget without counts.
func NewRetryBudget(l RetryBudgetLimits) *RetryBudget { return &RetryBudget{limits: l} }

// SetLimits replaces the limits and keeps the counts.
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

// TakeRetry spends one extra send and reports whether there was one.
func (b *RetryBudget) TakeRetry(now time.Time) bool { return b.take(now, 0) }

// TakeHedge is TakeRetry for a send whose first is still under way.
func (b *RetryBudget) TakeHedge(now time.Time) bool { return b.take(now, hedgeReserve) }

func (b *RetryBudget) take(now time.Time, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance(now)
	requests, extras := 0, 0
	for slot := range b.extras {
		extras += b.extras[slot]
		if slot != (i+1)%len(b.extras) { // the oldest slot lies partly outside of the window
			requests += b.requests[slot]
		}
	}
	allowance := b.limits.Ratio*float64(requests) + b.limits.Constant
	// Rounded to whole sends: an instance of many has an allowance of two or three.
	if float64(extras)+1 > min(allowance, math.Round(allowance*(1-reserve))) {
		return false
	}
	b.extras[i]++
	return true
}

// at moves the window to now and returns the index of the newest slot.
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
