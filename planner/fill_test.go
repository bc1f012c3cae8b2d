package planner_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

// filling returns a step of tasks that fill, with the cores that they declare.
func filling(count int, cores cowslipbend.Millicores) cowslipbend.Step {
	s := step(count, cores)
	s.Fills, s.Image = true, "batch"
	return s
}

// use sets what all runs of the host use.
func (p *pool) use(name string, cpu cowslipbend.Millicores) {
	for i := range p.reports[name].Running {
		p.reports[name].Running[i].TailOrCPU = int64(cpu)
		p.reports[name].Running[i].Percent++
	}
}

// TestFilling plays filling work that wants more than there is.
func TestFilling(t *testing.T) {
	t.Run("it gets what others leave, and no more", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("plain", step(1, 2)))
		p.obey(p.decide())
		p.plan.Submit(flow("batch", filling(4, 1)))
		assertStarts(t, p.decide(), 2)
	})
	t.Run("work that uses less than it declares leaves room for more", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("batch", filling(8, 1)))
		orders := p.decide()
		assertStarts(t, orders, 4)
		p.obey(orders)
		p.use("h0", cowslipbend.Core*65/100)
		p.report("h0")
		assertStarts(t, p.decide(), 0)
		p.report("h0")
		orders = p.decide()
		assertStarts(t, orders, 1)
		p.obey(orders)
		assertStarts(t, p.decide(), 0)
	})
	t.Run("a run whose figure sinks keeps what it wants", func(t *testing.T) {
		p := newPool(t, 1)
		p.plan.Submit(flow("batch", filling(8, 1)))
		p.obey(p.decide())
		for _, cpu := range []cowslipbend.Millicores{cowslipbend.Core, cowslipbend.Core / 10} {
			p.use("h0", cpu)
			p.report("h0")
		}
		assertStarts(t, p.decide(), 0)
	})
}

// TestSwings plays serving tasks whose own load swings: filling work goes to
// the hosts where it is low now.
func TestSwings(t *testing.T) {
	const target = 18 * cowslipbend.Millisecond
	p := newPool(t, 2)
	serving := step(2, 2)
	serving.Lasting, serving.Image, serving.TailTarget, serving.MaxPerHost = true, "web", target, 1
	p.plan.Submit(flow("a", serving))
	p.obey(p.decide())
	swing := func(tails map[string]int64) {
		for range 6 {
			p.now = p.now.Add(500)
			for name, tail := range tails {
				assert.Equal(t, len(p.reports[name].Running), 1)
				p.reports[name].Running[0].TailOrCPU = tail
				p.report(name)
			}
		}
	}
	fills := func(id string) string {
		small := filling(1, 1)
		small.Size.CPU = cowslipbend.Core / 2
		p.plan.Submit(flow(id, small))
		orders := p.decide()
		if len(starts(orders)) == 0 {
			p.plan.Cancel(cowslipbend.JobID(id))
			p.decide()
			return ""
		}
		name, ref := only(t, orders)
		p.obey(orders)
		p.finish(name, ref, cowslipbend.EndDone)
		return name
	}
	swing(map[string]int64{"h0": 15, "h1": 6})
	assert.Equal(t, fills("one"), "h1")
	swing(map[string]int64{"h0": 6, "h1": 15})
	assert.Equal(t, fills("two"), "h0")
	swing(map[string]int64{"h0": 17, "h1": 17})
	assert.Equal(t, fills("three"), "")
}

// TestUnknown plays an image that nobody has seen beside what serves: it comes
// in small doses, as it may press heavily.
func TestUnknown(t *testing.T) {
	p := newPool(t, 1)
	serving := step(1, 2)
	serving.Lasting, serving.Image, serving.TailTarget = true, "web", 18*cowslipbend.Millisecond
	p.plan.Submit(flow("a", serving))
	p.obey(p.decide())
	for range 4 {
		p.now = p.now.Add(500)
		p.reports["h0"].Running[0].TailOrCPU = 6
		p.report("h0")
	}
	batch := filling(6, 1)
	batch.Size.CPU = cowslipbend.Core / 2
	p.plan.Submit(flow("batch", batch))
	orders := p.decide()
	assertStarts(t, orders, 1)
	p.obey(orders)
	for range 6 {
		p.now = p.now.Add(500)
		p.use("h0", cowslipbend.Core/2)
		p.now = p.now.Add(500)
		p.reports["h0"].Running[0].TailOrCPU = 6
		p.reports["h0"].Running[0].Percent = 100
		p.report("h0")
	}
	orders = p.decide()
	assert.Assert(t, len(starts(orders)) > 1, "an image that presses lightly is held back: %v", starts(orders))
}

// TestPatience plays filling work that disturbs all that serves: it may be slow
// while processors are free, but not wait for ever.
func TestPatience(t *testing.T) {
	begin := func(t *testing.T, cores cowslipbend.Millicores) *pool {
		t.Helper()
		p := newPool(t, 1)
		serving := step(1, cores)
		serving.Lasting, serving.Image, serving.TailTarget = true, "web", 18*cowslipbend.Millisecond
		p.plan.Submit(flow("a", serving))
		p.obey(p.decide())
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
	t.Run("with processors free it starts", func(t *testing.T) {
		p := begin(t, 2)
		assertStarts(t, p.decide(), 0)
		p.now = p.now.Add(400)
		p.report("h0")
		assertStarts(t, p.decide(), 1)
	})
	t.Run("under load it waits", func(t *testing.T) {
		p := begin(t, 3)
		p.now = p.now.Add(1000)
		p.report("h0")
		assertStarts(t, p.decide(), 0)
	})
}
