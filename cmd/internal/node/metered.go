package node

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/caller/callerhttp"
	"dogwooddrift.org/drift/cmd/internal/metrics"
	"dogwooddrift.org/drift/traffic"
)

// The names of metrics, described in docs/metrics.md.
const (
	metricRequests         = "requests"
	metricLatency          = "request_latency"
	metricShardsAnswered   = "shards_answered"
	metricShardsMissing    = "shards_missing"
	metricDocumentRevision = "document_revision"
	metricListRevision     = "list_revision"
	metricTokensSpent      = "tokens_spent"
	metricTokensRefused    = "tokens_refused"
	metricEventsDropped    = "control_events_dropped"
	metricTargetsUsable    = "targets_usable"
	metricLogOmitted       = "log_requests_left_out"
)

// The names of metric tags.
const (
	tagService      = "service"
	tagResult       = "result"
	tagReason       = "reason"
	tagOrganisation = "organisation"
)

// resultOK is the result tag of an answered request. A refused request is tagged with its refusal code.
const resultOK = "ok"

// latencyBuckets are powers of two from 1 ms to 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// meteredTier is a query tier that records metrics of its requests.
type meteredTier struct {
	callerhttp.QueryTier
	scope tally.Scope
}

// Query runs a query and records its result, its latency and the shards that answered or are missing.
func (m meteredTier) Query(ctx context.Context, q traffic.Query) (*traffic.Answer, *caller.Refusal) {
	start := time.Now()
	answer, refusal := m.QueryTier.Query(ctx, q)
	service := m.countRequest(q.Service, refusal, time.Since(start))
	if refusal != nil {
		return nil, refusal
	}
	service.Counter(metricShardsAnswered).Inc(int64(len(answer.Results)))
	for _, missing := range answer.Missing {
		service.Tagged(map[string]string{tagReason: string(missing.Reason)}).Counter(metricShardsMissing).Inc(1)
	}
	return answer, nil
}

// Change runs a change and records its result and latency.
func (m meteredTier) Change(ctx context.Context, c traffic.Change) (*traffic.ChangeResult, *caller.Refusal) {
	start := time.Now()
	outcome, refusal := m.QueryTier.Change(ctx, c)
	m.countRequest(c.Service, refusal, time.Since(start))
	return outcome, refusal
}

// countRequest counts a request and returns the metrics scope of its service. All unknown services share one tag value:
// callers choose the name, and each tag value costs memory.
func (m meteredTier) countRequest(service string, refusal *caller.Refusal, latency time.Duration) tally.Scope {
	result := resultOK
	if refusal != nil {
		result = string(refusal.Code)
		if refusal.Code == caller.CodeUnknownService {
			service = ""
		}
	}
	scope := m.scope.Tagged(map[string]string{tagService: service})
	scope.Tagged(map[string]string{tagResult: result}).Counter(metricRequests).Inc(1)
	scope.Histogram(metricLatency, latencyBuckets).RecordDuration(latency)
	return scope
}

// updateGaugesUntilDone sets the gauges once per metrics report interval until ctx ends. A gauge that is set only when
// metrics are scraped would show the value of the previous scrape.
func (n *Node) updateGaugesUntilDone(ctx context.Context) {
	ticker := time.NewTicker(metrics.ReportInterval)
	defer ticker.Stop()
	for {
		n.updateGauges()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateGauges sets the gauges from the control state and the request log.
func (n *Node) updateGauges() {
	scope, s := n.metrics.Scope, n.loop.Snapshot()
	scope.Gauge(metricLogOmitted).Update(float64(n.requestLog.Omitted()))
	scope.Gauge(metricEventsDropped).Update(float64(n.loop.Dropped()))
	if s.Document != nil {
		scope.Gauge(metricDocumentRevision).Update(float64(s.Document.Revision))
	}
	if s.List != nil {
		scope.Gauge(metricListRevision).Update(float64(s.List.Revision))
	}
	for name, pool := range s.TokenPools {
		organisation := scope.Tagged(map[string]string{tagOrganisation: name})
		organisation.Gauge(metricTokensSpent).Update(float64(pool.Spent()))
		organisation.Gauge(metricTokensRefused).Update(float64(pool.Refused()))
	}
	for name, service := range s.Targets {
		scope.Tagged(map[string]string{tagService: name}).Gauge(metricTargetsUsable).Update(float64(len(service.Targets)))
	}
}
