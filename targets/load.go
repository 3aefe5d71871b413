package targets

import (
	"math"
	"sync"
	"time"
)

// LoadReport is a target's own report of its load.
type LoadReport struct {
	Running, Waiting, Slots int // Slots is 0 if the report does not say
	// Pace is the time that work takes at the target now relative to the usual time, 1 is as usual, 0 if not reported.
	Pace float64
}

const (
	// maxReportedRequests bounds the running and the waiting requests of a report. The queues of targets hold tens.
	maxReportedRequests = 10_000
	// maxRunningPerSlot bounds the running requests of a report. A target may count a request a little longer than it uses
	// the slot, so some more than one for each slot are possible.
	maxRunningPerSlot = 4
	// minReportedPace and maxReportedPace bound the pace of a report. Targets of which 15% are ten times slower were seen.
	minReportedPace = 0.05
	maxReportedPace = 100
)

// Plausible reports whether the figures of the report are possible.
func (r LoadReport) Plausible() bool {
	switch {
	case r.Running < 0 || r.Running > maxReportedRequests || r.Waiting < 0 || r.Waiting > maxReportedRequests:
		return false
	case r.Slots < 0 || r.Slots > maxReportedRequests || r.Slots > 0 && r.Running > maxRunningPerSlot*r.Slots:
		return false
	}
	return r.Pace == 0 || r.Pace >= minReportedPace && r.Pace <= maxReportedPace
}

const (
	// defaultReportLifetime is the lifetime of a reported figure while it is not known how fast the figure changes.
	defaultReportLifetime = 300 * time.Millisecond
	// minReportLifetime is about the time of one request at a target, in which its queue changes by one.
	minReportLifetime = 5 * time.Millisecond
	// maxReportLifetime bounds the lifetime of a figure that has not changed for many reports. A target may become slow at
	// any time.
	maxReportLifetime = 2 * time.Second
	// maxReportAge is the age from which a target counts as one that reports no load.
	maxReportAge = 10 * time.Second
	// minReportInterval is the time between reports from which on their difference counts. Replies that are read together
	// tell nothing about how the figures change.
	minReportInterval = 2 * time.Millisecond
	// minReportsForLifetime is the number of reports after which the lifetime is estimated.
	minReportsForLifetime = 6
	// reportWeight is the weight of one report in the estimates.
	reportWeight = 1.0 / 8
	// usualWeight is the weight of one report or reply in the usual value, which a short disturbance must not change much.
	usualWeight = 1.0 / 16
	// minCorrelation is the correlation of successive reports below which they are too far apart to tell how fast the
	// figure changes; they only give an upper bound.
	minCorrelation = 0.2
)

// reportedFigure is a figure of the load reports of a target, with estimates of how it changes. Its forecast for a time
// after the last report lies between that report and the mean, nearer to the mean the older the report is.
type reportedFigure struct {
	last, mean, variance float64
	// change is the weighted mean of half the squared difference between successive reports. It equals the variance if
	// successive reports are unrelated, and is small if the figure changes slowly.
	change   float64
	lifetime time.Duration
}

func (f *reportedFigure) record(x, weight float64, interval time.Duration, reports int) {
	difference := x - f.last
	f.change += weight * (difference*difference/2 - f.change)
	deviation := x - f.mean
	f.mean += usualWeight * deviation
	f.variance = (1 - weight) * (f.variance + weight*deviation*deviation)
	f.last = x
	f.lifetime = f.estimateLifetime(interval, reports)
}

// estimateLifetime returns the time in which the correlation with the last report falls to 1/e, from the correlation of
// reports that are interval apart.
func (f *reportedFigure) estimateLifetime(interval time.Duration, reports int) time.Duration {
	if reports < minReportsForLifetime || interval <= 0 {
		return defaultReportLifetime
	}
	if f.variance <= 1e-6 {
		return maxReportLifetime
	}
	correlation := 1 - f.change/f.variance
	if correlation < minCorrelation {
		return max(min(defaultReportLifetime, time.Duration(float64(interval)/-math.Log(minCorrelation))), minReportLifetime)
	}
	estimate := float64(interval) / max(-math.Log(correlation), 1e-3)
	return time.Duration(min(max(estimate, float64(minReportLifetime)), float64(maxReportLifetime)))
}

// forecast returns the expected value at the given age of the last report. usual is the value of a target of which nothing
// is known; the mean approaches it within decayTime, as the other estimates of targets that get no requests. With recent set,
// it takes the place of the mean.
func (f *reportedFigure) forecast(usual float64, age time.Duration, recent bool) float64 {
	known := max(1-float64(age)/float64(decayTime), 0)
	if recent {
		known = 0
	}
	mean := usual + (f.mean-usual)*known
	if f.last == mean {
		return mean
	}
	return mean + (f.last-mean)*math.Exp(-float64(age)/float64(f.lifetime))
}

