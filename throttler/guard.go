package throttler

import (
	"sort"

	"cowslipbend.dev"
	"cowslipbend.dev/placer"
)

// Mode is how a guard defends services.
type Mode string

// The modes.
const (
	// Throttle slows batch down and evicts it as the last resort.
	Throttle Mode = "throttle"
	// Evict only evicts; it is a baseline.
	Evict Mode = "evict"
	// Off does nothing.
	Off Mode = "off"
)

// Options are the terms of a guard.
type Options struct {
	Mode Mode
	// High and Low are tails in percent of the objective: above High batch is
	// throttled, below Low released.
	High int
	Low  int
	// Served is the count of answers from which a tail is believed.
	Served int64
	// Settle is how old an action must be when a tail is measured, so that the
	// tail shows its effect.
	Settle cowslipbend.Span
	// Floor is the least share of its processors that a task keeps, and Raise
	// what one release gives back, in percent.
	Floor int
	Raise int
	// Calm is the count of good measurements before each release, Steady that
	// of measurements that are neither good nor bad, so that batch is never
	// held down for good.
	Calm   int
	Steady int
	// Bad is the count of bad measurements with all harmful batch at its floor
	// before an eviction.
	Bad int
	// Evict is the least time between two evictions on the worker, Again
	// between two of the same job.
	Evict cowslipbend.Span
	Again cowslipbend.Span
	// Blame is the slow-down, in percent, that batch must be predicted to
	// cause before it is acted against.
	Blame int
}

// Defaults returns usual terms.
func Defaults() Options {
	return Options{
		Mode: Throttle, High: 90, Low: 70, Served: 20, Settle: cowslipbend.Second,
		Floor: 10, Raise: 15, Calm: 3, Steady: 12, Bad: 20,
		Evict: 30 * cowslipbend.Second, Again: cowslipbend.Minute, Blame: 3,
	}
}

// tailFirst is how much more the tail must weigh than batch for a guard to act
// early.
const tailFirst = 2

// Weigh returns the terms for a pool: earlier bounds if its weights put the
// tail of services well before batch.
func (o Options) Weigh(w cowslipbend.Weights) Options {
	if w.Tail > 0 && w.Tail >= tailFirst*w.Batch {
		o.High, o.Low = 70, 55
	}
	return o
}

// Check returns KindInvalid for an unknown mode.
func (o *Options) Check(path string) error {
	switch o.Mode {
	case Throttle, Evict, Off:
		return nil
	}
	return cowslipbend.Invalid(path, string(o.Mode)+" is unknown", "use throttle, evict or off")
}

// Action is what the agent is to do with one task: evict it, or let it use a
// percentage of its processors.
type Action struct {
	Task    cowslipbend.TaskID
	Attempt cowslipbend.Attempt
	Evict   bool
	Percent int
	Reason  string
}

// whole is the share of a task that is not throttled, in percent.
const whole = 100

// level is the throttle of one attempt.
type level struct {
	attempt cowslipbend.Attempt
	class   cowslipbend.Class
	percent int
}

// Guard decides for one worker. It is not safe for concurrent use and reads no
// clock.
//
// A measurement counts once, and only if it was made after the last action
// had settled.
type Guard struct {
	opts   Options
	harm   *placer.Interference
	levels map[cowslipbend.TaskID]level
	past   past
	// acted is the time of the last action, counted that of the last
	// measurement that was judged, learned that of the last learned from.
	acted   cowslipbend.Time
	counted cowslipbend.Time
	learned cowslipbend.Time
	calm    int
	steady  int
	bad     int
	evicted cowslipbend.Time
	jobs    map[cowslipbend.JobID]cowslipbend.Time
	started bool
}

// New returns a guard that has seen nothing yet.
func New(opts Options) *Guard {
	return &Guard{
		opts: opts, harm: placer.NewInterference(),
		levels: map[cowslipbend.TaskID]level{}, jobs: map[cowslipbend.JobID]cowslipbend.Time{},
	}
}

// Set takes other terms from the next look on.
func (g *Guard) Set(opts Options) { g.opts = opts }

// Look takes a status of the worker and returns what to do. Goals are the
// longest tails that the services promise.
func (g *Guard) Look(status cowslipbend.MachineStatus, goals map[cowslipbend.ServiceID]cowslipbend.Span, now cowslipbend.Time) []Action {
	if g.opts.Mode == Off {
		return nil
	}
	v := newView(status, goals)
	g.prune(v, now)
	g.learn(v, now)
	var out []Action
	if a, ok := g.overuse(v, now); ok {
		out = append(out, a)
	}
	if fresh, pressure := g.pressure(v); fresh {
		out = append(out, g.react(v, pressure, now)...)
	}
	if len(v.services) == 0 {
		clear(g.levels)
	}
	return append(out, g.settle(v)...)
}

// prune forgets tasks that are gone and evictions that are long past.
func (g *Guard) prune(v *view, now cowslipbend.Time) {
	for id, l := range g.levels {
		if s, runs := v.byID[id]; !runs || s.Attempt != l.attempt {
			delete(g.levels, id)
		}
	}
	for id, at := range g.jobs {
		if now.Sub(at) >= g.opts.Again {
			delete(g.jobs, id)
		}
	}
}

