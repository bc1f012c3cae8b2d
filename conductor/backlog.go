package conductor

import (
	"cowslipbend.dev"
	"cowslipbend.dev/shedder"
)

// backlogInterval is the time between two summaries of the backlog, that between two
// health checks of an entry.
const backlogInterval = 250 * cowslipbend.Millisecond

// backlog is a summary and the time at which it was computed.
type backlog struct {
	summary shedder.Summary
	at      cowslipbend.Time
}

// updateBacklog computes the summary of what waits after a decision. The caller holds
// the lock.
func (c *Conductor) updateBacklog(now cowslipbend.Time) {
	if last := c.backlog.Load(); last != nil && now.Sub(last.at) < backlogInterval {
		return
	}
	b := &backlog{summary: c.planner.Backlog(), at: now}
	c.backlog.Store(b)
	c.settings.Metrics.RecordBacklog(b.summary.WorkByPriority())
}

// Backlog returns the last summary of what waits, with its age, or nil if there is none
// yet. It does not wait for a decision or a commit.
func (c *Conductor) Backlog() *shedder.Summary {
	b := c.backlog.Load()
	if b == nil {
		return nil
	}
	s := b.summary
	s.Age = c.clock.Now().Sub(b.at)
	return &s
}
