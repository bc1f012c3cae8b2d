package planner_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// filling returns a step of filling tasks that declare the cores.
func filling(count int, cores cowslipbend.Millicores) cowslipbend.Step {
	s := step(count, cores)
	s.Fills, s.Image = true, "batch"
	return s
}

// setUsage sets the processors in use of all runs of the host.
func (p *pool) setUsage(name string, cpu cowslipbend.Millicores) {
	for i := range p.reports[name].Running {
		p.reports[name].Running[i].TailOrCPU = int64(cpu)
		p.reports[name].Running[i].Percent++
	}
}

// TestFilling checks how many filling tasks are placed when they declare more
// processors than are free.
func TestFilling(t *testing.T) {
	t.Run("filling tasks get only the processors that other tasks leave", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("plain", step(1, 2)))
		p.startRuns(p.decide())
		p.plan.Submit(flow("batch", filling(4, 1)))
		assertStarts(t, p.decide(), 2)
	})
	t.Run("tasks that use less than they declare leave processors for more", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("batch", filling(8, 1)))
		orders := p.decide()
		assertStarts(t, orders, 4)
		p.startRuns(orders)
		p.setUsage("h0", cowslipbend.Core*65/100)
		p.report("h0")
		assertStarts(t, p.decide(), 0)
		p.report("h0")
		orders = p.decide()
		assertStarts(t, orders, 1)
		p.startRuns(orders)
		assertStarts(t, p.decide(), 0)
	})
	t.Run("a run keeps its demand when its use falls", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("batch", filling(8, 1)))
		p.startRuns(p.decide())
		for _, cpu := range []cowslipbend.Millicores{cowslipbend.Core, cowslipbend.Core / 10} {
			p.setUsage("h0", cpu)
			p.report("h0")
		}
		assertStarts(t, p.decide(), 0)
	})
}

// TestBaseLoadVaries checks that filling tasks are placed where the base load
// of the serving tasks, which varies, is low at the time.
func TestBaseLoadVaries(t *testing.T) {
	const target = 18 * cowslipbend.Millisecond
	p := newPool(t, 2)
	serving := step(2, 2)
	serving.Lasting, serving.Image, serving.TailTarget, serving.MaxPerHost = true, "web", target, 1
	p.plan.Submit(flow("a", serving))
	p.startRuns(p.decide())
	reportTails := func(tails map[string]int64) {
		for range 6 {
			p.now = p.now.Add(500)
			for name, tail := range tails {
				assert.Equal(t, len(p.reports[name].Running), 1)
				p.reports[name].Running[0].TailOrCPU = tail
				p.report(name)
			}
		}
	}
	placeFilling := func(id string) string {
		small := filling(1, 1)
		small.Size.CPU = cowslipbend.Core / 2
		p.plan.Submit(flow(id, small))
		orders := p.decide()
		if len(starts(orders)) == 0 {
			p.plan.Cancel(cowslipbend.JobID(id))
			p.decide()
			return ""
		}
		name, ref := onlyStart(t, orders)
		p.startRuns(orders)
		p.endRun(name, ref, cowslipbend.EndDone)
		return name
	}
	reportTails(map[string]int64{"h0": 15, "h1": 6})
	assert.Equal(t, placeFilling("one"), "h1")
	reportTails(map[string]int64{"h0": 6, "h1": 15})
	assert.Equal(t, placeFilling("two"), "h0")
	reportTails(map[string]int64{"h0": 17, "h1": 17})
	assert.Equal(t, placeFilling("three"), "")
}

// newServingPool returns a pool of one host with a serving task that has little load,
// after some reports.
func newServingPool(t *testing.T) *pool {
	t.Helper()
	p := newPool(t, 1)
	serving := step(1, 2)
	serving.Lasting, serving.Image, serving.TailTarget = true, "web", 18*cowslipbend.Millisecond
	p.plan.Submit(flow("a", serving))
	p.startRuns(p.decide())
	p.reportTails(4)
	return p
}

// reportTails sends reports with a low tail latency of the serving task.
func (p *pool) reportTails(count int) {
	for range count {
		p.now = p.now.Add(500)
		p.reports["h0"].Running[0].TailOrCPU, p.reports["h0"].Running[0].Percent = 6, 100
		p.report("h0")
	}
}

