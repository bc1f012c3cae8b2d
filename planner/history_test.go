package planner_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/planner"
)

// machine is an agent and its runner, whose runs end with the lease.
type machine struct {
	url    string
	agent  cowslipbend.Incarnation
	number int64 // of the last report
	// epoch is what the agent knows, process its number in processEpoch.
	epoch, processEpoch cowslipbend.Epoch
	process             int64
	runnerLives         int64 // that this process of the agent has met
	// life is the incarnation of the runner, fence the highest token that it has seen.
	life     cowslipbend.Incarnation
	fence    cowslipbend.Fence
	leaseEnd cowslipbend.Time
	running  map[cowslipbend.RunRef]work
	ends     []cowslipbend.RunEnd
	lastEnd  int64
	// lapsed holds the ends that were not acknowledged when a lease ended.
	lapsed   map[int64]bool
	cutUntil cowslipbend.Time
}

// work is the time of a run.
type work struct {
	began  cowslipbend.Time
	length cowslipbend.Span
}

// heldReport is a report that is delivered late.
type heldReport struct {
	report cowslipbend.HostReport
	at     cowslipbend.Time
}

// history plays machines that come, go, are cut off and come back, through changes of the owner.
type history struct {
	t     *testing.T
	rng   *rand.Rand
	now   cowslipbend.Time
	epoch cowslipbend.Epoch
	plan  *planner.Planner
	flows map[cowslipbend.JobID]*cowslipbend.Flow
	// progress and agents are the rows of the store.
	progress map[cowslipbend.JobID][]byte
	agents   map[string]cowslipbend.Incarnation
	machines map[string]*machine
	held     []heldReport
	lives    int
	noted    map[cowslipbend.TaskRef]bool
	newest   map[cowslipbend.TaskRef]cowslipbend.Attempt
}

const (
	historyTick  = 250 * cowslipbend.Millisecond
	historyFleet = 6
)

func newHistory(t *testing.T, seed uint64) *history {
	h := &history{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: 1000, flows: map[cowslipbend.JobID]*cowslipbend.Flow{}, progress: map[cowslipbend.JobID][]byte{},
		agents: map[string]cowslipbend.Incarnation{}, machines: map[string]*machine{}, noted: map[cowslipbend.TaskRef]bool{}, newest: map[cowslipbend.TaskRef]cowslipbend.Attempt{},
	}
	for i := range 12 {
		f := flow(fmt.Sprint("f", i), step(3, 1))
		h.flows[f.ID] = f
	}
	h.changeOwner()
	for range historyFleet {
		h.addMachine()
	}
	return h
}

func (h *history) happens(probability float64) bool { return h.rng.Float64() < probability }

func (h *history) newLife(of string) cowslipbend.Incarnation {
	h.lives++
	return cowslipbend.Incarnation(fmt.Sprint(of, "@", h.lives))
}

func (h *history) addMachine() {
	h.lives++
	m := &machine{url: fmt.Sprint("m", h.lives)}
	h.machines[m.url] = m
	h.restartRunner(m)
	h.restartAgent(m)
}

func (h *history) restartRunner(m *machine) {
	m.life, m.fence, m.leaseEnd, m.lastEnd = h.newLife(m.url), 0, 0, 0
	m.runnerLives++
	m.running, m.ends, m.lapsed = map[cowslipbend.RunRef]work{}, nil, map[int64]bool{}
}

func (h *history) restartAgent(m *machine) {
	m.agent, m.number, m.epoch, m.processEpoch, m.process, m.runnerLives = h.newLife("a"), 0, 0, 0, 0, 1
}

// changeOwner starts a new owner from the rows.
func (h *history) changeOwner() {
	h.epoch++
	h.plan = newOwnerOf(h.t, h.epoch, h.flows, h.progress, h.now)
	var rows []planner.AgentRow
	for url, life := range h.agents {
		rows = append(rows, planner.AgentRow{URL: url, RunnerLife: life})
	}
	h.plan.ExpectAgents(rows, h.now)
}

func (m *machine) token() cowslipbend.Fence {
	return cowslipbend.NewFence(m.epoch, m.process, m.runnerLives)
}

