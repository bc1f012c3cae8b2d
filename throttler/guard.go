package throttler

import (
	"sort"

	"cowslipbend.dev"
	"cowslipbend.dev/placer"
)

// Mode selects the actions that a guard may take.
type Mode string

const (
	// Throttle limits the CPU share of batch and evicts as the last resort.
	Throttle Mode = "throttle"
	// Evict never throttles, only evicts. It serves as a baseline.
	Evict Mode = "evict"
	// Off neither throttles nor evicts.
	Off Mode = "off"
)

// Options configure a guard.
type Options struct {
	Mode Mode
	// ThrottleAbovePercent and ReleaseBelowPercent are tail latencies in percent
	// of the objective: batch is throttled above the one and released below the
	// other.
	ThrottleAbovePercent int
	ReleaseBelowPercent  int
	// MinServed is the number of answers in the measurement window below which a
	// tail latency is ignored.
	MinServed int64
	// SettlingTime is the time between an action and the first measurement that
	// is taken to show its effect.
	SettlingTime cowslipbend.Span
	// MinSharePercent is the CPU share that a task always keeps, and
	// ReleaseStepPercent the share that one release adds.
	MinSharePercent    int
	ReleaseStepPercent int
	// LowBeforeRelease is the number of consecutive measurements below
	// ReleaseBelowPercent before each release. MidBeforeRelease is the number
	// of measurements between the two thresholds that also lead to one, so
	// that batch is not throttled for ever.
	LowBeforeRelease int
	MidBeforeRelease int
	// HighBeforeEviction is the number of consecutive measurements above
	// ThrottleAbovePercent, with all harmful batch at its minimum share, before
	// an eviction. It does not apply to mode Evict.
	HighBeforeEviction int
	// EvictionInterval is the least time between two evictions on the worker,
	// JobEvictionInterval between two evictions of the same job.
	EvictionInterval    cowslipbend.Span
	JobEvictionInterval cowslipbend.Span
	// MinSlowdownPercent is the predicted slow-down of a service by all batch on
	// the worker below which batch is neither throttled nor evicted, unless all
	// processors of the worker are in use.
	MinSlowdownPercent int
}

// Defaults returns the default options.
func Defaults() Options {
	return Options{
		Mode: Throttle, ThrottleAbovePercent: 90, ReleaseBelowPercent: 70, MinServed: 20, SettlingTime: cowslipbend.Second,
		MinSharePercent: 10, ReleaseStepPercent: 15, LowBeforeRelease: 3, MidBeforeRelease: 12, HighBeforeEviction: 20,
		EvictionInterval: 30 * cowslipbend.Second, JobEvictionInterval: cowslipbend.Minute, MinSlowdownPercent: 3,
	}
}

// tailPriorityRatio is the ratio of the weights of tail and batch from which a
// guard uses the lower thresholds.
const tailPriorityRatio = 2

// WithWeights returns the options for a pool with the weights. The thresholds
// are lower if the tail latency of services weighs far more than batch.
func (o Options) WithWeights(w cowslipbend.Weights) Options {
	if w.Tail > 0 && w.Tail >= tailPriorityRatio*w.Batch {
		o.ThrottleAbovePercent, o.ReleaseBelowPercent = 70, 55
	}
	return o
}

// Check returns KindInvalid for an unknown mode.
func (o *Options) Check(path string) error {
	switch o.Mode {
	case Throttle, Evict, Off:
		return nil
	}
	return cowslipbend.Invalid(path, string(o.Mode)+" is not a guard mode", "use throttle, evict or off")
}

// Action tells the agent to evict a task or to set its CPU share.
type Action struct {
	Task    cowslipbend.TaskID
	Attempt cowslipbend.Attempt
	Evict   bool
	// Percent is the CPU share to set if Evict is false.
	Percent int
	// Reason says why the task is evicted.
	Reason string
}

// fullPercent is the share of a task that is not throttled, in percent.
const fullPercent = 100

// throttledShare is the CPU share to which one attempt is throttled.
type throttledShare struct {
	attempt cowslipbend.Attempt
	class   cowslipbend.Class
	percent int
}

