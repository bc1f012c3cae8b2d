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

// player applies the steps of a case to a system under load.
type player struct {
	*System
	callers   *load.Callers
	submitter *load.Submitter
	balancer  *load.Balancer
	rollouts  rolloutTimes
	scale     float64
}

// scaled scales a span of the case by the ratio of the run's length to the case's
// length.
func (p *player) scaled(s cowslipbend.Span) cowslipbend.Span {
	return cowslipbend.Span(float64(s) * p.scale)
}

// playSteps applies all steps at their times until the context ends. Temporary
// faults that are active then are reverted.
func (p *player) playSteps(ctx context.Context, steps []step) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, s := range steps {
		g.Go(func() error {
			if !timer.Sleep(ctx, timer.Host{}, p.scaled(s.At)) {
				return nil
			}
			p.logProgress("%s target=%d value=%g duration=%s", s.Action, s.Target, s.Value, p.scaled(s.Duration))
			return p.perform(ctx, s)
		})
	}
	return g.Wait()
}

// logProgress writes a message about a step to the log and the progress output.
func (p *player) logProgress(format string, args ...any) {
	p.log.Info("step: " + fmt.Sprintf(format, args...))
	if p.opts.Progress != nil {
		fmt.Fprintf(p.opts.Progress, "step: "+format+"\n", args...)
	}
}

// applyFor injects a fault and reverts it after the step's duration or when the
// context ends.
func (p *player) applyFor(ctx context.Context, s step, inject, revert func()) error {
	inject()
	timer.Sleep(ctx, timer.Host{}, p.scaled(s.Duration))
	revert()
	return nil
}

func (p *player) perform(ctx context.Context, s step) error {
	switch s.Action {
	case setRate:
		p.callers.SetRate(s.Value)
	case setNoisy:
		p.submitter.SetMix(func(m *load.Mix) { m.NoisyPercent = int(s.Value) })
	case cancelJobs:
		p.submitter.CancelEveryOther(ctx)
	case publishChange:
		return p.publishChange(ctx)
	case rollEntries:
		return p.rollEntries(ctx)
	case rollAgents:
		return p.rollAgents(ctx)
	case storeDown, storeSlow, storeLosesAnswers:
		return p.faultStore(ctx, s)
	case killEntry, killAgent, killWorker:
		return p.killAndRestart(ctx, s)
	case pauseEntry, pauseAgent:
		return p.pause(ctx, s)
	case blackholeEntry:
		p.componentAt(p.entries, p.entryIndex(ctx, s)).host.Blackhole()
	case blackholeAgent:
		p.componentAt(p.agents, s.Target).host.Blackhole()
	case hangWorker, failWorker, slowWorker, delayMeasurements:
		return p.faultWorker(ctx, s)
	}
	return nil
}

func (p *player) componentAt(list []*component, i int) *component {
	p.mu.Lock()
	defer p.mu.Unlock()
	return list[i]
}

// entryIndex returns the index of the step's target. If that is the pool's owner
// and no entry names it, the index is 0.
func (p *player) entryIndex(ctx context.Context, s step) int {
	if s.Target != poolOwner {
		return s.Target
	}
	for _, url := range p.URLs() {
		status, err := operator.New(url, "", entryTimeout).Status(ctx)
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

func (p *player) faultStore(ctx context.Context, s step) error {
	f := platform.Fault{}
	switch s.Action {
	case storeDown:
		f.Down = true
	case storeSlow:
		f.Delay = cowslipbend.Span(s.Value)
	default:
		f.LostAnswerPercent = int(s.Value)
	}
	return p.applyFor(ctx, s, func() { p.platform.SetFault(f) }, func() { p.platform.SetFault(platform.Fault{}) })
}

func (p *player) killAndRestart(ctx context.Context, s step) error {
	i := p.entryIndex(ctx, s)
	switch s.Action {
	case killEntry:
		p.componentAt(p.entries, i).kill()
	case killAgent:
		p.componentAt(p.agents, i).kill()
	default:
		p.componentAt(p.agents, i).kill()
		p.componentAt(p.workers, i).kill()
	}
	timer.Sleep(ctx, timer.Host{}, p.scaled(s.Duration))
	return p.restart(s, i)
}

// restart starts what a step killed again.
func (p *player) restart(s step, i int) error {
	switch s.Action {
	case killEntry:
		err := p.StartEntry(i)
		p.balancer.SetURLs(p.URLs())
		return err
	case killAgent:
		<-p.componentAt(p.agents, i).done
		return p.StartAgent(i)
	default:
		<-p.componentAt(p.agents, i).done
		<-p.componentAt(p.workers, i).done
		if err := p.StartWorker(i); err != nil {
			return err
		}
		return p.StartAgent(i)
	}
}

func (p *player) pause(ctx context.Context, s step) error {
	list := p.agents
	if s.Action == pauseEntry {
		list = p.entries
	}
	host := p.componentAt(list, p.entryIndex(ctx, s)).host
	return p.applyFor(ctx, s, host.Pause, host.Resume)
}

func (p *player) faultWorker(ctx context.Context, s step) error {
	f := worker.Fault{}
	switch s.Action {
	case hangWorker:
		f.Unresponsive = true
	case failWorker:
		f.FailAll = true
	case slowWorker:
		f.SlowdownFactor = s.Value
	default:
		f.Lag = cowslipbend.Span(s.Value)
	}
	p.mu.Lock()
	w := p.currentModels[s.Target]
	p.mu.Unlock()
	return p.applyFor(ctx, s, func() { w.SetFault(f) }, func() { w.SetFault(worker.Fault{}) })
}

// rollInterval is the time from one replacement to the next.
const rollInterval = cowslipbend.Second / 2

// rollEntries stops each entry as planned and starts a new one in its place.
func (p *player) rollEntries(ctx context.Context) error {
	for i := range p.entries {
		old := p.componentAt(p.entries, i)
		old.stop()
		<-old.done
		if err := p.StartEntry(i); err != nil {
			return err
		}
		p.balancer.SetURLs(p.URLs())
		if !timer.Sleep(ctx, timer.Host{}, rollInterval) {
			break
		}
	}
	return nil
}

// rollAgents stops each agent as planned and starts a new one in its place.
func (p *player) rollAgents(ctx context.Context) error {
	for i := range p.agents {
		old := p.componentAt(p.agents, i)
		old.stop()
		<-old.done
		if err := p.StartAgent(i); err != nil {
			return err
		}
		if !timer.Sleep(ctx, timer.Host{}, rollInterval) {
			break
		}
	}
	return nil
}

// publishChange publishes the declarations with a changed rate on top of the
// revision in force, and measures the time until all processes have applied it.
// A failed publish is logged and not an error.
func (p *player) publishChange(ctx context.Context) error {
	op := operator.New(p.balancer.Next(), "", entryTimeout)
	inForce, err := op.Config(ctx)
	if err != nil {
		p.logProgress("publish skipped: the configuration in force could not be read: %v", err)
		return nil
	}
	files, err := p.declarations(int64(inForce.Revision))
	if err != nil {
		return err
	}
	rev, err := op.Publish(ctx, inForce.Revision, files)
	if err != nil {
		p.logProgress("publish of the changed declarations failed: %v", err)
		return nil
	}
	p.rollouts.awaitRollout(ctx, p.System, rev, time.Now())
	return nil
}
