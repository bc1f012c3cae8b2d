package intaker

import (
	"context"
	"sync"

	"cowslipbend.dev"
	"cowslipbend.dev/conductor"
	"cowslipbend.dev/shedder"
)

// Limits of refusals for load.
const (
	// storedCheckTimeout bounds the look-up by which a refusal makes sure that the flow
	// is not stored. A store that takes longer may still carry out an earlier write.
	storedCheckTimeout = 300 * cowslipbend.Millisecond
	// uncertainTimeout is how long nothing is refused for load after an outcome of a
	// write was unknown here: its caller may return, and the write may take effect late.
	uncertainTimeout = 10 * cowslipbend.Second
)

// shed is the state of refusals for load at this entry.
type shed struct {
	attempts shedder.Attempts
	mu       sync.Mutex
	// pending counts the submissions in progress by flow, whose outcome is not known.
	// Those that are stored for other entries count too.
	pending map[cowslipbend.JobID]int
	// uncertainAt is when the outcome of a write was last unknown; zero if it never was.
	uncertainAt cowslipbend.Time
}

// begin records a submission that may be stored from now on. It reports whether another
// one of the flow is in progress.
func (s *shed) begin(id cowslipbend.JobID) (inProgress bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = map[cowslipbend.JobID]int{}
	}
	s.pending[id]++
	return s.pending[id] > 1
}

// end records the outcome of a submission. It reports whether another one of the flow
// is in progress.
func (s *shed) end(id cowslipbend.JobID, err error, now cowslipbend.Time) (inProgress bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending[id]--; s.pending[id] <= 0 {
		delete(s.pending, id)
	}
	if cowslipbend.KindOf(err) == cowslipbend.KindUnknown {
		s.uncertainAt = now
	}
	if err == nil {
		s.attempts.Remove(id)
	}
	return s.pending[id] > 0
}

// mayRefuse reports whether the flow can be told to be refused: no submission of it
// is in progress here, and no write has had an unknown outcome lately.
func (s *shed) mayRefuse(id cowslipbend.JobID, now cowslipbend.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending[id] == 0 && (s.uncertainAt == 0 || now.Sub(s.uncertainAt) >= uncertainTimeout)
}

// refuseForLoad returns an error if the flow would end too late to be useful to its
// caller. The flow is certainly not stored then. Without a recent summary of the present
// owner, or while this entry is cut off from the store, it refuses nothing.
func (i *Intaker) refuseForLoad(ctx context.Context, f *cowslipbend.Flow) error {
	summary, age := i.owners.Backlog()
	if summary == nil || age > shedder.MaxSummaryAge {
		return nil
	}
	now := i.clock.Now()
	attempts := i.shed.attempts.Count(f.ID, now)
	v := shedder.Decide(summary, f, &f.Policy, attempts)
	if !v.Refused() || !i.shed.mayRefuse(f.ID, now) || !i.isMissing(ctx, f.ID) {
		return nil
	}
	// Another submission may have begun or ended during the look-up. It is recorded
	// before it ends, so it is looked for afterwards.
	mayRefuse := i.shed.mayRefuse(f.ID, i.clock.Now())
	if _, known := i.attempts.find(f.ID, i.clock.Now()); known || !mayRefuse {
		return nil
	}
	i.shed.attempts.Add(f.ID, now)
	i.metrics.RecordRefusal(string(v.Reason))
	i.log.Info("flow refused for load", "flow", f.ID, "queue", f.Queue, "priority", f.Policy.Priority, "attempt", attempts+1,
		"work", v.Work, "ahead", v.Ahead, "capacity", v.Capacity, "free", v.Free, "wait", v.Wait, "chain", v.Chain, "useful", v.UsefulFor,
		"age", age, "after", v.RetryAfter, "outcome", "not stored")
	return &cowslipbend.Error{
		Kind: cowslipbend.KindBusy, What: "flow would end too late to be useful", Remedy: "submit it again after the given time", After: v.RetryAfter,
	}
}

// isMissing reports whether the store has answered in time that it has no such flow.
// A flow that was stored by an earlier attempt must not be refused.
func (i *Intaker) isMissing(ctx context.Context, id cowslipbend.JobID) bool {
	if unreachable, _ := i.owners.StoreUnreachable(); unreachable {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storedCheckTimeout.Duration())
	defer cancel()
	row, err := i.table.Get(ctx, conductor.WorkKey(id))
	return err == nil && row.Version == 0
}