// TestUnknownImage checks that at first few filling tasks of an unknown image
// are placed beside serving tasks, as it may interfere strongly.
func TestUnknownImage(t *testing.T) {
	batch := filling(6, 1)
	batch.Size.CPU = cowslipbend.Core / 2
	p := newServingPool(t)
	p.plan.Submit(flow("batch", batch))
	orders := p.decide()
	assertStarts(t, orders, 1)
	p.startRuns(orders)
	for range 6 {
		p.now = p.now.Add(500)
		p.setUsage("h0", cowslipbend.Core/2)
		p.reportTails(1)
	}
	orders = p.decide()
	assert.Assert(t, len(starts(orders)) > 1, "filling image with weak interference is held back: %v", starts(orders))
	t.Run("a new owner knows the image", func(t *testing.T) {
		data, err := p.plan.TakeInterference()
		assert.NilError(t, err)
		successor := newServingPool(t)
		n, err := successor.plan.RestoreInterference(data)
		assert.NilError(t, err)
		assert.Equal(t, n, 1)
		successor.plan.Submit(flow("batch", batch))
		assert.Assert(t, len(starts(successor.decide())) > 1)
	})
	t.Run("estimates that have not changed are taken once", func(t *testing.T) {
		data, err := p.plan.TakeInterference()
		assert.NilError(t, err)
		assert.Assert(t, data == nil)
	})
}

// TestUnplacedFilling checks that filling tasks that disturb all serving tasks
// start after a while if processors are free, though they will be slow, so that
// they do not wait for ever.
func TestUnplacedFilling(t *testing.T) {
	setUp := func(t *testing.T, cores cowslipbend.Millicores) *pool {
		t.Helper()
		p := newPool(t, 1)
		serving := step(1, cores)
		serving.Lasting, serving.Image, serving.TailTarget = true, "web", 18*cowslipbend.Millisecond
		p.plan.Submit(flow("a", serving))
		p.startRuns(p.decide())
		p.plan.Submit(flow("batch", filling(1, 1)))
		for range 3 {
			p.now = p.now.Add(400)
			p.reports["h0"].Running[0].TailOrCPU = 17
			p.report("h0")
			assertStarts(t, p.decide(), 0)
		}
		p.now = p.now.Add(400)
		p.report("h0")
		return p
	}
	t.Run("a task starts while processors are free", func(t *testing.T) {
		p := setUp(t, 2)
		assertStarts(t, p.decide(), 0)
		p.now = p.now.Add(400)
		p.report("h0")
		assertStarts(t, p.decide(), 1)
	})
	t.Run("each flow gets a task beside filling work that uses all processors, and all of its tasks run", func(t *testing.T) {
		const (
			round     = 400 * cowslipbend.Millisecond
			duration  = 1200 * cowslipbend.Millisecond
			maxWait   = 2500 * cowslipbend.Millisecond
			wideCount = 6
		)
		p := newPool(t, 2)
		serving := step(2, 1)
		serving.Lasting, serving.Image, serving.TailTarget, serving.MaxPerHost = true, "web", 18*cowslipbend.Millisecond, 1
		p.plan.Submit(flow("a", serving))
		p.startRuns(p.decide())
		early := filling(6, 1)
		early.Image = "early"
		p.plan.Submit(flow("early", early))
		p.startRuns(p.decide())
		wide := filling(wideCount, 1)
		wide.Size.Mem = cowslipbend.GB / 10
		p.plan.Submit(flow("wide", wide))
		// idleSince is since when a flow has had nothing running, startedAt when
		// each run began.
		idleSince, startedAt := map[cowslipbend.JobID]cowslipbend.Time{"wide": p.now}, map[cowslipbend.RunRef]cowslipbend.Time{}
		done := 0
		for i := range 200 {
			if i%10 == 0 && i < 60 {
				small := filling(1, 1)
				small.Size.Mem = cowslipbend.GB / 10
				id := fmt.Sprint("small", i)
				p.plan.Submit(flow(id, small))
				idleSince[cowslipbend.JobID(id)] = p.now
			}
			p.now = p.now.Add(round)
			for name, r := range p.reports {
				for j := range r.Running {
					if r.Running[j].Task.Job == "a" {
						r.Running[j].Percent, r.Running[j].TailOrCPU = 100, 17
					} else {
						r.Running[j].TailOrCPU = int64(cowslipbend.Core)
					}
				}
				p.report(name)
			}
			for name, r := range p.reports {
				for _, run := range r.Running {
					if at, ok := startedAt[run.RunRef]; ok && p.now.Sub(at) >= duration {
						p.endRun(name, run.RunRef, cowslipbend.EndDone)
						delete(startedAt, run.RunRef)
						idleSince[run.Task.Job] = p.now
						done++
						break
					}
				}
			}
			orders := p.decide()
			p.startRuns(orders)
			for _, ref := range starts(orders) {
				if ref.Task.Job != "early" {
					startedAt[ref] = p.now
					delete(idleSince, ref.Task.Job)
				}
			}
			for id, since := range idleSince {
				if s, _ := p.plan.State(id); s.Ended() {
					delete(idleSince, id)
					continue
				}
				assert.Assert(t, p.now.Sub(since) <= maxWait, "flow %s has had nothing running for %s", id, p.now.Sub(since))
			}
		}
		assertState(t, p, "wide", cowslipbend.FlowDone)
		assert.Equal(t, done, wideCount+6)
	})
	t.Run("a task waits under load", func(t *testing.T) {
		p := setUp(t, 3)
		p.now = p.now.Add(1000)
		p.report("h0")
		assertStarts(t, p.decide(), 0)
	})
}