// confirm has the runner refuse earlier tokens. One that has seen a higher token would refuse the
// agent for good.
func (h *history) confirm(m *machine) {
	if m.processEpoch == m.epoch && m.epoch > 0 {
		assert.Assert(h.t, m.token() >= m.fence, "%s: the runner refuses process %d of epoch %d", m.url, m.process, m.epoch)
		m.fence = m.token()
	}
}

func (h *history) reportOf(m *machine) cowslipbend.HostReport {
	m.number++
	epoch := m.epoch
	r := cowslipbend.HostReport{Agent: m.agent, URL: m.url, Number: m.number, Epoch: &epoch}
	if m.epoch > 0 && m.processEpoch == m.epoch && m.fence == m.token() {
		r.Fence = m.epoch
		r.Host = &cowslipbend.HostSpec{Life: m.life, Runner: m.url, Service: "ledger", Rack: "r", Size: cowslipbend.Resources{CPU: 4 * cowslipbend.Core, Mem: 8 * cowslipbend.GB}}
		for ref, w := range m.running {
			r.Running = append(r.Running, cowslipbend.RunState{RunRef: ref, Percent: int(100 * h.now.Sub(w.began) / w.length)})
		}
		r.Ends = slices.Clone(m.ends)
	}
	return r
}

// report sends a report and applies the reply.
func (h *history) report(m *machine) {
	r := h.reportOf(m)
	h.plan.ApplyReport(&r, h.now)
	h.decide()
	reply := h.plan.Reply(&r, h.now)
	sameEpoch := *r.Epoch == reply.Epoch
	m.epoch = reply.Epoch
	if sameEpoch && reply.Process != nil && *reply.Process > 0 {
		m.process, m.processEpoch = *reply.Process, reply.Epoch
	}
	h.confirm(m)
	if reply.Life != m.life || reply.LeaseGrant == 0 {
		return
	}
	m.leaseEnd = max(m.leaseEnd, h.now.Add(reply.LeaseGrant))
	m.ends = slices.DeleteFunc(m.ends, func(e cowslipbend.RunEnd) bool {
		if e.Number <= reply.AckedThrough && e.Kind == cowslipbend.EndDone && !m.lapsed[e.Number] {
			h.noted[e.Task] = true
		}
		return e.Number <= reply.AckedThrough
	})
}

// work ends the runs of a machine that are due, or whose lease has ended.
func (h *history) work(m *machine) {
	lapsed := h.now >= m.leaseEnd
	for _, e := range m.ends {
		m.lapsed[e.Number] = m.lapsed[e.Number] || lapsed
	}
	for ref, w := range m.running {
		if kind := cowslipbend.EndDone; lapsed || h.now.Sub(w.began) >= w.length {
			if lapsed {
				kind = cowslipbend.EndLapsed
			}
			m.lastEnd++
			m.ends = append(m.ends, cowslipbend.RunEnd{RunRef: ref, Number: m.lastEnd, Kind: kind})
			delete(m.running, ref)
		}
	}
}

// decide makes a decision, stores it, and sends its orders.
func (h *history) decide() {
	orders := h.plan.Decide(h.now, h.now, h.now)
	for _, id := range h.plan.DirtyFlows() {
		row, err := h.plan.TakeProgress(id)
		assert.NilError(h.t, err)
		h.progress[id] = row
	}
	changed, forgotten := h.plan.TakeAgents()
	for _, row := range changed {
		h.agents[row.URL] = row.RunnerLife
	}
	for _, url := range forgotten {
		delete(h.agents, url)
	}
	h.plan.MarkCommitted(h.now)
	for i := range orders {
		h.send(&orders[i])
	}
}

