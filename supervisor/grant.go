package supervisor

import (
	"context"
	"sync"

	"cowslipbend.dev"
)

const (
	// stopMargin is the time that the calls which stop runs may take.
	stopMargin = 300 * cowslipbend.Millisecond
	// replyTimeout is the time after which an owner that answers has been told of an incarnation.
	replyTimeout = reportInterval + reportTimeout
)

// foundLife is an incarnation of the runner that was found. Until an owner has heard of it, the
// owner counts on the end of the lease that it granted for the one before, while a start that was
// meant for that may have given this one any lease.
type foundLife struct {
	life cowslipbend.Incarnation
	at   cowslipbend.Time
	// reported is set once an owner has shown that it has heard of it.
	reported bool
	// running holds the runs that it listed before its first heartbeat.
	running []cowslipbend.RunState
}

// noteFound records an incarnation that was found, and its runs. The caller holds the lock.
func (s *Supervisor) noteFound(life cowslipbend.Incarnation, running []cowslipbend.RunState) {
	if s.found.life != life {
		s.found = foundLife{life: life, at: s.clock.Now()}
	}
	s.found.running = running
	s.triggerEnforcement()
}

func (s *Supervisor) triggerEnforcement() {
	select {
	case s.enforceTrigger <- struct{}{}:
	default:
	}
}

// unreportedRuns returns the runs of the incarnation that was found last, if no owner has heard
// of it. The caller holds the lock.
func (s *Supervisor) unreportedRuns() (cowslipbend.Incarnation, []cowslipbend.RunState) {
	f := &s.found
	longest := s.settings.MaxLease + s.settings.MaxLease/driftDivisor
	switch {
	case f.reported:
		return "", nil
	case s.host != nil && s.host.Life == f.life:
		return f.life, s.running
	case s.clock.Now().Sub(f.at) > longest:
		return "", nil // Its runs have lapsed.
	}
	return f.life, f.running
}

// stopsDueIn returns the time until the runs of an incarnation of which no owner has heard must be
// stopped, so that they have ended when the lease ends that the owner has granted. An owner
// that answers gets the time to hear of it. The caller holds the lock.
func (s *Supervisor) stopsDueIn() cowslipbend.Span {
	if s.epoch == 0 {
		return stopRetryInterval // The runner refuses the calls of an agent that knows no epoch.
	}
	grantEnd := s.leaseEnd
	if grantEnd == 0 {
		grantEnd = s.startedAt.Add(s.settings.Grant) // That of an earlier process.
	}
	dueAt := max(grantEnd.Add(-s.settings.StopGrace-stopMargin), min(s.lastReplyAt, s.found.at).Add(replyTimeout))
	return dueAt.Sub(s.clock.Now())
}

// enforceGrant stops the runs of an incarnation of which no owner has heard when the lease that was
// granted for the one before ends, until the context ends: its own lease may be longer.
func (s *Supervisor) enforceGrant(ctx context.Context) error {
	for ctx.Err() == nil {
		s.mu.Lock()
		life, running := s.unreportedRuns()
		wait := s.stopsDueIn()
		s.mu.Unlock()
		switch {
		case len(running) == 0:
			select {
			case <-ctx.Done():
			case <-s.enforceTrigger:
			}
		case wait > 0:
			s.sleep(ctx, nil, wait)
		default:
			s.stopUnreported(ctx, life, running)
			s.sleep(ctx, nil, stopRetryInterval)
		}
	}
	return nil
}

// stopUnreported stops runs of an incarnation of which no owner has heard, and has it list what is
// left.
func (s *Supervisor) stopUnreported(ctx context.Context, life cowslipbend.Incarnation, running []cowslipbend.RunState) {
	s.log.Warn("stopping runs: the granted lease ends before the owner has heard of their runner's incarnation", "life", life, "runs", len(running))
	var group sync.WaitGroup
	for i := range running {
		group.Add(1)
		spawned := s.spawn(func(ctx context.Context) {
			defer group.Done()
			s.stopOneUnreported(ctx, life, running[i].RunRef)
		})
		if !spawned {
			group.Done()
		}
	}
	group.Wait()
	s.mu.Lock()
	tracked, token := s.host != nil && s.host.Life == life, s.token()
	s.mu.Unlock()
	if tracked {
		_ = s.renewLease(ctx, false) // The loop that renews logs failures.
		return
	}
	list, err := s.ask(ctx, life, token)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && list.Life == life && s.found.life == life {
		s.found.running = list.Running
	}
}

func (s *Supervisor) stopOneUnreported(ctx context.Context, life cowslipbend.Incarnation, ref cowslipbend.RunRef) {
	s.mu.Lock()
	current, _ := s.unreportedRuns()
	due, token := current == life && s.stopsDueIn() <= 0, s.token()
	s.mu.Unlock()
	if !due {
		return
	}
	if err := s.runner.Stop(ctx, life, ref, token); err != nil {
		s.log.Warn("runner did not confirm a stop; retrying", "flow", ref.Task.Job, "task", ref.Task.String(), "run", ref.Run, "error", err)
	}
}
