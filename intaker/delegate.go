package intaker

import (
	"context"

	"cowslipbend.dev"
)

const (
	// delegateTimeout bounds the wait for the owner to store a delegated flow: twice
	// a transaction of a second and more, as one may be in progress. Callers wait
	// three seconds.
	delegateTimeout = 2600 * cowslipbend.Millisecond
	// delegateMargin is how much earlier the owner gives up than the entry that
	// waits for it, so that its answer arrives.
	delegateMargin = 200 * cowslipbend.Millisecond
)

// delegateReply is the owner's answer to a delegated flow that is stored.
type delegateReply struct {
	// CommitTime is how long the owner's commits take.
	CommitTime cowslipbend.Span `json:"commit,omitempty"`
}

// delegate has the owner store a flow while the store is slow. It returns false if
// this entry has to store the flow itself, and whether the flow may then be stored
// already.
func (i *Intaker) delegate(ctx context.Context, f *cowslipbend.Flow) (done, mayBeStored bool, err error) {
	if !i.shouldDelegate() {
		return false, false, nil
	}
	owner := i.owners.OwnerURL()
	commitTime := i.delegator.CommitTime(i.clock.Now())
	var reply delegateReply
	err = i.caller.Call(ctx, owner+pathDelegate, f, &reply, delegateTimeout)
	i.metrics.RecordDelegation(err)
	if err == nil {
		i.delegator.RecordOwner(reply.CommitTime, i.clock.Now())
		return true, false, nil
	}
	i.log.Info("owner did not store a flow for this entry", "flow", f.ID, "owner", owner, "commit", commitTime.String(), "error", err)
	switch cowslipbend.KindOf(err) {
	case cowslipbend.KindDown, cowslipbend.KindBusy, cowslipbend.KindMissing:
		return false, false, nil
	case cowslipbend.KindInvalid:
		return true, false, err
	}
	return false, true, nil
}

// delegateAll delegates the submissions of a group if the store is slow, and
// returns those that this entry has to store itself. They were submitted before the
// store was found slow.
func (i *Intaker) delegateAll(ctx context.Context, group []*submission) []*submission {
	var own []*submission
	for _, p := range group {
		if i.mayDelegate(p) {
			i.goroutines.Go(func() { i.delegateQueued(ctx, p) })
			continue
		}
		own = append(own, p)
	}
	return own
}

// mayDelegate reports whether the owner should store a queued submission.
func (i *Intaker) mayDelegate(p *submission) bool {
	return !p.handedOver && !p.undelegated && i.shouldDelegate()
}

// delegateQueued delegates a queued submission. If its outcome is not known
// thereafter, the submission returns to the queue.
func (i *Intaker) delegateQueued(ctx context.Context, p *submission) {
	done, mayBeStored, err := i.delegate(p.ctx, p.flow)
	if done {
		p.done <- err
		return
	}
	p.mayBeStored = p.mayBeStored || mayBeStored
	p.undelegated = !mayBeStored
	i.requeue(ctx, p)
}

// shouldDelegate reports whether the owner should store the submissions of this
// entry.
func (i *Intaker) shouldDelegate() bool {
	return i.owners.OwnerURL() != "" && i.owners.Conductor() == nil && i.delegator.IsSlow(i.clock.Now())
}

// storeDelegated stores a flow for an entry that has found the store slow. An entry
// that is not the owner refuses, since one writer is enough.
func (i *Intaker) storeDelegated(ctx context.Context, f *cowslipbend.Flow) (delegateReply, error) {
	if i.owners.Conductor() == nil {
		return delegateReply{}, cowslipbend.Fail(cowslipbend.KindDown, "this entry does not own the flows", "store the flow without delegation")
	}
	if err := f.Check(); err != nil {
		return delegateReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, (delegateTimeout - delegateMargin).Duration())
	defer cancel()
	if err := i.storeForOther(ctx, f); err != nil {
		return delegateReply{}, err
	}
	i.notifyAccepted(f)
	return delegateReply{CommitTime: i.delegator.CommitTime(i.clock.Now())}, nil
}
