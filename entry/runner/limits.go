package runner

import (
	"context"

	"cowslipbend.dev"
	"cowslipbend.dev/internal/control"
	"cowslipbend.dev/limiter"
)

// counts returns what this entry's callers want of the limits.
func (e *Entry) counts() []*control.Count {
	var list []*control.Count
	for _, c := range e.limits.Counts() {
		list = append(list, &control.Count{Key: c.Key, Admitted: c.Admitted, Wanted: c.Demand})
	}
	return list
}

func fromCounts(list []*control.Count) []limiter.Count {
	counts := make([]limiter.Count, 0, len(list))
	for _, c := range list {
		counts = append(counts, limiter.Count{Key: c.GetKey(), Admitted: c.GetAdmitted(), Demand: c.GetWanted()})
	}
	return counts
}

// others returns the live entries but this one.
func (e *Entry) others() []cowslipbend.EntryID {
	var ids []cowslipbend.EntryID
	for _, p := range e.track.Live(peerSilence) {
		ids = append(ids, p.ID)
	}
	return ids
}

// trim removes old claims. The first of the live entries does it for all; two
// that do it at once only waste a write.
func (e *Entry) trim(ctx context.Context) error {
	for _, id := range e.others() {
		if id < e.settings.ID {
			return nil
		}
	}
	if err := e.claims.Trim(ctx); err != nil {
		e.log.Info("old claims were not trimmed", "error", err)
	}
	return nil
}
