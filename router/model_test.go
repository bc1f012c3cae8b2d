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

// The model simulates a service on 11 workers in 3 domains with 8 slots each,
// behind 3 entries that route by the policy under test. Times are in
// microseconds.
const (
	modelWorkers             = 11
	modelDomains             = 3
	modelSlots               = 8
	modelMeanMicros          = 4000 // mean time that a request runs
	modelFarDelayMicros      = 1500 // one way between domains
	modelNearDelayMicros     = 50
	modelRetryDelayMicros    = 1000      // before a request without a target is routed again
	modelMeasureMicros       = 2_000_000 // length of the measurement
	modelWarmupMicros        = 1_000_000 // before the measurement
	modelFailingWarmupMicros = 5_000_000 // the same if a worker fails all requests
)

// scenario is a load with a fault of worker 0.
type scenario struct {
	name     string
	load     float64 // share of all slots that are in use
	slowdown float64 // factor on the running time of requests at worker 0
	failing  bool    // worker 0 fails all requests without delay
}

var scenarios = []scenario{
	{name: "quiet", load: 0.2, slowdown: 1},
	{name: "busy", load: 0.75, slowdown: 1},
	{name: "slow", load: 0.5, slowdown: 4},
	{name: "failing", load: 0.5, slowdown: 1, failing: true},
}

type event struct {
	at  int64
	seq int
	run func()
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
	policy      cowslipbend.Routing
	rnd         *rand.Rand
	clock       *timer.Manual
	entries     []*tracker.Tracker
	events      events
	now         int64
	measureFrom int64
	seq         int
	running     [modelWorkers]int64
	sentTo      [modelWorkers]int
	failed      int
	latencies   []int64
}

func newModel(p cowslipbend.Routing, s scenario, seed uint64) *model {
	m := &model{scenario: s, policy: p, rnd: rand.New(rand.NewPCG(seed, 0)), clock: &timer.Manual{}}
	for e := range modelDomains {
		track := tracker.New(m.clock, domain(e))
		for w := range modelWorkers {
			track.RecordHeartbeat(&control.BeatRequest{
				Worker: fmt.Sprintf("w%02d", w), Life: "l", Domain: string(domain(w)),
				Endpoints: []*control.Endpoint{{Service: "s", Slots: modelSlots, Conns: 64}},
			})
		}
		m.entries = append(m.entries, track)
	}
	return m
}

func domain(i int) cowslipbend.Domain { return cowslipbend.Domain(fmt.Sprintf("d%d", i%modelDomains)) }

func (m *model) schedule(micros int64, run func()) {
	m.seq++
	heap.Push(&m.events, event{at: m.now + micros, seq: m.seq, run: run})
}

func (m *model) run() *model {
	m.measureFrom = modelWarmupMicros
	if m.failing {
		m.measureFrom = modelFailingWarmupMicros
	}
	m.arrive()
	for m.now < m.measureFrom+modelMeasureMicros {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		m.clock.Advance(cowslipbend.Time(m.now / 1000).Sub(m.clock.Now()))
		e.run()
	}
	slices.Sort(m.latencies)
	return m
}

func (m *model) arrive() {
	rate := m.load * modelWorkers * modelSlots / modelMeanMicros
	m.schedule(int64(m.rnd.ExpFloat64()/rate), m.arrive)
	m.send(m.rnd.IntN(modelDomains), m.now, nil)
}

// send routes a request that arrived at the entry at arrivedAt.
func (m *model) send(entry int, arrivedAt int64, failed []int) {
	targets := m.entries[entry].Targets("s")
	i := m.policy.Pick(len(targets), func(i int) cowslipbend.Candidate {
		c := targets[i].Candidate(m.clock.Now(), false)
		c.Excluded = slices.Contains(failed, i)
		return c
	}, m.rnd)
	if i < 0 {
		m.schedule(modelRetryDelayMicros, func() { m.send(entry, arrivedAt, nil) })
		return
	}
	t := targets[i]
	t.Begin(false)
	if m.now > m.measureFrom {
		m.sentTo[i]++
	}
	delay := int64(modelFarDelayMicros)
	if t.SameDomain {
		delay = modelNearDelayMicros
	}
	sentAt := m.now
	respond := func(unmeasured, failed bool, then func()) {
		m.schedule(delay, func() {
			t.End(tracker.Result{Micros: m.now - sentAt, Failed: failed, Unmeasured: unmeasured})
			t.Observe(tracker.State{Slots: modelSlots, UsedSlots: m.running[i], Conns: 64})
			then()
		})
	}
	m.schedule(delay, func() {
		switch {
		case m.failing && i == 0:
			respond(false, true, func() { m.record(arrivedAt, true) })
		case m.running[i] >= modelSlots:
			respond(true, false, func() { m.send(entry, arrivedAt, append(failed, i)) })
		default:
			m.running[i]++
			m.schedule(m.serviceMicros(i), func() {
				m.running[i]--
				respond(false, false, func() { m.record(arrivedAt, false) })
			})
		}
	})
}

// serviceMicros draws the running time of a request from a log-normal
// distribution.
func (m *model) serviceMicros(worker int) int64 {
	const sigma = 0.6
	micros := modelMeanMicros * math.Exp(sigma*m.rnd.NormFloat64()-sigma*sigma/2)
	if worker == 0 {
		micros *= m.slowdown
	}
	return int64(micros)
}

func (m *model) record(arrivedAt int64, failed bool) {
	if arrivedAt < m.measureFrom {
		return
	}
	m.latencies = append(m.latencies, m.now-arrivedAt)
	if failed {
		m.failed++
	}
}

func (m *model) quantile(q float64) int64 { return m.latencies[int(q*float64(len(m.latencies)-1))] }

// shareOf returns the share of the requests that were sent to a worker.
func (m *model) shareOf(worker int) float64 {
	sum := 0
	for _, n := range m.sentTo {
		sum += n
	}
	return float64(m.sentTo[worker]) / float64(sum)
}

func TestPoliciesInModel(t *testing.T) {
	const seed = 1
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			reference := newModel(adaptive{}, s, seed).run()
			t.Logf("%-14s p50 %5d p99 %6d p99.9 %6d failed %5d", "adaptive", reference.quantile(.5), reference.quantile(.99), reference.quantile(.999), reference.failed)
			for _, p := range []cowslipbend.Routing{random{}, leastInflight{}} {
				m := newModel(p, s, seed).run()
				t.Logf("%-14s p50 %5d p99 %6d p99.9 %6d failed %5d", p.Name(), m.quantile(.5), m.quantile(.99), m.quantile(.999), m.failed)
				if !s.failing {
					assert.Assert(t, reference.quantile(.99) <= m.quantile(.99), "p99 of %s is lower than that of adaptive", p.Name())
				}
			}
			if s.failing {
				assert.Assert(t, reference.shareOf(0) < 0.01, "failing worker received a share of %f of the requests", reference.shareOf(0))
			}
		})
	}
}
