package runner

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/meter"
	"cowslipbend.dev/internal/recoverer"
	"cowslipbend.dev/reporter"
)

// metrics holds the metrics of an entry that are updated by requests.
type metrics struct {
	registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	requestSeconds *prometheus.HistogramVec
	panics         *recoverer.Metric
}

// requestSecondsBuckets are the upper bounds of the buckets of request latency.
var requestSecondsBuckets = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}

func newMetrics(e *Entry) *metrics {
	reg := meter.NewRegistry(func() float64 { return float64(e.config.Revision()) })
	m := &metrics{
		registry: reg, panics: recoverer.NewMetric(reg),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowslip_requests_total", Help: "Requests of callers by outcome and by the cause that counts against the service objective.",
		}, []string{"service", "outcome", "cause"}),
		requestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cowslip_request_seconds", Help: "Time from the arrival of a request to the header of its answer or to its refusal.",
			Buckets: requestSecondsBuckets,
		}, []string{"service"}),
	}
	reg.MustRegister(m.requests, m.requestSeconds)
	meter.Gauge(reg, "cowslip_agents", "Agents from which this entry has received heartbeats.", func() float64 { return float64(len(e.tracker.Agents())) })
	meter.Gauge(reg, "cowslip_entries", "Live entries, including this one.", func() float64 { return float64(len(e.LiveEntries())) })
	meter.Gauge(reg, "cowslip_pools_owned", "Pools that this entry owns.", func() float64 { return float64(e.countOwnedPools()) })
	return m
}

func (m *metrics) observeRequest(service cowslipbend.ServiceID, outcome cowslipbend.Outcome, cause reporter.Cause, latency time.Duration) {
	m.requests.WithLabelValues(string(service), string(outcome), string(cause)).Inc()
	m.requestSeconds.WithLabelValues(string(service)).Observe(latency.Seconds())
}

// Metrics returns the metrics registry of the entry.
func (e *Entry) Metrics() *prometheus.Registry { return e.metrics.registry }

func (e *Entry) countOwnedPools() int {
	_, set := e.config.Set()
	n := 0
	for i := range set.Pools {
		if e.owners.Owner(set.Pools[i].Name) != nil {
			n++
		}
	}
	return n
}

// countRequest records the outcome of a request for the burn report and in the
// metrics.
func (e *Entry) countRequest(service cowslipbend.ServiceID, outcome cowslipbend.Outcome, kind cowslipbend.Kind, latency time.Duration) {
	if cause := e.recorder.Count(service, outcome, kind, latency); cause != "" {
		e.metrics.observeRequest(service, outcome, cause, latency)
	}
}
