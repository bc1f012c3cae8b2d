package throttler

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// bench is a guard over a worker of which the test sets the tail.
type bench struct {
	guard *Guard
	now   cowslipbend.Time
	lag   cowslipbend.Span
	// tail is in milliseconds without batch, noise its part added by each core
	// that batch uses.
	tail   int64
	noise  float64
	served int64
	size   cowslipbend.Resources
	tasks  []cowslipbend.TaskStatus
	evicts []cowslipbend.TaskID
	// measured holds the statuses of the last looks, newest first.
	measured [][]cowslipbend.TaskStatus
}

const poll = 250 * cowslipbend.Millisecond

func newBench(mode Mode, tasks ...cowslipbend.TaskStatus) *bench {
	opts := Defaults()
	opts.Mode = mode
	return &bench{
		guard: New(opts), tail: 10, served: 100, tasks: tasks, lag: cowslipbend.Second, now: 10000,
		size: cowslipbend.Resources{CPU: 16 * cowslipbend.Core, Mem: 60 * cowslipbend.GB},
	}
}

func task(id string, class cowslipbend.Class, cpu cowslipbend.Millicores) cowslipbend.TaskStatus {
	size := cowslipbend.Resources{CPU: cpu, Mem: 4 * cowslipbend.GB}
	return cowslipbend.TaskStatus{
		Task: cowslipbend.TaskID(id), Attempt: 1, Class: class, Size: size, Usage: size, Percent: whole, Phase: cowslipbend.Running,
	}
}

// look polls once, carries the actions out, and returns them.
func (b *bench) look() []Action {
	b.now = b.now.Add(poll)
	goals := map[cowslipbend.ServiceID]cowslipbend.Span{"settle": 40}
	service := task("settle/0", "settle", 2*cowslipbend.Core)
	service.Service, service.Tail, service.Served = "settle", b.slowed(), b.served
	list := append([]cowslipbend.TaskStatus{service}, b.tasks...)
	for i := range list {
		list[i].Measured = b.now
		list[i].Usage.CPU = list[i].Usage.CPU * cowslipbend.Millicores(list[i].Percent) / whole
	}
	b.measured = append([][]cowslipbend.TaskStatus{list}, b.measured...)
	status := cowslipbend.MachineStatus{Size: b.size, Tasks: b.lagged()}
	acts := b.guard.Look(status, goals, b.now)
	for _, a := range acts {
		b.carry(a)
	}
	return acts
}

// lagged returns what runs now with the measurements of earlier.
func (b *bench) lagged() []cowslipbend.TaskStatus {
	old := b.measured[min(int(b.lag/poll), len(b.measured)-1)]
	list := append([]cowslipbend.TaskStatus(nil), b.measured[0]...)
	for i := range list {
		list[i].Measured = b.now.Add(-b.lag)
		for j := range old {
			if old[j].Task == list[i].Task {
				list[i].Usage, list[i].Tail = old[j].Usage, old[j].Tail
			}
		}
	}
	return list
}

// slowed returns the tail beside what runs, in microseconds.
func (b *bench) slowed() int64 {
	used := 0.0
	for _, s := range b.tasks {
		used += cores(s.Usage.CPU) * float64(s.Percent) / whole
	}
	return int64(float64(b.tail*microsPerMs) * (1 + b.noise*used))
}

func (b *bench) carry(a Action) {
	if a.Evict {
		b.evicts = append(b.evicts, a.Task)
	}
	for i := range b.tasks {
		if b.tasks[i].Task == a.Task && !a.Evict {
			b.tasks[i].Percent = a.Percent
		}
	}
}

// run polls for a time and returns the polls at which the guard acted.
func (b *bench) run(s cowslipbend.Span) []cowslipbend.Time {
	var acted []cowslipbend.Time
	for range int(s / poll) {
		if len(b.look()) > 0 {
			acted = append(acted, b.now)
		}
	}
	return acted
}

func (b *bench) percents() map[cowslipbend.TaskID]int {
	m := map[cowslipbend.TaskID]int{}
	for _, s := range b.tasks {
		m[s.Task] = s.Percent
	}
	return m
}

func TestCalm(t *testing.T) {
	b := newBench(Throttle, task("a/0", "netting", 8*cowslipbend.Core))
	assert.Equal(t, len(b.run(30*cowslipbend.Second)), 0)
}

