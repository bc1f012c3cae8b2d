package isolator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/isolator"
)

// run returns a run of the flow with a record of its own.
func run(flow string, age cowslipbend.Span) isolator.Run {
	return isolator.Run{Flow: cowslipbend.JobID(flow), Age: age, Record: &isolator.Record{}}
}

// assertRecord checks the counts and the suspicion of a run.
func assertRecord(t *testing.T, r isolator.Run, crashes, named, blamed int, suspect bool) {
	t.Helper()
	got := *r.Record
	got.Age = 0
	assert.Equal(t, got, isolator.Record{Crashes: crashes, Named: named, Blamed: blamed, Suspect: suspect}, "flow %s age %d", r.Flow, r.Age)
	assert.Assert(t, r.Record.IsValid())
}

// These tests guard against a crash that is attributed to a task that it only hit.
func TestAttribute(t *testing.T) {
	t.Run("the youngest runs are blamed if they are of one flow", func(t *testing.T) {
		a, b, older := run("f", 10), run("f", 30), run("g", 200)
		assert.Assert(t, isolator.Attribute([]isolator.Run{a, b, older}))
		assertRecord(t, a, 1, 1, 1, true)
		assertRecord(t, b, 1, 1, 1, true)
		assertRecord(t, older, 1, 0, 0, false)
	})
	t.Run("of runs of several flows none is blamed, and all are suspected", func(t *testing.T) {
		a, b := run("f", 10), run("g", 40)
		assert.Assert(t, isolator.Attribute([]isolator.Run{a, b}))
		assertRecord(t, a, 1, 1, 0, true)
		assertRecord(t, b, 1, 1, 0, true)
	})
	t.Run("a crash long after the last start names none", func(t *testing.T) {
		a, b := run("f", 900), run("g", 1500)
		assert.Assert(t, !isolator.Attribute([]isolator.Run{a, b}))
		assertRecord(t, a, 1, 0, 0, false)
		assertRecord(t, b, 1, 0, 0, false)
	})
	t.Run("a second such crash has the task tried", func(t *testing.T) {
		a := run("f", 900)
		isolator.Attribute([]isolator.Run{a})
		isolator.Attribute([]isolator.Run{a, run("g", 1500)})
		assertRecord(t, a, 2, 0, 0, true)
		isolator.Attribute([]isolator.Run{a, run("g", 1500)})
		assertRecord(t, a, 3, 1, 1, true)
	})
	t.Run("the crash of a trial says nothing of older runs", func(t *testing.T) {
		tried, older := run("f", 10), run("g", 200)
		isolator.Attribute([]isolator.Run{tried})
		isolator.Attribute([]isolator.Run{tried, older})
		assertRecord(t, tried, 2, 2, 2, true)
		assertRecord(t, older, 0, 0, 0, false)
	})
	t.Run("without young runs there is another cause", func(t *testing.T) {
		assert.Assert(t, !isolator.Attribute(nil))
	})
}

// It guards against a task that crashes its hosts long after its start, and is started without
// end.
func TestAttributeOlder(t *testing.T) {
	task := run("f", 3000)
	for crash := range 5 {
		neighbours := []isolator.Run{task, run(fmt.Sprint("g", crash), 9000), run(fmt.Sprint("h", crash), 2500)}
		assert.Equal(t, isolator.AttributeOlder(neighbours), crash >= 3)
		for _, other := range neighbours[1:] {
			assert.Assert(t, !other.Record.Suspect && other.Record.IsValid())
		}
		assert.Equal(t, task.Record.Suspect, crash >= 2)
		assert.Assert(t, task.Record.IsValid())
		assert.Equal(t, task.Record.IsLost(true), crash == 4)
		assert.Assert(t, task.Record.Trial() > task.Age, "%d", task.Record.Trial())
	}
}

func TestIsLost(t *testing.T) {
	for _, c := range []struct {
		record         isolator.Record
		lost, careless bool
	}{
		{isolator.Record{Crashes: 1, Named: 1, Blamed: 1}, false, false},
		{isolator.Record{Crashes: 3, Named: 3, Blamed: 1}, false, false},
		{isolator.Record{Crashes: 2, Named: 2, Blamed: 2}, false, true},
		{isolator.Record{Crashes: 4, Named: 2, Blamed: 2}, true, true},
		{isolator.Record{Crashes: 3, Named: 3, Blamed: 3}, true, true},
		{isolator.Record{Crashes: 4, Named: 4}, true, true},
	} {
		t.Run(fmt.Sprintf("%+v", c.record), func(t *testing.T) {
			assert.Equal(t, c.record.IsLost(true), c.lost, "other causes")
			assert.Equal(t, c.record.IsLost(false), c.careless, "no other causes")
		})
	}
}

func TestTrial(t *testing.T) {
	short, long := isolator.Record{Age: 10}, isolator.Record{Age: 1900}
	assert.Assert(t, short.Trial() > 2*short.Age && short.Trial() < 500, "%d", short.Trial())
	assert.Assert(t, long.Trial() > long.Age && long.Trial() < 2*cowslipbend.YoungRunAge, "%d", long.Trial())
}

// It guards against a task that is started without end as it always has neighbours.
func TestEachCrashingTaskIsLost(t *testing.T) {
	const maxStarts = 5
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 1))
		age := cowslipbend.Span(rng.IntN(1200))
		task := run("f", 0)
		crashes := 0
		for ; !task.Record.IsLost(seed%2 == 0); crashes++ {
			assert.Assert(t, crashes < maxStarts, "seed %d: %+v", seed, task.Record)
			task.Age = age + cowslipbend.Span(rng.IntN(20))
			runs := []isolator.Run{task}
			for i := range rng.IntN(6) {
				other := run(fmt.Sprint("g", i), cowslipbend.Span(rng.IntN(2000)))
				if task.Record.Suspect {
					other.Age = task.Age + 120 + cowslipbend.Span(rng.IntN(500))
				}
				runs = append(runs, other)
			}
			isolator.Attribute(runs)
		}
	}
}
