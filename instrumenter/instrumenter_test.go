package instrumenter_test

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/evacuator"
	"cowslipbend.dev/instrumenter"
	"cowslipbend.dev/reserver"
)

// value returns the sum of a metric over its labels; a histogram counts by its
// number of observations.
func value(t *testing.T, reg *prometheus.Registry, name string) float64 {
	t.Helper()
	families, err := reg.Gather()
	assert.NilError(t, err)
	sum := 0.0
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == name {
				sum += m.GetCounter().GetValue() + m.GetGauge().GetValue() + float64(m.GetHistogram().GetSampleCount())
			}
		}
	}
	return sum
}

func TestInstrumenter(t *testing.T) {
	reg := prometheus.NewRegistry()
	for _, i := range []*instrumenter.Instrumenter{nil, instrumenter.New(reg)} {
		i.RecordSubmission(nil, 10)
		i.RecordSubmission(cowslipbend.Fail(cowslipbend.KindDown, "", ""), 10)
		i.RecordCommit(10)
		i.RecordOrders(&cowslipbend.HostOrders{Starts: make([]cowslipbend.RunStart, 3)}, nil)
		i.RecordTakeover()
		i.RecordStartResult(nil)
		i.RecordRunEnd("strange")
		i.RecordRunEnd("stranger")
		i.RecordLeaseRenewal(nil)
		i.RecordPaceChange()
		i.RecordLostRunner()
		i.RecordCall("/agent/report", 200, 30)
		i.RecordRefusal("overload")
		i.RecordBacklog(map[int]int{0: 7, 2: 9})
		i.RecordLengths(3, 1.5, 0.25)
		i.RecordTargets("top", true, 2)
		i.RecordTargets("top", false, 3)
		i.RecordWithdrawnStarts(4)
		i.RecordDomainMove(evacuator.Lasting)
		i.RecordDomains(1, map[evacuator.Reason]int{evacuator.NoRoom: 2})
		i.RecordOutlier("won")
		i.RecordRow("complete")
		i.RecordRow("refused")
		i.RecordSlowHost(true)
		i.RecordSlowHost(false)
		i.RecordReservations([]reserver.Event{{Kind: reserver.Made}, {Kind: reserver.Lost, Reason: reserver.LostWorth}}, 5)
	}
	for name, want := range map[string]float64{
		"cowslip_reservations_total": 2, "cowslip_reserved_hosts": 5, "cowslip_flows_submitted_total": 2, "cowslip_flow_storing_seconds": 2, "cowslip_commit_seconds": 1, "cowslip_starts_ordered_total": 3,
		"cowslip_stops_ordered_total": 0, "cowslip_takeovers_total": 1, "cowslip_start_results_total": 1, "cowslip_run_ends_total": 2,
		"cowslip_holds_total": 1, "cowslip_paces_total": 1, "cowslip_runners_lost_total": 1, "cowslip_call_bytes_total": 230, "cowslip_orders_unconfirmed_total": 0,
		"cowslip_flows_refused_total": 1, "cowslip_backlog_core_seconds": 16, "cowslip_run_lengths_total": 3, "cowslip_run_length_errors_total": 1.75,
		"cowslip_flow_targets_total":     5,
		"cowslip_starts_withdrawn_total": 4, "cowslip_domain_moves_total": 1, "cowslip_domains_out": 1, "cowslip_domain_runs": 2,
		"cowslip_run_outliers_total": 1, "cowslip_rows_reduced_total": 2, "cowslip_slow_hosts_total": 2,
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, value(t, reg, name), want) })
	}
}
