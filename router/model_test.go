package router

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/control"
	"cowslipbend.dev/timer"
	"cowslipbend.dev/tracker"
)

// The model is a service on 11 workers in 3 domains with 8 slots each, behind
// 3 entries that route by the policy under test. Times are in microseconds.
const (
	modelWorkers = 11
	modelDomains = 3
	modelSlots   = 8
	modelWork    = 4000 // mean time of a request
	modelFar     = 1500 // one way between domains
	modelNear    = 50
	modelRetry   = 1000      // until a refused request is placed again
	modelFor     = 2_000_000 // in which figures are taken
	modelWarm    = 1_000_000 // before that
	modelSettle  = 5_000_000 // the same with a worker that fails everything
)

// scenario is one load with faults of worker 0.
type scenario struct {
	name string
	load float64 // of all slots
	slow float64 // times the mean time, at worker 0
	fail bool    // worker 0 fails everything at once
}

var scenarios = []scenario{
	{name: "quiet", load: 0.2, slow: 1},
	{name: "busy", load: 0.75, slow: 1},
	{name: "slow", load: 0.5, slow: 4},
	{name: "failing", load: 0.5, slow: 1, fail: true},
}

type event struct {
	at  int64
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type model struct {
	scenario
	policy  cowslipbend.Routing
	rnd     *rand.Rand
	clock   *timer.Manual
	entries []*tracker.Tracker
	events  events
	now     int64
	warm    int64
	seq     int
	running [modelWorkers]int64
	sent    [modelWorkers]int
	failed  int
	times   []int64
}

func newModel(p cowslipbend.Routing, s scenario, seed uint64) *model {
	m := &model{scenario: s, policy: p, rnd: rand.New(rand.NewPCG(seed, 0)), clock: &timer.Manual{}}
	for e := range modelDomains {
		track := tracker.New(m.clock, domain(e))
		for w := range modelWorkers {
			track.Beat(&control.BeatRequest{
				Worker: fmt.Sprintf("w%02d", w), Life: "l", Domain: string(domain(w)),
				Endpoints: []*control.Endpoint{{Service: "s", Slots: modelSlots, Conns: 64}},
			})
		}
		m.entries = append(m.entries, track)
	}
	return m
}

func domain(i int) cowslipbend.Domain { return cowslipbend.Domain(fmt.Sprintf("d%d", i%modelDomains)) }

func (m *model) after(micros int64, do func()) {
	m.seq++
	heap.Push(&m.events, event{at: m.now + micros, seq: m.seq, do: do})
}

func (m *model) run() *model {
	m.warm = modelWarm
	if m.fail {
		m.warm = modelSettle
	}
	m.arrive()
	for m.now < m.warm+modelFor {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		m.clock.Advance(cowslipbend.Time(m.now / 1000).Sub(m.clock.Now()))
		e.do()
	}
	slices.Sort(m.times)
	return m
}

func (m *model) arrive() {
	rate := m.load * modelWorkers * modelSlots / modelWork
	m.after(int64(m.rnd.ExpFloat64()/rate), m.arrive)
	m.place(m.rnd.IntN(modelDomains), m.now, nil)
}

// place sends a request that came to the entry at began.
func (m *model) place(entry int, began int64, tried []int) {
	targets := m.entries[entry].Targets("s")
	i := m.policy.Pick(len(targets), func(i int) cowslipbend.Candidate {
		c := targets[i].Candidate(m.clock.Now(), false)
		c.Tried = slices.Contains(tried, i)
		return c
	}, m.rnd)
	if i < 0 {
		m.after(modelRetry, func() { m.place(entry, began, nil) })
		return
	}
	t := targets[i]
	t.Begin(false)
	if m.now > m.warm {
		m.sent[i]++
	}
	way := int64(modelFar)
	if t.Near {
		way = modelNear
	}
	left := m.now
	end := func(void, failed bool, then func()) {
		m.after(way, func() {
			t.End(tracker.Result{Micros: m.now - left, Failed: failed, Void: void})
			t.Observe(tracker.State{Slots: modelSlots, Inflight: m.running[i], Conns: 64})
			then()
		})
	}
	m.after(way, func() {
		switch {
		case m.fail && i == 0:
			end(false, true, func() { m.count(began, true) })
		case m.running[i] >= modelSlots:
			end(true, false, func() { m.place(entry, began, append(tried, i)) })
		default:
			m.running[i]++
			m.after(m.work(i), func() {
				m.running[i]--
				end(false, false, func() { m.count(began, false) })
			})
		}
	})
}

// work draws the time of a request, with a long tail.
func (m *model) work(worker int) int64 {
	const sigma = 0.6
	micros := modelWork * math.Exp(sigma*m.rnd.NormFloat64()-sigma*sigma/2)
	if worker == 0 {
		micros *= m.slow
	}
	return int64(micros)
}

func (m *model) count(began int64, failed bool) {
	if began < m.warm {
		return
	}
	m.times = append(m.times, m.now-began)
	if failed {
		m.failed++
	}
}

func (m *model) quantile(q float64) int64 { return m.times[int(q*float64(len(m.times)-1))] }

// share is the part of requests that went to a worker.
func (m *model) share(worker int) float64 {
	sum := 0
	for _, n := range m.sent {
		sum += n
	}
	return float64(m.sent[worker]) / float64(sum)
}

func TestPoliciesInModel(t *testing.T) {
	const seed = 1
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			best := newModel(adaptive{}, s, seed).run()
			t.Logf("%-14s p50 %5d p99 %6d p99.9 %6d failed %5d", "adaptive", best.quantile(.5), best.quantile(.99), best.quantile(.999), best.failed)
			for _, p := range []cowslipbend.Routing{random{}, leastInflight{}} {
				m := newModel(p, s, seed).run()
				t.Logf("%-14s p50 %5d p99 %6d p99.9 %6d failed %5d", p.Name(), m.quantile(.5), m.quantile(.99), m.quantile(.999), m.failed)
				if !s.fail {
					assert.Assert(t, best.quantile(.99) <= m.quantile(.99), "%s is better", p.Name())
				}
			}
			if s.fail {
				assert.Assert(t, best.share(0) < 0.01, "failing worker attracts %f", best.share(0))
			}
		})
	}
}
