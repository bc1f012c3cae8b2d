package supervisor

import (
	"context"
	"maps"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
)

// buildReport returns a report of the current state. The caller holds the lock.
func (s *Supervisor) buildReport() cowslipbend.HostReport {
	s.reportNumber++
	maps.DeleteFunc(s.reportedAt, func(_ int64, at cowslipbend.Time) bool { return s.clock.Now().Sub(at) > s.settings.MaxLease })
	s.reportedAt[s.reportNumber] = s.clock.Now()
	epoch := s.epoch
	r := cowslipbend.HostReport{
		Agent: s.settings.Life, URL: s.settings.URL, Number: s.reportNumber, Epoch: &epoch,
		PairsVersion: s.pairsVersion, PairsEpoch: s.pairsEpoch, LostLife: s.lostLife, Loss: s.loss, EntriesHash: cowslipbend.HashStrings(s.entryURLs),
	}
	if s.isFenced() {
		spec := *s.host
		spec.ColdRemaining = max(0, spec.ColdRemaining-s.clock.Now().Sub(s.heartbeatAt))
		r.Host, r.Fence, r.ListAge = &spec, epoch, s.clock.Now().Sub(s.lastContact)
		r.Running, r.Ends, r.MoreEnds = s.running, s.unackedEnds, s.moreEnds
	}
	return r
}

// sendReports sends a report whenever one is triggered, and at least once per
// reportInterval.
func (s *Supervisor) sendReports(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.reportTrigger:
		case <-s.clock.After(reportInterval):
		}
		if !s.sendReport(ctx) {
			s.sleep(ctx, s.reportTrigger, reportBackoff)
			s.triggerReport()
		}
	}
}

// sendReport sends a report to the owner, or searches for the owner if that
// fails. It reports whether an owner accepted the report.
func (s *Supervisor) sendReport(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.cancelReport = cancel
	r := s.buildReport()
	r.Results = s.unreportedResults
	s.unreportedResults = nil
	owner := s.ownerURL
	s.mu.Unlock()
	if owner != "" && s.sendReportTo(ctx, owner, &r) {
		return true
	}
	if s.searchOwner(ctx, owner, &r) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requeueResults(r.Results)
	return false
}

// requeueResults puts back results of a report that was not accepted or applied. The caller
// holds the lock.
func (s *Supervisor) requeueResults(results []cowslipbend.RunResult) {
	s.unreportedResults = append(results, s.unreportedResults...)
}

// searchOwner sends the report to the other entries until one of them accepts
// it as the owner.
func (s *Supervisor) searchOwner(ctx context.Context, owner string, r *cowslipbend.HostReport) bool {
	s.mu.Lock()
	entries := append([]string(nil), s.entryURLs...)
	if s.ownerURL == owner {
		s.ownerURL = ""
	}
	s.mu.Unlock()
	for _, url := range entries {
		if url != owner && s.sendReportTo(ctx, url, r) {
			return true
		}
		s.mu.Lock()
		found := s.ownerURL
		s.mu.Unlock()
		if found != "" && found != owner && found != url {
			return s.sendReportTo(ctx, found, r)
		}
	}
	if found := s.findOwner(ctx); found != "" && found != owner {
		return s.sendReportTo(ctx, found, r)
	}
	return false
}

// sendReportTo sends the report to one entry and applies the reply. It reports
// whether the entry is the owner.
func (s *Supervisor) sendReportTo(ctx context.Context, url string, r *cowslipbend.HostReport) bool {
	sentAt := s.clock.Now()
	var reply cowslipbend.ReportReply
	if err := s.caller.Call(ctx, url+conductor.PathReport, r, &reply, reportTimeout); err != nil {
		s.log.Debug("entry did not accept a report", "entry", url, "error", err)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(reply.Entries) > 0 {
		s.entryURLs = reply.Entries
	}
	if reply.Epoch < s.epoch {
		return false
	}
	newEpoch := reply.Epoch > s.epoch
	s.epoch = reply.Epoch
	if reply.Owner != "" {
		s.ownerURL = reply.Owner
	}
	if reply.Owner != url {
		return false
	}
	s.lastReplyAt = max(s.lastReplyAt, sentAt)
	s.applyDomains(reply.Epoch, reply.Out)
	s.domains.askedAt = max(s.domains.askedAt, sentAt)
	if newEpoch {
		// The owner has not applied a report of an earlier epoch.
		s.requeueResults(r.Results)
	}
	if newProcess := *r.Epoch == reply.Epoch && s.applyProcess(&reply); newProcess || newEpoch {
		s.spawn(func(ctx context.Context) { s.confirmEpoch(ctx, reply.Epoch) })
	}
	if reply.PairsVersion > 0 && (reply.Epoch > s.pairsEpoch || reply.PairsVersion > s.pairsVersion) {
		s.pairsVersion, s.pairsEpoch = reply.PairsVersion, reply.Epoch
		s.model.UpdatePairs(reply.Pairs)
	}
	if s.host != nil && reply.Life == s.host.Life {
		s.applyReply(sentAt, &reply)
	}
	return true
}

// confirmEpoch has the runner refuse earlier owners and processes, before its lists are
// reported to the owner of the epoch, and triggers that report.
func (s *Supervisor) confirmEpoch(ctx context.Context, epoch cowslipbend.Epoch) {
	if err := s.renewLease(ctx, false); err != nil {
		s.log.Warn("runner did not confirm the epoch of a new owner", "epoch", epoch, "error", err)
	}
	s.triggerReport()
}

// applyReply applies the lease grant and the acknowledgement of a reply.
func (s *Supervisor) applyReply(sentAt cowslipbend.Time, reply *cowslipbend.ReportReply) {
	if reply.LeaseGrant > 0 {
		s.found.reported = true
		first := s.leaseEnd <= s.clock.Now()
		s.leaseEnd = max(s.leaseEnd, sentAt.Add(min(reply.LeaseGrant, s.settings.MaxLease)))
		if first {
			// The renewal that waits at the runner carries no lease, and starts come next.
			s.spawn(func(ctx context.Context) { _ = s.renewLease(ctx, false) })
		}
	}
	if reply.AckedThrough <= s.ackedThrough {
		return
	}
	s.ackedThrough = reply.AckedThrough
	var unacked []cowslipbend.RunEnd
	for _, e := range s.unackedEnds {
		if e.Number > s.ackedThrough {
			unacked = append(unacked, e)
		}
	}
	s.unackedEnds = unacked
	s.triggerRenewal()
}
