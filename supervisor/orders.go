package supervisor

import (
	"context"
	"slices"
	"sync"

	"cowslipbend.dev"
)

// Orders executes the owner's orders and returns a report with their results.
func (s *Supervisor) Orders(ctx context.Context, o *cowslipbend.HostOrders) (cowslipbend.HostReport, error) {
	s.mu.Lock()
	if o.Epoch < s.epoch {
		defer s.mu.Unlock()
		return cowslipbend.HostReport{}, cowslipbend.Fail(cowslipbend.KindStale, "another entry has taken over the flows", "stop this conductor")
	}
	newEpoch := o.Epoch > s.epoch
	s.epoch, s.ownerURL = o.Epoch, o.Owner
	s.applyDomains(o.Epoch, o.Out)
	life := cowslipbend.Incarnation("")
	if s.host != nil {
		life = s.host.Life
	}
	if life != "" && o.Life == life {
		s.found.reported = true
	}
	draining := s.host != nil && s.host.Draining
	for i := range o.KnownRuns {
		s.addRun(&o.KnownRuns[i])
	}
	cancelReport := s.cancelReport
	s.mu.Unlock()
	if newEpoch {
		s.confirmEpoch(ctx, o.Epoch)
		if cancelReport != nil {
			cancelReport()
		}
	}
	if len(o.Starts)+len(o.Stops)+len(o.KnownRuns) == 0 {
		s.triggerReport() // The owner asks who this agent is, and grants a lease to a report only.
	}
	results := s.executeFor(ctx, o, life, draining)
	if o.Brief && !newEpoch && o.Life == life {
		return cowslipbend.HostReport{Agent: s.settings.Life, URL: s.settings.URL, BriefFor: o.Life, Results: results}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.buildReport()
	r.Results = results
	return r, nil
}

// executeFor executes orders if they are for the runner's incarnation.
func (s *Supervisor) executeFor(ctx context.Context, o *cowslipbend.HostOrders, life cowslipbend.Incarnation, draining bool) []cowslipbend.RunResult {
	switch {
	case o.Life == "" || o.Life == life:
		return s.execute(ctx, o, life, draining)
	case life != "" && startedBefore(o.Life, life):
		return s.resolveEarlier(o, life)
	}
	// An agent that does not know this incarnation yet cannot tell what became of
	// runs that an earlier process of it began, nor can one whose runner may still be told
	// to start them.
	s.log.Info("orders ignored: runner incarnation is unknown to this agent", "life", o.Life, "known", life)
	return nil
}

// resolveEarlier returns the results of orders for an earlier incarnation than the current one.
// A run of the earlier one may be on the current one, which its lists show once it refuses earlier calls.
func (s *Supervisor) resolveEarlier(o *cowslipbend.HostOrders, life cowslipbend.Incarnation) []cowslipbend.RunResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isFenced() || s.host.Life != life || s.moreEnds {
		return nil
	}
	return slices.DeleteFunc(rejectAll(o, cowslipbend.Absent, "runner has started again"), func(r cowslipbend.RunResult) bool { return s.isListed(r.RunRef) })
}

func (s *Supervisor) addRun(order *cowslipbend.RunStart) {
	if s.runs[order.RunRef] == nil {
		s.runs[order.RunRef] = &run{image: order.Image, fills: order.Fills, tailTarget: order.TailTarget, cpu: order.CPU, pace: 100}
	}
}

func rejectAll(o *cowslipbend.HostOrders, kind cowslipbend.ResultKind, reason string) []cowslipbend.RunResult {
	var results []cowslipbend.RunResult
	for i := range o.Starts {
		results = append(results, cowslipbend.RunResult{RunRef: o.Starts[i].RunRef, Kind: kind, Reason: reason})
	}
	for _, ref := range o.Stops {
		results = append(results, cowslipbend.RunResult{RunRef: ref, Kind: cowslipbend.Absent, Reason: reason})
	}
	return results
}

