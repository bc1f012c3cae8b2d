package planner_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/planner"
)

// Times of a crash as hosts show them.
const (
	crashNotice  = 300 * cowslipbend.Millisecond
	crashRestart = 3 * cowslipbend.Second
	// maxCrashStarts is how often a task that crashes every host may be started: two
	// times after three hosts have crashed under it.
	maxCrashStarts = 5
)

// crashes is a race in which some tasks crash the hosts that start them.
type crashes struct {
	*race
	// crashesHost tells whether a run crashes its host, crashAge how long after its
	// start.
	crashesHost func(ref cowslipbend.RunRef) bool
	crashAge    cowslipbend.Span
	// lost holds the crashed hosts until they are back, with the time of the crash.
	lost map[string]cowslipbend.Time
	// specs holds the hosts as they come back.
	specs map[string]cowslipbend.HostSpec
	lives int
	// planned hosts announce their end, unreachable ones are missed only when their
	// lease has lapsed.
	planned, unreachable bool
	// gangs holds the flows whose tasks only work together.
	gangs map[cowslipbend.JobID]bool
	// rows holds the committed progress.
	rows map[cowslipbend.JobID][]byte
	// started counts the starts of each task, crashCount the crashes.
	started    map[cowslipbend.TaskRef]int
	crashCount int
}

func newCrashes(t *testing.T, hosts int, crashesHost func(ref cowslipbend.RunRef) bool) *crashes {
	c := &crashes{
		race:        newRace(t, hosts, func(string, cowslipbend.RunRef) cowslipbend.Span { return cowslipbend.Second }),
		crashesHost: crashesHost, lost: map[string]cowslipbend.Time{}, specs: map[string]cowslipbend.HostSpec{}, started: map[cowslipbend.TaskRef]int{},
		rows: map[cowslipbend.JobID][]byte{},
	}
	for _, name := range c.names() {
		c.specs[name] = *c.reports[name].Host
	}
	return c
}

// run lets the time pass.
func (c *crashes) run(span cowslipbend.Span) {
	c.t.Helper()
	for end := c.now.Add(span); c.now < end; {
		c.now = c.now.Add(raceTick)
		for _, name := range c.names() {
			c.work(name)
		}
		for name, o := range c.commit() {
			if o.Life == c.specs[name].Life && c.lost[name] == 0 {
				c.execute(map[string]cowslipbend.HostOrders{name: o})
				for i := range o.Starts {
					c.started[o.Starts[i].Task]++
				}
			} else {
				c.plan.RevertUnsent(&o, c.now)
			}
		}
	}
}

// commit returns the orders of one decision, whose progress it keeps.
func (c *crashes) commit() map[string]cowslipbend.HostOrders {
	c.t.Helper()
	orders := map[string]cowslipbend.HostOrders{}
	for _, a := range c.plan.Decide(c.now, c.now, c.now) {
		orders[a.URL] = a.Orders
	}
	for _, id := range c.plan.DirtyFlows() {
		row, err := c.plan.TakeProgress(id)
		assert.NilError(c.t, err)
		c.rows[id] = row
	}
	c.plan.MarkCommitted(c.now)
	return orders
}

// work lets one host work, crash, be missed or come back.
func (c *crashes) work(name string) {
	if at := c.lost[name]; at > 0 {
		switch down := c.now.Sub(at); {
		case down >= crashRestart:
			c.restart(name)
		case down >= crashNotice && c.now%500 == 0:
			c.report(name)
		}
		return
	}
	for i := range c.reports[name].Running {
		if ref := c.reports[name].Running[i].RunRef; c.crashesHost(ref) && c.now.Sub(c.startedAt[ref]) >= c.crashAge {
			c.crash(name)
			return
		}
	}
	c.list(name)
}

