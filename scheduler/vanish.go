package scheduler

import (
	"sort"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
)

// reasonVanished is why an attempt ended that its worker no longer has.
const reasonVanished = "its worker no longer has it"

// vanished returns the ends of running attempts that a worker's heartbeats
// have named neither as running nor as ended for the span Vanish. So ends what
// a replaced host took along: it is back before its lease lapses, and neither
// worker nor agent remembers.
//
// An attempt is running in the journal only after a heartbeat has named it, so
// one that is named no longer has ended there. The span outlasts heartbeats
// that come out of order.
func (e *Engine) vanished(s *seen, b *Beat, now, wall cowslipbend.Time) []cowslipbend.Record {
	tasks := e.index.on[b.Worker.ID]
	if len(tasks) == 0 {
		s.missing = nil
		return nil
	}
	named := make(map[Ref]bool, len(b.Running)+len(b.Reports))
	for _, list := range [][]cowslipbend.TaskStatus{b.Running, b.Reports} {
		for _, r := range list {
			named[Ref{r.Task, r.Attempt}] = true
		}
	}
	missing := map[Ref]cowslipbend.Time{}
	var recs []cowslipbend.Record
	for _, t := range tasks {
		r := Ref{t.ID, t.Attempt}
		if t.Phase != cowslipbend.Running || named[r] {
			continue
		}
		since, known := s.missing[r]
		if !known {
			since = now
		}
		missing[r] = since
		if now.Sub(since) >= e.opts.Vanish {
			recs = append(recs, gone(t, wall))
		}
	}
	s.missing = missing
	sort.Slice(recs, func(i, j int) bool { return recs[i].Task < recs[j].Task })
	return recs
}

func gone(t *journaler.Task, wall cowslipbend.Time) cowslipbend.Record {
	return cowslipbend.Record{Kind: cowslipbend.RecEvicted, Task: t.ID, Attempt: t.Attempt, Reason: reasonVanished, At: wall}
}