// execute starts and stops runs concurrently. It waits for the starts only.
func (s *Supervisor) execute(ctx context.Context, o *cowslipbend.HostOrders, life cowslipbend.Incarnation, draining bool) []cowslipbend.RunResult {
	if o.Resent {
		results := s.resolveStarts(o, life)
		s.stopRuns(o, life)
		return results
	}
	refusal := ""
	switch {
	case draining:
		refusal = "draining"
	case len(o.Starts) > 0 && !s.confirmContact(ctx):
		refusal = "runner does not answer"
	}
	if refusal != "" {
		results := rejectAll(&cowslipbend.HostOrders{Starts: o.Starts}, cowslipbend.Refused, refusal)
		s.stopRuns(o, life)
		return results
	}
	var mu sync.Mutex
	var results []cowslipbend.RunResult
	var group sync.WaitGroup
	for i := range o.Starts {
		group.Add(1)
		spawned := s.spawn(func(ctx context.Context) {
			defer group.Done()
			result := s.start(ctx, &o.Starts[i], o, life)
			s.settings.Metrics.RecordStartResult(result)
			if result != nil {
				mu.Lock()
				results = append(results, *result)
				mu.Unlock()
			}
		})
		if !spawned {
			group.Done()
		}
	}
	s.stopRuns(o, life)
	group.Wait()
	return results
}

// maxContactAge is the greatest age of the runner's last answer with which starts are sent.
const maxContactAge = 50 * cowslipbend.Millisecond

// confirmContact reports whether the runner answers. A start that it leaves unanswered after
// that has reached it, and one that it would not answer is not sent.
func (s *Supervisor) confirmContact(ctx context.Context) bool {
	s.mu.Lock()
	recent := s.hasRecentContact()
	s.mu.Unlock()
	return recent || s.renewLease(ctx, false) == nil
}

// hasRecentContact reports whether the runner has just answered. The caller holds the lock.
func (s *Supervisor) hasRecentContact() bool {
	return s.clock.Now().Sub(s.lastContact) <= maxContactAge
}

// resolveStarts returns the results of starts that were ordered before and not
// answered. A run that the runner does not list is stopped, so that it can
// never start, and reported as absent later.
func (s *Supervisor) resolveStarts(o *cowslipbend.HostOrders, life cowslipbend.Incarnation) []cowslipbend.RunResult {
	var results []cowslipbend.RunResult
	for i := range o.Starts {
		order := &o.Starts[i]
		s.mu.Lock()
		s.addRun(order)
		listed := s.isListed(order.RunRef)
		s.mu.Unlock()
		if listed {
			results = append(results, cowslipbend.RunResult{RunRef: order.RunRef, Kind: cowslipbend.Started})
			continue
		}
		s.spawn(func(ctx context.Context) { s.stop(ctx, order.RunRef, o.Epoch, life) })
	}
	return results
}

func (s *Supervisor) stopRuns(o *cowslipbend.HostOrders, life cowslipbend.Incarnation) {
	for _, ref := range o.Stops {
		s.spawn(func(ctx context.Context) { s.stop(ctx, ref, o.Epoch, life) })
	}
}

// start starts one run. It returns nil if the runner may or may not have
// started the run, which is then stopped.
func (s *Supervisor) start(ctx context.Context, order *cowslipbend.RunStart, o *cowslipbend.HostOrders, life cowslipbend.Incarnation) *cowslipbend.RunResult {
	s.mu.Lock()
	token := s.token()
	now, voidAt := s.clock.Now(), s.voidAt(o)
	until, refusal := s.runnerDeadline(min(s.leaseEnd, now.Add(startTimeout), voidAt)), s.startRefusal()
	if o.Report != 0 && voidAt <= now {
		refusal = "order is void"
	}
	switch {
	case s.epoch != o.Epoch:
		refusal = "another entry has taken over the flows"
	case s.host == nil || s.host.Life != life:
		refusal = "runner has started again"
	case !s.isFenced():
		refusal = "runner may carry out earlier calls"
	}
	s.addRun(order)
	r := s.runs[order.RunRef]
	r.startSentAt, r.reached = now, s.hasRecentContact()
	s.mu.Unlock()
	result := &cowslipbend.RunResult{RunRef: order.RunRef}
	if until == 0 && refusal == "" {
		refusal = "no lease"
	}
	if refusal != "" {
		result.Kind, result.Reason = cowslipbend.Refused, refusal
		s.log.Info("agent refused to start a run", "flow", order.Task.Job, "task", order.Task.String(), "run", order.Run, "reason", refusal)
		s.removeRun(order.RunRef)
		return result
	}
	_, err := s.runner.Start(ctx, life, *order, until, token)
	switch cowslipbend.KindOf(err) {
	case "":
		result.Kind = cowslipbend.Started
		s.recordStart(order.RunRef, life)
		if order.Fills {
			s.spawn(func(ctx context.Context) { s.paceNewRun(ctx, order.RunRef) })
		}
	case cowslipbend.KindUnknown:
		s.mu.Lock()
		s.expectLateCalls()
		s.mu.Unlock()
		s.log.Warn("runner did not answer a start; stopping the run", "flow", order.Task.Job, "task", order.Task.String(), "run", order.Run, "error", err)
		s.spawn(func(ctx context.Context) { s.stop(ctx, order.RunRef, o.Epoch, life) })
		return nil
	default:
		result.Kind, result.Reason = cowslipbend.Refused, cowslipbend.AsError(err).What
		s.removeRun(order.RunRef)
		s.log.Info("runner refused to start a run", "flow", order.Task.Job, "task", order.Task.String(), "run", order.Run, "reason", result.Reason)
	}
	return result
}