// Guard is the controller of one worker. It is not safe for concurrent use and
// reads no clock.
//
// A measurement is judged once, and only if it was made at least the settling
// time after the last action.
type Guard struct {
	opts         Options
	interference *placer.Interference
	shares       map[cowslipbend.TaskID]throttledShare
	history      mixHistory
	// lastJudgedAt and lastLearnedAt are the times of the newest measurements
	// that were compared with an objective and learned from.
	lastActionAt  cowslipbend.Time
	lastJudgedAt  cowslipbend.Time
	lastLearnedAt cowslipbend.Time
	// Counts of measurements below, between and above the thresholds.
	lowCount       int
	midCount       int
	highCount      int
	lastEvictionAt cowslipbend.Time // zero before the first eviction
	jobEvictedAt   map[cowslipbend.JobID]cowslipbend.Time
	hasActed       bool
}

// New returns a guard without measurements.
func New(opts Options) *Guard {
	return &Guard{
		opts: opts, interference: placer.NewInterference(),
		shares: map[cowslipbend.TaskID]throttledShare{}, jobEvictedAt: map[cowslipbend.JobID]cowslipbend.Time{},
	}
}

// SetOptions replaces the options from the next call of Decide on.
func (g *Guard) SetOptions(opts Options) { g.opts = opts }

// Decide takes a status of the worker and returns the actions to carry out.
// Objectives are the upper bounds of the tail latencies, by service.
func (g *Guard) Decide(status cowslipbend.MachineStatus, objectives map[cowslipbend.ServiceID]cowslipbend.Span, now cowslipbend.Time) []Action {
	v := newView(status, objectives)
	if g.opts.Mode == Off {
		return g.reconcile(v)
	}
	g.prune(v, now)
	g.learn(v, now)
	var out []Action
	if a, ok := g.enforceReservations(v, now); ok {
		out = append(out, a)
	}
	if fresh, tailPercent := g.worstTail(v); fresh {
		out = append(out, g.handleMeasurement(v, tailPercent, now)...)
	}
	if len(v.services) == 0 {
		clear(g.shares)
	}
	return append(out, g.reconcile(v)...)
}

// prune drops the shares of attempts that no longer run and the evictions that
// are older than the job eviction interval.
func (g *Guard) prune(v *view, now cowslipbend.Time) {
	for id, l := range g.shares {
		if s, runs := v.byID[id]; !runs || s.Attempt != l.attempt {
			delete(g.shares, id)
		}
	}
	for id, at := range g.jobEvictedAt {
		if now.Sub(at) >= g.opts.JobEvictionInterval {
			delete(g.jobEvictedAt, id)
		}
	}
}

// worstTail returns the highest tail latency in percent of its objective, and
// whether any measurement was made since the last action had settled. A service
// with few answers counts as 0 percent, so that batch beside an idle service is
// released.
func (g *Guard) worstTail(v *view) (fresh bool, percent int) {
	newest := g.lastJudgedAt
	for _, s := range v.services {
		objective := v.objectives[s.Service]
		if objective <= 0 || s.Measured <= g.lastJudgedAt {
			continue
		}
		if g.hasActed && s.Measured < g.lastActionAt.Add(g.opts.SettlingTime) {
			continue
		}
		fresh = true
		newest = max(newest, s.Measured)
		if s.Served < g.opts.MinServed {
			continue
		}
		percent = max(percent, int(s.Tail*fullPercent/(int64(objective)*microsPerMs)))
	}
	g.lastJudgedAt = newest
	return fresh, percent
}

const microsPerMs = 1000

// handleMeasurement throttles, evicts or releases batch after a new
// measurement.
func (g *Guard) handleMeasurement(v *view, tailPercent int, now cowslipbend.Time) []Action {
	switch {
	case tailPercent > g.opts.ThrottleAbovePercent:
		g.lowCount, g.midCount = 0, 0
		g.highCount++
		if g.opts.Mode == Throttle && g.reduceShares(v, tailPercent) {
			g.highCount = 0
			g.recordAction(now)
			return nil
		}
		if a, ok := g.selectEviction(v, now); ok {
			return []Action{a}
		}
	case tailPercent < g.opts.ReleaseBelowPercent:
		g.highCount = 0
		if g.lowCount++; g.lowCount >= g.opts.LowBeforeRelease && g.restoreShares(v) {
			g.lowCount, g.midCount = 0, 0
			g.recordAction(now)
		}
	default:
		g.highCount, g.lowCount = 0, 0
		if g.midCount++; g.midCount >= g.opts.MidBeforeRelease && g.restoreShares(v) {
			g.midCount = 0
			g.recordAction(now)
		}
	}
	return nil
}

func (g *Guard) recordAction(now cowslipbend.Time) { g.lastActionAt, g.hasActed = now, true }

