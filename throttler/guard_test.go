package throttler

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// testbed is a guard and a simulated worker whose tail latency the test sets.
type testbed struct {
	guard          *Guard
	now            cowslipbend.Time
	measurementLag cowslipbend.Span
	// baseTail is the tail latency in milliseconds without batch. Each core that
	// batch uses adds slowdownPerCore of it.
	baseTail        int64
	slowdownPerCore float64
	served          int64
	size            cowslipbend.Resources
	tasks           []cowslipbend.TaskStatus
	evicted         []cowslipbend.TaskID
	// history holds the tasks at each poll, newest first.
	history [][]cowslipbend.TaskStatus
}

const pollInterval = 250 * cowslipbend.Millisecond

func newTestbed(mode Mode, tasks ...cowslipbend.TaskStatus) *testbed {
	opts := Defaults()
	opts.Mode = mode
	return &testbed{
		guard: New(opts), baseTail: 10, served: 100, tasks: tasks, measurementLag: cowslipbend.Second, now: 10000,
		size: cowslipbend.Resources{CPU: 16 * cowslipbend.Core, Mem: 60 * cowslipbend.GB},
	}
}

func task(id string, class cowslipbend.Class, cpu cowslipbend.Millicores) cowslipbend.TaskStatus {
	size := cowslipbend.Resources{CPU: cpu, Mem: 4 * cowslipbend.GB}
	return cowslipbend.TaskStatus{
		Task: cowslipbend.TaskID(id), Attempt: 1, Class: class, Size: size, Usage: size, Percent: fullPercent, Phase: cowslipbend.Running,
	}
}

// poll calls the guard once, carries its actions out and returns them.
func (b *testbed) poll() []Action {
	b.now = b.now.Add(pollInterval)
	objectives := map[cowslipbend.ServiceID]cowslipbend.Span{"settle": 40}
	service := task("settle/0", "settle", 2*cowslipbend.Core)
	service.Service, service.Tail, service.Served = "settle", b.currentTail(), b.served
	list := append([]cowslipbend.TaskStatus{service}, b.tasks...)
	for i := range list {
		list[i].Measured = b.now
		list[i].Usage.CPU = list[i].Usage.CPU * cowslipbend.Millicores(list[i].Percent) / fullPercent
	}
	b.history = append([][]cowslipbend.TaskStatus{list}, b.history...)
	status := cowslipbend.MachineStatus{Size: b.size, Tasks: b.laggedTasks()}
	actions := b.guard.Decide(status, objectives, b.now)
	for _, a := range actions {
		b.apply(a)
	}
	return actions
}

// laggedTasks returns the tasks that run now with the measurements that were
// made measurementLag earlier.
func (b *testbed) laggedTasks() []cowslipbend.TaskStatus {
	old := b.history[min(int(b.measurementLag/pollInterval), len(b.history)-1)]
	list := append([]cowslipbend.TaskStatus(nil), b.history[0]...)
	for i := range list {
		list[i].Measured = b.now.Add(-b.measurementLag)
		for j := range old {
			if old[j].Task == list[i].Task {
				list[i].Usage, list[i].Tail = old[j].Usage, old[j].Tail
			}
		}
	}
	return list
}

// currentTail returns the service's tail latency in microseconds, given the
// batch that runs now.
func (b *testbed) currentTail() int64 {
	used := 0.0
	for _, s := range b.tasks {
		used += cores(s.Usage.CPU) * float64(s.Percent) / fullPercent
	}
	return int64(float64(b.baseTail*microsPerMs) * (1 + b.slowdownPerCore*used))
}

func (b *testbed) apply(a Action) {
	if a.Evict {
		b.evicted = append(b.evicted, a.Task)
	}
	for i := range b.tasks {
		if b.tasks[i].Task == a.Task && !a.Evict {
			b.tasks[i].Percent = a.Percent
		}
	}
}

// run polls for the span and returns the times at which the guard acted.
func (b *testbed) run(s cowslipbend.Span) []cowslipbend.Time {
	var actedAt []cowslipbend.Time
	for range int(s / pollInterval) {
		if len(b.poll()) > 0 {
			actedAt = append(actedAt, b.now)
		}
	}
	return actedAt
}

func (b *testbed) sharePercents() map[cowslipbend.TaskID]int {
	m := map[cowslipbend.TaskID]int{}
	for _, s := range b.tasks {
		m[s.Task] = s.Percent
	}
	return m
}

func TestIdleWithinObjective(t *testing.T) {
	b := newTestbed(Throttle, task("a/0", "netting", 8*cowslipbend.Core))
	assert.Equal(t, len(b.run(30*cowslipbend.Second)), 0)
}

// TestThrottlesBeforeEvicting asserts that batch beside a slow service is
// throttled in steps to its minimum share, and evicted only if the service
// stays slow.
func TestThrottlesBeforeEvicting(t *testing.T) {
	b := newTestbed(Throttle, task("a/0", "netting", 8*cowslipbend.Core))
	b.baseTail, b.slowdownPerCore = 38, 0.1
	b.run(cowslipbend.Second / 2)
	assert.Equal(t, b.sharePercents()["a/0"], 50)
	b.run(8 * cowslipbend.Second)
	assert.Equal(t, b.sharePercents()["a/0"], Defaults().MinSharePercent)
	assert.Equal(t, len(b.evicted), 0)
	b.run(12 * cowslipbend.Second)
	assert.Equal(t, len(b.evicted), 1)
}

