package worker

import "cowslipbend.dev"

// measurementInterval is the shortest time between two measurements of a task.
const measurementInterval = cowslipbend.Second / 10

// measurement is the resource usage of a task and, for a replica, its recent
// tail latency and number of answers.
type measurement struct {
	takenAt     cowslipbend.Time
	usage       cowslipbend.Resources
	tailMicros  int64
	answerCount int64
}

// history holds the measurements of one task that are younger than the reporting
// lag, and the newest of the older ones, which is the one to report.
type history struct {
	measurements []measurement
	lastTakenAt  cowslipbend.Time
}

// due reports whether the next measurement is to be taken.
func (h *history) due(now cowslipbend.Time) bool {
	return h.lastTakenAt == 0 || now.Sub(h.lastTakenAt) >= measurementInterval
}

func (h *history) add(s measurement, lag cowslipbend.Span) {
	h.lastTakenAt = s.takenAt
	h.measurements = append(h.measurements, s)
	for len(h.measurements) > 1 && s.takenAt.Sub(h.measurements[1].takenAt) >= lag {
		h.measurements = h.measurements[1:]
	}
}

// newestOlderThan returns the newest measurement that is at least as old as the
// lag, and whether there is one.
func (h *history) newestOlderThan(now cowslipbend.Time, lag cowslipbend.Span) (measurement, bool) {
	for i := len(h.measurements) - 1; i >= 0; i-- {
		if now.Sub(h.measurements[i].takenAt) >= lag {
			return h.measurements[i], true
		}
	}
	return measurement{}, false
}
