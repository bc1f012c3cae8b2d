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

// drawJobs returns the first 50 jobs of a seed.
func drawJobs(t *testing.T, mix Mix, seed uint64) []cowslipbend.Job {
	t.Helper()
	f, err := firm.Get("fraser")
	assert.NilError(t, err)
	submitter := NewSubmitter(f, NewBalancer([]string{"http://127.0.0.1:1"}, &timer.Manual{}), mix, seed, &timer.Manual{})
	var list []cowslipbend.Job
	for range 50 {
		list = append(list, submitter.drawJob().job)
	}
	return list
}

func TestDraw(t *testing.T) {
	misdeclared := Mix{NoisyPercent: 50, Misdeclared: true}
	t.Run("the same seed gives the same jobs", func(t *testing.T) {
		assert.DeepEqual(t, drawJobs(t, misdeclared, 3), drawJobs(t, misdeclared, 3))
	})
	t.Run("another seed gives others", func(t *testing.T) {
		assert.Assert(t, drawJobs(t, misdeclared, 3)[0].Work != drawJobs(t, misdeclared, 4)[0].Work)
	})
	t.Run("jobs of both workloads, failing and oversized ones are drawn", func(t *testing.T) {
		drawn := map[string]bool{}
		for _, j := range drawJobs(t, misdeclared, 3) {
			drawn[string(j.Class)] = true
			drawn["huge"] = drawn["huge"] || !j.Size.Fits(workerSize(t))
		}
		for _, want := range []string{"netting", "audit", "broken", "huge"} {
			assert.Assert(t, drawn[want], want)
		}
	})
}

func workerSize(t *testing.T) cowslipbend.Resources {
	t.Helper()
	f, err := firm.Get("fraser")
	assert.NilError(t, err)
	return f.Size
}

func TestJobOutcomes(t *testing.T) {
	accepted := []AcceptedJob{{ID: "a", Tasks: 4}, {ID: "b", Tasks: 1}}
	listed := []administrator.Job{{
		Job:     cowslipbend.Job{ID: "a", Tasks: 4},
		Phases:  map[cowslipbend.Phase]int{cowslipbend.Finished: 1, cowslipbend.Parked: 2, cowslipbend.Cancelled: 1},
		Reasons: []string{"a/1: failed everywhere"},
	}}
	t.Run("a parked task without a reason and a job not listed are open", func(t *testing.T) {
		assert.DeepEqual(t, JobOutcomes(listed, accepted), []judge.JobOutcome{
			{Job: "a", Tasks: 4, Finished: 1, Parked: 1, Cancelled: 1}, {Job: "b", Tasks: 1},
		})
		assert.Equal(t, OpenTasks(listed, accepted), 2)
	})
}

func TestTally(t *testing.T) {
	c := newCounter(40)
	c.addAnswer(answer{outcome: cowslipbend.Ran}, 10*cowslipbend.Millisecond.Duration(), true)
	c.addAnswer(answer{outcome: cowslipbend.Ran, endpointFailed: true}, 50*cowslipbend.Millisecond.Duration(), true)
	c.addAnswer(answer{outcome: cowslipbend.Ran}, cowslipbend.Second.Duration(), false)
	c.addAnswer(answer{outcome: cowslipbend.NotRun, errorKind: cowslipbend.KindBusy}, 0, true)
	c.addAnswer(answer{outcome: cowslipbend.Uncertain, errorKind: cowslipbend.KindDown}, 0, true)
	c.addWatch(answer{outcome: cowslipbend.Uncertain})
	sum := c.tally()
	t.Run("counts by outcome", func(t *testing.T) {
		assert.DeepEqual(t, []int64{sum.Calls, sum.Ran, sum.Refused, sum.Unknown, sum.Failed}, []int64{5, 3, 1, 1, 1})
		assert.DeepEqual(t, sum.ErrorKinds, map[cowslipbend.Kind]int64{cowslipbend.KindBusy: 1, cowslipbend.KindDown: 1})
	})
	t.Run("only timed answers count as late and in percentiles", func(t *testing.T) {
		assert.Equal(t, sum.Late, int64(1))
		assert.Assert(t, sum.P999 < 60)
	})
	t.Run("watchers are counted separately", func(t *testing.T) {
		assert.DeepEqual(t, []int64{sum.Watches, sum.Cut}, []int64{1, 1})
	})
}
