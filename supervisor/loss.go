package supervisor

import (
	"cmp"
	"slices"

	"cowslipbend.dev"
)

// maxYoungRuns bounds the runs of a loss that a report names. It exceeds what an agent
// starts within YoungRunAge: a run that is left out is never suspected.
const maxYoungRuns = 2000

// recordLoss records that the current incarnation of the runner runs nothing any
// more. The caller holds the lock.
func (s *Supervisor) recordLoss(cause cowslipbend.LossCause) {
	if s.host.Draining {
		cause = cowslipbend.LossLeft
	}
	brokenAt := s.contactBrokenAt
	if brokenAt == 0 {
		brokenAt = s.clock.Now()
	}
	loss := &cowslipbend.HostLoss{Life: s.host.Life, Cause: cause}
	for ref, r := range s.runs {
		if r.startSentAt == 0 {
			continue // An earlier process of the agent has started it.
		}
		if !r.started && !r.reached && !s.isListed(ref) {
			continue // The runner may have ended before.
		}
		if age := max(brokenAt.Sub(r.startSentAt), 0); age <= cowslipbend.YoungRunAge {
			loss.Young = append(loss.Young, cowslipbend.LostRun{RunRef: ref, Age: age})
		}
	}
	loss.Unanswered = s.unansweredStarts()
	slices.SortFunc(loss.Young, func(a, b cowslipbend.LostRun) int { return cmp.Compare(a.Age, b.Age) })
	loss.Young = loss.Young[:min(len(loss.Young), maxYoungRuns)]
	s.loss = loss
	// The same incarnation may answer again. Starts that were ordered before are void then,
	// as the owner has given up their runs.
	clear(s.reportedAt)
	s.settings.Metrics.RecordLostRunner()
	fields := []any{"life", loss.Life, "cause", cause, "runs", len(s.running), "young", len(loss.Young), "unanswered", len(loss.Unanswered), "noticed", s.clock.Now().Sub(brokenAt)}
	if len(loss.Young) > 0 {
		fields = append(fields, "youngest", loss.Young[0].Task.String(), "age", loss.Young[0].Age)
	}
	s.log.Warn("runner lost", fields...)
}

// unansweredStarts returns the runs whose start the runner has not answered, and may still carry
// out. The caller holds the lock.
func (s *Supervisor) unansweredStarts() []cowslipbend.RunRef {
	var refs []cowslipbend.RunRef
	for ref, r := range s.runs {
		if r.startSentAt > 0 && !r.started && s.clock.Now().Sub(r.startSentAt) < cowslipbend.LateCallTimeout && !s.isListed(ref) && len(refs) < maxYoungRuns {
			refs = append(refs, ref)
		}
	}
	return refs
}