// TestThrottlesFirst asserts that a late service has batch throttled in steps
// to its floor, and evicted only after that has failed for long.
func TestThrottlesFirst(t *testing.T) {
	b := newBench(Throttle, task("a/0", "netting", 8*cowslipbend.Core))
	b.tail, b.noise = 38, 0.1
	b.run(cowslipbend.Second / 2)
	assert.Equal(t, b.percents()["a/0"], 50)
	b.run(8 * cowslipbend.Second)
	assert.Equal(t, b.percents()["a/0"], Defaults().Floor)
	assert.Equal(t, len(b.evicts), 0)
	b.run(12 * cowslipbend.Second)
	assert.Equal(t, len(b.evicts), 1)
}

// TestFarTooLate asserts that the cut is larger the longer the tail is.
func TestFarTooLate(t *testing.T) {
	b := newBench(Throttle, task("a/0", "netting", 8*cowslipbend.Core))
	b.tail, b.noise = 10, 1.4
	b.look()
	assert.Equal(t, b.percents()["a/0"], 32)
}

// TestDeaf asserts that a measurement made before the last action had settled
// leads to nothing.
func TestDeaf(t *testing.T) {
	b := newBench(Throttle, task("a/0", "netting", 8*cowslipbend.Core))
	b.tail, b.noise = 38, 0.1
	acted := b.run(8 * cowslipbend.Second)
	assert.Assert(t, len(acted) >= 3)
	for i := 1; i < len(acted); i++ {
		assert.Assert(t, acted[i].Sub(acted[i-1]) >= b.lag+b.guard.opts.Settle, "acted at %v", acted)
	}
}

// TestSameMeasurement asserts that one measurement counts once, however often
// it is reported.
func TestSameMeasurement(t *testing.T) {
	b := newBench(Evict, task("a/0", "netting", 8*cowslipbend.Core))
	b.tail = 39
	for range 20 {
		b.lag += poll
		b.look()
	}
	assert.Equal(t, len(b.evicts), 0)
}

// TestHarmfulFirst asserts that the class that was seen to slow the service is
// throttled before the others.
func TestHarmfulFirst(t *testing.T) {
	quiet, loud := task("quiet/0", "quiet", 4*cowslipbend.Core), task("loud/0", "loud", 4*cowslipbend.Core)
	b := newBench(Throttle)
	for i := range 160 {
		b.tasks = [][]cowslipbend.TaskStatus{{quiet}, {loud}, {quiet, loud}, nil}[i/10%4]
		b.tail = 10
		if i/10%4 == 1 || i/10%4 == 2 {
			b.tail = 20
		}
		b.lag = 0
		b.look()
	}
	b.tasks, b.tail = []cowslipbend.TaskStatus{quiet, loud}, 38
	b.run(cowslipbend.Second / 2)
	assert.Equal(t, b.percents()["loud/0"], 50)
	assert.Equal(t, b.percents()["quiet/0"], whole)
}

// TestReleasesSlowly asserts that throttled batch gets its share back in steps
// once the service is well within its objective.
func TestReleasesSlowly(t *testing.T) {
	b := newBench(Throttle, task("a/0", "netting", 8*cowslipbend.Core))
	b.tail, b.noise = 38, 0.1
	b.run(8 * cowslipbend.Second)
	b.tail = 10
	last := b.percents()["a/0"]
	for range 30 * cowslipbend.Second / poll {
		b.look()
		p := b.percents()["a/0"]
		assert.Assert(t, p >= last && p-last <= b.guard.opts.Raise)
		last = p
	}
	assert.Equal(t, last, whole)
}

// TestNeverHeldForGood asserts that batch also gets its share back while the
// tail stays between the bounds.
func TestNeverHeldForGood(t *testing.T) {
	b := newBench(Throttle, task("a/0", "netting", 8*cowslipbend.Core))
	b.tail, b.noise = 38, 0.1
	b.run(8 * cowslipbend.Second)
	b.tail, b.noise = 25, 0
	b.run(cowslipbend.Minute)
	assert.Equal(t, b.percents()["a/0"], whole)
}

// TestIdleService asserts that throttled batch is released when callers stay
// away.
func TestIdleService(t *testing.T) {
	b := newBench(Throttle, task("a/0", "netting", 8*cowslipbend.Core))
	b.tail, b.noise = 38, 0.1
	b.run(8 * cowslipbend.Second)
	b.served = 0
	b.run(cowslipbend.Minute)
	assert.Equal(t, b.percents()["a/0"], whole)
}

