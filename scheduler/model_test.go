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

// truth is what the tasks of a job really do.
type truth struct {
	cpu   cowslipbend.Millicores
	mem   cowslipbend.Bytes
	total float64 // core-milliseconds
}

// model is a fleet whose tasks slow one another down. Its services share the
// callers by how fast they are.
type model struct {
	*fleet
	rnd    *rand.Rand
	guards map[cowslipbend.WorkerID]*throttler.Guard
	truths map[cowslipbend.JobID]truth
	done   map[cowslipbend.TaskID]float64
	lagged map[cowslipbend.WorkerID][][]cowslipbend.TaskStatus
	// answers are shares of the callers with the tail they saw, useful the
	// processor time of finished tasks.
	answers []answers
	useful  float64
	ended   int
	evicted int
}

type answers struct{ share, tail float64 }

// Terms of the model.
const (
	baseTail    = 5.0 // milliseconds
	modelLag    = 2   // steps
	serviceUse  = 2 * cowslipbend.Core
	crowdedAt   = 0.8
	jobsASecond = 2
	// steepness is how strongly callers are led away from slow replicas.
	steepness = 6
)

// slowdowns is how much the first class suffers from a worker full of the
// second.
var slowdowns = map[[2]cowslipbend.Class]float64{
	{"settle", "netting"}: 0.05, {"settle", "audit"}: 3, {"netting", "audit"}: 0.3, {"audit", "audit"}: 1,
}

// batchOnly is the guarded policy without regard for services.
const batchOnly = "batchonly"

func newModel(t testing.TB, policy string, mode throttler.Mode, seed uint64) *model {
	t.Helper()
	var p cowslipbend.Placement = placer.NewGuarded(cowslipbend.Weights{Batch: 1})
	if policy != batchOnly {
		p = testPolicy(t, policy)
	}
	m := &model{
		fleet: newFleet(t, 11, workerSize(), p, Defaults()), rnd: rand.New(rand.NewPCG(seed, 1)),
		guards: map[cowslipbend.WorkerID]*throttler.Guard{}, truths: map[cowslipbend.JobID]truth{},
		done: map[cowslipbend.TaskID]float64{}, lagged: map[cowslipbend.WorkerID][][]cowslipbend.TaskStatus{},
	}
	opts := throttler.Defaults()
	opts.Mode = mode
	for _, w := range m.workers {
		m.guards[w.spec.ID] = throttler.New(opts)
	}
	m.ends = m.advance
	m.engine.Declare(&cowslipbend.Set{
		Pools: []cowslipbend.Pool{{Name: testPool, Spare: 10}},
		Services: []cowslipbend.Service{{
			Name: "settle", Pool: testPool, Team: "agents", Replicas: 11,
			Size: cowslipbend.Resources{CPU: 6 * cowslipbend.Core, Mem: 12 * cowslipbend.GB},
		}},
	})
	m.steps(3 * second)
	return m
}

// offer submits the jobs of one second: more of the noisy class in waves,
// with sizes that are wrong by up to five times.
func (m *model) offer(at int) {
	for i := range jobsASecond {
		j := job(fmt.Sprintf("job-%d-%d", at, i), 6, 2*cowslipbend.Core)
		j.Size.Mem = 4 * cowslipbend.GB
		if noisy := at%18 < 9; noisy && m.rnd.IntN(100) < 70 {
			j.Class, j.Team = "audit", "auditors"
		}
		m.truths[j.ID] = truth{cpu: j.Size.CPU, mem: j.Size.Mem, total: float64(j.Size.CPU) * (2 + 2*m.rnd.Float64())}
		wrong := math.Pow(5, 2*m.rnd.Float64()-1)
		j.Size.CPU = cowslipbend.Millicores(float64(j.Size.CPU) * wrong)
		m.submit(j)
	}
}

func (m *model) want(s *cowslipbend.TaskStatus) cowslipbend.Millicores {
	if s.Service != "" {
		return serviceUse
	}
	j, _ := jobAndIndex(s.Task)
	return m.truths[j].cpu * cowslipbend.Millicores(s.Percent) / percent
}

func jobAndIndex(id cowslipbend.TaskID) (cowslipbend.JobID, string) {
	for i := len(id) - 1; i >= 0; i-- {
		if id[i] == '/' {
			return cowslipbend.JobID(id[:i]), string(id[i+1:])
		}
	}
	return cowslipbend.JobID(id), ""
}

// slow returns how many times longer work of the class takes on the worker,
// and the share of their processors that its tasks get.
func (m *model) slow(w *fakeWorker, class cowslipbend.Class, own cowslipbend.Millicores) (factor, share float64) {
	var demand cowslipbend.Millicores
	used := map[cowslipbend.Class]cowslipbend.Millicores{}
	for _, s := range w.list() {
		demand += m.want(s)
		used[s.Class] += m.want(s)
	}
	busy := float64(demand) / float64(w.spec.Size.CPU)
	share = 1 / max(1, busy)
	used[class] -= own
	pressure := 0.0
	for _, other := range []cowslipbend.Class{"netting", "audit"} {
		pressure += slowdowns[[2]cowslipbend.Class{class, other}] * share * float64(used[other]) / float64(w.spec.Size.CPU)
	}
	return (1 + pressure + 2*pressure*pressure) * (1 + 2*max(0, busy-crowdedAt)), share
}

