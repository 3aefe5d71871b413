package targets

import (
	"sync/atomic"
	"time"
)

// TargetStats holds what this instance measures about one target: outstanding requests, latency, failures and timeouts.
// Control creates it and traffic updates it. It is safe for concurrent use. Fields marked as instants hold values of
// the function instant.
type TargetStats struct {
	outstanding       atomic.Int64
	latency           atomic.Int64 // nanoseconds, exponentially weighted, of replies and cancelled requests
	roundTrip         atomic.Int64 // nanoseconds, shortest TCP handshake; rises slowly with longer ones
	lastAnsweredSend  atomic.Int64 // instant: send time of the latest sent request that got a reply
	lastReplacement   atomic.Int64 // instant: when connections to the target were last replaced
	replyLatency      atomic.Int64 // nanoseconds, exponentially weighted, of replies only
	unansweredWait    atomic.Int64 // nanoseconds that unanswered requests waited in total since the last response
	consecutiveLosses atomic.Int64 // requests without a response in time or with a lost connection, since the last response
	unresponsiveSince atomic.Int64 // instant: send time of the first of these requests
	avoidUntil        atomic.Int64 // instant: until when the target is avoided
	awaitingSince     atomic.Int64 // instant: first send since the last response, or that response if requests were outstanding then; 0 if no response is awaited
	reportedRequests  atomic.Int64 // requests running or queued at the target, as last reported by it
	reportedAt        atomic.Int64 // instant: when reportedRequests was received
	failureRate       atomic.Int64 // fraction of requests that the target shed or failed, in failureRateUnit, exponentially weighted
	nextColdSend      atomic.Int64 // instant: when the next request may be sent to the cold target
	rankedAt          atomic.Int64 // instant: when the target was last considered by Dispatch.choose
	restUntil         atomic.Int64 // instant: until when the target wants no requests, 0 if it never asked for a rest
	leaving           atomic.Bool  // the target said that it is leaving
	leavingHint       atomic.Bool  // a sibling heard that the target is leaving
	shedsInRow        atomic.Int64 // requests that the target shed since it last ran one
	bodyBytes         atomic.Int64 // bytes of request bodies in flight to the target from this instance
	invalidLoad       atomic.Bool  // the target sent a load report that is not valid
	load              targetLoad
	// pace is nil unless the target is starting or recovering. Control and traffic begin it, traffic updates and ends it.
	pace atomic.Pointer[sharedPace]
}

// origin is the reference time of instants. Only differences between instants are used.
var origin = time.Now()

// instant converts a time to a positive number for atomic fields. It uses the monotonic clock reading, so that steps of
// the wall clock have no effect.
func instant(t time.Time) int64 { return int64(t.Sub(origin)) + 1<<62 }

const (
	// A sample above the estimate has weight 1/2, one below it 1/8, so that a target that becomes slow loses its
	// preference after a few legs.
	latencyRiseShift = 1
	latencyFallShift = 3
	// Each time another target is preferred, the estimate falls by 1/64. Without this, a target that was slow once
	// would get no legs and hence no samples, and its estimate would never recover.
	notPreferredShift = 6
	// A longer handshake raises the round trip estimate by 1/8 of the difference; a shorter one replaces it.
	roundTripRiseShift = 3
	// decayTime is the time constant with which the estimates of a target decay while Dispatch prefers other targets.
	// It does not depend on the request rate of this instance, since one of many instances sends few requests to each
	// target. It corresponds to 64 requests at the current size of the deployment.
	decayTime = 9 * time.Second
)