// TestChangedPairs checks which estimates the replies to reports hold.
func TestChangedPairs(t *testing.T) {
	// setUp returns a pool with one host on which a filling task runs beside a
	// serving one, and whose estimates are known.
	setUp := func(t *testing.T) *pool {
		p := newPool(t, 1)
		serving := step(1, 2)
		serving.Lasting, serving.Image, serving.TailTarget = true, "web", 18*cowslipbend.Millisecond
		p.plan.Submit(flow("a", serving))
		batch := filling(1, 1)
		p.plan.Submit(flow("batch", batch))
		p.startRuns(p.decide())
		for range 6 {
			p.now = p.now.Add(500)
			p.setUsage("h0", cowslipbend.Core)
			for i := range p.reports["h0"].Running {
				p.reports["h0"].Running[i].Percent = 100
			}
			p.report("h0")
		}
		return p
	}
	// reply answers the last report again.
	reply := func(p *pool) cowslipbend.ReportReply { return p.plan.Reply(p.reports["h0"], p.now) }
	received := func(p *pool, r cowslipbend.ReportReply) {
		p.reports["h0"].PairsVersion, p.reports["h0"].PairsEpoch = r.PairsVersion, r.Epoch
	}
	t.Run("estimates are sent once", func(t *testing.T) {
		p := setUp(t)
		first := reply(p)
		assert.Equal(t, len(first.Pairs), 1)
		received(p, first)
		assert.Equal(t, len(reply(p).Pairs), 0)
	})
	t.Run("estimates of a lost reply are sent again", func(t *testing.T) {
		p := setUp(t)
		assert.Equal(t, len(reply(p).Pairs), 1)
		assert.Equal(t, len(reply(p).Pairs), 1)
	})
	t.Run("a version of an earlier owner does not count", func(t *testing.T) {
		p := setUp(t)
		first := reply(p)
		received(p, first)
		p.reports["h0"].PairsEpoch--
		assert.Equal(t, len(reply(p).Pairs), 1)
	})
	t.Run("a new image on the host gets all its estimates", func(t *testing.T) {
		p := setUp(t)
		received(p, reply(p))
		// The estimates are known already when the image comes to the host again.
		p.plan.Cancel("a")
		p.decide()
		for _, r := range p.reports["h0"].Running {
			if r.Task.Job == "a" {
				p.endRun("h0", r.RunRef, cowslipbend.EndStopped)
				break
			}
		}
		p.decide()
		assert.Equal(t, len(reply(p).Pairs), 0)
		serving := step(1, 2)
		serving.Lasting, serving.Image, serving.TailTarget = true, "web", 18*cowslipbend.Millisecond
		p.plan.Submit(flow("b", serving))
		p.startRuns(p.decide())
		p.report("h0")
		assert.Equal(t, len(reply(p).Pairs), 1)
	})
}
