package supervisor

import (
	"context"
	"fmt"

	"cowslipbend.dev"
	"cowslipbend.dev/estimator"
	"cowslipbend.dev/pacer"
)

// renewLeases renews the lease of the runs and collects their ends until the
// context ends.
func (s *Supervisor) renewLeases(ctx context.Context) error {
	for ctx.Err() == nil {
		s.mu.Lock()
		trigger, hasUnacked, host := s.renewalTrigger, len(s.unackedEnds) > 0, s.host
		s.mu.Unlock()
		if host == nil {
			s.sleep(ctx, trigger, pollTimeout)
			continue
		}
		if hasUnacked {
			s.sleep(ctx, trigger, renewalBackoff)
		}
		err := s.pollRunner(ctx)
		switch {
		case err == nil:
			s.adjustPaces(ctx)
		case s.renewalFailed(host.Life, err):
			s.sleep(ctx, nil, renewalBackoff)
		}
	}
	return nil
}

// pollRunner renews the lease, and returns early if another incarnation is tracked meanwhile:
// the runner would not answer until that call has timed out.
func (s *Supervisor) pollRunner(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.cancelPoll = cancel
	s.mu.Unlock()
	return s.renewLease(ctx, true)
}

// renewalFailed handles a failed renewal, and reports whether the incarnation is still the
// current one. The runner is lost, with all its runs, after maxUnreachableRenewals without
// a listener at its address, or once its lease has lapsed without an answer. Its next
// heartbeat makes it known again.
func (s *Supervisor) renewalFailed(life cowslipbend.Incarnation, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.host == nil || s.host.Life != life {
		return false
	}
	s.log.Warn("runner did not confirm the lease", "life", life, "error", err)
	if s.contactBrokenAt == 0 && cowslipbend.KindOf(err) != cowslipbend.KindConflict {
		s.contactBrokenAt = s.clock.Now()
	}
	if s.unreachableRenewals++; cowslipbend.KindOf(err) != cowslipbend.KindMissing {
		s.unreachableRenewals = 0
	}
	leaseLapsed := s.runnerLeaseEnd > 0 && s.clock.Now() > s.runnerLeaseEnd
	if s.unreachableRenewals < maxUnreachableRenewals && !leaseLapsed {
		return true
	}
	cause := cowslipbend.LossCrashed
	if leaseLapsed {
		cause = cowslipbend.LossLapsed
	}
	s.recordLoss(cause)
	s.host, s.lostLife = nil, life
	s.triggerReport()
	return true
}

// sleep waits until the trigger is closed or has a value, or the time has
// passed.
func (s *Supervisor) sleep(ctx context.Context, trigger <-chan struct{}, d cowslipbend.Span) {
	select {
	case <-ctx.Done():
	case <-trigger:
	case <-s.clock.After(d):
	}
}

// renewLease renews the lease once and records the lists that the runner
// returns. With poll, the runner may delay its answer until a run ends.
func (s *Supervisor) renewLease(ctx context.Context, poll bool) error {
	s.mu.Lock()
	if s.host == nil {
		s.mu.Unlock()
		return nil
	}
	life, until, token := s.host.Life, s.runnerDeadline(s.leaseEnd), s.token()
	acked, timeout := s.acknowledgement(), cowslipbend.Span(0)
	if poll {
		timeout = s.pollTimeout()
	}
	s.renewals++
	renewal := s.renewals
	s.mu.Unlock()
	list, err := s.runner.RenewLeases(ctx, life, until, acked, timeout, token)
	s.settings.Metrics.RecordLeaseRenewal(err)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.host == nil || s.host.Life != life || renewal < s.listedRenewal {
		return nil
	}
	if list.Life != life {
		if s.contactBrokenAt == 0 {
			s.contactBrokenAt = s.clock.Now()
		}
		return nil
	}
	if list.Malformed > 0 {
		s.settings.Metrics.RecordMalformedRows(list.Malformed)
		s.log.Warn("runner lists rows that do not decode; those that do not name their run were left out", "life", life, "rows", list.Malformed)
	}
	s.listedRenewal = renewal
	s.clockOffset, s.clockSynced = list.Clock.Sub(s.clock.Now()), true
	s.lastContact, s.unreachableRenewals, s.contactBrokenAt = s.clock.Now(), 0, 0
	if !s.lifeFenced {
		// Calls that were meant for an earlier incarnation may have given it any lease.
		s.runnerLeaseEnd = s.clock.Now().Add(s.settings.MaxLease + s.settings.MaxLease/driftDivisor)
	}
	s.fence, s.ackConfirmed = max(s.fence, token), max(s.ackConfirmed, acked)
	if !s.lifeFenced && s.isFenced() {
		s.lifeFenced = true
		s.triggerReport()
	}
	s.running = s.withStarted(list, renewal)
	s.triggerEnforcement()
	if s.moreEnds != list.MoreEnds {
		s.log.Info("runner's list of ended runs", "life", life, "complete", !list.MoreEnds, "ends", len(list.Ends))
	}
	s.moreEnds = list.MoreEnds
	s.recordEnds(list.Ends)
	return nil
}