// TryStart counts a request as outstanding and reports true, unless limit requests are outstanding already.
func (s *TargetStats) TryStart(limit int) bool {
	for {
		n := s.outstanding.Load()
		if n >= int64(limit) {
			return false
		}
		if s.outstanding.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Finish ends a request that TryStart counted, and samples its latency if that is positive.
func (s *TargetStats) Finish(latency time.Duration) {
	s.outstanding.Add(-1)
	if latency <= 0 {
		return
	}
	old := s.latency.Load()
	switch sample := int64(latency); {
	case old == 0:
		s.latency.CompareAndSwap(0, sample)
	case sample > old:
		s.latency.CompareAndSwap(old, old+(sample-old)>>latencyRiseShift)
	default:
		s.latency.CompareAndSwap(old, old-(old-sample)>>latencyFallShift)
	}
}

// A cancelled request is sampled with cancelledFactor times its elapsed time. With a factor of 1, the estimate of a
// slow target would stay near the time after which its requests are cancelled, and the target would still be preferred.
const cancelledFactor = 2

// FinishCancelled ends a request that was cancelled after elapsed, which is a lower bound of its latency.
func (s *TargetStats) FinishCancelled(elapsed time.Duration) {
	if elapsed <= s.Latency() {
		elapsed = 0
	}
	s.Finish(cancelledFactor * elapsed)
}

// recordNotPreferred lowers the latency estimate because another target was preferred.
func (s *TargetStats) recordNotPreferred() {
	old := s.latency.Load()
	s.latency.CompareAndSwap(old, old-old>>notPreferredShift)
}

// recordChosen records that the target was preferred to others, which restarts the decay of its estimates.
func (s *TargetStats) recordChosen(now time.Time) { s.rankedAt.Store(instant(now)) }

// decay lowers the latency and failure estimates of a target that was not preferred, by the time since it was last
// considered.
func (s *TargetStats) decay(now time.Time) {
	at := s.rankedAt.Swap(instant(now))
	if at == 0 {
		return
	}
	part := min(max(float64(instant(now)-at)/float64(decayTime), 0), 1)
	latency := s.latency.Load()
	s.latency.CompareAndSwap(latency, latency-int64(float64(latency)*part))
	rate := s.failureRate.Load()
	s.failureRate.CompareAndSwap(rate, rate-int64(float64(rate)*part))
}

// Outstanding returns the number of requests from this instance that have not ended.
func (s *TargetStats) Outstanding() int { return int(s.outstanding.Load()) }

// Latency returns the weighted latency that this instance measured, zero before the first sample.
func (s *TargetStats) Latency() time.Duration { return time.Duration(s.latency.Load()) }

// RecordHandshake records the duration of a TCP handshake with the target, which is one round trip.
func (s *TargetStats) RecordHandshake(handshake time.Duration) {
	old := s.roundTrip.Load()
	sample := int64(handshake)
	if old != 0 && sample > old {
		sample = old + (sample-old)>>roundTripRiseShift
	}
	s.roundTrip.CompareAndSwap(old, sample)
}

const (
	defaultRoundTrip = 2 * time.Millisecond // twice the one-way time in the slower of the regions in use
	minRoundTrip     = 500 * time.Microsecond
	maxRoundTrip     = 20 * time.Millisecond
)

// RoundTripTime estimates the network round trip to the target, as the time to reserve for the arrival of a reply. A
// reply needs half of it; the other half covers delays at both ends.
func (s *TargetStats) RoundTripTime() time.Duration {
	trip := time.Duration(s.roundTrip.Load())
	if trip == 0 {
		return defaultRoundTrip
	}
	return min(max(trip, minRoundTrip), maxRoundTrip)
}

// replaceInterval limits how often connections to a target are replaced, since each new connection costs the target 1
// to 6 ms.
const replaceInterval = time.Second

// RecordAnsweredSend records that a request sent at sentAt got a reply.
func (s *TargetStats) RecordAnsweredSend(sentAt time.Time) {
	for {
		old := s.lastAnsweredSend.Load()
		if old >= instant(sentAt) || s.lastAnsweredSend.CompareAndSwap(old, instant(sentAt)) {
			return
		}
	}
}

// TryReplaceConnection decides whether the connections to the target should be replaced because a request sent at
// sentAt got no reply. It reports true if the request took much longer than the usual latency, a request sent later on
// another connection was answered, and replaceInterval has passed since the last replacement.
func (s *TargetStats) TryReplaceConnection(sentAt, now time.Time) bool {
	return now.Sub(sentAt) >= stallFactor*s.Latency() && s.lastAnsweredSend.Load() > instant(sentAt) && s.tryReplace(now)
}

// tryReplace records a replacement and reports true if replaceInterval has passed since the last one.
func (s *TargetStats) tryReplace(now time.Time) bool {
	old := s.lastReplacement.Load()
	return instant(now)-old >= int64(replaceInterval) && s.lastReplacement.CompareAndSwap(old, instant(now))
}
