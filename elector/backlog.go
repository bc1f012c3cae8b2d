package elector

import (
	"cowslipbend.dev"
	"cowslipbend.dev/shedder"
)

// ownerBacklog is the backlog in the owner's answer to a health check.
type ownerBacklog struct {
	summary *shedder.Summary
	// epoch is that of the owner, and askedAt when the check was sent.
	epoch   cowslipbend.Epoch
	askedAt cowslipbend.Time
}

// Backlog returns the present owner's last summary of what waits, and its age. It
// returns nil if there is none.
func (e *Elector) Backlog() (summary *shedder.Summary, age cowslipbend.Span) {
	e.mu.Lock()
	c, b, epoch := e.conductor, e.backlog, e.owner.Epoch
	e.mu.Unlock()
	switch {
	case c != nil:
		if summary = c.Backlog(); summary != nil {
			age = summary.Age
		}
		return summary, age
	case b.summary == nil || b.epoch != epoch:
		return nil, 0
	}
	return b.summary, b.summary.Age + e.clock.Now().Sub(b.askedAt)
}
