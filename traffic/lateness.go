package traffic

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// A sample above the estimate has a weight of 1/2 and a sample below it of 1/32, so that the estimate stays near the
	// upper end of the samples.
	latenessRiseShift = 1
	latenessFallShift = 5
	// latenessDivisor limits the margin to a quarter of a route's latency objective, so that answers do not miss parts for
	// long after a stall.
	latenessDivisor = 4
)

// lateness estimates the delay between the planned time of an answer and the time at which this instance has written it.
// The delay arises because timers fire late and many replies compete for one processor. It is safe for concurrent use.
type lateness struct{ estimate atomic.Int64 }

// observe adds a sample of the delay after the planned time.
func (l *lateness) observe(delay time.Duration) {
	old := l.estimate.Load()
	next := old - (old-int64(delay))>>latenessFallShift
	if int64(delay) > old {
		next = old + (int64(delay)-old)>>latenessRiseShift
	}
	l.estimate.CompareAndSwap(old, max(next, 0))
}

// upper returns the upper end of recent delays, 0 before the first one.
func (l *lateness) upper() time.Duration { return time.Duration(l.estimate.Load()) }

// margin returns how much earlier an answer must be planned to be ready in time.
func (l *lateness) margin(objective time.Duration) time.Duration {
	return min(l.upper(), objective/latenessDivisor)
}

const (
	// maxAssumedRisk bounds the risk that is assumed before anything is known, which has the weight of assumedRiskSamples answers.
	maxAssumedRisk     = 0.25
	assumedRiskSamples = 8
	// minRiskWeight is the least weight of one answer in the estimate.
	minRiskWeight = 1.0 / 32
	// riskFade is the weight with which a higher estimate returns to the assumed risk at each answer that does not wait, so that
	// an instance that was slow for a while learns that it no longer is.
	riskFade = 1.0 / 64
)

// assumedLateRisk returns the risk that an answer is late, before anything is known of it: the fraction of the latency objective
// that the margins of the planned time take. The shorter the objective, the more of the answers a delay of a few milliseconds
// makes late, and an instance with a few requests per route and minute learns slowly.
func assumedLateRisk(margins, objective time.Duration) float64 {
	if objective <= 0 {
		return maxAssumedRisk
	}
	return min(max(float64(margins)/float64(objective), 0), maxAssumedRisk)
}

// lateRisk estimates the fraction of the answers of a route that are late if they wait until the planned time. It is safe for
// concurrent use.
type lateRisk struct {
	mu      sync.Mutex
	risk    float64
	samples float64 // 0 if nothing is known
}

// current returns the estimate, from 0 to 1. assumed is the risk before anything is known.
func (r *lateRisk) current(assumed float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.samples == 0 {
		return assumed
	}
	return r.risk
}

// observe adds an answer that waited until the planned time. assumed is the risk before anything is known.
func (r *lateRisk) observe(late bool, assumed float64) {
	sample := 0.0
	if late {
		sample = 1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.samples == 0 {
		r.risk, r.samples = assumed, assumedRiskSamples
	}
	r.samples++
	r.risk += max(1/r.samples, minRiskWeight) * (sample - r.risk)
}

// fade records an answer that did not wait until the planned time.
func (r *lateRisk) fade(assumed float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.risk > assumed {
		r.risk += riskFade * (assumed - r.risk)
	}
}
