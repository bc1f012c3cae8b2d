package router

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// entered adds requests of a team and returns those that got in.
func entered(q *queue, team cowslipbend.TeamID, n, limit int) []*waiter {
	var in []*waiter
	for range n {
		if w, err := q.enter(ticket{team: team, limit: limit, left: cowslipbend.Second}); err == nil {
			in = append(in, w)
		}
	}
	return in
}

// through counts the waiters that were let through and those refused.
func through(list []*waiter) (let, refused int) {
	for _, w := range list {
		select {
		case err := <-w.told:
			if err == nil {
				let++
			} else {
				refused++
			}
		default:
		}
	}
	return let, refused
}

func assertRefused(t *testing.T, err error) {
	t.Helper()
	assert.Equal(t, OutcomeOf(err), cowslipbend.NotRun)
	assert.Equal(t, cowslipbend.KindOf(err), cowslipbend.KindBusy)
	assert.Assert(t, cowslipbend.AsError(err).After > 0, "no advice when to come back")
}

func TestQueue(t *testing.T) {
	t.Run("is bounded", func(t *testing.T) {
		q := &queue{}
		assert.Equal(t, len(entered(q, "a", 10, 4)), 4)
		_, err := q.enter(ticket{team: "a", limit: 4, left: cowslipbend.Second})
		assertRefused(t, err)
	})
	t.Run("serves teams in turn", func(t *testing.T) {
		q := &queue{}
		many, few := entered(q, "many", 50, 100), entered(q, "few", 5, 100)
		q.grant(func() int { return 10 })
		a, _ := through(many)
		b, _ := through(few)
		assert.Equal(t, fmt.Sprint(a, b), "5 5")
	})
	t.Run("drops from the longest lane", func(t *testing.T) {
		q := &queue{}
		many := entered(q, "many", 10, 10)
		few := entered(q, "few", 20, 10)
		_, dropped := through(many)
		assert.Equal(t, len(few), 5)
		assert.Equal(t, dropped, 5)
		assert.Equal(t, q.waiting.Load(), int64(10))
	})
	t.Run("refuses at once what cannot be served in time", func(t *testing.T) {
		q := &queue{}
		slow := ticket{team: "a", limit: 100, left: 100 * cowslipbend.Millisecond, pace: 30_000}
		for range 3 {
			_, err := q.enter(slow)
			assert.NilError(t, err)
		}
		_, err := q.enter(slow)
		assertRefused(t, err)
	})
	t.Run("counts what was let through until it is sent", func(t *testing.T) {
		q := &queue{}
		list := entered(q, "a", 4, 10)
		free := func() int { return 2 }
		q.grant(free)
		q.grant(free)
		let, _ := through(list)
		assert.Equal(t, let, 2)
		q.sent()
		q.grant(free)
		let, _ = through(list)
		assert.Equal(t, let, 1)
	})
	t.Run("forgets one that leaves", func(t *testing.T) {
		q := &queue{}
		list := entered(q, "a", 2, 10)
		assert.Assert(t, q.leave("a", list[0]))
		assert.Assert(t, !q.leave("a", list[0]))
		q.grant(func() int { return 5 })
		let, _ := through(list)
		assert.Equal(t, let, 1)
		assert.Assert(t, q.empty())
	})
}

func TestBudget(t *testing.T) {
	b := newBudget(10)
	spent := 0
	for range 2 * budgetDepth {
		if b.spend() {
			spent++
		}
	}
	assert.Equal(t, spent, budgetDepth)
	for range 100 {
		b.earn()
	}
	spent = 0
	for b.spend() {
		spent++
	}
	assert.Equal(t, spent, 10)
}
