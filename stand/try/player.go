package try

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"cowslipbend.dev"
	"cowslipbend.dev/operator"
	"cowslipbend.dev/stand/load"
	"cowslipbend.dev/stand/platform"
	"cowslipbend.dev/stand/worker"
	"cowslipbend.dev/timer"
)

// player plays the steps of a case on a system under load.
type player struct {
	*System
	callers  *load.Callers
	batch    *load.Submitter
	balancer *load.Balancer
	spreads  spreads
	scale    float64
}

// scaled returns a span of the case at the length that is played.
func (p *player) scaled(s cowslipbend.Span) cowslipbend.Span {
	return cowslipbend.Span(float64(s) * p.scale)
}

// play plays all steps until the context ends. Faults that are still on then
// are taken back.
func (p *player) play(ctx context.Context, steps []step) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, s := range steps {
		g.Go(func() error {
			if !timer.Sleep(ctx, timer.Host{}, p.scaled(s.At)) {
				return nil
			}
			p.note("%s %d %g for %s", s.Do, s.Who, s.Value, p.scaled(s.Lasts))
			return p.do(ctx, s)
		})
	}
	return g.Wait()
}

func (p *player) note(format string, args ...any) {
	p.log.Info("step: " + fmt.Sprintf(format, args...))
	if p.opts.Progress != nil {
		fmt.Fprintf(p.opts.Progress, "step: "+format+"\n", args...)
	}
}

// lasting does something, waits, and takes it back.
func (p *player) lasting(ctx context.Context, s step, on, off func()) error {
	on()
	timer.Sleep(ctx, timer.Host{}, p.scaled(s.Lasts))
	off()
	return nil
}

func (p *player) do(ctx context.Context, s step) error {
	switch s.Do {
	case setRate:
		p.callers.SetRate(s.Value)
	case setNoisy:
		p.batch.SetMix(func(m *load.Mix) { m.NoisyPercent = int(s.Value) })
	case cancelWave:
		p.batch.CancelEveryOther(ctx)
	case publishAgain:
		return p.publishAgain(ctx)
	case rollEntries:
		return p.rollEntries(ctx)
	case rollAgents:
		return p.rollAgents(ctx)
	case storeDown, storeSlow, storeLoses:
		return p.store(ctx, s)
	case killEntry, killAgent, killWorker:
		return p.kills(ctx, s)
	case pauseEntry, pauseAgent:
		return p.pauses(ctx, s)
	case silentEntry:
		p.part(p.entries, p.who(ctx, s)).host.Silence()
	case silentAgent:
		p.part(p.agents, s.Who).host.Silence()
	case silentWorker, failWorker, slowWorker, lagUsage:
		return p.ails(ctx, s)
	}
	return nil
}

func (p *player) part(list []*part, i int) *part {
	p.mu.Lock()
	defer p.mu.Unlock()
	return list[i]
}

// who returns the index of the entry that a step means.
func (p *player) who(ctx context.Context, s step) int {
	if s.Who != owner {
		return s.Who
	}
	for _, url := range p.URLs() {
		status, err := operator.New(url, "", opTimeout).Status(ctx)
		if err != nil {
			continue
		}
		for _, pool := range status.Pools {
			for i := range p.entries {
				if pool.Name == p.firm.Pool && string(pool.Owner) == fmt.Sprintf("e%d", i+1) {
					return i
				}
			}
		}
	}
	return 0
}

func (p *player) store(ctx context.Context, s step) error {
	f := platform.Fault{}
	switch s.Do {
	case storeDown:
		f.Down = true
	case storeSlow:
		f.Delay = cowslipbend.Span(s.Value)
	default:
		f.Lose = int(s.Value)
	}
	return p.lasting(ctx, s, func() { p.platform.SetFault(f) }, func() { p.platform.SetFault(platform.Fault{}) })
}

func (p *player) kills(ctx context.Context, s step) error {
	i := p.who(ctx, s)
	switch s.Do {
	case killEntry:
		p.part(p.entries, i).kill()
	case killAgent:
		p.part(p.agents, i).kill()
	default:
		p.part(p.agents, i).kill()
		p.part(p.workers, i).kill()
	}
	timer.Sleep(ctx, timer.Host{}, p.scaled(s.Lasts))
	return p.again(s, i)
}

// again starts what a step killed.
func (p *player) again(s step, i int) error {
	switch s.Do {
	case killEntry:
		err := p.StartEntry(i)
		p.balancer.SetURLs(p.URLs())
		return err
	case killAgent:
		<-p.part(p.agents, i).done
		return p.StartAgent(i)
	default:
		<-p.part(p.agents, i).done
		<-p.part(p.workers, i).done
		if err := p.StartWorker(i); err != nil {
			return err
		}
		return p.StartAgent(i)
	}
}

func (p *player) pauses(ctx context.Context, s step) error {
	list := p.agents
	if s.Do == pauseEntry {
		list = p.entries
	}
	host := p.part(list, p.who(ctx, s)).host
	return p.lasting(ctx, s, host.Pause, host.Resume)
}

func (p *player) ails(ctx context.Context, s step) error {
	f := worker.Fault{}
	switch s.Do {
	case silentWorker:
		f.Unresponsive = true
	case failWorker:
		f.FailAll = true
	case slowWorker:
		f.SlowdownFactor = s.Value
	default:
		f.Lag = cowslipbend.Span(s.Value)
	}
	p.mu.Lock()
	w := p.current[s.Who]
	p.mu.Unlock()
	return p.lasting(ctx, s, func() { w.SetFault(f) }, func() { w.SetFault(worker.Fault{}) })
}

// rollPause is the time between two replacements.
const rollPause = cowslipbend.Second / 2

// rollEntries replaces each entry by a planned stop and a new start.
func (p *player) rollEntries(ctx context.Context) error {
	for i := range p.entries {
		old := p.part(p.entries, i)
		old.stop()
		<-old.done
		if err := p.StartEntry(i); err != nil {
			return err
		}
		p.balancer.SetURLs(p.URLs())
		if !timer.Sleep(ctx, timer.Host{}, rollPause) {
			break
		}
	}
	return nil
}

// rollAgents replaces each agent by a planned stop and a new start.
func (p *player) rollAgents(ctx context.Context) error {
	for i := range p.agents {
		old := p.part(p.agents, i)
		old.stop()
		<-old.done
		if err := p.StartAgent(i); err != nil {
			return err
		}
		if !timer.Sleep(ctx, timer.Host{}, rollPause) {
			break
		}
	}
	return nil
}

// publishAgain publishes the set with a changed rate on top of what is in
// force, and measures how long it takes until all processes have it.
func (p *player) publishAgain(ctx context.Context) error {
	op := operator.New(p.balancer.Next(), "", opTimeout)
	now, err := op.Config(ctx)
	if err != nil {
		p.note("publish failed: %v", err)
		return nil
	}
	files, err := p.files(int64(now.Revision))
	if err != nil {
		return err
	}
	rev, err := op.Publish(ctx, now.Revision, files)
	if err != nil {
		p.note("publish failed: %v", err)
		return nil
	}
	p.spreads.follow(ctx, p.System, rev, time.Now())
	return nil
}
