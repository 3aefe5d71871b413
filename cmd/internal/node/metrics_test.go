package node

import (
	"context"
	"os"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"

	"dogwooddrift.org/drift/caller"
	"dogwooddrift.org/drift/traffic"
)

// Guards against a metric that docs/metrics.md does not describe.
func TestMetricsPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{
		metricRequests, metricLatency, metricShardsAnswered, metricShardsMissing, metricDocumentRevision,
		metricListRevision, metricTokensSpent, metricTokensRefused, metricEventsDropped, metricTargetsUsable,
	} {
		if !strings.Contains(string(page), "| `"+name+"` |") {
			t.Errorf("metrics.md does not describe %q", name)
		}
	}
}

// refusingTier refuses each request with a fixed code.
type refusingTier struct{ code caller.Code }

func (r refusingTier) Query(context.Context, traffic.Query) (*traffic.Answer, *caller.Refusal) {
	return nil, caller.Refuse(r.code, 0, "")
}

func (r refusingTier) Change(context.Context, traffic.Change) (*traffic.ChangeResult, *caller.Refusal) {
	return nil, caller.Refuse(r.code, 0, "")
}

func (refusingTier) Ready() bool { return true }

func (refusingTier) Leaving() bool { return false }

// Guards against unbounded memory: a caller could create a new tag value with each invented service name.
func TestUnknownServicesShareOneTag(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := meteredTier{refusingTier{caller.CodeUnknownService}, scope}
	for _, service := range []string{"a", "b", "c"} {
		_, _ = m.Query(t.Context(), traffic.Query{Service: service})
	}
	if got := len(scope.Snapshot().Counters()); got != 1 {
		t.Fatalf("%d counters for 3 unknown services, want 1", got)
	}
}
