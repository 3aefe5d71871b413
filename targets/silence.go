package targets

import "time"

const (
	// A target that gave no sign of life is avoided for minAvoid, twice as long after each further silence, and at
	// most for maxAvoid: long enough to pass over a pause of some 100 ms, short enough to notice a restart.
	minAvoid = 200 * time.Millisecond
	maxAvoid = 1600 * time.Millisecond
	// silenceFactor is the multiple of a target's usual latency after which no sign of life means trouble.
	silenceFactor = 6
	// minSilence is the shortest time that counts as silence; shorter ones are seen at loaded targets too.
	minSilence = 60 * time.Millisecond
	// usualShift is the weight, 1/8, of one reply in a target's usual latency.
	usualShift = 3
	// reportLife is how long a reported load is used.
	reportLife = 300 * time.Millisecond
	// darkAfter is for how long a target must have been silent, at two sends at least, to count as dark: longer than
	// the pauses that targets make now and then.
	darkAfter = 700 * time.Millisecond
)

// RecordSend notes that a request left for the target.
func (g *TargetStats) RecordSend(now time.Time) { g.waitingFor.CompareAndSwap(0, instant(now)) }

// RecordResponse notes a sign of life: a reply of any kind. elapsed is the latency of a request that the target ran, else 0.
func (g *TargetStats) RecordResponse(elapsed time.Duration, now time.Time) {
	if old := g.usual.Load(); elapsed > 0 {
		g.usual.CompareAndSwap(old, old+(int64(elapsed)-old)>>usualShift)
	}
	g.unheard.Store(0)
	g.silences.Store(0)
	g.avoidUntil.Store(0)
	if g.Outstanding() > 1 {
		g.waitingFor.Store(instant(now))
		return
	}
	g.waitingFor.Store(0)
}

// RecordNoResponse notes that a request which left at sent ended without a reply. The target is avoided for a while if it was
// silent for longer than usual, or broke the connection. The waits of several requests add up, since each may be given
// up sooner than that; short ones, ended by a hedge, show a slow target at most.
func (g *TargetStats) RecordNoResponse(sent, now time.Time, broke bool) {
	if g.Outstanding() <= 1 {
		g.waitingFor.Store(0)
	}
	if !broke {
		waited := now.Sub(sent)
		if waited < minSilence || time.Duration(g.unheard.Add(int64(waited))) < g.silenceLimit() {
			return
		}
	}
	if g.silences.Load() == 0 {
		g.silentSince.Store(instant(sent))
	}
	n := min(g.silences.Add(1), 8)
	g.avoidUntil.Store(instant(now.Add(min(minAvoid<<(n-1), maxAvoid))))
}

// Unreachable reports whether nothing was heard of the target although it was asked for some time.
func (g *TargetStats) Unreachable(now time.Time) bool {
	return g.silences.Load() >= 2 && instant(now)-g.silentSince.Load() > int64(darkAfter)
}

// Unresponsive reports whether the target has given no sign of life for longer than usual since it was last asked.
func (g *TargetStats) Unresponsive(now time.Time) bool {
	since := g.waitingFor.Load()
	return g.silences.Load() > 0 || since != 0 && instant(now)-since > int64(g.silenceLimit())
}

// MarkUnreachable makes the target count as dark until it is heard or forgiven, because this instance is cut off from it.
func (g *TargetStats) MarkUnreachable() {
	g.silentSince.Store(0)
	g.silences.Store(2)
}

// MarkReachable forgets that the target was silent, because what kept it from being heard is over.
func (g *TargetStats) MarkReachable() {
	g.silences.Store(0)
	g.avoidUntil.Store(0)
}

func (g *TargetStats) silenceLimit() time.Duration {
	return max(silenceFactor*time.Duration(g.usual.Load()), minSilence)
}

// Avoided reports whether other targets should be used at present.
func (g *TargetStats) Avoided(now time.Time) bool {
	if instant(now) < g.avoidUntil.Load() {
		return true
	}
	if g.silences.Load() > 0 && g.Outstanding() > 0 {
		return true // one request at a time tries it again
	}
	since := g.waitingFor.Load()
	return since != 0 && instant(now)-since > int64(g.silenceLimit())
}

const (
	faultUnit = 1 << 20
	// faultRiseShift and faultFallShift are the weights of a request that was shed or failed, 1/4, and of one that
	// was answered, 1/16: a target that sheds a part of its requests is passed over although the rest succeeds.
	faultRiseShift = 2
	faultFallShift = 4
)

// RecordOutcome notes that the target shed or failed a request, or answered it.
func (g *TargetStats) RecordOutcome(fault bool) {
	old := g.faults.Load()
	next := old - old>>faultFallShift
	if fault {
		next = old + (faultUnit-old)>>faultRiseShift
	}
	g.faults.CompareAndSwap(old, next)
}

// FailureRate returns the part of the requests that the target shed or failed lately, from 0 to 1.
func (g *TargetStats) FailureRate() float64 { return float64(g.faults.Load()) / faultUnit }

// RecordReportedLoad notes the load that the target told.
func (g *TargetStats) RecordReportedLoad(runningAndWaiting int, now time.Time) {
	g.reported.Store(int64(runningAndWaiting))
	g.reportedAt.Store(instant(now))
}

// EstimatedRequests returns the requests at the target as far as this instance knows.
func (g *TargetStats) EstimatedRequests(now time.Time) int {
	own := g.Outstanding()
	if instant(now)-g.reportedAt.Load() > int64(reportLife) {
		return own
	}
	return max(own, int(g.reported.Load()))
}

// takeCold spends one request of the rate that a cold target gets and reports whether there was one.
func (g *TargetStats) takeCold(rate float64, now time.Time) bool {
	if rate <= 0 {
		return true
	}
	for {
		next := g.coldNext.Load()
		if instant(now) < next {
			return false
		}
		if g.coldNext.CompareAndSwap(next, instant(now)+int64(float64(time.Second)/rate)) {
			return true
		}
	}
}
