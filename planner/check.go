package planner

import (
	"fmt"

	"cowslipbend.dev"
)

// check returns KindBroken if the row cannot be the progress of the flow, so that
// it is refused before any of it takes effect.
func (r *Row) check(def *cowslipbend.Flow) error {
	switch r.State {
	case "", cowslipbend.FlowDone, cowslipbend.FlowFailed, cowslipbend.FlowCancelled:
	default:
		return brokenRow(def, fmt.Sprintf("has the state %q", r.State))
	}
	rounds := max(def.Rounds, 1)
	if r.RoundsCompleted < 0 || r.RoundsCompleted > rounds || r.NextRound < 0 || r.NextRound > rounds {
		return brokenRow(def, fmt.Sprintf("counts %d complete rounds and continues with round %d of %d", r.RoundsCompleted, r.NextRound, rounds))
	}
	for _, rr := range r.Rounds {
		if rr.Number < 0 || rr.Number >= rounds {
			return brokenRow(def, fmt.Sprintf("has round %d of %d", rr.Number, rounds))
		}
		for i := range rr.Tasks {
			t := &rr.Tasks[i]
			if !t.isOf(def) {
				return brokenRow(def, fmt.Sprintf("names run %d of task %s, which is not in the flow", t.Run, def.Ref(rr.Number, t.Step, t.Index)))
			}
		}
	}
	return nil
}

// isOf reports whether the flow has such a task.
func (t *RowTask) isOf(def *cowslipbend.Flow) bool {
	return t.Step >= 0 && t.Step < len(def.Steps) && t.Index >= 0 && t.Index < def.Steps[t.Step].Count && t.Run >= 0 && t.Failures >= 0 &&
		(t.Crashes == nil || t.Crashes.IsValid())
}

func brokenRow(def *cowslipbend.Flow, what string) error {
	return cowslipbend.Fail(cowslipbend.KindBroken, "progress of flow "+string(def.ID)+" "+what, "restore the flow's row")
}
