package instrumenter

import (
	"github.com/prometheus/client_golang/prometheus"

	"cowslipbend.dev"
	"cowslipbend.dev/evacuator"
	"cowslipbend.dev/internal/recoverer"
)

// Instrumenter holds the counters and histograms of one process. The methods of
// a nil Instrumenter do nothing.
type Instrumenter struct {
	submissions       *prometheus.CounterVec
	submissionSeconds prometheus.Histogram
	delegations       *prometheus.CounterVec
	commitSeconds     prometheus.Histogram
	startOrders       prometheus.Counter
	stopOrders        prometheus.Counter
	unconfirmedOrders prometheus.Counter
	takeovers         prometheus.Counter
	startResults      *prometheus.CounterVec
	runEnds           *prometheus.CounterVec
	leaseRenewals     *prometheus.CounterVec
	paceChanges       prometheus.Counter
	lostRunners       prometheus.Counter
	callBytes         *prometheus.CounterVec
	withdrawnStarts   prometheus.Counter
	load              load
	domainsOut        prometheus.Gauge
	domainRuns        *prometheus.GaugeVec
	domainMoves       *prometheus.CounterVec
	panics            *recoverer.Metric
	storeTime         prometheus.Gauge
	slowRefusals      prometheus.Counter
	reservations      reservationMetrics
	malformedRows     prometheus.Counter
	malformedStore    prometheus.Counter
	foreignHeartbeats prometheus.Counter
	outliers          *prometheus.CounterVec
	rows              *prometheus.CounterVec
	gradedHosts       *prometheus.CounterVec
	lostHosts         *prometheus.CounterVec
	lostRuns          *prometheus.CounterVec
	trials            *prometheus.CounterVec
}

// durationBuckets are the bounds of the histograms in seconds. They range from the
// usual latency of the store to the time for which a caller waits.
var durationBuckets = []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 3}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: durationBuckets})
}

// New registers the metrics.
func New(reg prometheus.Registerer) *Instrumenter {
	i := &Instrumenter{
		submissions:       counterVec("cowslip_flows_submitted_total", "Submissions of flows by outcome.", "outcome"),
		submissionSeconds: histogram("cowslip_flow_storing_seconds", "Time from a submission to its outcome."),
		delegations:       counterVec("cowslip_flows_delegated_total", "Flows that the owner was asked to store as the store was slow, by outcome.", "outcome"),
		commitSeconds:     histogram("cowslip_commit_seconds", "Duration of a commit of the owner, retries included."),
		startOrders:       counter("cowslip_starts_ordered_total", "Runs that the owner ordered to start."),
		stopOrders:        counter("cowslip_stops_ordered_total", "Runs that the owner ordered to stop, repeated orders included."),
		unconfirmedOrders: counter("cowslip_orders_unconfirmed_total", "Calls with orders that an agent did not answer."),
		takeovers:         counter("cowslip_takeovers_total", "Times that this entry became the owner of the flows."),
		startResults:      counterVec("cowslip_start_results_total", "Starts of runs, by the runner's result.", "result"),
		runEnds:           counterVec("cowslip_run_ends_total", "Runs that ended, by kind of end.", "how"),
		leaseRenewals:     counterVec("cowslip_holds_total", "Renewals of the leases of all runs at the runner, by outcome.", "outcome"),
		paceChanges:       counter("cowslip_paces_total", "Changes of the speed limit (pace) of filling runs."),
		callBytes:         counterVec("cowslip_call_bytes_total", "Bytes of the bodies of calls to and from other processes and the store.", "call", "direction"),
		storeTime:         prometheus.NewGauge(prometheus.GaugeOpts{Name: "cowslip_store_expected_seconds", Help: "Expected time until a submission is stored, from recent writes and those that wait for an answer."}),
		slowRefusals:      counter("cowslip_flows_refused_slow_store_total", "Submissions refused before they were sent, as the store was too slow for the deadline of the caller."),
		foreignHeartbeats: counter("cowslip_runner_heartbeats_foreign_total", "Heartbeats of an incarnation that the runner is not; they were ignored."),
		malformedStore:    counter("cowslip_store_rows_malformed_total", "Rows of the store's replies that do not decode and were left out."),
		malformedRows:     counter("cowslip_runner_rows_malformed_total", "Rows of the lists of the runner that do not decode and were left out."),
		panics:            recoverer.NewMetric(reg),
		lostRunners:       counter("cowslip_runners_lost_total", "Runners declared lost: nothing listened at their address, or their lease lapsed without a reply."),
	}
	i.withdrawnStarts = counter("cowslip_starts_withdrawn_total", "Starts that were decided and not sent: their failure domain had gone out of service, or they were too old.")
	i.load = newLoad(reg)
	i.domainsOut = prometheus.NewGauge(prometheus.GaugeOpts{Name: "cowslip_domains_out", Help: "Failure domains with hosts that are out of service, at the owner of the flows."})
	i.domainRuns = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "cowslip_domain_runs", Help: "Runs left in failure domains that are out of service, by the reason why they stay."}, []string{"reason"})
	i.domainMoves = counterVec("cowslip_domain_moves_total", "Runs that were ordered to leave a failure domain that is out of service, by reason.", "reason")
	i.registerOutliers(reg)
	i.reservations = newReservationMetrics(reg)
	reg.MustRegister(i.submissions, i.submissionSeconds, i.delegations, i.commitSeconds, i.startOrders, i.stopOrders, i.unconfirmedOrders, i.takeovers, i.startResults, i.runEnds, i.leaseRenewals, i.paceChanges, i.lostRunners, i.callBytes, i.withdrawnStarts, i.storeTime, i.slowRefusals, i.domainsOut, i.domainRuns, i.domainMoves, i.malformedRows, i.malformedStore, i.foreignHeartbeats)
	return i
}

