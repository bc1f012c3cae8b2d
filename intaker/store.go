package intaker

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
)

// Limits and timeouts of storing submissions.
const (
	// maxGroup is the largest number of submissions in one transaction, which
	// holds 100 entries, two per submission.
	maxGroup = 48
	// maxGroupBytes bounds the flows of one transaction, which holds 1 MB.
	maxGroupBytes = 512 << 10
	// maxPending is the number of submissions that can wait for the store; more
	// are refused.
	maxPending = 2048
	// settleTimeout is how long a call waits beyond its deadline to learn whether
	// its flow was stored.
	settleTimeout = 100 * cowslipbend.Millisecond
	// retryBackoff is the pause between two attempts while the store does not
	// answer.
	retryBackoff = 100 * cowslipbend.Millisecond
	// applyTimeout is the time after which a transaction without an answer is taken
	// for lost. A partition rejects new ones once a second of them waits, so that
	// one which it has not applied by then did not reach it. An earlier retry would
	// add to the load and make the group fail if the first takes effect after all.
	applyTimeout = 1500 * cowslipbend.Millisecond
)

// submission is a flow that waits to be stored.
type submission struct {
	ctx   context.Context
	flow  *cowslipbend.Flow
	key   string
	value []byte
	done  chan error
	// handedOver is set if another entry has handed the flow over to this one. It
	// tries others if the store refuses the flow here.
	handedOver bool
	// retried is set once an attempt to store the flow has failed, undelegated if the
	// owner could not store it for this entry.
	retried     bool
	undelegated bool
	// mayBeStored is set once an attempt to store the flow may have taken effect.
	mayBeStored bool
	// triedAt is when the last attempt without an answer began.
	triedAt cowslipbend.Time
	// trial is set if the flow is sent although the store is slow, to find out whether
	// it still is.
	trial bool
	// claimed is set by storeGroups before it stores the flow, or by the caller
	// to withdraw it, whichever is first.
	claimed atomic.Bool
}

// storeForOther stores a flow that another entry has handed over.
func (i *Intaker) storeForOther(ctx context.Context, f *cowslipbend.Flow) error {
	return i.remember(f.ID, func(known bool) error { return i.storeOnce(ctx, f, true, known) })
}

// storeOnce queues a flow and waits until it is stored. If a flow with its id is
// stored already, it counts as the same job, submitted again.
func (i *Intaker) storeOnce(ctx context.Context, f *cowslipbend.Flow, handedOver, mayBeStored bool) error {
	value, err := json.Marshal(f)
	if err != nil {
		return cowslipbend.AsError(err)
	}
	p := &submission{ctx: ctx, flow: f, key: conductor.WorkKey(f.ID), value: value, done: make(chan error, 1), handedOver: handedOver, mayBeStored: mayBeStored}
	if mayBeStored && i.isStored(ctx, p) {
		return nil
	}
	if err := i.admit(p); err != nil {
		return err
	}
	if !i.submissions.Offer(p) {
		if mayBeStored {
			return i.outcomeOf(p, nil)
		}
		return &cowslipbend.Error{Kind: cowslipbend.KindBusy, What: "too many submissions are waiting for the store", Remedy: "submit it again later", After: cowslipbend.Second}
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
	}
	if p.claimed.CompareAndSwap(false, true) {
		return i.outcomeOf(p, ctx.Err())
	}
	select {
	case err := <-p.done:
		return err
	case <-i.clock.After(settleTimeout):
		return cowslipbend.Failf(cowslipbend.KindUnknown, ctx.Err(), "submit it again with the same id", "store did not answer in time")
	}
}

// outcomeOf returns the error of a submission that this entry gives up. It is
// refused only if it was certainly not stored.
func (i *Intaker) outcomeOf(p *submission, cause error) error {
	if p.mayBeStored {
		return cowslipbend.Failf(cowslipbend.KindUnknown, cause, "submit it again with the same id", "flow may have been stored")
	}
	return i.unavailable(cause)
}

