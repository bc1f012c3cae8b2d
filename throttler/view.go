package throttler

import (
	"sort"
	"strings"

	"cowslipbend.dev"
)

// view is one status of the worker, put in order.
type view struct {
	size     cowslipbend.Resources
	goals    map[cowslipbend.ServiceID]cowslipbend.Span
	byID     map[cowslipbend.TaskID]*cowslipbend.TaskStatus
	services []*cowslipbend.TaskStatus
	batch    []*cowslipbend.TaskStatus
	// limits are the shares of tasks that use more than they reserved.
	limits map[cowslipbend.TaskID]int
}

func newView(status cowslipbend.MachineStatus, goals map[cowslipbend.ServiceID]cowslipbend.Span) *view {
	v := &view{
		size: status.Size, goals: goals, byID: map[cowslipbend.TaskID]*cowslipbend.TaskStatus{},
		limits: map[cowslipbend.TaskID]int{},
	}
	for i := range status.Tasks {
		s := &status.Tasks[i]
		if s.Phase != cowslipbend.Running {
			continue
		}
		v.byID[s.Task] = s
		if s.Service != "" {
			v.services = append(v.services, s)
			continue
		}
		v.batch = append(v.batch, s)
	}
	sort.Slice(v.batch, func(i, j int) bool { return v.batch[i].Task < v.batch[j].Task })
	sort.Slice(v.services, func(i, j int) bool { return v.services[i].Task < v.services[j].Task })
	return v
}

func jobOf(t cowslipbend.TaskID) cowslipbend.JobID {
	if i := strings.LastIndexByte(string(t), '/'); i >= 0 {
		return cowslipbend.JobID(t[:i])
	}
	return cowslipbend.JobID(t)
}

func cores(m cowslipbend.Millicores) float64 { return float64(m) / float64(cowslipbend.Core) }

// past is what ran at the last looks, oldest first.
type past []glance

type glance struct {
	at  cowslipbend.Time
	mix []cowslipbend.Load
}

// maxPast bounds the looks that are remembered.
const maxPast = 64

// add remembers what runs at a look.
func (p past) add(at cowslipbend.Time, v *view) past {
	var h cowslipbend.Host
	for _, list := range [][]*cowslipbend.TaskStatus{v.services, v.batch} {
		for _, s := range list {
			h.Change(s.Class, 1, s.Usage.CPU)
		}
	}
	if len(p) == maxPast {
		copy(p, p[1:])
		p = p[:maxPast-1]
	}
	return append(p, glance{at, h.Mix})
}

// then returns what ran at the moment, or nothing if that is not known.
func (p past) then(at cowslipbend.Time) []cowslipbend.Load {
	for i := len(p) - 1; i >= 0; i-- {
		if p[i].at <= at {
			return p[i].mix
		}
	}
	return nil
}

// learn takes the tails of a look, joined with what ran when they were
// measured.
func (g *Guard) learn(v *view, now cowslipbend.Time) {
	g.past = g.past.add(now, v)
	newest := g.learned
	for _, s := range v.services {
		if s.Measured <= g.learned || s.Served < g.opts.Served {
			continue
		}
		g.harm.Learn(cowslipbend.Sample{
			Task: s.Task, Class: s.Class, Service: s.Service, Tail: s.Tail, Served: s.Served,
			Beside: g.past.then(s.Measured), At: s.Measured,
		})
		newest = max(newest, s.Measured)
	}
	g.learned = newest
}

// strains returns the predicted slow-down of services by each class of batch,
// as it is throttled now or as it would be unthrottled.
func (g *Guard) strains(v *view, free bool) map[cowslipbend.Class]float64 {
	used := map[cowslipbend.Class]cowslipbend.Millicores{}
	for _, s := range v.batch {
		if free {
			used[s.Class] += unthrottled(s)
			continue
		}
		used[s.Class] += s.Usage.CPU
	}
	out := map[cowslipbend.Class]float64{}
	for c, cpu := range used {
		out[c] = 0
		for _, s := range v.services {
			out[c] = max(out[c], g.harm.Harm(s.Class, c)*cores(cpu))
		}
	}
	return out
}

// unthrottled returns the processors that the task would use.
func unthrottled(s *cowslipbend.TaskStatus) cowslipbend.Millicores {
	if s.Percent <= 0 {
		return s.Usage.CPU
	}
	return s.Usage.CPU * whole / cowslipbend.Millicores(s.Percent)
}

// blamed returns the classes of batch, the most harmful first. If batch as a
// whole hardly slows services, it is not what makes them late, and nobody is
// blamed. To throttle, it counts what batch would do unthrottled; to evict,
// only what it still does.
func (g *Guard) blamed(v *view, free bool) []cowslipbend.Class {
	strain := g.strains(v, free)
	ranked := g.ranked(v)
	sum := 0.0
	for _, c := range ranked {
		sum += strain[c]
	}
	if sum*whole < float64(g.opts.Blame) && !v.crowded() {
		return nil
	}
	return ranked
}

// crowded reports whether the tasks use all processors of the worker, so that
// batch slows services whatever its class.
func (v *view) crowded() bool {
	var used cowslipbend.Millicores
	for _, s := range v.byID {
		used += s.Usage.CPU
	}
	return used >= v.size.CPU
}

// Terms of overuse.
const (
	fullMem  = 95 // percent of the worker's memory in use
	generous = 10 // percent beyond its reservation that a task may use
)

// overuse limits the tasks that use more processors than they reserved while
// there are not enough, and evicts one that uses more memory than it reserved
// while there is not enough.
func (g *Guard) overuse(v *view, now cowslipbend.Time) (Action, bool) {
	var used cowslipbend.Resources
	var worst *cowslipbend.TaskStatus
	for _, s := range v.byID {
		used = used.Plus(s.Usage)
	}
	for _, s := range v.batch {
		want := unthrottled(s)
		if used.CPU > v.size.CPU*(whole-generous)/whole && want > s.Size.CPU*(whole+generous)/whole {
			v.limits[s.Task] = max(g.opts.Floor, int(s.Size.CPU*whole/want))
		}
		if over(s) > 0 && (worst == nil || over(s) > over(worst)) {
			worst = s
		}
	}
	if worst == nil || used.Mem <= v.size.Mem/whole*fullMem || g.evicted > 0 && now.Sub(g.evicted) < g.opts.Settle {
		return Action{}, false
	}
	return g.evictNow(worst, "it uses more memory than it reserved and the worker is full", now), true
}

func over(s *cowslipbend.TaskStatus) cowslipbend.Bytes { return s.Usage.Mem - s.Size.Mem }