// acknowledgement returns the number up to which the runner may drop ends, or zero if it has
// confirmed that already, or has not just listed its runs: one that started again with the
// same id would drop its own ends. For that, the renewal must not wait for an end either. The
// caller holds the lock.
func (s *Supervisor) acknowledgement() int64 {
	if !s.hasAcknowledgement() || s.clock.Now().Sub(s.lastContact) > maxListAge {
		return 0
	}
	return s.ackedThrough
}

// hasAcknowledgement reports whether the runner has to be told of acknowledged ends, once it
// has listed its runs. The caller holds the lock.
func (s *Supervisor) hasAcknowledgement() bool {
	return s.ackedThrough != s.ackConfirmed && s.contactBrokenAt == 0 && s.isFenced()
}

// pollTimeout returns how long the runner may wait for an end. It must answer at once while
// ends are to be acknowledged. The caller holds the lock.
func (s *Supervisor) pollTimeout() cowslipbend.Span {
	switch {
	case !s.clockSynced || len(s.unackedEnds) > 0 || s.hasAcknowledgement():
		return 0
	case s.hasServingRuns():
		return servingPollTimeout
	}
	return pollTimeout
}

// withStarted returns the running runs of a list and those that the runner has
// confirmed since the renewal was sent.
func (s *Supervisor) withStarted(list cowslipbend.RunList, renewal int64) []cowslipbend.RunState {
	listed := make(map[cowslipbend.RunRef]bool, len(list.Running)+len(list.Ends))
	for i := range list.Running {
		listed[list.Running[i].RunRef] = true
	}
	for i := range list.Ends {
		listed[list.Ends[i].RunRef] = true
	}
	running := list.Running
	for ref, r := range s.runs {
		if r.started && r.renewalAtStart >= renewal && !listed[ref] {
			running = append(running, cowslipbend.RunState{RunRef: ref})
		}
	}
	return running
}

// recordEnds stores the ends that are not acknowledged and triggers a report if
// any of them is new.
func (s *Supervisor) recordEnds(ends []cowslipbend.RunEnd) {
	last := s.ackedThrough
	if n := len(s.unackedEnds); n > 0 {
		last = s.unackedEnds[n-1].Number
	}
	hasNew := false
	var unacked []cowslipbend.RunEnd
	for _, e := range sortedEnds(ends) {
		if e.Number <= s.ackedThrough {
			continue
		}
		unacked = append(unacked, e)
		if e.Number > last {
			hasNew = true
			delete(s.runs, e.RunRef)
			s.settings.Metrics.RecordRunEnd(e.Kind)
			s.log.Info("run ended", "flow", e.Task.Job, "task", e.Task.String(), "run", e.Run, "how", e.Kind, "number", e.Number)
		}
	}
	s.unackedEnds = unacked
	if hasNew {
		s.triggerReport()
	}
}

// hasServingRuns reports whether any run is a serving one. Its tail is measured
// also before filling work begins beside it.
func (s *Supervisor) hasServingRuns() bool {
	for _, r := range s.runs {
		if r.tailTarget > 0 {
			return true
		}
	}
	return false
}