// unavailable returns the error of a submission that was certainly not stored.
func (i *Intaker) unavailable(cause error) error {
	return &cowslipbend.Error{
		Kind: cowslipbend.KindDown, What: "store is unavailable", Remedy: "submit it again later", After: retryDelay(i.owners.StoreContactAge()), Cause: cause,
	}
}

// Bounds of the delay after which a refused caller may return.
const (
	minRetryDelay = cowslipbend.Second
	maxRetryDelay = 4 * cowslipbend.Second
)

// retryDelay returns when a caller that is refused while the store is down may
// return. It answers outages of unknown length, which on average last about as
// long again as they have lasted so far: the delay grows with the outage, so that
// the few retries of a caller reach beyond its end, and stays at half of it, so
// that a caller that could be served loses little time.
func retryDelay(outage cowslipbend.Span) cowslipbend.Span {
	return retryDelayOf(outage / 2)
}

// storeGroups stores submissions in groups, one transaction after the other.
// Submissions that arrive during a transaction form the next group.
func (i *Intaker) storeGroups(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-i.submissions.Items():
			group := i.admitAll(i.delegateAll(ctx, i.claimAll(append([]*submission{first}, i.submissions.Drain(maxGroup-1)...))))
			for len(group) > 0 {
				n, size := 0, 0
				for n < len(group) && (n == 0 || size+len(group[n].value) <= maxGroupBytes) {
					size += len(group[n].value)
					n++
				}
				i.storeGroup(ctx, group[:n])
				group = group[n:]
			}
		}
	}
}

// claimAll claims submissions and returns those that their callers have not
// withdrawn. A submission that is retried is claimed already; it is finished if its
// caller's deadline has passed.
func (i *Intaker) claimAll(all []*submission) []*submission {
	var group []*submission
	for _, p := range all {
		switch {
		case !p.retried && !p.claimed.CompareAndSwap(false, true):
		case p.retried && p.ctx.Err() != nil:
			p.done <- i.outcomeOf(p, p.ctx.Err())
		default:
			group = append(group, p)
		}
	}
	return group
}

// admitAll returns the submissions that can still be stored in time, and refuses the
// others.
func (i *Intaker) admitAll(all []*submission) []*submission {
	var group []*submission
	for _, p := range all {
		err := i.admit(p)
		if p.ctx.Err() != nil {
			err = i.outcomeOf(p, p.ctx.Err())
		}
		if err != nil {
			p.done <- err
			continue
		}
		group = append(group, p)
	}
	return group
}

// storeGroup stores a group in one transaction. If that fails, its members are
// stored in later groups: one transaction for each of them would overload a store
// that is slow.
func (i *Intaker) storeGroup(ctx context.Context, group []*submission) {
	var txn cowslipbend.Txn
	for _, p := range group {
		txn.Conds = append(txn.Conds, cowslipbend.Cond{Key: p.key})
		txn.Puts = append(txn.Puts, cowslipbend.Put{Key: p.key, Value: p.value})
	}
	began := i.clock.Now()
	i.delegator.BeginCommit(began)
	err := i.commit(ctx, txn)
	duration := i.delegator.EndCommit(i.clock.Now())
	if i.delegator.IsSlow(i.clock.Now()) {
		i.log.Info("transaction with submissions was slow", "flows", len(group), "duration", duration.String(), "error", err)
	}
	switch kind := cowslipbend.KindOf(err); kind {
	case "":
		finish(group, nil)
	case cowslipbend.KindConflict:
		if len(group) == 1 {
			finish(group, nil)
			return
		}
		i.goroutines.Go(func() { i.resolveConflict(ctx, group) })
	case cowslipbend.KindDown, cowslipbend.KindUnknown:
		if cowslipbend.AsError(err).After > 0 {
			i.delegator.RecordOverload(i.clock.Now())
		}
		for _, p := range group {
			if kind == cowslipbend.KindUnknown {
				p.mayBeStored, p.triedAt = true, began
			}
			i.goroutines.Go(func() { i.retry(ctx, p, kind == cowslipbend.KindDown) })
		}
	default:
		i.splitGroup(ctx, group, err)
	}
}

