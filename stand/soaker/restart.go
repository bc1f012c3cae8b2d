package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Restarts of the runners of some agents at a time, under their ids.
const (
	restartedShare = 4 // one of so many agents
	maxRestarts    = 3 // in a row
	minDown        = 300 * time.Millisecond
	maxExtraDown   = 700 * time.Millisecond
	minUp          = 200 * time.Millisecond
	maxExtraUp     = 2 * time.Second
	// lateTime is how long calls are left unanswered to be carried out late, and latePercent
	// the share of them.
	lateTime    = 5 * time.Second
	latePercent = 50
	// maxCutDelay is the longest time from the last restart to the fault after it, and
	// cutTime how long that lasts. Leases end in it.
	maxCutDelay = 2500 * time.Millisecond
	cutTime     = 9 * time.Second
)

// restartPlan is a play of restarts.
type restartPlan struct {
	hosts []*member
	late  bool
	// count is the number of restarts, down and up the times between them.
	count    int
	down, up []time.Duration
	silent   []bool
	cutDelay time.Duration
}

func (f *fleet) planRestarts(rnd *rand.Rand) *restartPlan {
	p := &restartPlan{late: rnd.IntN(2) == 0, count: 1 + rnd.IntN(maxRestarts), cutDelay: time.Duration(rnd.Int64N(int64(maxCutDelay)))}
	for _, n := range rnd.Perm(len(f.agents))[:max(1, len(f.agents)/restartedShare)] {
		p.hosts = append(p.hosts, f.agents[n])
	}
	for range p.count {
		p.down = append(p.down, minDown+time.Duration(rnd.Int64N(int64(maxExtraDown))))
		p.up = append(p.up, minUp+time.Duration(rnd.Int64N(int64(maxExtraUp))))
		p.silent = append(p.silent, rnd.IntN(4) > 0)
	}
	return p
}

// String describes the plan.
func (p *restartPlan) String() string {
	return fmt.Sprintf("late calls %t, down %v, up %v, silent %v", p.late, p.down, p.up, p.silent)
}

// playRestarts has runners start again under their ids and cuts off their agents soon after,
// again and again until the time.
func (f *fleet) playRestarts(ctx context.Context, rnd *rand.Rand, end time.Time) (injected int) {
	for time.Now().Before(end) && ctx.Err() == nil {
		p := f.planRestarts(rnd)
		f.opts.Log.Info("fault injected", "seed", f.opts.Seed, "what", "runners restart under their ids", "hosts", p.names(), "plan", p.String())
		if p.late {
			f.delayCalls(ctx, lateTime)
		}
		var restarts sync.WaitGroup
		for _, m := range p.hosts {
			restarts.Go(func() { f.restartRunner(ctx, m, p) })
		}
		restarts.Wait()
		sleep(ctx, p.cutDelay)
		injected += len(p.hosts) * (p.count + 1)
		f.cutOff(ctx, rnd, p.hosts)
		sleepGap(ctx, rnd)
	}
	return injected
}

func (p *restartPlan) names() (names []string) {
	for _, m := range p.hosts {
		names = append(names, m.proc.Name)
	}
	return names
}

// restartRunner has the runner of an agent start again, as often as planned.
func (f *fleet) restartRunner(ctx context.Context, m *member, p *restartPlan) {
	defer m.host.disturb(maxLateness)()
	for n := range p.count {
		if n > 0 {
			sleep(ctx, p.up[n])
		}
		if p.silent[n] {
			m.host.restartSilently(ctx, p.down[n])
		} else if err := m.host.restart(ctx, p.down[n]); err != nil {
			f.opts.Log.Error("runner failed to restart; it stays down for the rest of the run", "process", m.proc.Name, "error", err)
		}
	}
}

// delayCalls has all runners leave a share of the calls unanswered for the time, and carry
// them out late.
func (f *fleet) delayCalls(ctx context.Context, span time.Duration) {
	for _, m := range f.agents {
		m.host.latePercent.Store(latePercent)
		defer m.host.disturb(maxLateness)()
	}
	sleep(ctx, span)
	for _, m := range f.agents {
		m.host.latePercent.Store(0)
	}
}

// cutOff has a fault act on the agents, or on the owner too.
func (f *fleet) cutOff(ctx context.Context, rnd *rand.Rand, agents []*member) {
	kind, short := rnd.IntN(6), time.Duration(rnd.Int64N(int64(time.Second)))
	if kind == 5 {
		f.startCompanion(ctx, companion{"killed", []*member{f.leader(ctx)}, kill, f.startAgain, short})
		sleep(ctx, short)
		kind = rnd.IntN(4)
	}
	names := []string{"cut off", "frozen", "killed", "restarted", "left alone"}
	f.opts.Log.Info("fault injected", "seed", f.opts.Seed, "what", "agents "+names[kind])
	var cuts sync.WaitGroup
	for _, m := range agents {
		cuts.Go(func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			defer m.host.disturb(0)()
			switch kind {
			case 0:
				heal := f.isolate(m, partition{ways: bothWays, span: cutTime})
				sleep(ctx, cutTime)
				heal()
			case 1:
				m.proc.SetPaused(true)
				sleep(ctx, cutTime)
				m.proc.SetPaused(false)
			case 2:
				f.restart(ctx, m, syscall.SIGKILL, cutTime)
			case 3:
				f.restart(ctx, m, syscall.SIGKILL, short)
			}
		})
	}
	cuts.Wait()
}
