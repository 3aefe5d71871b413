package targets

import (
	"math"
	"sync/atomic"
	"time"
)

// Policy configures how the queries of a service limit the effect of slow targets.
type Policy struct {
	// RandomReplica selects one replica at random instead of the better of two.
	RandomReplica bool
	// HedgeQuantile is the quantile of recent latency, from 0 to 1, after which a leg is hedged.
	HedgeQuantile float64
	// HedgeRatio is the allowed ratio of hedges to legs; zero disables hedging.
	HedgeRatio float64
	// RetryRatio is the allowed ratio of retries to legs. Retries of legs that did not reach a target do not count.
	RetryRatio float64
}

// DefaultPolicy returns the policy for production. The hedging values follow from the stated target. Retries get twice
// the budget, because a retry that is not sent leaves a shard missing.
func DefaultPolicy() Policy { return Policy{HedgeQuantile: 0.95, HedgeRatio: 0.05, RetryRatio: 0.1} }

// BaselinePolicy returns the policy that DefaultPolicy is compared with: a random replica and no hedging.
func BaselinePolicy() Policy { return Policy{RandomReplica: true, RetryRatio: 0.1} }

// Tail tracks the tail latency of the legs of a service and holds the budgets for hedges and retries. All queries of
// the service share it. It is safe for concurrent use.
type Tail struct {
	policy   Policy
	quantile atomic.Int64 // nanoseconds
	samples  atomic.Int64
	hedges   budget
	retries  budget
}

const (
	// hedgeBurst bounds the unused hedges that accumulate.
	hedgeBurst = 100
	// retryBurst bounds the unused retries that accumulate. It is available from the start, so that a service with few
	// requests can retry.
	retryBurst = 100
	// quantileStep is the relative change of the estimate per sample. With 0.02, the estimate follows a doubled latency
	// within 37 slow legs.
	quantileStep = 0.02
	// firstStep is the relative change for the first sample after the initial one; the n-th has 1/n of it, at least
	// quantileStep. The initial sample alone is about the median, far below the quantile.
	firstStep = 2
)

// NewTail returns the state for one service.
func NewTail(p Policy) *Tail {
	t := &Tail{policy: p}
	t.hedges.cap, t.retries.cap = hedgeBurst*budgetUnit, retryBurst*budgetUnit
	t.hedges.perLeg, t.retries.perLeg = int64(p.HedgeRatio*budgetUnit), int64(p.RetryRatio*budgetUnit)
	t.retries.level.Store(t.retries.cap)
	return t
}

// Quantile returns the estimated HedgeQuantile of recent latency, zero before the first sample.
func (t *Tail) Quantile() time.Duration { return time.Duration(t.quantile.Load()) }

// Observe records the latency of a send. If cancelled is set, elapsed is only a lower bound of the latency.
func (t *Tail) Observe(elapsed time.Duration, cancelled bool) { t.observe(elapsed, cancelled) }

// observe raises the estimate by a step times the quantile if the sample is above it, else lowers it by the step times
// 1 minus the quantile. The two balance where the estimate equals the quantile. Only the comparison counts, so a
// cancelled leg is a valid sample if it ran longer than the estimate.
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

// hedgeDelay returns how long a leg may run before it is hedged, and false before the first sample or if hedging is
// disabled.
func (t *Tail) hedgeDelay() (time.Duration, bool) {
	d := t.Quantile()
	return d, d > 0 && t.policy.HedgeRatio > 0
}

// legsSent adds the budget earned by n first legs.
func (t *Tail) legsSent(n int) {
	t.hedges.earn(n)
	t.retries.earn(n)
}

// budgetUnit is the cost of one leg; budgets are counted in thousandths of a leg.
const budgetUnit = 1000

// budget is a token bucket that is refilled per leg instead of over time.
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
