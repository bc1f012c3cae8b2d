package placer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowslipbend.dev"
)

func size(cores, gigabytes int) cowslipbend.Resources {
	return cowslipbend.Resources{CPU: cowslipbend.Core * cowslipbend.Millicores(cores), Mem: cowslipbend.GB * cowslipbend.Bytes(gigabytes)}
}

// hosts returns usable hosts of 16 cores with one replica of service settle each.
func hosts(n int) []*cowslipbend.Host {
	list := make([]*cowslipbend.Host, n)
	for i := range list {
		list[i] = &cowslipbend.Host{
			Spec: cowslipbend.WorkerSpec{
				ID: cowslipbend.WorkerID(fmt.Sprint("w", i)), Domain: cowslipbend.Domain(fmt.Sprint("d", i%3)),
				Rack: cowslipbend.Rack(fmt.Sprint("r", i%3, "-", i/6)), Size: size(16, 60),
			},
			Usable: true, Services: map[cowslipbend.ServiceID]int{"settle": 1},
		}
		list[i].Change("settle", 1, 2*cowslipbend.Core)
		list[i].Reserved = size(4, 4)
	}
	return list
}

// place places a task and reserves its size on the chosen host.
func place(t *testing.T, g *Guarded, list []*cowslipbend.Host, ask cowslipbend.Ask) int {
	t.Helper()
	i := g.Place(list, ask)
	if i >= 0 {
		list[i].Reserved = list[i].Reserved.Plus(ask.Size)
		list[i].Change(ask.Class, 1, ask.Size.CPU)
	}
	return i
}

// learnedPolicy returns a policy with measurements in which each core of class
// harmful adds a fifth to the tail latency of the service, and class harmless
// nothing.
func learnedPolicy() *Guarded {
	g := NewGuarded(cowslipbend.Weights{})
	for i := range 200 {
		harmful, harmless := i%3*2, i/3%3*2
		g.Learn(cowslipbend.Sample{
			Task: "settle/0", Class: "settle", Service: "settle", Tail: int64(10000 + 2000*harmful), Served: 100,
			Neighbours: []cowslipbend.Load{
				{Class: "harmful", Tasks: 1, CPU: cowslipbend.Core * cowslipbend.Millicores(harmful)},
				{Class: "harmless", Tasks: 1, CPU: cowslipbend.Core * cowslipbend.Millicores(harmless)},
			},
		})
	}
	return g
}

func assertNear(t *testing.T, got, want, within float64) {
	t.Helper()
	assert.Assert(t, got >= want-within && got <= want+within, "%v is not near %v", got, want)
}

func TestLearnsInterference(t *testing.T) {
	g := learnedPolicy()
	assertNear(t, g.coefficient("settle", "harmful"), 0.2, 0.02)
	assertNear(t, g.coefficient("settle", "harmless"), 0, 0.02)
	assert.Equal(t, g.coefficient("settle", "unmeasured"), priorCoefficient)
}

func TestPacksHarmfulBatch(t *testing.T) {
	g, list := learnedPolicy(), hosts(6)
	first := place(t, g, list, cowslipbend.Ask{Task: "harmful/0", Class: "harmful", Size: size(2, 1)})
	for i := range 4 {
		ask := cowslipbend.Ask{Task: cowslipbend.TaskID(fmt.Sprint("harmful/", i+1)), Class: "harmful", Size: size(2, 1)}
		assert.Equal(t, place(t, g, list, ask), first)
	}
	for i := range 5 {
		ask := cowslipbend.Ask{Task: cowslipbend.TaskID(fmt.Sprint("harmless/", i)), Class: "harmless", Size: size(2, 1)}
		assert.Assert(t, place(t, g, list, ask) != first)
	}
}

// TestKeepsCleanHosts asserts that harmful batch keeps off some of the hosts with
// services, whereas urgent work and harmless batch may use them.
func TestKeepsCleanHosts(t *testing.T) {
	g, list := learnedPolicy(), hosts(10)
	placed := 0
	for place(t, g, list, cowslipbend.Ask{Task: "harmful/0", Class: "harmful", Size: size(6, 1)}) >= 0 {
		placed++
	}
	assert.Equal(t, placed, 8*2)
	urgent := cowslipbend.Ask{Task: "close/0", Class: "harmful", Size: size(6, 1), Urgency: cowslipbend.Urgent}
	assert.Assert(t, g.Place(list, urgent) >= 0)
	assert.Assert(t, g.Place(list, cowslipbend.Ask{Task: "harmless/0", Class: "harmless", Size: size(6, 1)}) >= 0)
}

