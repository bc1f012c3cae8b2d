package runner

import (
	"context"

	"cowslipbend.dev"
	"cowslipbend.dev/tasker"
	"cowslipbend.dev/throttler"
)

// unguarded are the placement policies whose pools run without a guard, as
// baselines.
var unguarded = map[string]bool{"firstfit": true, "leastloaded": true}

// protect has the guard look at the worker and carries out what it decides.
func (a *Agent) protect(ctx context.Context) {
	_, set := a.config.Set()
	for i := range set.Pools {
		if set.Pools[i].Name != a.settings.Pool {
			continue
		}
		if unguarded[set.Pools[i].Policy] {
			return
		}
		terms := throttler.Defaults()
		terms.Mode = a.settings.Guard
		a.guard.SetOptions(terms.WithWeights(set.Pools[i].Weights))
	}
	goals := map[cowslipbend.ServiceID]cowslipbend.Span{}
	for i := range set.Services {
		goals[set.Services[i].Name] = set.Services[i].Objective.P99
	}
	for _, act := range a.guard.Look(status(a.tasks.View()), goals, a.clock.Now()) {
		a.act(ctx, act)
	}
}

func status(v tasker.View) cowslipbend.MachineStatus {
	return cowslipbend.MachineStatus{Size: v.Size, Tasks: v.Usage}
}

// act carries an action out. One that fails is decided again at the next look.
func (a *Agent) act(ctx context.Context, act throttler.Action) {
	var err error
	if act.Evict {
		a.log.Info("guard evicts", "task", act.Task, "attempt", act.Attempt, "reason", act.Reason)
		err = a.machine.Evict(ctx, act.Task, act.Attempt)
	} else {
		a.log.Debug("guard throttles", "task", act.Task, "percent", act.Percent)
		err = a.machine.Throttle(ctx, act.Task, act.Percent)
	}
	if err != nil {
		a.log.Warn("guard could not act", "task", act.Task, "error", err)
	}
}
