package router

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// enqueueMany adds n requests of a team and returns the waiters of those that
// the queue accepted.
func enqueueMany(q *queue, team cowslipbend.TeamID, n, limit int) []*waiter {
	var accepted []*waiter
	for range n {
		if w, err := q.enqueue(slotRequest{team: team, queueLimit: limit, timeout: cowslipbend.Second}); err == nil {
			accepted = append(accepted, w)
		}
	}
	return accepted
}

// countResults counts the waiters that were granted a slot and those that were
// refused.
func countResults(waiters []*waiter) (granted, refused int) {
	for _, w := range waiters {
		select {
		case err := <-w.result:
			if err == nil {
				granted++
			} else {
				refused++
			}
		default:
		}
	}
	return granted, refused
}

func assertRefused(t *testing.T, err error) {
	t.Helper()
	assert.Equal(t, OutcomeOf(err), cowslipbend.NotRun)
	assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindBusy)
	assert.Assert(t, cowslipbend.AsError(err).After > 0, "error has no retry time")
}

func TestQueue(t *testing.T) {
	t.Run("refuses requests beyond its limit", func(t *testing.T) {
		q := &queue{}
		assert.Equal(t, len(enqueueMany(q, "a", 10, 4)), 4)
		_, err := q.enqueue(slotRequest{team: "a", queueLimit: 4, timeout: cowslipbend.Second})
		assertRefused(t, err)
	})
	t.Run("serves teams round-robin", func(t *testing.T) {
		q := &queue{}
		many, few := enqueueMany(q, "many", 50, 100), enqueueMany(q, "few", 5, 100)
		q.grantSlots(func() int { return 10 })
		a, _ := countResults(many)
		b, _ := countResults(few)
		assert.Equal(t, fmt.Sprint(a, b), "5 5")
	})
	t.Run("drops requests of the longest lane", func(t *testing.T) {
		q := &queue{}
		many := enqueueMany(q, "many", 10, 10)
		few := enqueueMany(q, "few", 20, 10)
		_, dropped := countResults(many)
		assert.Equal(t, len(few), 5)
		assert.Equal(t, dropped, 5)
		assert.Equal(t, q.length.Load(), int64(10))
	})
	t.Run("refuses at once a request that would time out in the queue", func(t *testing.T) {
		q := &queue{}
		slow := slotRequest{team: "a", queueLimit: 100, timeout: 100 * cowslipbend.Millisecond, slotIntervalMicros: 30_000}
		for range 3 {
			_, err := q.enqueue(slow)
			assert.NilError(t, err)
		}
		_, err := q.enqueue(slow)
		assertRefused(t, err)
	})
	t.Run("counts a granted slot as taken until the grant is released", func(t *testing.T) {
		q := &queue{}
		waiters := enqueueMany(q, "a", 4, 10)
		free := func() int { return 2 }
		q.grantSlots(free)
		q.grantSlots(free)
		granted, _ := countResults(waiters)
		assert.Equal(t, granted, 2)
		q.releaseGrant()
		q.grantSlots(free)
		granted, _ = countResults(waiters)
		assert.Equal(t, granted, 1)
	})
	t.Run("removes a request that gives up", func(t *testing.T) {
		q := &queue{}
		waiters := enqueueMany(q, "a", 2, 10)
		assert.Assert(t, q.remove("a", waiters[0]))
		assert.Assert(t, !q.remove("a", waiters[0]))
		q.grantSlots(func() int { return 5 })
		granted, _ := countResults(waiters)
		assert.Equal(t, granted, 1)
		assert.Assert(t, q.empty())
	})
}

func TestBudget(t *testing.T) {
	b := newRetryBudget(10)
	retries := 0
	for range 2 * maxSavedRetries {
		if b.withdraw() {
			retries++
		}
	}
	assert.Equal(t, retries, maxSavedRetries)
	for range 100 {
		b.deposit()
	}
	retries = 0
	for b.withdraw() {
		retries++
	}
	assert.Equal(t, retries, 10)
}
