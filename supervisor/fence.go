package supervisor

import (
	"context"

	"cowslipbend.dev"
)

// token returns the fence of calls to the current incarnation of the runner. The caller holds
// the lock.
func (s *Supervisor) token() cowslipbend.Fence {
	process := int64(0)
	if s.processEpoch == s.epoch {
		process = s.process
	}
	return cowslipbend.NewFence(s.epoch, process, s.lifeNumber)
}

// isFenced reports whether the current incarnation of the runner refuses all calls that were
// meant for an earlier one, or that earlier processes of this agent have sent. Before that, its
// lists don't show what it may still start. The caller holds the lock.
func (s *Supervisor) isFenced() bool {
	return s.host != nil && s.epoch > 0 && s.processEpoch == s.epoch && s.fence == s.token()
}

// ask makes a renewal that changes no lease and drops no end. An incarnation that answers it
// refuses calls with a lower fence.
func (s *Supervisor) ask(ctx context.Context, life cowslipbend.Incarnation, token cowslipbend.Fence) (cowslipbend.RunList, error) {
	return s.runner.RenewLeases(ctx, life, 0, 0, 0, token)
}

// applyProcess applies the number of this process in a reply to a report of the epoch, and
// reports whether it is new.
func (s *Supervisor) applyProcess(reply *cowslipbend.ReportReply) bool {
	number := int64(0) // Owners of earlier builds number no processes.
	switch {
	case reply.Process != nil && *reply.Process == 0:
		return false
	case reply.Process != nil:
		number = *reply.Process
	}
	if s.processEpoch == reply.Epoch && s.process == number {
		return false
	}
	s.process, s.processEpoch = number, reply.Epoch
	return true
}
