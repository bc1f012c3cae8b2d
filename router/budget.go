package router

import "sync/atomic"

// budget bounds the repeats of attempts that may have run to a share of the
// requests, so that a slow service is not buried under repeats.
type budget struct {
	percent int64
	parts   atomic.Int64
}

const (
	retryCost   = 100 // parts that one repeat takes; a request earns percent of them
	budgetDepth = 100 // repeats that can be saved up
)

// newBudget returns a budget with all that can be saved up.
func newBudget(percent int) *budget {
	b := &budget{percent: int64(percent)}
	b.parts.Store(budgetDepth * retryCost)
	return b
}

// earn counts a request.
func (b *budget) earn() {
	if b.parts.Load() < budgetDepth*retryCost {
		b.parts.Add(b.percent)
	}
}

// spend takes one repeat and reports whether there was one.
func (b *budget) spend() bool {
	for {
		have := b.parts.Load()
		if have < retryCost {
			return false
		}
		if b.parts.CompareAndSwap(have, have-retryCost) {
			return true
		}
	}
}
