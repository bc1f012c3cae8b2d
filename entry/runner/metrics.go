package runner

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/meter"
	"cowslipbend.dev/reporter"
)

// metrics are those of an entry.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
}

// secondsBuckets are the bounds of the histogram of answer times.
var secondsBuckets = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}

func newMetrics(e *Entry) *metrics {
	reg := meter.NewRegistry(func() float64 { return float64(e.config.Revision()) })
	m := &metrics{
		registry: reg,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowslip_requests_total", Help: "Requests of callers, by their outcome and the cause that counts for the objective.",
		}, []string{"service", "outcome", "cause"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cowslip_request_seconds", Help: "Time from a request's arrival to the header of its answer, or to its refusal.",
			Buckets: secondsBuckets,
		}, []string{"service"}),
	}
	reg.MustRegister(m.requests, m.seconds)
	meter.Gauge(reg, "cowslip_agents", "Agents that this entry has heard of.", func() float64 { return float64(len(e.track.Agents())) })
	meter.Gauge(reg, "cowslip_entries", "Entries that are alive, this one included.", func() float64 { return float64(len(e.LiveEntries())) })
	meter.Gauge(reg, "cowslip_pools_owned", "Pools that this entry owns.", func() float64 { return float64(e.owned()) })
	return m
}

func (m *metrics) count(service cowslipbend.ServiceID, outcome cowslipbend.Outcome, cause reporter.Cause, took time.Duration) {
	m.requests.WithLabelValues(string(service), string(outcome), string(cause)).Inc()
	m.seconds.WithLabelValues(string(service)).Observe(took.Seconds())
}

// Metrics returns the registry of the entry.
func (e *Entry) Metrics() *prometheus.Registry { return e.metrics.registry }

func (e *Entry) owned() int {
	_, set := e.config.Set()
	n := 0
	for i := range set.Pools {
		if e.owners.Owner(set.Pools[i].Name) != nil {
			n++
		}
	}
	return n
}

// count is told the outcome of each request.
func (e *Entry) count(service cowslipbend.ServiceID, outcome cowslipbend.Outcome, kind cowslipbend.Kind, took time.Duration) {
	if cause := e.burn.Count(service, outcome, kind, took); cause != "" {
		e.metrics.count(service, outcome, cause, took)
	}
}
