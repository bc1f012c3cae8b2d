package instrumenter

import (
	"github.com/prometheus/client_golang/prometheus"

	"cowslipbend.dev"
)

// registerOutliers registers the metrics of runs and hosts that stand out.
func (i *Instrumenter) registerOutliers(reg prometheus.Registerer) {
	i.outliers = counterVec("cowslip_run_outliers_total", "Copies and moves of runs that stand out from their step, by what became of them.", "outcome")
	i.gradedHosts = counterVec("cowslip_slow_hosts_total", "Times that a host was set aside as slow (aside), and that it came back (back).", "change")
	i.lostHosts = counterVec("cowslip_hosts_lost_total", "Hosts that the owner counted as lost, by cause.", "cause")
	i.lostRuns = counterVec("cowslip_runs_lost_total", "Runs that had not ended when their host was lost, by the cause of its loss.", "cause")
	i.trials = counterVec("cowslip_crash_suspects_total", "Tasks suspected to crash hosts, and what became of them.", "outcome")
	i.rows = counterVec("cowslip_rows_reduced_total", "Rows of the owner that hold less than all progress, or all again, by what they hold, and those that the store refused.", "detail")
	reg.MustRegister(i.rows, i.outliers, i.gradedHosts, i.trials, i.lostHosts, i.lostRuns)
}

// RecordOutlier counts a copy or a move of a run by its outcome.
func (i *Instrumenter) RecordOutlier(outcome string) {
	if i != nil {
		i.outliers.WithLabelValues(outcome).Inc()
	}
}

// RecordLostHost counts a lost host and the runs on it.
func (i *Instrumenter) RecordLostHost(cause cowslipbend.LossCause, runs int) {
	if i != nil {
		i.lostHosts.WithLabelValues(string(cause)).Inc()
		i.lostRuns.WithLabelValues(string(cause)).Add(float64(runs))
	}
}

// RecordTrial counts a task that is suspected to crash hosts, or what became of it.
func (i *Instrumenter) RecordTrial(outcome string) {
	if i != nil {
		i.trials.WithLabelValues(outcome).Inc()
	}
}

// RecordSlowHost counts that a host was set aside as slow, or that it came back.
func (i *Instrumenter) RecordSlowHost(aside bool) {
	if i == nil {
		return
	}
	change := "back"
	if aside {
		change = "aside"
	}
	i.gradedHosts.WithLabelValues(change).Inc()
}

// RecordRow counts a row that holds less than all progress, or all again, by its detail.
func (i *Instrumenter) RecordRow(detail string) {
	if i != nil {
		i.rows.WithLabelValues(detail).Inc()
	}
}