// TestCutGrowsWithTail asserts that a tail latency of several times the
// objective cuts the share by more than half.
func TestCutGrowsWithTail(t *testing.T) {
	b := newTestbed(Throttle, task("a/0", "netting", 8*cowslipbend.Core))
	b.baseTail, b.slowdownPerCore = 10, 1.4
	b.poll()
	assert.Equal(t, b.sharePercents()["a/0"], 32)
}

// TestWaitsForSettling asserts that a measurement made before the last action
// had settled leads to no action.
func TestWaitsForSettling(t *testing.T) {
	b := newTestbed(Throttle, task("a/0", "netting", 8*cowslipbend.Core))
	b.baseTail, b.slowdownPerCore = 38, 0.1
	actedAt := b.run(8 * cowslipbend.Second)
	assert.Assert(t, len(actedAt) >= 3)
	for i := 1; i < len(actedAt); i++ {
		assert.Assert(t, actedAt[i].Sub(actedAt[i-1]) >= b.measurementLag+b.guard.opts.SettlingTime, "acted at %v", actedAt)
	}
}

// TestCountsMeasurementOnce asserts that a measurement that is reported
// repeatedly is judged once.
func TestCountsMeasurementOnce(t *testing.T) {
	b := newTestbed(Evict, task("a/0", "netting", 8*cowslipbend.Core))
	b.baseTail = 39
	for range 20 {
		b.measurementLag += pollInterval
		b.poll()
	}
	assert.Equal(t, len(b.evicted), 0)
}

// TestThrottlesMostHarmfulFirst asserts that the class that slowed the service
// in earlier measurements is throttled before the others.
func TestThrottlesMostHarmfulFirst(t *testing.T) {
	harmless, harmful := task("harmless/0", "harmless", 4*cowslipbend.Core), task("harmful/0", "harmful", 4*cowslipbend.Core)
	b := newTestbed(Throttle)
	for i := range 160 {
		b.tasks = [][]cowslipbend.TaskStatus{{harmless}, {harmful}, {harmless, harmful}, nil}[i/10%4]
		b.baseTail = 10
		if i/10%4 == 1 || i/10%4 == 2 {
			b.baseTail = 20
		}
		b.measurementLag = 0
		b.poll()
	}
	b.tasks, b.baseTail = []cowslipbend.TaskStatus{harmless, harmful}, 38
	b.run(cowslipbend.Second / 2)
	assert.Equal(t, b.sharePercents()["harmful/0"], 50)
	assert.Equal(t, b.sharePercents()["harmless/0"], fullPercent)
}

// TestReleasesInSteps asserts that the share of throttled batch grows in steps
// once the service is well within its objective.
func TestReleasesInSteps(t *testing.T) {
	b := newTestbed(Throttle, task("a/0", "netting", 8*cowslipbend.Core))
	b.baseTail, b.slowdownPerCore = 38, 0.1
	b.run(8 * cowslipbend.Second)
	b.baseTail = 10
	last := b.sharePercents()["a/0"]
	for range 30 * cowslipbend.Second / pollInterval {
		b.poll()
		p := b.sharePercents()["a/0"]
		assert.Assert(t, p >= last && p-last <= b.guard.opts.ReleaseStepPercent)
		last = p
	}
	assert.Equal(t, last, fullPercent)
}

// TestReleasesBetweenThresholds asserts that throttled batch is also released
// while the tail latency stays between the thresholds.
func TestReleasesBetweenThresholds(t *testing.T) {
	b := newTestbed(Throttle, task("a/0", "netting", 8*cowslipbend.Core))
	b.baseTail, b.slowdownPerCore = 38, 0.1
	b.run(8 * cowslipbend.Second)
	b.baseTail, b.slowdownPerCore = 25, 0
	b.run(cowslipbend.Minute)
	assert.Equal(t, b.sharePercents()["a/0"], fullPercent)
}

// TestReleasesForIdleService asserts that throttled batch is released when the
// service gets no more requests.
func TestReleasesForIdleService(t *testing.T) {
	b := newTestbed(Throttle, task("a/0", "netting", 8*cowslipbend.Core))
	b.baseTail, b.slowdownPerCore = 38, 0.1
	b.run(8 * cowslipbend.Second)
	b.served = 0
	b.run(cowslipbend.Minute)
	assert.Equal(t, b.sharePercents()["a/0"], fullPercent)
}

// TestEvictionRate asserts that the guard keeps the intervals between evictions
// on a worker and between evictions of a job.
func TestEvictionRate(t *testing.T) {
	for _, mode := range []Mode{Throttle, Evict} {
		t.Run(string(mode), func(t *testing.T) {
			var tasks []cowslipbend.TaskStatus
			for i := range 4 {
				tasks = append(tasks, task(fmt.Sprint("a/", i), "netting", 3*cowslipbend.Core))
			}
			b := newTestbed(mode, tasks...)
			b.baseTail, b.slowdownPerCore = 38, 0.1
			b.run(59 * cowslipbend.Second)
			assert.Equal(t, len(b.evicted), 1)
		})
	}
}

