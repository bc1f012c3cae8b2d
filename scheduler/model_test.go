package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/placer"
	"cowslipbend.dev/throttler"
)

// actualLoad is the true demand of a job's tasks, as opposed to their declared
// size.
type actualLoad struct {
	cpu  cowslipbend.Millicores
	mem  cowslipbend.Bytes
	work float64 // core-milliseconds
}

// model is a fleet whose tasks slow one another down. Requests to its services
// are routed by the latency of the replicas.
type model struct {
	*fleet
	rnd          *rand.Rand
	guards       map[cowslipbend.WorkerID]*throttler.Guard
	actual       map[cowslipbend.JobID]actualLoad
	progress     map[cowslipbend.TaskID]float64
	pastStatuses map[cowslipbend.WorkerID][][]cowslipbend.TaskStatus
	// latencies has a sample for each replica and step; finishedWork is the
	// processor time of finished tasks in core-milliseconds.
	latencies    []latency
	finishedWork float64
	finished     int
	evicted      int
}

type latency struct{ share, tail float64 }

// Parameters of the model.
const (
	baseTail            = 5.0 // milliseconds
	measurementLag      = 2   // steps
	serviceDemand       = 2 * cowslipbend.Core
	contentionThreshold = 0.8
	jobsPerSecond       = 2
	// routingExponent is how strongly requests are routed away from slow replicas.
	routingExponent = 6
)

// interference is the slowdown of the first class on a worker that is full of
// the second.
var interference = map[[2]cowslipbend.Class]float64{
	{"settle", "netting"}: 0.05, {"settle", "audit"}: 3, {"netting", "audit"}: 0.3, {"audit", "audit"}: 1,
}

// batchOnly is the guarded policy without weight on services.
const batchOnly = "batchonly"

func newModel(t testing.TB, policy string, mode throttler.Mode, seed uint64) *model {
	t.Helper()
	var p cowslipbend.Placement = placer.NewGuarded(cowslipbend.Weights{Batch: 1})
	if policy != batchOnly {
		p = testPolicy(t, policy)
	}
	m := &model{
		fleet: newFleet(t, 11, workerSize(), p, Defaults()), rnd: rand.New(rand.NewPCG(seed, 1)),
		guards: map[cowslipbend.WorkerID]*throttler.Guard{}, actual: map[cowslipbend.JobID]actualLoad{},
		progress: map[cowslipbend.TaskID]float64{}, pastStatuses: map[cowslipbend.WorkerID][][]cowslipbend.TaskStatus{},
	}
	opts := throttler.Defaults()
	opts.Mode = mode
	for _, w := range m.workers {
		m.guards[w.spec.ID] = throttler.New(opts)
	}
	m.endAttempt = m.advance
	m.engine.Declare(&cowslipbend.Set{
		Pools: []cowslipbend.Pool{{Name: testPool, Spare: 10}},
		Services: []cowslipbend.Service{{
			Name: "settle", Pool: testPool, Team: "agents", Replicas: 11,
			Size: cowslipbend.Resources{CPU: 6 * cowslipbend.Core, Mem: 12 * cowslipbend.GB},
		}},
	})
	m.steps(3 * stepsPerSecond)
	return m
}

// submitJobs submits the jobs of one second. The share of the noisy class
// alternates, and declared sizes are wrong by a factor of up to five.
func (m *model) submitJobs(second int) {
	for i := range jobsPerSecond {
		j := job(fmt.Sprintf("job-%d-%d", second, i), 6, 2*cowslipbend.Core)
		j.Size.Mem = 4 * cowslipbend.GB
		if noisy := second%18 < 9; noisy && m.rnd.IntN(100) < 70 {
			j.Class, j.Team = "audit", "auditors"
		}
		m.actual[j.ID] = actualLoad{cpu: j.Size.CPU, mem: j.Size.Mem, work: float64(j.Size.CPU) * (2 + 2*m.rnd.Float64())}
		sizeError := math.Pow(5, 2*m.rnd.Float64()-1)
		j.Size.CPU = cowslipbend.Millicores(float64(j.Size.CPU) * sizeError)
		m.submit(j)
	}
}

