package runner

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cowslipbend.dev"
)

// requestMetrics count callers' requests. The labels are bounded: services are
// declared ones, outcomes and kinds are constants of the root package.
type requestMetrics struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
}

// secondsBuckets are the bounds of the histogram of answer times.
var secondsBuckets = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}

func newRequestMetrics(reg prometheus.Registerer) *requestMetrics {
	m := &requestMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cowslipbend_requests_total", Help: "Requests of callers by service, outcome and kind of error.",
		}, []string{"service", "outcome", "kind"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cowslipbend_request_seconds", Help: "Time from a request to the end of its answer.", Buckets: secondsBuckets,
		}, []string{"service"}),
	}
	reg.MustRegister(m.requests, m.seconds)
	return m
}

func (m *requestMetrics) count(service cowslipbend.ServiceID, outcome cowslipbend.Outcome, kind cowslipbend.Kind, took time.Duration) {
	m.requests.WithLabelValues(string(service), string(outcome), string(kind)).Inc()
	if outcome == cowslipbend.Ran {
		m.seconds.WithLabelValues(string(service)).Observe(took.Seconds())
	}
}