// pacingInterval is the shortest time between two decisions about paces, as a
// tail covers the last half second.
const pacingInterval = 450 * cowslipbend.Millisecond

// adjustPaces updates the paces of the filling runs if pacingInterval has
// passed.
func (s *Supervisor) adjustPaces(ctx context.Context) {
	s.mu.Lock()
	if s.host == nil || s.clock.Now().Sub(s.pacedAt) < pacingInterval {
		s.mu.Unlock()
		return
	}
	s.pacedAt = s.clock.Now()
	life, token := s.host.Life, s.token()
	s.mu.Unlock()
	changes := s.paceChanges()
	for ref, percent := range changes {
		s.setPace(ctx, life, ref, percent, token)
	}
}

func (s *Supervisor) setPace(ctx context.Context, life cowslipbend.Incarnation, ref cowslipbend.RunRef, percent int, token cowslipbend.Fence) {
	if err := s.runner.SetPace(ctx, life, ref, percent, token); err != nil {
		s.log.Warn("runner did not change the pace of a run", "task", ref.Task.String(), "run", ref.Run, "percent", percent, "error", err)
		return
	}
	s.settings.Metrics.RecordPaceChange()
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runs[ref]; r != nil {
		r.pace = percent
	}
}

// paceNewRun sets the pace of a filling run that has just started.
func (s *Supervisor) paceNewRun(ctx context.Context, ref cowslipbend.RunRef) {
	if life, token, percent, changed := s.admit(ref); changed {
		s.setPace(ctx, life, ref, percent, token)
	}
}

// admit returns the pace of a filling run that has just started, and whether it has
// to be set.
func (s *Supervisor) admit(ref cowslipbend.RunRef) (life cowslipbend.Incarnation, token cowslipbend.Fence, percent int, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[ref] == nil || s.host == nil {
		return "", 0, 0, false
	}
	_, filling := s.servingAndFilling()
	percent, changed = s.pacer.Admit(ref, filling)
	return s.host.Life, s.token(), percent, changed
}

// paceChanges returns the filling runs whose pace must change, with their new
// paces.
func (s *Supervisor) paceChanges() map[cowslipbend.RunRef]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.host == nil {
		return nil
	}
	serving, filling := s.servingAndFilling()
	if s.log.IsDebug() {
		s.log.Debug("deciding the paces of filling runs", "life", s.host.Life, "runs", s.describeRuns())
	}
	return s.pacer.Decide(s.pacedAt, serving, filling)
}

// servingAndFilling returns the states of the serving and filling runs on the
// host. Serving runs that do not work at full speed are left out.
func (s *Supervisor) servingAndFilling() (serving []estimator.Serving, filling []pacer.Run) {
	hostCPU := float64(max(s.host.Size.CPU, 1))
	for i := range s.running {
		state := &s.running[i]
		r := s.runs[state.RunRef]
		switch {
		case r == nil:
		case r.fills:
			filling = append(filling, pacer.Run{
				Ref: state.RunRef, Image: r.image, RequestedShare: float64(r.cpu) / hostCPU, UsedShare: float64(state.TailOrCPU) / hostCPU, Pace: r.pace,
			})
		case r.tailTarget > 0 && state.Percent == 100:
			serving = append(serving, estimator.Serving{
				Image: r.image, Group: string(state.Task.Job), Tail: float64(state.TailOrCPU), Target: float64(r.tailTarget),
			})
		}
	}
	return serving, filling
}

// describeRuns formats the states of the serving and filling runs for the log.
func (s *Supervisor) describeRuns() []string {
	var list []string
	for i := range s.running {
		state := &s.running[i]
		if r := s.runs[state.RunRef]; r != nil && (r.fills || r.tailTarget > 0) {
			list = append(list, fmt.Sprintf("%s target=%d cpu=%d percent=%d tail=%d pace=%d", r.image, r.tailTarget, int64(r.cpu), state.Percent, state.TailOrCPU, r.pace))
		}
	}
	return list
}
