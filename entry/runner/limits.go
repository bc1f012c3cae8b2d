package runner

import (
	"context"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/control"
	"cowslipbend.dev/limiter"
)

// limitUsages returns, for each limit, the rates of the requests that this
// entry's callers sent and of those that it admitted.
func (e *Entry) limitUsages() []*control.Count {
	var list []*control.Count
	for _, c := range e.limits.Usages() {
		list = append(list, &control.Count{Key: c.Key, Admitted: c.Admitted, Wanted: c.Demand})
	}
	return list
}

func toUsages(list []*control.Count) []limiter.Usage {
	usages := make([]limiter.Usage, 0, len(list))
	for _, c := range list {
		usages = append(usages, limiter.Usage{Key: c.GetKey(), Admitted: c.GetAdmitted(), Demand: c.GetWanted()})
	}
	return usages
}

// otherEntries returns the ids of the other live entries.
func (e *Entry) otherEntries() []cowslipbend.EntryID {
	var ids []cowslipbend.EntryID
	for _, p := range e.tracker.Live(peerTimeout) {
		ids = append(ids, p.ID)
	}
	return ids
}

// trimClaims removes old claims if this is the live entry with the lowest id.
// If two entries do so at the same time, only a write is wasted.
func (e *Entry) trimClaims(ctx context.Context) error {
	for _, id := range e.otherEntries() {
		if id < e.settings.ID {
			return nil
		}
	}
	if err := e.claims.Trim(ctx); err != nil {
		e.log.Info("cannot trim old claims, retrying at the next interval", "error", err)
	}
	return nil
}
