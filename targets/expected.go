package targets

import "time"

// expectedInput holds what the expected time to a reply depends on.
type expectedInput struct {
	// Work is the usual service time of the request at a target, QueuedWork that of the other requests there.
	Work, QueuedWork time.Duration
	// Pace is the reported time that work takes relative to the usual time, a forecast. Slowness is the time that replies of
	// the target take relative to the one that its reports lead to expect. 0 counts as 1.
	Pace, Slowness float64
	// Ahead is the number of requests that run or wait at the target, a forecast. Slots is 0 if unknown.
	Ahead float64
	Slots int
	// RoundTrip is the time on the network, Connecting the time to open a connection, 0 if one is open.
	RoundTrip, Connecting time.Duration
	// Silent is how long this instance has been waiting for any response of the target, 0 if it awaits none.
	Silent time.Duration
	// FailureRate is the fraction of the requests that the target sheds or fails.
	FailureRate float64
	// Trust is the weight of the reports, from 0 to 1. The rest is the weight of ReplyTime, the usual time to a reply of the
	// target for such a request, 0 if unknown.
	Trust     float64
	ReplyTime time.Duration
}

const (
	// lateFactor is the ratio of the time without a response to the expected time from which on the target probably pauses
	// or works slowly. The service times of ordinary requests are up to 1.4 times their mean.
	lateFactor = 1.5
	// assumedPauseLeft is what is left on average of a pause of a target, which take 100 to 150 ms.
	assumedPauseLeft = 50 * time.Millisecond
	// lateReplyFactor is the ratio to the usual time that a reply past the hedging delay still needs on average at least: a
	// few of 100 replies are that late, and those wait for a pause or a queue. A smaller factor held back hedges that would
	// have been in time.
	lateReplyFactor = 4
	// hedgeGain is the ratio of the time that a reply is still away to the expected time of another target from which on a
	// hedge is worth the additional work.
	hedgeGain = 1.25
)

// reportedTime returns the expected time to a reply by the reports of the target, over an open connection.
func reportedTime(in *expectedInput) time.Duration {
	factor := 1.0
	if in.Slowness > 0 {
		factor *= in.Slowness
	}
	if in.Pace > 0 {
		factor *= in.Pace
	}
	work := float64(in.Work)
	if waiting := in.Ahead + 1 - float64(in.Slots); in.Slots > 0 && waiting > 0 {
		queued := float64(in.QueuedWork)
		if queued == 0 {
			queued = work
		}
		work += queued * waiting / float64(in.Slots)
	}
	return in.RoundTrip + time.Duration(factor*work)
}

// expectedTime returns the expected time to a reply of a target.
func expectedTime(in *expectedInput) time.Duration {
	t := reportedTime(in)
	if in.ReplyTime > 0 {
		t = time.Duration(in.Trust*float64(t) + (1-in.Trust)*float64(in.ReplyTime))
	}
	if late := in.Silent - time.Duration(lateFactor*float64(t)); late > 0 {
		t += late // a pause that has lasted for some time is expected to last as long again
	}
	t += in.Connecting
	// A shed or failed request is sent again, which takes at least as long.
	return t + time.Duration(min(max(in.FailureRate, 0), 1)*float64(t))
}

// remainingTime returns how long a reply past the hedging delay is still away, which was expected after expected and has been
// awaited for elapsed. usual is the usual time to a reply. Replies that have taken long are expected to take as long again.
func remainingTime(expected, elapsed, usual time.Duration) time.Duration {
	remaining := max(expected-elapsed, elapsed, lateReplyFactor*usual)
	if elapsed > time.Duration(lateFactor*float64(expected)) {
		return max(remaining, assumedPauseLeft)
	}
	return remaining
}

// expectation returns the input of expectedTime for a request with the given work, and false if the target has not
// reported its load with slots and pace lately. reserved is 1 if the request is already counted as outstanding there, else 0. With
// recent set, only recent reports and replies count, and a target with older ones is expected to be as usual.
func (t *Target) expectation(work time.Duration, reserved int, recent bool, now time.Time) (expectedInput, bool) {
	s := t.Stats
	own := max(s.Outstanding()-reserved, 0)
	l := &s.load
	l.mu.Lock()
	defer l.mu.Unlock()
	slots := l.slots
	if slots == 0 {
		slots = t.Slots
	}
	age, ok := l.age(now)
	if !ok || slots == 0 || !l.tellsPace {
		return expectedInput{}, false
	}
	in := expectedInput{
		Work: work, QueuedWork: time.Duration(l.work), Slowness: l.slownessAt(now, recent), Slots: slots, Trust: l.trust,
		Pace:  l.pace.forecast(usualPace, age, recent),
		Ahead: max(l.requests.forecast(usualRequests, age, recent)+float64(max(own-l.ownThen, 0)), float64(own)),
		// The estimate of the round trip is that of a handshake, which also contains delays at the target.
		RoundTrip: min(s.RoundTripTime(), defaultRoundTrip), Connecting: l.connectingTime(own, now),
		FailureRate: s.FailureRate(), ReplyTime: s.Latency(),
	}
	if recent {
		in.Trust = 1
	}
	if in.Work == 0 {
		in.Work = in.QueuedWork
	}
	if in.Work == 0 {
		in.Work = max(in.ReplyTime-in.RoundTrip, in.ReplyTime/2)
	}
	if in.Work == 0 {
		in.Work = unknownLatency
	}
	if l.work > 0 {
		in.ReplyTime = time.Duration(float64(in.ReplyTime) * float64(in.Work) / l.work)
	}
	if since := s.awaitingSince.Load(); since != 0 && own > 0 {
		in.Silent = max(time.Duration(instant(now)-since), 0)
	}
	return in, true
}

// ExpectedTime returns the expected time to a reply of the target if a request is sent to it now. work is the usual service
// time of the route at a target, 0 if unknown. Without load reports it is the latency of the target, whatever the work.
func (t *Target) ExpectedTime(work time.Duration, now time.Time) time.Duration {
	if in, ok := t.expectation(work, 0, false, now); ok {
		return expectedTime(&in)
	}
	if latency := t.Stats.Latency(); latency > 0 {
		return latency
	}
	if work > 0 {
		return t.Stats.RoundTripTime() + work
	}
	return unknownLatency
}

// ServiceTime estimates the usual service time of the requests of a route at a target: the median, so that a part of the
// targets that is slow does not change it. It is safe for concurrent use.
type ServiceTime struct{ median *Tail }

// NewServiceTime returns an estimate without samples.
func NewServiceTime() *ServiceTime { return &ServiceTime{NewTail(Policy{HedgeQuantile: 0.5})} }

// Observe records that a target replied after elapsed, without the time to open a connection. report is the one that came
// with the reply, nil if there was none; the time that the load added is left out.
func (s *ServiceTime) Observe(elapsed time.Duration, stats *TargetStats, report *LoadReport) {
	service := float64(max(elapsed-min(stats.RoundTripTime(), defaultRoundTrip), elapsed/2))
	if report != nil {
		if report.Pace > 0 {
			service /= report.Pace
		}
		if report.Slots > 0 {
			service /= 1 + float64(report.Waiting)/float64(report.Slots)
		}
	}
	if service >= 1 {
		s.median.Observe(time.Duration(service), false)
	}
}

// Usual returns the estimate, 0 before the first sample.
func (s *ServiceTime) Usual() time.Duration { return s.median.Quantile() }
