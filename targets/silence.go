package targets

import "time"

const (
	// After a timeout or a lost connection, a target is avoided for minAvoid, doubled with each further one up to
	// maxAvoid: long enough to bridge a pause of some 100 ms, short enough to notice a restart.
	minAvoid = 200 * time.Millisecond
	maxAvoid = 1600 * time.Millisecond
	// A target counts as unresponsive after timeoutFactor times its usual reply latency without a response.
	timeoutFactor = 6
	// minTimeout is the lower bound of that time; shorter delays occur at loaded targets too.
	minTimeout = 60 * time.Millisecond
	// replyLatencyShift gives one reply a weight of 1/8 in the usual reply latency.
	replyLatencyShift = 3
	// reportedLoadLifetime is how long a reported load is used.
	reportedLoadLifetime = 300 * time.Millisecond
	// A target counts as unreachable after two timeouts and unreachableAfter without a response: longer than the
	// occasional pauses of targets.
	unreachableAfter = 700 * time.Millisecond
)

// RecordSend records that a request was sent to the target.
func (g *TargetStats) RecordSend(now time.Time) { g.oldestUnanswered.CompareAndSwap(0, instant(now)) }

// RecordResponse records a response of any kind, including a refusal. elapsed is the latency if the target ran the
// request, else 0.
func (g *TargetStats) RecordResponse(elapsed time.Duration, now time.Time) {
	if old := g.replyLatency.Load(); elapsed > 0 {
		g.replyLatency.CompareAndSwap(old, old+(int64(elapsed)-old)>>replyLatencyShift)
	}
	g.unansweredWait.Store(0)
	g.timeouts.Store(0)
	g.avoidUntil.Store(0)
	if g.Outstanding() > 1 {
		g.oldestUnanswered.Store(instant(now))
		return
	}
	g.oldestUnanswered.Store(0)
}

// RecordNoResponse records that a request sent at sent ended without a reply. The target is avoided for a while if the
// connection was lost, or if requests waited for longer than responseTimeout. The waits of several requests are added
// up, since each may be cancelled earlier than that. Waits below minTimeout, ended by the reply to a hedge, do not
// count: they only show that the target is slow.
func (g *TargetStats) RecordNoResponse(sent, now time.Time, broke bool) {
	if g.Outstanding() <= 1 {
		g.oldestUnanswered.Store(0)
	}
	if !broke {
		waited := now.Sub(sent)
		if waited < minTimeout || time.Duration(g.unansweredWait.Add(int64(waited))) < g.responseTimeout() {
			return
		}
	}
	if g.timeouts.Load() == 0 {
		g.unresponsiveSince.Store(instant(sent))
	}
	n := min(g.timeouts.Add(1), 8)
	g.avoidUntil.Store(instant(now.Add(min(minAvoid<<(n-1), maxAvoid))))
}

// Unreachable reports whether at least two requests in a row timed out, the first of them sent more than
// unreachableAfter ago.
func (g *TargetStats) Unreachable(now time.Time) bool {
	return g.timeouts.Load() >= 2 && instant(now)-g.unresponsiveSince.Load() > int64(unreachableAfter)
}

// Unresponsive reports whether a request has timed out since the last response, or the oldest unanswered request has
// waited for longer than responseTimeout.
func (g *TargetStats) Unresponsive(now time.Time) bool {
	since := g.oldestUnanswered.Load()
	return g.timeouts.Load() > 0 || since != 0 && instant(now)-since > int64(g.responseTimeout())
}

// MarkUnreachable makes Unreachable report true until RecordResponse or MarkReachable is called. It is used when this
// instance is cut off from the target.
func (g *TargetStats) MarkUnreachable() {
	g.unresponsiveSince.Store(0)
	g.timeouts.Store(2)
}

// MarkReachable clears the recorded timeouts after connectivity to the target is restored.
func (g *TargetStats) MarkReachable() {
	g.timeouts.Store(0)
	g.avoidUntil.Store(0)
}

// responseTimeout returns the time without a response after which the target counts as unresponsive.
func (g *TargetStats) responseTimeout() time.Duration {
	return max(timeoutFactor*time.Duration(g.replyLatency.Load()), minTimeout)
}

// Avoided reports whether requests should currently go to other targets.
func (g *TargetStats) Avoided(now time.Time) bool {
	if instant(now) < g.avoidUntil.Load() {
		return true
	}
	if g.timeouts.Load() > 0 && g.Outstanding() > 0 {
		return true // probe an unresponsive target with one request at a time
	}
	since := g.oldestUnanswered.Load()
	return since != 0 && instant(now)-since > int64(g.responseTimeout())
}

const (
	failureRateUnit = 1 << 20
	// A request that was shed or failed has weight 1/4, one that was answered 1/16, so that a target that sheds part of
	// its requests is avoided although the others succeed.
	failureRiseShift = 2
	failureFallShift = 4
)

// RecordOutcome updates the failure rate with a request that the target shed or failed, or that it answered.
func (g *TargetStats) RecordOutcome(fault bool) {
	old := g.failureRate.Load()
	next := old - old>>failureFallShift
	if fault {
		next = old + (failureRateUnit-old)>>failureRiseShift
	}
	g.failureRate.CompareAndSwap(old, next)
}

// FailureRate returns the fraction of recent requests that the target shed or failed, from 0 to 1.
func (g *TargetStats) FailureRate() float64 { return float64(g.failureRate.Load()) / failureRateUnit }

// RecordReportedLoad records the number of running and queued requests that the target reported.
func (g *TargetStats) RecordReportedLoad(runningAndWaiting int, now time.Time) {
	g.reportedRequests.Store(int64(runningAndWaiting))
	g.reportedAt.Store(instant(now))
}

// EstimatedRequests returns the larger of the requests outstanding from this instance and, while recent, the number
// that the target reported.
func (g *TargetStats) EstimatedRequests(now time.Time) int {
	own := g.Outstanding()
	if instant(now)-g.reportedAt.Load() > int64(reportedLoadLifetime) {
		return own
	}
	return max(own, int(g.reportedRequests.Load()))
}

// takeColdSend reports whether a request may be sent to a cold target at a rate of rate requests per second, and counts
// it. A rate of zero or less means no limit.
func (g *TargetStats) takeColdSend(rate float64, now time.Time) bool {
	if rate <= 0 {
		return true
	}
	for {
		next := g.nextColdSend.Load()
		if instant(now) < next {
			return false
		}
		if g.nextColdSend.CompareAndSwap(next, instant(now)+int64(float64(time.Second)/rate)) {
			return true
		}
	}
}