// TestEvictionRate asserts that evictions of one worker keep their distance
// and that a job is not hit twice in a row.
func TestEvictionRate(t *testing.T) {
	for _, mode := range []Mode{Throttle, Evict} {
		t.Run(string(mode), func(t *testing.T) {
			var tasks []cowslipbend.TaskStatus
			for i := range 4 {
				tasks = append(tasks, task(fmt.Sprint("a/", i), "netting", 3*cowslipbend.Core))
			}
			b := newBench(mode, tasks...)
			b.tail, b.noise = 38, 0.1
			b.run(59 * cowslipbend.Second)
			assert.Equal(t, len(b.evicts), 1)
		})
	}
}

// TestNewcomer asserts that a task that starts beside throttled ones of its
// class gets no more than they.
func TestNewcomer(t *testing.T) {
	b := newBench(Throttle, task("a/0", "netting", 8*cowslipbend.Core))
	b.tail, b.noise = 38, 0.1
	b.run(8 * cowslipbend.Second)
	b.tasks = append(b.tasks, task("b/0", "netting", 2*cowslipbend.Core))
	b.look()
	assert.Equal(t, b.percents()["b/0"], Defaults().Floor)
}

// TestBlameless asserts that batch that was seen to do no harm is left alone
// when callers alone make a service late.
func TestBlameless(t *testing.T) {
	b := newBench(Throttle)
	b.lag = 0
	harmless := task("a/0", "netting", 8*cowslipbend.Core)
	for i := range 800 {
		b.tasks = [][]cowslipbend.TaskStatus{nil, {harmless}}[i/10%2]
		b.look()
	}
	b.tasks, b.tail = []cowslipbend.TaskStatus{harmless}, 39
	b.run(2 * cowslipbend.Second)
	assert.Equal(t, b.percents()["a/0"], whole)
}

// TestOveruse asserts that a task beyond its reservation is limited to it only
// while the worker is short of processors, and evicted only when memory is.
func TestOveruse(t *testing.T) {
	t.Run("processors", func(t *testing.T) {
		greedy := task("a/0", "netting", 2*cowslipbend.Core)
		greedy.Usage.CPU = 8 * cowslipbend.Core
		b := newBench(Throttle, greedy)
		b.look()
		assert.Equal(t, b.percents()["a/0"], whole)
		b.tasks = append(b.tasks, task("b/0", "netting", 8*cowslipbend.Core))
		b.look()
		assert.Equal(t, b.percents()["a/0"], 25)
		assert.Equal(t, b.percents()["b/0"], whole)
	})
	t.Run("memory", func(t *testing.T) {
		greedy := task("a/0", "netting", 2*cowslipbend.Core)
		greedy.Usage.Mem = 20 * cowslipbend.GB
		b := newBench(Throttle, greedy)
		b.look()
		assert.Equal(t, len(b.evicts), 0)
		b.size.Mem = 24 * cowslipbend.GB
		b.look()
		assert.DeepEqual(t, b.evicts, []cowslipbend.TaskID{"a/0"})
	})
}

// TestWeights asserts that a guard acts earlier where the tail weighs more.
func TestWeights(t *testing.T) {
	for _, c := range []struct {
		weights cowslipbend.Weights
		want    int
	}{
		{cowslipbend.Weights{}, whole},
		{cowslipbend.Weights{Tail: 1, Batch: 4}, whole},
		{cowslipbend.Weights{Tail: 4, Batch: 1}, 50},
	} {
		b := newBench(Throttle, task("a/0", "netting", 8*cowslipbend.Core))
		b.guard.Set(Defaults().Weigh(c.weights))
		b.tail = 32
		b.look()
		assert.Equal(t, b.percents()["a/0"], c.want)
	}
}

func TestModes(t *testing.T) {
	t.Run("off", func(t *testing.T) {
		b := newBench(Off, task("a/0", "netting", 8*cowslipbend.Core))
		b.tail = 100
		assert.Equal(t, len(b.run(30*cowslipbend.Second)), 0)
	})
	t.Run("unknown", func(t *testing.T) {
		o := Options{Mode: "both"}
		assert.Equal(t, cowslipbend.KindOf(o.Check("--guard")), cowslipbend.KindInvalid)
	})
	t.Run("known", func(t *testing.T) {
		for _, m := range []Mode{Throttle, Evict, Off} {
			o := Options{Mode: m}
			assert.NilError(t, o.Check("--guard"))
		}
	})
}