// crash ends a host and all its runs without notice.
func (c *crashes) crash(name string) {
	r := c.reports[name]
	loss := &cowslipbend.HostLoss{Life: r.Host.Life, Cause: cowslipbend.LossCrashed}
	switch {
	case c.planned:
		loss.Cause = cowslipbend.LossLeft
	case c.unreachable:
		loss.Cause = cowslipbend.LossLapsed
	}
	for i := range r.Running {
		ref := r.Running[i].RunRef
		if age := c.now.Sub(c.startedAt[ref]); age <= cowslipbend.YoungRunAge {
			loss.Young = append(loss.Young, cowslipbend.LostRun{RunRef: ref, Age: age})
		}
	}
	slices.SortFunc(loss.Young, func(a, b cowslipbend.LostRun) int { return cmp.Compare(a.Age, b.Age) })
	r.Host, r.LostLife, r.Loss, r.Running, r.Ends = nil, r.Host.Life, loss, nil, nil
	c.lost[name] = c.now
	c.crashCount++
	for _, l := range loss.Young {
		if c.gangs[l.Task.Job] {
			c.breakGang(l.Task.Job)
		}
	}
}

// breakGang ends the members of a gang of which one was lost.
func (c *crashes) breakGang(id cowslipbend.JobID) {
	for _, name := range c.names() {
		for _, s := range slices.Clone(c.reports[name].Running) {
			if s.Task.Job == id {
				c.endRun(name, s.RunRef, cowslipbend.EndBroken)
			}
		}
	}
}

// crashNewest crashes the host on which a run was started last.
func (c *crashes) crashNewest() {
	newest, at := "", cowslipbend.Time(0)
	for _, name := range c.names() {
		for _, s := range c.reports[name].Running {
			if started := c.startedAt[s.RunRef]; started > at {
				newest, at = name, started
			}
		}
	}
	if newest != "" {
		c.crash(newest)
	}
}

// restart brings a crashed host back.
func (c *crashes) restart(name string) {
	c.lives++
	spec := c.specs[name]
	spec.Life = cowslipbend.Incarnation(fmt.Sprint(name, "@", 1000+c.lives))
	c.specs[name] = spec
	c.reports[name].Host, c.reports[name].LostLife, c.lost[name] = &spec, "", 0
	c.report(name)
}

// submit submits flows of one step of four tasks, one every two ticks.
func (c *crashes) submit(count int) {
	c.t.Helper()
	for i := range count {
		c.plan.Submit(flow(fmt.Sprint("f", i), step(4, 1)))
		c.run(2 * raceTick)
	}
}

// firstOf returns a function that tells whether a run is of the first task of one of
// the flows.
func firstOf(flows ...cowslipbend.JobID) func(ref cowslipbend.RunRef) bool {
	return func(ref cowslipbend.RunRef) bool {
		return ref.Task.Index == 0 && slices.Contains(flows, ref.Task.Job)
	}
}

// assertStarts checks that no first task of the flows was started too often.
func (c *crashes) assertStarts(flows ...cowslipbend.JobID) {
	c.t.Helper()
	for _, id := range flows {
		count := c.started[cowslipbend.TaskRef{Job: id}]
		assert.Assert(c.t, count <= maxCrashStarts, "the first task of %s was started %d times", id, count)
	}
}

// assertStates checks that the bad flows have failed and all others are done.
func (c *crashes) assertStates(count int, bad ...cowslipbend.JobID) {
	c.t.Helper()
	for i := range count {
		id := cowslipbend.JobID(fmt.Sprint("f", i))
		want := cowslipbend.FlowDone
		if slices.Contains(bad, id) {
			want = cowslipbend.FlowFailed
		}
		assertState(c.t.(*testing.T), c.pool, string(id), want)
	}
}

// changeOwner starts a new owner from the stored progress.
func (c *crashes) changeOwner(count int) {
	c.t.Helper()
	c.plan = planner.New(epoch, options())
	c.plan.SetRules(&cowslipbend.Rules{})
	for i := range count {
		f := flow(fmt.Sprint("f", i), step(4, 1))
		if row := c.rows[f.ID]; row != nil {
			assert.NilError(c.t, c.plan.Restore(f, row, c.now))
		} else {
			c.plan.Submit(f)
		}
	}
	var agents []planner.AgentRow
	for _, name := range c.names() {
		agents = append(agents, planner.AgentRow{URL: name, RunnerLife: c.specs[name].Life})
	}
	c.plan.ExpectAgents(agents, c.now)
}