func (h *history) send(o *planner.AgentOrders) {
	if len(o.Orders.Starts) > 0 && !h.plan.SealStarts(&o.Orders, h.now) {
		return
	}
	m := h.machines[o.URL]
	if m == nil || h.now < m.cutUntil {
		h.plan.RevertUnsent(&o.Orders, h.now)
		return
	}
	if o.Orders.Epoch < m.epoch || h.happens(0.02) {
		return
	}
	m.epoch = o.Orders.Epoch
	refused := (o.Orders.Agent != "" && o.Orders.Agent != m.agent) || o.Orders.Life != m.life || m.fence != m.token()
	var results []cowslipbend.RunResult
	for i := range o.Orders.Starts {
		ref := o.Orders.Starts[i].RunRef
		if refused {
			results = append(results, cowslipbend.RunResult{RunRef: ref, Kind: cowslipbend.Absent})
			continue
		}
		assert.Assert(h.t, !h.noted[ref.Task], "%v starts after its task is done", ref)
		assert.Assert(h.t, ref.Run > h.newest[ref.Task], "%v starts after run %d", ref, h.newest[ref.Task])
		h.newest[ref.Task] = ref.Run
		m.running[ref] = work{h.now, cowslipbend.Second + cowslipbend.Span(h.rng.Int64N(20_000))}
		results = append(results, cowslipbend.RunResult{RunRef: ref, Kind: cowslipbend.Started})
	}
	for _, ref := range o.Orders.Stops {
		if _, runs := m.running[ref]; runs && !refused {
			delete(m.running, ref)
			m.lastEnd++
			m.ends = append(m.ends, cowslipbend.RunEnd{RunRef: ref, Number: m.lastEnd, Kind: cowslipbend.EndStopped})
		} else if !runs {
			results = append(results, cowslipbend.RunResult{RunRef: ref, Kind: cowslipbend.Absent})
		}
	}
	r := h.reportOf(m)
	r.Results = results
	h.plan.ApplyAnswer(&r, h.now, h.now)
}

// disturb plays what may happen to a machine. Reports that it sends while it is cut off are held,
// and delivered in any order once the cut has ended.
func (h *history) disturb(m *machine) {
	switch {
	case h.happens(0.004):
		delete(h.machines, m.url)
		h.addMachine()
	case h.happens(0.004):
		m.cutUntil = h.now.Add(cowslipbend.Second + cowslipbend.Span(h.rng.Int64N(40_000)))
	case h.happens(0.004):
		h.restartAgent(m)
	case h.happens(0.003):
		h.restartRunner(m)
	}
	if h.now < m.cutUntil && h.happens(0.3) {
		h.held = append(h.held, heldReport{h.reportOf(m), m.cutUntil.Add(cowslipbend.Span(h.rng.Int64N(15_000)))})
	}
}

func (h *history) tick(faults bool) {
	h.now = h.now.Add(historyTick)
	for _, url := range slices.Sorted(maps.Keys(h.machines)) {
		m := h.machines[url]
		h.work(m)
		if faults {
			h.disturb(m)
		}
		if h.machines[url] == m && h.now >= m.cutUntil && h.happens(0.5) {
			h.report(m)
		}
	}
	h.held = slices.DeleteFunc(h.held, func(r heldReport) bool {
		if h.now < r.at {
			return false
		}
		h.plan.ApplyReport(&r.report, h.now)
		h.plan.Reply(&r.report, h.now)
		return true
	})
	if faults && h.happens(0.005) {
		h.changeOwner()
	}
	h.decide()
	running := map[cowslipbend.TaskRef]string{}
	for url, m := range h.machines {
		for ref := range m.running {
			assert.Assert(h.t, running[ref.Task] == "", "%v runs on %s and %s", ref, url, running[ref.Task])
			running[ref.Task] = url
		}
	}
}

// TestForgottenAgentsAreSafe guards against agents that are forgotten too early: a task of which two runs
// work at once, or that starts after its end, a runner that refuses its agent, and rows that stay.
func TestForgottenAgentsAreSafe(t *testing.T) {
	const disturbed, settling = 2000, 800
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			h := newHistory(t, seed)
			for i := range disturbed + settling {
				if i%100 == 50 && i < disturbed {
					f := flow(fmt.Sprint("g", i), step(3, 1))
					h.flows[f.ID] = f
					h.plan.Submit(f)
				}
				h.tick(i < disturbed)
			}
			for id := range h.flows {
				assertState(t, &pool{plan: h.plan}, string(id), cowslipbend.FlowDone)
			}
			want := map[string]cowslipbend.Incarnation{}
			for url, m := range h.machines {
				want[url] = m.life
			}
			assert.DeepEqual(t, h.agents, want)
		})
	}
}
