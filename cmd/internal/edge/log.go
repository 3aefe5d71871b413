package edge

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"dogwooddrift.org/drift/cmd/internal/metrics"
	"dogwooddrift.org/drift/routing"
	"dogwooddrift.org/drift/targets"
	"dogwooddrift.org/drift/traffic"
)

// The names of metrics. docs/metrics.md describes each.
const (
	metricRequests  = "forwarded_requests"
	metricLatency   = "forwarded_latency"
	metricParts     = "forwarded_parts"
	metricMissing   = "forwarded_parts_missing"
	metricSends     = "sends"
	metricLeftOut   = "log_requests_left_out"
	metricDropped   = "log_lines_dropped"
	metricMembers   = "members"
	metricRevision  = "store_revision"
	metricVersion   = "routing_version"
	metricUsable    = "usable_targets"
	metricAsked     = "organisation_asked"
	metricRefused   = "organisation_refused"
	metricLoopDrops = "loop_events_dropped"
)

const (
	tagRoute        = "route"
	tagOutcome      = "outcome"
	tagService      = "service"
	tagHedge        = "hedge"
	tagOrganisation = "organisation"
)

// latencyBuckets doubles from 1 ms to 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// LogLimits bounds the requests that are logged.
type LogLimits struct {
	// Failures and Successes are how many a second are written; the rest is counted.
	Failures, Successes float64
}

// recorder logs and counts requests. It is safe for concurrent use.
type recorder struct {
	out     io.Writer
	log     zerolog.Logger
	metrics *metrics.Metrics

	mu        sync.Mutex
	routes    map[string]*routeMetrics
	sends     map[sendKey]tally.Counter
	failures  allowance
	successes allowance
	leftOut   int64
}

// allowance is a token bucket that holds one second's worth.
type allowance struct {
	rate, level float64
	at          time.Time
}

func (a *allowance) take(now time.Time) bool {
	if !a.at.IsZero() {
		a.level = min(a.rate, a.level+now.Sub(a.at).Seconds()*a.rate)
	}
	a.at = now
	if a.level < 1 {
		return false
	}
	a.level--
	return true
}

func newRecorder(out io.Writer, log zerolog.Logger, m *metrics.Metrics, l LogLimits) *recorder {
	return &recorder{
		out: out, log: log, metrics: m, routes: map[string]*routeMetrics{}, sends: map[sendKey]tally.Counter{}, failures: allowance{rate: l.Failures, level: l.Failures},
		successes: allowance{rate: l.Successes, level: l.Successes},
	}
}

// Record counts a request, and logs it whole or not at all.
func (r *recorder) Record(x *traffic.Record) {
	r.count(x)
	whole := x.Outcome == traffic.OutcomeOK && x.Covered == x.Parts
	r.mu.Lock()
	a := &r.failures
	if whole {
		a = &r.successes
	}
	logged := a.take(time.Now())
	if !logged {
		r.leftOut++
	}
	r.mu.Unlock()
	if logged {
		r.write(x)
	}
}

// routeMetrics are the metrics of one route; tagging a scope takes longer than counting.
type routeMetrics struct {
	outcomes       map[string]tally.Counter
	latency        tally.Histogram
	parts, missing tally.Counter
}

// sendKey tells the counters of sends apart.
type sendKey struct {
	outcome string
	hedge   bool
}

func (r *recorder) count(x *traffic.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.routes[x.Route]
	if m == nil {
		scope := r.metrics.Scope.Tagged(map[string]string{tagRoute: x.Route})
		m = &routeMetrics{
			outcomes: map[string]tally.Counter{}, latency: scope.Histogram(metricLatency, latencyBuckets),
			parts: scope.Counter(metricParts), missing: scope.Counter(metricMissing),
		}
		r.routes[x.Route] = m
	}
	if m.outcomes[x.Outcome] == nil {
		tags := map[string]string{tagRoute: x.Route, tagOutcome: x.Outcome}
		m.outcomes[x.Outcome] = r.metrics.Scope.Tagged(tags).Counter(metricRequests)
	}
	m.outcomes[x.Outcome].Inc(1)
	m.latency.RecordDuration(x.Took)
	if x.Outcome == traffic.OutcomeOK {
		m.parts.Inc(int64(x.Covered))
		m.missing.Inc(int64(x.Parts - x.Covered))
	}
	for i := range x.Legs {
		k := sendKey{x.Legs[i].Outcome, x.Legs[i].Hedge}
		if r.sends[k] == nil {
			tags := map[string]string{tagOutcome: k.outcome, tagHedge: strconv.FormatBool(k.hedge)}
			r.sends[k] = r.metrics.Scope.Tagged(tags).Counter(metricSends)
		}
		r.sends[k].Inc(1)
	}
}

// LeftOut returns how many requests were not logged.
func (r *recorder) LeftOut() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leftOut
}

// write logs a request: a line for its admission, one for each send that did not simply succeed, and one for the
// outcome. All lines are one write, so that none is lost alone.
func (r *recorder) write(x *traffic.Record) {
	lines := &bytes.Buffer{}
	log := r.log.Output(lines).With().Str("request", x.ID).Logger()
	if x.Route != "" {
		log.Info().Str("route", x.Route).Str("organisation", x.Organisation).Uint64("routing_version", uint64(x.Version)).
			Uint64("store_revision", uint64(x.Revision)).Int64("routing_age_ms", x.RoutingAge.Milliseconds()).
			Int("parts", x.Parts).Msg("request: matched")
	}
	for i := range x.Legs {
		l := &x.Legs[i]
		if l.Outcome == targets.LegReplied.String() && !l.Hedge && x.Parts > 1 {
			continue
		}
		log.Info().Int("send", l.Attempt).Str("service", l.Service).Str("target", l.Target).Bool("hedge", l.Hedge).
			Int64("at_ms", l.Sent.Milliseconds()).Int64("ended_ms", l.Ended.Milliseconds()).
			Float64("usual_ms", l.Usual.Seconds()*1000).Bool("avoided", l.Avoided).Str("outcome", l.Outcome).
			Str("reason", l.Reason).Msg("request: sent")
	}
	e := log.Info()
	if x.Outcome != traffic.OutcomeOK {
		e = log.Warn()
	}
	e.Str("outcome", x.Outcome).Str("reason", x.Message).Int("status", x.Status).Int("parts", x.Parts).Int("covered", x.Covered).
		Int("sends", len(x.Legs)).Int64("took_ms", x.Took.Milliseconds()).Int64("retry_after_ms", x.RetryAfter.Milliseconds()).
		Msg("request: ended")
	// The line writer never fails.
	_, _ = r.out.Write(lines.Bytes())
}

func (r *recorder) note(n routing.Note) {
	r.log.Info().Str("subject", n.Subject).Str("name", n.Name).Str("old", n.Old).Str("new", n.New).Str("source", n.Source).
		Msg("belief: changed")
}