// reduceShares cuts the shares of the most harmful class that is above the
// minimum share, or of all harmful classes if a tail exceeds its objective. It
// halves them, or divides them by the ratio of tail to objective if that is
// larger than 2. It reports whether it changed any share.
func (g *Guard) reduceShares(v *view, tailPercent int) bool {
	lowered := false
	factorPercent := min(fullPercent/2, fullPercent*fullPercent/tailPercent)
	for _, c := range g.harmfulClasses(v, true) {
		for _, s := range v.batch {
			if p := g.sharePercent(s); s.Class == c && p > g.opts.MinSharePercent {
				g.shares[s.Task] = throttledShare{s.Attempt, s.Class, max(g.opts.MinSharePercent, p*factorPercent/fullPercent)}
				lowered = true
			}
		}
		if lowered && tailPercent <= fullPercent {
			return true
		}
	}
	return lowered
}

// restoreShares raises the shares of the least harmful class that is throttled
// by one step. It reports whether it changed any share.
func (g *Guard) restoreShares(v *view) bool {
	classes := g.rankedClasses(v)
	for i := len(classes) - 1; i >= 0; i-- {
		raised := false
		for _, s := range v.batch {
			if p := g.sharePercent(s); s.Class == classes[i] && p < fullPercent {
				g.shares[s.Task] = throttledShare{s.Attempt, s.Class, min(fullPercent, p+g.opts.ReleaseStepPercent)}
				raised = true
			}
		}
		if raised {
			return true
		}
	}
	return false
}

// sharePercent returns the CPU share of the task. A new task gets the lowest
// share of the throttled tasks of its class.
func (g *Guard) sharePercent(s *cowslipbend.TaskStatus) int {
	if l, ok := g.shares[s.Task]; ok {
		return l.percent
	}
	p := fullPercent
	for _, l := range g.shares {
		if l.class == s.Class {
			p = min(p, l.percent)
		}
	}
	return p
}

// selectEviction evicts a task of the most harmful class after enough high
// measurements, unless the worker or the task's job had an eviction too
// recently.
func (g *Guard) selectEviction(v *view, now cowslipbend.Time) (Action, bool) {
	highNeeded := g.opts.HighBeforeEviction
	if g.opts.Mode == Evict {
		highNeeded = 2
	}
	if g.highCount < highNeeded || g.lastEvictionAt > 0 && now.Sub(g.lastEvictionAt) < g.opts.EvictionInterval {
		return Action{}, false
	}
	for _, c := range g.harmfulClasses(v, false) {
		for _, s := range v.batch {
			if _, recentlyEvicted := g.jobEvictedAt[jobOf(s.Task)]; s.Class == c && !recentlyEvicted {
				return g.evictTask(s, "a service on its worker misses the latency objective", now), true
			}
		}
	}
	return Action{}, false
}

func (g *Guard) evictTask(s *cowslipbend.TaskStatus, reason string, now cowslipbend.Time) Action {
	g.highCount = 0
	g.lastEvictionAt = now
	g.jobEvictedAt[jobOf(s.Task)] = now
	g.recordAction(now)
	return Action{Task: s.Task, Attempt: s.Attempt, Evict: true, Reason: reason}
}

// reconcile returns the actions that set the shares that differ from those in
// force on the worker. A guard that does not throttle releases what was throttled
// before its mode changed or its process started.
func (g *Guard) reconcile(v *view) []Action {
	if g.opts.Mode != Throttle {
		clear(g.shares)
		clear(v.overuseLimits)
	}
	var out []Action
	for _, s := range v.batch {
		target := g.sharePercent(s)
		if limit, ok := v.overuseLimits[s.Task]; ok {
			target = min(target, limit)
		}
		if _, recorded := g.shares[s.Task]; !recorded && target < fullPercent {
			g.shares[s.Task] = throttledShare{s.Attempt, s.Class, g.sharePercent(s)}
		}
		if s.Percent != target {
			out = append(out, Action{Task: s.Task, Attempt: s.Attempt, Percent: target})
		}
	}
	return out
}

// rankedClasses returns the classes of batch on the worker, the most harmful
// first.
func (g *Guard) rankedClasses(v *view) []cowslipbend.Class {
	slowdowns := g.classSlowdowns(v, true)
	classes := make([]cowslipbend.Class, 0, len(slowdowns))
	for c := range slowdowns {
		classes = append(classes, c)
	}
	sort.Slice(classes, func(i, j int) bool {
		if slowdowns[classes[i]] != slowdowns[classes[j]] {
			return slowdowns[classes[i]] > slowdowns[classes[j]]
		}
		return classes[i] < classes[j]
	})
	return classes
}
