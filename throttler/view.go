package throttler

import (
	"sort"
	"strings"

	"cowslipbend.dev"
)

// view is the running tasks of one worker status, split into services and
// batch and sorted by id.
type view struct {
	size       cowslipbend.Resources
	objectives map[cowslipbend.ServiceID]cowslipbend.Span
	byID       map[cowslipbend.TaskID]*cowslipbend.TaskStatus
	services   []*cowslipbend.TaskStatus
	batch      []*cowslipbend.TaskStatus
	// overuseLimits are the CPU shares, in percent, to which tasks that use more
	// than they reserved are limited.
	overuseLimits map[cowslipbend.TaskID]int
}

func newView(status cowslipbend.MachineStatus, objectives map[cowslipbend.ServiceID]cowslipbend.Span) *view {
	v := &view{
		size: status.Size, objectives: objectives, byID: map[cowslipbend.TaskID]*cowslipbend.TaskStatus{},
		overuseLimits: map[cowslipbend.TaskID]int{},
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

// mixHistory is what ran at the last polls, oldest first.
type mixHistory []mixSnapshot

type mixSnapshot struct {
	takenAt cowslipbend.Time
	mix     []cowslipbend.Load
}

const maxSnapshots = 64

// add appends what runs now, and drops the oldest snapshot beyond the bound.
func (h mixHistory) add(at cowslipbend.Time, v *view) mixHistory {
	var host cowslipbend.Host
	for _, list := range [][]*cowslipbend.TaskStatus{v.services, v.batch} {
		for _, s := range list {
			host.Change(s.Class, 1, s.Usage.CPU)
		}
	}
	if len(h) == maxSnapshots {
		copy(h, h[1:])
		h = h[:maxSnapshots-1]
	}
	return append(h, mixSnapshot{at, host.Mix})
}

// mixAt returns what ran at the time, or nil if that is older than the history.
func (h mixHistory) mixAt(at cowslipbend.Time) []cowslipbend.Load {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].takenAt <= at {
			return h[i].mix
		}
	}
	return nil
}

// learn updates the interference estimates with the new tail latencies, each
// joined with what ran when it was measured.
func (g *Guard) learn(v *view, now cowslipbend.Time) {
	g.history = g.history.add(now, v)
	newest := g.lastLearnedAt
	for _, s := range v.services {
		if s.Measured <= g.lastLearnedAt || s.Served < g.opts.MinServed {
			continue
		}
		g.interference.Learn(cowslipbend.Sample{
			Task: s.Task, Class: s.Class, Service: s.Service, Tail: s.Tail, Served: s.Served,
			Neighbours: g.history.mixAt(s.Measured), At: s.Measured,
		})
		newest = max(newest, s.Measured)
	}
	g.lastLearnedAt = newest
}

// classSlowdowns predicts the slow-down, as a part of the tail latency, that
// each class of batch causes to the service that it slows most: with the
// processors that the class uses now, or with those it would use without
// throttle.
func (g *Guard) classSlowdowns(v *view, withoutThrottle bool) map[cowslipbend.Class]float64 {
	cpuByClass := map[cowslipbend.Class]cowslipbend.Millicores{}
	for _, s := range v.batch {
		if withoutThrottle {
			cpuByClass[s.Class] += unthrottledCPU(s)
			continue
		}
		cpuByClass[s.Class] += s.Usage.CPU
	}
	out := map[cowslipbend.Class]float64{}
	for c, cpu := range cpuByClass {
		out[c] = 0
		for _, s := range v.services {
			out[c] = max(out[c], g.interference.Coefficient(s.Class, c)*cores(cpu))
		}
	}
	return out
}

// unthrottledCPU estimates the processors that the task would use without
// throttle.
func unthrottledCPU(s *cowslipbend.TaskStatus) cowslipbend.Millicores {
	if s.Percent <= 0 {
		return s.Usage.CPU
	}
	return s.Usage.CPU * fullPercent / cowslipbend.Millicores(s.Percent)
}

// harmfulClasses returns the classes of batch, the most harmful first, or none
// if all batch together hardly slows services, as something else then makes
// them miss their objectives. Throttling uses the slow-down that batch would
// cause without throttle; eviction uses the slow-down that it causes now.
func (g *Guard) harmfulClasses(v *view, withoutThrottle bool) []cowslipbend.Class {
	slowdowns := g.classSlowdowns(v, withoutThrottle)
	ranked := g.rankedClasses(v)
	sum := 0.0
	for _, c := range ranked {
		sum += slowdowns[c]
	}
	if sum*fullPercent < float64(g.opts.MinSlowdownPercent) && !v.cpuSaturated() {
		return nil
	}
	return ranked
}

// cpuSaturated reports whether the tasks use all processors of the worker. Batch
// of every class slows services then.
func (v *view) cpuSaturated() bool {
	var used cowslipbend.Millicores
	for _, s := range v.byID {
		used += s.Usage.CPU
	}
	return used >= v.size.CPU
}

const (
	// fullMemPercent is the part of the worker's memory in use above which
	// memory is short.
	fullMemPercent = 95
	// overuseTolerancePercent is how far a task may exceed its reservation of
	// processors, and the free part of the worker's processors below which they
	// are short.
	overuseTolerancePercent = 10
)

// enforceReservations limits the tasks that use more processors than they
// reserved while processors are short on the worker, and evicts the task that
// exceeds its memory reservation most while memory is short.
func (g *Guard) enforceReservations(v *view, now cowslipbend.Time) (Action, bool) {
	var used cowslipbend.Resources
	var worst *cowslipbend.TaskStatus
	for _, s := range v.byID {
		used = used.Plus(s.Usage)
	}
	for _, s := range v.batch {
		demand := unthrottledCPU(s)
		if used.CPU > v.size.CPU*(fullPercent-overuseTolerancePercent)/fullPercent && demand > s.Size.CPU*(fullPercent+overuseTolerancePercent)/fullPercent {
			v.overuseLimits[s.Task] = max(g.opts.MinSharePercent, int(s.Size.CPU*fullPercent/demand))
		}
		if excessMem(s) > 0 && (worst == nil || excessMem(s) > excessMem(worst)) {
			worst = s
		}
	}
	if worst == nil || used.Mem <= v.size.Mem/fullPercent*fullMemPercent || g.lastEvictionAt > 0 && now.Sub(g.lastEvictionAt) < g.opts.SettlingTime {
		return Action{}, false
	}
	return g.evictTask(worst, "it uses more memory than it reserved and the worker's memory is full", now), true
}

func excessMem(s *cowslipbend.TaskStatus) cowslipbend.Bytes { return s.Usage.Mem - s.Size.Mem }