// It guards against a task that crashes one host after another.
func TestTaskThatCrashesHostsIsGivenUp(t *testing.T) {
	bad := []cowslipbend.JobID{"f3", "f7", "f12"}
	for _, age := range []cowslipbend.Span{0, 100, 600} {
		t.Run(fmt.Sprintf("%d ms after its start", age), func(t *testing.T) {
			c := newCrashes(t, 10, firstOf(bad...))
			c.crashAge = age
			c.submit(20)
			c.run(20 * cowslipbend.Second)
			c.assertStarts(bad...)
			c.assertStates(20, bad...)
		})
	}
	for name, change := range map[string]func(s *cowslipbend.Step){
		"in a gang":                  func(s *cowslipbend.Step) { s.Gang = true },
		"in one rack":                func(s *cowslipbend.Step) { s.Compact = true },
		"one a host":                 func(s *cowslipbend.Step) { s.MaxPerHost = 1 },
		"with copies":                func(s *cowslipbend.Step) { s.AllowsCopies = true },
		"filling idle processors":    func(s *cowslipbend.Step) { s.Fills = true },
		"lasting until it is ended":  func(s *cowslipbend.Step) { s.Lasting = true },
		"filling a host by its size": func(s *cowslipbend.Step) { s.Size.CPU = 4 * cowslipbend.Core },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashes(t, 10, firstOf("f1"))
			s := step(4, 1)
			change(&s)
			c.gangs = map[cowslipbend.JobID]bool{"f1": s.Gang}
			c.plan.Submit(flow("f0", step(4, 1)))
			c.plan.Submit(flow("f1", s))
			c.plan.Submit(flow("f2", step(4, 1)))
			c.run(20 * cowslipbend.Second)
			c.assertStarts("f1")
			c.assertStates(3, "f1")
		})
	}
	t.Run("long after its start, beside runs of other flows", func(t *testing.T) {
		c := newCrashes(t, 10, firstOf("f3"))
		c.crashAge = 3 * cowslipbend.Second
		c.lengthOf = func(string, cowslipbend.RunRef) cowslipbend.Span { return 5 * cowslipbend.Second }
		c.submit(20)
		c.run(90 * cowslipbend.Second)
		c.assertStarts("f3")
		c.assertStates(20, "f3")
	})
	t.Run("though the owner changes after each crash", func(t *testing.T) {
		c := newCrashes(t, 10, firstOf("f1"))
		c.submit(4)
		for seen := 0; c.now < 30000; c.run(raceTick) {
			if c.crashCount > seen {
				seen = c.crashCount
				c.changeOwner(4)
			}
		}
		c.assertStarts("f1")
		c.assertStates(4, "f1")
	})
	t.Run("and stops no other flow", func(t *testing.T) {
		c := newCrashes(t, 10, firstOf("f3"))
		c.submit(20)
		c.run(3 * cowslipbend.Second)
		assert.Assert(t, c.crashCount <= 3, "%d crashes", c.crashCount)
	})
}

// It guards against a sound task that is given up as its hosts crash for other causes.
func TestSoundTaskIsNotGivenUp(t *testing.T) {
	for _, every := range []cowslipbend.Span{500, 1000, 2000} {
		t.Run(fmt.Sprintf("a host crashes each %d ms", every), func(t *testing.T) {
			c := newCrashes(t, 10, func(cowslipbend.RunRef) bool { return false })
			for i := range 40 {
				c.plan.Submit(flow(fmt.Sprint("f", i), step(4, 1)))
				c.run(2 * raceTick)
				if c.now%cowslipbend.Time(every) == 0 {
					c.crashNewest()
				}
			}
			c.run(30 * cowslipbend.Second)
			c.assertStates(40)
		})
	}
	t.Run("hosts crash at random under long runs", func(t *testing.T) {
		for seed := range uint64(20) {
			crashAtRandom(t, seed, 1500, 4500)
		}
	})
	t.Run("its hosts leave", func(t *testing.T) {
		c := newCrashes(t, 4, firstOf("f0"))
		c.planned = true
		c.submit(1)
		c.run(10 * cowslipbend.Second)
		assert.Assert(t, c.started[cowslipbend.TaskRef{Job: "f0"}] > maxCrashStarts)
		assertState(t, c.pool, "f0", cowslipbend.FlowRunning)
	})
	t.Run("its hosts cannot be reached", func(t *testing.T) {
		c := newCrashes(t, 4, firstOf("f0"))
		c.unreachable = true
		c.submit(1)
		c.run(10 * cowslipbend.Second)
		assert.Assert(t, c.started[cowslipbend.TaskRef{Job: "f0"}] > maxCrashStarts)
		assertState(t, c.pool, "f0", cowslipbend.FlowRunning)
	})
}