func (m *model) demand(s *cowslipbend.TaskStatus) cowslipbend.Millicores {
	if s.Service != "" {
		return serviceDemand
	}
	j, _ := jobAndIndex(s.Task)
	return m.actual[j].cpu * cowslipbend.Millicores(s.Percent) / percent
}

func jobAndIndex(id cowslipbend.TaskID) (cowslipbend.JobID, string) {
	for i := len(id) - 1; i >= 0; i-- {
		if id[i] == '/' {
			return cowslipbend.JobID(id[:i]), string(id[i+1:])
		}
	}
	return cowslipbend.JobID(id), ""
}

// slowdown returns how many times longer work of the class takes on the worker,
// and the share of their demand that its tasks get.
func (m *model) slowdown(w *fakeWorker, class cowslipbend.Class, ownDemand cowslipbend.Millicores) (factor, share float64) {
	var total cowslipbend.Millicores
	demands := map[cowslipbend.Class]cowslipbend.Millicores{}
	for _, s := range w.sortedTasks() {
		total += m.demand(s)
		demands[s.Class] += m.demand(s)
	}
	load := float64(total) / float64(w.spec.Size.CPU)
	share = 1 / max(1, load)
	demands[class] -= ownDemand
	pressure := 0.0
	for _, other := range []cowslipbend.Class{"netting", "audit"} {
		pressure += interference[[2]cowslipbend.Class{class, other}] * share * float64(demands[other]) / float64(w.spec.Size.CPU)
	}
	return (1 + pressure + 2*pressure*pressure) * (1 + 2*max(0, load-contentionThreshold)), share
}

// advance runs a batch task for one step.
func (m *model) advance(w *fakeWorker, s *cowslipbend.TaskStatus) bool {
	if s.Service != "" {
		return false
	}
	factor, share := m.slowdown(w, s.Class, m.demand(s))
	m.progress[s.Task] += float64(m.demand(s)) * float64(stepLength) / float64(cowslipbend.Second) * share / factor
	j, _ := jobAndIndex(s.Task)
	if m.progress[s.Task] < m.actual[j].work {
		return false
	}
	m.finishedWork += m.actual[j].work
	m.finished++
	return markFinished(s)
}

// measure sets the statuses to the measurements of some steps ago, and records
// the latency samples of the services.
func (m *model) measure() {
	var current []latency
	sum := 0.0
	for _, w := range m.workers {
		var list []cowslipbend.TaskStatus
		for _, s := range w.sortedTasks() {
			measured := *s
			measured.Measured = m.now
			j, _ := jobAndIndex(s.Task)
			measured.Usage = cowslipbend.Resources{CPU: m.demand(s), Mem: m.actual[j].mem}
			if s.Service != "" {
				factor, _ := m.slowdown(w, s.Class, 0)
				tail := baseTail * factor
				measured.Tail, measured.Served = int64(tail*1000), 100
				share := math.Pow(baseTail/tail, routingExponent)
				current = append(current, latency{share, tail})
				sum += share
			}
			list = append(list, measured)
		}
		id := w.spec.ID
		m.pastStatuses[id] = append([][]cowslipbend.TaskStatus{list}, m.pastStatuses[id]...)
		if len(m.pastStatuses[id]) > measurementLag+1 {
			m.pastStatuses[id] = m.pastStatuses[id][:measurementLag+1]
		}
		for _, old := range m.pastStatuses[id][len(m.pastStatuses[id])-1] {
			if s, runs := w.tasks[old.Task]; runs && s.Attempt == old.Attempt {
				s.Usage, s.Tail, s.Served = old.Usage, old.Tail, old.Served
				s.Measured = cowslipbend.Time(m.now.Sub(old.Measured)) // its age, as in a heartbeat
			}
		}
	}
	for _, a := range current {
		m.latencies = append(m.latencies, latency{a.share / sum, a.tail})
	}
}

