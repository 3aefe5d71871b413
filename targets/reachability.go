package targets

import "time"

const (
	// After a lost request, a target is avoided for minAvoid, doubled with each further one up to maxAvoid: long enough
	// to bridge a pause of some 100 ms, short enough to notice a restart.
	minAvoid = 200 * time.Millisecond
	maxAvoid = 1600 * time.Millisecond
	// A target counts as unresponsive after timeoutFactor times its usual reply latency without a response.
	timeoutFactor = 6
	// minTimeout is the lower bound of that time; shorter delays occur at loaded targets too.
	minTimeout = 60 * time.Millisecond
	// replyLatencyShift gives one reply a weight of 1/8 in the usual reply latency.
	replyLatencyShift = 3
	// reportedLoadLifetime is how long a reported load is used where the slots of the target are not known.
	reportedLoadLifetime = 300 * time.Millisecond
	// A target counts as unreachable after two lost requests and unreachableAfter without a response: longer than the
	// occasional pauses of targets.
	unreachableAfter = 700 * time.Millisecond
)

// RecordSend records that a request was sent to the target.
func (s *TargetStats) RecordSend(now time.Time) { s.awaitingSince.CompareAndSwap(0, instant(now)) }

// RecordResponse records a response of any kind, including a refusal. elapsed is the latency if the target ran the
// request, else 0.
func (s *TargetStats) RecordResponse(elapsed time.Duration, now time.Time) {
	if old := s.replyLatency.Load(); elapsed > 0 {
		s.replyLatency.CompareAndSwap(old, old+(int64(elapsed)-old)>>replyLatencyShift)
	}
	s.unansweredWait.Store(0)
	s.consecutiveLosses.Store(0)
	s.avoidUntil.Store(0)
	if s.Outstanding() > 1 {
		s.awaitingSince.Store(instant(now))
		return
	}
	s.awaitingSince.Store(0)
}

// RecordNoResponse records that a request sent at sentAt ended without a reply. The request counts as lost, and the
// target is avoided for a while, if the connection was lost or if requests waited for longer than responseTimeout. The
// waits of several requests are added up, since each may be cancelled earlier than that. Waits below minTimeout, ended
// by the reply to a hedge, do not count: they only show that the target is slow.
func (s *TargetStats) RecordNoResponse(sentAt, now time.Time, connectionLost bool) {
	if s.Outstanding() <= 1 {
		s.awaitingSince.Store(0)
	}
	if !connectionLost {
		waited := now.Sub(sentAt)
		if waited < minTimeout || time.Duration(s.unansweredWait.Add(int64(waited))) < s.responseTimeout() {
			return
		}
	}
	if s.consecutiveLosses.Load() == 0 {
		s.unresponsiveSince.Store(instant(sentAt))
	}
	n := min(s.consecutiveLosses.Add(1), 8)
	s.avoidUntil.Store(instant(now.Add(min(minAvoid<<(n-1), maxAvoid))))
}

// Unreachable reports whether at least two requests in a row were lost, the first of them sent more than
// unreachableAfter ago.
func (s *TargetStats) Unreachable(now time.Time) bool {
	return s.consecutiveLosses.Load() >= 2 && instant(now)-s.unresponsiveSince.Load() > int64(unreachableAfter)
}

// Unresponsive reports whether a request was lost since the last response, or a response has been awaited for longer
// than responseTimeout.
func (s *TargetStats) Unresponsive(now time.Time) bool {
	since := s.awaitingSince.Load()
	return s.consecutiveLosses.Load() > 0 || since != 0 && instant(now)-since > int64(s.responseTimeout())
}

// MarkUnreachable makes Unreachable report true until RecordResponse or MarkReachable is called. It is used when this
// instance is cut off from the target.
func (s *TargetStats) MarkUnreachable() {
	s.unresponsiveSince.Store(0)
	s.consecutiveLosses.Store(2)
}

// MarkReachable clears the recorded losses after connectivity to the target is restored.
func (s *TargetStats) MarkReachable() {
	s.consecutiveLosses.Store(0)
	s.avoidUntil.Store(0)
}

// responseTimeout returns the time without a response after which the target counts as unresponsive.
func (s *TargetStats) responseTimeout() time.Duration {
	return max(timeoutFactor*time.Duration(s.replyLatency.Load()), minTimeout)
}

// maxProbeTime bounds the time that a request waits for targets that count as unreachable, unless they usually take longer. A
// request that is given up must leave the caller time to try again.
const maxProbeTime = 250 * time.Millisecond

// probeTime returns how long a request waits for a target that counts as unreachable. It doubles with each lost request, since the
// target may respond, but more slowly than before: then requests that are given up too early would never show that it does.
func (s *TargetStats) probeTime() time.Duration {
	usual := s.responseTimeout()
	return max(min(usual<<min(s.consecutiveLosses.Load(), 8), maxProbeTime), usual)
}

// Avoided reports whether requests should currently go to other targets.
func (s *TargetStats) Avoided(now time.Time) bool {
	if instant(now) < s.avoidUntil.Load() {
		return true
	}
	if s.consecutiveLosses.Load() > 0 && s.Outstanding() > 0 {
		return true // one request at a time probes an unresponsive target
	}
	since := s.awaitingSince.Load()
	return since != 0 && instant(now)-since > int64(s.responseTimeout())
}

const (
	failureRateUnit = 1 << 20
	// A request that was shed or failed has weight 1/4, one that was answered 1/16, so that a target that sheds part of
	// its requests is avoided although the others succeed.
	failureRiseShift = 2
	failureFallShift = 4
)

// RecordOutcome updates the failure rate with a request that the target shed or failed, or that it answered.
func (s *TargetStats) RecordOutcome(failed bool) {
	old := s.failureRate.Load()
	next := old - old>>failureFallShift
	if failed {
		next = old + (failureRateUnit-old)>>failureRiseShift
	}
	s.failureRate.CompareAndSwap(old, next)
}

// FailureRate returns the fraction of recent requests that the target shed or failed, from 0 to 1.
func (s *TargetStats) FailureRate() float64 { return float64(s.failureRate.Load()) / failureRateUnit }

// EstimatedRequests returns the larger of the requests outstanding from this instance and, while recent, the number
// that the target reported.
func (s *TargetStats) EstimatedRequests(now time.Time) int {
	own := s.Outstanding()
	if instant(now)-s.reportedAt.Load() > int64(reportedLoadLifetime) {
		return own
	}
	return max(own, int(s.reportedRequests.Load()))
}

// returnColdSend gives back a request that takeColdSend counted and that is not sent.
func (s *TargetStats) returnColdSend(rate float64) {
	if rate > 0 {
		s.nextColdSend.Add(-int64(float64(time.Second) / rate))
	}
}

// takeColdSend reports whether a request may be sent to a cold target at a rate of rate requests per second, and counts
// it. A rate of zero or less means no limit.
func (s *TargetStats) takeColdSend(rate float64, now time.Time) bool {
	if rate <= 0 {
		return true
	}
	for {
		next := s.nextColdSend.Load()
		if instant(now) < next {
			return false
		}
		if s.nextColdSend.CompareAndSwap(next, instant(now)+int64(float64(time.Second)/rate)) {
			return true
		}
	}
}