// advance lets a task of the model run for one step.
func (m *model) advance(w *fakeWorker, s *cowslipbend.TaskStatus) bool {
	if s.Service != "" {
		return false
	}
	factor, share := m.slow(w, s.Class, m.want(s))
	m.done[s.Task] += float64(m.want(s)) * float64(stepLength) / float64(cowslipbend.Second) * share / factor
	j, _ := jobAndIndex(s.Task)
	if m.done[s.Task] < m.truths[j].total {
		return false
	}
	m.useful += m.truths[j].total
	m.ended++
	return finish(s)
}

// measure updates the statuses by what was measured some steps ago, and notes
// what callers saw.
func (m *model) measure() {
	var now []answers
	sum := 0.0
	for _, w := range m.workers {
		var list []cowslipbend.TaskStatus
		for _, s := range w.list() {
			fresh := *s
			fresh.Measured = m.now
			j, _ := jobAndIndex(s.Task)
			fresh.Usage = cowslipbend.Resources{CPU: m.want(s), Mem: m.truths[j].mem}
			if s.Service != "" {
				factor, _ := m.slow(w, s.Class, 0)
				tail := baseTail * factor
				fresh.Tail, fresh.Served = int64(tail*1000), 100
				share := math.Pow(baseTail/tail, steepness)
				now = append(now, answers{share, tail})
				sum += share
			}
			list = append(list, fresh)
		}
		id := w.spec.ID
		m.lagged[id] = append([][]cowslipbend.TaskStatus{list}, m.lagged[id]...)
		if len(m.lagged[id]) > modelLag+1 {
			m.lagged[id] = m.lagged[id][:modelLag+1]
		}
		for _, old := range m.lagged[id][len(m.lagged[id])-1] {
			if s, runs := w.tasks[old.Task]; runs && s.Attempt == old.Attempt {
				s.Usage, s.Tail, s.Served = old.Usage, old.Tail, old.Served
				s.Measured = cowslipbend.Time(m.now.Sub(old.Measured)) // its age, as the owner gets it
			}
		}
	}
	for _, a := range now {
		m.answers = append(m.answers, answers{a.share / sum, a.tail})
	}
}

// protect has each guard look at its worker.
func (m *model) protect() {
	for _, w := range m.workers {
		status := cowslipbend.MachineStatus{Size: w.spec.Size}
		for _, s := range w.list() {
			if s.Usage.CPU == 0 {
				continue
			}
			own := *s
			own.Measured = m.now - s.Measured
			status.Tasks = append(status.Tasks, own)
		}
		for _, a := range m.guards[w.spec.ID].Look(status, map[cowslipbend.ServiceID]cowslipbend.Span{"settle": 40}, m.now) {
			if a.Evict {
				m.evicted++
				w.end(Ref{a.Task, a.Attempt}, "checkpoint")
				continue
			}
			w.tasks[a.Task].Percent = a.Percent
		}
	}
}

// outcome is what a run of the model comes to.
type outcome struct {
	tail    float64 // p99 of services relative to the same alone
	useful  float64 // processor seconds of finished tasks
	ended   int
	evicted int
	left    int
}

func (m *model) run(seconds int) outcome {
	for at := range seconds {
		m.offer(at)
		for range second {
			m.step()
			m.measure()
			m.protect()
		}
	}
	return outcome{m.quantile(0.99) / baseTail, m.useful / float64(cowslipbend.Core), m.ended, m.evicted, m.engine.index.queue.Len()}
}

// quantile is that of all answers, those of one replica at one step being
// spread exponentially with their tail as the 99th percentile.
func (m *model) quantile(q float64) float64 {
	low, high := 0.0, 1000.0
	for range 40 {
		x := (low + high) / 2
		over, all := 0.0, 0.0
		for _, a := range m.answers {
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

// BenchmarkModel compares policies on the model; it reports figures of the
// model and no times.
func BenchmarkModel(b *testing.B) {
	for _, c := range modelCases {
		for _, seed := range []uint64{1, 2, 3} {
			b.Run(fmt.Sprintf("%s/%s/seed=%d", c.policy, c.mode, seed), func(b *testing.B) {
				var o outcome
				for range b.N {
					o = newModel(b, c.policy, c.mode, seed).run(120)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(o.tail, "tail")
				b.ReportMetric(o.useful, "core-s")
				b.ReportMetric(float64(o.ended), "finished")
				b.ReportMetric(float64(o.evicted), "evicted")
				b.ReportMetric(float64(o.left), "queued")
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

// TestModelRepeats asserts that decisions are a function of what is told.
func TestModelRepeats(t *testing.T) {
	first := newModel(t, "guarded", throttler.Throttle, 1).run(40)
	assert.Equal(t, newModel(t, "guarded", throttler.Throttle, 1).run(40), first)
}

// TestModel asserts on the model what is promised of placement and guard
// together.
func TestModel(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			plain := newModel(t, "firstfit", throttler.Off, seed).run(120)
			alone := newModel(t, batchOnly, throttler.Off, seed).run(120)
			ours := newModel(t, "guarded", throttler.Throttle, seed).run(120)
			assert.Assert(t, ours.tail <= 1.1, "tail %.2f", ours.tail)
			assert.Assert(t, ours.tail-1 <= (plain.tail-1)/2, "tail %.2f, firstfit %.2f", ours.tail, plain.tail)
			assert.Assert(t, ours.useful >= 0.9*alone.useful, "batch %.0f core-s, alone %.0f", ours.useful, alone.useful)
			assert.Assert(t, 100*ours.evicted <= 2*ours.ended, "%d evicted of %d", ours.evicted, ours.ended)
		})
	}
}