// pressure returns the highest tail in percent of its objective, and whether
// it was measured since the last action had settled. A service that answers
// hardly anybody is not late, so that batch beside it is released.
func (g *Guard) pressure(v *view) (fresh bool, percent int) {
	newest := g.counted
	for _, s := range v.services {
		goal := v.goals[s.Service]
		if goal <= 0 || s.Measured <= g.counted {
			continue
		}
		if g.started && s.Measured < g.acted.Add(g.opts.Settle) {
			continue
		}
		fresh = true
		newest = max(newest, s.Measured)
		if s.Served < g.opts.Served {
			continue
		}
		percent = max(percent, int(s.Tail*whole/(int64(goal)*microsPerMs)))
	}
	g.counted = newest
	return fresh, percent
}

const microsPerMs = 1000

// react answers one fresh measurement.
func (g *Guard) react(v *view, pressure int, now cowslipbend.Time) []Action {
	switch {
	case pressure > g.opts.High:
		g.calm, g.steady = 0, 0
		g.bad++
		if g.opts.Mode == Throttle && g.lower(v, pressure) {
			g.bad = 0
			g.act(now)
			return nil
		}
		if a, ok := g.evict(v, now); ok {
			return []Action{a}
		}
	case pressure < g.opts.Low:
		g.bad = 0
		if g.calm++; g.calm >= g.opts.Calm && g.raise(v) {
			g.calm, g.steady = 0, 0
			g.act(now)
		}
	default:
		g.bad, g.calm = 0, 0
		if g.steady++; g.steady >= g.opts.Steady && g.raise(v) {
			g.steady = 0
			g.act(now)
		}
	}
	return nil
}

func (g *Guard) act(now cowslipbend.Time) { g.acted, g.started = now, true }

// lower cuts the share of the most harmful class that is above its floor, and
// of all to blame if a tail is beyond its objective: by half, or by as much as
// the tail is too long. It reports whether it lowered any.
func (g *Guard) lower(v *view, pressure int) bool {
	lowered := false
	part := min(whole/2, whole*whole/pressure)
	for _, c := range g.blamed(v, true) {
		for _, s := range v.batch {
			if p := g.percent(s); s.Class == c && p > g.opts.Floor {
				g.levels[s.Task] = level{s.Attempt, s.Class, max(g.opts.Floor, p*part/whole)}
				lowered = true
			}
		}
		if lowered && pressure <= whole {
			return true
		}
	}
	return lowered
}

// raise gives the least harmful class that is throttled a part of its share
// back.
func (g *Guard) raise(v *view) bool {
	classes := g.ranked(v)
	for i := len(classes) - 1; i >= 0; i-- {
		raised := false
		for _, s := range v.batch {
			if p := g.percent(s); s.Class == classes[i] && p < whole {
				g.levels[s.Task] = level{s.Attempt, s.Class, min(whole, p+g.opts.Raise)}
				raised = true
			}
		}
		if raised {
			return true
		}
	}
	return false
}

// percent returns the share that the task may use. A task that starts beside
// throttled ones of its class gets as little as they.
func (g *Guard) percent(s *cowslipbend.TaskStatus) int {
	if l, ok := g.levels[s.Task]; ok {
		return l.percent
	}
	p := whole
	for _, l := range g.levels {
		if l.class == s.Class {
			p = min(p, l.percent)
		}
	}
	return p
}

// evict chooses the most harmful task after enough bad measurements, within
// the rate of the worker and of the task's job.
func (g *Guard) evict(v *view, now cowslipbend.Time) (Action, bool) {
	need := g.opts.Bad
	if g.opts.Mode == Evict {
		need = 2
	}
	if g.bad < need || g.evicted > 0 && now.Sub(g.evicted) < g.opts.Evict {
		return Action{}, false
	}
	for _, c := range g.blamed(v, false) {
		for _, s := range v.batch {
			if _, lately := g.jobs[jobOf(s.Task)]; s.Class == c && !lately {
				return g.evictNow(s, "a service beside it is late", now), true
			}
		}
	}
	return Action{}, false
}

func (g *Guard) evictNow(s *cowslipbend.TaskStatus, reason string, now cowslipbend.Time) Action {
	g.bad = 0
	g.evicted = now
	g.jobs[jobOf(s.Task)] = now
	g.act(now)
	return Action{Task: s.Task, Attempt: s.Attempt, Evict: true, Reason: reason}
}

// settle returns the throttles that the worker does not have in force yet.
func (g *Guard) settle(v *view) []Action {
	if g.opts.Mode != Throttle {
		return nil
	}
	var out []Action
	for _, s := range v.batch {
		want := g.percent(s)
		if limit, ok := v.limits[s.Task]; ok {
			want = min(want, limit)
		}
		if _, noted := g.levels[s.Task]; !noted && want < whole {
			g.levels[s.Task] = level{s.Attempt, s.Class, g.percent(s)}
		}
		if s.Percent != want {
			out = append(out, Action{Task: s.Task, Attempt: s.Attempt, Percent: want})
		}
	}
	return out
}

// ranked returns the classes of batch on the worker, the most harmful first.
func (g *Guard) ranked(v *view) []cowslipbend.Class {
	strain := g.strains(v, true)
	classes := make([]cowslipbend.Class, 0, len(strain))
	for c := range strain {
		classes = append(classes, c)
	}
	sort.Slice(classes, func(i, j int) bool {
		if strain[classes[i]] != strain[classes[j]] {
			return strain[classes[i]] > strain[classes[j]]
		}
		return classes[i] < classes[j]
	})
	return classes
}
