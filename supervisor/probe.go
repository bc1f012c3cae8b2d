package supervisor

import (
	"context"

	"cowslipbend.dev"
)

// Intervals of probes, which are their timeouts too.
const (
	// probeInterval is the time between two probes of a runner that answers, and
	// reprobeInterval that of one that doesn't.
	probeInterval   = 100 * cowslipbend.Millisecond
	reprobeInterval = 30 * cowslipbend.Millisecond
)

// fencedLife is an incarnation that refuses calls of earlier processes and for earlier owners
// than these.
type fencedLife struct {
	life    cowslipbend.Incarnation
	epoch   cowslipbend.Epoch
	process int64
}

// expectLateCalls has the runner probed as long as a start that was sent now may be carried
// out late. The caller holds the lock.
func (s *Supervisor) expectLateCalls() {
	s.lateCallsUntil = s.clock.Now().Add(cowslipbend.LateCallTimeout)
	select {
	case s.probeTrigger <- struct{}{}:
	default:
	}
}

// probeRunner looks for the next incarnation of the runner while starts may be carried out
// late, until the context ends: before its first heartbeat it would execute those that were meant
// for the earlier one, whose tasks may be elsewhere by then.
func (s *Supervisor) probeRunner(ctx context.Context) error {
	interval := probeInterval
	for ctx.Err() == nil {
		s.mu.Lock()
		life, token, due := s.lostLife, s.token(), s.clock.Now() < s.lateCallsUntil
		if s.host != nil {
			life = s.host.Life
		}
		s.mu.Unlock()
		switch {
		case !due:
			select {
			case <-ctx.Done():
			case <-s.probeTrigger:
			}
			continue
		case life == "":
		case s.probe(ctx, life, token, interval):
			interval = probeInterval
		default:
			interval = reprobeInterval
		}
		s.sleep(ctx, nil, interval)
	}
	return nil
}

// probe asks the incarnation for a list, and reports whether it answers within the time. If
// another one does, that is made to refuse earlier calls.
func (s *Supervisor) probe(ctx context.Context, life cowslipbend.Incarnation, token cowslipbend.Fence, timeout cowslipbend.Span) bool {
	probeCtx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	list, err := s.ask(probeCtx, life, token)
	switch cowslipbend.KindOf(err) {
	case "", cowslipbend.KindConflict, cowslipbend.KindLimited:
		return true
	case cowslipbend.KindStale:
		// A runner with another id refuses earlier calls anyway.
		return list.Life == "" || list.Life == life || s.fenceOff(ctx, list.Life)
	}
	return false
}

// fenceOff has an incarnation refuse calls that were meant for earlier ones, before its first
// heartbeat. It reports whether it does.
func (s *Supervisor) fenceOff(ctx context.Context, life cowslipbend.Incarnation) bool {
	s.mu.Lock()
	next := fencedLife{life, s.epoch, s.process}
	if s.fencedOff == next {
		s.mu.Unlock()
		return true
	}
	s.lifeNumber++
	number, token := s.lifeNumber, s.token()
	s.mu.Unlock()
	list, err := s.ask(ctx, life, token)
	if err != nil {
		s.log.Info("runner that has started again did not answer", "life", life, "error", err)
		return false
	}
	s.log.Info("runner has started again and refuses earlier calls", "life", life)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fencedOff = next
	if number == s.lifeNumber && list.Life == life {
		s.noteFound(life, list.Running)
	}
	return true
}
