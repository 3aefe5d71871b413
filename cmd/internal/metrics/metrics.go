// Package metrics collects a process's metrics and renders them in the Prometheus text format.
package metrics

import (
	"bytes"
	"io"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// Metrics holds the process's metrics scope and its Prometheus registry.
type Metrics struct {
	Scope    tally.Scope
	closer   io.Closer
	registry *prometheus.Registry
}

// ReportInterval is the period at which tally reports its values to the registry, and so the maximum age of a rendered
// value.
const ReportInterval = time.Second

// New returns an empty set of metrics.
func New() *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "dogwooddrift",
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, ReportInterval)
	return &Metrics{Scope: scope, closer: closer, registry: registry}
}

// Text renders the metrics in the Prometheus text format.
func (m *Metrics) Text() ([]byte, error) {
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

// Close stops reporting to the registry.
func (m *Metrics) Close() error { return m.closer.Close() }
