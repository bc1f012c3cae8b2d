package scheduler

import (
	"sort"

	"cowslipbend.dev"
	"cowslipbend.dev/journaler"
)

// reasonMissing is the reason in the record of an attempt that its worker
// reports neither as running nor as ended.
const reasonMissing = "its worker no longer has it"

// missingAttempts returns the records that end running attempts which the
// worker's heartbeats have named neither as running nor as ended for
// MissingTimeout. This covers attempts lost with a replaced machine: its worker
// is back before the lease ends, and neither worker nor agent knows the
// attempts any more.
//
// An attempt is running in the journal only after a heartbeat has named it, so
// one that is no longer named has ended. The timeout is longer than heartbeats
// may arrive out of order.
func (e *Engine) missingAttempts(s *workerContact, b *Heartbeat, now, wall cowslipbend.Time) []cowslipbend.Record {
	tasks := e.index.tasksByWorker[b.Worker.ID]
	if len(tasks) == 0 {
		s.missingSince = nil
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
		since, known := s.missingSince[r]
		if !known {
			since = now
		}
		missing[r] = since
		if now.Sub(since) >= e.opts.MissingTimeout {
			recs = append(recs, missingAttemptRecord(t, wall))
		}
	}
	s.missingSince = missing
	sort.Slice(recs, func(i, j int) bool { return recs[i].Task < recs[j].Task })
	return recs
}

func missingAttemptRecord(t *journaler.Task, wall cowslipbend.Time) cowslipbend.Record {
	return cowslipbend.Record{Kind: cowslipbend.RecEvicted, Task: t.ID, Attempt: t.Attempt, Reason: reasonMissing, At: wall}
}