// targetLoad holds what is known of the load of a target from its reports, and how far its replies confirm them. Traffic
// records and reads it; mu protects all fields and is held for short computations only.
type targetLoad struct {
	mu    sync.Mutex
	at    int64 // instant of the last report, 0 if there is none
	slots int   // 0 if not reported
	// tellsPace is set if the last report told the pace. Without it, a queue that is often empty says less than the latencies.
	tellsPace bool
	reports   int // number of reports, up to minReportsForLifetime
	ownThen   int // other requests of this instance that were outstanding at the last report
	interval  time.Duration
	requests  reportedFigure // running and waiting
	pace      reportedFigure
	// trust is how far replies confirm the reports: the weighted fraction of the replies that arrived within the bounds that
	// the report gave. slowness is the time to a reply relative to the one that the reports lead to expect, as of repliedAt,
	// usualSlowness the same over many replies. work is the mean work, in nanoseconds, of the requests that the target replied
	// to.
	trust, slowness, usualSlowness, work float64
	repliedAt                            int64 // instant
	// connecting is the weighted time to open a connection, connections the number of those known to be open until
	// connectedUntil.
	connecting     time.Duration
	connections    int
	connectedUntil int64 // instant
}

// The values of a target of which nothing is known.
const (
	usualPace     = 1.0
	usualRequests = 0.0
)

// start sets the estimates of a target without reports or replies.
func (l *targetLoad) start() {
	if l.slowness == 0 {
		l.trust, l.slowness, l.usualSlowness, l.pace.mean, l.pace.last = 1, 1, 1, usualPace, usualPace
	}
}

// RecordLoad records a report that the target sent with a reply. Reports that are not plausible are ignored.
func (s *TargetStats) RecordLoad(r LoadReport, now time.Time) {
	if !r.Plausible() {
		return
	}
	s.reportedRequests.Store(int64(r.Running + r.Waiting))
	s.reportedAt.Store(instant(now))
	l := &s.load
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start()
	at, pace := instant(now), r.Pace
	if pace == 0 {
		pace = usualPace
	}
	elapsed := time.Duration(at - l.at)
	if l.at != 0 && elapsed < minReportInterval {
		// The report replaces the last one, without a difference that would count.
		l.requests.last, l.pace.last = float64(r.Running+r.Waiting), pace
	} else {
		weight := max(reportWeight, 1/float64(l.reports+2))
		if l.at != 0 {
			l.interval += time.Duration(weight * float64(min(elapsed, maxReportAge)-l.interval))
		}
		l.reports = min(l.reports+1, minReportsForLifetime)
		l.requests.record(float64(r.Running+r.Waiting), weight, l.interval, l.reports)
		l.pace.record(pace, weight, l.interval, l.reports)
	}
	// The request whose reply carried the report is still counted as outstanding.
	l.at, l.slots, l.ownThen = max(at, l.at), r.Slots, max(s.Outstanding()-1, 0)
	l.tellsPace = r.Pace > 0
}

// RecordInvalidLoad records that the target sent a load report that is not valid. It reports whether this is news.
func (s *TargetStats) RecordInvalidLoad() bool { return s.invalidLoad.CompareAndSwap(false, true) }

// LoadAge returns the age of the last report of the target, and false if it reported no load within maxReportAge.
func (s *TargetStats) LoadAge(now time.Time) (time.Duration, bool) {
	s.load.mu.Lock()
	defer s.load.mu.Unlock()
	return s.load.age(now)
}

func (l *targetLoad) age(now time.Time) (time.Duration, bool) {
	age := time.Duration(instant(now) - l.at)
	if l.at == 0 || age > maxReportAge {
		return 0, false
	}
	return max(age, 0), true
}