// TestNewTaskGetsThrottledShare asserts that a task that starts beside throttled
// tasks of its class gets no larger share than they.
func TestNewTaskGetsThrottledShare(t *testing.T) {
	b := newTestbed(Throttle, task("a/0", "netting", 8*cowslipbend.Core))
	b.baseTail, b.slowdownPerCore = 38, 0.1
	b.run(8 * cowslipbend.Second)
	b.tasks = append(b.tasks, task("b/0", "netting", 2*cowslipbend.Core))
	b.poll()
	assert.Equal(t, b.sharePercents()["b/0"], Defaults().MinSharePercent)
}

// TestSparesHarmlessBatch asserts that batch of a class that did not slow the
// service in earlier measurements is not throttled when load alone makes the
// service slow.
func TestSparesHarmlessBatch(t *testing.T) {
	b := newTestbed(Throttle)
	b.measurementLag = 0
	harmless := task("a/0", "netting", 8*cowslipbend.Core)
	for i := range 800 {
		b.tasks = [][]cowslipbend.TaskStatus{nil, {harmless}}[i/10%2]
		b.poll()
	}
	b.tasks, b.baseTail = []cowslipbend.TaskStatus{harmless}, 39
	b.run(2 * cowslipbend.Second)
	assert.Equal(t, b.sharePercents()["a/0"], fullPercent)
}

// TestOveruse asserts that a task is limited to its reserved processors only
// while the worker is short of processors, and evicted for memory beyond its
// reservation only while the worker is short of memory.
func TestOveruse(t *testing.T) {
	t.Run("processors", func(t *testing.T) {
		overuser := task("a/0", "netting", 2*cowslipbend.Core)
		overuser.Usage.CPU = 8 * cowslipbend.Core
		b := newTestbed(Throttle, overuser)
		b.poll()
		assert.Equal(t, b.sharePercents()["a/0"], fullPercent)
		b.tasks = append(b.tasks, task("b/0", "netting", 8*cowslipbend.Core))
		b.poll()
		assert.Equal(t, b.sharePercents()["a/0"], 25)
		assert.Equal(t, b.sharePercents()["b/0"], fullPercent)
	})
	t.Run("memory", func(t *testing.T) {
		overuser := task("a/0", "netting", 2*cowslipbend.Core)
		overuser.Usage.Mem = 20 * cowslipbend.GB
		b := newTestbed(Throttle, overuser)
		b.poll()
		assert.Equal(t, len(b.evicted), 0)
		b.size.Mem = 24 * cowslipbend.GB
		b.poll()
		assert.DeepEqual(t, b.evicted, []cowslipbend.TaskID{"a/0"})
	})
}

// TestWeights asserts that the thresholds are lower where the tail latency of
// services weighs more than batch.
func TestWeights(t *testing.T) {
	for _, c := range []struct {
		weights cowslipbend.Weights
		want    int
	}{
		{cowslipbend.Weights{}, fullPercent},
		{cowslipbend.Weights{Tail: 1, Batch: 4}, fullPercent},
		{cowslipbend.Weights{Tail: 4, Batch: 1}, 50},
	} {
		b := newTestbed(Throttle, task("a/0", "netting", 8*cowslipbend.Core))
		b.guard.SetOptions(Defaults().WithWeights(c.weights))
		b.baseTail = 32
		b.poll()
		assert.Equal(t, b.sharePercents()["a/0"], c.want)
	}
}

func TestModes(t *testing.T) {
	t.Run("off", func(t *testing.T) {
		b := newTestbed(Off, task("a/0", "netting", 8*cowslipbend.Core))
		b.baseTail = 100
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

// TestSwitchedOffReleases guards against batch that stays throttled for ever once the
// guard no longer throttles, by its own action or that of an earlier process.
func TestSwitchedOffReleases(t *testing.T) {
	for _, m := range []Mode{Off, Evict} {
		t.Run("mode "+string(m), func(t *testing.T) {
			b := newTestbed(Throttle, task("a/0", "netting", 8*cowslipbend.Core))
			b.baseTail, b.slowdownPerCore = 38, 0.1
			b.run(cowslipbend.Second / 2)
			assert.Equal(t, b.sharePercents()["a/0"], 50)
			b.baseTail = 10
			opts := Defaults()
			opts.Mode = m
			b.guard.SetOptions(opts)
			b.run(cowslipbend.Second)
			assert.Equal(t, b.sharePercents()["a/0"], fullPercent)
		})
		t.Run("mode "+string(m)+" after a restart", func(t *testing.T) {
			b := newTestbed(m, task("a/0", "netting", 8*cowslipbend.Core))
			b.tasks[0].Percent = 50
			b.run(cowslipbend.Second)
			assert.Equal(t, b.sharePercents()["a/0"], fullPercent)
		})
	}
}
