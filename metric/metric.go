// Package metric names the counters and gauges of a node and serves them for Prometheus.
package metric

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// Prefix is the common prefix of all metric names.
const Prefix = "bambooknot"

const flushPeriod = time.Second

// Registry holds the metrics of one node.
type Registry struct {
	scope           tally.Scope
	closer          io.Closer
	handler         http.Handler
	rejectedMetrics atomic.Int64
}

// New returns an empty registry whose metrics carry the tags. It must be closed.
func New(tags map[string]string) *Registry {
	r := &Registry{}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:      registry,
		OnRegisterError: func(error) { r.rejectedMetrics.Add(1) },
	})
	r.scope, r.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 Prefix,
		Tags:                   tags,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, flushPeriod)
	r.handler = reporter.HTTPHandler()
	return r
}

// Scope returns the root scope of the node's metrics.
func (r *Registry) Scope() tally.Scope { return r.scope }

// Handler serves the metrics in the Prometheus text format. Counters may be up to a second old.
func (r *Registry) Handler() http.Handler { return r.handler }

// RejectedMetrics returns the number of metrics that were not registered because their name is in use with
// other tags.
func (r *Registry) RejectedMetrics() int64 { return r.rejectedMetrics.Load() }

// Close flushes the counters and waits for completion.
func (r *Registry) Close() error { return r.closer.Close() }
