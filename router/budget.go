package router

import "sync/atomic"

// retryBudget limits the retries of attempts that may have run to a share of
// the requests, so that retries do not overload a slow service.
type retryBudget struct {
	tokensPerRequest int64
	tokens           atomic.Int64
}

const (
	tokensPerRetry  = 100 // so that a request earns one token for each percent
	maxSavedRetries = 100
)

// newRetryBudget returns a full budget that allows retries for the percentage
// of the requests.
func newRetryBudget(percent int) *retryBudget {
	b := &retryBudget{tokensPerRequest: int64(percent)}
	b.tokens.Store(maxSavedRetries * tokensPerRetry)
	return b
}

// deposit adds the tokens that a request earns.
func (b *retryBudget) deposit() {
	if b.tokens.Load() < maxSavedRetries*tokensPerRetry {
		b.tokens.Add(b.tokensPerRequest)
	}
}

// withdraw takes the tokens of one retry and reports whether there were
// enough.
func (b *retryBudget) withdraw() bool {
	for {
		tokens := b.tokens.Load()
		if tokens < tokensPerRetry {
			return false
		}
		if b.tokens.CompareAndSwap(tokens, tokens-tokensPerRetry) {
			return true
		}
	}
}