// runGuards runs the guard of each worker and executes its actions.
func (m *model) runGuards() {
	for _, w := range m.workers {
		status := cowslipbend.MachineStatus{Size: w.spec.Size}
		for _, s := range w.sortedTasks() {
			if s.Usage.CPU == 0 {
				continue
			}
			aged := *s
			aged.Measured = m.now - s.Measured
			status.Tasks = append(status.Tasks, aged)
		}
		for _, a := range m.guards[w.spec.ID].Decide(status, map[cowslipbend.ServiceID]cowslipbend.Span{"settle": 40}, m.now) {
			if a.Evict {
				m.evicted++
				w.endTask(Ref{a.Task, a.Attempt}, "checkpoint")
				continue
			}
			w.tasks[a.Task].Percent = a.Percent
		}
	}
}

// modelResult is the result of a run of the model.
type modelResult struct {
	tail         float64 // p99 of services relative to that without batch work
	finishedWork float64 // processor seconds of finished tasks
	finished     int
	evicted      int
	queued       int
}

func (m *model) run(seconds int) modelResult {
	for second := range seconds {
		m.submitJobs(second)
		for range stepsPerSecond {
			m.step()
			m.measure()
			m.runGuards()
		}
	}
	return modelResult{m.quantile(0.99) / baseTail, m.finishedWork / float64(cowslipbend.Core), m.finished, m.evicted, m.engine.index.queue.Len()}
}

// quantile returns a latency quantile over all requests. Latencies of one
// replica in one step follow an exponential distribution whose 99th percentile
// is the sample's tail.
func (m *model) quantile(q float64) float64 {
	low, high := 0.0, 1000.0
	for range 40 {
		x := (low + high) / 2
		over, all := 0.0, 0.0
		for _, a := range m.latencies {
			over += a.share * math.Pow(0.01, x/a.tail)
			all += a.share
		}
		if over > (1-q)*all {
			low = x
		} else {
			high = x
		}
	}
	return low
}

// BenchmarkModel compares policies on the model. It reports results of the
// model, not run times.
func BenchmarkModel(b *testing.B) {
	for _, c := range modelCases {
		for _, seed := range []uint64{1, 2, 3} {
			b.Run(fmt.Sprintf("%s/%s/seed=%d", c.policy, c.mode, seed), func(b *testing.B) {
				var o modelResult
				for range b.N {
					o = newModel(b, c.policy, c.mode, seed).run(120)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(o.tail, "tail")
				b.ReportMetric(o.finishedWork, "core-s")
				b.ReportMetric(float64(o.finished), "finished")
				b.ReportMetric(float64(o.evicted), "evicted")
				b.ReportMetric(float64(o.queued), "queued")
			})
		}
	}
}

var modelCases = []struct {
	policy string
	mode   throttler.Mode
}{
	{batchOnly, throttler.Off},
	{"firstfit", throttler.Off},
	{"leastloaded", throttler.Off},
	{"guarded", throttler.Off},
	{"guarded", throttler.Evict},
	{"guarded", throttler.Throttle},
}

// TestModelIsDeterministic asserts that decisions depend only on the inputs.
func TestModelIsDeterministic(t *testing.T) {
	first := newModel(t, "guarded", throttler.Throttle, 1).run(40)
	assert.Equal(t, newModel(t, "guarded", throttler.Throttle, 1).run(40), first)
}

// TestModel asserts on the model the promised limits of placement and guard
// together.
func TestModel(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			firstFit := newModel(t, "firstfit", throttler.Off, seed).run(120)
			batchAlone := newModel(t, batchOnly, throttler.Off, seed).run(120)
			guarded := newModel(t, "guarded", throttler.Throttle, seed).run(120)
			assert.Assert(t, guarded.tail <= 1.1, "tail %.2f", guarded.tail)
			assert.Assert(t, guarded.tail-1 <= (firstFit.tail-1)/2, "tail %.2f, firstfit %.2f", guarded.tail, firstFit.tail)
			assert.Assert(t, guarded.finishedWork >= 0.9*batchAlone.finishedWork, "batch %.0f core-s, alone %.0f", guarded.finishedWork, batchAlone.finishedWork)
			assert.Assert(t, 100*guarded.evicted <= 2*guarded.finished, "%d evicted of %d", guarded.evicted, guarded.finished)
		})
	}
}
