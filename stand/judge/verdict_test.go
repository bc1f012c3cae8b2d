package judge_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/stand/judge"
)

// verdict returns the counts for the events. Events without a time get increasing
// times in the given order.
func verdict(events ...judge.Event) judge.Verdict {
	j := judge.New()
	for i, e := range events {
		if e.At == 0 {
			e.At = judge.Moment(i + 1)
		}
		j.Record(e)
	}
	return j.History().Verdict()
}

func assertCounts(t *testing.T, want judge.Verdict, events ...judge.Event) {
	t.Helper()
	assert.DeepEqual(t, verdict(events...), want)
	assert.Equal(t, want.Broken(), want != judge.Verdict{})
}

func began(worker string, attempt int, from string) judge.Event {
	return attemptEvent(judge.Began, worker, attempt, from)
}

func ended(worker string, attempt int) judge.Event {
	return attemptEvent(judge.Ended, worker, attempt, "")
}

func saved(worker string, attempt int, name string) judge.Event {
	return attemptEvent(judge.CheckpointSaved, worker, attempt, name)
}

func attemptEvent(k judge.Kind, worker string, attempt int, name string) judge.Event {
	return judge.Event{Kind: k, Task: "j/0", Worker: workerID(worker), Attempt: attemptNumber(attempt), Checkpoint: name}
}

func TestRequests(t *testing.T) {
	t.Run("wrong answer", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Wrong: 1}, judge.Event{Kind: judge.WrongAnswer})
	})
	t.Run("an idempotent request may run again", func(t *testing.T) {
		assertCounts(t, judge.Verdict{}, judge.Event{Kind: judge.Ran, Nonce: "a"}, judge.Event{Kind: judge.Ran, Nonce: "a"})
	})
	t.Run("a post that runs by two transmissions counts as twice", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Twice: 1}, judge.Event{Kind: judge.Ran, Nonce: "a", ID: "p"}, judge.Event{Kind: judge.Ran, Nonce: "b", ID: "p"})
	})
	t.Run("a refused request that runs later is a false refusal", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Falsenot: 1}, judge.Event{Kind: judge.NotRun, Nonce: "a", From: 1}, judge.Event{Kind: judge.Ran, Nonce: "a"})
	})
	t.Run("a refused post that an earlier transmission ran before it was sent is a false refusal", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Falsenot: 1},
			judge.Event{Kind: judge.Ran, Nonce: "a", ID: "p", At: 1}, judge.Event{Kind: judge.NotRun, Nonce: "b", ID: "p", From: 2, At: 3})
	})
	t.Run("a refused post that a later transmission runs is allowed", func(t *testing.T) {
		assertCounts(t, judge.Verdict{},
			judge.Event{Kind: judge.NotRun, Nonce: "a", ID: "p", From: 1, At: 2}, judge.Event{Kind: judge.Ran, Nonce: "b", ID: "p", At: 3})
	})
	t.Run("a refused post that another transmission began to run after it was sent is allowed", func(t *testing.T) {
		assertCounts(t, judge.Verdict{},
			judge.Event{Kind: judge.Ran, Nonce: "b", ID: "p", At: 2}, judge.Event{Kind: judge.NotRun, Nonce: "a", ID: "p", From: 1, At: 3})
	})
}

