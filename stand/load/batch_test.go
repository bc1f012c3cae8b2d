package load

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/administrator"
	"cowslipbend.dev/stand/firm"
	"cowslipbend.dev/stand/judge"
	"cowslipbend.dev/timer"
)

// jobs draws the first jobs of a seed.
func jobs(t *testing.T, mix Mix, seed uint64) []cowslipbend.Job {
	t.Helper()
	f, err := firm.Get("fraser")
	assert.NilError(t, err)
	b := NewBatch(f, NewBalancer([]string{"http://127.0.0.1:1"}, &timer.Manual{}), mix, seed, &timer.Manual{})
	var list []cowslipbend.Job
	for range 50 {
		list = append(list, b.draw().job)
	}
	return list
}

func TestDraw(t *testing.T) {
	hard := Mix{Noisy: 50, Misdeclared: true}
	t.Run("the same seed gives the same jobs", func(t *testing.T) {
		assert.DeepEqual(t, jobs(t, hard, 3), jobs(t, hard, 3))
	})
	t.Run("another seed gives others", func(t *testing.T) {
		assert.Assert(t, jobs(t, hard, 3)[0].Work != jobs(t, hard, 4)[0].Work)
	})
	t.Run("both kinds are there, and jobs that fail always or fit nowhere", func(t *testing.T) {
		seen := map[string]bool{}
		for _, j := range jobs(t, hard, 3) {
			seen[string(j.Class)] = true
			seen["huge"] = seen["huge"] || !j.Size.Fits(firmSize(t))
		}
		for _, want := range []string{"netting", "audit", "broken", "huge"} {
			assert.Assert(t, seen[want], want)
		}
	})
}

func firmSize(t *testing.T) cowslipbend.Resources {
	t.Helper()
	f, err := firm.Get("fraser")
	assert.NilError(t, err)
	return f.Size
}

func TestOutcomes(t *testing.T) {
	accepted := []Accepted{{ID: "a", Tasks: 4}, {ID: "b", Tasks: 1}}
	listed := []administrator.Job{{
		Job:     cowslipbend.Job{ID: "a", Tasks: 4},
		Phases:  map[cowslipbend.Phase]int{cowslipbend.Finished: 1, cowslipbend.Parked: 2, cowslipbend.Cancelled: 1},
		Reasons: []string{"a/1: failed everywhere"},
	}}
	t.Run("a parked task without a reason and a job not listed are open", func(t *testing.T) {
		assert.DeepEqual(t, Outcomes(listed, accepted), []judge.Outcome{
			{Job: "a", Tasks: 4, Finished: 1, Parked: 1, Cancelled: 1}, {Job: "b", Tasks: 1},
		})
		assert.Equal(t, Open(listed, accepted), 2)
	})
}

func TestTally(t *testing.T) {
	c := newCounter(40)
	c.add(answer{outcome: cowslipbend.Ran}, 10*cowslipbend.Millisecond.Duration(), true)
	c.add(answer{outcome: cowslipbend.Ran, failed: true}, 50*cowslipbend.Millisecond.Duration(), true)
	c.add(answer{outcome: cowslipbend.Ran}, cowslipbend.Second.Duration(), false)
	c.add(answer{outcome: cowslipbend.NotRun, kind: cowslipbend.KindBusy}, 0, true)
	c.add(answer{outcome: cowslipbend.Uncertain, kind: cowslipbend.KindDown}, 0, true)
	c.watched(answer{outcome: cowslipbend.Uncertain})
	sum := c.sum()
	t.Run("counts by outcome", func(t *testing.T) {
		assert.DeepEqual(t, []int64{sum.Calls, sum.Ran, sum.Refused, sum.Unknown, sum.Failed}, []int64{5, 3, 1, 1, 1})
		assert.DeepEqual(t, sum.Why, map[cowslipbend.Kind]int64{cowslipbend.KindBusy: 1, cowslipbend.KindDown: 1})
	})
	t.Run("only timed answers are late and in percentiles", func(t *testing.T) {
		assert.Equal(t, sum.Late, int64(1))
		assert.Assert(t, sum.P999 < 60)
	})
	t.Run("watchers are counted apart", func(t *testing.T) {
		assert.DeepEqual(t, []int64{sum.Watches, sum.Cut}, []int64{1, 1})
	})
}