// voidAt returns when the starts of the orders become void. Orders may arrive late, after
// the owner has given up the host and placed their tasks elsewhere, while later reports
// have renewed the lease. The caller holds the lock.
func (s *Supervisor) voidAt(o *cowslipbend.HostOrders) cowslipbend.Time {
	if o.Report == 0 {
		return s.leaseEnd // An owner of an earlier build doesn't tell.
	}
	at, known := s.reportedAt[o.Report]
	if o.Agent != s.settings.Life || !known {
		return 0
	}
	if o.Valid == 0 {
		return at.Add(s.settings.MaxLease) // Nor does that owner.
	}
	return at.Add(o.Valid)
}

// recordStart adds a run that the runner has confirmed to the running ones, as
// the runner's next list may still lack it.
func (s *Supervisor) recordStart(ref cowslipbend.RunRef, life cowslipbend.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[ref]
	if r == nil || s.host == nil || s.host.Life != life {
		return // The run has ended, alone or with its runner.
	}
	r.started, r.renewalAtStart = true, s.renewals
	if !s.isListed(ref) {
		s.running = append(slices.Clip(s.running), cowslipbend.RunState{RunRef: ref})
	}
}

func (s *Supervisor) removeRun(ref cowslipbend.RunRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, ref)
}

// stop stops a run, repeating the call while it may not have taken effect, and
// reports the run as absent if the runner's next list is complete and lacks it.
func (s *Supervisor) stop(ctx context.Context, ref cowslipbend.RunRef, epoch cowslipbend.Epoch, life cowslipbend.Incarnation) {
	for ctx.Err() == nil {
		s.mu.Lock()
		upToDate, token := s.host != nil && s.host.Life == life && s.epoch == epoch, s.token()
		s.mu.Unlock()
		if !upToDate {
			return
		}
		err := s.runner.Stop(ctx, life, ref, token)
		if !needsRetry(err) {
			break
		}
		s.log.Warn("runner did not confirm a stop; retrying", "flow", ref.Task.Job, "task", ref.Task.String(), "run", ref.Run, "error", err)
		s.sleep(ctx, nil, stopRetryInterval)
	}
	if err := s.renewLease(ctx, false); err != nil {
		return // The owner repeats its order.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.host == nil || s.host.Life != life || s.isListed(ref) || s.moreEnds {
		return // Its end is reported once it is listed, or the owner repeats its order.
	}
	s.unreportedResults = append(s.unreportedResults, cowslipbend.RunResult{RunRef: ref, Kind: cowslipbend.Absent, Reason: "stopped before it began"})
	s.triggerReport()
}

// needsRetry reports whether a stop may not have taken effect, in which case an
// earlier start of the same run could still be carried out.
func needsRetry(err error) bool {
	switch cowslipbend.KindOf(err) {
	case cowslipbend.KindUnknown, cowslipbend.KindDown, cowslipbend.KindLimited:
		return true
	}
	return false
}

// isListed reports whether the run is running, or has ended without an
// acknowledgement of the end.
func (s *Supervisor) isListed(ref cowslipbend.RunRef) bool {
	for i := range s.running {
		if s.running[i].RunRef == ref {
			return true
		}
	}
	for i := range s.unackedEnds {
		if s.unackedEnds[i].RunRef == ref {
			return true
		}
	}
	return false
}
