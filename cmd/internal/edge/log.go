package edge

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"dogwooddrift.org/drift/cmd/internal/metrics"
	"dogwooddrift.org/drift/cmd/internal/requestlog"
	"dogwooddrift.org/drift/routing"
	"dogwooddrift.org/drift/traffic"
)

// The names of metrics, described in docs/metrics.md.
const (
	metricRequests           = "forwarded_requests"
	metricLatency            = "forwarded_latency"
	metricParts              = "forwarded_parts"
	metricMissing            = "forwarded_parts_missing"
	metricSends              = "sends"
	metricLogOmitted         = "log_requests_left_out"
	metricLogLinesDropped    = "log_lines_dropped"
	metricMembers            = "members"
	metricStoreRevision      = "store_revision"
	metricRoutingVersion     = "routing_version"
	metricStoreReplyRevision = "store_reply_revision"
	metricReadsLeftOut       = "store_reads_left_out"
	metricStoreEra           = "store_era"
	metricStoreRewinds       = "store_rewinds"
	metricValuesRetained     = "values_retained"
	metricValuesAge          = "values_age"
	metricUsableTargets      = "usable_targets"
	metricPacedTargets       = "paced_targets"
	metricRateRequested      = "organisation_asked"
	metricRateRefused        = "organisation_refused"
	metricReplyBytesHeld     = "reply_bytes_held"
	metricBodyBytesHeld      = "body_bytes_held"
	metricUnreadAnswers      = "unread_answers"
	metricLoopEventsDropped  = "loop_events_dropped"
	metricLoadReportAge      = "load_report_age"
	metricTargetsReporting   = "targets_reporting_load"
	metricInvalidLoads       = "load_reports_invalid"
	metricWaitingStarts      = "waiting_starts"
	metricWaitingParts       = "waiting_parts"
	metricAdmissionRefused   = "admission_refused"
	metricAdmissionCut       = "admission_cut"
	metricConnections        = "open_connections"
	metricConnectionsClosed  = "connections_closed"
	metricHeadBytesHeld      = "head_bytes_held"
	metricMessageBytesHeld   = "message_bytes_held"
	metricHeadsClosed        = "heads_closed"
	metricHeadsRefused       = "heads_refused"
	metricGroupsDeclined     = "groups_declined"
	metricControlWait        = "control_wait"
	metricControlStep        = "control_step"
	metricValueBytes         = "value_bytes_received"
	metricTransferTime       = "value_transfer_time"
)

const (
	tagRoute        = "route"
	tagOutcome      = "outcome"
	tagService      = "service"
	tagHedge        = "hedge"
	tagOrganisation = "organisation"
	tagRank         = "rank"
	tagReason       = "reason"
	tagPort         = "port"
)

// logTargetChanges logs many changes of targets in one line.
func (r *recorder) logTargetChanges(e routing.LogTargetChanges) {
	groups := make([]string, 0, len(e.Groups))
	for i := range e.Groups {
		groups = append(groups, targetChangesText(&e.Groups[i]))
	}
	r.LogStateChanges(string(routing.KindTarget), e.Count, e.Held, groups, e.Others)
}

// targetChangesText describes a group of changes: how many, from which state to which and why, by service, and of which first
// targets.
func targetChangesText(g *routing.TargetChangeGroup) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %s -> %s, %s", g.Count, g.Old, g.New, g.Source)
	switch {
	case g.LastRevision == 0:
	case g.FirstRevision == g.LastRevision:
		fmt.Fprintf(&b, " revision %d", g.LastRevision)
	default:
		fmt.Fprintf(&b, " revisions %d to %d", g.FirstRevision, g.LastRevision)
	}
	b.WriteString("; services")
	for _, s := range g.Services {
		fmt.Fprintf(&b, " %s:%d", cmp.Or(s.Service, "unknown"), s.Count)
	}
	if g.OtherServices > 0 {
		fmt.Fprintf(&b, " and %d more services", g.OtherServices)
	}
	fmt.Fprintf(&b, "; targets %s", strings.Join(g.IDs, " "))
	if more := g.Count - len(g.IDs); more > 0 {
		fmt.Fprintf(&b, " and %d more", more)
	}
	return b.String()
}

// latencyBuckets are powers of two from 1 ms to 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// recorder logs requests and records their metrics. It is safe for concurrent use.
type recorder struct {
	*requestlog.Log
	metrics *metrics.Metrics
	// declined counts the groups of shards that this instance declined to gather for siblings.
	declined tally.Counter

	mu     sync.Mutex
	routes map[string]*routeMetrics
	sends  map[sendKey]tally.Counter
}

func newRecorder(l *requestlog.Log, m *metrics.Metrics) *recorder {
	return &recorder{
		Log: l, metrics: m, declined: m.Scope.Counter(metricGroupsDeclined), routes: map[string]*routeMetrics{},
		sends: map[sendKey]tally.Counter{},
	}
}

// Record counts a request and passes it to the request log, which writes all of its lines or none.
func (r *recorder) Record(x *traffic.Record) {
	r.countSends(x)
	switch {
	case !x.ForSibling:
		r.count(x)
	case x.Outcome == traffic.OutcomeDeclined:
		r.declined.Inc(1)
	}
	r.Log.Record(x)
}

// routeMetrics caches the metrics of one route, because tagging a scope takes longer than counting.
type routeMetrics struct {
	outcomes       map[string]tally.Counter
	latency        tally.Histogram
	parts, missing tally.Counter
}

// sendKey is the tag values of a counter of sends.
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
	m.latency.RecordDuration(x.Duration)
	if x.Outcome == traffic.OutcomeOK {
		m.parts.Inc(int64(x.Covered))
		m.missing.Inc(int64(x.Parts - x.Covered))
	}
}

// countSends counts the sends of a request.
func (r *recorder) countSends(x *traffic.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range x.Attempts {
		k := sendKey{x.Attempts[i].Outcome, x.Attempts[i].Hedge}
		if r.sends[k] == nil {
			tags := map[string]string{tagOutcome: k.outcome, tagHedge: strconv.FormatBool(k.hedge)}
			r.sends[k] = r.metrics.Scope.Tagged(tags).Counter(metricSends)
		}
		r.sends[k].Inc(1)
	}
}
