package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/planner"
)

// newLargeFlow returns a pool of hosts that run all tasks of the flow "f", with checkpoints of the length.
func newLargeFlow(t *testing.T, opts planner.Options, hosts, tasks, checkpoint int) *pool {
	t.Helper()
	p := newPoolWith(t, opts, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	for range hosts {
		name := fmt.Sprintf("i-%08x@%d", rng.Uint32(), 1765123456789+rng.Int64N(1e9))
		p.addHost(name, "r0")
		r := p.reports[name]
		spec := *r.Host
		spec.Life, spec.Size = cowslipbend.Incarnation(name), cowslipbend.Resources{CPU: 1000 * cowslipbend.Core, Mem: 1000 * cowslipbend.GB}
		r.Host = &spec
		p.report(name)
	}
	f := flow("f", step(tasks, 1))
	f.Steps[0].SavesCheckpoints, f.Policy.MaxAttempts = true, 0
	p.plan.Submit(f)
	orders := p.decide()
	for name, o := range orders {
		for i := range o.Starts {
			text := make([]byte, checkpoint)
			for j := range text {
				text[j] = "0123456789abcdef"[rng.IntN(16)]
			}
			p.reports[name].Running = append(p.reports[name].Running, cowslipbend.RunState{RunRef: o.Starts[i].RunRef, Percent: 10, Checkpoint: string(text)})
		}
		p.report(name)
	}
	return p
}

// detailOf returns how much the last row holds, or an empty string if that has not changed.
func detailOf(p *pool) (detail planner.RowDetail) {
	for _, e := range p.plan.TakeRowEvents() {
		detail = e.Detail
	}
	return detail
}

// takeRow returns the row of the flow "f", and how much it holds if that has changed.
func takeRow(t *testing.T, p *pool) ([]byte, planner.RowDetail) {
	t.Helper()
	row, err := p.plan.TakeProgress("f")
	assert.NilError(t, err)
	return row, detailOf(p)
}

// TestRowDetail guards against progress that outgrows the rows of the store, and with it all flows.
func TestRowDetail(t *testing.T) {
	opts := options()
	opts.MaxRow = 48 * cowslipbend.KB
	for _, c := range []struct {
		hosts, tasks, checkpoint int
		want                     planner.RowDetail
	}{
		{810, 4000, 0, ""},
		{6, 4000, 16, planner.RowWithoutListed},
		{300, 4000, 36, planner.RowWithoutListed},
		{810, 4000, 36, planner.RowWithoutListed},
		{100, 1000, 36, ""},
	} {
		t.Run(fmt.Sprintf("%d tasks on %d hosts with checkpoints of %d bytes", c.tasks, c.hosts, c.checkpoint), func(t *testing.T) {
			p := newLargeFlow(t, opts, c.hosts, c.tasks, c.checkpoint)
			row, detail := takeRow(t, p)
			assert.Assert(t, cowslipbend.Bytes(len(row)) <= opts.MaxRow, "%d bytes", len(row))
			assert.Equal(t, detail, c.want)
			next := newPoolWith(t, opts, 0)
			f := flow("f", step(c.tasks, 1))
			assert.NilError(t, next.plan.Restore(f, row, next.now))
			assertStarts(t, next.decide(), 0)
		})
	}
	t.Run("tasks that wait keep their checkpoints if these fit", func(t *testing.T) {
		p := newLargeFlow(t, opts, 810, 4000, 36)
		_, detail := takeRow(t, p)
		assert.Equal(t, detail, planner.RowWithoutListed)
		name, kept := "", cowslipbend.RunState{}
		for name = range p.reports {
			if r := p.reports[name]; len(r.Running) > 0 {
				kept = r.Running[0]
				break
			}
		}
		r := p.reports[name]
		r.Running, r.Ends = r.Running[1:], []cowslipbend.RunEnd{{RunRef: kept.RunRef, Number: 1, Kind: cowslipbend.EndStopped, Checkpoint: kept.Checkpoint}}
		p.report(name)
		row, _ := takeRow(t, p)
		decoded, err := planner.DecodeRow("f", row)
		assert.NilError(t, err)
		stored := map[int]string{}
		for _, task := range decoded.Rounds[0].Tasks {
			if task.Checkpoint != "" {
				stored[task.Index] = task.Checkpoint
			}
		}
		assert.DeepEqual(t, stored, map[int]string{kept.Task.Index: kept.Checkpoint})
	})
	t.Run("checkpoints are stored again once they fit", func(t *testing.T) {
		p := newLargeFlow(t, opts, 100, 3000, 36)
		_, detail := takeRow(t, p)
		assert.Equal(t, detail, planner.RowWithoutListed)
		for name, r := range p.reports {
			for _, s := range append([]cowslipbend.RunState(nil), r.Running[1:]...) {
				p.endRun(name, s.RunRef, cowslipbend.EndDone)
			}
		}
		_, detail = takeRow(t, p)
		assert.Equal(t, detail, planner.RowComplete)
	})
	t.Run("a flow that doesn't fit at all fails, and its runs are stopped", func(t *testing.T) {
		small := options()
		small.MaxRow = 460
		p := newLargeFlow(t, small, 10, 100, 0)
		assertState(t, p, "f", cowslipbend.FlowRunning)
		p.plan.Submit(flow("g", step(1, 1)))
		// Failures make its row grow.
		for i := 0; i < 20 && detailOf(p) != planner.RowFailed; i++ {
			for name, r := range p.reports {
				for _, s := range r.Running[:min(len(r.Running), i%7)] {
					p.endRun(name, s.RunRef, cowslipbend.EndFailed)
				}
			}
			p.startRuns(p.decide())
		}
		assertState(t, p, "f", cowslipbend.FlowFailed)
		running := 0
		for name, r := range p.reports {
			p.report(name)
			for _, s := range r.Running {
				if s.Task.Job == "f" {
					running++
				}
			}
		}
		stops := 0
		for _, o := range p.decide() {
			stops += len(o.Stops)
		}
		assert.Assert(t, running > 0)
		assert.Equal(t, stops, running)
	})
	t.Run("what it would have started is not started", func(t *testing.T) {
		small := options()
		small.MaxRow = 300
		p := newPoolWith(t, small, 100)
		p.plan.Submit(flow("f", step(400, 1)))
		orders := p.decide() // Takes the progress of the flow.
		p.plan.MarkCommitted(p.now)
		assertState(t, p, "f", cowslipbend.FlowFailed)
		for name, o := range orders {
			assert.Assert(t, !p.plan.SealStarts(&o, p.now), "%s may start %d runs", name, len(o.Starts))
		}
		for _, o := range p.decide() {
			assert.Equal(t, len(o.Stops), 0)
		}
	})
}
