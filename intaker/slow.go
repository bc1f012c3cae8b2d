package intaker

import (
	"context"
	"sync"

	"cowslipbend.dev"
	"cowslipbend.dev/forecaster"
)

// storeTimes measures the writes of submissions to the store. It is safe for concurrent
// use.
type storeTimes struct {
	mu       sync.Mutex
	forecast *forecaster.Forecaster
}

// commit applies a transaction and measures its time.
func (i *Intaker) commit(ctx context.Context, txn cowslipbend.Txn) error {
	s := &i.times
	s.mu.Lock()
	w := s.forecast.Begin(i.clock.Now())
	s.mu.Unlock()
	_, err := i.table.Commit(ctx, txn)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := i.clock.Now()
	switch cowslipbend.KindOf(err) {
	case "", cowslipbend.KindConflict:
		s.forecast.Answer(w, now)
	default:
		s.forecast.Fail(w, now)
	}
	i.metrics.RecordStoreTime(s.forecast.Expected(now))
	return err
}

// recordFound records that a write without an answer has taken effect.
func (i *Intaker) recordFound(began cowslipbend.Time) {
	if began == 0 {
		return
	}
	i.times.mu.Lock()
	defer i.times.mu.Unlock()
	i.times.forecast.Found(i.clock.Now().Sub(began))
}

// admit returns an error if a submission that has not been sent to the store cannot be
// stored within its caller's deadline. It is then certainly not stored. A submission
// that an earlier attempt may have stored is never refused.
func (i *Intaker) admit(p *submission) error {
	within, bounded := timeLeft(p.ctx)
	if !bounded || p.mayBeStored || p.trial || p.handedOver { // The entry that hands a flow over limits the wait.
		return nil
	}
	now := i.clock.Now()
	i.times.mu.Lock()
	expected := i.times.forecast.Expected(now)
	admitted := i.times.forecast.Admit(now, within)
	i.times.mu.Unlock()
	p.trial = expected > within
	if admitted {
		return nil
	}
	i.metrics.RecordSlowRefusal()
	i.log.Info("flow refused before it was sent to the store", "flow", p.flow.ID, "expected", expected.String(), "within", within.String())
	return &cowslipbend.Error{
		Kind: cowslipbend.KindDown, What: "store is too slow to store the flow in time", Remedy: "submit it again later", After: retryDelayOf(expected),
	}
}

// retryDelayOf returns the retry delay for an expected wait: whole seconds, within
// the bounds of a retry delay.
func retryDelayOf(expected cowslipbend.Span) cowslipbend.Span {
	return min(max((expected+cowslipbend.Second-1)/cowslipbend.Second*cowslipbend.Second, minRetryDelay), maxRetryDelay)
}
