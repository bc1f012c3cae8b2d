package instrumenter

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// load holds the metrics of lengths, order and admission.
type load struct {
	refusals     *prometheus.CounterVec
	backlog      *prometheus.GaugeVec
	lengths      prometheus.Counter
	lengthErrors *prometheus.CounterVec
	targets      *prometheus.CounterVec
}

// newLoad registers the metrics.
func newLoad(reg prometheus.Registerer) load {
	l := load{
		refusals: counterVec("cowslip_flows_refused_total", "Flows refused before they were stored, by reason.", "reason"),
		backlog: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cowslip_backlog_core_seconds", Help: "Work that could run and waits, at services where flows with a bound wait, by priority. Only the owner has it.",
		}, []string{"priority"}),
		lengths:      counter("cowslip_run_lengths_total", "Ended runs whose length was expected when they started."),
		lengthErrors: counterVec("cowslip_run_length_errors_total", "Sum of the errors of their lengths, as absolute differences of natural logarithms.", "source"),
		targets:      counterVec("cowslip_flow_targets_total", "Flows with a latency target, by size within their queue and whether they met it.", "size", "outcome"),
	}
	reg.MustRegister(l.refusals, l.backlog, l.lengths, l.lengthErrors, l.targets)
	return l
}

// RecordRefusal counts a flow that was refused before it was stored.
func (i *Instrumenter) RecordRefusal(reason string) {
	if i != nil {
		i.load.refusals.WithLabelValues(reason).Inc()
	}
}

// RecordBacklog sets the waiting work by priority, in core seconds.
func (i *Instrumenter) RecordBacklog(work map[int]int) {
	if i == nil {
		return
	}
	i.load.backlog.Reset()
	for priority, sum := range work {
		i.load.backlog.WithLabelValues(strconv.Itoa(priority)).Set(float64(sum))
	}
}

// RecordLengths counts ended runs with the sums of the errors of their declared lengths
// and of those that were expected.
func (i *Instrumenter) RecordLengths(runs int, declaredError, expectedError float64) {
	if i != nil && runs > 0 {
		i.load.lengths.Add(float64(runs))
		i.load.lengthErrors.WithLabelValues("declared").Add(declaredError)
		i.load.lengthErrors.WithLabelValues("expected").Add(expectedError)
	}
}

// RecordTargets counts flows of a size that met or missed their target.
func (i *Instrumenter) RecordTargets(size string, met bool, flows int) {
	if i == nil {
		return
	}
	outcome := "missed"
	if met {
		outcome = "met"
	}
	i.load.targets.WithLabelValues(size, outcome).Add(float64(flows))
}
