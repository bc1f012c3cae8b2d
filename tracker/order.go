package tracker

import (
	"slices"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/control"
)

// maxRetiredLives bounds the earlier incarnations of an agent that are remembered. A
// heartbeat is under way for seconds at most.
const maxRetiredLives = 8

// isOutdated reports whether a heartbeat was sent before the newest one of its worker:
// by an earlier incarnation of its agent, or earlier by the same one. It could bring an
// agent back into use that has left since. Heartbeats without a time of sending are not
// outdated. The caller holds the lock.
func (t *Tracker) isOutdated(a *Agent, r *control.BeatRequest) bool {
	if a.Life == cowslipbend.Incarnation(r.GetLife()) {
		return r.GetSent() > 0 && r.GetSent() < a.sentAt
	}
	return slices.Contains(a.retiredLives, cowslipbend.Incarnation(r.GetLife()))
}

// retire returns the retired incarnations of an agent once it has been replaced.
func (a *Agent) retire() []cowslipbend.Incarnation {
	lives := append(slices.Clip(a.retiredLives), a.Life)
	return lives[max(len(lives)-maxRetiredLives, 0):]
}
