package reporter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/administrator"
	"cowslipbend.dev/stand/judge"
	"cowslipbend.dev/stand/load"
	"cowslipbend.dev/stand/reporter"
)

const second = judge.Moment(time.Second)

func event(k judge.Kind, task cowslipbend.TaskID, at judge.Moment) judge.Event {
	return judge.Event{Kind: k, Task: task, Attempt: 1, Worker: "w1", At: at}
}

func TestSummarise(t *testing.T) {
	failed := event(judge.Failed, "b/0", 5*second)
	r := reporter.Summarise(reporter.Input{
		History: judge.History{Events: []judge.Event{
			event(judge.Began, "u/0", 3*second), event(judge.Began, "b/0", 4*second), failed, event(judge.Finished, "u/0", 6*second),
		}},
		Jobs: []administrator.Job{{
			Job: cowslipbend.Job{ID: "u", Tasks: 1}, Phases: map[cowslipbend.Phase]int{cowslipbend.Finished: 1}, Evictions: 2,
		}},
		Accepted: []load.AcceptedJob{{ID: "u", Tasks: 1, Urgent: true, SubmittedAt: second}, {ID: "b", Tasks: 1}},
		Before:   reporter.Usage{At: second, Reads: 10}, After: reporter.Usage{At: 11 * second, Reads: 30, BatchCPU: 5},
	})
	t.Run("tasks", func(t *testing.T) {
		assert.DeepEqual(t, []int{r.AcceptedTasks, r.Finished, r.Lost, r.Evictions}, []int{2, 1, 1, 2})
		assert.Assert(t, r.Broken())
	})
	t.Run("attempts, and the share of the worker with the most failures", func(t *testing.T) {
		assert.DeepEqual(t, []int{r.Attempts, r.Failures}, []int{2, 1})
		assert.Equal(t, r.BadShare, 0.5)
	})
	t.Run("start of urgent jobs, and longest time without a start", func(t *testing.T) {
		assert.Equal(t, r.UrgentP99, 2000.0)
		assert.Equal(t, r.LongestStartGap, 7000.0)
	})
	t.Run("rates", func(t *testing.T) {
		assert.Equal(t, r.Reads, 2.0)
		assert.Equal(t, r.CPUSeconds, 5.0)
	})
}
