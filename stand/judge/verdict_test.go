package judge_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/stand/judge"
)

// verdict returns the counts for events that happen one after the other,
// unless they carry a moment.
func verdict(events ...judge.Event) judge.Verdict {
	j := judge.New()
	for i, e := range events {
		if e.At == 0 {
			e.At = judge.Moment(i + 1)
		}
		j.Note(e)
	}
	return j.Events().Verdict()
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
	return attemptEvent(judge.Saved, worker, attempt, name)
}

func attemptEvent(k judge.Kind, worker string, attempt int, name string) judge.Event {
	return judge.Event{Kind: k, Task: "j/0", Worker: workerID(worker), Attempt: attemptNumber(attempt), Checkpoint: name}
}

func TestRequests(t *testing.T) {
	t.Run("wrong answer", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Wrong: 1}, judge.Event{Kind: judge.Wrong})
	})
	t.Run("an idempotent request may run again", func(t *testing.T) {
		assertCounts(t, judge.Verdict{}, judge.Event{Kind: judge.Ran, Nonce: "a"}, judge.Event{Kind: judge.Ran, Nonce: "a"})
	})
	t.Run("a posting that runs through two sendings is twice", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Twice: 1}, judge.Event{Kind: judge.Ran, Nonce: "a", ID: "p"}, judge.Event{Kind: judge.Ran, Nonce: "b", ID: "p"})
	})
	t.Run("a refused request that runs later is a false refusal", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Falsenot: 1}, judge.Event{Kind: judge.NotRun, Nonce: "a", From: 1}, judge.Event{Kind: judge.Ran, Nonce: "a"})
	})
	t.Run("a refused posting that ran before it was sent is a false refusal", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Falsenot: 1},
			judge.Event{Kind: judge.Ran, Nonce: "a", ID: "p", At: 1}, judge.Event{Kind: judge.NotRun, Nonce: "b", ID: "p", From: 2, At: 3})
	})
	t.Run("a refused posting that a repeat runs later is right", func(t *testing.T) {
		assertCounts(t, judge.Verdict{},
			judge.Event{Kind: judge.NotRun, Nonce: "a", ID: "p", From: 1, At: 2}, judge.Event{Kind: judge.Ran, Nonce: "b", ID: "p", At: 3})
	})
	t.Run("a refusal decided while a repeat began is right", func(t *testing.T) {
		assertCounts(t, judge.Verdict{},
			judge.Event{Kind: judge.Ran, Nonce: "b", ID: "p", At: 2}, judge.Event{Kind: judge.NotRun, Nonce: "a", ID: "p", From: 1, At: 3})
	})
}

func TestTasks(t *testing.T) {
	t.Run("one attempt after the other is right", func(t *testing.T) {
		assertCounts(t, judge.Verdict{}, began("w1", 1, ""), saved("w1", 1, "c1"), ended("w1", 1), began("w2", 2, "c1"), ended("w2", 2))
	})
	t.Run("a frozen attempt that goes on is right", func(t *testing.T) {
		assertCounts(t, judge.Verdict{}, began("w1", 1, ""), ended("w1", 1), began("w1", 1, ""))
	})
	t.Run("two places at a time", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Double: 1}, began("w1", 1, ""), began("w2", 2, ""), ended("w1", 1))
	})
	t.Run("an old attempt that thaws after a newer one", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Double: 1}, began("w1", 1, ""), ended("w1", 1), began("w2", 2, ""), ended("w2", 2), began("w1", 1, ""))
	})
	t.Run("finished again", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Double: 1}, attemptEvent(judge.Finished, "w1", 1, ""), attemptEvent(judge.Finished, "w1", 1, ""))
	})
	t.Run("finished again after its first end died unacknowledged with the worker is right", func(t *testing.T) {
		assertCounts(t, judge.Verdict{},
			attemptEvent(judge.Finished, "w1", 1, ""), judge.Event{Kind: judge.Died, Worker: "w1"}, attemptEvent(judge.Finished, "w2", 2, ""))
	})
	t.Run("finished again after an acknowledged end, although the worker died", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Double: 1},
			attemptEvent(judge.Finished, "w1", 1, ""), attemptEvent(judge.Acked, "w1", 1, ""),
			judge.Event{Kind: judge.Died, Worker: "w1"}, attemptEvent(judge.Finished, "w2", 2, ""))
	})
	t.Run("finished again after another worker died", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Double: 1},
			attemptEvent(judge.Finished, "w1", 1, ""), judge.Event{Kind: judge.Died, Worker: "w3"}, attemptEvent(judge.Finished, "w2", 2, ""))
	})
	t.Run("resumed from a checkpoint that is not the last", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Double: 1},
			began("w1", 1, ""), saved("w1", 1, "c1"), ended("w1", 1), attemptEvent(judge.Acked, "w1", 1, ""),
			began("w2", 2, "c1"), saved("w2", 2, "c2"), ended("w2", 2), attemptEvent(judge.Acked, "w2", 2, ""),
			began("w3", 3, "c1"))
	})
	t.Run("started afresh after an acknowledged checkpoint", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Double: 1},
			began("w1", 1, ""), saved("w1", 1, "c1"), ended("w1", 1), attemptEvent(judge.Acked, "w1", 1, ""), began("w2", 2, ""))
	})
	t.Run("a checkpoint that was never acknowledged may be passed over", func(t *testing.T) {
		assertCounts(t, judge.Verdict{}, began("w1", 1, ""), saved("w1", 1, "c1"), ended("w1", 1), began("w2", 2, ""))
	})
	t.Run("over capacity", func(t *testing.T) {
		assertCounts(t, judge.Verdict{Over: 1}, judge.Event{Kind: judge.Over, Worker: "w1"})
	})
}

func TestLife(t *testing.T) {
	history := func(last judge.Moment) judge.Verdict {
		j := judge.New()
		first := began("w1", 1, "")
		first.At, first.Life = 1, "l1"
		j.Note(first)
		j.Alive("l1", last)
		second := began("w2", 2, "")
		second.At = 10
		j.Note(second)
		return j.Events().Verdict()
	}
	t.Run("what a dead process ran ended with its last word", func(t *testing.T) {
		assert.DeepEqual(t, history(5), judge.Verdict{})
	})
	t.Run("what a live process runs goes on", func(t *testing.T) {
		assert.DeepEqual(t, history(20), judge.Verdict{Double: 1})
	})
}

func TestLost(t *testing.T) {
	finished := judge.History{Events: []judge.Event{{Kind: judge.Finished, Task: "j/0"}}}
	lost := func(o judge.Outcome) int { return finished.Lost([]judge.Outcome{o}) }
	t.Run("all accounted for", func(t *testing.T) {
		assert.Equal(t, lost(judge.Outcome{Job: "j", Tasks: 3, Finished: 1, Parked: 1, Cancelled: 1}), 0)
	})
	t.Run("not accounted for", func(t *testing.T) {
		assert.Equal(t, lost(judge.Outcome{Job: "j", Tasks: 3, Finished: 1}), 2)
	})
	t.Run("called finished without a run", func(t *testing.T) {
		assert.Equal(t, lost(judge.Outcome{Job: "j", Tasks: 2, Finished: 2}), 1)
	})
}

func workerID(name string) cowslipbend.WorkerID { return cowslipbend.WorkerID(name) }

func attemptNumber(n int) cowslipbend.Attempt { return cowslipbend.Attempt(n) }
