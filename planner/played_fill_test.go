package planner_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
	"cowslipbend.dev/estimator"
	"cowslipbend.dev/pacer"
)

// fillLoad plays hosts with serving tasks whose load swings, and filling tasks that
// interfere with them: one image strongly with two of three serving images, the others
// weakly. Each host has a pacer. The load is that of hosts that are nearly full.
type fillLoad struct {
	*pool
	pacers map[string]*pacer.Pacer
	models map[string]*estimator.Estimator
	pace   map[cowslipbend.RunRef]int
	// worked is the progress of filling runs, loads the mean load of serving runs
	// since the last report.
	worked map[cowslipbend.RunRef]cowslipbend.Span
	loads  map[cowslipbend.RunRef]float64
	flows  map[cowslipbend.JobID]*cowslipbend.Flow
	// inTime holds the filling flows that met their target; over counts the reports of
	// serving tasks with a tail over their target.
	inTime        map[cowslipbend.JobID]bool
	reports, over int
}

const (
	fillTick   = 50 * cowslipbend.Millisecond
	fillReport = 500 * cowslipbend.Millisecond
	fillLength = 2 * cowslipbend.Second
	// fillArrivals is the time between two filling flows, fillBound the time in which
	// one is due.
	fillArrivals = 500 * cowslipbend.Millisecond
	fillBound    = 2*fillLength + cowslipbend.Second
	// fillTarget is the highest tail latency of a serving task.
	fillTarget = 50 * cowslipbend.Millisecond
)

func newFillLoad(t *testing.T) *fillLoad {
	d := &fillLoad{
		pool: newPool(t, 8), pacers: map[string]*pacer.Pacer{}, models: map[string]*estimator.Estimator{}, pace: map[cowslipbend.RunRef]int{},
		worked: map[cowslipbend.RunRef]cowslipbend.Span{}, loads: map[cowslipbend.RunRef]float64{}, flows: map[cowslipbend.JobID]*cowslipbend.Flow{},
		inTime: map[cowslipbend.JobID]bool{},
	}
	for name, r := range d.pool.reports {
		r.Host.Size = cowslipbend.Resources{CPU: 16 * cowslipbend.Core, Mem: 64 * cowslipbend.GB}
		d.report(name)
		d.models[name] = estimator.New()
		d.pacers[name] = pacer.New(d.models[name])
	}
	for i := range 6 {
		s := step(5, 3)
		s.Lasting, s.Image, s.TailTarget, s.MaxPerHost = true, fmt.Sprint("serving", i%3), fillTarget, 2
		d.submit(flow(fmt.Sprint("serving", i), s))
	}
	return d
}

func (d *fillLoad) submit(f *cowslipbend.Flow) {
	f.AcceptedAt, d.flows[f.ID] = d.now, f
	d.plan.Submit(f)
}

// baseLoad returns the load of a serving flow without filling work. Flows swing with
// the same period and different phases.
func (d *fillLoad) baseLoad(id cowslipbend.JobID) float64 {
	phase := float64(id[len(id)-1])
	return 0.45 * (1 + 0.5*math.Sin(2*math.Pi*float64(d.now)/14_000+2.4*phase))
}

func interference(serving, filling string) float64 {
	if filling == "filling0" && serving != "serving0" {
		return 2.8
	}
	return 0.15
}

// play lets time pass, while a filling flow of eight tasks arrives every fillArrivals.
func (d *fillLoad) play(span cowslipbend.Span) {
	for end := d.now.Add(span); d.now < end; {
		d.now = d.now.Add(fillTick)
		if d.now%cowslipbend.Time(fillArrivals) == 0 {
			f := filling(8, 2)
			f.Image, f.Length, f.Size.CPU, f.SavesCheckpoints = fmt.Sprint("filling", d.now/cowslipbend.Time(fillArrivals)%5), fillLength, 18*cowslipbend.Core/10, true
			d.submit(flow(fmt.Sprint("filling-", d.now), f))
		}
		for _, name := range slices.Sorted(maps.Keys(d.pool.reports)) {
			r := d.pool.reports[name]
			d.work(name, r)
			if d.now%cowslipbend.Time(fillReport) == 0 {
				d.sample(name, r)
			}
		}
		for name, o := range d.decide() {
			for _, ref := range o.Stops {
				d.endRun(name, ref, cowslipbend.EndStopped)
			}
			for i := range o.Starts {
				d.pace[o.Starts[i].RunRef] = 100
			}
			d.startRunsAt(map[string]cowslipbend.HostOrders{name: o}, 100)
		}
	}
}