const (
	// contradictionFactor is the ratio of the time to a reply to the expected one, or its inverse, from which on the reply
	// contradicts the reports. The time of ordinary requests varies by a factor of two.
	contradictionFactor = 3
	// minContradiction is the least difference that contradicts a report: a delay of the network or of this instance.
	minContradiction = 5 * time.Millisecond
	// A reply that contradicts the reports has weight 1/4 in the trust, one that agrees 1/8, so that a few contradictions in
	// a row end the trust, and the pauses of a target, in which 4% of its requests fall, cost little of it.
	contradictionWeight = 1.0 / 4
	agreementWeight     = 1.0 / 8
	// A reply that took longer than expected has weight 1/2 in the slowness of a target, one that did not 1/8, as in the
	// latency: a target that becomes slow without reporting it loses its preference after one reply.
	slownessRiseWeight = 1.0 / 2
	slownessFallWeight = 1.0 / 8
	// slownessLifetime is the time in which the slowness approaches the usual one of the target: pauses take 100 ms, and
	// machines are slow for 600 ms to some seconds.
	slownessLifetime = time.Second
	// minSlowness and maxSlowness bound the slowness, so that one reply does not exclude a target for long.
	minSlowness = 1.0 / 4
	maxSlowness = 16
	// workWeight is the weight of one reply in the mean work of the requests of a target.
	workWeight = 1.0 / 16
)

// ReplyTime describes a request that the target replied to, or that was cancelled before.
type ReplyTime struct {
	// Elapsed is the time from the send to the reply or the cancellation, without that of opening a connection.
	Elapsed time.Duration
	// Reported is Send.Reported; Work is the usual service time of the route, 0 if unknown.
	Reported, Work time.Duration
	// OwnDelay is the delay that this instance itself may have added.
	OwnDelay time.Duration
	// Cancelled is set if no reply arrived, so that Elapsed is only a lower bound.
	Cancelled bool
}

// RecordReplyTime compares the time to a reply with the one that the reports of the target led to expect.
func (s *TargetStats) RecordReplyTime(r ReplyTime, now time.Time) {
	l := &s.load
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start()
	if r.Work > 0 && !r.Cancelled {
		if l.work == 0 {
			l.work = float64(r.Work)
		}
		l.work += workWeight * (float64(r.Work) - l.work)
	}
	if r.Reported <= 0 || r.Elapsed <= 0 {
		return
	}
	elapsed := r.Elapsed
	if r.Cancelled {
		if elapsed <= r.Reported {
			return
		}
		elapsed *= cancelledFactor
	}
	slack := max(minContradiction, r.OwnDelay)
	switch {
	case elapsed > contradictionFactor*r.Reported+slack || contradictionFactor*elapsed+slack < r.Reported:
		l.trust -= contradictionWeight * l.trust
	case !r.Cancelled:
		l.trust += agreementWeight * (1 - l.trust)
	}
	ratio := float64(elapsed) / float64(r.Reported)
	l.usualSlowness = min(max(l.usualSlowness*(1+usualWeight*(ratio-1)), minSlowness), maxSlowness)
	weight := slownessFallWeight
	if ratio > 1 {
		weight = slownessRiseWeight
	}
	l.slowness = min(max(l.slownessAt(now, false)*(1+weight*(ratio-1)), minSlowness), maxSlowness)
	l.repliedAt = instant(now)
}

// slownessAt returns the slowness at a time, which approaches the usual one of the target. With recent set, it approaches 1 as
// fast as a reported figure.
func (l *targetLoad) slownessAt(now time.Time, recent bool) float64 {
	age := max(float64(instant(now)-l.repliedAt), 0)
	if recent {
		return 1 + (l.slowness-1)*math.Exp(-age/float64(defaultReportLifetime))
	}
	usual := 1 + (l.usualSlowness-1)*max(1-age/float64(decayTime), 0)
	return usual + (l.slowness-usual)*math.Exp(-age/float64(slownessLifetime))
}

// connectingWeight is the weight of one connection in the time to open one.
const connectingWeight = 1.0 / 4

// RecordConnection records the connection of a reply: how long its opening took, 0 if it was open already, and until when
// it can carry another request, zero if it cannot.
func (s *TargetStats) RecordConnection(opening time.Duration, usableUntil, now time.Time) {
	l := &s.load
	l.mu.Lock()
	defer l.mu.Unlock()
	if opening > 0 {
		if l.connecting == 0 {
			l.connecting = opening
		}
		l.connecting += time.Duration(connectingWeight * float64(opening-l.connecting))
	}
	if usableUntil.IsZero() {
		l.connections = max(l.connections-1, 0)
		return
	}
	if instant(now) >= l.connectedUntil {
		l.connections = 0
	}
	// The requests that are outstanding, this one included, have a connection each.
	l.connections, l.connectedUntil = max(l.connections, s.Outstanding()), instant(usableUntil)
}

// connectingTime returns the time that the next request will need to open a connection, 0 if one is probably open. outstanding
// is the number of requests of this instance at the target.
func (l *targetLoad) connectingTime(outstanding int, now time.Time) time.Duration {
	if outstanding < l.connections && instant(now) < l.connectedUntil {
		return 0
	}
	return l.connecting
}