// outcome returns the label of a result: ok, or the kind of the error.
func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	return string(cowslipbend.KindOf(err))
}

// RecordSubmission counts a submission of a flow, and records how long it took.
func (i *Instrumenter) RecordSubmission(err error, duration cowslipbend.Span) {
	if i != nil {
		i.submissions.WithLabelValues(outcome(err)).Inc()
		i.submissionSeconds.Observe(duration.Duration().Seconds())
	}
}

// RecordDelegation counts a flow that the owner was asked to store.
func (i *Instrumenter) RecordDelegation(err error) {
	if i != nil {
		i.delegations.WithLabelValues(outcome(err)).Inc()
	}
}

// RecordCommit records how long a commit of the owner took.
func (i *Instrumenter) RecordCommit(duration cowslipbend.Span) {
	if i != nil {
		i.commitSeconds.Observe(duration.Duration().Seconds())
	}
}

// RecordOrders counts the starts and stops of one call to an agent. A non-nil err
// means that the agent did not confirm them.
func (i *Instrumenter) RecordOrders(o *cowslipbend.HostOrders, err error) {
	if i == nil {
		return
	}
	i.startOrders.Add(float64(len(o.Starts)))
	i.stopOrders.Add(float64(len(o.Stops)))
	if err != nil {
		i.unconfirmedOrders.Inc()
	}
}

// RecordTakeover counts that this entry became the owner of the flows.
func (i *Instrumenter) RecordTakeover() {
	if i != nil {
		i.takeovers.Inc()
	}
}

// RecordStartResult counts a start by the runner's result. A nil result counts as
// unknown.
func (i *Instrumenter) RecordStartResult(result *cowslipbend.RunResult) {
	if i == nil {
		return
	}
	kind := "unknown"
	if result != nil {
		kind = string(result.Kind)
	}
	i.startResults.WithLabelValues(kind).Inc()
}

// RecordRunEnd counts the end of a run by its kind. Kinds that are not defined
// count as other.
func (i *Instrumenter) RecordRunEnd(kind cowslipbend.EndKind) {
	if i == nil {
		return
	}
	switch kind {
	case cowslipbend.EndDone, cowslipbend.EndFailed, cowslipbend.EndStopped, cowslipbend.EndLapsed, cowslipbend.EndBroken, cowslipbend.EndAlone:
	default:
		kind = "other"
	}
	i.runEnds.WithLabelValues(string(kind)).Inc()
}

// RecordLeaseRenewal counts a renewal of the leases at the runner, by its outcome.
func (i *Instrumenter) RecordLeaseRenewal(err error) {
	if i != nil {
		i.leaseRenewals.WithLabelValues(outcome(err)).Inc()
	}
}

// RecordPaceChange counts a change of the speed limit of a filling run.
func (i *Instrumenter) RecordPaceChange() {
	if i != nil {
		i.paceChanges.Inc()
	}
}

// RecordLostRunner counts a runner that was declared lost.
func (i *Instrumenter) RecordLostRunner() {
	if i != nil {
		i.lostRunners.Inc()
	}
}

// RecordCall counts the bytes of a call, named by its path, that this process
// sent and received, as the caller or as the one called.
func (i *Instrumenter) RecordCall(call string, sent, received int) {
	if i != nil {
		i.callBytes.WithLabelValues(call, "sent").Add(float64(sent))
		i.callBytes.WithLabelValues(call, "received").Add(float64(received))
	}
}

// RecordWithdrawnStarts counts starts that were decided and not sent.
func (i *Instrumenter) RecordWithdrawnStarts(n int) {
	if i != nil {
		i.withdrawnStarts.Add(float64(n))
	}
}

// RecordDomains records the number of failure domains that are out of service, and
// that of the runs left there by the reason why they stay.
func (i *Instrumenter) RecordDomains(out int, stays map[evacuator.Reason]int) {
	if i == nil {
		return
	}
	i.domainsOut.Set(float64(out))
	for _, reason := range evacuator.StayReasons() {
		i.domainRuns.WithLabelValues(string(reason)).Set(float64(stays[reason]))
	}
}

// RecordDomainMove counts a run that was ordered to leave a failure domain that is
// out of service.
func (i *Instrumenter) RecordDomainMove(reason evacuator.Reason) {
	if i != nil {
		i.domainMoves.WithLabelValues(string(reason)).Inc()
	}
}

// RecordPanic counts a panic by the part of the program in which it occurred.
func (i *Instrumenter) RecordPanic(part string) {
	if i != nil {
		i.panics.RecordPanic(part)
	}
}

// RecordStoreTime records the expected time until a submission is stored.
func (i *Instrumenter) RecordStoreTime(expected cowslipbend.Span) {
	if i != nil {
		i.storeTime.Set(expected.Duration().Seconds())
	}
}

// RecordSlowRefusal counts a submission that was refused before it was sent to a slow
// store.
func (i *Instrumenter) RecordSlowRefusal() {
	if i != nil {
		i.slowRefusals.Inc()
	}
}

// RecordForeignHeartbeat counts a heartbeat of an incarnation that the runner is not.
func (i *Instrumenter) RecordForeignHeartbeat() {
	if i != nil {
		i.foreignHeartbeats.Inc()
	}
}

// RecordMalformedStoreRows counts rows of the store's replies that do not decode.
func (i *Instrumenter) RecordMalformedStoreRows(count int) {
	if i != nil {
		i.malformedStore.Add(float64(count))
	}
}

// RecordMalformedRows counts rows of a runner's list that do not decode.
func (i *Instrumenter) RecordMalformedRows(count int) {
	if i != nil {
		i.malformedRows.Add(float64(count))
	}
}