// crashAtRandom has hosts crash under runs of 5 s for a minute, one after a time between the two
// spans, and checks that all flows are done after that.
func crashAtRandom(t *testing.T, seed uint64, minGap, maxGap cowslipbend.Span) {
	t.Helper()
	const flows = 12
	c := newCrashes(t, 10, func(cowslipbend.RunRef) bool { return false })
	c.lengthOf = func(string, cowslipbend.RunRef) cowslipbend.Span { return 5 * cowslipbend.Second }
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := range flows {
		c.plan.Submit(flow(fmt.Sprint("f", i), step(4, 1)))
	}
	for c.now < 60000 {
		c.run(minGap + raceTick*cowslipbend.Span(rng.IntN(int((maxGap-minGap)/raceTick))))
		if name := c.names()[rng.IntN(10)]; c.lost[name] == 0 {
			c.crash(name)
		}
	}
	c.run(cowslipbend.Minute)
	c.assertStates(flows)
}

// It guards against a sound task that is given up while hosts crash all the time.
func TestSoundTaskUnderManyCrashes(t *testing.T) {
	for seed := range uint64(20) {
		crashAtRandom(t, seed, 500, 2500)
	}
}

// assertApart checks that the second runs of the flows were started on a host at other
// times than runs of other flows.
func (c *crashes) assertApart(name string, flows ...cowslipbend.JobID) {
	c.t.Helper()
	for _, tried := range c.reports[name].Running {
		if tried.Run < 2 || !slices.Contains(flows, tried.Task.Job) {
			continue
		}
		for _, other := range c.reports[name].Running {
			apart := c.startedAt[tried.RunRef].Sub(c.startedAt[other.RunRef])
			assert.Assert(c.t, other.Task.Job == tried.Task.Job || max(apart, -apart) >= 100, "%v is tried beside %v on %s", tried.Task, other.Task, name)
		}
	}
}

// It guards against suspected tasks that are tried together, or beside new starts, so
// that their crash tells nothing.
func TestTrial(t *testing.T) {
	c := newCrashes(t, 6, func(cowslipbend.RunRef) bool { return false })
	c.plan.Submit(flow("f0", step(1, 1)))
	c.plan.Submit(flow("f1", step(1, 1)))
	c.plan.Submit(flow("f2", step(1, 1)))
	c.run(2 * raceTick)
	for _, name := range c.names() {
		if len(c.reports[name].Running) > 0 {
			c.crash(name)
		}
	}
	for i := 3; i < 40; i++ {
		small := step(12, 1)
		small.Size = cowslipbend.Resources{CPU: 200, Mem: cowslipbend.MB}
		c.plan.Submit(flow(fmt.Sprint("f", i), small))
		c.run(raceTick)
		for _, name := range c.names() {
			c.assertApart(name, "f0", "f1", "f2")
		}
	}
	c.run(20 * cowslipbend.Second)
	c.assertStates(40)
}

// It guards against flows that wait long for the trials of others while hosts are free.
func TestManyTrials(t *testing.T) {
	const flows = 24
	c := newCrashes(t, 8, func(cowslipbend.RunRef) bool { return false })
	for i := range flows {
		c.plan.Submit(flow(fmt.Sprint("f", i), step(1, 1)))
	}
	c.run(2 * raceTick)
	crashed := 0
	for _, name := range c.names()[:4] {
		crashed += len(c.reports[name].Running)
		c.crash(name)
	}
	assert.Assert(t, crashed >= flows/3, "%d tasks are to be tried", crashed)
	c.run(crashNotice + 3*cowslipbend.Second) // Callers then regard a flow as forgotten.
	for i := range flows {
		id := cowslipbend.JobID(fmt.Sprint("f", i))
		state, _ := c.plan.State(id)
		started := c.started[cowslipbend.TaskRef{Job: id}]
		assert.Assert(t, state == cowslipbend.FlowDone || started == 2, "%s was started %d times", id, started)
	}
}