func TestSpreadsReplicas(t *testing.T) {
	g, list := NewGuarded(cowslipbend.Weights{}), hosts(9)
	for _, h := range list {
		h.Services = map[cowslipbend.ServiceID]int{}
	}
	domains := map[cowslipbend.Domain]int{}
	for i := range 6 {
		ask := cowslipbend.Ask{Task: cowslipbend.TaskID(fmt.Sprint("parcels/", i)), Class: "parcels", Service: "parcels", Size: size(2, 2)}
		n := place(t, g, list, ask)
		list[n].Services["parcels"]++
		domains[list[n].Spec.Domain]++
		assert.Equal(t, list[n].Services["parcels"], 1)
	}
	assert.DeepEqual(t, domains, map[cowslipbend.Domain]int{"d0": 2, "d1": 2, "d2": 2})
}

// policyWithUsage returns a policy with n samples of the usage for class netting.
func policyWithUsage(n int, usage cowslipbend.Resources, percent int) *Guarded {
	g := NewGuarded(cowslipbend.Weights{})
	for i := range n {
		g.Learn(cowslipbend.Sample{
			Task: cowslipbend.TaskID(fmt.Sprintf("job-%d/0", i)), Class: "netting", Declared: size(4, 4), Usage: usage, Percent: percent,
		})
	}
	return g
}

func TestLearnsSizes(t *testing.T) {
	ask := cowslipbend.Ask{Task: "new/0", Class: "netting"}
	t.Run("without samples the declared size stays", func(t *testing.T) {
		assert.Equal(t, policyWithUsage(0, size(1, 1), 100).Reserve(ask, size(4, 4)), size(4, 4))
	})
	t.Run("lower use lowers the size", func(t *testing.T) {
		got := policyWithUsage(1000, size(2, 2), 100).Reserve(ask, size(4, 8))
		assertNear(t, float64(got.CPU), 2000, 100)
		assertNear(t, float64(got.Mem), 2*memMargin*float64(cowslipbend.GB), 0.2*float64(cowslipbend.GB))
	})
	t.Run("higher use raises the size", func(t *testing.T) {
		assertNear(t, float64(policyWithUsage(1000, size(8, 8), 100).Reserve(ask, size(4, 4)).CPU), 8000, 200)
	})
	t.Run("one sample raises memory to its peak", func(t *testing.T) {
		got := policyWithUsage(1, size(4, 8), 100).Reserve(ask, size(4, 4))
		assert.Assert(t, got.Mem >= 8*cowslipbend.GB)
	})
	t.Run("a size is corrected by a bounded factor", func(t *testing.T) {
		got := policyWithUsage(1000, size(15, 50), 100).Reserve(ask, size(1, 1))
		assert.Equal(t, got, size(maxSizeError, maxSizeError))
	})
	t.Run("the processors of throttled tasks are ignored", func(t *testing.T) {
		assert.Equal(t, policyWithUsage(1000, size(1, 4), 10).Reserve(ask, size(4, 4)).CPU, 4*cowslipbend.Core)
	})
	t.Run("a service keeps what it declares", func(t *testing.T) {
		service := cowslipbend.Ask{Task: "settle/0", Class: "netting", Service: "settle"}
		assert.Equal(t, policyWithUsage(1000, size(1, 1), 100).Reserve(service, size(6, 12)), size(6, 12))
	})
}

func TestRoom(t *testing.T) {
	for _, name := range []string{"firstfit", "leastloaded", "guarded"} {
		t.Run(name, func(t *testing.T) {
			p, err := New(name, cowslipbend.Weights{})
			assert.NilError(t, err)
			list := hosts(1)
			list[0].Spare = size(2, 6)
			normal := cowslipbend.Ask{Task: "a/0", Class: "netting", Size: size(11, 1)}
			assert.Equal(t, p.Place(list, normal), -1)
			urgent := normal
			urgent.Urgency = cowslipbend.Urgent
			assert.Equal(t, p.Place(list, urgent), 0)
			list[0].Held = size(6, 1)
			assert.Equal(t, p.Place(list, urgent), -1)
			urgent.Holder, urgent.Held = "w0", size(6, 1)
			assert.Equal(t, p.Place(list, urgent), 0)
			urgent.Avoid = []cowslipbend.WorkerID{"w0"}
			assert.Equal(t, p.Place(list, urgent), -1)
		})
	}
}
