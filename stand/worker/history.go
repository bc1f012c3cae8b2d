package worker

import "cowslipbend.dev"

// snapshotPeriod is the time between two measurements of a task.
const snapshotPeriod = cowslipbend.Second / 10

// snapshot is what was measured of a task at a moment.
type snapshot struct {
	at     cowslipbend.Time
	usage  cowslipbend.Resources
	tail   int64
	served int64
}

// history holds the measurements that are not yet older than the lag, and one
// that is.
type history struct {
	list []snapshot
	last cowslipbend.Time
}

// due reports whether it is time for a measurement.
func (h *history) due(now cowslipbend.Time) bool {
	return h.last == 0 || now.Sub(h.last) >= snapshotPeriod
}

func (h *history) add(s snapshot, lag cowslipbend.Span) {
	h.last = s.at
	h.list = append(h.list, s)
	for len(h.list) > 1 && s.at.Sub(h.list[1].at) >= lag {
		h.list = h.list[1:]
	}
}

// before returns the newest measurement that is at least as old as the lag,
// and whether there is one.
func (h *history) before(now cowslipbend.Time, lag cowslipbend.Span) (snapshot, bool) {
	for i := len(h.list) - 1; i >= 0; i-- {
		if now.Sub(h.list[i].at) >= lag {
			return h.list[i], true
		}
	}
	return snapshot{}, false
}
