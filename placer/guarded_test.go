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

// hosts returns usable hosts of 16 cores with one replica of a service each.
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

// put places a task and takes its room.
func put(t *testing.T, g *Guarded, list []*cowslipbend.Host, ask cowslipbend.Ask) int {
	t.Helper()
	i := g.Place(list, ask)
	if i >= 0 {
		list[i].Reserved = list[i].Reserved.Plus(ask.Size)
		list[i].Change(ask.Class, 1, ask.Size.CPU)
	}
	return i
}

// taught returns a policy that has seen that each core of loud batch adds a
// fifth to the tail of the service, and quiet batch nothing.
func taught() *Guarded {
	g := NewGuarded(cowslipbend.Weights{})
	for i := range 200 {
		loud, quiet := i%3*2, i/3%3*2
		g.Learn(cowslipbend.Sample{
			Task: "settle/0", Class: "settle", Service: "settle", Tail: int64(10000 + 2000*loud), Served: 100,
			Beside: []cowslipbend.Load{
				{Class: "loud", Tasks: 1, CPU: cowslipbend.Core * cowslipbend.Millicores(loud)},
				{Class: "quiet", Tasks: 1, CPU: cowslipbend.Core * cowslipbend.Millicores(quiet)},
			},
		})
	}
	return g
}

func assertNear(t *testing.T, got, want, within float64) {
	t.Helper()
	assert.Assert(t, got >= want-within && got <= want+within, "%v is not near %v", got, want)
}

func TestLearnsPairs(t *testing.T) {
	g := taught()
	assertNear(t, g.harm("settle", "loud"), 0.2, 0.02)
	assertNear(t, g.harm("settle", "quiet"), 0, 0.02)
	assert.Equal(t, g.harm("settle", "unseen"), prior)
}

func TestGathersHarm(t *testing.T) {
	g, list := taught(), hosts(6)
	first := put(t, g, list, cowslipbend.Ask{Task: "loud/0", Class: "loud", Size: size(2, 1)})
	for i := range 4 {
		ask := cowslipbend.Ask{Task: cowslipbend.TaskID(fmt.Sprint("loud/", i+1)), Class: "loud", Size: size(2, 1)}
		assert.Equal(t, put(t, g, list, ask), first)
	}
	for i := range 5 {
		ask := cowslipbend.Ask{Task: cowslipbend.TaskID(fmt.Sprint("quiet/", i)), Class: "quiet", Size: size(2, 1)}
		assert.Assert(t, put(t, g, list, ask) != first)
	}
}

// TestRefuge asserts that harmful batch leaves some workers clean, that urgent
// work does not wait for that, and that harmless batch may go there.
func TestRefuge(t *testing.T) {
	g, list := taught(), hosts(10)
	placed := 0
	for put(t, g, list, cowslipbend.Ask{Task: "loud/0", Class: "loud", Size: size(6, 1)}) >= 0 {
		placed++
	}
	assert.Equal(t, placed, 8*2)
	urgent := cowslipbend.Ask{Task: "close/0", Class: "loud", Size: size(6, 1), Urgency: cowslipbend.Urgent}
	assert.Assert(t, g.Place(list, urgent) >= 0)
	assert.Assert(t, g.Place(list, cowslipbend.Ask{Task: "quiet/0", Class: "quiet", Size: size(6, 1)}) >= 0)
}

func TestSpreadsReplicas(t *testing.T) {
	g, list := NewGuarded(cowslipbend.Weights{}), hosts(9)
	for _, h := range list {
		h.Services = map[cowslipbend.ServiceID]int{}
	}
	domains := map[cowslipbend.Domain]int{}
	for i := range 6 {
		ask := cowslipbend.Ask{Task: cowslipbend.TaskID(fmt.Sprint("parcels/", i)), Class: "parcels", Service: "parcels", Size: size(2, 2)}
		n := put(t, g, list, ask)
		list[n].Services["parcels"]++
		domains[list[n].Spec.Domain]++
		assert.Equal(t, list[n].Services["parcels"], 1)
	}
	assert.DeepEqual(t, domains, map[cowslipbend.Domain]int{"d0": 2, "d1": 2, "d2": 2})
}

// measured returns a policy that has seen tasks of the class use so much.
func measured(n int, usage cowslipbend.Resources, percent int) *Guarded {
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
	t.Run("nothing measured", func(t *testing.T) {
		assert.Equal(t, measured(0, size(1, 1), 100).Reserve(ask, size(4, 4)), size(4, 4))
	})
	t.Run("less", func(t *testing.T) {
		got := measured(1000, size(2, 2), 100).Reserve(ask, size(4, 8))
		assertNear(t, float64(got.CPU), 2000, 100)
		assertNear(t, float64(got.Mem), 2*memMargin*float64(cowslipbend.GB), 0.2*float64(cowslipbend.GB))
	})
	t.Run("more", func(t *testing.T) {
		assertNear(t, float64(measured(1000, size(8, 8), 100).Reserve(ask, size(4, 4)).CPU), 8000, 200)
	})
	t.Run("memory at its peak at once", func(t *testing.T) {
		got := measured(1, size(4, 8), 100).Reserve(ask, size(4, 4))
		assert.Assert(t, got.Mem >= 8*cowslipbend.GB)
	})
	t.Run("no further than sizes are wrong", func(t *testing.T) {
		got := measured(1000, size(15, 50), 100).Reserve(ask, size(1, 1))
		assert.Equal(t, got, size(wrong, wrong))
	})
	t.Run("throttled use tells little", func(t *testing.T) {
		assert.Equal(t, measured(1000, size(1, 4), 10).Reserve(ask, size(4, 4)).CPU, 4*cowslipbend.Core)
	})
	t.Run("a service keeps what it declares", func(t *testing.T) {
		service := cowslipbend.Ask{Task: "settle/0", Class: "netting", Service: "settle"}
		assert.Equal(t, measured(1000, size(1, 1), 100).Reserve(service, size(6, 12)), size(6, 12))
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
