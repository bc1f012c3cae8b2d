// Package instrumenter holds the Prometheus counters and histograms of flows.
// The packages that run flows report to it, and the programs serve it as
// metrics. Names and units follow package meter.
package instrumenter

import (
	"github.com/prometheus/client_golang/prometheus"

	"cowslipbend.dev"
)

// Instrumenter holds the counters and histograms of one process. A nil Instrumenter counts
// nothing.
type Instrumenter struct {
	submitted *prometheus.CounterVec
	storing   prometheus.Histogram
	commits   prometheus.Histogram
	starts    prometheus.Counter
	stops     prometheus.Counter
	unsure    prometheus.Counter
	takeovers prometheus.Counter
	results   *prometheus.CounterVec
	ends      *prometheus.CounterVec
	holds     *prometheus.CounterVec
	paces     prometheus.Counter
	lost      prometheus.Counter
}

// spans are the bounds of the histograms in seconds: from a usual answer of
// the store to the time that a caller waits.
var spans = []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 3}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func vector(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: spans})
}

// New registers the metrics.
func New(reg prometheus.Registerer) *Instrumenter {
	g := &Instrumenter{
		submitted: vector("cowslip_flows_submitted_total", "Submissions of flows by outcome.", "outcome"),
		storing:   histogram("cowslip_flow_storing_seconds", "Time from a submission to its outcome."),
		commits:   histogram("cowslip_commit_seconds", "Time of a commit of the owner, with repeats."),
		starts:    counter("cowslip_starts_ordered_total", "Runs that the owner ordered to start."),
		stops:     counter("cowslip_stops_ordered_total", "Runs that the owner ordered to stop, with repeats."),
		unsure:    counter("cowslip_orders_unconfirmed_total", "Calls with orders that an agent did not answer."),
		takeovers: counter("cowslip_takeovers_total", "Times that this entry became the owner of the flows."),
		results:   vector("cowslip_start_results_total", "Starts by what the runner made of them.", "result"),
		ends:      vector("cowslip_run_ends_total", "Runs that ended, by how.", "how"),
		holds:     vector("cowslip_holds_total", "Renewals of the lease at the runner by outcome.", "outcome"),
		paces:     counter("cowslip_paces_total", "Changes of the pace of filling runs."),
		lost:      counter("cowslip_runners_lost_total", "Runners given up without word of their end."),
	}
	reg.MustRegister(g.submitted, g.storing, g.commits, g.starts, g.stops, g.unsure, g.takeovers, g.results, g.ends, g.holds, g.paces, g.lost)
	return g
}

// outcome names a result: ok, or the kind of the error.
func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	return string(cowslipbend.KindOf(err))
}

// Submitted notes a submission that took the span.
func (g *Instrumenter) Submitted(err error, took cowslipbend.Span) {
	if g != nil {
		g.submitted.WithLabelValues(outcome(err)).Inc()
		g.storing.Observe(took.Duration().Seconds())
	}
}

// Committed notes a commit that took the span.
func (g *Instrumenter) Committed(took cowslipbend.Span) {
	if g != nil {
		g.commits.Observe(took.Duration().Seconds())
	}
}

// Ordered notes orders that were sent.
func (g *Instrumenter) Ordered(o *cowslipbend.HostOrders, err error) {
	if g == nil {
		return
	}
	g.starts.Add(float64(len(o.Starts)))
	g.stops.Add(float64(len(o.Stops)))
	if err != nil {
		g.unsure.Inc()
	}
}

// TookOver notes that this entry became the owner.
func (g *Instrumenter) TookOver() {
	if g != nil {
		g.takeovers.Inc()
	}
}

// Started notes what a runner made of a start; an unknown result is empty.
func (g *Instrumenter) Started(result *cowslipbend.RunResult) {
	if g == nil {
		return
	}
	kind := "unknown"
	if result != nil {
		kind = string(result.Kind)
	}
	g.results.WithLabelValues(kind).Inc()
}

// Ended notes the end of a run. Ends that are not known count as other.
func (g *Instrumenter) Ended(how cowslipbend.EndKind) {
	if g == nil {
		return
	}
	switch how {
	case cowslipbend.EndDone, cowslipbend.EndFailed, cowslipbend.EndStopped, cowslipbend.EndLapsed, cowslipbend.EndBroken, cowslipbend.EndAlone:
	default:
		how = "other"
	}
	g.ends.WithLabelValues(string(how)).Inc()
}

// Held notes a renewal of the lease.
func (g *Instrumenter) Held(err error) {
	if g != nil {
		g.holds.WithLabelValues(outcome(err)).Inc()
	}
}

// Paced notes a change of a pace.
func (g *Instrumenter) Paced() {
	if g != nil {
		g.paces.Inc()
	}
}

// Lost notes a runner that was given up.
func (g *Instrumenter) Lost() {
	if g != nil {
		g.lost.Inc()
	}
}