func finish(group []*submission, err error) {
	for _, p := range group {
		p.done <- err
	}
}

// resolveConflict handles a group of which at least one flow is stored already: it
// finishes those flows and returns the others to the queue. A flow whose row cannot be
// read may be the one that is stored.
func (i *Intaker) resolveConflict(ctx context.Context, group []*submission) {
	for _, p := range group {
		i.goroutines.Go(func() {
			row, err := i.table.Get(ctx, p.key)
			if err == nil && row.Version != 0 {
				p.done <- nil
				return
			}
			p.mayBeStored = p.mayBeStored || err != nil
			i.requeue(ctx, p)
		})
	}
}

// isStored reports whether the flow is certainly stored.
func (i *Intaker) isStored(ctx context.Context, p *submission) bool {
	row, err := i.table.Get(ctx, p.key)
	return err == nil && row.Version != 0
}

// splitGroup handles a group that the store has rejected as invalid: it halves the
// group until the flow that is to blame is alone.
func (i *Intaker) splitGroup(ctx context.Context, group []*submission, err error) {
	if len(group) == 1 {
		finish(group, err)
		return
	}
	half := len(group) / 2
	i.storeGroup(ctx, group[:half])
	i.storeGroup(ctx, group[half:])
}

// retry finishes a submission whose attempt has failed, by another entry or by a
// later group. The store has refused the attempt, or has not answered it.
func (i *Intaker) retry(ctx context.Context, p *submission, refused bool) {
	if refused && i.mayDelegate(p) {
		i.delegateQueued(ctx, p)
		return
	}
	if done, err := i.storeElsewhere(p, refused); done {
		p.done <- err
		return
	}
	i.requeue(ctx, p)
}

// requeue returns a submission to the queue after a pause, or finishes it if its
// caller's deadline has passed.
func (i *Intaker) requeue(ctx context.Context, p *submission) {
	p.retried = true
	for {
		select {
		case <-p.ctx.Done():
			p.done <- i.outcomeOf(p, p.ctx.Err())
			return
		case <-ctx.Done():
			p.done <- i.outcomeOf(p, ctx.Err())
			return
		case <-i.clock.After(retryBackoff):
		}
		if p.ctx.Err() != nil { // After a stall of this process both are due.
			p.done <- i.outcomeOf(p, p.ctx.Err())
			return
		}
		// One stored flow would make a whole group fail, and a read costs the store
		// less than a transaction.
		if p.mayBeStored && i.isStored(ctx, p) {
			i.recordFound(p.triedAt)
			p.done <- nil
			return
		}
		if i.clock.Now().Sub(p.triedAt) >= applyTimeout && i.submissions.Offer(p) {
			return
		}
	}
}

// storeElsewhere has other entries store a submission that the store has refused to
// take from this entry, or has not answered. It returns false if this entry has to
// try again.
func (i *Intaker) storeElsewhere(p *submission, refused bool) (done bool, err error) {
	if refused {
		if p.handedOver && !p.mayBeStored && !i.delegator.IsSlow(i.clock.Now()) {
			return true, i.unavailable(nil)
		}
		err := i.handOverToOwner(p)
		if err == nil {
			return true, nil
		}
		if cowslipbend.KindOf(err) != cowslipbend.KindDown {
			p.mayBeStored = true
			i.delegator.RecordOwner(handOverTimeout, i.clock.Now())
		}
	}
	unreachable, peers := i.owners.StoreUnreachable()
	if !unreachable || endsWithin(p.ctx, handOverMargin) {
		return false, nil
	}
	// An entry that reaches the store finds out whether the flow is stored, and
	// stores it if not.
	err = i.handOver(p.ctx, p.flow, peers)
	if err == nil || (!p.mayBeStored && cowslipbend.KindOf(err) == cowslipbend.KindDown) {
		return true, err
	}
	p.mayBeStored = true
	return false, nil
}
