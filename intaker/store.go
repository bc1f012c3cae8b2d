package intaker

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
)

// Sizes and times of storing.
const (
	// maxGroup is the most submissions of one transaction, which holds 100
	// entries, two for each.
	maxGroup = 48
	// maxGroupBytes bounds their content; a transaction holds 1 MB.
	maxGroupBytes = 512 << 10
	pendingRing   = 2048
	// settleTime is how long a caller whose time is over still waits to learn
	// whether its flow was stored.
	settleTime = 100 * cowslipbend.Millisecond
	// retryPause is the pause between two tries while the store does not
	// answer.
	retryPause = 100 * cowslipbend.Millisecond
)

// pending is a submission that waits to be stored.
type pending struct {
	ctx   context.Context
	flow  *cowslipbend.Flow
	key   string
	value []byte
	done  chan error
	// taken is set by who takes the submission: the writer, or its caller to
	// withdraw it.
	taken atomic.Bool
}

// store waits until a submission is stored. A flow that is there already is
// the same job, submitted again.
func (i *Intaker) store(ctx context.Context, f *cowslipbend.Flow) error {
	value, err := json.Marshal(f)
	if err != nil {
		return cowslipbend.AsError(err)
	}
	p := &pending{ctx: ctx, flow: f, key: conductor.WorkKey(f.ID), value: value, done: make(chan error, 1)}
	if !i.ring.Offer(p) {
		return &cowslipbend.Error{Kind: cowslipbend.KindBusy, What: "too many submissions wait for the store", Remedy: "submit it again later", After: cowslipbend.Second}
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
	}
	if p.taken.CompareAndSwap(false, true) {
		return unavailable(ctx.Err())
	}
	select {
	case err := <-p.done:
		return err
	case <-i.clock.After(settleTime):
		return cowslipbend.Failf(cowslipbend.KindUnknown, ctx.Err(), "submit it again with the same id", "store gave no answer in time")
	}
}

// unavailable refuses a submission that was certainly not stored.
func unavailable(cause error) error {
	return &cowslipbend.Error{
		Kind: cowslipbend.KindDown, What: "store is unavailable", Remedy: "submit it again later", After: cowslipbend.Second, Cause: cause,
	}
}

// write stores submissions in groups, one transaction after the other: what
// arrives meanwhile makes the next group.
func (i *Intaker) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-i.ring.Items():
			group := untaken(append([]*pending{first}, i.ring.Drain(maxGroup-1)...))
			for len(group) > 0 {
				n, size := 0, 0
				for n < len(group) && (n == 0 || size+len(group[n].value) <= maxGroupBytes) {
					size += len(group[n].value)
					n++
				}
				i.writeGroup(ctx, group[:n])
				group = group[n:]
			}
		}
	}
}

// untaken takes those submissions that their callers have not withdrawn.
func untaken(all []*pending) []*pending {
	var group []*pending
	for _, p := range all {
		if p.taken.CompareAndSwap(false, true) {
			group = append(group, p)
		}
	}
	return group
}

// writeGroup stores a group; if one of them is there already, each goes alone.
func (i *Intaker) writeGroup(ctx context.Context, group []*pending) {
	var txn cowslipbend.Txn
	for _, p := range group {
		txn.Conds = append(txn.Conds, cowslipbend.Cond{Key: p.key})
		txn.Puts = append(txn.Puts, cowslipbend.Put{Key: p.key, Value: p.value})
	}
	_, err := i.table.Commit(ctx, txn)
	if err == nil {
		finish(group, nil)
		return
	}
	if cowslipbend.KindOf(err) == cowslipbend.KindConflict && len(group) == 1 {
		finish(group, nil)
		return
	}
	unknown := cowslipbend.KindOf(err) == cowslipbend.KindUnknown
	for _, p := range group {
		i.goroutines.Go(func() { p.done <- i.writeAlone(ctx, p, unknown) })
	}
}

func finish(group []*pending, err error) {
	for _, p := range group {
		p.done <- err
	}
}

// writeAlone stores one submission within its caller's time. Once a try may
// have had its effect, it is never refused.
func (i *Intaker) writeAlone(ctx context.Context, p *pending, unknown bool) error {
	txn := cowslipbend.Txn{Conds: []cowslipbend.Cond{{Key: p.key}}, Puts: []cowslipbend.Put{{Key: p.key, Value: p.value}}}
	for {
		_, err := i.table.Commit(ctx, txn)
		switch cowslipbend.KindOf(err) {
		case "", cowslipbend.KindConflict:
			return nil
		case cowslipbend.KindUnknown:
			unknown = true
		case cowslipbend.KindDown:
		default:
			return err
		}
		if cut, peers := i.owners.StoreUnreachable(); cut {
			// An entry that reaches the store settles what became of the flow.
			handed := i.handOver(p.ctx, p.flow, peers)
			if handed == nil || (!unknown && cowslipbend.KindOf(handed) == cowslipbend.KindDown) {
				return handed
			}
			unknown = true
		}
		select {
		case <-p.ctx.Done():
			if unknown {
				return cowslipbend.Failf(cowslipbend.KindUnknown, err, "submit it again with the same id", "flow may have been stored")
			}
			return unavailable(err)
		case <-i.clock.After(retryPause):
		}
	}
}
