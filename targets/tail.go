package targets

import (
	"math"
	"sync/atomic"
	"time"
)

// Policy sets how a service's queries deal with slow targets.
type Policy struct {
	// RandomReplica chooses one replica at random instead of the better of two.
	RandomReplica bool
	// HedgeQuantile is the quantile of recent latency after which a leg is hedged.
	HedgeQuantile float64
	// HedgeRatio is how many hedged legs are allowed for each leg; zero disables hedging.
	HedgeRatio float64
	// RetryRatio is how many retries of legs that reached a target are allowed for each leg.
	RetryRatio float64
}

// DefaultPolicy is the policy in use. The figures for hedging are the stated target; retries get twice as much
// because a lost retry is a missing shard.
func DefaultPolicy() Policy { return Policy{HedgeQuantile: 0.95, HedgeRatio: 0.05, RetryRatio: 0.1} }

// BaselinePolicy is the policy that the default is measured against: a random replica and no hedging.
func BaselinePolicy() Policy { return Policy{RandomReplica: true, RetryRatio: 0.1} }

// Tail is what the queries of one service share: the recent latency of legs and the budgets of extra legs. It is
// safe for concurrent use.
type Tail struct {
	policy   Policy
	quantile atomic.Int64 // nanoseconds
	samples  atomic.Int64
	hedges   budget
	retries  budget
}

const (
	// hedgeBurst bounds the hedges saved up in quiet times.
	hedgeBurst = 100
	// retryBurst is granted at the start too, so that a service with little traffic can retry.
	retryBurst = 100
	// quantileStep is the relative change of the estimate for one sample. 0.02 follows a doubled latency within
	// 37 slow legs.
	quantileStep = 0.02
	// firstStep is the step for the first sample; that of the n-th is 1/n of it. The first sample alone is about the
	// median, far below the quantile.
	firstStep = 2
)

// NewTail returns the shared state of one service.
func NewTail(p Policy) *Tail {
	t := &Tail{policy: p}
	t.hedges.cap, t.retries.cap = hedgeBurst*budgetUnit, retryBurst*budgetUnit
	t.hedges.perLeg, t.retries.perLeg = int64(p.HedgeRatio*budgetUnit), int64(p.RetryRatio*budgetUnit)
	t.retries.level.Store(t.retries.cap)
	return t
}

// Quantile returns the estimated quantile of recent latency, zero before the first sample.
func (t *Tail) Quantile() time.Duration { return time.Duration(t.quantile.Load()) }

// Observe takes the latency of a send, or with cancelled a time that the latency exceeds.
func (t *Tail) Observe(elapsed time.Duration, cancelled bool) { t.observe(elapsed, cancelled) }

// observe moves the estimate up by the quantile's complement or down by the quantile, which balances where the
// quantile lies. Only the comparison matters, so a cancelled leg counts when it ran longer than the estimate.
func (t *Tail) observe(elapsed time.Duration, cancelled bool) {
	old := t.quantile.Load()
	if old == 0 {
		if !cancelled {
			t.quantile.CompareAndSwap(0, int64(elapsed))
		}
		return
	}
	above := int64(elapsed) > old
	if cancelled && !above {
		return
	}
	width := max(quantileStep, firstStep/float64(t.samples.Add(1)))
	step := -(1 - t.policy.HedgeQuantile) * width
	if above {
		step = t.policy.HedgeQuantile * width
	}
	t.quantile.CompareAndSwap(old, max(old+int64(math.Round(float64(old)*step)), 1))
}

// hedgeDelay is how long a leg may run before it is hedged, and false while nothing is known or hedging is off.
func (t *Tail) hedgeDelay() (time.Duration, bool) {
	d := t.Quantile()
	return d, d > 0 && t.policy.HedgeRatio > 0
}

// legsSent earns budget for first legs.
func (t *Tail) legsSent(n int) {
	t.hedges.earn(n)
	t.retries.earn(n)
}

// budgetUnit is one leg; a budget counts thousandths.
const budgetUnit = 1000

// budget is a token bucket that is filled by legs instead of by time.
type budget struct {
	level       atomic.Int64
	perLeg, cap int64
}

func (b *budget) earn(legs int) {
	for {
		old := b.level.Load()
		next := min(old+int64(legs)*b.perLeg, b.cap)
		if next == old || b.level.CompareAndSwap(old, next) {
			return
		}
	}
}

func (b *budget) take() bool {
	for {
		old := b.level.Load()
		if old < budgetUnit {
			return false
		}
		if b.level.CompareAndSwap(old, old-budgetUnit) {
			return true
		}
	}
}

func (b *budget) giveBack() { b.level.Add(budgetUnit) }