func (d *fillLoad) stepOf(ref cowslipbend.RunRef) *cowslipbend.Step {
	return &d.flows[ref.Task.Job].Steps[0]
}

// work lets the runs of a host work for a tick, and ends those that are done.
func (d *fillLoad) work(name string, r *cowslipbend.HostReport) {
	var done []cowslipbend.RunRef
	for _, run := range r.Running {
		s := d.stepOf(run.RunRef)
		if s.Fills {
			d.worked[run.RunRef] += fillTick * cowslipbend.Span(d.pace[run.RunRef]) / 100
			if d.worked[run.RunRef] >= fillLength {
				done = append(done, run.RunRef)
			}
			continue
		}
		load := d.baseLoad(run.Task.Job)
		for _, other := range r.Running {
			if f := d.stepOf(other.RunRef); f.Fills {
				load += interference(s.Image, f.Image) * float64(f.Size.CPU) / float64(r.Host.Size.CPU) * float64(d.pace[other.RunRef]) / 100
			}
		}
		d.loads[run.RunRef] += load * float64(fillTick) / float64(fillReport)
	}
	for _, ref := range done {
		d.endRun(name, ref, cowslipbend.EndDone)
		f := d.flows[ref.Task.Job]
		if state, _ := d.plan.State(f.ID); state == cowslipbend.FlowDone && d.now.Sub(f.AcceptedAt) <= fillBound {
			d.inTime[f.ID] = true
		}
	}
}

// sample reports what the host measured and sets the paces.
func (d *fillLoad) sample(name string, r *cowslipbend.HostReport) {
	var serving []estimator.Serving
	var runs []pacer.Run
	hostCPU := float64(r.Host.Size.CPU)
	for i := range r.Running {
		state := &r.Running[i]
		s, pace := d.stepOf(state.RunRef), d.pace[state.RunRef]
		if s.Fills {
			state.TailOrCPU, state.Percent = int64(s.Size.CPU)*int64(pace)/100, int(100*d.worked[state.RunRef]/fillLength)
			share := float64(s.Size.CPU) / hostCPU
			runs = append(runs, pacer.Run{Ref: state.RunRef, Image: s.Image, RequestedShare: share, UsedShare: share * float64(pace) / 100, Pace: pace})
			continue
		}
		state.TailOrCPU, state.Percent = int64(math.Round(10/(1-min(d.loads[state.RunRef], 0.98)))), 100
		delete(d.loads, state.RunRef)
		d.reports++
		if state.TailOrCPU > int64(fillTarget) {
			d.over++
		}
		serving = append(serving, estimator.Serving{Image: s.Image, Group: string(state.Task.Job), Tail: float64(state.TailOrCPU), Target: float64(fillTarget)})
	}
	d.models[name].UpdatePairs(d.report(name).Pairs)
	for ref, pace := range d.pacers[name].Decide(d.now, serving, runs) {
		d.pace[ref] = pace
	}
}

// assertServed asserts the share of the filling flows that met their target, of those
// that had the time for it, and that of the serving tasks' time over their target.
func (d *fillLoad) assertServed(minInTime, maxOver float64) {
	d.t.Helper()
	due, met := 0, 0
	for id, f := range d.flows {
		if f.Steps[0].Fills && d.now.Sub(f.AcceptedAt) >= fillBound {
			due++
			if d.inTime[id] {
				met++
			}
		}
	}
	inTime, over := float64(met)/float64(due), float64(d.over)/float64(d.reports)
	d.t.Logf("%.2f of %d flows in time, %.3f of %d reports over the target", inTime, due, over, d.reports)
	assert.Assert(d.t, inTime >= minInTime && over <= maxOver, "in time %.2f, over the target %.3f", inTime, over)
}

// TestPlayedFilling plays a load of filling flows beside serving tasks. It guards
// against swings of the serving load that are taken for interference, and against a new
// owner that lets strongly interfering tasks disturb all hosts before it knows them.
func TestPlayedFilling(t *testing.T) {
	const minInTime, maxOver = 0.75, 0.05
	known := newFillLoad(t)
	t.Run("callers and serving tasks are served while images become known", func(t *testing.T) {
		known.t = t
		known.play(40 * cowslipbend.Second)
		known.assertServed(minInTime, maxOver)
	})
	t.Run("they are after a loss of power", func(t *testing.T) {
		row, err := known.plan.TakeInterference()
		assert.NilError(t, err)
		d := newFillLoad(t)
		_, err = d.plan.RestoreInterference(row)
		assert.NilError(t, err)
		d.play(10 * cowslipbend.Second)
		d.assertServed(minInTime, maxOver)
	})
}
