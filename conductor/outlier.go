package conductor

import (
	"fmt"
	"math"

	"cowslipbend.dev"
	"cowslipbend.dev/planner"
)

// outlierEvents are the events about runs and hosts that stand out in one round.
type outlierEvents struct {
	bans    []planner.BanEvent
	copies  []planner.CopyEvent
	grades  []planner.GradeEvent
	losses  []planner.LossEvent
	missing []planner.MissingEvent
	rows    []planner.RowEvent
	trials  []planner.TrialEvent
}

// takeOutliers returns the events since its last call.
func (c *Conductor) takeOutliers() outlierEvents {
	return outlierEvents{
		bans: c.planner.TakeBanEvents(), copies: c.planner.TakeCopyEvents(), grades: c.planner.TakeGradeEvents(), losses: c.planner.TakeLossEvents(),
		missing: c.planner.TakeMissingEvents(), rows: c.planner.TakeRowEvents(), trials: c.planner.TakeTrialEvents(),
	}
}

// recordOutliers logs and counts the events of a committed round.
func (c *Conductor) recordOutliers(events *outlierEvents) {
	for i := range events.copies {
		e := &events.copies[i]
		c.settings.Metrics.RecordOutlier(string(e.Outcome))
		c.log.Info("run stands out from its step", "flow", e.Task.Job, "task", e.Task.String(), "run", e.Run, "outcome", e.Outcome,
			"host", e.Host, "other", e.OtherHost, "percent", e.Percent, "typical", e.Typical)
	}
	for i := range events.losses {
		c.recordLoss(&events.losses[i])
	}
	for i := range events.bans {
		e := &events.bans[i]
		c.log.Info("host banned for a time", "host", e.Host, "for", e.For, "failures", e.Failures, "flapping", e.Flapping, "flow", e.Flow)
	}
	for i := range events.missing {
		e := &events.missing[i]
		c.log.Warn("runs are missing from the lists of their host and count as lost", "host", e.Host, "agent", e.URL, "runs", e.Runs, "inherited", e.Inherited, "listed", e.Listed)
	}
	for i := range events.rows {
		c.recordRow(&events.rows[i])
	}
	for i := range events.trials {
		c.recordTrial(&events.trials[i])
	}
	for i := range events.grades {
		e := &events.grades[i]
		c.settings.Metrics.RecordSlowHost(e.Aside)
		message := "slow host is used again"
		if e.Aside {
			message = "host set aside as slow"
		}
		c.log.Info(message, "host", e.Host, "speed", roundShare(e.Speed), "certainty", roundShare(e.Certainty))
	}
}

// recordLoss logs and counts a lost host.
func (c *Conductor) recordLoss(e *planner.LossEvent) {
	c.settings.Metrics.RecordLostHost(e.Cause, e.Runs)
	c.log.Info("host lost", "host", e.Life, "agent", e.URL, "cause", e.Cause, "runs", e.Runs, "young", describeLostRuns(e.Young))
}

// recordTrial logs and counts that a task may crash hosts, or what became of it.
func (c *Conductor) recordTrial(e *planner.TrialEvent) {
	c.settings.Metrics.RecordTrial(string(e.Outcome))
	c.log.Info("task "+string(e.Outcome), "flow", e.Task.Job, "task", e.Task.String(), "run", e.Run, "host", e.Host,
		"crashes", e.Record.Crashes, "blamed", e.Record.Blamed, "age", e.Record.Age, "others", e.OtherCauses)
}

// maxLoggedRuns bounds the runs that a log line names.
const maxLoggedRuns = 12

// describeLostRuns formats runs for the log.
func describeLostRuns(runs []cowslipbend.LostRun) []string {
	list := make([]string, 0, min(len(runs), maxLoggedRuns))
	for i := range runs[:min(len(runs), maxLoggedRuns)] {
		list = append(list, fmt.Sprintf("%s run %d age %dms", runs[i].Task, runs[i].Run, runs[i].Age))
	}
	return list
}

// roundShare rounds a share for the log.
func roundShare(share float64) float64 { return math.Round(share*100) / 100 }
