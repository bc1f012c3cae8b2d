package supervisor

import (
	"context"

	"cowslipbend.dev"
)

// candidateTimeout is how long a heartbeat of another incarnation is remembered while the
// runner does not tell which one it is.
const candidateTimeout = 3 * cowslipbend.Second

// candidate is the newest heartbeat of an incarnation that is not the current one.
type candidate struct {
	beat cowslipbend.RunnerHeartbeat
	// receivedAt is when its first heartbeat arrived.
	receivedAt cowslipbend.Time
}

// propose records a heartbeat of an incarnation that is not the current one. Only the
// runner itself can tell whether it is that one: heartbeats may be late, or come from
// another writer. The caller holds the lock.
func (s *Supervisor) propose(b cowslipbend.RunnerHeartbeat) {
	switch c := s.candidate; {
	case c == nil || c.beat.Host.Life != b.Host.Life:
		s.candidate = &candidate{beat: b, receivedAt: s.clock.Now()}
	case b.Sequence > c.beat.Sequence:
		s.candidate = &candidate{beat: b, receivedAt: c.receivedAt}
	}
	select {
	case s.candidateTrigger <- struct{}{}:
	default:
	}
}

// identifyRunner asks the runner which incarnation it is, whenever a heartbeat of another
// one than the current one has arrived, until the context ends.
func (s *Supervisor) identifyRunner(ctx context.Context) error {
	for ctx.Err() == nil {
		s.mu.Lock()
		c, token := s.candidate, s.token()
		s.mu.Unlock()
		if c == nil {
			select {
			case <-ctx.Done():
			case <-s.candidateTrigger:
			}
			continue
		}
		list, err := s.ask(ctx, c.beat.Host.Life, token)
		if !s.decideCandidate(c.beat.Host.Life, list.Life, err) {
			s.sleep(ctx, s.candidateTrigger, renewalBackoff)
		}
	}
	return nil
}

// decideCandidate tracks the candidate if the runner has answered as that incarnation, and
// drops it if the runner is another one. It reports whether either is known.
func (s *Supervisor) decideCandidate(life, answered cowslipbend.Incarnation, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.candidate
	if c == nil || c.beat.Host.Life != life {
		return true // Another one has replaced it.
	}
	kind := cowslipbend.KindOf(err)
	// A runner that refuses the fence of an agent that has just started has at least the id
	// of the candidate. The renewals tell whether it is another incarnation.
	confirmed := (err == nil && answered == life) || (kind == cowslipbend.KindConflict && s.host == nil)
	refuted := (err == nil && answered != life) || kind == cowslipbend.KindStale
	switch {
	case confirmed:
		s.candidate = nil
		s.trackLife(c.beat)
		return true
	case refuted:
		s.log.Warn("heartbeat ignored: the runner is another incarnation", "life", life, "answered", answered, "error", err)
		s.settings.Metrics.RecordForeignHeartbeat()
	case s.clock.Now().Sub(c.receivedAt) > candidateTimeout:
		s.log.Warn("heartbeat ignored: the runner did not tell its incarnation", "life", life, "error", err)
	default:
		return false
	}
	s.candidate = nil
	return true
}
