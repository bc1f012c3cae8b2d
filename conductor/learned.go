package conductor

import (
	"cowslipbend.dev"
)

// backlogLogInterval is the time between two log lines about the backlog.
const backlogLogInterval = 5 * cowslipbend.Second

// recordLearned passes the planner's counts on to the metrics, and logs the backlog
// while flows with a bound wait. The caller holds the lock.
func (c *Conductor) recordLearned(now cowslipbend.Time) {
	l := c.planner.TakeLearned()
	c.settings.Metrics.RecordLengths(l.Runs, l.DeclaredError, l.ExpectedError)
	for o, count := range l.Outcomes {
		c.settings.Metrics.RecordTargets(o.Size.String(), o.Met, count)
	}
	b := c.backlog.Load()
	if b == nil || len(b.summary.Queues) == 0 || now.Sub(c.backlogLoggedAt) < backlogLogInterval {
		return
	}
	c.backlogLoggedAt = now
	for i := range b.summary.Pools {
		pool := &b.summary.Pools[i]
		c.log.Info("work waits", "service", pool.Service, "capacity", pool.Capacity, "free", pool.Free, "idle", pool.Idle, "work", pool.WorkByPriority())
	}
}
