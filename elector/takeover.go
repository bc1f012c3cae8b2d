package elector

import (
	"context"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
	"cowslipbend.dev/internal/caller"
)

// Limits for failed health checks.
const (
	// minFailedChecks is the number of health checks in a row that an owner must
	// leave unanswered. After a pause of this process the first one may fail on a
	// connection that has died meanwhile.
	minFailedChecks = 2
	// maxCheckTime is the time of a failed health check from which on this process
	// was paused during it. The check then tells nothing about the owner.
	maxCheckTime = 2 * pollTimeout
)

// ignoresFailure counts a failed health check that took so long. It reports whether
// the check tells nothing about the owner. Of two in a row the second one counts, so
// that a process that is always slow still replaces a failed owner. The caller holds
// the lock.
func (e *Elector) ignoresFailure(took cowslipbend.Span) bool {
	if took > maxCheckTime && !e.ignoredFailure {
		e.ignoredFailure = true
		return true
	}
	e.ignoredFailure = false
	e.failedChecks++
	return false
}

// isUnreachable reports whether the error of a call shows that nothing listens at the peer. One
// that refuses the call has replied.
func isUnreachable(err error) bool {
	return cowslipbend.KindOf(err) == cowslipbend.KindDown && !caller.HasReply(err)
}

// replacementReason returns why the owner has to be replaced after a health check
// with the given result, or an empty string if it need not be. The caller holds the
// lock.
func (e *Elector) replacementReason(owner conductor.Head, h Health, err error, now cowslipbend.Time) string {
	switch {
	case isUnreachable(err):
		return "owner is not listening"
	case err != nil && e.failedChecks >= minFailedChecks && now.Sub(e.ownerLastContact) > failureTimeout:
		return "owner does not answer"
	case err != nil:
		return ""
	case h.Life != owner.Life:
		return "owner has restarted"
	case h.Leaving:
		return "owner is leaving"
	case h.StoreContactAge > storeTimeout:
		return "owner cannot reach the store"
	case h.RefusedFor > refusalTimeout && e.isServedSince(h.RefusedFor):
		return "store serves this entry but not the owner"
	case h.OwnedEpoch < owner.Epoch && now.Sub(e.ownerFoundAt) > failureTimeout:
		return "owner runs no conductor"
	case h.Yielding && e.supersedesOwner(owner.URL):
		return "owner yields to a stronger entry"
	}
	return ""
}

// isServedSince reports whether the store has served this entry within the span and not
// refused it since.
func (e *Elector) isServedSince(span cowslipbend.Span) bool {
	return e.store.RefusedFor() == 0 && e.StoreContactAge() < span
}

// takeOver takes over the flows from an owner that has to be replaced. It returns
// nil if that fails. If there is a later owner by now, it is recorded instead: the
// reason may be as old as this process was paused, and is not about that owner.
func (e *Elector) takeOver(ctx context.Context, owner conductor.Head, reason string) *conductor.Fence {
	head, version, err := conductor.ReadHead(ctx, e.store)
	if err == nil && head.Epoch > owner.Epoch {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.recordOwner(head)
		return nil
	}
	var fence *conductor.Fence
	if err == nil {
		fence, err = conductor.TakeOverFrom(ctx, e.store, e.clock, head, version, e.self.URL, e.self.Life)
	}
	if err != nil {
		e.log.Info("elector failed to take over the flows", "reason", reason, "error", err)
		return nil
	}
	e.log.Info("flows taken over", "reason", reason, "epoch", fence.Epoch(), "after", owner.Epoch)
	return fence
}
