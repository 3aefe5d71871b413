package targets

import (
	"sync/atomic"
	"time"
)

// TargetStats counts what this instance has under way at one target. Control creates it, traffic updates it.
type TargetStats struct {
	outstanding atomic.Int64
	latency     atomic.Int64 // nanoseconds, exponentially weighted
	trip        atomic.Int64 // nanoseconds, shortest connect time seen, slowly rising
	answered    atomic.Int64 // when the latest of the answered requests was sent, as an instant
	replaced    atomic.Int64 // when connections were last replaced, as an instant
	usual       atomic.Int64 // nanoseconds, latency of replies only, exponentially weighted
	unheard     atomic.Int64 // nanoseconds that lost sends waited since the last sign of life, together
	silences    atomic.Int64 // sends in a row that ended without a sign of life
	silentSince atomic.Int64 // when the first of these was sent, as an instant
	avoidUntil  atomic.Int64 // Unix nanoseconds
	waitingFor  atomic.Int64 // when the oldest send without a later sign of life left, as an instant; 0: none
	reported    atomic.Int64 // requests that the target said it runs or queues
	reportedAt  atomic.Int64 // as an instant
	faults      atomic.Int64 // part of the requests that the target shed or failed, in faultUnit, exponentially weighted
	coldNext    atomic.Int64 // when the next request may go to the cold target, as an instant
	rankedAt    atomic.Int64 // when the target was last chosen or passed over, as an instant
}

// origin is what instants count from; only their differences matter.
var origin = time.Now()

// instant turns a time into a number above 0 for atomics. It keeps to the monotonic reading, so that a step of the
// time of day moves nothing.
func instant(t time.Time) int64 { return int64(t.Sub(origin)) + 1<<62 }

const (
	// A sample above the estimate counts 1/2 and one below it 1/8, so that a target that becomes slow is
	// avoided after a few legs.
	latencyRiseShift = 1
	latencyFallShift = 3
	// passOverShift lowers the estimate of a target by 1/64 each time another is preferred. Without it a target
	// that was slow once gets no legs, hence no samples, and never recovers.
	passOverShift = 6
	tripRiseShift = 3
	// fadeTime is the time constant with which the estimate of a target falls while others are preferred. It does not
	// depend on how often this instance asks, since one of many sees few requests for each target. It is the time of
	// 64 requests at today's size.
	fadeTime = 9 * time.Second
)

// TryStart counts a request as outstanding unless limit requests are outstanding already.
func (g *TargetStats) TryStart(limit int) bool {
	for {
		n := g.outstanding.Load()
		if n >= int64(limit) {
			return false
		}
		if g.outstanding.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Finish ends a request that TryStart counted. A latency of zero or less is not sampled.
func (g *TargetStats) Finish(latency time.Duration) {
	g.outstanding.Add(-1)
	if latency <= 0 {
		return
	}
	old := g.latency.Load()
	switch sample := int64(latency); {
	case old == 0:
		g.latency.CompareAndSwap(0, sample)
	case sample > old:
		g.latency.CompareAndSwap(old, old+(sample-old)>>latencyRiseShift)
	default:
		g.latency.CompareAndSwap(old, old-(old-sample)>>latencyFallShift)
	}
}

// cancelledFactor is the multiple of the elapsed time that is taken as the latency of a request that was given up.
// Were it 1, a slow target would look as slow as the time after which it is given up, and not be passed over.
const cancelledFactor = 2

// FinishCancelled ends a request whose latency is only known to exceed elapsed.
func (g *TargetStats) FinishCancelled(elapsed time.Duration) {
	if elapsed <= g.Latency() {
		elapsed = 0
	}
	g.Finish(cancelledFactor * elapsed)
}

// passOver notes that another target was preferred.
func (g *TargetStats) passOver() {
	old := g.latency.Load()
	g.latency.CompareAndSwap(old, old-old>>passOverShift)
}

// chosen notes that the target was preferred to others.
func (g *TargetStats) chosen(now time.Time) { g.rankedAt.Store(instant(now)) }

// fade lowers the estimates of a target to which another was preferred, by the time since it was last ranked.
func (g *TargetStats) fade(now time.Time) {
	at := g.rankedAt.Swap(instant(now))
	if at == 0 {
		return
	}
	part := min(max(float64(instant(now)-at)/float64(fadeTime), 0), 1)
	latency := g.latency.Load()
	g.latency.CompareAndSwap(latency, latency-int64(float64(latency)*part))
	faults := g.faults.Load()
	g.faults.CompareAndSwap(faults, faults-int64(float64(faults)*part))
}

// Outstanding returns the requests under way from this instance.
func (g *TargetStats) Outstanding() int { return int(g.outstanding.Load()) }

// Latency returns the weighted latency that this instance saw, zero before the first sample.
func (g *TargetStats) Latency() time.Duration { return time.Duration(g.latency.Load()) }

// RecordHandshake takes the time of one TCP handshake with the target, which is one round trip.
func (g *TargetStats) RecordHandshake(handshake time.Duration) {
	old := g.trip.Load()
	sample := int64(handshake)
	if old != 0 && sample > old {
		sample = old + (sample-old)>>tripRiseShift
	}
	g.trip.CompareAndSwap(old, sample)
}

const (
	defaultReturnTrip = 2 * time.Millisecond // one way in the slower of today's regions, doubled
	minReturnTrip     = 500 * time.Microsecond
	maxReturnTrip     = 20 * time.Millisecond
)

// RoundTripTime estimates how long a reply takes to arrive. It is a whole round trip, so that half of it remains
// for the delays at both ends.
func (g *TargetStats) RoundTripTime() time.Duration {
	trip := time.Duration(g.trip.Load())
	if trip == 0 {
		return defaultReturnTrip
	}
	return min(max(trip, minReturnTrip), maxReturnTrip)
}

// replaceInterval bounds the replacement of silent connections to one target, since a new connection costs the
// target 1 to 6 ms.
const replaceInterval = time.Second

// RecordAnsweredSend notes a reply to a request that was sent at started.
func (g *TargetStats) RecordAnsweredSend(started time.Time) {
	for {
		old := g.answered.Load()
		if old >= instant(started) || g.answered.CompareAndSwap(old, instant(started)) {
			return
		}
	}
}

// TryReplaceConnection decides about a request that got no reply: it reports true when the request ran far longer than
// others, one that was sent later on another connection was answered, and no connection to the target was replaced
// shortly before.
func (g *TargetStats) TryReplaceConnection(started, now time.Time) bool {
	return now.Sub(started) >= stallFactor*g.Latency() && g.answered.Load() > instant(started) && g.mayReplace(now)
}

func (g *TargetStats) mayReplace(now time.Time) bool {
	old := g.replaced.Load()
	return instant(now)-old >= int64(replaceInterval) && g.replaced.CompareAndSwap(old, instant(now))
}
