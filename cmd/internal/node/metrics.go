package node

import (
	"bytes"
	"io"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// metrics holds the process's metrics scope and its Prometheus registry.
type metrics struct {
	scope    tally.Scope
	closer   io.Closer
	registry *prometheus.Registry
}

// reportInterval is how often tally hands its values to the registry, and so how old a metric may be.
const reportInterval = time.Second

func newMetrics() *metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "dogwooddrift",
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &metrics{scope: scope, closer: closer, registry: registry}
}

func (m *metrics) text() ([]byte, error) {
	families, err := m.registry.Gather()
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	for _, f := range families {
		if _, err := expfmt.MetricFamilyToText(&out, f); err != nil {
			return nil, err
		}
	}
	return out.Bytes(), nil
}