func TestTasks(t *testing.T) {
	t.Run("one attempt after the other is allowed", func(t *testing.T) {
		assertCounts(t, judge.Verdict{}, began("w1", 1, ""), saved("w1", 1, "c1"), ended("w1", 1), began("w2", 2, "c1"), ended("w2", 2))
	})
	t.Run("a frozen attempt that resumes is allowed", func(t *testing.T) {
		assertCounts(t, judge.Verdict{}, began("w1", 1, ""), ended("w1", 1), began("w1", 1, ""))
	})
	t.Run("two attempts at the same time", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Double: 1}, began("w1", 1, ""), began("w2", 2, ""), ended("w1", 1))
	})
	t.Run("a frozen attempt that resumes after a newer one ran", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Double: 1}, began("w1", 1, ""), ended("w1", 1), began("w2", 2, ""), ended("w2", 2), began("w1", 1, ""))
	})
	t.Run("finished again", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Double: 1}, attemptEvent(judge.Finished, "w1", 1, ""), attemptEvent(judge.Finished, "w1", 1, ""))
	})
	t.Run("finished again after its worker died with the first end unacknowledged is allowed", func(t *testing.T) {
		assertCounts(t, judge.Verdict{},
			attemptEvent(judge.Finished, "w1", 1, ""), judge.Event{Kind: judge.WorkerDied, Worker: "w1"}, attemptEvent(judge.Finished, "w2", 2, ""))
	})
	t.Run("finished again after an acknowledged end, although the worker died", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Double: 1},
			attemptEvent(judge.Finished, "w1", 1, ""), attemptEvent(judge.EndAcked, "w1", 1, ""),
			judge.Event{Kind: judge.WorkerDied, Worker: "w1"}, attemptEvent(judge.Finished, "w2", 2, ""))
	})
	t.Run("finished again after another worker died", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Double: 1},
			attemptEvent(judge.Finished, "w1", 1, ""), judge.Event{Kind: judge.WorkerDied, Worker: "w3"}, attemptEvent(judge.Finished, "w2", 2, ""))
	})
	t.Run("resumed from a checkpoint that is not the last", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Double: 1},
			began("w1", 1, ""), saved("w1", 1, "c1"), ended("w1", 1), attemptEvent(judge.EndAcked, "w1", 1, ""),
			began("w2", 2, "c1"), saved("w2", 2, "c2"), ended("w2", 2), attemptEvent(judge.EndAcked, "w2", 2, ""),
			began("w3", 3, "c1"))
	})
	t.Run("started afresh after an acknowledged checkpoint", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Double: 1},
			began("w1", 1, ""), saved("w1", 1, "c1"), ended("w1", 1), attemptEvent(judge.EndAcked, "w1", 1, ""), began("w2", 2, ""))
	})
	t.Run("a start without a checkpoint is allowed if none was acknowledged", func(t *testing.T) {
		assertCounts(t, judge.Verdict{}, began("w1", 1, ""), saved("w1", 1, "c1"), ended("w1", 1), began("w2", 2, ""))
	})
	t.Run("over capacity", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Over: 1}, judge.Event{Kind: judge.OverCapacity, Worker: "w1"})
	})
}

func TestLife(t *testing.T) {
	verdictAfter := func(last judge.Moment) judge.Verdict {
		j := judge.New()
		first := began("w1", 1, "")
		first.At, first.Life = 1, "l1"
		j.Record(first)
		j.RecordContact("l1", last)
		second := began("w2", 2, "")
		second.At = 10
		j.Record(second)
		return j.History().Verdict()
	}
	t.Run("an attempt of a dead process ended at its last post", func(t *testing.T) {
		assert.DeepEqual(t, verdictAfter(5), judge.Verdict{})
	})
	t.Run("an attempt of a live process still runs", func(t *testing.T) {
		assert.DeepEqual(t, verdictAfter(20), judge.Verdict{Double: 1})
	})
}

func TestLost(t *testing.T) {
	finished := judge.History{Events: []judge.Event{{Kind: judge.Finished, Task: "j/0"}}}
	lost := func(o judge.JobOutcome) int { return finished.Lost([]judge.JobOutcome{o}) }
	t.Run("all tasks are accounted for", func(t *testing.T) {
		assert.Equal(t, lost(judge.JobOutcome{Job: "j", Tasks: 3, Finished: 1, Parked: 1, Cancelled: 1}), 0)
	})
	t.Run("tasks without an outcome are lost", func(t *testing.T) {
		assert.Equal(t, lost(judge.JobOutcome{Job: "j", Tasks: 3, Finished: 1}), 2)
	})
	t.Run("a task listed as finished that no worker finished is lost", func(t *testing.T) {
		assert.Equal(t, lost(judge.JobOutcome{Job: "j", Tasks: 2, Finished: 2}), 1)
	})
}

func workerID(name string) cowslipbend.WorkerID { return cowslipbend.WorkerID(name) }

func attemptNumber(n int) cowslipbend.Attempt { return cowslipbend.Attempt(n) }
