package runner

import (
	"context"

	"cowslipbend.dev"
	"cowslipbend.dev/tasker"
	"cowslipbend.dev/throttler"
)

// unguardedPolicies are the placement policies that serve as baselines. Pools with
// such a policy run without a guard.
var unguardedPolicies = map[string]bool{"firstfit": true, "leastloaded": true}

// runGuard passes the state of the worker to the guard and carries out its
// actions.
func (a *Agent) runGuard(ctx context.Context) {
	_, set := a.config.Set()
	for i := range set.Pools {
		if set.Pools[i].Name != a.settings.Pool {
			continue
		}
		opts := throttler.Defaults()
		opts.Mode = guardMode(set.Pools[i].Policy, a.settings.Guard)
		a.guard.SetOptions(opts.WithWeights(set.Pools[i].Weights))
	}
	targetLatencies := map[cowslipbend.ServiceID]cowslipbend.Span{}
	for i := range set.Services {
		targetLatencies[set.Services[i].Name] = set.Services[i].Objective.P99
	}
	for _, action := range a.guard.Decide(workerStatus(a.tasks.View()), targetLatencies, a.clock.Now()) {
		a.applyAction(ctx, action)
	}
}

// guardMode returns the mode of the guard in a pool with a placement policy.
func guardMode(policy string, declared throttler.Mode) throttler.Mode {
	if unguardedPolicies[policy] {
		return throttler.Off
	}
	return declared
}

func workerStatus(v tasker.View) cowslipbend.MachineStatus {
	return cowslipbend.MachineStatus{Size: v.Size, Tasks: v.Usage}
}

// applyAction carries out an action. If it fails, the guard decides again at the
// next poll.
func (a *Agent) applyAction(ctx context.Context, action throttler.Action) {
	var err error
	if action.Evict {
		a.log.Info("guard evicts task", "task", action.Task, "attempt", action.Attempt, "reason", action.Reason)
		err = a.workerClient.Evict(ctx, action.Task, action.Attempt)
	} else {
		a.log.Debug("guard throttles task", "task", action.Task, "percent", action.Percent)
		err = a.workerClient.Throttle(ctx, action.Task, action.Percent)
	}
	if err != nil {
		a.log.Warn("guard action failed", "task", action.Task, "error", err)
	}
}
